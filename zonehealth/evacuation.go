// Evacuation plans: which machines of failed zones are deleted, and where their tasks can be placed.

package zonehealth

import (
	"cmp"
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/sched"
)

// Task is a task on a machine of a failed zone, or a pending task.
type Task struct {
	ID               api.TaskID
	Spec             *api.JobSpec
	Demand           api.Resources
	WithinGuarantee  bool    // whether it is within its team's guaranteed quota
	RunningElsewhere int     // number of the job's tasks that run outside the failed zones
	PriorityBoost    float64 // number of ranks by which rules raise its priority; negative if they lower it
	SlackSeconds     float64 // seconds until its job can no longer meet its deadline, see NoDeadline
	LostWorkSeconds  float64 // seconds of work lost if it is still running when its machine is deleted
}

// NoDeadline is the slack, in seconds, of a task without a deadline.
const NoDeadline = 1e9

// Machine is an unreachable machine of a failed zone.
type Machine struct {
	ID                 api.MachineID
	Zone               api.Zone
	Capacity           api.Resources
	BootSeconds        float64 // boot time of a replacement
	ControllerIsolated bool    // whether a controller in the zone may be renewing its lease
	Tasks              []Task
}

// FreeCapacity is the free capacity of Count identical machines outside the failed zones.
type FreeCapacity struct {
	Type                api.MachineTypeName
	Zone                api.Zone
	Spot                bool
	Free                api.Resources // of each machine
	FreeAfterPreemption api.Resources // of each machine, if urgent tasks preempt all they may
	Count               int
	HasImage            func(api.Image) bool // reports whether an image is cached; nil if unknown
	OtherPartition      bool                 // machine of another partition that can't be lent, since it is not empty
}

// Input is the input of an evacuation plan.
type Input struct {
	Machines       []Machine
	PendingTasks   []Task // pending tasks of the same partition, which compete for the free capacity
	FreeCapacity   []FreeCapacity
	PlacedByZone   map[api.JobID]map[api.Zone]int // number of each job's other tasks by zone
	RemainingQuota map[api.Team]api.Resources     // remaining quota of each team; nil if unlimited
	PreemptingRank int                            // lowest priority rank that may preempt
	ExpectedOutage func(api.Zone) float64         // expected remaining outage of a zone, in seconds
	MaxMachines    int                            // maximum number of machines to evacuate
	// Excluded, if set, reports whether a task must not use capacity that its job's constraints allow.
	Excluded func(*Task, *FreeCapacity) bool
}

// Evacuation is a machine to evacuate, with the planned placements of its tasks.
type Evacuation struct {
	Machine    api.MachineID
	Placements []Placement
}

// Placement is the planned placement of a task in another zone.
type Placement struct {
	Task api.TaskID
	Zone api.Zone
}

// CompareTasks orders tasks by urgency: by priority, then tasks within their team's guarantee, then by
// the fraction of the job's tasks that still run (services and gangs), then by deadline. The order is
// total, so that all controllers compute the same one.
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

// PlanEvacuation selects the machines of failed zones to evacuate now, in order. Deleting a machine
// proves that its tasks have ended, so that they can start elsewhere, but the machine and its cached
// images are lost. A machine is evacuated if waiting for the expected end of the outage costs more than
// the evacuation. Only tasks that can be placed elsewhere now count.
func PlanEvacuation(in *Input) []Evacuation {
	p := newEvacuationPlanner(in)
	p.placeTasks()
	return p.evacuations()
}

// evacuationPlanner is the state of a plan under construction.
type evacuationPlanner struct {
	in             *Input
	capacity       []FreeCapacity // capacity that is still free
	remainingQuota map[api.Team]api.Resources
	placedByZone   map[api.JobID]map[api.Zone]int
	unplaceable    map[api.JobID]bool // jobs without a feasible placement; they stay so, since capacity only shrinks

	waitCost   []float64     // by machine index: cost of waiting for its tasks with placements
	placements [][]Placement // by machine index
	order      []int         // indexes of machines with placements, by their most urgent placed task
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

// lostTask is a task on a machine of a failed zone, with the index of the machine.
type lostTask struct {
	task         *Task
	machineIndex int
}

// lostTasks returns the tasks of all machines of failed zones, most urgent first.
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

// placeTasks finds placements for the lost tasks in order of urgency. Pending tasks that are at least
// as urgent are placed first.
func (p *evacuationPlanner) placeTasks() {
	pending := slices.Clone(p.in.PendingTasks)
	slices.SortFunc(pending, func(a, b Task) int { return CompareTasks(&a, &b) })
	for _, lost := range p.lostTasks() {
		for len(pending) > 0 && CompareTasks(&pending[0], lost.task) <= 0 {
			p.place(&pending[0], true)
			pending = pending[1:]
		}
		// The quota of a lost task is released with its old placement, so it does not limit the new one.
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

// place finds a placement for a task and subtracts the task from the free capacity. If limited is set,
// the team's remaining quota applies.
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

// zonesOf counts a job's tasks by zone, including those placed by the plan.
func (p *evacuationPlanner) zonesOf(jobID api.JobID) map[api.Zone]int {
	zones := p.placedByZone[jobID]
	if zones == nil {
		zones = map[api.Zone]int{}
		maps.Copy(zones, p.in.PlacedByZone[jobID])
		p.placedByZone[jobID] = zones
	}
	return zones
}

// bestCapacity returns the index of the first capacity that fits a task, preferably with the task's
// image cached; -1 if none fits.
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

// taskWaitCost returns the cost of a task that waits for its machine's zone to recover instead of
// starting elsewhere.
func (p *evacuationPlanner) taskWaitCost(t *Task, m *Machine) float64 {
	outage := p.in.ExpectedOutage(m.Zone)
	cost := outage
	if m.ControllerIsolated {
		cost *= 1 - insideAliveProbability
	}
	if t.SlackSeconds < outage {
		cost *= lateWeight
	}
	return rankWeight[t.Spec.Priority.Rank()] * t.Demand.CPU.Float() * cost
}

// evacuations returns the machines for which waiting costs more than evacuation: first machines with
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
