package balance

// This file computes the assignment of a job's tasks to partitions after a move.

import (
	"slices"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
)

// maxSplitRanges bounds the number of task ranges of a job.
const maxSplitRanges = 64

// splitAfterMove returns a job's split after up to maxTasks pending tasks of one partition have moved
// to another. A job whose tasks must be in one partition moves as a whole or not at all. ok is false
// if nothing can move.
func splitAfterMove(j *core.Job, from, to api.PartitionID, maxTasks int) (split []clusterstate.TaskRange, ok bool) {
	if j.Spec.NeedsSinglePartition() {
		if len(j.Placements) > 0 || j.Spec.Kind == api.Gang && maxTasks < j.Spec.Tasks {
			return nil, false
		}
		return []clusterstate.TaskRange{{From: 0, To: j.Spec.Tasks, Partition: to}}, true
	}
	if len(j.Split) >= maxSplitRanges {
		return nil, false
	}
	for k := len(j.Split) - 1; k >= 0; k-- {
		if j.Split[k].Partition != from {
			continue
		}
		begin, end := lastPendingTasks(j, j.Split[k], maxTasks)
		if begin == end {
			continue
		}
		return slices.Concat(j.Split[:k], moveOutOf(j.Split[k], begin, end, to), j.Split[k+1:]), true
	}
	return nil, false
}

// lastPendingTasks returns the last run of consecutive pending tasks of a range, up to maxTasks; begin
// equals end if there are none.
func lastPendingTasks(j *core.Job, r clusterstate.TaskRange, maxTasks int) (begin, end int) {
	pending := func(task int) bool { return !j.Completed.Has(task) && j.Placements[task] == nil }
	end = r.To
	for end > r.From && !pending(end-1) {
		end--
	}
	begin = end
	for begin > r.From && end-begin < maxTasks && pending(begin-1) {
		begin--
	}
	return begin, end
}

// moveOutOf divides a range so that the tasks from begin to before end belong to another partition.
func moveOutOf(r clusterstate.TaskRange, begin, end int, to api.PartitionID) []clusterstate.TaskRange {
	ranges := []clusterstate.TaskRange{
		{From: r.From, To: begin, Partition: r.Partition},
		{From: begin, To: end, Partition: to},
		{From: end, To: r.To, Partition: r.Partition},
	}
	return slices.DeleteFunc(ranges, func(taskRange clusterstate.TaskRange) bool { return taskRange.From >= taskRange.To })
}
