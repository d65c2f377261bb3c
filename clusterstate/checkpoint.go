// Checkpoints: the whole state of a partition, stored in a few keys.

package clusterstate

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"basaltwall/api"
)

// Checkpoint returns a partition's whole state as a record. The order of its entries is deterministic.
func (s *State[J, P]) Checkpoint(partition api.PartitionID) RoundRecord {
	c := RoundRecord{Seq: s.Partitions[partition].RoundSeq, Revision: s.Revision}
	for _, jobID := range slices.Sorted(maps.Keys(s.Jobs)) {
		j := s.Jobs[jobID]
		d := JobDelta{Job: jobID, CancellationAcknowledged: j.cancellationAcknowledged[partition]}
		if set := j.completedBy[partition]; set != nil {
			d.CompletedBits = set.bytes()
		}
		for _, i := range slices.Sorted(maps.Keys(j.Placements)) {
			if p := j.Placements[i]; p.Partition == partition {
				d.Starts = append(d.Starts, TaskStart{Task: i, Machine: p.Machine, Epoch: p.Epoch, Attempt: p.Attempt})
			}
		}
		if len(d.CompletedBits) > 0 || len(d.Starts) > 0 {
			c.Jobs = append(c.Jobs, d)
		}
	}
	for _, to := range slices.Sorted(maps.Keys(s.Partitions[partition].quotaTransferred)) {
		teams := s.Partitions[partition].quotaTransferred[to]
		for _, t := range slices.Sorted(maps.Keys(teams)) {
			c.QuotaTransfers = append(c.QuotaTransfers, QuotaTransfer{To: to, Team: t, Amount: teams[t]})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.Partitions[partition].Reservations)) {
		c.Reservations = append(c.Reservations, s.Partitions[partition].Reservations[id])
	}
	return c
}

// CheckpointWrites returns the writes of a partition's checkpoint, each with a value of at most maxBytes.
// The last write is the head, which makes the chunks before it valid.
func (s *State[J, P]) CheckpointWrites(partition api.PartitionID, maxBytes int) ([]api.Write, error) {
	c := s.Checkpoint(partition)
	// It is compressed, since the key-value store limits writes and IDs of jobs and machines occur many times.
	blob, err := compressJSON(c)
	if err != nil {
		return nil, fmt.Errorf("encoding checkpoint: %w", err)
	}
	chunkBytes := maxBytes / 4 * 3 // base64 turns three bytes into four
	head := CheckpointHeadValue{Seq: c.Seq, Revision: c.Revision, Generation: s.Partitions[partition].CheckpointHead.Generation + 1}
	var writes []api.Write
	for len(blob) > 0 {
		k := min(chunkBytes, len(blob))
		v, err := json.Marshal(blob[:k])
		if err != nil {
			return nil, fmt.Errorf("checkpoint: %w", err)
		}
		writes = append(writes, api.Write{Put: CheckpointChunkKey(partition, head.Generation, head.Chunks), Value: v})
		blob = blob[k:]
		head.Chunks++
	}
	v, err := json.Marshal(head)
	if err != nil {
		return nil, fmt.Errorf("checkpoint: %w", err)
	}
	return append(writes, api.Write{Put: PartitionKey(KeyCheckpointHead, partition), Value: v}), nil
}
