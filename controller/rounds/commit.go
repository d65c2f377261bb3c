package rounds

// This file writes the record of a round and acts on it once it is durable.

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// statusUnknown is the status of a call that was not answered: its transaction may have taken
// effect.
const statusUnknown = 0

// IsRecordRingFull reports whether the next record would overwrite one that no checkpoint covers.
func (s *Scheduler) IsRecordRingFull(owned *core.OwnedPartition) bool {
	partition := &s.core.State.Partitions[owned.ID]
	return partition.RoundSeq+1 >= partition.CheckpointHead.Seq+clusterstate.RingSize
}

// CommitRound begins to write a round. Its record goes first among the writes.
func (s *Scheduler) CommitRound(owned *core.OwnedPartition, round *core.PendingRound) {
	body, err := json.Marshal(round.Record)
	if err != nil {
		slog.Error("round not encoded", "err", err)
		return
	}
	slot := clusterstate.RoundKey(owned.ID, round.Record.Seq)
	if s.siblings.Tenancy.Enabled() {
		round.Txn.If = append(round.Txn.If, s.core.State.VersionCondition(core.KeyGate))
	}
	round.Txn.If = append(round.Txn.If, s.core.State.VersionCondition(slot), owned.OwnershipCondition())
	round.Txn.Writes = append([]api.Write{{Put: slot, Value: body}}, round.Txn.Writes...)
	round.SentAt = s.core.Now
	owned.InFlight, owned.InFlightDemand = round, map[api.MachineID]api.Resources{}
	for _, start := range round.Starts {
		owned.InFlightDemand[start.Machine] = owned.InFlightDemand[start.Machine].Plus(start.Job.Demand)
	}
	s.sendRound(owned)
}

// sendRound sends the round's record. Until the outcome is known the very same transaction is
// sent again: it can take effect once at most, since its slot must still have the version it had
// before.
func (s *Scheduler) sendRound(owned *core.OwnedPartition) {
	round := owned.InFlight
	s.core.CallStoreTxn(round.Txn, func(response message.StoreResponse) {
		if s.isInFlight(owned, round) {
			s.handleRoundResponse(owned, round, response)
		}
	})
}

// isInFlight reports whether a round is still the one that an owned partition writes.
func (s *Scheduler) isInFlight(owned *core.OwnedPartition, round *core.PendingRound) bool {
	return s.core.Partitions[owned.ID] == owned && owned.InFlight == round
}

// handleRoundResponse decides by the answer whether the round is committed, abandoned or sent
// again.
func (s *Scheduler) handleRoundResponse(owned *core.OwnedPartition, round *core.PendingRound, response message.StoreResponse) {
	round.OutcomeUnknown = round.OutcomeUnknown || response.Status == statusUnknown
	switch {
	case response.Status == api.StatusOK && round.Transfer:
		// The log has it in its order among other transfers: a checkpoint counts on that.
		s.resolveRound(owned, round)
	case response.Status == api.StatusOK:
		s.ApplyCommittedRound(owned, response.Txn.Revision)
	case response.Status == api.StatusConflict && slices.Contains(response.Txn.Failed, clusterstate.PartitionKey(clusterstate.KeyPartition, owned.ID)):
		s.loseOwnership(owned)
	case response.Status == api.StatusConflict && slices.Contains(response.Txn.Failed, recordSlot(round)):
		// An earlier sending may have taken effect: the cluster state tells.
		s.resolveRound(owned, round)
	case response.Status == api.StatusConflict:
		// A job has changed, so this record can never be written.
		s.siblings.Follower.LinearizableRead(func() { s.abandonRound(owned, round) }, func() { s.retryRound(owned, round) })
	default:
		if response.Status == api.StatusTooManyRequests {
			s.backOffRounds()
		}
		s.retryRound(owned, round)
	}
}

// recordSlot is the key that a committed round's record is written to.
func recordSlot(round *core.PendingRound) string { return round.Txn.Writes[0].Put }

// retryRound sends a round again a little later.
func (s *Scheduler) retryRound(owned *core.OwnedPartition, round *core.PendingRound) {
	s.core.DeferCall(func() {
		if s.isInFlight(owned, round) {
			s.sendRound(owned)
		}
	})
}

// resolveRound finds out by the log whether a round has been written.
func (s *Scheduler) resolveRound(owned *core.OwnedPartition, round *core.PendingRound) {
	s.siblings.Follower.LinearizableRead(func() { s.abandonRound(owned, round) }, func() { s.retryRound(owned, round) })
}

// abandonRound drops a record that has not been written and never can be, now that the cluster
// state is up to date. If it has been written after all, it is acted on.
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
	maps.Copy(owned.PendingEnds, round.Ends)
	owned.Dirty = true
}

// ApplyCommittedRound acts on the partition's round in flight, whose record has been written at a
// revision: only now are its starts sent.
func (s *Scheduler) ApplyCommittedRound(owned *core.OwnedPartition, revision api.Revision) {
	round := owned.InFlight
	owned.InFlight, owned.InFlightDemand = nil, nil
	owned.NextRound = s.core.Now.Add(s.currentRoundInterval())
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
			s.siblings.Agents.ContactNow(m)
		}
	}
	owned.Dirty = true
}

// countCommittedRound counts a round that has been written in the metrics.
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

// logFinishedJobs logs the jobs that a record has completed.
func (s *Scheduler) logFinishedJobs(record *clusterstate.Record) {
	for _, delta := range record.Jobs {
		if j := s.core.State.Jobs[delta.Job]; j != nil && len(delta.Completed) > 0 && j.State() == api.JobDone {
			slog.Info(core.LogJobDone, core.TenantAttr(j), "job", delta.Job, core.SpecAttr(j.Spec), "estimate", j.Spec.Estimate,
				"after", s.core.SecondsSinceAcceptance(j), "limits", s.core.CompletionObjectives(j.Spec))
		}
	}
}
