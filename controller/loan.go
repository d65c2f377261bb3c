package controller

import (
	"encoding/json"
	"log/slog"
	"slices"

	"basaltwall/api"
	"basaltwall/backfill"
	"basaltwall/clusterstate"
	"basaltwall/sched"
)

// lendMachines gives a free machine to a part that can't hold a job whole. The write
// raises the token under which the machine is commanded, so nothing that this
// part has sent it can take effect any more. Where none is free, one is cleared
// of lower work first.
func (n *Controller) lendMachines(owned *ownedPartition) {
	if owned.loanInFlight || owned.releasing || owned.inFlight != nil || n.now < owned.nextLoan {
		return
	}
	owned.nextLoan = n.now.Add(2 * gossipInterval)
	for _, status := range n.otherPartitionStatuses(owned) {
		for _, demand := range status.Lack {
			if demand.Spec == nil || len(owned.unmetDemands) > 0 && status.Part > owned.id {
				continue // of two that lack something, one must give
			}
			cpuOnly := n.isCPUOnly(demand.Spec)
			if cpuOnly && owned.pendingTaskCount > 0 && demand.Stage == sched.NotAged && !slices.Contains(demand.Lenders, owned.id) {
				continue // our own tasks can use what is free
			}
			var best preemptionPlan
			for _, m := range n.machinesOf(owned.id) {
				if reservedJob := n.reservedFor(m); reservedJob != "" && reservedJob != demand.Spec.Ref || !n.isLendable(m, owned, &demand, cpuOnly) {
					continue
				}
				if len(n.state.PlacementsOn(m.ID)) == 0 && !m.hasUnknownTasks && m.untrackedUsage == (api.Resources{}) {
					if demand.Spec.Demand().Fits(n.freeCapacityOn(m, owned)) {
						n.lendMachine(owned, m.ID, status.Part, demand.Spec.Ref)
						return
					}
					continue
				}
				if cpuOnly && demand.Stage == sched.NotAged {
					continue
				}
				plan := n.planPreemption(m, owned, demand.Spec, demand.Spec.Tasks, false)
				if plan.tasks > 0 && len(plan.victims) == len(n.state.PlacementsOn(m.ID)) && (best.machine == nil || plan.cost < best.cost) {
					best = plan
				}
			}
			if best.machine != nil {
				n.reserveExclusively(best.machine, demand.Spec.Ref)
				n.executePreemption(best, demand.Spec.Ref)
			} else if m := n.selectTransferMachine(owned, &demand, cpuOnly); m != nil {
				n.lendMachineWithTasks(owned, m, status.Part, demand.Spec.Ref)
				return
			} else if demand.Stage != sched.NotAged {
				n.reserveForLoan(owned, demand)
			}
		}
	}
}

// isLendable reports whether a machine may be lent, as it is, to a job that lacks room.
func (n *Controller) isLendable(m *Machine, owned *ownedPartition, demand *UnmetDemand, cpuOnly bool) bool {
	return n.isSchedulable(m, owned) && !m.callInFlight && (demand.Zone == "" || m.zone == demand.Zone) && n.isEligible(demand.Spec, cpuOnly, m.machineType, m.zone, m.spot) &&
		sched.ZoneFeasible(demand.Spec, demand.Zones, m.zone)
}

// reserveForLoan keeps the machine that is empty soonest for another part's job that must begin.
func (n *Controller) reserveForLoan(owned *ownedPartition, demand UnmetDemand) {
	var candidates []*Machine
	for _, m := range n.machinesOf(owned.id) {
		if n.isSchedulable(m, owned) && (demand.Zone == "" || m.zone == demand.Zone) && sched.ZoneFeasible(demand.Spec, demand.Zones, m.zone) {
			candidates = append(candidates, m)
		}
	}
	ms, hosts := n.reservableHosts(owned, demand.Spec, nil, candidates, map[*Machine][]backfill.Release{}, nil)
	if i, _ := backfill.SoonestEmpty(hosts, demand.Spec.Demand()); i >= 0 {
		n.reserve(owned, ms[i], demand.Spec.Ref, demand.Spec.Priority.Rank(), demand.Stage)
	}
}

func (n *Controller) lendMachine(owned *ownedPartition, id api.MachineID, to api.PartitionID, jobID api.JobID) {
	owned.loanInFlight = true
	key := clusterstate.KeyLoan + string(id)
	v, _ := json.Marshal(clusterstate.LoanValue{Partition: to, Job: jobID, Transferred: n.state.Loans[id].Transferred})
	tx := api.Txn{If: []api.Condition{owned.ownershipCondition(), n.state.VersionCondition(key)},
		Writes: []api.Write{{Put: key, Value: v}}}
	// No round is planned before the outcome is known: a late write must not
	// give away a machine that has got a task meanwhile.
	var attempt func()
	settle := func() { owned.loanInFlight, owned.dirty = false, true }
	attempt = func() {
		n.callStoreTxn(tx, func(a StoreResponse) {
			if n.partitions[owned.id] != owned {
				return
			}
			switch a.Status {
			case 200, 409:
				if a.Status == 200 {
					n.metrics.MachinesLoaned++
					slog.Info("machine lent", "machine", id, "from", owned.id, "to", to, "for", jobID)
				}
				n.linearizableRead(settle, func() { n.deferCall(attempt) })
			default:
				n.deferCall(attempt)
			}
		})
	}
	attempt()
}

// dropLoanRecord forgets that a machine was lent once it is gone and no checkpoint names tasks that it
// took along.
func (n *Controller) dropLoanRecord(owned *ownedPartition, id api.MachineID) {
	if _, ok := n.state.Loans[id]; !ok || !n.state.LoanCheckpointed(id) {
		return
	}
	key := clusterstate.KeyLoan + string(id)
	n.callStoreTxn(api.Txn{If: []api.Condition{owned.ownershipCondition(), n.state.VersionCondition(key)}, Writes: []api.Write{{Drop: key}}}, func(StoreResponse) {})
}
