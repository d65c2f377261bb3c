package zone

import (
	"cmp"
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/sched"
)

// Task is one that was on a machine of a lost zone.
type Task struct {
	ID       api.TaskID
	Spec     *api.JobSpec
	Demand   api.Resources
	Entitled bool    // within its team's guarantee
	Alive    int     // of the job's tasks elsewhere
	Raised   float64 // by so many priorities rules put it above its own, or below
	Slack    float64 // seconds until its job can't be in time any more, see Forever
	Ran      float64 // seconds of work that are lost if it is ended while it may still run
}

// Forever is the slack of work that has no time to keep.
const Forever = 1e9

// Machine is one of a lost zone that is silent.
type Machine struct {
	ID       api.MachineID
	Zone     api.Zone
	Capacity api.Resources
	Boot     float64 // seconds until another is up in its stead
	Inside   bool    // a controller in the zone may have kept its lease alive
	Tasks    []Task
}

// Room is what machines elsewhere have free that are alike.
type Room struct {
	Type  api.TypeName
	Zone  api.Zone
	Spot  bool
	Free  api.Resources
	Could api.Resources // if what urgent work may stop made way
	Count int
	Image func(api.Image) bool // whether it is there; nil: not known
	Apart bool                 // of another part, and not to be had as a whole
}

// Input is what a plan looks at.
type Input struct {
	Machines  []Machine
	Before    []Task // work of the same part that waits already: it needs no machine given up
	Rooms     []Room
	Zones     map[api.JobRef]map[api.Zone]int // where each job's other tasks are
	Left      map[api.Team]api.Resources      // what each team may start beyond what it holds; nil: no limit
	Urgent    int                             // the rank from which on work has lower work make way
	Remaining func(api.Zone) float64          // seconds that the zone is likely to stay silent
	Most      int                             // machines to give up at most
	// Shut, if set, bars a task from room that its job's needs allow.
	Shut func(*Task, *Room) bool
}

// Given is a machine that is given up, with the tasks that have a place elsewhere.
type Given struct {
	Machine api.MachineID
	Placed  []Placed
}

// Placed is a task that has a place elsewhere, and the zone of that.
type Placed struct {
	Task api.TaskID
	Zone api.Zone
}

// What waiting and holding cost, in seconds of a CPU of normal work. A critical replica
// counts for more than a whole machine of other work; what is paid for a machine that can't
// be used counts for a quarter of what it could do.
var rankWeight = [4]float64{0.25, 1, 10, 50}

const (
	idleWeight = 0.25
	// lateWeight is how many times more a task is missed whose job would be late for waiting
	// as long as its zone is likely to stay away.
	lateWeight = 4
	// keptInside is how likely a controller that was lost with its zone goes on inside.
	keptInside = 0.9
	// restart is how long a task is missed that ends here and starts elsewhere, in seconds.
	restart = 3
)

// Before orders tasks by who is missed most: by priority, then what is within a guarantee,
// then services by the share of their replicas that is left and gangs, which wait as a
// whole, then what must be in time soonest. It is total: the same at every controller.
func Before(a, b *Task) int {
	first := func(x bool) int {
		if x {
			return 0
		}
		return 1
	}
	left := func(t *Task) int { // in thousandths
		if t.Spec.Kind == api.Array || t.Spec.Tasks == 0 {
			return 1000
		}
		return t.Alive * 1000 / t.Spec.Tasks
	}
	return cmp.Or(
		sched.Descending(float64(a.Spec.Priority.Rank())+a.Raised, float64(b.Spec.Priority.Rank())+b.Raised),
		cmp.Compare(first(a.Entitled), first(b.Entitled)),
		cmp.Compare(left(a), left(b)),
		cmp.Compare(a.Slack, b.Slack),
		cmp.Compare(a.ID.Job, b.ID.Job),
		cmp.Compare(a.ID.Index, b.ID.Index))
}

