package rounds

// This file writes the checkpoints of partitions.

import (
	"log/slog"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/internal/exactjson"
)

const (
	// checkpointReserveBytes is the part of a value that a piece of a checkpoint leaves for its
	// encoding.
	checkpointReserveBytes = 64
	// minCheckpointPieceBytes is the size to which refusals reduce pieces at most.
	minCheckpointPieceBytes = 256
)

// maybeCheckpoint writes the partition's state when enough rounds have passed, so that a recovery
// reads a bounded number of records and the ring of records can be reused.
func (s *Scheduler) maybeCheckpoint(owned *core.OwnedPartition) {
	partition := &s.core.State.Partitions[owned.ID]
	if owned.Checkpointing || owned.HandingOver || partition.RoundSeq < partition.CheckpointHead.Seq+clusterstate.RingSize/2 || s.core.Now < owned.NextArchive {
		return
	}
	pieceBytes := max(owned.CheckpointReduction.Apply(s.core.MaxValueBytes()-checkpointReserveBytes), minCheckpointPieceBytes)
	writes, err := s.core.State.CheckpointWrites(owned.ID, pieceBytes)
	if err != nil {
		slog.Error("checkpoint could not be encoded", "err", err)
		return
	}
	owned.Checkpointing = true
	s.writeCheckpointPieces(owned, writes)
}

// writeCheckpointPieces writes the next pieces of a checkpoint in one transaction. The last
// transaction contains the head, which makes the checkpoint valid. Each transaction is conditional
// on the versions of the values that it replaces.
func (s *Scheduler) writeCheckpointPieces(owned *core.OwnedPartition, writes []api.Write) {
	var pieces []api.Txn
	for _, write := range writes {
		pieces = append(pieces, api.Txn{If: []api.Condition{s.core.State.VersionCondition(write.Put)}, Writes: []api.Write{write}})
	}
	txn, count := s.core.LargestFittingTxn([]api.Condition{owned.OwnershipCondition()}, pieces, owned.CheckpointReduction)
	if count == 0 {
		s.core.ReportRejectedTxn(&pieces[0])
		owned.CheckpointReduction.Rejected()
		s.retryCheckpoint(owned)
		return
	}
	s.core.CallStoreTxn(txn, func(response message.StoreResponse) {
		if s.core.Partitions[owned.ID] != owned {
			return
		}
		if response.Status == api.StatusBadRequest {
			owned.CheckpointReduction.Rejected()
		}
		if response.Status != api.StatusOK {
			s.retryCheckpoint(owned)
			return
		}
		for _, write := range writes[:count] {
			s.core.State.SetVersion(write.Put, response.Txn.Revision)
		}
		if count < len(writes) {
			s.writeCheckpointPieces(owned, writes[count:])
			return
		}
		s.finishCheckpoint(owned, writes[count-1])
	})
}

// finishCheckpoint makes a completely written checkpoint the current one.
func (s *Scheduler) finishCheckpoint(owned *core.OwnedPartition, headWrite api.Write) {
	var head clusterstate.CheckpointHeadValue
	if exactjson.Decode(headWrite.Value, &head) == nil {
		s.core.State.Partitions[owned.ID].CheckpointHead = head
	}
	owned.Checkpointing, owned.NeedsRound = false, true
	owned.CheckpointReduction.Accepted()
}

// retryCheckpoint allows a new checkpoint after a read of the log, which updates the versions of
// its keys.
func (s *Scheduler) retryCheckpoint(owned *core.OwnedPartition) {
	owned.NextArchive = s.core.Now.Add(core.RetryDelay)
	allowCheckpoint := func() { owned.Checkpointing = false }
	s.deps.Follower.LinearizableRead(allowCheckpoint, allowCheckpoint)
}
