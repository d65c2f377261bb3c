package controller

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/clusterstate"
)

// isRecordRingFull reports whether the next record would overwrite one that no checkpoint covers.
func (n *Controller) isRecordRingFull(owned *ownedPartition) bool {
	return n.state.Partitions[owned.id].RoundSeq+1 >= n.state.Partitions[owned.id].CheckpointHead.Seq+clusterstate.RingSize
}

// commitRound begins to write a round. Its record goes first among the writes.
func (n *Controller) commitRound(owned *ownedPartition, round *pendingRound) {
	body, err := json.Marshal(round.record)
	if err != nil {
		slog.Error("round not encoded", "err", err)
		return
	}
	slot := clusterstate.RoundKey(owned.id, round.record.Seq)
	if n.hosted != nil {
		round.txn.If = append(round.txn.If, n.state.VersionCondition(keyGate))
	}
	round.txn.If = append(round.txn.If, n.state.VersionCondition(slot),
		owned.ownershipCondition())
	round.txn.Writes = append([]api.Write{{Put: slot, Value: body}}, round.txn.Writes...)
	round.sentAt = n.now
	owned.inFlight, owned.inFlightDemand = round, map[api.MachineID]api.Resources{}
	for _, s := range round.starts {
		owned.inFlightDemand[s.Machine] = owned.inFlightDemand[s.Machine].Plus(s.Job.Demand)
	}
	n.sendRound(owned)
}

// sendRound sends the round's record. Until the outcome is known the very same
// transaction is sent again: it can take effect once at most, since its slot
// must still have the version it had before.
func (n *Controller) sendRound(owned *ownedPartition) {
	round := owned.inFlight
	slot := round.txn.Writes[0].Put
	n.callStoreTxn(round.txn, func(a StoreResponse) {
		if n.partitions[owned.id] != owned || owned.inFlight != round {
			return
		}
		round.outcomeUnknown = round.outcomeUnknown || a.Status == 0
		switch {
		case a.Status == 200 && round.transfer:
			// The log has it in its order among other lendings: a checkpoint counts on that.
			n.resolveRound(owned, round)
		case a.Status == 200:
			n.applyCommittedRound(owned, a.Txn.Revision)
		case a.Status == 409 && slices.Contains(a.Txn.Failed, clusterstate.PartitionKey(clusterstate.KeyPartition, owned.id)):
			n.loseOwnership(owned)
		case a.Status == 409 && slices.Contains(a.Txn.Failed, slot):
			// An earlier sending may have got through: the book tells.
			n.resolveRound(owned, round)
		case a.Status == 409:
			// A job has changed, so this record can never be written.
			n.linearizableRead(func() { n.abandonRound(owned, round) }, func() { n.retryRound(owned, round) })
		default:
			if a.Status == 429 {
				n.backOffRounds()
			}
			n.retryRound(owned, round)
		}
	})
}

func (n *Controller) retryRound(owned *ownedPartition, round *pendingRound) {
	n.deferCall(func() {
		if n.partitions[owned.id] == owned && owned.inFlight == round {
			n.sendRound(owned)
		}
	})
}

func (n *Controller) resolveRound(owned *ownedPartition, round *pendingRound) {
	n.linearizableRead(func() {
		if n.partitions[owned.id] != owned || owned.inFlight != round {
			return
		}
		if n.state.Partitions[owned.id].RoundSeq >= round.record.Seq {
			n.applyCommittedRound(owned, n.state.Version(round.txn.Writes[0].Put))
			return
		}
		n.abandonRound(owned, round)
	}, func() { n.retryRound(owned, round) })
}

// abandonRound gives up a record that has not been and never can be written.
func (n *Controller) abandonRound(owned *ownedPartition, round *pendingRound) {
	if n.partitions[owned.id] != owned || owned.inFlight != round {
		return
	}
	if n.state.Partitions[owned.id].RoundSeq >= round.record.Seq {
		n.applyCommittedRound(owned, n.state.Version(round.txn.Writes[0].Put))
		return
	}
	owned.inFlight, owned.inFlightDemand = nil, nil
	if round.outcomeUnknown {
		n.metrics.IndeterminateUnwritten++
	}
	maps.Copy(owned.pendingEnds, round.ends)
	owned.dirty = true
}

// applyCommittedRound acts on a record that has been written: only now are starts sent.
func (n *Controller) applyCommittedRound(owned *ownedPartition, revision api.Revision) {
	round := owned.inFlight
	owned.inFlight, owned.inFlightDemand = nil, nil
	owned.nextRound = n.now.Add(n.currentRoundInterval())
	owned.lastRevision = max(owned.lastRevision, revision)
	n.metrics.Rounds++
	n.metrics.Starts += uint64(len(round.starts))
	n.metrics.Ends += uint64(len(round.ends))
	n.metrics.observeLatency("round", n.now.Sub(round.sentAt))
	if round.outcomeUnknown {
		n.metrics.IndeterminateWritten++
	}
	slot := round.txn.Writes[0].Put
	n.state.SetVersion(slot, revision)
	n.state.ApplyRecord(owned.id, &round.record)
	for _, d := range round.record.Jobs {
		n.metrics.Completions += uint64(len(d.Completed))
		if j := n.state.Jobs[d.Job]; j != nil && len(d.Completed) > 0 && j.State() == api.JobDone {
			slog.Info("job done", tenantAttr(j), "job", d.Job, specAttr(j.Spec), "estimate", j.Spec.Estimate,
				"after", float64(n.wallClock-j.AcceptedAt)/1000, "limits", n.completionObjectives(j.Spec))
		}
	}
	for _, s := range round.starts {
		if p := s.Job.Placements[s.Task.Index]; p != nil {
			p.OwnerState.placedAt = n.now
		}
		if m := n.machines[s.Machine]; m != nil {
			m.idleSince = n.now
			n.contactNow(m)
		}
	}
	owned.dirty = true
}
