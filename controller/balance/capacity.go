package balance

// This file finds the partitions and zones that have capacity for a whole job.

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/sched"
)

// PartitionsWithCapacity finds the partitions that have capacity for all tasks of a job, now and, if
// the job's priority allows preemption, after preemption.
func (b *Balancer) PartitionsWithCapacity(s *api.JobSpec) (now, afterPreemption map[api.PartitionID]bool) {
	demand, cpuOnly := s.Demand(), b.core.IsCPUOnly(s)
	mayPreempt := s.Priority.Rank() >= core.MinPreemptorRank
	free, preemptible := map[api.PartitionID][]sched.Machine{}, map[api.PartitionID][]sched.Machine{}
	b.deps.Gossip.EachFreeCapacity(func(p api.PartitionID, class message.MachineClass, capacity message.FreeCapacity) {
		if !class.Usable || !b.core.IsEligible(s, cpuOnly, class.Type, class.Zone, class.Spot) {
			return
		}
		for range min(capacity.Count, s.Tasks) { // the job never needs more equal machines than it has tasks
			if demand.Fits(capacity.Free) {
				free[p] = append(free[p], machineWithFree(class, capacity.Free))
			}
			if mayPreempt && demand.Fits(capacity.Could) {
				preemptible[p] = append(preemptible[p], machineWithFree(class, capacity.Could))
			}
		}
	})
	return partitionsThatFit(free, s), partitionsThatFit(preemptible, s)
}

// machineWithFree returns the scheduler's view of a machine of a class with the given free capacity.
func machineWithFree(class message.MachineClass, free api.Resources) sched.Machine {
	return sched.Machine{Type: class.Type, Zone: class.Zone, Spot: class.Spot, Free: free}
}

// partitionsThatFit returns the partitions whose machines hold all tasks of a job.
func partitionsThatFit(machines map[api.PartitionID][]sched.Machine, s *api.JobSpec) map[api.PartitionID]bool {
	out := map[api.PartitionID]bool{}
	for p, ms := range machines {
		if sched.FitsAll(ms, s) {
			out[p] = true
		}
	}
	return out
}

// preferredZone returns the zone with the most capacity for a job whose tasks must be in one zone, or
// "" for other jobs.
func (b *Balancer) preferredZone(s *api.JobSpec) api.Zone {
	if !s.OneZone {
		return ""
	}
	slots := map[api.Zone]int{}
	b.deps.Gossip.EachFreeCapacity(func(_ api.PartitionID, class message.MachineClass, capacity message.FreeCapacity) {
		if class.Usable && sched.Feasible(s, class.Type, class.Zone, class.Spot) {
			// Free capacity counts more than capacity that preemption would free.
			slots[class.Zone] += capacity.Count * (2*s.Demand().Slots(capacity.Free) + s.Demand().Slots(capacity.Could))
		}
	})
	return core.LargestZone(slots)
}
