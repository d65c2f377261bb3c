package zonehealth

import (
	"cmp"
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/sched"
)

// Task is one that was on a machine of a lost zone.
type Task struct {
	ID               api.TaskID
	Spec             *api.JobSpec
	Demand           api.Resources
	WithinGuarantee  bool    // within its team's guarantee
	RunningElsewhere int     // of the job's tasks elsewhere
	PriorityBoost    float64 // by so many priorities rules put it above its own, or below
	SlackSeconds     float64 // seconds until its job can't be in time any more, see NoDeadline
	LostWorkSeconds  float64 // seconds of work that are lost if it is ended while it may still run
}

// NoDeadline is the slack of work that has no time to keep.
const NoDeadline = 1e9

// Machine is one of a lost zone that is silent.
type Machine struct {
	ID               api.MachineID
	Zone             api.Zone
	Capacity         api.Resources
	BootSeconds      float64 // seconds until another is up in its stead
	ControllerInside bool    // a controller in the zone may have kept its lease alive
	Tasks            []Task
}

// FreeCapacity is what machines elsewhere have free that are alike.
type FreeCapacity struct {
	Type                api.MachineTypeName
	Zone                api.Zone
	Spot                bool
	Free                api.Resources
	FreeAfterPreemption api.Resources // if what urgent work may stop made way
	Count               int
	HasImage            func(api.Image) bool // whether it is there; nil: not known
	OtherPartition      bool                 // of another partition, and not to be had as a whole
}

// Input is what a plan looks at.
type Input struct {
	Machines       []Machine
	PendingTasks   []Task // work of the same partition that waits already: it needs no machine given up
	FreeCapacity   []FreeCapacity
	PlacedByZone   map[api.JobID]map[api.Zone]int // where each job's other tasks are
	RemainingQuota map[api.Team]api.Resources     // what each team may start beyond what it holds; nil: no limit
	PreemptingRank int                            // the rank from which on work has lower work make way
	ExpectedOutage func(api.Zone) float64         // seconds that the zone is likely to stay silent
	MaxMachines    int                            // machines to give up at most
	// Excluded, if set, bars a task from room that its job's needs allow.
	Excluded func(*Task, *FreeCapacity) bool
}

// Evacuation is a machine that is given up, with the tasks that have a place elsewhere.
type Evacuation struct {
	Machine    api.MachineID
	Placements []Placement
}

// Placement is a task that has a place elsewhere, and the zone of that.
type Placement struct {
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
	// insideAliveProbability is how likely a controller that was lost with its zone goes on inside.
	insideAliveProbability = 0.9
	// restartSeconds is how long a task is missed that ends here and starts elsewhere, in seconds.
	restartSeconds = 3
)

// CompareTasks orders tasks by who is missed most: by priority, then what is within a guarantee,
// then services by the share of their replicas that is left and gangs, which wait as a
// whole, then what must be in time soonest. It is total: the same at every controller.
func CompareTasks(a, b *Task) int {
	trueFirst := func(x bool) int {
		if x {
			return 0
		}
		return 1
	}
	remainingShare := func(t *Task) int { // in thousandths
		if t.Spec.Kind == api.Array || t.Spec.Tasks == 0 {
			return 1000
		}
		return t.RunningElsewhere * 1000 / t.Spec.Tasks
	}
	return cmp.Or(
		sched.Descending(float64(a.Spec.Priority.Rank())+a.PriorityBoost, float64(b.Spec.Priority.Rank())+b.PriorityBoost),
		cmp.Compare(trueFirst(a.WithinGuarantee), trueFirst(b.WithinGuarantee)),
		cmp.Compare(remainingShare(a), remainingShare(b)),
		cmp.Compare(a.SlackSeconds, b.SlackSeconds),
		cmp.Compare(a.ID.Job, b.ID.Job),
		cmp.Compare(a.ID.Index, b.ID.Index))
}

