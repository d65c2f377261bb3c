// This file counts the machines with accelerators of all partitions.

package autoscale

import (
	"basaltwall/api"
	"basaltwall/controller/message"
)

// acceleratorCounts is the number of machines with accelerators by kind.
type acceleratorCounts = map[message.AcceleratorKind]message.AcceleratorCount

// CountAccelerators counts a partition's machines with accelerators.
func (as *Manager) CountAccelerators(p api.PartitionID) map[message.AcceleratorKind]message.AcceleratorCount {
	counts := acceleratorCounts{}
	for _, m := range as.deps.Agents.MachinesOf(p) {
		if m.LastHeartbeat != 0 && !m.Deleting && as.core.HasAccelerators(m.MachineType) {
			as.countMachine(counts, m.ID, kindOf(m.MachineType, m.Spot))
		}
	}
	return counts
}

// countMachine adds a running machine to the counts.
func (as *Manager) countMachine(counts acceleratorCounts, id api.MachineID, kind message.AcceleratorKind) {
	count := counts[kind]
	count.Up++
	if as.hasLongRunningWork(id) {
		count.Lasting++
	}
	counts[kind] = count
}

// hasLongRunningWork reports whether a machine runs tasks of services or gangs that need its
// accelerators.
func (as *Manager) hasLongRunningWork(id api.MachineID) bool {
	for _, p := range as.core.State.PlacementsOn(id) {
		if p.Job.Spec.Kind != api.Array && !as.core.IsCPUOnly(p.Job.Spec) {
			return true
		}
	}
	return false
}

// acceleratorsByPartition counts the machines with accelerators of all partitions: it takes
// owned partitions from local state, other partitions from gossip and, where there is none,
// from the cloud's machine list.
func (as *Manager) acceleratorsByPartition() map[api.PartitionID]acceleratorCounts {
	out := map[api.PartitionID]acceleratorCounts{}
	for p := range as.core.Partitions {
		out[p] = as.CountAccelerators(p)
	}
	for _, status := range as.deps.Gossip.PeerPartitionStatuses() {
		out[status.Part] = status.Accelerated
	}
	as.deps.Gossip.EachUnreportedMachine(func(p api.PartitionID, listed api.Instance) {
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
