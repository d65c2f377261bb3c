package jobs

import (
	"basaltwall/api"
	"basaltwall/clusterstate"
)

// This file divides a new job's tasks among the partitions.

// minPartitionWeight is the weight of a partition without free capacity, so that it can still get
// a few of a large job's tasks.
const minPartitionWeight = 0.01

// SplitAcrossPartitions divides a new job's tasks among the partitions in proportion to their free
// capacity, less that needed by pending tasks. All tasks go to one partition if the job requires
// it.
func (s *Service) SplitAcrossPartitions(spec *api.JobSpec) []clusterstate.TaskRange {
	freeSlots := s.deps.Capacity.FreeSlotsByPartition(spec)
	weights := make([]float64, len(s.core.State.Partitions))
	for i := range weights {
		weights[i] = float64(freeSlots[i]) - float64(s.deps.Capacity.CompetingTasksIn(api.PartitionID(i), spec))
	}
	switch {
	case spec.NeedsSinglePartition():
		return allIn(s.partitionFor(spec, weights, freeSlots), spec.Tasks)
	case spec.Tasks == 1:
		return allIn(heaviest(weights, nil), spec.Tasks)
	}
	return splitByWeight(weights, spec.Tasks)
}

// partitionFor selects the partition of a job that needs a single one: preferably with free
// capacity for all tasks, otherwise with capacity after preemptions.
func (s *Service) partitionFor(spec *api.JobSpec, weights []float64, freeSlots []int) api.PartitionID {
	fitting, afterPreemption := s.deps.Balancer.PartitionsWithCapacity(spec)
	if len(fitting) == 0 {
		fitting = afterPreemption
	}
	if len(fitting) == 0 {
		// The job has to wait or to preempt: prefer partitions with suitable machines.
		for i, total := range s.deps.Capacity.TotalSlotsByPartition(spec) {
			weights[i] += float64(total) - float64(freeSlots[i])
		}
	}
	return heaviest(weights, fitting)
}

// heaviest returns the partition with the highest weight, among the preferred ones if there are any.
func heaviest(weights []float64, preferred map[api.PartitionID]bool) api.PartitionID {
	best := 0
	for i := range weights {
		isPreferred, bestPreferred := preferred[api.PartitionID(i)], preferred[api.PartitionID(best)]
		if isPreferred && !bestPreferred || isPreferred == bestPreferred && weights[i] > weights[best] {
			best = i
		}
	}
	return api.PartitionID(best)
}

func allIn(partition api.PartitionID, tasks int) []clusterstate.TaskRange {
	return []clusterstate.TaskRange{{From: 0, To: tasks, Partition: partition}}
}

// splitByWeight gives each partition a range of tasks in proportion to its weight.
func splitByWeight(weights []float64, tasks int) []clusterstate.TaskRange {
	total := 0.0
	for i := range weights {
		weights[i] = max(weights[i], minPartitionWeight)
		total += weights[i]
	}
	var ranges []clusterstate.TaskRange
	start, sum := 0, 0.0
	for i, weight := range weights {
		sum += weight
		end := int(float64(tasks)*sum/total + 0.5)
		if i == len(weights)-1 {
			end = tasks
		}
		if end > start {
			ranges = append(ranges, clusterstate.TaskRange{From: start, To: end, Partition: api.PartitionID(i)})
			start = end
		}
	}
	return ranges
}
