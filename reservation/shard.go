package reservation

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"basaltwall/api"
)

// Bounds of a shard's storage. Its records lie in a ring of keys; the state of its skips in
// blocks, each as of some record. A record's key may be used again once every block that it
// changed has been written since.
const (
	RingSize      = 256
	skipsPerBlock = 24   // skips of a new block
	maxBlockBytes = 7000 // bytes from which a block is divided, below what a value may have
)

// BlockID names a block.
type BlockID uint64

// Block is some skips of a shard, as one value.
type Block struct {
	LastSeq uint64  `json:"u"` // the record up to which it was written
	Skips   []*Skip `json:"s"`

	dirtySince uint64 // the first record that changed it since, 0: none
}

type skipKey struct {
	depot Depot
	skip  SkipID
}

type bookingRef struct {
	skip    SkipID
	booking BookingID
}

type requestKey struct {
	depot Depot
	key   IdempotencyKey
}

type kindKey struct {
	depot Depot
	kind  Kind
}

// Shard is a part of the ledger, with a log of its own.
type Shard struct {
	Seq           uint64 // of the latest record
	SkipsExamined int    // skips looked at for free ones

	newestBlock   BlockID // block
	blocks        map[BlockID]*Block
	blockBySkip   map[skipKey]BlockID
	bookingsByKey map[requestKey]bookingRef // number 0 in a fork: there is none any more
	skipsByKind   map[kindKey][]SkipID
	parent        *Shard // what this one was forked from
}

// NewShard returns an empty shard.
func NewShard() *Shard {
	return &Shard{blocks: map[BlockID]*Block{}, blockBySkip: map[skipKey]BlockID{}, bookingsByKey: map[requestKey]bookingRef{}, skipsByKind: map[kindKey][]SkipID{}}
}

// fork is a shard that begins as this one and can be thrown away.
func (s *Shard) fork() *Shard {
	f := NewShard()
	f.Seq, f.newestBlock, f.parent = s.Seq, s.newestBlock, s
	return f
}

func (s *Shard) blockOf(p skipKey) (BlockID, bool) {
	blockID, ok := s.blockBySkip[p]
	if !ok && s.parent != nil {
		return s.parent.blockOf(p)
	}
	return blockID, ok
}

func (s *Shard) block(blockID BlockID) *Block {
	b := s.blocks[blockID]
	if b == nil && s.parent != nil {
		return s.parent.block(blockID)
	}
	return b
}

// mutableBlock is a block that may be changed here.
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

// blockIDs lists the blocks in order.
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

// Get finds a skip, nil if there is none. It is not to be changed.
func (s *Shard) Get(d Depot, id SkipID) *Skip {
	blockID, ok := s.blockOf(skipKey{d, id})
	if !ok {
		return nil
	}
	return findSkip(s.block(blockID), d, id)
}

func (s *Shard) mutableSkip(d Depot, id SkipID) *Skip {
	blockID, ok := s.blockOf(skipKey{d, id})
	if !ok {
		return nil
	}
	b := s.mutableBlock(blockID)
	if b.dirtySince == 0 {
		b.dirtySince = s.Seq + 1
	}
	return findSkip(b, d, id)
}

func findSkip(b *Block, d Depot, id SkipID) *Skip {
	for _, sk := range b.Skips {
		if sk.ID == id && sk.Depot == d {
			return sk
		}
	}
	return nil
}

func (s *Shard) lookupKey(d Depot, n IdempotencyKey) (bookingRef, bool) {
	at, ok := s.bookingsByKey[requestKey{d, n}]
	if !ok && s.parent != nil {
		return s.parent.lookupKey(d, n)
	}
	return at, ok && at.booking != 0
}

func (s *Shard) recordKey(sk *Skip, n IdempotencyKey, num BookingID) {
	if n != "" {
		s.bookingsByKey[requestKey{sk.Depot, n}] = bookingRef{sk.ID, num}
	}
}

func (s *Shard) forgetKey(d Depot, n IdempotencyKey) {
	if s.parent != nil {
		s.bookingsByKey[requestKey{d, n}] = bookingRef{}
		return
	}
	delete(s.bookingsByKey, requestKey{d, n})
}

// skipsOfKind lists the skips of a kind at a depot.
func (s *Shard) skipsOfKind(d Depot, k Kind) []SkipID {
	own := s.skipsByKind[kindKey{d, k}]
	if s.parent != nil {
		return slices.Concat(s.parent.skipsOfKind(d, k), own)
	}
	return own
}

// List is the skips of a depot that come after one, so many at most, in order; what remains is
// true if there are more.
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

