// Package ordering orders work by the operators' rules: which job goes before which, and by how
// much. It owns the record of which machine types are short of capacity, as some rules hold only
// then, and the order that it last computed. The rules themselves are package priority.
package ordering

// This file has the component, and what the rules make of a job.

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

// Priorities orders work by the operators' rules. Without rules a job's own priority decides.
type Priorities struct {
	core     *core.Core
	siblings Siblings

	shortage shortageState
	order    orderCache
}

// Siblings are the other components that Priorities asks.
type Siblings struct {
	Agents Agents
	Gossip Gossip
	Health Health
	Log    Log
}

// Agents is what Priorities needs of the agent manager.
type Agents interface {
	// MachinesOf are a partition's machines, in order.
	MachinesOf(api.PartitionID) []*core.Machine
	// ContactNow has a machine called at once.
	ContactNow(*core.Machine)
	// MaxDirectCalls is how many machines are called at the same time.
	MaxDirectCalls() int
}

// Gossip is what Priorities needs of the gossiper.
type Gossip interface {
	// PeerPartitionStatuses are the partitions of other controllers, as these last described them.
	PeerPartitionStatuses() []message.PartitionStatus
}

// Health is what Priorities needs of the zones' health.
type Health interface {
	AnyZoneFailedOrRecovering() bool
}

// Log is what Priorities needs of the follower of the state service's log.
type Log interface {
	// LinearizableRead calls onRead once everything that was written before is known.
	LinearizableRead(onRead, onFailure func())
}

// New returns Priorities without a known shortage; Connect is to be called before use.
func New(k *core.Core) *Priorities { return &Priorities{core: k} }

// Connect names the components that Priorities asks.
func (po *Priorities) Connect(s Siblings) { po.siblings = s }

// orderCache is the order that was last computed.
type orderCache struct {
	ordering   priority.Ordering
	computedAt api.Time
	computed   bool
}

// maxOrderAge is how old the order may be: the work that there is, and which conditions hold,
// changes.
const maxOrderAge = time.Second

// hasRules reports whether operators have set any rules.
func (po *Priorities) hasRules() bool { return len(po.core.Settings.Priority) > 0 }

// currentOrder is which work goes before which now. All controllers compute the same from the
// same cluster state, but for the moment that one lags behind another.
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
		ZoneFailed:     po.siblings.Health.AnyZoneFailedOrRecovering(),
	}
	workloads := slices.SortedFunc(maps.Keys(present), compareWorkloads)
	cache.ordering = po.core.Settings.Priority.Resolve(workloads, conditions)
	return &cache.ordering
}

// compareWorkloads is any total order, so that the same work is always resolved the same way.
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

// workloadOf is what rules see of a job.
func (po *Priorities) workloadOf(s *api.JobSpec) priority.Workload {
	return priority.Workload{Class: s.Class, Team: s.Team, Form: s.Kind, Priority: s.Priority, CapacityShort: po.isCapacityShort(s)}
}

// PriorityBoost is by how much rules put a job above its priority; negative where other work
// comes before it.
func (po *Priorities) PriorityBoost(s *api.JobSpec) float64 {
	if !po.hasRules() {
		return 0
	}
	return po.currentOrder().Level(po.workloadOf(s)) - float64(s.Priority.Rank())
}

// EffectivePriority is a job's priority rank with what rules add to it.
func (po *Priorities) EffectivePriority(s *api.JobSpec) float64 {
	return float64(s.Priority.Rank()) + po.PriorityBoost(s)
}

// PendingReasonPriority names the rule by which other work goes before a job; empty if none does.
func (po *Priorities) PendingReasonPriority(s *api.JobSpec) string {
	if !po.hasRules() {
		return ""
	}
	return po.currentOrder().OutrankedBy(po.workloadOf(s))
}

// FairShareFloor is the fraction of its fair share that rules leave a job's class, and 0 where
// none says.
func (po *Priorities) FairShareFloor(s *api.JobSpec) float64 {
	if !po.hasRules() {
		return 0
	}
	share, _ := po.currentOrder().Floor(po.workloadOf(s))
	return share
}

// SortByPriority puts pending jobs that rules raise first, in place, and keeps the order of the
// others.
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

// ContactPriorityMachines has the machines of a partition called at once, after it was taken
// over, that hold the work that rules put first: its former owner may not have sent the starts.
// At most half of the direct calls are used for it.
func (po *Priorities) ContactPriorityMachines(owned *core.OwnedPartition) {
	if !po.hasRules() {
		return
	}
	highest := map[*core.Machine]float64{}
	var machines []*core.Machine
	for _, m := range po.siblings.Agents.MachinesOf(owned.ID) {
		for _, p := range po.core.State.PlacementsOn(m.ID) {
			highest[m] = max(highest[m], 1+po.EffectivePriority(p.Job.Spec))
		}
		if highest[m] > 0 {
			machines = append(machines, m)
		}
	}
	slices.SortStableFunc(machines, func(a, b *core.Machine) int { return sched.Descending(highest[a], highest[b]) })
	for _, m := range machines[:min(len(machines), po.siblings.Agents.MaxDirectCalls()/2)] {
		po.siblings.Agents.ContactNow(m)
	}
}
