// The evacuation plan: which machines of failed zones are deleted, and where their tasks could go.

package zonehealth

import (
	"cmp"
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/sched"
)

// Task is a task that was on a machine of a failed zone, or that is pending.
type Task struct {
	ID               api.TaskID
	Spec             *api.JobSpec
	Demand           api.Resources
	WithinGuarantee  bool    // within its team's guarantee
	RunningElsewhere int     // number of the job's tasks that run elsewhere
	PriorityBoost    float64 // by how many priorities rules raise it; negative: lower it
	SlackSeconds     float64 // seconds until its job can no longer meet its deadline, see NoDeadline
	LostWorkSeconds  float64 // seconds of work that are lost if it is ended while it may still run
}

// NoDeadline is the slack, in seconds, of work without a deadline.
const NoDeadline = 1e9

// Machine is an unreachable machine of a failed zone.
type Machine struct {
	ID               api.MachineID
	Zone             api.Zone
	Capacity         api.Resources
	BootSeconds      float64 // seconds until a replacement is up
	ControllerInside bool    // a controller in the zone may have kept its lease alive
	Tasks            []Task
}

// FreeCapacity is the free capacity of a number of equal machines outside the failed zones.
type FreeCapacity struct {
	Type                api.MachineTypeName
	Zone                api.Zone
	Spot                bool
	Free                api.Resources // of each machine
	FreeAfterPreemption api.Resources // of each, once what urgent work may preempt is preempted
	Count               int
	HasImage            func(api.Image) bool // whether an image is cached there; nil: not known
	OtherPartition      bool                 // of another partition, and not available as a whole
}

// Input is everything that a plan depends on.
type Input struct {
	Machines       []Machine
	PendingTasks   []Task // pending work of the same partition: it needs no machine evacuated
	FreeCapacity   []FreeCapacity
	PlacedByZone   map[api.JobID]map[api.Zone]int // number of each job's other tasks by zone
	RemainingQuota map[api.Team]api.Resources     // what each team may start beyond its placements; nil: no limit
	PreemptingRank int                            // the priority rank from which on work preempts lower work
	ExpectedOutage func(api.Zone) float64         // expected remaining outage of a zone, in seconds
	MaxMachines    int                            // limit on machines to evacuate
	// Excluded, if set, keeps a task off capacity that its job's constraints allow.
	Excluded func(*Task, *FreeCapacity) bool
}

// Evacuation is a machine to evacuate, with those of its tasks that have a placement elsewhere.
type Evacuation struct {
	Machine    api.MachineID
	Placements []Placement
}

// Placement is a task that has a placement elsewhere, and the zone of it.
type Placement struct {
	Task api.TaskID
	Zone api.Zone
}

// CompareTasks orders tasks by how urgently they are needed: by priority, then those within a
// guarantee, then services by the share of their replicas that is left and gangs, which wait as a
// whole, then by deadline. The order is total, so it is the same at every controller.
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

// PlanEvacuation chooses the machines of failed zones to evacuate now, in order. The deletion of a
// machine proves its tasks over, so that they can start elsewhere, but costs the machine, which would
// return with its images as soon as the zone does. So a machine is evacuated if those of its tasks
// that have a placement elsewhere now cost more by waiting for the expected outage than the machine
// costs until a replacement has booted.
func PlanEvacuation(in *Input) []Evacuation {
	p := newEvacuationPlanner(in)
	p.placeTasks()
	return p.evacuations()
}

// evacuationPlanner is a plan in the making.
type evacuationPlanner struct {
	in             *Input
	capacity       []FreeCapacity // what is left of it
	remainingQuota map[api.Team]api.Resources
	placedByZone   map[api.JobID]map[api.Zone]int
	unplaceable    map[api.JobID]bool // capacity only shrinks, and a job's tasks are alike

	waitCost   []float64     // by machine: what its tasks with placements elsewhere cost by waiting
	placements [][]Placement // by machine
	order      []int         // machines with placements, by their first task that has one
}

func newEvacuationPlanner(in *Input) *evacuationPlanner {
	return &evacuationPlanner{
		in:             in,
		capacity:       slices.Clone(in.FreeCapacity),
		remainingQuota: maps.Clone(in.RemainingQuota),
		placedByZone:   map[api.JobID]map[api.Zone]int{},
		unplaceable:    map[api.JobID]bool{},
		waitCost:       make([]float64, len(in.Machines)),
		placements:     make([][]Placement, len(in.Machines)),
	}
}

// lostTask is a task with the index of its machine.
type lostTask struct {
	task         *Task
	machineIndex int
}

// lostTasks are the tasks of all machines, the most urgent first.
func (p *evacuationPlanner) lostTasks() []lostTask {
	var tasks []lostTask
	for machineIndex := range p.in.Machines {
		for i := range p.in.Machines[machineIndex].Tasks {
			tasks = append(tasks, lostTask{&p.in.Machines[machineIndex].Tasks[i], machineIndex})
		}
	}
	slices.SortFunc(tasks, func(a, b lostTask) int { return CompareTasks(a.task, b.task) })
	return tasks
}

