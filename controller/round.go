package controller

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/clusterstate"
)

// IsRecordRingFull reports whether the next record would overwrite one that no checkpoint covers.
func (rs *RoundScheduler) IsRecordRingFull(owned *ownedPartition) bool {
	return rs.core.state.Partitions[owned.id].RoundSeq+1 >= rs.core.state.Partitions[owned.id].CheckpointHead.Seq+clusterstate.RingSize
}

// CommitRound begins to write a round. Its record goes first among the writes.
func (rs *RoundScheduler) CommitRound(owned *ownedPartition, round *pendingRound) {
	body, err := json.Marshal(round.record)
	if err != nil {
		slog.Error("round not encoded", "err", err)
		return
	}
	slot := clusterstate.RoundKey(owned.id, round.record.Seq)
	if rs.c.tenancy.hosted != nil {
		round.txn.If = append(round.txn.If, rs.core.state.VersionCondition(keyGate))
	}
	round.txn.If = append(round.txn.If, rs.core.state.VersionCondition(slot),
		owned.ownershipCondition())
	round.txn.Writes = append([]api.Write{{Put: slot, Value: body}}, round.txn.Writes...)
	round.sentAt = rs.core.now
	owned.inFlight, owned.inFlightDemand = round, map[api.MachineID]api.Resources{}
	for _, s := range round.starts {
		owned.inFlightDemand[s.Machine] = owned.inFlightDemand[s.Machine].Plus(s.Job.Demand)
	}
	rs.sendRound(owned)
}

// sendRound sends the round's record. Until the outcome is known the very same
// transaction is sent again: it can take effect once at most, since its slot
// must still have the version it had before.
func (rs *RoundScheduler) sendRound(owned *ownedPartition) {
	round := owned.inFlight
	slot := round.txn.Writes[0].Put
	rs.core.CallStoreTxn(round.txn, func(a StoreResponse) {
		if rs.partitions[owned.id] != owned || owned.inFlight != round {
			return
		}
		round.outcomeUnknown = round.outcomeUnknown || a.Status == 0
		switch {
		case a.Status == 200 && round.transfer:
			// The log has it in its order among other lendings: a checkpoint counts on that.
			rs.resolveRound(owned, round)
		case a.Status == 200:
			rs.applyCommittedRound(owned, a.Txn.Revision)
		case a.Status == 409 && slices.Contains(a.Txn.Failed, clusterstate.PartitionKey(clusterstate.KeyPartition, owned.id)):
			rs.loseOwnership(owned)
		case a.Status == 409 && slices.Contains(a.Txn.Failed, slot):
			// An earlier sending may have got through: the book tells.
			rs.resolveRound(owned, round)
		case a.Status == 409:
			// A job has changed, so this record can never be written.
			rs.c.follower.LinearizableRead(func() { rs.abandonRound(owned, round) }, func() { rs.retryRound(owned, round) })
		default:
			if a.Status == 429 {
				rs.backOffRounds()
			}
			rs.retryRound(owned, round)
		}
	})
}

func (rs *RoundScheduler) retryRound(owned *ownedPartition, round *pendingRound) {
	rs.core.DeferCall(func() {
		if rs.partitions[owned.id] == owned && owned.inFlight == round {
			rs.sendRound(owned)
		}
	})
}

func (rs *RoundScheduler) resolveRound(owned *ownedPartition, round *pendingRound) {
	rs.c.follower.LinearizableRead(func() {
		if rs.partitions[owned.id] != owned || owned.inFlight != round {
			return
		}
		if rs.core.state.Partitions[owned.id].RoundSeq >= round.record.Seq {
			rs.applyCommittedRound(owned, rs.core.state.Version(round.txn.Writes[0].Put))
			return
		}
		rs.abandonRound(owned, round)
	}, func() { rs.retryRound(owned, round) })
}

// abandonRound gives up a record that has not been and never can be written.
func (rs *RoundScheduler) abandonRound(owned *ownedPartition, round *pendingRound) {
	if rs.partitions[owned.id] != owned || owned.inFlight != round {
		return
	}
	if rs.core.state.Partitions[owned.id].RoundSeq >= round.record.Seq {
		rs.applyCommittedRound(owned, rs.core.state.Version(round.txn.Writes[0].Put))
		return
	}
	owned.inFlight, owned.inFlightDemand = nil, nil
	if round.outcomeUnknown {
		rs.core.metrics.IndeterminateUnwritten++
	}
	maps.Copy(owned.pendingEnds, round.ends)
	owned.dirty = true
}

// applyCommittedRound acts on a record that has been written: only now are starts sent.
func (rs *RoundScheduler) applyCommittedRound(owned *ownedPartition, revision api.Revision) {
	round := owned.inFlight
	owned.inFlight, owned.inFlightDemand = nil, nil
	owned.nextRound = rs.core.now.Add(rs.currentRoundInterval())
	owned.lastRevision = max(owned.lastRevision, revision)
	rs.core.metrics.Rounds++
	rs.core.metrics.Starts += uint64(len(round.starts))
	rs.core.metrics.Ends += uint64(len(round.ends))
	rs.core.metrics.observeLatency("round", rs.core.now.Sub(round.sentAt))
	if round.outcomeUnknown {
		rs.core.metrics.IndeterminateWritten++
	}
	slot := round.txn.Writes[0].Put
	rs.core.state.SetVersion(slot, revision)
	rs.core.state.ApplyRecord(owned.id, &round.record)
	for _, d := range round.record.Jobs {
		rs.core.metrics.Completions += uint64(len(d.Completed))
		if j := rs.core.state.Jobs[d.Job]; j != nil && len(d.Completed) > 0 && j.State() == api.JobDone {
			slog.Info("job done", tenantAttr(j), "job", d.Job, specAttr(j.Spec), "estimate", j.Spec.Estimate,
				"after", float64(rs.core.wallClock-j.AcceptedAt)/1000, "limits", rs.CompletionObjectives(j.Spec))
		}
	}
	for _, s := range round.starts {
		if p := s.Job.Placements[s.Task.Index]; p != nil {
			p.OwnerState.placedAt = rs.core.now
		}
		if m := rs.c.agents.machines[s.Machine]; m != nil {
			m.idleSince = rs.core.now
			rs.c.agents.ContactNow(m)
		}
	}
	owned.dirty = true
}
