package rounds

// This file commits the record of a round and applies it once it is durable.

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// statusUnknown is the status of a call without a response: its transaction may have taken effect.
const statusUnknown = 0

// IsRecordRingFull reports whether the next record would overwrite one that no checkpoint covers.
func (s *Scheduler) IsRecordRingFull(owned *core.OwnedPartition) bool {
	partition := &s.core.State.Partitions[owned.ID]
	return partition.RoundSeq+1 >= partition.CheckpointHead.Seq+clusterstate.RingSize
}

// CommitRound starts to write a round.
func (s *Scheduler) CommitRound(owned *core.OwnedPartition, round *core.PendingRound) {
	txn, err := s.roundTxn(owned, round)
	if err != nil {
		slog.Error("round record could not be encoded", "err", err)
		return
	}
	round.Txn = txn
	if !s.core.TxnFits(txn) {
		s.core.ReportRejectedTxn(&txn)
		s.reduceRounds(owned)
		s.returnEnds(owned, round)
		return
	}
	round.SentAt = s.core.Now
	owned.InFlight, owned.InFlightDemand = round, map[api.MachineID]api.Resources{}
	for _, start := range round.Starts {
		owned.InFlightDemand[start.Machine] = owned.InFlightDemand[start.Machine].Plus(start.Job.Demand)
	}
	s.sendRound(owned)
}

// roundTxn returns the transaction that writes a round, with the conditions and writes that the round has
// already. The record is the first write.
func (s *Scheduler) roundTxn(owned *core.OwnedPartition, round *core.PendingRound) (api.Txn, error) {
	body, err := round.Record.Encode()
	if err != nil {
		return api.Txn{}, fmt.Errorf("round %d: %w", round.Record.Seq, err)
	}
	slot := clusterstate.RoundKey(owned.ID, round.Record.Seq)
	conditions := slices.Clone(round.Txn.If)
	if s.deps.Tenancy.Hosted() {
		conditions = append(conditions, s.core.State.VersionCondition(core.KeyGate))
	}
	return api.Txn{
		If:     append(conditions, s.core.State.VersionCondition(slot), owned.OwnershipCondition()),
		Writes: append([]api.Write{{Put: slot, Value: body}}, round.Txn.Writes...),
	}, nil
}

// RoundFits reports whether a round is within the limits of the state service.
func (s *Scheduler) RoundFits(owned *core.OwnedPartition, round *core.PendingRound) bool {
	txn, err := s.roundTxn(owned, round)
	return err == nil && s.core.TxnFits(txn)
}

// sendRound sends the transaction of a round. The same transaction is sent again until its outcome
// is known. It takes effect at most once, because it is conditional on the version of its slot.
func (s *Scheduler) sendRound(owned *core.OwnedPartition) {
	round := owned.InFlight
	s.core.CallStoreTxn(round.Txn, func(response message.StoreResponse) {
		if s.isInFlight(owned, round) {
			s.handleRoundResponse(owned, round, response)
		}
	})
}

// isInFlight reports whether a partition is still writing the given round.
func (s *Scheduler) isInFlight(owned *core.OwnedPartition, round *core.PendingRound) bool {
	return s.core.Partitions[owned.ID] == owned && owned.InFlight == round
}

// handleRoundResponse commits, abandons or resends a round depending on the response.
func (s *Scheduler) handleRoundResponse(owned *core.OwnedPartition, round *core.PendingRound, response message.StoreResponse) {
	round.OutcomeUnknown = round.OutcomeUnknown || response.Status == statusUnknown
	switch {
	case response.Status == api.StatusOK && round.Transfer:
		// Transfers are applied in the order of the log, on which checkpoints depend.
		s.resolveRound(owned, round)
	case response.Status == api.StatusOK:
		s.ApplyCommittedRound(owned, response.Txn.Revision)
	case response.Status == api.StatusConflict && slices.Contains(response.Txn.Failed, clusterstate.PartitionKey(clusterstate.KeyPartition, owned.ID)):
		s.loseOwnership(owned)
	case response.Status == api.StatusConflict && slices.Contains(response.Txn.Failed, recordSlot(round)):
		// An earlier attempt may have taken effect; the cluster state shows it.
		s.resolveRound(owned, round)
	case response.Status == api.StatusConflict:
		// A job has changed, so this record can never be written.
		s.deps.Follower.LinearizableRead(func() { s.abandonRound(owned, round) }, func() { s.retryRound(owned, round) })
	case response.Status == api.StatusBadRequest:
		// The round is not sent again, since it would be refused again.
		s.reduceRounds(owned)
		s.core.RepeatRead(s.deps.Follower.LinearizableRead, func() bool { return s.isInFlight(owned, round) }, func() { s.abandonRound(owned, round) })
	default:
		if response.Status == api.StatusTooManyRequests {
			s.backOffRounds()
		}
		s.retryRound(owned, round)
	}
}

