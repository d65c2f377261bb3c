package rounds

// This file composes the record of a round: the ends that evidence has shown, the cancellations
// that can be acknowledged, and new starts.

import (
	"cmp"
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
)

// What entries take of a record at most, in bytes, and what is left for the rest of it.
const (
	recordReserveBytes = 512
	jobDeltaBytes      = 48 // a job that the record names, without tasks
	taskEndBytes       = 8
	maxEntryBytes      = 64 // a job with one end, a start, or an acknowledgement
)

// RoundByteBudget is how many bytes of a round's record may be starts and ends: the record must
// fit into a value.
func (s *Scheduler) RoundByteBudget() int { return s.valueBytes() - recordReserveBytes }

// RoundConditionBudget is on how many jobs' versions a round may be conditional.
func (s *Scheduler) RoundConditionBudget() int {
	return 4*s.core.Config.Deployment.State.TxnOps - 4
}

// roundBuilder composes a round within the bounds of its transaction.
type roundBuilder struct {
	owned           *core.OwnedPartition
	round           *core.PendingRound
	deltas          map[api.JobID]*clusterstate.JobDelta
	conditionalJobs map[api.JobID]bool // jobs on whose version the round is conditional
	namedPools      map[api.PoolName]bool
	bytesLeft       int
	maxConditions   int // on jobs
}

func (s *Scheduler) newRoundBuilder(owned *core.OwnedPartition) *roundBuilder {
	b := &roundBuilder{
		owned: owned,
		round: &core.PendingRound{
			Record: clusterstate.Record{Seq: s.core.State.Partitions[owned.ID].RoundSeq + 1},
			Ends:   map[*core.Placement]bool{},
		},
		deltas:          map[api.JobID]*clusterstate.JobDelta{},
		conditionalJobs: map[api.JobID]bool{},
		namedPools:      map[api.PoolName]bool{},
		bytesLeft:       s.RoundByteBudget(),
		maxConditions:   s.RoundConditionBudget(),
	}
	if pools := s.siblings.Pools.Count(); pools > 0 {
		b.maxConditions -= min(core.MaxRoundPools, pools)
	}
	return b
}

// PlanRound composes a round of a partition: the ends that evidence has shown, then new starts.
// What does not fit is left to the next round, for which the partition is marked dirty.
func (s *Scheduler) PlanRound(owned *core.OwnedPartition) *core.PendingRound {
	b := s.newRoundBuilder(owned)
	for _, placement := range slices.SortedFunc(maps.Keys(owned.PendingEnds), comparePlacements) {
		b.addEnd(placement)
	}
	s.acknowledgeCancellations(b)
	owned.PlannedTeams = map[api.Team]bool{}
	owned.ReservedQuota = s.siblings.Backfiller.QuotaReservedForOthers(owned)
	maxStarts := b.bytesLeft / maxEntryBytes
	for _, start := range s.scheduleTasks(owned, b.round, maxStarts) {
		b.addStart(start)
	}
	s.finishJobDeltas(b)
	for _, name := range slices.Sorted(maps.Keys(b.namedPools)) {
		b.round.Txn.If = append(b.round.Txn.If, s.core.State.VersionCondition(core.KeyPool+string(name)))
	}
	b.round.Record.QuotaTransfers = s.siblings.Balancer.SpareQuotaTransfers(owned)
	b.round.Record.Reservations = s.siblings.Backfiller.ReservationChanges(owned)
	return b.round
}

func comparePlacements(a, b *core.Placement) int {
	return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index))
}

// delta is what the round records of a job.
func (b *roundBuilder) delta(j *core.Job) *clusterstate.JobDelta {
	d := b.deltas[j.ID]
	if d == nil {
		d = &clusterstate.JobDelta{Job: j.ID}
		b.deltas[j.ID] = d
	}
	return d
}

// exceedsConditions reports whether a round that is conditional on a job's version would have
// too many conditions.
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
		b.owned.Dirty = true
		return
	}
	d := b.delta(placement.Job)
	if done {
		d.Completed = append(d.Completed, placement.Task.Index)
		b.conditionalJobs[placement.Job.ID] = true
	} else {
		d.Terminated = append(d.Terminated, placement.Task.Index)
	}
	b.bytesLeft -= taskEndBytes
	if len(d.Completed)+len(d.Terminated) == 1 {
		b.bytesLeft -= jobDeltaBytes
	}
	b.round.Ends[placement] = done
	delete(b.owned.PendingEnds, placement)
}

// isCompletion reports whether the end of a placement is recorded as a completion. The evidence
// may have come before the cancellation of its job: a completion that is not recorded by then
// never is, or the job would be called done after it was called cancelled. When one task of a
// gang is done, all are.
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

// acknowledgeCancellations stops the tasks of cancelled jobs and records for which of them the
// partition can start none any more.
func (s *Scheduler) acknowledgeCancellations(b *roundBuilder) {
	for _, id := range slices.Sorted(maps.Keys(s.core.State.CancellingJobs)) {
		j := s.core.State.CancellingJobs[id]
		s.siblings.Jobs.StopCancelledTasks(b.owned, j)
		if !s.siblings.Jobs.CanAcknowledgeCancellation(b.owned, j) {
			continue
		}
		if b.bytesLeft < maxEntryBytes {
			b.owned.Dirty = true
			return
		}
		b.delta(j).CancellationAcknowledged = true
		b.bytesLeft -= maxEntryBytes
	}
}

// addStart records a start, which makes the round conditional on the job's version and on the
// pools that it takes units of.
func (b *roundBuilder) addStart(start *core.Placement) {
	if b.exceedsConditions(start.Job.ID) || !core.AddRoundPools(b.namedPools, start.Job.Spec.Needs) {
		b.owned.Dirty = true
		return
	}
	b.conditionalJobs[start.Job.ID] = true
	b.owned.PlannedTeams[start.Job.Spec.Team] = true
	d := b.delta(start.Job)
	d.Starts = append(d.Starts, clusterstate.TaskStart{Task: start.Task.Index, Machine: start.Machine, Epoch: start.Epoch})
	b.round.Starts = append(b.round.Starts, start)
}

// finishJobDeltas puts what is recorded of each job, and the conditions on jobs, into the round.
func (s *Scheduler) finishJobDeltas(b *roundBuilder) {
	for _, id := range slices.Sorted(maps.Keys(b.deltas)) {
		b.round.Record.Jobs = append(b.round.Record.Jobs, *b.deltas[id])
		if b.conditionalJobs[id] {
			b.round.Txn.If = append(b.round.Txn.If, api.Condition{Key: clusterstate.KeyJob + string(id), Version: s.core.State.Jobs[id].Version})
		}
	}
}
