// This file replicates the ledger: it loads all keys and applies the changes of the log.

package skipledger

import (
	"fmt"

	"basaltwall/api"
	"basaltwall/internal/exactjson"
)

// Load replaces the replica with all keys of the ledger as of a revision. On error the replica is
// unchanged.
func (g *Ledger) Load(pairs []api.KeyValue, revision api.Revision) error {
	blocks, records := make([]map[BlockID]*Block, len(g.shards)), make([][]*Record, len(g.shards))
	for i := range blocks {
		blocks[i] = map[BlockID]*Block{}
	}
	versions := map[string]api.Revision{}
	for _, p := range pairs {
		versions[p.Key] = p.Version
		if shard, blockID, ok := g.parseShardKey(p.Key, blockPrefix); ok {
			b := &Block{}
			if err := exactjson.Decode(p.Value, b); err != nil {
				return fmt.Errorf("key %s: %w", p.Key, err)
			}
			blocks[shard][BlockID(blockID)] = b
		} else if shard, _, ok := g.parseShardKey(p.Key, ringPrefix); ok {
			r := &Record{}
			if err := exactjson.Decode(p.Value, r); err != nil {
				return fmt.Errorf("key %s: %w", p.Key, err)
			}
			records[shard] = append(records[shard], r)
		}
	}
	shards := make([]*Shard, len(g.shards))
	for i := range shards {
		s, err := Load(blocks[i], records[i])
		if err != nil {
			return fmt.Errorf("shard %d: %w", i, err)
		}
		shards[i] = s
	}
	for i := range g.queues { // if the write in flight succeeded, its requests are duplicates now
		if w := g.queues[i].inFlight; w != nil {
			g.queues[i].pending, g.queues[i].inFlight = append(w.requests, g.queues[i].pending...), nil
		}
	}
	g.shards, g.versions, g.revision = shards, versions, revision
	return nil
}

// ApplyChanges applies changes of the log. After an error the replica must be loaded again.
func (g *Ledger) ApplyChanges(c api.Changes) error {
	for _, ch := range c.Log {
		if ch.Version <= g.versions[ch.Put] || ch.Put == "" {
			continue
		}
		g.versions[ch.Put] = ch.Version
		if shard, blockID, ok := g.parseShardKey(ch.Put, blockPrefix); ok {
			var header blockHeader
			if err := exactjson.Decode(ch.Value, &header); err != nil {
				return fmt.Errorf("key %s: %w", ch.Put, err)
			}
			g.shards[shard].BlockWritten(BlockID(blockID), header.LastSeq)
		} else if shard, _, ok := g.parseShardKey(ch.Put, ringPrefix); ok {
			var r Record
			if err := exactjson.Decode(ch.Value, &r); err != nil {
				return fmt.Errorf("key %s: %w", ch.Put, err)
			}
			if err := g.applyRecord(shard, &r); err != nil {
				return err
			}
		}
	}
	g.revision = max(g.revision, c.Revision)
	return nil
}

// blockHeader is a block without its skips.
type blockHeader struct {
	LastSeq uint64 `json:"u"`
}

// SequenceError is the error for a record that does not follow the latest one of its shard.
type SequenceError struct {
	Shard  int
	Seq    uint64
	Latest uint64
}

func (e *SequenceError) Error() string {
	return fmt.Sprintf("shard %d: record %d after %d", e.Shard, e.Seq, e.Latest)
}

// applyRecord applies a record of the log. The error is a *SequenceError.
func (g *Ledger) applyRecord(shard int, r *Record) error {
	s := g.shards[shard]
	if r.Seq <= s.Seq {
		return nil // applied when this controller wrote it
	}
	results := s.ApplyRecord(r)
	if results == nil {
		return &SequenceError{Shard: shard, Seq: r.Seq, Latest: s.Seq}
	}
	if w := g.queues[shard].inFlight; w != nil && w.draft.Record.Seq == r.Seq && w.draft.Record.WriterID == r.WriterID {
		w.results = results
	}
	return nil
}
