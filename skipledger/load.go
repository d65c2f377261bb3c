// This file loads a shard from its blocks and records.

package skipledger

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// ErrRecordMissing is the error for a gap in the sequence of records.
var ErrRecordMissing = errors.New("is missing")

// DuplicateSkipError is the error for a skip that is in two blocks.
type DuplicateSkipError struct {
	Depot  Depot
	Skip   SkipID
	Blocks [2]BlockID
}

func (e *DuplicateSkipError) Error() string {
	return fmt.Sprintf("skip %s of depot %s is in blocks %d and %d", e.Skip, e.Depot, e.Blocks[0], e.Blocks[1])
}

// Load builds a shard from its blocks and the records in its ring. The error wraps ErrRecordMissing or
// is a *DuplicateSkipError.
func Load(blocks map[BlockID]*Block, records []*Record) (*Shard, error) {
	s := NewShard()
	for blockID, b := range blocks {
		if err := s.loadBlock(blockID, b); err != nil {
			return nil, err
		}
	}
	for _, blockID := range s.blockIDs() {
		for _, sk := range s.blocks[blockID].Skips {
			key := kindKey{depot: sk.Depot, kind: sk.Kind}
			s.skipsByKind[key] = append(s.skipsByKind[key], sk.ID)
		}
	}
	slices.SortFunc(records, func(a, b *Record) int { return cmp.Compare(a.Seq, b.Seq) })
	for i, r := range records {
		if i > 0 && r.Seq != records[i-1].Seq+1 {
			return nil, fmt.Errorf("record %d %w", records[i-1].Seq+1, ErrRecordMissing)
		}
		s.loadRecord(r)
	}
	return s, nil
}

// loadBlock adds a block with its skips and their bookings.
func (s *Shard) loadBlock(blockID BlockID, b *Block) error {
	s.blocks[blockID] = b
	s.newestBlock = max(s.newestBlock, blockID)
	for _, sk := range b.Skips {
		key := skipKey{depot: sk.Depot, skip: sk.ID}
		if other, twice := s.blockBySkip[key]; twice {
			return &DuplicateSkipError{Depot: sk.Depot, Skip: sk.ID, Blocks: [2]BlockID{other, blockID}}
		}
		s.blockBySkip[key] = blockID
		for i := range sk.Bookings {
			s.indexKey(sk, sk.Bookings[i].Key, sk.Bookings[i].ID)
			s.indexKey(sk, sk.Bookings[i].ConfirmationKey, sk.Bookings[i].ID)
		}
	}
	return nil
}

// loadRecord applies the operations of a record that are not included in the blocks yet. The blocks that
// a record adds skips to or moves skips between are written with it, so loadRecord need not do either.
func (s *Shard) loadRecord(r *Record) {
	s.Seq = r.Seq - 1
	for k := range r.Ops {
		op := &r.Ops[k]
		if blockID, ok := s.blockOf(skipKey{depot: op.Depot, skip: op.Skip}); ok && op.Type != OpAdd && s.blocks[blockID].LastSeq < r.Seq {
			s.apply(op, bookingID(r.Seq, k+1))
		}
	}
	s.Seq = r.Seq
}
