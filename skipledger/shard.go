// This file defines shards of the ledger, with indexes of their skips and with forks for tentative
// changes.

package skipledger

import (
	"maps"
	"slices"
	"strings"
)

// skipKey identifies a skip.
type skipKey struct {
	depot Depot
	skip  SkipID
}

// bookingRef locates a booking at a depot.
type bookingRef struct {
	skip    SkipID
	booking BookingID
}

// requestKey identifies a request.
type requestKey struct {
	depot Depot
	key   IdempotencyKey
}

// kindKey identifies a kind of skips at a depot.
type kindKey struct {
	depot Depot
	kind  Kind
}

// Shard is a shard of the ledger: the skips of some depots, with a log of their own. It is not safe for
// concurrent use.
type Shard struct {
	Seq           uint64 // number of the latest record
	SkipsExamined int    // number of skips that were examined for free days

	newestBlock   BlockID
	blocks        map[BlockID]*Block
	blockBySkip   map[skipKey]BlockID
	bookingsByKey map[requestKey]bookingRef // in a fork, booking 0 marks a dropped key
	skipsByKind   map[kindKey][]SkipID
	parent        *Shard // the shard that this fork was made from; nil if it is not a fork
}

// NewShard returns an empty shard.
func NewShard() *Shard {
	return &Shard{
		blocks:        map[BlockID]*Block{},
		blockBySkip:   map[skipKey]BlockID{},
		bookingsByKey: map[requestKey]bookingRef{},
		skipsByKind:   map[kindKey][]SkipID{},
	}
}

// fork returns a copy of the shard whose changes do not affect the original. It copies blocks when they
// change.
func (s *Shard) fork() *Shard {
	f := NewShard()
	f.Seq, f.newestBlock, f.parent = s.Seq, s.newestBlock, s
	return f
}

// blockOf returns the block of a skip; it returns false if there is no such skip.
func (s *Shard) blockOf(key skipKey) (BlockID, bool) {
	blockID, ok := s.blockBySkip[key]
	if !ok && s.parent != nil {
		return s.parent.blockOf(key)
	}
	return blockID, ok
}

// Get returns a skip, or nil if there is none. Callers must not modify it.
func (s *Shard) Get(d Depot, id SkipID) *Skip {
	blockID, ok := s.blockOf(skipKey{depot: d, skip: id})
	if !ok {
		return nil
	}
	return findSkip(s.block(blockID), d, id)
}

// mutableSkip returns a skip for changes by the next record, or nil if there is none.
func (s *Shard) mutableSkip(d Depot, id SkipID) *Skip {
	blockID, ok := s.blockOf(skipKey{depot: d, skip: id})
	if !ok {
		return nil
	}
	b := s.mutableBlock(blockID)
	if b.dirtySince == 0 {
		b.dirtySince = s.Seq + 1
	}
	return findSkip(b, d, id)
}

// findSkip returns a skip of a block, or nil if the block does not contain it.
func findSkip(b *Block, d Depot, id SkipID) *Skip {
	for _, sk := range b.Skips {
		if sk.ID == id && sk.Depot == d {
			return sk
		}
	}
	return nil
}

// lookupKey returns the booking that the request with a key created or confirmed.
func (s *Shard) lookupKey(d Depot, key IdempotencyKey) (bookingRef, bool) {
	ref, ok := s.bookingsByKey[requestKey{depot: d, key: key}]
	if !ok && s.parent != nil {
		return s.parent.lookupKey(d, key)
	}
	return ref, ok && ref.booking != 0
}

// indexKey adds the key of a request and its booking to the index, unless the key is empty.
func (s *Shard) indexKey(sk *Skip, key IdempotencyKey, id BookingID) {
	if key != "" {
		s.bookingsByKey[requestKey{depot: sk.Depot, key: key}] = bookingRef{skip: sk.ID, booking: id}
	}
}

// unindexKey removes the key of a request from the index.
func (s *Shard) unindexKey(d Depot, key IdempotencyKey) {
	if s.parent != nil {
		s.bookingsByKey[requestKey{depot: d, key: key}] = bookingRef{}
		return
	}
	delete(s.bookingsByKey, requestKey{depot: d, key: key})
}

// skipsOfKind returns the skips of a kind at a depot, in the order in which they were added.
func (s *Shard) skipsOfKind(d Depot, k Kind) []SkipID {
	own := s.skipsByKind[kindKey{depot: d, kind: k}]
	if s.parent != nil {
		return slices.Concat(s.parent.skipsOfKind(d, k), own)
	}
	return own
}

// List returns at most limit skips of a depot whose ids are greater than after, sorted by id; more
// reports whether there are others.
func (s *Shard) List(d Depot, after SkipID, limit int) (out []*Skip, more bool) {
	for blockID := range s.blocks {
		for _, sk := range s.blocks[blockID].Skips {
			if sk.Depot == d && sk.ID > after {
				out = append(out, sk)
			}
		}
	}
	slices.SortFunc(out, func(a, b *Skip) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out[:min(len(out), limit)], len(out) > limit
}

// addSkip adds a skip unless it exists.
func (s *Shard) addSkip(op *Op) Result {
	key := skipKey{depot: op.Depot, skip: op.Skip}
	if _, ok := s.blockOf(key); ok {
		return Result{Skip: op.Skip}
	}
	// The skip goes to the newest block, or to a new block if that one is full.
	blockID := s.newestBlock
	if b := s.block(blockID); b == nil || len(b.Skips) >= skipsPerBlock {
		blockID = s.newBlock(s.Seq + 1)
	}
	b := s.mutableBlock(blockID)
	if b.dirtySince == 0 {
		b.dirtySince = s.Seq + 1
	}
	b.Skips = append(b.Skips, &Skip{Depot: op.Depot, ID: op.Skip, Kind: op.Kind})
	s.blockBySkip[key] = blockID
	k := kindKey{depot: op.Depot, kind: op.Kind}
	s.skipsByKind[k] = append(s.skipsByKind[k], op.Skip)
	return Result{Skip: op.Skip}
}

// ApplyRecord applies a record and returns the results of its operations, or nil if the record is not the
// next one.
func (s *Shard) ApplyRecord(r *Record) []Result {
	if r.Seq != s.Seq+1 {
		return nil
	}
	out := make([]Result, len(r.Ops))
	changed := map[BlockID]bool{}
	for i := range r.Ops {
		out[i] = s.apply(&r.Ops[i], bookingID(r.Seq, i+1))
		if blockID, ok := s.blockOf(skipKey{depot: r.Ops[i].Depot, skip: r.Ops[i].Skip}); ok {
			changed[blockID] = true
		}
	}
	for _, blockID := range slices.Sorted(maps.Keys(changed)) {
		s.splitBlock(blockID, r.Seq)
	}
	s.Seq = r.Seq
	return out
}
