package gossip

import (
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// This file builds the status of this controller's partitions for its peers.

// minFreshDuration is the minimum time after its first heartbeat for which a machine counts as fresh.
const minFreshDuration = time.Minute

// demandOf returns a partition's status with only the unmet demand of its pending tasks.
func demandOf(owned *core.OwnedPartition) message.PartitionStatus {
	return message.PartitionStatus{
		Part: owned.ID, Want: owned.QuotaDemand, Due: owned.AgedQuotaDemand,
		Starved: owned.QuotaStarvedDemand, Lack: owned.UnmetDemands,
	}
}

// partitionStatus returns the status of a partition. Machines with the same class and free capacity are
// counted together, to limit the size of the message.
func (x *Exchange) partitionStatus(owned *core.OwnedPartition) message.PartitionStatus {
	status := demandOf(owned)
	status.Short = slices.Sorted(maps.Keys(owned.ShortTypes))
	status.Spare = x.core.RemainingQuota(owned.ID)
	status.Waiting = owned.PendingTaskCount
	status.Accelerated = x.deps.Autoscaler.CountAccelerators(owned.ID)
	status.Zones = x.deps.Health.CountMachinesByZone(owned)
	summary := machineSummary{status: &status, classes: map[message.MachineClass]int{}, capacities: map[message.FreeCapacity]int{}}
	for _, m := range x.deps.Agents.MachinesOf(owned.ID) {
		if m.LastHeartbeat == 0 || m.Deleting {
			continue
		}
		if x.isUnreachable(m) && len(status.Silent) < message.MaxUnreachableMachines {
			status.Silent = append(status.Silent, m.ID)
		}
		if x.isFresh(m) && len(status.Fresh) < message.MaxUnreachableMachines {
			status.Fresh = append(status.Fresh, m.ID)
		}
		summary.add(x.describeMachine(m, owned))
	}
	return status
}

func (x *Exchange) isUnreachable(m *core.Machine) bool {
	return x.core.Now.Sub(m.LastHeartbeat) > x.core.HeartbeatTimeout
}

// isFresh reports whether a machine sent its first heartbeat within twice the boot time of its type, or
// within minFreshDuration if that is longer.
func (x *Exchange) isFresh(m *core.Machine) bool {
	freshDuration := max(minFreshDuration, api.Seconds(2*x.core.BootSeconds(m.MachineType)))
	return x.core.Now.Sub(m.FirstHeartbeat) < freshDuration
}

// machineSummary counts the machines of a status by class and free capacity.
type machineSummary struct {
	status     *message.PartitionStatus
	classes    map[message.MachineClass]int // indexes in status.Kinds
	capacities map[message.FreeCapacity]int // indexes in status.Rooms, by capacity with Count 0
}

// add adds machines with the same class and free capacity.
func (s *machineSummary) add(class message.MachineClass, capacity message.FreeCapacity) {
	count := capacity.Count
	capacity.Count = 0
	capacity.Kind = s.classIndex(class)
	i, known := s.capacities[capacity]
	if !known {
		i = len(s.status.Rooms)
		s.capacities[capacity] = i
		s.status.Rooms = append(s.status.Rooms, capacity)
	}
	s.status.Rooms[i].Count += count
}

func (s *machineSummary) classIndex(class message.MachineClass) int {
	i, known := s.classes[class]
	if !known {
		i = len(s.status.Kinds)
		s.classes[class] = i
		s.status.Kinds = append(s.status.Kinds, class)
	}
	return i
}
