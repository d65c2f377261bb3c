// This file defines blocks, which store the state of the skips, and determines when a block must be
// written.

package skipledger

import (
	"encoding/json"
	"maps"
	"slices"
)

// Limits on the storage of a shard. Its records are stored in a ring of keys, and the state of its skips
// in blocks, each as of some record. The key of a record is reused only after all blocks that the record
// changed have been written.
const (
	RingSize        = 256          // records
	skipsPerBlock   = 24           // a full block gets no new skips
	maxBlockBytes   = 7000         // a larger block is split, to stay below the value size limit of the key-value store
	blockWriteDelay = RingSize / 4 // records after which a changed block is written
)

// BlockID identifies a block of a shard.
type BlockID uint64

// Block is a group of skips of a shard, stored as one value.
type Block struct {
	LastSeq uint64  `json:"u"` // number of the record as of which it was written
	Skips   []*Skip `json:"s"`

	dirtySince uint64 // number of the first record that changed it since; 0: none
}

// block returns a block for reading, or nil if there is none.
func (s *Shard) block(blockID BlockID) *Block {
	b := s.blocks[blockID]
	if b == nil && s.parent != nil {
		return s.parent.block(blockID)
	}
	return b
}

// mutableBlock returns a block for changes, or nil if there is none. A fork first copies it from its
// parent.
func (s *Shard) mutableBlock(blockID BlockID) *Block {
	if b := s.blocks[blockID]; b != nil || s.parent == nil {
		return b
	}
	old := s.parent.block(blockID)
	b := &Block{LastSeq: old.LastSeq, dirtySince: old.dirtySince, Skips: make([]*Skip, len(old.Skips))}
	for i, sk := range old.Skips {
		b.Skips[i] = sk.clone()
	}
	s.blocks[blockID] = b
	return b
}

// blockIDs returns the ids of all blocks, sorted.
func (s *Shard) blockIDs() []BlockID {
	blockIDs := slices.Collect(maps.Keys(s.blocks))
	if s.parent != nil {
		for blockID := range s.parent.blocks {
			if s.blocks[blockID] == nil {
				blockIDs = append(blockIDs, blockID)
			}
		}
	}
	slices.Sort(blockIDs)
	return blockIDs
}

// newBlock adds an empty block. Its id is derived from the record number, so that all controllers use the
// same.
func (s *Shard) newBlock(seq uint64) BlockID {
	blockID := BlockID(seq)*maxOps + 1
	for s.block(blockID) != nil {
		blockID++
	}
	s.blocks[blockID] = &Block{dirtySince: seq}
	s.newestBlock = max(s.newestBlock, blockID)
	return blockID
}

// splitBlock moves half of the skips of a block to a new block if the block is too large for a value.
func (s *Shard) splitBlock(blockID BlockID, seq uint64) {
	b := s.block(blockID)
	if len(b.Skips) < 2 || encodedSize(b) <= maxBlockBytes {
		return
	}
	b = s.mutableBlock(blockID)
	half := len(b.Skips) / 2
	to := s.newBlock(seq)
	s.blocks[to].Skips = slices.Clone(b.Skips[half:])
	b.Skips = b.Skips[:half]
	for _, sk := range s.blocks[to].Skips {
		s.blockBySkip[skipKey{depot: sk.Depot, skip: sk.ID}] = to
	}
}

// encodedSize returns the size of a block as a value, in bytes.
func encodedSize(b *Block) int {
	data, err := json.Marshal(b)
	if err != nil {
		return 0
	}
	return len(data)
}

// HasRingSpace reports whether the next record may overwrite the oldest one in the ring: all blocks that
// the oldest record changed must have been written since.
func (s *Shard) HasRingSpace() bool {
	for _, b := range s.blocks {
		if b.dirtySince != 0 && b.dirtySince+RingSize <= s.Seq+1 {
			return false
		}
	}
	return true
}

// BlockWritten marks a block as written as of a record.
func (s *Shard) BlockWritten(blockID BlockID, seq uint64) {
	if b := s.blocks[blockID]; b != nil && seq > b.LastSeq {
		if b.LastSeq = seq; seq >= b.dirtySince {
			b.dirtySince = 0
		}
	}
}
