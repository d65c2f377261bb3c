// The known machines in order, and those of them on loan.

package agent

import (
	"iter"
	"maps"
	"slices"
	"strings"

	"basaltwall/api"
	"basaltwall/controller/core"
)

// machineLoan is when a machine's latest loan was first known here.
type machineLoan struct {
	revision api.Revision
	knownAt  api.Time
}

// MachinesOf lists a partition's machines that are known here, in order.
func (am *Manager) MachinesOf(p api.PartitionID) []*core.Machine {
	am.sortMachines()
	return am.machinesByPartition[p]
}

// sortMachines lists the machines in order, all and by partition, if some were added or removed or
// changed partitions since the last time.
func (am *Manager) sortMachines() {
	loansChanged := am.sortedLoanVersion != am.core.State.LoanGeneration
	if am.sortedMachines != nil && !loansChanged {
		return
	}
	if loansChanged {
		am.recordLoans()
	}
	am.sortedLoanVersion = am.core.State.LoanGeneration
	am.sortedMachines = make([]*core.Machine, 0, len(am.core.Machines))
	for _, m := range am.core.Machines {
		am.sortedMachines = append(am.sortedMachines, m)
	}
	slices.SortFunc(am.sortedMachines, func(a, b *core.Machine) int { return strings.Compare(string(a.ID), string(b.ID)) })
	am.machinesByPartition = make([][]*core.Machine, len(am.core.State.Partitions))
	for _, m := range am.sortedMachines {
		p := am.core.PartitionOf(m.ID)
		am.machinesByPartition[p] = append(am.machinesByPartition[p], m)
		am.reserveForLoan(m)
	}
}

// reserveForLoan keeps a machine that was newly lent for a job for that job alone.
func (am *Manager) reserveForLoan(m *core.Machine) {
	loan := am.core.State.Loans[m.ID]
	if loan.Revision == m.LoanRevision {
		return
	}
	m.LoanRevision = loan.Revision
	am.siblings.Preemptor.ReserveExclusively(m, loan.Job)
}

// recordLoans notes which loans are new and which are over.
func (am *Manager) recordLoans() {
	for id, loan := range am.core.State.Loans {
		if am.machineLoans[id].revision == loan.Revision {
			continue
		}
		am.machineLoans[id] = machineLoan{loan.Revision, am.core.Now}
		if loan.Transferred && am.core.Partitions[loan.Partition] != nil {
			am.siblings.Balancer.AdoptMachine(id)
		}
	}
	for id := range am.machineLoans {
		if _, ok := am.core.State.Loans[id]; !ok {
			delete(am.machineLoans, id)
		}
	}
}

// LoanInTransit reports whether a machine was lent so recently that its new owner is not likely to
// have had a heartbeat of it: until then nobody counts it as free capacity.
func (am *Manager) LoanInTransit(id api.MachineID) bool {
	loan, ok := am.machineLoans[id]
	if !ok || am.core.Now.Sub(loan.knownAt) > am.core.HeartbeatTimeout {
		return false
	}
	if len(am.core.State.PlacementsOn(id)) > 0 || am.siblings.Autoscaler.IsDeleted(id) {
		return false
	}
	m, owned := am.core.Machines[id], am.core.Partitions[am.core.PartitionOf(id)]
	return owned == nil || m == nil || m.LastHeartbeat == 0 || !am.siblings.Scheduler.IsSchedulable(m, owned)
}

// LoanKnownAt is when a machine's latest loan was first known here; 0 if it is not on loan.
func (am *Manager) LoanKnownAt(id api.MachineID) api.Time { return am.machineLoans[id].knownAt }

// LoanedMachines are the machines that are on loan, in no order.
func (am *Manager) LoanedMachines() iter.Seq[api.MachineID] { return maps.Keys(am.machineLoans) }
