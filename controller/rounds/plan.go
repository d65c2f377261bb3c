package rounds

// This file plans a round and composes its record: ends of tasks, acknowledgements of
// cancellations, and new starts.

import (
	"cmp"
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
)

// Maximum sizes of the entries of a record, and the space reserved for the rest of it, in bytes.
const (
	recordReserveBytes = 512
	jobDeltaBytes      = 48 // the entry of a job, without tasks
	taskEndBytes       = 8
	maxEntryBytes      = 64 // a job with one end, a start, or an acknowledgement
)

// RoundByteBudget returns the maximum size of the starts and ends in a round's record, in bytes:
// the record must fit into a value.
func (s *Scheduler) RoundByteBudget() int { return s.valueBytes() - recordReserveBytes }

// RoundConditionBudget returns the maximum number of jobs on whose versions a round may be
// conditional.
func (s *Scheduler) RoundConditionBudget() int {
	return 4*s.core.Config.Deployment.State.TxnOps - 4
}

// roundBuilder composes a round within the limits of its transaction.
type roundBuilder struct {
	owned           *core.OwnedPartition
	round           *core.PendingRound
	deltas          map[api.JobID]*clusterstate.JobDelta
	conditionalJobs map[api.JobID]bool // jobs on whose version the round is conditional
	namedPools      map[api.PoolName]bool
	bytesLeft       int
	maxConditions   int // maximum size of conditionalJobs
}

func (s *Scheduler) newRoundBuilder(owned *core.OwnedPartition) *roundBuilder {
	b := &roundBuilder{
		owned: owned,
		round: &core.PendingRound{
			Record: clusterstate.RoundRecord{Seq: s.core.State.Partitions[owned.ID].RoundSeq + 1},
			Ends:   map[*core.Placement]bool{},
		},
		deltas:          map[api.JobID]*clusterstate.JobDelta{},
		conditionalJobs: map[api.JobID]bool{},
		namedPools:      map[api.PoolName]bool{},
		bytesLeft:       s.RoundByteBudget(),
		maxConditions:   s.RoundConditionBudget(),
	}
	if pools := s.deps.Pools.Count(); pools > 0 {
		b.maxConditions -= min(core.MaxRoundPools, pools)
	}
	return b
}

// PlanRound plans a round of a partition: first ends of tasks, then new starts. Entries that don't
// fit are left to the next round, which the partition then needs.
func (s *Scheduler) PlanRound(owned *core.OwnedPartition) *core.PendingRound {
	b := s.newRoundBuilder(owned)
	for _, placement := range slices.SortedFunc(maps.Keys(owned.PendingEnds), comparePlacements) {
		b.addEnd(placement)
	}
	s.acknowledgeCancellations(b)
	owned.PlannedTeams = map[api.Team]bool{}
	owned.ReservedQuota = s.deps.Backfiller.QuotaReservedForOthers(owned)
	maxStarts := b.bytesLeft / maxEntryBytes
	for _, start := range s.scheduleTasks(owned, b.round, maxStarts) {
		b.addStart(start)
	}
	s.finishJobDeltas(b)
	for _, name := range slices.Sorted(maps.Keys(b.namedPools)) {
		b.round.Txn.If = append(b.round.Txn.If, s.core.State.VersionCondition(core.KeyPool+string(name)))
	}
	b.round.Record.QuotaTransfers = s.deps.Balancer.SpareQuotaTransfers(owned)
	b.round.Record.Reservations = s.deps.Backfiller.ReservationChanges(owned)
	return b.round
}

func comparePlacements(a, b *core.Placement) int {
	return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index))
}

// delta returns the round's entry of a job, which is added if there is none.
func (b *roundBuilder) delta(j *core.Job) *clusterstate.JobDelta {
	d := b.deltas[j.ID]
	if d == nil {
		d = &clusterstate.JobDelta{Job: j.ID}
		b.deltas[j.ID] = d
	}
	return d
}

// exceedsConditions reports whether a condition on a job's version would exceed the limit on
// conditions.
func (b *roundBuilder) exceedsConditions(id api.JobID) bool {
	return !b.conditionalJobs[id] && len(b.conditionalJobs) >= b.maxConditions
}