// reduceRounds makes the following rounds of a partition smaller after one that the state service refuses
// for good.
func (s *Scheduler) reduceRounds(owned *core.OwnedPartition) {
	owned.RoundReduction.Rejected()
	owned.NextRound = s.core.Now.Add(core.RetryDelay)
}

// recordSlot returns the key of the record of a round.
func recordSlot(round *core.PendingRound) string { return round.Txn.Writes[0].Put }

// retryRound sends a round again after a delay.
func (s *Scheduler) retryRound(owned *core.OwnedPartition, round *core.PendingRound) {
	s.core.DeferCall(func() {
		if s.isInFlight(owned, round) {
			s.sendRound(owned)
		}
	})
}

// resolveRound reads the log to determine whether a round has been written.
func (s *Scheduler) resolveRound(owned *core.OwnedPartition, round *core.PendingRound) {
	s.deps.Follower.LinearizableRead(func() { s.abandonRound(owned, round) }, func() { s.retryRound(owned, round) })
}

// abandonRound drops a round that can no longer be written. If the cluster state, which is up to
// date here, shows that it has been written, it is applied instead.
func (s *Scheduler) abandonRound(owned *core.OwnedPartition, round *core.PendingRound) {
	if !s.isInFlight(owned, round) {
		return
	}
	if s.core.State.Partitions[owned.ID].RoundSeq >= round.Record.Seq {
		s.ApplyCommittedRound(owned, s.core.State.Version(recordSlot(round)))
		return
	}
	owned.InFlight, owned.InFlightDemand = nil, nil
	if round.OutcomeUnknown {
		s.core.Metrics.IndeterminateUnwritten++
	}
	s.returnEnds(owned, round)
}

// returnEnds leaves the ends in a round that is not written to the next round.
func (s *Scheduler) returnEnds(owned *core.OwnedPartition, round *core.PendingRound) {
	maps.Copy(owned.PendingEnds, round.Ends)
	owned.NeedsRound = true
}

// ApplyCommittedRound applies a partition's round in flight, whose record was written at the given
// revision. Its starts are only sent now.
func (s *Scheduler) ApplyCommittedRound(owned *core.OwnedPartition, revision api.Revision) {
	round := owned.InFlight
	owned.InFlight, owned.InFlightDemand = nil, nil
	owned.NextRound = s.core.Now.Add(s.currentRoundInterval())
	owned.RoundReduction.Accepted()
	owned.LastRevision = max(owned.LastRevision, revision)
	s.countCommittedRound(round)
	s.core.State.SetVersion(recordSlot(round), revision)
	s.core.State.ApplyRecord(owned.ID, &round.Record)
	s.logFinishedJobs(&round.Record)
	for _, start := range round.Starts {
		if placement := start.Job.Placements[start.Task.Index]; placement != nil {
			placement.OwnerState.PlacedAt = s.core.Now
		}
		if m := s.core.Machines[start.Machine]; m != nil {
			m.IdleSince = s.core.Now
			s.deps.Agents.ScheduleDirectCall(m)
		}
	}
	owned.NeedsRound = true
}

// countCommittedRound updates the metrics with a committed round.
func (s *Scheduler) countCommittedRound(round *core.PendingRound) {
	s.core.Metrics.Rounds++
	s.core.Metrics.Starts += uint64(len(round.Starts))
	s.core.Metrics.Ends += uint64(len(round.Ends))
	s.core.Metrics.ObserveLatency("round", s.core.Now.Sub(round.SentAt))
	if round.OutcomeUnknown {
		s.core.Metrics.IndeterminateWritten++
	}
	for _, delta := range round.Record.Jobs {
		s.core.Metrics.Completions += uint64(len(delta.Completed))
	}
}

// logFinishedJobs logs the jobs completed by a record.
func (s *Scheduler) logFinishedJobs(record *clusterstate.RoundRecord) {
	for _, delta := range record.Jobs {
		if j := s.core.State.Jobs[delta.Job]; j != nil && len(delta.Completed) > 0 && j.State() == api.JobDone {
			slog.Info(core.LogJobDone, core.TenantAttr(j), "job", delta.Job, core.SpecAttr(j.Spec), "estimate", j.Spec.Estimate,
				"after", s.core.SecondsSinceAcceptance(j), "limits", s.core.CompletionObjectives(j.Spec))
		}
	}
}