// placeTasks finds placements for the lost tasks, in order of urgency. Pending tasks that are at
// least as urgent take theirs first.
func (p *evacuationPlanner) placeTasks() {
	pending := slices.Clone(p.in.PendingTasks)
	slices.SortFunc(pending, func(a, b Task) int { return CompareTasks(&a, &b) })
	for _, lost := range p.lostTasks() {
		for len(pending) > 0 && CompareTasks(&pending[0], lost.task) <= 0 {
			p.place(&pending[0], true)
			pending = pending[1:]
		}
		// The quota that a lost task holds is released with it, so no quota limits it.
		zone, ok := p.place(lost.task, false)
		if !ok {
			continue
		}
		i := lost.machineIndex
		if p.placements[i] == nil {
			p.order = append(p.order, i)
		}
		p.placements[i] = append(p.placements[i], Placement{Task: lost.task.ID, Zone: zone})
		p.waitCost[i] += p.taskWaitCost(lost.task, &p.in.Machines[i])
	}
}

// place finds a placement for a task and takes it off the capacity left; with limited set, within
// its team's remaining quota.
func (p *evacuationPlanner) place(t *Task, limited bool) (api.Zone, bool) {
	if p.unplaceable[t.ID.Job] {
		return "", false
	}
	limited = limited && p.in.RemainingQuota != nil
	if quota, ok := p.remainingQuota[t.Spec.Team]; limited && (!ok || !t.Demand.Fits(quota)) {
		return "", false
	}
	zones := p.zonesOf(t.ID.Job)
	best := p.bestCapacity(t, zones)
	if best < 0 {
		p.unplaceable[t.ID.Job] = true
		return "", false
	}
	p.capacity[best].Count--
	rest := p.capacity[best]
	rest.Count, rest.Free, rest.FreeAfterPreemption = 1, rest.Free.Minus(t.Demand), rest.FreeAfterPreemption.Minus(t.Demand)
	p.capacity = append(p.capacity, rest)
	zones[rest.Zone]++
	if limited {
		p.remainingQuota[t.Spec.Team] = p.remainingQuota[t.Spec.Team].Minus(t.Demand)
	}
	return rest.Zone, true
}

// zonesOf counts a job's tasks by zone, with those that the plan has placed.
func (p *evacuationPlanner) zonesOf(jobID api.JobID) map[api.Zone]int {
	zones := p.placedByZone[jobID]
	if zones == nil {
		zones = map[api.Zone]int{}
		maps.Copy(zones, p.in.PlacedByZone[jobID])
		p.placedByZone[jobID] = zones
	}
	return zones
}

// bestCapacity is the index of the first capacity that fits a task, preferring one with its image
// cached; -1 if none fits.
func (p *evacuationPlanner) bestCapacity(t *Task, zones map[api.Zone]int) int {
	best := -1
	for i := range p.capacity {
		c := &p.capacity[i]
		if c.Count <= 0 || !sched.Feasible(t.Spec, c.Type, c.Zone, c.Spot) || !sched.ZoneFeasible(t.Spec, zones, c.Zone) {
			continue
		}
		free := c.Free
		if t.Spec.Priority.Rank() >= p.in.PreemptingRank {
			free = c.FreeAfterPreemption
		}
		if !t.Demand.Fits(free) || p.in.Excluded != nil && p.in.Excluded(t, c) {
			continue
		}
		if c.HasImage != nil && c.HasImage(t.Spec.Image) {
			return i
		}
		if best < 0 {
			best = i
		}
	}
	return best
}

// taskWaitCost is what a task costs that waits for its machine's zone instead of starting elsewhere.
func (p *evacuationPlanner) taskWaitCost(t *Task, m *Machine) float64 {
	outage := p.in.ExpectedOutage(m.Zone)
	cost := outage
	if m.ControllerInside {
		cost *= 1 - insideAliveProbability
	}
	if t.SlackSeconds < outage {
		cost *= lateWeight
	}
	return rankWeight[t.Spec.Priority.Rank()] * t.Demand.CPU.Float() * cost
}

// evacuations are the machines that cost more by waiting than by evacuation: first those with
// placements, in order, then the others.
func (p *evacuationPlanner) evacuations() []Evacuation {
	var out []Evacuation
	evacuate := func(machineIndex int) {
		m := &p.in.Machines[machineIndex]
		if len(out) < p.in.MaxMachines && p.waitCost[machineIndex]+idleCost(m, p.in) > evacuationCost(m) {
			out = append(out, Evacuation{Machine: m.ID, Placements: p.placements[machineIndex]})
		}
	}
	for _, machineIndex := range p.order {
		evacuate(machineIndex)
	}
	for machineIndex := range p.in.Machines {
		if p.placements[machineIndex] == nil {
			evacuate(machineIndex)
		}
	}
	return out
}