// addEnd records the end of a placement, if there is space left for it. A completion makes the
// round conditional on the job's version.
func (b *roundBuilder) addEnd(placement *core.Placement) {
	if placement.Job.Placements[placement.Task.Index] != placement || placement.Partition != b.owned.ID {
		delete(b.owned.PendingEnds, placement) // archived with its job, or transferred with its machine
		return
	}
	done := b.isCompletion(placement)
	if b.bytesLeft < maxEntryBytes || done && b.exceedsConditions(placement.Job.ID) {
		b.owned.NeedsRound = true
		return
	}
	d := b.delta(placement.Job)
	if done {
		d.Completed = append(d.Completed, placement.Task.Index)
		b.conditionalJobs[placement.Job.ID] = true
	} else {
		d.EndedIncomplete = append(d.EndedIncomplete, placement.Task.Index)
	}
	b.bytesLeft -= taskEndBytes
	if len(d.Completed)+len(d.EndedIncomplete) == 1 {
		b.bytesLeft -= jobDeltaBytes
	}
	b.round.Ends[placement] = done
	delete(b.owned.PendingEnds, placement)
}

// isCompletion reports whether the end of a placement is recorded as a completion. No completion is
// recorded after the cancellation of the job: otherwise a job reported as cancelled could be
// reported as done later. When one task of a gang is done, all are.
func (b *roundBuilder) isCompletion(placement *core.Placement) bool {
	if placement.Job.Cancelled {
		return false
	}
	return b.owned.PendingEnds[placement] || placement.Job.Spec.Kind == api.Gang && isGangDone(b.owned, placement.Job)
}

func isGangDone(owned *core.OwnedPartition, j *core.Job) bool {
	if j.CompletedCount > 0 {
		return true
	}
	for _, placement := range j.Placements {
		if owned.PendingEnds[placement] {
			return true
		}
	}
	return false
}

// acknowledgeCancellations stops the tasks of cancelled jobs and acknowledges the cancellation of
// those that can't start tasks in the partition any more.
func (s *Scheduler) acknowledgeCancellations(b *roundBuilder) {
	for _, id := range slices.Sorted(maps.Keys(s.core.State.CancellingJobs)) {
		j := s.core.State.CancellingJobs[id]
		s.deps.Jobs.StopCancelledTasks(b.owned, j)
		if !s.deps.Jobs.CanAcknowledgeCancellation(b.owned, j) {
			continue
		}
		if b.bytesLeft < maxEntryBytes {
			b.owned.NeedsRound = true
			return
		}
		b.delta(j).CancellationAcknowledged = true
		b.bytesLeft -= maxEntryBytes
	}
}

// addStart records a start, which makes the round conditional on the versions of the job and of the
// pools from which it takes units.
func (b *roundBuilder) addStart(start *core.Placement) {
	if b.exceedsConditions(start.Job.ID) || !core.AddRoundPools(b.namedPools, start.Job.Spec.Needs) {
		b.owned.NeedsRound = true
		return
	}
	b.conditionalJobs[start.Job.ID] = true
	b.owned.PlannedTeams[start.Job.Spec.Team] = true
	d := b.delta(start.Job)
	d.Starts = append(d.Starts, clusterstate.TaskStart{Task: start.Task.Index, Machine: start.Machine, Epoch: start.Epoch})
	b.round.Starts = append(b.round.Starts, start)
}

// finishJobDeltas adds the entries of jobs, and the conditions on their versions, to the round.
func (s *Scheduler) finishJobDeltas(b *roundBuilder) {
	for _, id := range slices.Sorted(maps.Keys(b.deltas)) {
		b.round.Record.Jobs = append(b.round.Record.Jobs, *b.deltas[id])
		if b.conditionalJobs[id] {
			b.round.Txn.If = append(b.round.Txn.If, api.Condition{Key: clusterstate.KeyJob + string(id), Version: s.core.State.Jobs[id].Version})
		}
	}
}
