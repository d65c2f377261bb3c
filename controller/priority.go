package controller

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/priority"
	"basaltwall/sched"
)

// Priorities orders work by the operators' rules while capacity is short.
type Priorities struct {
	core *core.Core
	c    *Controller

	priorityState priorityState
}

// keyShortage holds which machine types have no room, precedence.Shortage.
const keyShortage = clusterstate.Root + "short"

// priorityState is which work goes before which, see package precedence.
type priorityState struct {
	shortage      priority.Shortage // as recorded
	detector      priority.ShortageTracker
	writeInFlight bool
	checkedAt     api.Time

	order     priority.Ordering
	orderedAt api.Time
	computed  bool
}

// shortageWriter is the part whose owner writes whether room is short.
func (po *Priorities) shortageWriter() *core.OwnedPartition { return po.core.Partitions[0] }

// maxOrderAge is how old the order may be: the work that there is, and what holds, changes.
const maxOrderAge = time.Second

// priorityOrder is which work goes before which now. All controllers make the same of the same book, but
// for the moment that they are apart.
func (po *Priorities) priorityOrder() *priority.Ordering {
	state := &po.priorityState
	if state.computed && po.core.Now.Sub(state.orderedAt) < maxOrderAge {
		return &state.order
	}
	state.computed, state.orderedAt, state.order = true, po.core.Now, priority.Ordering{}
	table := po.core.Settings.Priority
	if len(table) == 0 {
		return &state.order
	}
	kinds := map[priority.Workload]bool{}
	for _, j := range po.core.State.Jobs {
		if !j.Terminal() {
			kinds[po.workKind(j.Spec)] = true
		}
	}
	list := slices.SortedFunc(maps.Keys(kinds), compareWorkKinds)
	c := priority.ActiveConditions{ControllerDown: len(po.core.State.Members) < len(po.core.Controllers)}
	c.ZoneFailed = po.c.health.AnyZoneFailedOrRecovering()
	state.order = table.Resolve(list, c)
	return &state.order
}

func compareWorkKinds(a, b priority.Workload) int {
	return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Team, b.Team), cmp.Compare(a.Form, b.Form), cmp.Compare(a.Priority, b.Priority),
		core.BoolToInt(b.CapacityShort)-core.BoolToInt(a.CapacityShort))
}

// workKind is what rules see of a job.
func (po *Priorities) workKind(s *api.JobSpec) priority.Workload {
	return priority.Workload{Class: s.Class, Team: s.Team, Form: s.Kind, Priority: s.Priority, CapacityShort: po.isShort(s)}
}

// isShort reports whether all types that a job may use are short of room.
func (po *Priorities) isShort(s *api.JobSpec) bool {
	short := po.priorityState.shortage
	if len(short.Types) == 0 {
		return false
	}
	any := false
	for _, t := range po.EligibleTypes(s) {
		if !short.Includes(t) {
			return false
		}
		any = true
	}
	return any
}

// EligibleTypes are the types that a job's tasks may use and fit, in order.
func (po *Priorities) EligibleTypes(s *api.JobSpec) []api.MachineTypeName {
	var out []api.MachineTypeName
	demand, cpuOnly := s.Demand(), po.core.IsCPUOnly(s)
	for _, name := range slices.Sorted(maps.Keys(po.core.MachineTypes)) {
		if t := po.core.MachineTypes[name]; demand.Fits(t.Capacity()) && (len(s.Types) == 0 || slices.Contains(s.Types, name)) && !(cpuOnly && t.GPUs > 0) {
			out = append(out, name)
		}
	}
	return out
}

// PriorityBoost is by how much rules put a job above its priority; below it, where others come before.
func (po *Priorities) PriorityBoost(s *api.JobSpec) float64 {
	if len(po.core.Settings.Priority) == 0 {
		return 0
	}
	return po.priorityOrder().Level(po.workKind(s)) - float64(s.Priority.Rank())
}

// EffectivePriority is a job's place in the order.
func (po *Priorities) EffectivePriority(s *api.JobSpec) float64 {
	return float64(s.Priority.Rank()) + po.PriorityBoost(s)
}

