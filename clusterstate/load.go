// Loading of the whole state from checkpoints, the rounds after them and all other keys.

package clusterstate

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/internal/exactjson"
)

// BeginLoad begins a load. Until FinishLoad, Put only collects values, since the rounds of a partition
// can't be applied before its checkpoint.
func (s *State[J, P]) BeginLoad() { s.rawValues = map[string]json.RawMessage{} }

// FinishLoad applies the collected values: first those that do not depend on others, then each
// partition's checkpoint and the rounds after it. After an error the load must be repeated from the
// beginning.
func (s *State[J, P]) FinishLoad() error {
	raw := s.rawValues
	s.rawValues = nil
	rounds := make([][]loadedRound, len(s.Partitions))
	for _, key := range slices.Sorted(maps.Keys(raw)) {
		if name, ok := cutPrefix(key, KeyRound); ok {
			partition, r, err := s.decodeRound(name, raw[key], s.versions[key])
			if err != nil {
				return fmt.Errorf("key %s: %w", key, err)
			}
			rounds[partition] = append(rounds[partition], r)
			continue
		}
		if err := s.apply(key, raw[key], s.versions[key]); err != nil {
			return err
		}
	}
	for i := range s.Partitions {
		partition := api.PartitionID(i)
		c, err := s.readCheckpoint(partition, raw)
		if err != nil {
			return err
		}
		if err := s.restorePartition(partition, c, rounds[i]); err != nil {
			return err
		}
	}
	return nil
}

// loadedRound is a round and the revision at which it was written.
type loadedRound struct {
	RoundRecord
	revision api.Revision
}

// decodeRound decodes a round; name is its key without the prefix.
func (s *State[J, P]) decodeRound(name string, value json.RawMessage, revision api.Revision) (api.PartitionID, loadedRound, error) {
	partition, err := parsePartition(name, len(s.Partitions))
	if err != nil {
		return 0, loadedRound{}, err
	}
	r := loadedRound{revision: revision}
	if err := exactjson.Decode(value, &r.RoundRecord); err != nil {
		return 0, loadedRound{}, err
	}
	return partition, r, nil
}

// readCheckpoint decodes a partition's checkpoint from its chunks; it is empty if there is none.
func (s *State[J, P]) readCheckpoint(partition api.PartitionID, raw map[string]json.RawMessage) (RoundRecord, error) {
	head := s.Partitions[partition].CheckpointHead
	if head.Chunks == 0 {
		return RoundRecord{}, nil
	}
	var blob []byte
	for k := range head.Chunks {
		var chunk []byte
		if err := exactjson.Decode(raw[CheckpointChunkKey(partition, head.Generation, k)], &chunk); err != nil {
			return RoundRecord{}, fmt.Errorf("checkpoint of partition %d, chunk %d: %w", partition, k, err)
		}
		blob = append(blob, chunk...)
	}
	var c RoundRecord
	if err := decompressJSON(blob, &c); err != nil {
		return RoundRecord{}, fmt.Errorf("checkpoint of partition %d: %w", partition, err)
	}
	return c, nil
}

// restorePartition applies a partition's checkpoint and then, ordered by revision, the rounds after it and
// the transfers of machines with tasks to the partition. The error is a *RoundGapError.
func (s *State[J, P]) restorePartition(partition api.PartitionID, c RoundRecord, rounds []loadedRound) error {
	ps := &s.Partitions[partition]
	ps.RoundSeq = c.Seq
	s.applyDeltas(partition, c.Seq, c.Jobs, max(c.Revision, 1)) // a checkpoint without a revision precedes all transfers
	s.addQuotaTransfers(partition, c.QuotaTransfers)
	s.applyReservations(partition, c.Reservations)
	incoming := s.incomingTransfers(partition, c.Revision)
	slices.SortFunc(rounds, func(x, y loadedRound) int { return cmp.Compare(x.Seq, y.Seq) })
	for k := range rounds {
		r := &rounds[k]
		if r.Seq <= ps.RoundSeq {
			continue
		}
		if r.Seq != ps.RoundSeq+1 {
			return &RoundGapError{Partition: partition, Seq: r.Seq, Latest: ps.RoundSeq}
		}
		for len(incoming) > 0 && incoming[0].Revision <= r.revision {
			s.applyDeltas(partition, 0, incoming[0].Tasks, 0)
			incoming = incoming[1:]
		}
		s.applyRound(partition, &r.RoundRecord, r.revision)
	}
	for _, l := range incoming {
		s.applyDeltas(partition, 0, l.Tasks, 0)
	}
	return nil
}
