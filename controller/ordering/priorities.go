// Package ordering applies the operators' priority rules to jobs. It owns the record of machine
// types that are short of capacity, on which some rules depend, and a cache of the computed order.
// The rules themselves are in package priority.
package ordering

// This file holds the component, and computes the priorities of jobs.

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/priority"
	"basaltwall/sched"
)

// Priorities orders jobs by the operators' rules. Without rules only a job's own priority counts.
type Priorities struct {
	core *core.Core
	deps Dependencies

	shortage shortageState
	order    orderCache
}

// Dependencies are the other components that Priorities depends on.
type Dependencies struct {
	Agents Agents
	Gossip Gossip
	Health Health
	Log    Log
}

// Agents is the interface to the agent manager.
type Agents interface {
	// MachinesOf returns a partition's machines, sorted by ID.
	MachinesOf(api.PartitionID) []*core.Machine
	// ScheduleDirectCall schedules an immediate call to a machine.
	ScheduleDirectCall(*core.Machine)
	// MaxDirectCalls returns the maximum number of simultaneous calls to machines.
	MaxDirectCalls() int
}

// Gossip is the interface to the gossiper.
type Gossip interface {
	// PeerPartitionStatuses returns the latest statuses of other controllers' partitions.
	PeerPartitionStatuses() []message.PartitionStatus
}

// Health is the interface to the zone health monitor.
type Health interface {
	AnyZoneFailedOrRecovering() bool
}

// Log is the interface to the follower of the state service's log.
type Log interface {
	// LinearizableRead calls onRead once all earlier writes are applied.
	LinearizableRead(onRead, onFailure func())
}

// New returns Priorities without a known shortage. Connect must be called before any other method.
func New(k *core.Core) *Priorities { return &Priorities{core: k} }

// Connect sets the components that Priorities depends on.
func (po *Priorities) Connect(s Dependencies) { po.deps = s }

// orderCache holds the latest computed order.
type orderCache struct {
	ordering   priority.Ordering
	computedAt api.Time
	computed   bool
}

// maxOrderAge is the maximum age of the cached order.
const maxOrderAge = time.Second

// hasRules reports whether operators have set any rules.
func (po *Priorities) hasRules() bool { return len(po.core.Settings.Priority) > 0 }

// currentOrder returns the present order of workloads, at most maxOrderAge old. All controllers
// compute the same order from the same cluster state.
func (po *Priorities) currentOrder() *priority.Ordering {
	cache := &po.order
	if cache.computed && po.core.Now.Sub(cache.computedAt) < maxOrderAge {
		return &cache.ordering
	}
	cache.computed, cache.computedAt, cache.ordering = true, po.core.Now, priority.Ordering{}
	if !po.hasRules() {
		return &cache.ordering
	}
	present := map[priority.Workload]bool{}
	for _, j := range po.core.State.Jobs {
		if !j.Terminal() {
			present[po.workloadOf(j.Spec)] = true
		}
	}
	conditions := priority.ActiveConditions{
		ControllerDown: len(po.core.State.Members) < len(po.core.Controllers),
		ZoneFailed:     po.deps.Health.AnyZoneFailedOrRecovering(),
	}
	workloads := slices.SortedFunc(maps.Keys(present), compareWorkloads)
	cache.ordering = po.core.Settings.Priority.Resolve(workloads, conditions)
	return &cache.ordering
}

// compareWorkloads is an arbitrary total order, which makes the resolution of rules deterministic.
func compareWorkloads(a, b priority.Workload) int {
	return cmp.Or(
		cmp.Compare(a.Class, b.Class),
		cmp.Compare(a.Team, b.Team),
		cmp.Compare(a.Form, b.Form),
		cmp.Compare(a.Priority, b.Priority),
		compareTrueFirst(a.CapacityShort, b.CapacityShort),
	)
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// workloadOf returns the attributes of a job that rules depend on.
func (po *Priorities) workloadOf(s *api.JobSpec) priority.Workload {
	return priority.Workload{Class: s.Class, Team: s.Team, Form: s.Kind, Priority: s.Priority, CapacityShort: po.isCapacityShort(s)}
}

// PriorityBoost returns the difference between a job's level by the rules and its own priority rank;
// it is negative where rules put other work first.
func (po *Priorities) PriorityBoost(s *api.JobSpec) float64 {
	if !po.hasRules() {
		return 0
	}
	return po.currentOrder().Level(po.workloadOf(s)) - float64(s.Priority.Rank())
}

// EffectivePriority returns a job's priority rank plus its boost by rules.
func (po *Priorities) EffectivePriority(s *api.JobSpec) float64 {
	return float64(s.Priority.Rank()) + po.PriorityBoost(s)
}

// HigherPriorityRule returns the name of the rule by which other work takes precedence over a job,
// or "".
func (po *Priorities) HigherPriorityRule(s *api.JobSpec) string {
	if !po.hasRules() {
		return ""
	}
	return po.currentOrder().OutrankedBy(po.workloadOf(s))
}

// FairShareFloor returns the fraction of its fair share that rules guarantee to a job's workload, or 0.
func (po *Priorities) FairShareFloor(s *api.JobSpec) float64 {
	if !po.hasRules() {
		return 0
	}
	share, _ := po.currentOrder().Floor(po.workloadOf(s))
	return share
}

// SortByPriority sorts pending jobs in place by their boost from rules, the highest first; the sort is
// stable.
func (po *Priorities) SortByPriority(jobIDs []api.JobID) []api.JobID {
	if !po.hasRules() {
		return jobIDs
	}
	slices.SortStableFunc(jobIDs, func(a, b api.JobID) int {
		pending := po.core.State.PendingJobs
		return sched.Descending(po.PriorityBoost(pending[a].Spec), po.PriorityBoost(pending[b].Spec))
	})
	return jobIDs
}

// ContactPriorityMachines schedules immediate calls to the machines with the tasks of highest priority
// after a failover of their partition, as the former owner may not have sent the starts. It uses at
// most half of the direct calls. It does nothing without priority rules.
func (po *Priorities) ContactPriorityMachines(owned *core.OwnedPartition) {
	if !po.hasRules() {
		return
	}
	highest := map[*core.Machine]float64{}
	var machines []*core.Machine
	for _, m := range po.deps.Agents.MachinesOf(owned.ID) {
		for _, p := range po.core.State.PlacementsOn(m.ID) {
			highest[m] = max(highest[m], 1+po.EffectivePriority(p.Job.Spec))
		}
		if highest[m] > 0 {
			machines = append(machines, m)
		}
	}
	slices.SortStableFunc(machines, func(a, b *core.Machine) int { return sched.Descending(highest[a], highest[b]) })
	for _, m := range machines[:min(len(machines), po.deps.Agents.MaxDirectCalls()/2)] {
		po.deps.Agents.ScheduleDirectCall(m)
	}
}
