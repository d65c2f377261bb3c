package balance

// This file lends empty machines to other partitions.

import (
	"encoding/json"
	"log/slog"
	"slices"

	"basaltwall/api"
	"basaltwall/backfill"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/sched"
)

// minLendInterval is the minimum interval at which a partition evaluates the unmet demand of others.
const minLendInterval = 2 * core.GossipInterval

// LendMachines lends a machine to another partition in which a job does not fit as a whole. The loan
// raises the machine's fencing token, so that earlier commands of this partition no longer take
// effect. If no empty machine fits, it preempts tasks of lower priority, lends a machine together with
// its tasks, or reserves a machine.
func (b *Balancer) LendMachines(owned *core.OwnedPartition) {
	if owned.LoanInFlight || owned.Releasing || owned.InFlight != nil || b.core.Now < owned.NextLoan {
		return
	}
	owned.NextLoan = b.core.Now.Add(minLendInterval)
	for _, status := range b.deps.Gossip.OtherPartitionStatuses(owned) {
		for _, demand := range status.Lack {
			if demand.Spec == nil || len(owned.UnmetDemands) > 0 && status.Part > owned.ID {
				continue // of two partitions with unmet demand, the one with the higher ID lends
			}
			if b.meetDemand(owned, status.Part, &demand) {
				return
			}
		}
	}
}

// meetDemand lends, preempts for or reserves a machine for a job of another partition, and reports
// whether it has lent one.
func (b *Balancer) meetDemand(owned *core.OwnedPartition, borrower api.PartitionID, demand *message.UnmetDemand) (lent bool) {
	cpuOnly, aged := b.core.IsCPUOnly(demand.Spec), demand.Stage != sched.NotAged
	if cpuOnly && owned.PendingTaskCount > 0 && !aged && !slices.Contains(demand.Lenders, owned.ID) {
		return false // the partition's own pending tasks can use the free capacity
	}
	empty, plan := b.selectLoanMachine(owned, demand, cpuOnly)
	if empty != nil {
		b.lendMachine(owned, empty.ID, borrower, demand.Spec.Ref)
		return true
	}
	if plan.Machine != nil {
		b.deps.Preemptor.ReserveExclusively(plan.Machine, demand.Spec.Ref)
		b.deps.Preemptor.ExecutePreemption(plan, demand.Spec.Ref)
		return false
	}
	if m := b.selectTransferMachine(owned, demand, cpuOnly); m != nil {
		b.lendMachineWithTasks(owned, m, borrower, demand.Spec.Ref)
		return true
	}
	if aged {
		b.reserveForLoan(owned, demand)
	}
	return false
}

// selectLoanMachine finds an empty machine for a job of another partition or, if there is none, the
// machine that preemption would empty at the lowest cost.
func (b *Balancer) selectLoanMachine(owned *core.OwnedPartition, demand *message.UnmetDemand, cpuOnly bool) (empty *core.Machine, best core.PreemptionPlan) {
	mayPreempt := !cpuOnly || demand.Stage != sched.NotAged
	for _, m := range b.deps.Agents.MachinesOf(owned.ID) {
		reservedFor := b.deps.Preemptor.ReservedFor(m)
		if reservedFor != "" && reservedFor != demand.Spec.Ref || !b.isLendable(m, owned, demand, cpuOnly) {
			continue
		}
		if b.isEmpty(m) {
			if demand.Spec.Demand().Fits(b.deps.Scheduler.FreeCapacityOn(m, owned)) {
				return m, core.PreemptionPlan{}
			}
			continue
		}
		if !mayPreempt {
			continue
		}
		plan := b.deps.Preemptor.PlanPreemption(m, owned, demand.Spec, demand.Spec.Tasks, false)
		emptied := plan.Tasks > 0 && len(plan.Victims) == len(b.core.State.PlacementsOn(m.ID))
		if emptied && (best.Machine == nil || plan.Cost < best.Cost) {
			best = plan
		}
	}
	return nil, best
}

// isEmpty reports whether a machine has no tasks, neither placed nor unknown ones.
func (b *Balancer) isEmpty(m *core.Machine) bool {
	return len(b.core.State.PlacementsOn(m.ID)) == 0 && hasOnlyKnownTasks(m)
}