// RecordShortage notes that a job's pending tasks found no free capacity in a partition.
func (po *Priorities) RecordShortage(owned *core.OwnedPartition, s *api.JobSpec) {
	if !po.HasShortageRule() {
		return
	}
	if owned.ShortTypes == nil {
		owned.ShortTypes = map[api.MachineTypeName]bool{}
	}
	for _, name := range po.EligibleTypes(s) {
		owned.ShortTypes[name] = true
	}
}

// HasShortageRule reports whether any rule asks whether room is short: else nobody writes it.
func (po *Priorities) HasShortageRule() bool {
	return slices.ContainsFunc(po.core.Settings.Priority, func(r priority.Rule) bool { return r.Condition == priority.CapacityShort })
}

// UpdateShortage keeps the record of what is short, where that is ours to do. Who can't read it goes
// on by the last one known.
func (po *Priorities) UpdateShortage() {
	state := &po.priorityState
	if !po.HasShortageRule() || po.core.Now.Sub(state.checkedAt) < priority.ShortageOnset/4 {
		return
	}
	state.checkedAt = po.core.Now
	short := map[api.MachineTypeName]bool{}
	for _, owned := range po.core.Partitions {
		for name := range owned.ShortTypes {
			short[name] = true
		}
	}
	for _, status := range po.c.gossiper.PeerPartitionStatuses() {
		for _, name := range status.Short {
			short[name] = true
		}
	}
	state.detector.Observe(short, po.core.Now)
	owned := po.shortageWriter()
	if owned == nil || state.writeInFlight {
		return
	}
	next := state.detector.Next(state.shortage, po.core.Now, owned.OwnedSince, po.core.WallClock)
	if next.Equal(state.shortage) {
		return
	}
	v, err := json.Marshal(next)
	if err != nil {
		slog.Error("shortage not encoded", "err", err)
		return
	}
	state.writeInFlight = true
	po.core.CallStoreTxn(api.Txn{If: []api.Condition{owned.OwnershipCondition(), po.core.State.VersionCondition(keyShortage)}, Writes: []api.Write{{Put: keyShortage, Value: v}}}, func(a message.StoreResponse) {
		if a.Status == 200 {
			slog.Info("capacity shortage changed", "types", next.Types, "term", owned.Term)
		}
		po.c.follower.LinearizableRead(func() { state.writeInFlight = false }, func() { state.writeInFlight = false })
	})
}

// PendingReasonPriority says by which rule other work goes before a job, or nothing.
func (po *Priorities) PendingReasonPriority(s *api.JobSpec) string {
	if len(po.core.Settings.Priority) == 0 {
		return ""
	}
	return po.priorityOrder().OutrankedBy(po.workKind(s))
}

// FairShareFloor is the share of its fair part that rules leave a job's class, 0 where none says.
func (po *Priorities) FairShareFloor(s *api.JobSpec) float64 {
	if len(po.core.Settings.Priority) == 0 {
		return 0
	}
	share, _ := po.priorityOrder().Floor(po.workKind(s))
	return share
}

// ContactPriorityMachines has the machines called at once, after a takeover, that hold what goes before all by
// a rule: their starts may not have been sent.
func (po *Priorities) ContactPriorityMachines(owned *core.OwnedPartition) {
	if len(po.core.Settings.Priority) == 0 {
		return
	}
	priorities := map[*core.Machine]float64{}
	var list []*core.Machine
	for _, m := range po.c.agents.MachinesOf(owned.ID) {
		for _, p := range po.core.State.PlacementsOn(m.ID) {
			priorities[m] = max(priorities[m], 1+po.EffectivePriority(p.Job.Spec))
		}
		if priorities[m] > 0 {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b *core.Machine) int { return sched.Descending(priorities[a], priorities[b]) })
	for _, m := range list[:min(len(list), po.c.agents.MaxDirectCalls()/2)] {
		po.c.agents.ContactNow(m)
	}
}

// SortByPriority puts jobs that rules raise first, the others as they are.
func (po *Priorities) SortByPriority(jobIDs []api.JobID) []api.JobID {
	if len(po.core.Settings.Priority) > 0 {
		slices.SortStableFunc(jobIDs, func(a, b api.JobID) int {
			x, y := po.PriorityBoost(po.core.State.PendingJobs[a].Spec), po.PriorityBoost(po.core.State.PendingJobs[b].Spec)
			return sched.Descending(x, y)
		})
	}
	return jobIDs
}
