package rounds

// This file adds the starts of tasks to a round. The starts of a gang are recorded together or not at all.

import (
	"log/slog"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/sched"
)

// oversizedRetryInterval is the time after which a gang too large for any record is planned again: the limits,
// the machines and the versions of the other controllers may have changed.
const oversizedRetryInterval = 10 * time.Second

// groupGangs groups the assignments of each gang; every other assignment is a group of its own. The gang for which
// the round has space goes first.
func (problem *flowProblem) groupGangs(assignments []sched.Assignment) [][]sched.Assignment {
	var groups [][]sched.Assignment
	gangs := map[int]int{}
	for _, assignment := range assignments {
		i, known := gangs[assignment.JobIndex]
		if known {
			groups[i] = append(groups[i], assignment)
			continue
		}
		if problem.jobs[assignment.JobIndex].Spec.Kind == api.Gang {
			gangs[assignment.JobIndex] = len(groups)
		}
		groups = append(groups, []sched.Assignment{assignment})
	}
	for jobIndex, i := range gangs {
		if problem.jobs[jobIndex].ID == problem.builder.first.Job {
			first := groups[i]
			groups = slices.Insert(slices.Delete(groups, i, i+1), 0, first)
			break
		}
	}
	return groups
}

// taskStarts returns the entries of starts in a record.
func taskStarts(starts []*core.Placement) clusterstate.TaskStarts {
	var entries clusterstate.TaskStarts
	for _, start := range starts {
		entries = append(entries, clusterstate.TaskStart{Task: start.Task.Index, Machine: start.Machine, Epoch: start.Epoch})
	}
	return entries
}

// listBytes returns the size of starts that are recorded as a list.
func listBytes(entries clusterstate.TaskStarts) int {
	size := 0
	for _, entry := range entries {
		size += core.EncodedBytes(entry) + len(",")
	}
	return size
}

// addStarts records starts of a job, all or none, and reports whether it did. They make the round conditional on
// the versions of the job and of the pools from which it takes units. A gang whose list of starts does not fit is
// recorded in the packed form if all controllers can read it.
func (s *Scheduler) addStarts(b *roundBuilder, starts []*core.Placement) bool {
	j, entries := starts[0].Job, taskStarts(starts)
	size := listBytes(entries)
	var packed clusterstate.PackedStarts
	if size+b.deltaBytes(j.ID) > b.bytesLeft && len(starts) > 1 && s.deps.Balancer.AllSupportFormat(clusterstate.FormatPackedStarts) {
		packed, size = pack(entries, size)
	}
	if b.exceedsConditions(j.ID) || !core.AddRoundPools(b.namedPools, j.Spec.Needs) || !b.reserve(j.ID, size, true) {
		b.owned.NeedsRound = true
		s.deferGang(b, j, size)
		return false
	}
	b.conditionalJobs[j.ID] = true
	b.owned.PlannedTeams[j.Spec.Team] = true
	d := b.delta(j)
	d.Starts = append(d.Starts, entries...)
	b.round.Starts = append(b.round.Starts, starts...)
	if packed != nil {
		b.round.Record.SetPacked(j.ID, packed)
	}
	return true
}

// pack returns the packed form of starts and its size, or nil and the size of the list if that is smaller.
func pack(entries clusterstate.TaskStarts, listSize int) (clusterstate.PackedStarts, int) {
	packed, err := entries.Pack()
	if size := core.EncodedBytes(packed); err == nil && size < listSize {
		return packed, size
	}
	return nil, listSize
}

// deferGang leaves the starts of a gang that take too many bytes to the next round, which keeps space for them. A
// gang too large for an empty round is not planned for some time, so that it does not take the capacity of other
// jobs in each round.
func (s *Scheduler) deferGang(b *roundBuilder, j *core.Job, size int) {
	if j.Spec.Kind != api.Gang {
		return
	}
	needed := size + jobDeltaBytes + len(j.ID)
	if needed > s.RoundByteBudget() {
		j.OwnerState.OversizedUntil = s.core.Now.Add(oversizedRetryInterval)
		slog.Warn("gang exceeds a round's record", core.TenantAttr(j), "job", j.ID, "tasks", j.Spec.Tasks, "bytes", needed, "limit", s.RoundByteBudget())
		return
	}
	if b.owned.DeferredGang.Job == "" {
		b.owned.DeferredGang = core.DeferredGang{Job: j.ID, Bytes: needed}
	}
}

// keepSpaceFor keeps space and a condition for the starts of a gang during the recording of ends, if the round can have
// so much.
func (b *roundBuilder) keepSpaceFor(gang core.DeferredGang) {
	if gang.Bytes > b.bytesLeft {
		return
	}
	b.first = gang
	b.bytesLeft -= gang.Bytes
	b.txnBytesLeft -= gang.Bytes
	if gang.Job != "" {
		b.maxConditions--
	}
}

// roundBytes returns the size of the starts and ends that a round of a partition may have now.
func (s *Scheduler) roundBytes(owned *core.OwnedPartition) int {
	return owned.RoundReduction.Apply(s.RoundByteBudget())
}

// releaseSpace releases the space that was kept for a gang.
func (b *roundBuilder) releaseSpace() {
	b.bytesLeft += b.first.Bytes
	b.txnBytesLeft += b.first.Bytes
	if b.first.Job != "" {
		b.maxConditions++
	}
}