// hasOnlyKnownTasks reports whether all tasks that a machine has reported are in the cluster state.
func hasOnlyKnownTasks(m *core.Machine) bool {
	return !m.HasUnknownTasks && m.UntrackedUsage == (api.Resources{})
}

// isLendable reports whether a machine may be lent, in its present state, for a job with unmet demand.
func (b *Balancer) isLendable(m *core.Machine, owned *core.OwnedPartition, demand *message.UnmetDemand, cpuOnly bool) bool {
	return b.deps.Scheduler.IsSchedulable(m, owned) && !m.CallInFlight &&
		isInZoneOf(m, demand) &&
		b.core.IsEligible(demand.Spec, cpuOnly, m.MachineType, m.Zone, m.Spot)
}

// isInZoneOf reports whether a machine is in a zone that a job's tasks may use.
func isInZoneOf(m *core.Machine, demand *message.UnmetDemand) bool {
	return (demand.Zone == "" || m.Zone == demand.Zone) && sched.ZoneFeasible(demand.Spec, demand.Zones, m.Zone)
}

// reserveForLoan reserves the machine that is expected to be empty soonest for an aged job of another
// partition.
func (b *Balancer) reserveForLoan(owned *core.OwnedPartition, demand *message.UnmetDemand) {
	var candidates []*core.Machine
	for _, m := range b.deps.Agents.MachinesOf(owned.ID) {
		if b.deps.Scheduler.IsSchedulable(m, owned) && isInZoneOf(m, demand) {
			candidates = append(candidates, m)
		}
	}
	machines, views := b.deps.Backfiller.ReservableMachines(owned, demand.Spec, candidates)
	if i, _ := backfill.SoonestEmpty(views, demand.Spec.Demand()); i >= 0 {
		b.deps.Backfiller.Reserve(owned, machines[i], demand.Spec.Ref, demand.Spec.Priority.Rank(), demand.Stage)
	}
}

// lendMachine writes the record of a loan and retries until the outcome is known. Until then no round
// is planned, as a late write must not lend a machine that has received a task.
func (b *Balancer) lendMachine(owned *core.OwnedPartition, id api.MachineID, borrower api.PartitionID, jobID api.JobID) {
	key := clusterstate.KeyLoan + string(id)
	value, err := json.Marshal(clusterstate.LoanValue{Partition: borrower, Job: jobID, Transferred: b.core.State.Loans[id].Transferred})
	if err != nil {
		slog.Error("failed to encode loan record", "err", err)
		return
	}
	owned.LoanInFlight = true
	txn := api.Txn{
		If:     []api.Condition{owned.OwnershipCondition(), b.core.State.VersionCondition(key)},
		Writes: []api.Write{{Put: key, Value: value}},
	}
	settle := func() { owned.LoanInFlight, owned.NeedsRound = false, true }
	var attempt func()
	retry := func() { b.core.DeferCall(attempt) }
	attempt = func() {
		b.core.CallStoreTxn(txn, func(response message.StoreResponse) {
			if b.core.Partitions[owned.ID] != owned {
				return
			}
			switch response.Status {
			case 200:
				b.core.Metrics.MachinesLoaned++
				slog.Info("machine lent", "machine", id, "from", owned.ID, "to", borrower, "for", jobID)
				b.deps.Log.LinearizableRead(settle, retry)
			case api.StatusConflict, api.StatusBadRequest: // refused for good
				b.core.RepeatRead(b.deps.Log.LinearizableRead, func() bool { return b.core.Partitions[owned.ID] == owned }, settle)
			default:
				retry()
			}
		})
	}
	attempt()
}

// DropLoanRecord removes the loan record of a deleted machine, unless a checkpoint still depends on
// the record for tasks that were transferred with the machine.
func (b *Balancer) DropLoanRecord(owned *core.OwnedPartition, id api.MachineID) {
	if _, ok := b.core.State.Loans[id]; !ok || !b.core.State.LoanCheckpointed(id) {
		return
	}
	key := clusterstate.KeyLoan + string(id)
	txn := api.Txn{
		If:     []api.Condition{owned.OwnershipCondition(), b.core.State.VersionCondition(key)},
		Writes: []api.Write{{Drop: key}},
	}
	b.core.CallStoreTxn(txn, func(message.StoreResponse) {})
}