func (s *Shard) addSkip(op *Op) Result {
	p := skipKey{op.Depot, op.Skip}
	if _, ok := s.blockOf(p); ok {
		return Result{Skip: op.Skip}
	}
	// The newest block that still takes some, or a new one, named by its first record.
	blockID := s.newestBlock
	if b := s.block(blockID); b == nil || len(b.Skips) >= skipsPerBlock {
		blockID = s.newBlock(s.Seq + 1)
	}
	b := s.mutableBlock(blockID)
	if b.dirtySince == 0 {
		b.dirtySince = s.Seq + 1
	}
	b.Skips = append(b.Skips, &Skip{Depot: op.Depot, ID: op.Skip, Kind: op.Kind})
	s.blockBySkip[p] = blockID
	k := kindKey{op.Depot, op.Kind}
	s.skipsByKind[k] = append(s.skipsByKind[k], op.Skip)
	return Result{Skip: op.Skip}
}

// newBlock adds an empty block; its name follows from the record, so that all name it alike.
func (s *Shard) newBlock(seq uint64) BlockID {
	blockID := BlockID(seq)*maxOps + 1
	for s.block(blockID) != nil {
		blockID++
	}
	s.blocks[blockID] = &Block{dirtySince: seq}
	s.newestBlock = max(s.newestBlock, blockID)
	return blockID
}

// ApplyRecord takes in a record and tells what became of its changes; nil if it is not the next one.
func (s *Shard) ApplyRecord(r *Record) []Result {
	if r.Seq != s.Seq+1 {
		return nil
	}
	out := make([]Result, len(r.Ops))
	touched := map[BlockID]bool{}
	for i := range r.Ops {
		out[i] = s.apply(&r.Ops[i], bookingID(r.Seq, i+1))
		if blockID, ok := s.blockOf(skipKey{r.Ops[i].Depot, r.Ops[i].Skip}); ok {
			touched[blockID] = true
		}
	}
	for _, blockID := range slices.Sorted(maps.Keys(touched)) {
		s.splitBlock(blockID, r.Seq)
	}
	s.Seq = r.Seq
	return out
}

// splitBlock halves a block that has become too large for a value.
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
		s.blockBySkip[skipKey{sk.Depot, sk.ID}] = to
	}
}

func encodedSize(b *Block) int {
	data, err := json.Marshal(b)
	if err != nil {
		return 0
	}
	return len(data)
}

// BlockWrite is a value to be written with a record: a block as it is after it.
type BlockWrite struct {
	ID   BlockID
	Data json.RawMessage
}

// Draft is the next record of a shard, composed and not yet written.
type Draft struct {
	Record       Record
	Blocks       []BlockWrite
	Archived     []ArchivedBooking // what it forgets, to be kept elsewhere
	OpIndexes    []int             // by request: its first change in the record, -1: none
	Results      []Result          // by request: what it is answered where it needs no change
	RequestCount int               // so many requests are in it; the others wait for the next
}

// ArchivedBooking is an offer or promise that is over for long, as the archive has it.
type ArchivedBooking struct {
	Depot Depot  `json:"d"`
	Skip  SkipID `json:"i"`
	Booking
}

// Limits bound a record.
type Limits struct {
	MaxValueBytes int // of a value
	MaxPuts       int // of a transaction
}

