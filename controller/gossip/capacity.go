package gossip

import (
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// This file tells what is free in the whole cluster: on machines of this controller's partitions, on
// those that peers have described, and on those that nobody reports on.

// EachFreeCapacity visits the machines of all partitions by what is free on them. Machines of other
// controllers are visited by class, a number that are alike at once.
func (x *Exchange) EachFreeCapacity(visit func(p api.PartitionID, class message.MachineClass, capacity message.FreeCapacity)) {
	for _, p := range slices.Sorted(maps.Keys(x.core.Partitions)) {
		owned := x.core.Partitions[p]
		for _, m := range x.siblings.Agents.MachinesOf(p) {
			if m.LastHeartbeat != 0 && !m.Deleting {
				class, capacity := x.describeMachine(m, owned)
				visit(p, class, capacity)
			}
		}
	}
	for _, status := range x.PeerPartitionStatuses() {
		for _, capacity := range status.Rooms {
			if capacity.Kind >= 0 && capacity.Kind < len(status.Kinds) {
				visit(status.Part, status.Kinds[capacity.Kind], capacity)
			}
		}
	}
	x.EachUnreportedMachine(func(p api.PartitionID, listed api.Instance) {
		class, capacity := x.describeUnreported(listed)
		visit(p, class, capacity)
	})
}

// describeMachine is the class of a machine of this controller's, and what is free on it.
func (x *Exchange) describeMachine(m *core.Machine, owned *core.OwnedPartition) (message.MachineClass, message.FreeCapacity) {
	class, capacity := x.classOf(m, owned), message.FreeCapacity{Count: 1}
	if class.Usable {
		capacity.Free = x.siblings.Scheduler.FreeCapacityOn(m, owned)
		capacity.Could = x.withPreemptibleFreed(m.ID, capacity.Free)
	}
	return class, capacity
}

// describeUnreported is the class of a machine that only the cloud's list has, and what is free on it
// by the cluster state.
func (x *Exchange) describeUnreported(listed api.Instance) (message.MachineClass, message.FreeCapacity) {
	class := message.MachineClass{Type: listed.Type, Zone: listed.Zone, Spot: listed.Spot, Usable: true}
	free := x.core.MachineTypes[listed.Type].Capacity().Minus(x.core.State.Allocated(listed.ID))
	return class, message.FreeCapacity{Count: 1, Free: free, Could: x.withPreemptibleFreed(listed.ID, free)}
}

// classOf is what a machine has in common with others. One that does not know the owner's term yet is
// usable, since it will know it within a moment; one that is reserved for consolidation is not.
func (x *Exchange) classOf(m *core.Machine, owned *core.OwnedPartition) message.MachineClass {
	reason := x.siblings.Eligibility.UnschedulableReason(m, owned)
	reserved := m.Consolidated && x.siblings.Preemptor.ReservedFor(m) != ""
	schedulable := reason == core.Schedulable || reason == core.ReasonTokenNotAnnounced
	return message.MachineClass{
		Type: m.MachineType, Zone: m.Zone, Spot: m.Spot,
		Usable: schedulable && !reserved, Closed: m.ScaleInCandidate,
	}
}

// PreemptibleCapacity is what would be free on a machine if all work were preempted that ranks below
// core.PreemptorRank.
func (x *Exchange) PreemptibleCapacity(m *core.Machine, owned *core.OwnedPartition) api.Resources {
	return x.withPreemptibleFreed(m.ID, x.siblings.Scheduler.FreeCapacityOn(m, owned))
}

func (x *Exchange) withPreemptibleFreed(id api.MachineID, free api.Resources) api.Resources {
	capacity := free
	for _, p := range x.core.State.PlacementsOn(id) {
		if !p.Finishing && p.Job.Spec.Kind != api.Gang && p.Job.Spec.Priority.Rank() < core.PreemptorRank && x.siblings.Health.IsPreemptible(p) {
			capacity = capacity.Plus(p.Job.Demand)
		}
	}
	return capacity
}

// EachUnreportedMachine visits the machines that run according to the cloud's list but that nobody
// reports on: those of partitions whose owners have sent no gossip lately, and this controller's that
// have sent no heartbeat since it took them over. What they hold is in the cluster state. Without them
// a network partition between controllers or a takeover would look like a loss of machines.
func (x *Exchange) EachUnreportedMachine(visit func(p api.PartitionID, listed api.Instance)) {
	reported := x.reportedPartitions()
	if !slices.Contains(reported, false) {
		return
	}
	for _, id := range x.siblings.Inventory.ListedMachineIDs() {
		listed, ok := x.siblings.Inventory.ListedMachine(id)
		if !ok || listed.State != api.MachineRunning || x.core.MachineTypes[listed.Type] == nil || x.siblings.Inventory.IsDeleted(id) {
			continue
		}
		p := x.core.PartitionOf(id)
		if !reported[p] && !x.reportsToUs(id, p) {
			visit(p, listed)
		}
	}
}

// reportedPartitions are, by partition, those whose machines are all reported on: by a peer's recent
// gossip, or because this controller has owned them for longer than a heartbeat takes.
func (x *Exchange) reportedPartitions() []bool {
	reported := make([]bool, len(x.core.State.Partitions))
	for _, status := range x.PeerPartitionStatuses() {
		reported[status.Part] = true
	}
	for i := range reported {
		if owned := x.core.Partitions[api.PartitionID(i)]; owned != nil && x.core.Now.Sub(owned.OwnedSince) > x.core.HeartbeatTimeout {
			reported[i] = true
		}
	}
	return reported
}

// reportsToUs reports whether a machine of a partition is reported on as one of this controller's.
func (x *Exchange) reportsToUs(id api.MachineID, p api.PartitionID) bool {
	m := x.core.Machines[id]
	return x.core.Partitions[p] != nil && m != nil && (m.LastHeartbeat != 0 || m.Deleting)
}
