package controller

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

// IsRecordRingFull reports whether the next record would overwrite one that no checkpoint covers.
func (rs *RoundScheduler) IsRecordRingFull(owned *core.OwnedPartition) bool {
	return rs.core.State.Partitions[owned.ID].RoundSeq+1 >= rs.core.State.Partitions[owned.ID].CheckpointHead.Seq+clusterstate.RingSize
}

// CommitRound begins to write a round. Its record goes first among the writes.
func (rs *RoundScheduler) CommitRound(owned *core.OwnedPartition, round *core.PendingRound) {
	body, err := json.Marshal(round.Record)
	if err != nil {
		slog.Error("round not encoded", "err", err)
		return
	}
	slot := clusterstate.RoundKey(owned.ID, round.Record.Seq)
	if rs.c.tenancy.Enabled() {
		round.Txn.If = append(round.Txn.If, rs.core.State.VersionCondition(core.KeyGate))
	}
	round.Txn.If = append(round.Txn.If, rs.core.State.VersionCondition(slot),
		owned.OwnershipCondition())
	round.Txn.Writes = append([]api.Write{{Put: slot, Value: body}}, round.Txn.Writes...)
	round.SentAt = rs.core.Now
	owned.InFlight, owned.InFlightDemand = round, map[api.MachineID]api.Resources{}
	for _, s := range round.Starts {
		owned.InFlightDemand[s.Machine] = owned.InFlightDemand[s.Machine].Plus(s.Job.Demand)
	}
	rs.sendRound(owned)
}

// sendRound sends the round's record. Until the outcome is known the very same
// transaction is sent again: it can take effect once at most, since its slot
// must still have the version it had before.
func (rs *RoundScheduler) sendRound(owned *core.OwnedPartition) {
	round := owned.InFlight
	slot := round.Txn.Writes[0].Put
	rs.core.CallStoreTxn(round.Txn, func(a message.StoreResponse) {
		if rs.core.Partitions[owned.ID] != owned || owned.InFlight != round {
			return
		}
		round.OutcomeUnknown = round.OutcomeUnknown || a.Status == 0
		switch {
		case a.Status == 200 && round.Transfer:
			// The log has it in its order among other lendings: a checkpoint counts on that.
			rs.resolveRound(owned, round)
		case a.Status == 200:
			rs.applyCommittedRound(owned, a.Txn.Revision)
		case a.Status == 409 && slices.Contains(a.Txn.Failed, clusterstate.PartitionKey(clusterstate.KeyPartition, owned.ID)):
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

func (rs *RoundScheduler) retryRound(owned *core.OwnedPartition, round *core.PendingRound) {
	rs.core.DeferCall(func() {
		if rs.core.Partitions[owned.ID] == owned && owned.InFlight == round {
			rs.sendRound(owned)
		}
	})
}

func (rs *RoundScheduler) resolveRound(owned *core.OwnedPartition, round *core.PendingRound) {
	rs.c.follower.LinearizableRead(func() {
		if rs.core.Partitions[owned.ID] != owned || owned.InFlight != round {
			return
		}
		if rs.core.State.Partitions[owned.ID].RoundSeq >= round.Record.Seq {
			rs.applyCommittedRound(owned, rs.core.State.Version(round.Txn.Writes[0].Put))
			return
		}
		rs.abandonRound(owned, round)
	}, func() { rs.retryRound(owned, round) })
}

// abandonRound gives up a record that has not been and never can be written.
func (rs *RoundScheduler) abandonRound(owned *core.OwnedPartition, round *core.PendingRound) {
	if rs.core.Partitions[owned.ID] != owned || owned.InFlight != round {
		return
	}
	if rs.core.State.Partitions[owned.ID].RoundSeq >= round.Record.Seq {
		rs.applyCommittedRound(owned, rs.core.State.Version(round.Txn.Writes[0].Put))
		return
	}
	owned.InFlight, owned.InFlightDemand = nil, nil
	if round.OutcomeUnknown {
		rs.core.Metrics.IndeterminateUnwritten++
	}
	maps.Copy(owned.PendingEnds, round.Ends)
	owned.Dirty = true
}

// applyCommittedRound acts on a record that has been written: only now are starts sent.
func (rs *RoundScheduler) applyCommittedRound(owned *core.OwnedPartition, revision api.Revision) {
	round := owned.InFlight
	owned.InFlight, owned.InFlightDemand = nil, nil
	owned.NextRound = rs.core.Now.Add(rs.currentRoundInterval())
	owned.LastRevision = max(owned.LastRevision, revision)
	rs.core.Metrics.Rounds++
	rs.core.Metrics.Starts += uint64(len(round.Starts))
	rs.core.Metrics.Ends += uint64(len(round.Ends))
	rs.core.Metrics.ObserveLatency("round", rs.core.Now.Sub(round.SentAt))
	if round.OutcomeUnknown {
		rs.core.Metrics.IndeterminateWritten++
	}
	slot := round.Txn.Writes[0].Put
	rs.core.State.SetVersion(slot, revision)
	rs.core.State.ApplyRecord(owned.ID, &round.Record)
	for _, d := range round.Record.Jobs {
		rs.core.Metrics.Completions += uint64(len(d.Completed))
		if j := rs.core.State.Jobs[d.Job]; j != nil && len(d.Completed) > 0 && j.State() == api.JobDone {
			slog.Info("job done", core.TenantAttr(j), "job", d.Job, core.SpecAttr(j.Spec), "estimate", j.Spec.Estimate,
				"after", float64(rs.core.WallClock-j.AcceptedAt)/1000, "limits", rs.core.CompletionObjectives(j.Spec))
		}
	}
	for _, s := range round.Starts {
		if p := s.Job.Placements[s.Task.Index]; p != nil {
			p.OwnerState.PlacedAt = rs.core.Now
		}
		if m := rs.core.Machines[s.Machine]; m != nil {
			m.IdleSince = rs.core.Now
			rs.c.agents.ContactNow(m)
		}
	}
	owned.Dirty = true
}
