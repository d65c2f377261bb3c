// This file counts incoming machines: those that are about to add free capacity.

package autoscale

import (
	"basaltwall/api"
	"basaltwall/controller/core"
)

// IncomingMachines counts the machines that no owner reports yet but soon will: booting
// machines, recently created ones, and loaned ones without a heartbeat to the new owner.
func (as *Manager) IncomingMachines() map[core.MachineOffer]int {
	accounted := as.accountedMachines()
	incoming := map[core.MachineOffer]int{}
	for id, listed := range as.Listed {
		if as.isBooting(listed) && !accounted[id] && !as.IsDeleted(id) {
			incoming[offerOf(listed)]++
		}
	}
	for id := range as.deps.Agents.LoanedMachines() {
		listed, ok := as.Listed[id]
		if !ok {
			continue
		}
		slow := listed.AgeSeconds > slowBootFactor*as.core.BootSeconds(listed.Type)
		if (accounted[id] || slow) && as.deps.Agents.LoanInTransit(id) {
			incoming[offerOf(listed)]++
		}
	}
	for id, provisioned := range as.Provisioned {
		if as.awaitsListing(id) && !accounted[id] && !as.hasHeartbeat(id) {
			incoming[provisioned.Offer]++
		}
	}
	return incoming
}

// accountedMachines returns the machines that owners report or that have placements.
func (as *Manager) accountedMachines() map[api.MachineID]bool {
	accounted := map[api.MachineID]bool{}
	for id := range as.Listed {
		if as.hasHeartbeat(id) || len(as.core.State.PlacementsOn(id)) > 0 {
			accounted[id] = true // the cloud's list may lag behind
		}
	}
	for _, status := range as.deps.Gossip.PeerPartitionStatuses() {
		for _, id := range status.Fresh {
			accounted[id] = true
		}
	}
	as.deps.Gossip.EachUnreportedMachine(func(_ api.PartitionID, listed api.Instance) { accounted[listed.ID] = true })
	return accounted
}

// isBooting reports whether a listed machine is expected to send its first heartbeat soon. It
// also holds for machines listed as running, which may not have sent one yet, but not for
// machines that exceed the usual boot time.
func (as *Manager) isBooting(listed api.Instance) bool {
	typ := as.core.MachineTypes[listed.Type]
	return typ != nil && listed.State != api.MachineFailed && listed.AgeSeconds <= slowBootFactor*typ.BootSeconds
}

// hasHeartbeat reports whether this controller has received a heartbeat of a machine.
func (as *Manager) hasHeartbeat(id api.MachineID) bool {
	m := as.core.Machines[id]
	return m != nil && m.LastHeartbeat != 0
}
