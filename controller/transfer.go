package controller

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/sched"
)

// A machine with room is lent together with the tasks that run there, where a job whose tasks must
// lie in one part has waited for long and no machine is empty. One record of the part that gives
// it carries the lending, the tasks and the share of their teams' limits that they use, under the
// conditions that none of their jobs has changed: none was cancelled, so that no place is added
// to a part that has not said that it knows of a cancellation. See book/transfer.go and
// docs/safety.md.

// transferWait is how long a job waits before machines are lent to it with their tasks: that
// tears the work of other jobs from their part, and room may come free by itself.
const transferWait = 20 * time.Second

// unmetDemandExpiry is when a job that was not seen to lack room since counts as one that begins to.
const unmetDemandExpiry = 4 * core.UnmetDemandRecheckInterval

// UnmetDemandOf describes a job that found no room in its part.
func (bl *Balancer) UnmetDemandOf(owned *core.OwnedPartition, j *core.Job, request *sched.Job) message.UnmetDemand {
	if j.OwnerState.UnmetSince == 0 || bl.core.Now.Sub(j.OwnerState.UnmetSeenAt) > unmetDemandExpiry {
		j.OwnerState.UnmetSince = bl.core.Now
	}
	j.OwnerState.UnmetSeenAt = bl.core.Now
	demand := message.UnmetDemand{Spec: j.Spec, Zones: request.PlacedByZone, Zone: bl.preferredZone(j.Spec), Stage: request.AgingStage}
	if j.Spec.OneZone {
		for zone := range request.PlacedByZone {
			demand.Zone = zone // where its tasks are
		}
	}
	if bl.core.Now.Sub(j.OwnerState.UnmetSince) > transferWait {
		demand.Lenders = bl.findLenders(owned, j, &demand)
	}
	return demand
}

// findLenders are the parts whose machines have most room for a job that finds none in its own,
// as many as it takes; none if all together have too little, which for a gang is room for less
// than all of it.
func (bl *Balancer) findLenders(owned *core.OwnedPartition, j *core.Job, demand *message.UnmetDemand) []api.PartitionID {
	cpuOnly := bl.core.IsCPUOnly(j.Spec)
	slots := make([]int, len(bl.core.State.Partitions))
	var machines []sched.Machine
	bl.c.gossiper.EachFreeCapacity(func(p api.PartitionID, k message.MachineClass, r message.FreeCapacity) {
		if !k.Usable || demand.Zone != "" && k.Zone != demand.Zone || !bl.core.IsEligible(j.Spec, cpuOnly, k.Type, k.Zone, k.Spot) || !sched.ZoneFeasible(j.Spec, demand.Zones, k.Zone) {
			return
		}
		slotsPerMachine := j.Demand.Slots(r.Free)
		slots[p] += r.Count * slotsPerMachine
		if j.Spec.Kind == api.Gang && slotsPerMachine > 0 {
			for range min(r.Count, j.Spec.Tasks) {
				machines = append(machines, sched.Machine{Type: k.Type, Zone: k.Zone, Spot: k.Spot, Free: r.Free})
			}
		}
	})
	if j.Spec.Kind == api.Gang && !sched.FitsAll(machines, j.Spec) {
		return nil
	}
	missing := j.PendingTasks(owned.ID)
	if j.Spec.Kind == api.Gang {
		missing -= slots[owned.ID]
	}
	var others []api.PartitionID
	for p, s := range slots {
		if api.PartitionID(p) != owned.ID && s > 0 {
			others = append(others, api.PartitionID(p))
		}
	}
	slices.SortStableFunc(others, func(a, b api.PartitionID) int { return cmp.Compare(slots[b], slots[a]) })
	count := 0
	for count < len(others) && missing > 0 {
		missing -= slots[others[count]]
		count++
	}
	return others[:count]
}

// allSupportFormat reports whether every controller has told that it understands a form of records.
func (bl *Balancer) allSupportFormat(format int) bool {
	return !slices.ContainsFunc(bl.core.Controllers, func(l api.ControllerID) bool { return bl.c.membership.Format(l) < format })
}

