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
	// checkpointReserveBytes is what a piece of a checkpoint leaves of a value for its encoding.
	checkpointReserveBytes = 64
	// checkpointTxnKB is how much of a checkpoint one transaction writes.
	checkpointTxnKB = 56
)

// maybeCheckpoint writes the partition's state when enough rounds have passed, so that recovery
// reads a bounded amount and the ring of records can be reused.
func (s *Scheduler) maybeCheckpoint(owned *core.OwnedPartition) {
	partition := &s.core.State.Partitions[owned.ID]
	if owned.Checkpointing || owned.HandingOver || partition.RoundSeq < partition.CheckpointHead.Seq+clusterstate.RingSize/2 || s.core.Now < owned.NextArchive {
		return
	}
	writes, err := s.core.State.CheckpointWrites(owned.ID, s.valueBytes()-checkpointReserveBytes)
	if err != nil {
		slog.Error("checkpoint not encoded", "err", err)
		return
	}
	owned.Checkpointing = true
	s.writeCheckpointPieces(owned, writes)
}

// writeCheckpointPieces writes the next few pieces; the head, which makes them count, is in the
// last transaction. Each is conditional on the versions it replaces.
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

// finishCheckpoint makes a checkpoint, whose head was written last, the current one.
func (s *Scheduler) finishCheckpoint(owned *core.OwnedPartition, headWrite api.Write) {
	var head clusterstate.CheckpointHeadValue
	if json.Unmarshal(headWrite.Value, &head) == nil {
		s.core.State.Partitions[owned.ID].CheckpointHead = head
	}
	owned.Checkpointing, owned.Dirty = false, true
}

// retryCheckpoint has a checkpoint written afresh, with the versions as they are by then.
func (s *Scheduler) retryCheckpoint(owned *core.OwnedPartition) {
	owned.NextArchive = s.core.Now.Add(core.RetryDelay)
	allowCheckpoint := func() { owned.Checkpointing = false }
	s.siblings.Follower.LinearizableRead(allowCheckpoint, allowCheckpoint)
}
