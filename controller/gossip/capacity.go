package gossip

import (
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// This file computes the free capacity of the whole cluster: of machines in this controller's
// partitions, of machines in peers' gossip, and of machines without a reporting controller.

// EachFreeCapacity calls visit with the free capacity of the machines of all partitions. Identical
// machines of another controller are visited together, with their count.
func (x *Exchange) EachFreeCapacity(visit func(p api.PartitionID, class message.MachineClass, capacity message.FreeCapacity)) {
	for _, p := range slices.Sorted(maps.Keys(x.core.Partitions)) {
		owned := x.core.Partitions[p]
		for _, m := range x.deps.Agents.MachinesOf(p) {
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

// describeMachine returns the class and free capacity of a machine that this controller manages.
func (x *Exchange) describeMachine(m *core.Machine, owned *core.OwnedPartition) (message.MachineClass, message.FreeCapacity) {
	class, capacity := x.classOf(m, owned), message.FreeCapacity{Count: 1}
	if class.Usable {
		capacity.Free = x.deps.Scheduler.FreeCapacityOn(m, owned)
		capacity.Could = x.withPreemptibleFreed(m.ID, capacity.Free)
	}
	return class, capacity
}

// describeUnreported returns the class of a machine known only from the cloud's list, and its free
// capacity according to the cluster state.
func (x *Exchange) describeUnreported(listed api.Instance) (message.MachineClass, message.FreeCapacity) {
	class := message.MachineClass{Type: listed.Type, Zone: listed.Zone, Spot: listed.Spot, Usable: true}
	free := x.core.MachineTypes[listed.Type].Capacity().Minus(x.core.State.Allocated(listed.ID))
	return class, message.FreeCapacity{Count: 1, Free: free, Could: x.withPreemptibleFreed(listed.ID, free)}
}

// classOf returns the class of a machine. A machine that has not reported the owner's token yet is
// usable, since it will do so shortly; a machine that is reserved for consolidation is not.
func (x *Exchange) classOf(m *core.Machine, owned *core.OwnedPartition) message.MachineClass {
	reason := x.deps.Eligibility.UnschedulableReason(m, owned)
	reserved := m.ReservedForAged && x.deps.Preemptor.ReservedFor(m) != ""
	schedulable := reason == core.Schedulable || reason == core.ReasonTokenNotAnnounced
	return message.MachineClass{
		Type: m.MachineType, Zone: m.Zone, Spot: m.Spot,
		Usable: schedulable && !reserved, Closed: m.ScaleInCandidate,
	}
}

// PreemptibleCapacity returns a machine's free capacity if all preemptible tasks that rank below
// core.MinPreemptorRank were preempted.
func (x *Exchange) PreemptibleCapacity(m *core.Machine, owned *core.OwnedPartition) api.Resources {
	return x.withPreemptibleFreed(m.ID, x.deps.Scheduler.FreeCapacityOn(m, owned))
}

func (x *Exchange) withPreemptibleFreed(id api.MachineID, free api.Resources) api.Resources {
	capacity := free
	for _, p := range x.core.State.PlacementsOn(id) {
		if !p.Finishing && p.Job.Spec.Kind != api.Gang && p.Job.Spec.Priority.Rank() < core.MinPreemptorRank && x.deps.Health.IsPreemptible(p) {
			capacity = capacity.Plus(p.Job.Demand)
		}
	}
	return capacity
}

// EachUnreportedMachine visits the machines that run according to the cloud's list but are not reported
// by a controller: those of partitions whose owners have sent no recent gossip, and those of this
// controller's that have sent no heartbeat since its takeover. Without them a takeover or a network
// partition between controllers would look like a loss of machines.
func (x *Exchange) EachUnreportedMachine(visit func(p api.PartitionID, listed api.Instance)) {
	reported := x.reportedPartitions()
	if !slices.Contains(reported, false) {
		return
	}
	for _, id := range x.deps.Inventory.ListedMachineIDs() {
		listed, ok := x.deps.Inventory.ListedMachine(id)
		if !ok || listed.State != api.MachineRunning || x.core.MachineTypes[listed.Type] == nil || x.deps.Inventory.IsDeleted(id) {
			continue
		}
		p := x.core.PartitionOf(id)
		if !reported[p] && !x.managesMachine(id, p) {
			visit(p, listed)
		}
	}
}

// reportedPartitions returns, by partition, whether all its machines are reported: by a peer's recent
// gossip, or because this controller has owned the partition for longer than the heartbeat timeout.
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

// managesMachine reports whether this controller owns a machine's partition and knows the machine's
// state, from a heartbeat or because it is deleting the machine.
func (x *Exchange) managesMachine(id api.MachineID, p api.PartitionID) bool {
	m := x.core.Machines[id]
	return x.core.Partitions[p] != nil && m != nil && (m.LastHeartbeat != 0 || m.Deleting)
}
