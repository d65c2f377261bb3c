package rounds

// This file plans a round and composes its record: ends of tasks, acknowledgements of
// cancellations, and new starts.

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
)

// Sizes of the entries of a record and of conditions, in bytes.
const (
	recordReserveBytes = 512 // the record without its jobs: reservations, and few quota transfers
	jobDeltaBytes      = 48  // the entry of a job, without its ID and tasks
	taskEndBytes       = 8
	minStartBytes      = 64 // the planned starts of a round are limited to what fits at this size
	jobConditionBytes  = 64 // a condition on a job's version, without the job's ID
	fixedConditions    = 4  // conditions on the slot, the term, the gate, and the loan of a transfer
)

// RoundByteBudget returns the maximum size of the starts and ends in a round's record, in bytes:
// the record must fit into a value.
func (s *Scheduler) RoundByteBudget() int { return s.core.MaxValueBytes() - recordReserveBytes }

// RoundConditionBudget returns the maximum number of jobs on whose versions a round may be
// conditional.
func (s *Scheduler) RoundConditionBudget() int { return s.core.MaxConditions() - fixedConditions }

// roundBuilder composes a round within the limits of its transaction.
type roundBuilder struct {
	owned           *core.OwnedPartition
	round           *core.PendingRound
	deltas          map[api.JobID]*clusterstate.JobDelta
	conditionalJobs map[api.JobID]bool // jobs on whose version the round is conditional
	namedPools      map[api.PoolName]bool
	bytesLeft       int               // of the record
	txnBytesLeft    int               // of the record and the conditions
	maxConditions   int               // maximum size of conditionalJobs
	first           core.DeferredGang // the record has space for its starts, which are added before others
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
		bytesLeft:       s.roundBytes(owned),
		txnBytesLeft:    api.MaxTxnBytes - core.TxnReserveBytes - recordReserveBytes,
		maxConditions:   owned.RoundReduction.Apply(s.RoundConditionBudget()),
	}
	b.keepSpaceFor(owned.DeferredGang)
	owned.DeferredGang = core.DeferredGang{}
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
	s.completeGangs(b)
	s.acknowledgeCancellations(b)
	owned.PlannedTeams = map[api.Team]bool{}
	owned.ReservedQuota = s.deps.Backfiller.QuotaReservedForOthers(owned)
	b.releaseSpace()
	s.scheduleTasks(b)
	s.finishJobDeltas(b)
	for _, name := range slices.Sorted(maps.Keys(b.namedPools)) {
		b.round.Txn.If = append(b.round.Txn.If, s.core.State.VersionCondition(core.KeyPool+string(name)))
	}
	b.round.Record.Reservations = s.deps.Backfiller.ReservationChanges(owned)
	s.addQuotaTransfers(b, s.deps.Balancer.SpareQuotaTransfers(owned))
	return b.round
}

// recordBytes returns the size of a record as it is stored.
func recordBytes(record *clusterstate.RoundRecord) int {
	data, err := record.Encode()
	if err != nil {
		return math.MaxInt // it will not be written
	}
	return len(data)
}

// addQuotaTransfers adds as many quota transfers as fit into the record. The others follow when the next
// transfers are due.
func (s *Scheduler) addQuotaTransfers(b *roundBuilder, transfers []clusterstate.QuotaTransfer) {
	if len(transfers) == 0 {
		return
	}
	record := &b.round.Record
	left := min(s.core.MaxValueBytes()-recordBytes(record)-len(`,"g":[]`), b.txnBytesLeft)
	for _, transfer := range transfers {
		left -= core.EncodedBytes(transfer) + len(",")
		if left < 0 {
			return
		}
		record.QuotaTransfers = append(record.QuotaTransfers, transfer)
	}
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

// deltaBytes returns the size of a job's entry without tasks, 0 if the round has the entry already.
func (b *roundBuilder) deltaBytes(id api.JobID) int {
	if b.deltas[id] != nil {
		return 0
	}
	return jobDeltaBytes + len(id)
}

// reserve takes the space for an addition to the entry of a job, which may make the round conditional on
// the job's version, and reports whether there was enough.
func (b *roundBuilder) reserve(id api.JobID, size int, conditional bool) bool {
	size += b.deltaBytes(id)
	txnSize := size
	if conditional && !b.conditionalJobs[id] {
		txnSize += jobConditionBytes + len(id)
	}
	if size > b.bytesLeft || txnSize > b.txnBytesLeft {
		return false
	}
	b.bytesLeft -= size
	b.txnBytesLeft -= txnSize
	return true
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
	if done && b.exceedsConditions(placement.Job.ID) || !b.reserve(placement.Job.ID, taskEndBytes, done) {
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
	b.round.Ends[placement] = done
	delete(b.owned.PendingEnds, placement)
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
		if !b.reserve(id, 0, false) {
			b.owned.NeedsRound = true
			return
		}
		b.delta(j).CancellationAcknowledged = true
	}
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
