// Checkpoints: a partition's whole state in a few values, and reading everything anew.

package clusterstate

import (
	"bytes"
	"cmp"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"basaltwall/api"
)

// Checkpoint describes a partition's whole state.
func (s *State[J, P]) Checkpoint(partition api.PartitionID) Record {
	c := Record{Seq: s.Partitions[partition].RoundSeq, Revision: s.Revision}
	for _, jobID := range slices.Sorted(maps.Keys(s.Jobs)) {
		j := s.Jobs[jobID]
		d := JobDelta{Job: jobID, CancellationAcknowledged: j.cancellationAcknowledged[partition]}
		if set := j.completedBy[partition]; set != nil {
			d.CompletedBits = set.bytes()
		}
		for _, i := range slices.Sorted(maps.Keys(j.Placements)) {
			if p := j.Placements[i]; p.Partition == partition {
				d.Starts = append(d.Starts, TaskStart{i, p.Machine, p.Epoch, p.Attempt})
			}
		}
		if len(d.CompletedBits) > 0 || len(d.Starts) > 0 {
			c.Jobs = append(c.Jobs, d)
		}
	}
	for _, to := range slices.Sorted(maps.Keys(s.Partitions[partition].quotaTransferred)) {
		teams := s.Partitions[partition].quotaTransferred[to]
		for _, t := range slices.Sorted(maps.Keys(teams)) {
			c.QuotaTransfers = append(c.QuotaTransfers, QuotaTransfer{to, t, teams[t]})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.Partitions[partition].Reservations)) {
		c.Reservations = append(c.Reservations, s.Partitions[partition].Reservations[id])
	}
	return c
}

// CheckpointWrites are the writes of a partition's checkpoint, none larger than size bytes; the last
// one, the head, makes them count.
func (s *State[J, P]) CheckpointWrites(partition api.PartitionID, size int) ([]api.Write, error) {
	c := s.Checkpoint(partition)
	blob, err := encodeCheckpoint(c)
	if err != nil {
		return nil, err
	}
	size = size / 4 * 3 // base64 makes four bytes of three
	head := CheckpointHeadValue{Seq: c.Seq, Revision: c.Revision, Generation: s.Partitions[partition].CheckpointHead.Generation + 1}
	var writes []api.Write
	for len(blob) > 0 {
		k := min(size, len(blob))
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

// encodeCheckpoint makes a checkpoint small: it names the same jobs and machines over and
// over, and the key-value store's writes are scarce.
func encodeCheckpoint(c Record) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("packing: %w", err)
	}
	if err := json.NewEncoder(w).Encode(c); err != nil {
		return nil, fmt.Errorf("packing: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("packing: %w", err)
	}
	return buf.Bytes(), nil
}

func decodeCheckpoint(blob []byte) (Record, error) {
	var c Record
	text, err := io.ReadAll(flate.NewReader(bytes.NewReader(blob)))
	if err != nil {
		return c, fmt.Errorf("unpacking: %w", err)
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return c, fmt.Errorf("unpacking: %w", err)
	}
	return c, nil
}

// BeginLoad begins to read everything anew: until FinishLoad, what is put only gathers, since
// a partition's rounds can't be folded before its checkpoint.
func (s *State[J, P]) BeginLoad() { s.rawValues = map[string]json.RawMessage{} }

// FinishLoad folds the gathered keys: first all that stand for themselves, then each
// partition's checkpoint and the rounds after it.
func (s *State[J, P]) FinishLoad() error {
	raw := s.rawValues
	s.rawValues = nil
	rounds := make([][]loadedRound, len(s.Partitions))
	for _, key := range slices.Sorted(maps.Keys(raw)) {
		if name, ok := cutPrefix(key, KeyRound); ok {
			partition, err := parsePartition(name, len(s.Partitions))
			if err != nil {
				return fmt.Errorf("key %s: %w", key, err)
			}
			r := loadedRound{revision: s.versions[key]}
			if err := json.Unmarshal(raw[key], &r.Record); err != nil {
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

// loadedRound is a round with the revision at which it was written.
type loadedRound struct {
	Record
	revision api.Revision
}

// readCheckpoint puts a partition's checkpoint together from its pieces; empty if it has none.
func (s *State[J, P]) readCheckpoint(partition api.PartitionID, raw map[string]json.RawMessage) (Record, error) {
	head := s.Partitions[partition].CheckpointHead
	if head.Chunks == 0 {
		return Record{}, nil
	}
	var blob []byte
	for k := range head.Chunks {
		var chunk []byte
		if err := json.Unmarshal(raw[CheckpointChunkKey(partition, head.Generation, k)], &chunk); err != nil {
			return Record{}, fmt.Errorf("checkpoint of part %d, piece %d: %w", partition, k, err)
		}
		blob = append(blob, chunk...)
	}
	c, err := decodeCheckpoint(blob)
	if err != nil {
		return Record{}, fmt.Errorf("checkpoint of part %d: %w", partition, err)
	}
	return c, nil
}

// restorePartition folds a partition's checkpoint and, in the order of their revisions, the rounds after it
// and the machines that came to it with their tasks.
func (s *State[J, P]) restorePartition(partition api.PartitionID, c Record, rounds []loadedRound) error {
	ps := &s.Partitions[partition]
	ps.RoundSeq = c.Seq
	s.applyDeltas(partition, c.Seq, c.Jobs, max(c.Revision, 1)) // without a revision it is older than all transfers
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
			return fmt.Errorf("part %d: round %d follows %d", partition, r.Seq, ps.RoundSeq)
		}
		for len(incoming) > 0 && incoming[0].Revision <= r.revision {
			s.applyDeltas(partition, 0, incoming[0].Tasks, 0)
			incoming = incoming[1:]
		}
		s.applyRound(partition, &r.Record, r.revision)
	}
	for _, l := range incoming {
		s.applyDeltas(partition, 0, l.Tasks, 0)
	}
	return nil
}
