package rounds

// This file writes the checkpoints of partitions.

import (
	"encoding/json"
	"log/slog"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

const (
	// checkpointReserveBytes is the part of a value that a piece of a checkpoint leaves for its
	// encoding.
	checkpointReserveBytes = 64
	// checkpointTxnKB limits the pieces of a checkpoint in one transaction.
	checkpointTxnKB = 56
)

// maybeCheckpoint writes the partition's state when enough rounds have passed, so that a recovery
// reads a bounded number of records and the ring of records can be reused.
func (s *Scheduler) maybeCheckpoint(owned *core.OwnedPartition) {
	partition := &s.core.State.Partitions[owned.ID]
	if owned.Checkpointing || owned.HandingOver || partition.RoundSeq < partition.CheckpointHead.Seq+clusterstate.RingSize/2 || s.core.Now < owned.NextArchive {
		return
	}
	writes, err := s.core.State.CheckpointWrites(owned.ID, s.valueBytes()-checkpointReserveBytes)
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
	state := s.core.Config.Deployment.State
	count := min(len(writes), state.TxnOps, max(1, int(checkpointTxnKB/state.ValueKB)))
	txn := api.Txn{If: []api.Condition{owned.OwnershipCondition()}, Writes: writes[:count]}
	for _, write := range writes[:count] {
		txn.If = append(txn.If, s.core.State.VersionCondition(write.Put))
	}
	s.core.CallStoreTxn(txn, func(response message.StoreResponse) {
		if s.core.Partitions[owned.ID] != owned {
			return
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
	if json.Unmarshal(headWrite.Value, &head) == nil {
		s.core.State.Partitions[owned.ID].CheckpointHead = head
	}
	owned.Checkpointing, owned.NeedsRound = false, true
}

// retryCheckpoint allows a new checkpoint after a read of the log, which updates the versions of
// its keys.
func (s *Scheduler) retryCheckpoint(owned *core.OwnedPartition) {
	owned.NextArchive = s.core.Now.Add(core.RetryDelay)
	allowCheckpoint := func() { owned.Checkpointing = false }
	s.deps.Follower.LinearizableRead(allowCheckpoint, allowCheckpoint)
}
