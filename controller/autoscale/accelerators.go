// Counting machines with accelerators, ours and other controllers'.

package autoscale

import (
	"basaltwall/api"
	"basaltwall/controller/message"
)

// acceleratorCounts are counts of machines with accelerators by their kind.
type acceleratorCounts = map[message.AcceleratorKind]message.AcceleratorCount

// CountAccelerators counts a partition's machines with accelerators.
func (as *Manager) CountAccelerators(p api.PartitionID) map[message.AcceleratorKind]message.AcceleratorCount {
	counts := acceleratorCounts{}
	for _, m := range as.siblings.Agents.MachinesOf(p) {
		if m.LastHeartbeat != 0 && !m.Deleting && as.core.HasAccelerators(m.MachineType) {
			as.countMachine(counts, m.ID, kindOf(m.MachineType, m.Spot))
		}
	}
	return counts
}

// countMachine adds a machine that is up to the counts.
func (as *Manager) countMachine(counts acceleratorCounts, id api.MachineID, kind message.AcceleratorKind) {
	count := counts[kind]
	count.Up++
	if as.hasLongRunningWork(id) {
		count.Lasting++
	}
	counts[kind] = count
}

// hasLongRunningWork reports whether a machine with accelerators has a service or a gang
// that needs them.
func (as *Manager) hasLongRunningWork(id api.MachineID) bool {
	for _, p := range as.core.State.PlacementsOn(id) {
		if p.Job.Spec.Kind != api.Array && !as.core.IsCPUOnly(p.Job.Spec) {
			return true
		}
	}
	return false
}

// acceleratorsByPartition is what is known of all partitions' machines with accelerators:
// our own counts, those that other owners send, and the list where an owner does not.
func (as *Manager) acceleratorsByPartition() map[api.PartitionID]acceleratorCounts {
	out := map[api.PartitionID]acceleratorCounts{}
	for p := range as.core.Partitions {
		out[p] = as.CountAccelerators(p)
	}
	for _, status := range as.siblings.Gossip.PeerPartitionStatuses() {
		out[status.Part] = status.Accelerated
	}
	as.siblings.Gossip.EachUnreportedMachine(func(p api.PartitionID, listed api.Instance) {
		if !as.core.HasAccelerators(listed.Type) {
			return
		}
		if out[p] == nil {
			out[p] = acceleratorCounts{}
		}
		as.countMachine(out[p], listed.ID, kindOf(listed.Type, listed.Spot))
	})
	return out
}
