package controller

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

// LendMachines gives a free machine to a part that can't hold a job whole. The write
// raises the token under which the machine is commanded, so nothing that this
// part has sent it can take effect any more. Where none is free, one is cleared
// of lower work first.
func (bl *Balancer) LendMachines(owned *core.OwnedPartition) {
	if owned.LoanInFlight || owned.Releasing || owned.InFlight != nil || bl.core.Now < owned.NextLoan {
		return
	}
	owned.NextLoan = bl.core.Now.Add(2 * core.GossipInterval)
	for _, status := range bl.c.gossiper.OtherPartitionStatuses(owned) {
		for _, demand := range status.Lack {
			if demand.Spec == nil || len(owned.UnmetDemands) > 0 && status.Part > owned.ID {
				continue // of two that lack something, one must give
			}
			cpuOnly := bl.core.IsCPUOnly(demand.Spec)
			if cpuOnly && owned.PendingTaskCount > 0 && demand.Stage == sched.NotAged && !slices.Contains(demand.Lenders, owned.ID) {
				continue // our own tasks can use what is free
			}
			var best preemptionPlan
			for _, m := range bl.c.agents.MachinesOf(owned.ID) {
				if reservedJob := bl.c.preemptor.ReservedFor(m); reservedJob != "" && reservedJob != demand.Spec.Ref || !bl.isLendable(m, owned, &demand, cpuOnly) {
					continue
				}
				if len(bl.core.State.PlacementsOn(m.ID)) == 0 && !m.HasUnknownTasks && m.UntrackedUsage == (api.Resources{}) {
					if demand.Spec.Demand().Fits(bl.c.scheduler.FreeCapacityOn(m, owned)) {
						bl.lendMachine(owned, m.ID, status.Part, demand.Spec.Ref)
						return
					}
					continue
				}
				if cpuOnly && demand.Stage == sched.NotAged {
					continue
				}
				plan := bl.c.preemptor.PlanPreemption(m, owned, demand.Spec, demand.Spec.Tasks, false)
				if plan.tasks > 0 && len(plan.victims) == len(bl.core.State.PlacementsOn(m.ID)) && (best.machine == nil || plan.cost < best.cost) {
					best = plan
				}
			}
			if best.machine != nil {
				bl.c.preemptor.ReserveExclusively(best.machine, demand.Spec.Ref)
				bl.c.preemptor.ExecutePreemption(best, demand.Spec.Ref)
			} else if m := bl.selectTransferMachine(owned, &demand, cpuOnly); m != nil {
				bl.lendMachineWithTasks(owned, m, status.Part, demand.Spec.Ref)
				return
			} else if demand.Stage != sched.NotAged {
				bl.reserveForLoan(owned, demand)
			}
		}
	}
}

// isLendable reports whether a machine may be lent, as it is, to a job that lacks room.
func (bl *Balancer) isLendable(m *core.Machine, owned *core.OwnedPartition, demand *message.UnmetDemand, cpuOnly bool) bool {
	return bl.c.scheduler.IsSchedulable(m, owned) && !m.CallInFlight && (demand.Zone == "" || m.Zone == demand.Zone) && bl.core.IsEligible(demand.Spec, cpuOnly, m.MachineType, m.Zone, m.Spot) &&
		sched.ZoneFeasible(demand.Spec, demand.Zones, m.Zone)
}

// reserveForLoan keeps the machine that is empty soonest for another part's job that must begin.
func (bl *Balancer) reserveForLoan(owned *core.OwnedPartition, demand message.UnmetDemand) {
	var candidates []*core.Machine
	for _, m := range bl.c.agents.MachinesOf(owned.ID) {
		if bl.c.scheduler.IsSchedulable(m, owned) && (demand.Zone == "" || m.Zone == demand.Zone) && sched.ZoneFeasible(demand.Spec, demand.Zones, m.Zone) {
			candidates = append(candidates, m)
		}
	}
	ms, hosts := bl.c.backfiller.ReservableMachines(owned, demand.Spec, candidates)
	if i, _ := backfill.SoonestEmpty(hosts, demand.Spec.Demand()); i >= 0 {
		bl.c.backfiller.Reserve(owned, ms[i], demand.Spec.Ref, demand.Spec.Priority.Rank(), demand.Stage)
	}
}

func (bl *Balancer) lendMachine(owned *core.OwnedPartition, id api.MachineID, to api.PartitionID, jobID api.JobID) {
	owned.LoanInFlight = true
	key := clusterstate.KeyLoan + string(id)
	v, _ := json.Marshal(clusterstate.LoanValue{Partition: to, Job: jobID, Transferred: bl.core.State.Loans[id].Transferred})
	tx := api.Txn{If: []api.Condition{owned.OwnershipCondition(), bl.core.State.VersionCondition(key)},
		Writes: []api.Write{{Put: key, Value: v}}}
	// No round is planned before the outcome is known: a late write must not
	// give away a machine that has got a task meanwhile.
	var attempt func()
	settle := func() { owned.LoanInFlight, owned.Dirty = false, true }
	attempt = func() {
		bl.core.CallStoreTxn(tx, func(a message.StoreResponse) {
			if bl.core.Partitions[owned.ID] != owned {
				return
			}
			switch a.Status {
			case 200, 409:
				if a.Status == 200 {
					bl.core.Metrics.MachinesLoaned++
					slog.Info("machine lent", "machine", id, "from", owned.ID, "to", to, "for", jobID)
				}
				bl.c.follower.LinearizableRead(settle, func() { bl.core.DeferCall(attempt) })
			default:
				bl.core.DeferCall(attempt)
			}
		})
	}
	attempt()
}

// DropLoanRecord forgets that a machine was lent once it is gone and no checkpoint names tasks that it
// took along.
func (bl *Balancer) DropLoanRecord(owned *core.OwnedPartition, id api.MachineID) {
	if _, ok := bl.core.State.Loans[id]; !ok || !bl.core.State.LoanCheckpointed(id) {
		return
	}
	key := clusterstate.KeyLoan + string(id)
	bl.core.CallStoreTxn(api.Txn{If: []api.Condition{owned.OwnershipCondition(), bl.core.State.VersionCondition(key)}, Writes: []api.Write{{Drop: key}}}, func(message.StoreResponse) {})
}
