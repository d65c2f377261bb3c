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
	"basaltwall/priority"
	"basaltwall/sched"
	"basaltwall/zonehealth"
)

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
func (n *Controller) shortageWriter() *ownedPartition { return n.partitions[0] }

// maxOrderAge is how old the order may be: the work that there is, and what holds, changes.
const maxOrderAge = time.Second

// priorityOrder is which work goes before which now. All controllers make the same of the same book, but
// for the moment that they are apart.
func (n *Controller) priorityOrder() *priority.Ordering {
	state := &n.priorityState
	if state.computed && n.now.Sub(state.orderedAt) < maxOrderAge {
		return &state.order
	}
	state.computed, state.orderedAt, state.order = true, n.now, priority.Ordering{}
	table := n.settings.Priority
	if len(table) == 0 {
		return &state.order
	}
	kinds := map[priority.Workload]bool{}
	for _, j := range n.state.Jobs {
		if !j.Terminal() {
			kinds[n.workKind(j.Spec)] = true
		}
	}
	list := slices.SortedFunc(maps.Keys(kinds), compareWorkKinds)
	c := priority.ActiveConditions{ControllerDown: len(n.state.Members) < len(n.controllers)}
	for _, r := range n.zones.records {
		c.ZoneFailed = c.ZoneFailed || r.State == zonehealth.Failed || r.State == zonehealth.Recovering
	}
	state.order = table.Resolve(list, c)
	return &state.order
}

func compareWorkKinds(a, b priority.Workload) int {
	return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Team, b.Team), cmp.Compare(a.Form, b.Form), cmp.Compare(a.Priority, b.Priority),
		boolToInt(b.CapacityShort)-boolToInt(a.CapacityShort))
}

// workKind is what rules see of a job.
func (n *Controller) workKind(s *api.JobSpec) priority.Workload {
	return priority.Workload{Class: s.Class, Team: s.Team, Form: s.Kind, Priority: s.Priority, CapacityShort: n.isShort(s)}
}

// isShort reports whether all types that a job may use are short of room.
func (n *Controller) isShort(s *api.JobSpec) bool {
	short := n.priorityState.shortage
	if len(short.Types) == 0 {
		return false
	}
	any := false
	for _, t := range n.eligibleTypes(s) {
		if !short.Includes(t) {
			return false
		}
		any = true
	}
	return any
}

// eligibleTypes are the types that a job's tasks may use and fit, in order.
func (n *Controller) eligibleTypes(s *api.JobSpec) []api.MachineTypeName {
	var out []api.MachineTypeName
	demand, cpuOnly := s.Demand(), n.isCPUOnly(s)
	for _, name := range slices.Sorted(maps.Keys(n.machineTypes)) {
		if t := n.machineTypes[name]; demand.Fits(t.Capacity()) && (len(s.Types) == 0 || slices.Contains(s.Types, name)) && !(cpuOnly && t.GPUs > 0) {
			out = append(out, name)
		}
	}
	return out
}

// priorityBoost is by how much rules put a job above its priority; below it, where others come before.
func (n *Controller) priorityBoost(s *api.JobSpec) float64 {
	if len(n.settings.Priority) == 0 {
		return 0
	}
	return n.priorityOrder().Level(n.workKind(s)) - float64(s.Priority.Rank())
}

// effectivePriority is a job's place in the order.
func (n *Controller) effectivePriority(s *api.JobSpec) float64 {
	return float64(s.Priority.Rank()) + n.priorityBoost(s)
}

// recordShortage notes that a job's waiting tasks found no room in a part.
func (owned *ownedPartition) recordShortage(n *Controller, s *api.JobSpec) {
	if !n.hasShortageRule() {
		return
	}
	if owned.shortTypes == nil {
		owned.shortTypes = map[api.MachineTypeName]bool{}
	}
	for _, name := range n.eligibleTypes(s) {
		owned.shortTypes[name] = true
	}
}

// hasShortageRule reports whether any rule asks whether room is short: else nobody writes it.
func (n *Controller) hasShortageRule() bool {
	return slices.ContainsFunc(n.settings.Priority, func(r priority.Rule) bool { return r.Condition == priority.CapacityShort })
}

// updateShortage keeps the record of what is short, where that is ours to do. Who can't read it goes
// on by the last one known.
func (n *Controller) updateShortage() {
	state := &n.priorityState
	if !n.hasShortageRule() || n.now.Sub(state.checkedAt) < priority.ShortageOnset/4 {
		return
	}
	state.checkedAt = n.now
	short := map[api.MachineTypeName]bool{}
	for _, owned := range n.partitions {
		for name := range owned.shortTypes {
			short[name] = true
		}
	}
	for _, status := range n.peerPartitionStatuses() {
		for _, name := range status.Short {
			short[name] = true
		}
	}
	state.detector.Observe(short, n.now)
	owned := n.shortageWriter()
	if owned == nil || state.writeInFlight {
		return
	}
	next := state.detector.Next(state.shortage, n.now, owned.ownedSince, n.wallClock)
	if next.Equal(state.shortage) {
		return
	}
	v, err := json.Marshal(next)
	if err != nil {
		slog.Error("shortage not encoded", "err", err)
		return
	}
	state.writeInFlight = true
	n.callStoreTxn(api.Txn{If: []api.Condition{owned.ownershipCondition(), n.state.VersionCondition(keyShortage)}, Writes: []api.Write{{Put: keyShortage, Value: v}}}, func(a StoreResponse) {
		if a.Status == 200 {
			slog.Info("capacity shortage changed", "types", next.Types, "term", owned.term)
		}
		n.linearizableRead(func() { state.writeInFlight = false }, func() { state.writeInFlight = false })
	})
}

// pendingReasonPriority says by which rule other work goes before a job, or nothing.
func (n *Controller) pendingReasonPriority(s *api.JobSpec) string {
	if len(n.settings.Priority) == 0 {
		return ""
	}
	return n.priorityOrder().OutrankedBy(n.workKind(s))
}

// fairShareFloor is the share of its fair part that rules leave a job's class, 0 where none says.
func (n *Controller) fairShareFloor(s *api.JobSpec) float64 {
	if len(n.settings.Priority) == 0 {
		return 0
	}
	share, _ := n.priorityOrder().Floor(n.workKind(s))
	return share
}

// contactPriorityMachines has the machines called at once, after a takeover, that hold what goes before all by
// a rule: their starts may not have been sent.
func (n *Controller) contactPriorityMachines(owned *ownedPartition) {
	if len(n.settings.Priority) == 0 {
		return
	}
	priorities := map[*Machine]float64{}
	var list []*Machine
	for _, m := range n.machinesOf(owned.id) {
		for _, p := range n.state.PlacementsOn(m.ID) {
			priorities[m] = max(priorities[m], 1+n.effectivePriority(p.Job.Spec))
		}
		if priorities[m] > 0 {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b *Machine) int { return sched.Descending(priorities[a], priorities[b]) })
	for _, m := range list[:min(len(list), n.maxDirectCalls/2)] {
		n.contactNow(m)
	}
}

// sortByPriority puts jobs that rules raise first, the others as they are.
func (n *Controller) sortByPriority(jobIDs []api.JobID) []api.JobID {
	if len(n.settings.Priority) > 0 {
		slices.SortStableFunc(jobIDs, func(a, b api.JobID) int {
			x, y := n.priorityBoost(n.state.PendingJobs[a].Spec), n.priorityBoost(n.state.PendingJobs[b].Spec)
			return sched.Descending(x, y)
		})
	}
	return jobIDs
}