// PlanEvacuation chooses the machines of lost zones that are given up now, in order. A deletion proves
// their tasks over, so that these can start elsewhere, and costs the machine, which would
// be back with its images as soon as the zone is. So a machine is given up when its
// tasks that have a place elsewhere now are missed more, for as long as the zone is likely to
// stay away, than the machine would be for as long as another takes to boot.
func PlanEvacuation(in *Input) []Evacuation {
	capacity, remainingQuota := slices.Clone(in.FreeCapacity), maps.Clone(in.RemainingQuota)
	zones := map[api.JobID]map[api.Zone]int{}
	unplaceable := map[api.JobID]bool{} // room only shrinks, and a job's tasks are alike
	tryPlace := func(t *Task, limited bool) (api.Zone, bool) {
		if unplaceable[t.ID.Job] {
			return "", false
		}
		if l, ok := remainingQuota[t.Spec.Team]; limited && in.RemainingQuota != nil && (!ok || !t.Demand.Fits(l)) {
			return "", false
		}
		where := zones[t.ID.Job]
		if where == nil {
			where = map[api.Zone]int{}
			maps.Copy(where, in.PlacedByZone[t.ID.Job])
			zones[t.ID.Job] = where
		}
		best := -1
		for i := range capacity {
			r := &capacity[i]
			if r.Count <= 0 || !sched.Feasible(t.Spec, r.Type, r.Zone, r.Spot) || !sched.ZoneFeasible(t.Spec, where, r.Zone) {
				continue
			}
			free := r.Free
			if t.Spec.Priority.Rank() >= in.PreemptingRank {
				free = r.FreeAfterPreemption
			}
			if !t.Demand.Fits(free) || in.Excluded != nil && in.Excluded(t, r) {
				continue
			}
			if has := r.HasImage != nil && r.HasImage(t.Spec.Image); best < 0 || has {
				best = i
				if has {
					break
				}
			}
		}
		if best < 0 {
			unplaceable[t.ID.Job] = true
			return "", false
		}
		capacity[best].Count--
		r := capacity[best]
		r.Count, r.Free, r.FreeAfterPreemption = 1, r.Free.Minus(t.Demand), r.FreeAfterPreemption.Minus(t.Demand)
		capacity = append(capacity, r)
		where[r.Zone]++
		if limited && in.RemainingQuota != nil {
			remainingQuota[t.Spec.Team] = remainingQuota[t.Spec.Team].Minus(t.Demand)
		}
		return r.Zone, true
	}
	pending := slices.Clone(in.PendingTasks)
	slices.SortFunc(pending, func(a, b Task) int { return CompareTasks(&a, &b) })
	type lost struct {
		t  *Task
		mi int
	}
	var tasks []lost
	for machineIndex := range in.Machines {
		for i := range in.Machines[machineIndex].Tasks {
			tasks = append(tasks, lost{&in.Machines[machineIndex].Tasks[i], machineIndex})
		}
	}
	slices.SortFunc(tasks, func(a, b lost) int { return CompareTasks(a.t, b.t) })
	gain := make([]float64, len(in.Machines))
	placements := make([][]Placement, len(in.Machines))
	var order []int // machines by their first task that has a place
	for _, l := range tasks {
		// What waits already and is more urgent goes first.
		for len(pending) > 0 && CompareTasks(&pending[0], l.t) <= 0 {
			tryPlace(&pending[0], true)
			pending = pending[1:]
		}
		// What a lost task holds of its team's limit comes free with it.
		where, ok := tryPlace(l.t, false)
		if !ok {
			continue
		}
		m := &in.Machines[l.mi]
		if placements[l.mi] == nil {
			order = append(order, l.mi)
		}
		placements[l.mi] = append(placements[l.mi], Placement{l.t.ID, where})
		outage := in.ExpectedOutage(m.Zone)
		outageCost := outage
		if m.ControllerInside {
			outageCost *= 1 - insideAliveProbability
		}
		if l.t.SlackSeconds < outage {
			outageCost *= lateWeight
		}
		gain[l.mi] += rankWeight[l.t.Spec.Priority.Rank()] * l.t.Demand.CPU.Float() * outageCost
	}
	var out []Evacuation
	evacuate := func(machineIndex int) {
		if len(out) < in.MaxMachines {
			out = append(out, Evacuation{in.Machines[machineIndex].ID, placements[machineIndex]})
		}
	}
	for _, machineIndex := range order {
		if gain[machineIndex]+idleCost(&in.Machines[machineIndex], in) > evacuationCost(&in.Machines[machineIndex]) {
			evacuate(machineIndex)
		}
	}
	for machineIndex := range in.Machines {
		if placements[machineIndex] == nil && idleCost(&in.Machines[machineIndex], in) > evacuationCost(&in.Machines[machineIndex]) {
			evacuate(machineIndex) // it costs more to wait for than to rent anew
		}
	}
	return out
}

// idleCost is what holding a machine costs that can't be used.
func idleCost(m *Machine, in *Input) float64 {
	return idleWeight * m.Capacity.CPU.Float() * in.ExpectedOutage(m.Zone)
}

// evacuationCost is what giving a machine up costs: its CPUs until another is up, and what may still
// run on it.
func evacuationCost(m *Machine) float64 {
	c := m.Capacity.CPU.Float() * m.BootSeconds
	if m.ControllerInside {
		for i := range m.Tasks {
			t := &m.Tasks[i]
			c += insideAliveProbability * rankWeight[t.Spec.Priority.Rank()] * t.Demand.CPU.Float() * (restartSeconds + t.LostWorkSeconds)
		}
	}
	return c
}
