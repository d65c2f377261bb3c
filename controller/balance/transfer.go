package balance

// This file lends machines together with their tasks, for jobs that have been pending for long and
// whose tasks must be in one partition, when no machine is empty. One transaction writes the loan, the
// tasks and the quota that they use, on condition that none of their jobs has changed. Therefore none
// of these jobs is cancelled, and no placement is added to a partition that has not acknowledged a
// cancellation. See clusterstate/transfer.go and docs/safety.md.

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"slices"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// AllSupportFormat reports whether every controller supports a record format.
func (b *Balancer) AllSupportFormat(format int) bool {
	return !slices.ContainsFunc(b.core.Controllers, func(id api.ControllerID) bool { return b.deps.Membership.Format(id) < format })
}

// selectTransferMachine returns the machine of a partition with free capacity for the most tasks of a
// job and, among equals, the fewest tasks of its own; nil if no machine can be lent with its tasks.
func (b *Balancer) selectTransferMachine(owned *core.OwnedPartition, demand *message.UnmetDemand, cpuOnly bool) *core.Machine {
	if !slices.Contains(demand.Lenders, owned.ID) || b.deps.Scheduler.IsRecordRingFull(owned) || !b.AllSupportFormat(clusterstate.FormatTransfers) {
		return nil
	}
	var best *core.Machine
	bestSlots := 0
	for _, m := range b.deps.Agents.MachinesOf(owned.ID) {
		if b.deps.Preemptor.ReservedFor(m) != "" || !b.isLendable(m, owned, demand, cpuOnly) || !b.IsTransferable(m, owned) {
			continue
		}
		slots := min(demand.Spec.Demand().Slots(b.deps.Scheduler.FreeCapacityOn(m, owned)), demand.Spec.Tasks)
		fewerTasks := best != nil && slots == bestSlots && len(b.core.State.PlacementsOn(m.ID)) < len(b.core.State.PlacementsOn(best.ID))
		if slots > bestSlots || fewerTasks {
			best, bestSlots = m, slots
		}
	}
	return best
}

// IsTransferable reports whether all tasks of a machine can be transferred with it: each is known and
// transferable, and their jobs are few enough for the conditions of one transaction.
func (b *Balancer) IsTransferable(m *core.Machine, owned *core.OwnedPartition) bool {
	if !hasOnlyKnownTasks(m) || m.SupersededToken != 0 {
		return false
	}
	jobs := map[api.JobID]bool{}
	for _, p := range b.core.State.PlacementsOn(m.ID) {
		if p.Partition != owned.ID || !isTransferableTask(p) {
			return false
		}
		jobs[p.Job.ID] = true
	}
	return len(jobs) < owned.RoundReduction.Apply(b.deps.Scheduler.RoundConditionBudget())
}

// isTransferableTask reports whether a task can change its partition: its machine has reported it, it
// is not being stopped, and its job is neither a gang nor holds units of pools.
func isTransferableTask(p *core.Placement) bool {
	reported := p.OwnerState.Reported
	ending := p.Finishing || p.OwnerState.StopRequested || p.Job.Terminal()
	bound := p.Job.Spec.Kind == api.Gang || len(p.Job.Spec.Needs) > 0
	return reported && !ending && !bound
}

// lendMachineWithTasks lends a machine to another partition together with its tasks.
func (b *Balancer) lendMachineWithTasks(owned *core.OwnedPartition, m *core.Machine, borrower api.PartitionID, jobID api.JobID) {
	key := clusterstate.KeyLoan + string(m.ID)
	value, err := json.Marshal(clusterstate.LoanValue{Partition: borrower, Job: jobID, Transferred: true, Tasks: b.core.State.StartsOn(m.ID)})
	if err != nil {
		return
	}
	round := &core.PendingRound{
		Record:   clusterstate.RoundRecord{Seq: b.core.State.Partitions[owned.ID].RoundSeq + 1},
		Ends:     map[*core.Placement]bool{},
		Transfer: true,
	}
	round.Txn.If = []api.Condition{b.core.State.VersionCondition(key)}
	round.Txn.Writes = []api.Write{{Put: key, Value: value}}
	used := map[api.Team]api.Resources{}
	placements := b.core.State.PlacementsOn(m.ID)
	for _, p := range placements {
		team, demand := p.Job.Spec.Team, p.Job.Demand
		used[team] = used[team].Plus(api.Resources{CPU: demand.CPU, GPU: demand.GPU})
		unchanged := api.Condition{Key: clusterstate.KeyJob + string(p.Job.ID), Version: p.Job.Version}
		if !slices.Contains(round.Txn.If, unchanged) {
			round.Txn.If = append(round.Txn.If, unchanged)
		}
	}
	round.Record.QuotaTransfers = b.usedQuotaTransfers(borrower, used)
	if !b.deps.Scheduler.RoundFits(owned, round) {
		return
	}
	slog.Info("machine lent with running tasks", "machine", m.ID, "from", owned.ID, "to", borrower, "for", jobID, "tasks", len(placements))
	b.core.Metrics.MachinesTransferred++
	b.deps.Scheduler.CommitRound(owned, round)
}

// usedQuotaTransfers returns transfers of the quota that transferred tasks use, for teams with a limit.
func (b *Balancer) usedQuotaTransfers(to api.PartitionID, used map[api.Team]api.Resources) []clusterstate.QuotaTransfer {
	var out []clusterstate.QuotaTransfer
	for team, amount := range used {
		if amount = b.limitedResources(team, amount); amount != (api.Resources{}) {
			out = append(out, clusterstate.QuotaTransfer{To: to, Team: team, Amount: amount})
		}
	}
	slices.SortFunc(out, func(x, y clusterstate.QuotaTransfer) int { return cmp.Compare(x.Team, y.Team) })
	return out
}

// AdoptMachine adds a machine that was lent to an owned partition with its tasks. The machine is called
// as soon as its address is known, so that it receives the new fencing token and reports its tasks.
func (b *Balancer) AdoptMachine(id api.MachineID) {
	m := b.deps.Agents.EnsureMachine(id)
	m.DiscoveredAt, m.UnansweredCalls = b.core.Now, 0
	if listed, ok := b.deps.Autoscaler.ListedMachine(id); ok {
		m.ApplyListing(listed)
	}
	b.deps.Agents.ScheduleDirectCall(m)
}