// Plan chooses the machines of lost zones that are given up now, in order. A deletion proves
// their tasks over, so that these can start elsewhere, and costs the machine, which would
// be back with its images as soon as the zone is. So a machine is given up when its
// tasks that have a place elsewhere now are missed more, for as long as the zone is likely to
// stay away, than the machine would be for as long as another takes to boot.
func Plan(in *Input) []Given {
	rooms, left := slices.Clone(in.Rooms), maps.Clone(in.Left)
	zones := map[api.JobRef]map[api.Zone]int{}
	full := map[api.JobRef]bool{} // room only shrinks, and a job's tasks are alike
	place := func(t *Task, limited bool) (api.Zone, bool) {
		if full[t.ID.Job] {
			return "", false
		}
		if l, ok := left[t.Spec.Team]; limited && in.Left != nil && (!ok || !t.Demand.Fits(l)) {
			return "", false
		}
		where := zones[t.ID.Job]
		if where == nil {
			where = map[api.Zone]int{}
			maps.Copy(where, in.Zones[t.ID.Job])
			zones[t.ID.Job] = where
		}
		best := -1
		for i := range rooms {
			r := &rooms[i]
			if r.Count <= 0 || !sched.Allowed(t.Spec, r.Type, r.Zone, r.Spot) || !sched.ZoneOpen(t.Spec, where, r.Zone) {
				continue
			}
			free := r.Free
			if t.Spec.Priority.Rank() >= in.Urgent {
				free = r.Could
			}
			if !t.Demand.Fits(free) || in.Shut != nil && in.Shut(t, r) {
				continue
			}
			if has := r.Image != nil && r.Image(t.Spec.Image); best < 0 || has {
				best = i
				if has {
					break
				}
			}
		}
		if best < 0 {
			full[t.ID.Job] = true
			return "", false
		}
		rooms[best].Count--
		r := rooms[best]
		r.Count, r.Free, r.Could = 1, r.Free.Minus(t.Demand), r.Could.Minus(t.Demand)
		rooms = append(rooms, r)
		where[r.Zone]++
		if limited && in.Left != nil {
			left[t.Spec.Team] = left[t.Spec.Team].Minus(t.Demand)
		}
		return r.Zone, true
	}
	waiting := slices.Clone(in.Before)
	slices.SortFunc(waiting, func(a, b Task) int { return Before(&a, &b) })
	type lost struct {
		t  *Task
		mi int
	}
	var tasks []lost
	for mi := range in.Machines {
		for i := range in.Machines[mi].Tasks {
			tasks = append(tasks, lost{&in.Machines[mi].Tasks[i], mi})
		}
	}
	slices.SortFunc(tasks, func(a, b lost) int { return Before(a.t, b.t) })
	gain := make([]float64, len(in.Machines))
	placed := make([][]Placed, len(in.Machines))
	var order []int // machines by their first task that has a place
	for _, l := range tasks {
		// What waits already and is more urgent goes first.
		for len(waiting) > 0 && Before(&waiting[0], l.t) <= 0 {
			place(&waiting[0], true)
			waiting = waiting[1:]
		}
		// What a lost task holds of its team's limit comes free with it.
		where, ok := place(l.t, false)
		if !ok {
			continue
		}
		m := &in.Machines[l.mi]
		if placed[l.mi] == nil {
			order = append(order, l.mi)
		}
		placed[l.mi] = append(placed[l.mi], Placed{l.t.ID, where})
		away := in.Remaining(m.Zone)
		missed := away
		if m.Inside {
			missed *= 1 - keptInside
		}
		if l.t.Slack < away {
			missed *= lateWeight
		}
		gain[l.mi] += rankWeight[l.t.Spec.Priority.Rank()] * l.t.Demand.CPU.Float() * missed
	}
	var out []Given
	give := func(mi int) {
		if len(out) < in.Most {
			out = append(out, Given{in.Machines[mi].ID, placed[mi]})
		}
	}
	for _, mi := range order {
		if gain[mi]+idle(&in.Machines[mi], in) > cost(&in.Machines[mi]) {
			give(mi)
		}
	}
	for mi := range in.Machines {
		if placed[mi] == nil && idle(&in.Machines[mi], in) > cost(&in.Machines[mi]) {
			give(mi) // it costs more to wait for than to rent anew
		}
	}
	return out
}

// idle is what holding a machine costs that can't be used.
func idle(m *Machine, in *Input) float64 {
	return idleWeight * m.Capacity.CPU.Float() * in.Remaining(m.Zone)
}

// cost is what giving a machine up costs: its CPUs until another is up, and what may still
// run on it.
func cost(m *Machine) float64 {
	c := m.Capacity.CPU.Float() * m.Boot
	if m.Inside {
		for i := range m.Tasks {
			t := &m.Tasks[i]
			c += keptInside * rankWeight[t.Spec.Priority.Rank()] * t.Demand.CPU.Float() * (restart + t.Ran)
		}
	}
	return c
}