// Compose makes the next record of requests, in their order, as far as there is room, and of
// what time has made due. Requests that need no change are answered from the ledger as it is:
// for that it must be current. There is no record to write where it holds nothing.
func (s *Shard) Compose(writerID string, requests []*Request, now api.WallTime, clockError time.Duration, l Limits) Draft {
	f := s.fork()
	d := Draft{Record: Record{Seq: s.Seq + 1, WriterID: writerID}}
	bytes := 64 + len(writerID)
	written := map[BlockID]bool{} // blocks whose skips moved between blocks: they are written with it
	// A block divides at the end, so what would divide is found by composing for real below.
	for _, r := range requests {
		res, known := f.Duplicate(r)
		var ops []Op
		if !known {
			var why RefusalReason
			if ops, why = f.operations(r, now, clockError); why != "" {
				res, known = Result{Reason: why}, true
			} else if len(ops) == 0 {
				known = true // all added before
			}
		}
		if known {
			d.OpIndexes, d.Results = append(d.OpIndexes, -1), append(d.Results, res)
			d.RequestCount++
			continue
		}
		data, err := json.Marshal(ops)
		if err != nil || len(d.Record.Ops) == 0 && bytes+len(data) > l.MaxValueBytes || len(ops) >= maxOps {
			d.OpIndexes, d.Results = append(d.OpIndexes, -1), append(d.Results, Result{Reason: ReasonRecordTooLarge})
			d.RequestCount++
			continue
		}
		if bytes+len(data) > l.MaxValueBytes || len(d.Record.Ops)+len(ops) >= maxOps {
			break
		}
		bytes += len(data)
		first := len(d.Record.Ops)
		for i := range ops {
			f.apply(&ops[i], bookingID(d.Record.Seq, first+i+1))
		}
		d.Record.Ops = append(d.Record.Ops, ops...)
		d.OpIndexes, d.Results = append(d.OpIndexes, first+len(ops)-1), append(d.Results, Result{})
		d.RequestCount++
	}
	if freeOps := (l.MaxValueBytes - bytes) / 120; freeOps > 0 && len(d.Record.Ops) < maxOps/2 {
		ops := f.cleanupOps(now, clockError, min(freeOps, 16))
		d.Record.Ops = append(d.Record.Ops, ops...)
		for _, op := range ops {
			if op.Type == OpForget {
				d.Archived = append(d.Archived, ArchivedBooking{op.Depot, op.Skip, *f.Get(op.Depot, op.Skip).booking(op.Booking)})
			}
		}
	}
	if len(d.Record.Ops) == 0 {
		return d
	}
	if len(d.Archived) > 0 {
		l.MaxPuts--
	}
	// Once more as it will be folded, to see which blocks it moves skips between.
	f = s.fork()
	f.ApplyRecord(&d.Record)
	for blockID, b := range f.blocks {
		if old := s.block(blockID); old == nil || len(old.Skips) != len(b.Skips) {
			written[blockID] = true
		}
	}
	if len(written) > l.MaxPuts-1 { // fewer requests, then
		k := 0
		for i, from := range d.OpIndexes {
			if from >= 0 {
				k = i
			}
		}
		return s.Compose(writerID, requests[:k], now, clockError, l)
	}
	// Beside those the blocks that have waited longest, as many as keep the ring free.
	var old []BlockID
	for _, blockID := range f.blockIDs() {
		if b := f.block(blockID); b.dirtySince != 0 && !written[blockID] && b.dirtySince+RingSize/4 <= d.Record.Seq {
			old = append(old, blockID)
		}
	}
	slices.SortStableFunc(old, func(a, b BlockID) int { return int(int64(f.block(a).dirtySince) - int64(f.block(b).dirtySince)) })
	maxBlocks := min(l.MaxPuts-1-len(written), 1+len(old)/(RingSize/4))
	for _, blockID := range old[:min(len(old), max(0, maxBlocks))] {
		written[blockID] = true
	}
	for _, blockID := range slices.Sorted(maps.Keys(written)) {
		b := *f.block(blockID)
		b.LastSeq = d.Record.Seq
		data, err := json.Marshal(&b)
		if err != nil {
			continue
		}
		d.Blocks = append(d.Blocks, BlockWrite{blockID, data})
	}
	return d
}

// HasRingSpace reports whether the next record's key may be used: what it held before is in the blocks.
func (s *Shard) HasRingSpace() bool {
	for _, b := range s.blocks {
		if b.dirtySince != 0 && b.dirtySince+RingSize <= s.Seq+1 {
			return false
		}
	}
	return true
}

// BlockWritten notes that a block is as of a record, as its key says.
func (s *Shard) BlockWritten(blockID BlockID, upto uint64) {
	if b := s.blocks[blockID]; b != nil && upto > b.LastSeq {
		if b.LastSeq = upto; upto >= b.dirtySince {
			b.dirtySince = 0
		}
	}
}

// Load builds a shard from its blocks, by number, and from what its ring holds.
func Load(blocks map[BlockID]*Block, records []*Record) (*Shard, error) {
	s := NewShard()
	for blockID, b := range blocks {
		s.blocks[blockID] = b
		s.newestBlock = max(s.newestBlock, blockID)
		for _, sk := range b.Skips {
			p := skipKey{sk.Depot, sk.ID}
			if other, twice := s.blockBySkip[p]; twice {
				return nil, fmt.Errorf("skip %s of depot %s is in blocks %d and %d", sk.ID, sk.Depot, other, blockID)
			}
			s.blockBySkip[p] = blockID
			for i := range sk.Bookings {
				s.recordKey(sk, sk.Bookings[i].Key, sk.Bookings[i].ID)
				s.recordKey(sk, sk.Bookings[i].ConfirmationKey, sk.Bookings[i].ID)
			}
		}
	}
	for _, blockID := range s.blockIDs() {
		for _, sk := range s.blocks[blockID].Skips {
			k := kindKey{sk.Depot, sk.Kind}
			s.skipsByKind[k] = append(s.skipsByKind[k], sk.ID)
		}
	}
	slices.SortFunc(records, func(a, b *Record) int { return int(int64(a.Seq) - int64(b.Seq)) })
	for i, r := range records {
		if i > 0 && r.Seq != records[i-1].Seq+1 {
			return nil, fmt.Errorf("record %d is missing", records[i-1].Seq+1)
		}
		s.Seq = r.Seq - 1
		for k := range r.Ops {
			op := &r.Ops[k]
			// What moved skips between blocks was written with its record.
			if blockID, ok := s.blockOf(skipKey{op.Depot, op.Skip}); ok && op.Type != OpAdd && s.blocks[blockID].LastSeq < r.Seq {
				s.apply(op, bookingID(r.Seq, k+1))
			}
		}
		s.Seq = r.Seq
	}
	return s, nil
}