// selectTransferMachine is the machine of a part that has room for most of a job's tasks and, of
// those, holds fewest others; nil if none can be lent with what runs there.
func (bl *Balancer) selectTransferMachine(owned *core.OwnedPartition, demand *message.UnmetDemand, cpuOnly bool) *core.Machine {
	if !slices.Contains(demand.Lenders, owned.ID) || bl.c.scheduler.IsRecordRingFull(owned) || !bl.allSupportFormat(clusterstate.FormatTransfers) {
		return nil
	}
	var best *core.Machine
	bestSlots := 0
	for _, m := range bl.c.agents.MachinesOf(owned.ID) {
		if bl.c.preemptor.ReservedFor(m) != "" || !bl.isLendable(m, owned, demand, cpuOnly) || !bl.isTransferable(m, owned) {
			continue
		}
		slots := min(demand.Spec.Demand().Slots(bl.c.scheduler.FreeCapacityOn(m, owned)), demand.Spec.Tasks)
		if slots > bestSlots || best != nil && slots == bestSlots && len(bl.core.State.PlacementsOn(m.ID)) < len(bl.core.State.PlacementsOn(best.ID)) {
			best, bestSlots = m, slots
		}
	}
	return best
}

// isTransferable reports whether all that is on a machine can go with it: tasks that are known to
// have arrived there, are not being stopped, and whose jobs neither hold units of pools nor have
// to be stopped together.
func (bl *Balancer) isTransferable(m *core.Machine, owned *core.OwnedPartition) bool {
	if m.HasUnknownTasks || m.UntrackedUsage != (api.Resources{}) || m.UncertainToken != 0 {
		return false
	}
	jobs := map[api.JobID]bool{}
	for _, p := range bl.core.State.PlacementsOn(m.ID) {
		s := p.Job.Spec
		if p.Partition != owned.ID || p.Finishing || p.OwnerState.StopRequested || !p.OwnerState.Reported || p.Job.Terminal() || s.Kind == api.Gang || len(s.Needs) > 0 {
			return false
		}
		jobs[p.Job.ID] = true
	}
	return len(jobs) < bl.c.scheduler.RoundConditionBudget()
}

// lendMachineWithTasks lends a machine to another part together with its tasks.
func (bl *Balancer) lendMachineWithTasks(owned *core.OwnedPartition, m *core.Machine, to api.PartitionID, jobID api.JobID) {
	key := clusterstate.KeyLoan + string(m.ID)
	value, err := json.Marshal(clusterstate.LoanValue{Partition: to, Job: jobID, Transferred: true, Tasks: bl.core.State.StartsOn(m.ID)})
	if err != nil || bl.core.ExceedsValueSize(value) {
		return
	}
	round := &core.PendingRound{Record: clusterstate.Record{Seq: bl.core.State.Partitions[owned.ID].RoundSeq + 1}, Ends: map[*core.Placement]bool{}, Transfer: true}
	round.Txn.If = []api.Condition{bl.core.State.VersionCondition(key)}
	round.Txn.Writes = []api.Write{{Put: key, Value: value}}
	use := map[api.Team]api.Resources{}
	for _, p := range bl.core.State.PlacementsOn(m.ID) {
		team, demand := p.Job.Spec.Team, p.Job.Demand
		use[team] = use[team].Plus(api.Resources{CPU: demand.CPU, GPU: demand.GPU})
		c := api.Condition{Key: clusterstate.KeyJob + string(p.Job.ID), Version: p.Job.Version}
		if !slices.Contains(round.Txn.If, c) {
			round.Txn.If = append(round.Txn.If, c)
		}
	}
	round.Record.QuotaTransfers = bl.usedQuotaTransfers(to, use)
	slog.Info("machine lent with running tasks", "machine", m.ID, "from", owned.ID, "to", to, "for", jobID, "tasks", len(bl.core.State.PlacementsOn(m.ID)))
	bl.core.Metrics.MachinesTransferred++
	bl.c.scheduler.CommitRound(owned, round)
}

// usedQuotaTransfers gives another part what is used of teams' limits, of those that have one.
func (bl *Balancer) usedQuotaTransfers(to api.PartitionID, used map[api.Team]api.Resources) []clusterstate.QuotaTransfer {
	var out []clusterstate.QuotaTransfer
	for team, amount := range used {
		if amount = bl.limitedResources(team, amount); amount != (api.Resources{}) {
			out = append(out, clusterstate.QuotaTransfer{To: to, Team: team, Amount: amount})
		}
	}
	slices.SortFunc(out, func(a, b clusterstate.QuotaTransfer) int { return cmp.Compare(a.Team, b.Team) })
	return out
}

// AdoptMachine takes in a machine that was lent to one of our parts with its tasks: it is called as
// soon as its address is known, so that it learns our token and we learn what became of them.
func (bl *Balancer) AdoptMachine(id api.MachineID) {
	m := bl.c.agents.EnsureMachine(id)
	m.DiscoveredAt, m.MissedCalls = bl.core.Now, 0
	if h, ok := bl.c.autoscaler.ListedMachine(id); ok {
		m.ApplyListing(h)
	}
	bl.c.agents.ContactNow(m)
}
