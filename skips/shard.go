package skips

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
	Ring      = 256
	perBlock  = 24   // skips of a new block
	blockSize = 7000 // bytes from which a block is divided, below what a value may have
)

// No names a block.
type No uint64

// Block is some skips of a shard, as one value.
type Block struct {
	Upto  uint64  `json:"u"` // the record up to which it was written
	Skips []*Skip `json:"s"`

	dirty uint64 // the first record that changed it since, 0: none
}

type place struct {
	depot Depot
	skip  SkipID
}

type named struct {
	skip SkipID
	num  Number
}

type nameKey struct {
	depot Depot
	name  Name
}

type shelfKey struct {
	depot Depot
	kind  Kind
}

// Shard is a part of the ledger, with a log of its own.
type Shard struct {
	Seq   uint64 // of the latest record
	Looks int    // skips looked at for free ones

	newest  No // block
	blocks  map[No]*Block
	where   map[place]No
	names   map[nameKey]named // number 0 in a fork: there is none any more
	shelves map[shelfKey][]SkipID
	over    *Shard // what this one was forked from
}

// NewShard returns an empty shard.
func NewShard() *Shard {
	return &Shard{blocks: map[No]*Block{}, where: map[place]No{}, names: map[nameKey]named{}, shelves: map[shelfKey][]SkipID{}}
}

// fork is a shard that begins as this one and can be thrown away.
func (s *Shard) fork() *Shard {
	f := NewShard()
	f.Seq, f.newest, f.over = s.Seq, s.newest, s
	return f
}

func (s *Shard) at(p place) (No, bool) {
	no, ok := s.where[p]
	if !ok && s.over != nil {
		return s.over.at(p)
	}
	return no, ok
}

func (s *Shard) block(no No) *Block {
	b := s.blocks[no]
	if b == nil && s.over != nil {
		return s.over.block(no)
	}
	return b
}

// own is a block that may be changed here.
func (s *Shard) own(no No) *Block {
	if b := s.blocks[no]; b != nil || s.over == nil {
		return b
	}
	old := s.over.block(no)
	b := &Block{Upto: old.Upto, dirty: old.dirty, Skips: make([]*Skip, len(old.Skips))}
	for i, sk := range old.Skips {
		b.Skips[i] = sk.clone()
	}
	s.blocks[no] = b
	return b
}

// order lists the blocks in order.
func (s *Shard) order() []No {
	nos := slices.Collect(maps.Keys(s.blocks))
	if s.over != nil {
		for no := range s.over.blocks {
			if s.blocks[no] == nil {
				nos = append(nos, no)
			}
		}
	}
	slices.Sort(nos)
	return nos
}

// Get finds a skip, nil if there is none. It is not to be changed.
func (s *Shard) Get(d Depot, id SkipID) *Skip {
	no, ok := s.at(place{d, id})
	if !ok {
		return nil
	}
	return find(s.block(no), d, id)
}

func (s *Shard) mutable(d Depot, id SkipID) *Skip {
	no, ok := s.at(place{d, id})
	if !ok {
		return nil
	}
	b := s.own(no)
	if b.dirty == 0 {
		b.dirty = s.Seq + 1
	}
	return find(b, d, id)
}

func find(b *Block, d Depot, id SkipID) *Skip {
	for _, sk := range b.Skips {
		if sk.ID == id && sk.Depot == d {
			return sk
		}
	}
	return nil
}

func (s *Shard) named(d Depot, n Name) (named, bool) {
	at, ok := s.names[nameKey{d, n}]
	if !ok && s.over != nil {
		return s.over.named(d, n)
	}
	return at, ok && at.num != 0
}

func (s *Shard) name(sk *Skip, n Name, num Number) {
	if n != "" {
		s.names[nameKey{sk.Depot, n}] = named{sk.ID, num}
	}
}

func (s *Shard) unname(d Depot, n Name) {
	if s.over != nil {
		s.names[nameKey{d, n}] = named{}
		return
	}
	delete(s.names, nameKey{d, n})
}

// shelf lists the skips of a kind at a depot.
func (s *Shard) shelf(d Depot, k Kind) []SkipID {
	own := s.shelves[shelfKey{d, k}]
	if s.over != nil {
		return slices.Concat(s.over.shelf(d, k), own)
	}
	return own
}

// List is the skips of a depot that come after one, so many at most, in order; what remains is
// true if there are more.
func (s *Shard) List(d Depot, after SkipID, most int) (out []*Skip, more bool) {
	for no := range s.blocks {
		for _, sk := range s.blocks[no].Skips {
			if sk.Depot == d && sk.ID > after {
				out = append(out, sk)
			}
		}
	}
	slices.SortFunc(out, func(a, b *Skip) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out[:min(len(out), most)], len(out) > most
}

func (s *Shard) add(op *Op) Result {
	p := place{op.Depot, op.Skip}
	if _, ok := s.at(p); ok {
		return Result{Skip: op.Skip}
	}
	// The newest block that still takes some, or a new one, named by its first record.
	no := s.newest
	if b := s.block(no); b == nil || len(b.Skips) >= perBlock {
		no = s.newBlock(s.Seq + 1)
	}
	b := s.own(no)
	if b.dirty == 0 {
		b.dirty = s.Seq + 1
	}
	b.Skips = append(b.Skips, &Skip{Depot: op.Depot, ID: op.Skip, Kind: op.Kind})
	s.where[p] = no
	k := shelfKey{op.Depot, op.Kind}
	s.shelves[k] = append(s.shelves[k], op.Skip)
	return Result{Skip: op.Skip}
}

// newBlock adds an empty block; its name follows from the record, so that all name it alike.
func (s *Shard) newBlock(seq uint64) No {
	no := No(seq)*maxOps + 1
	for s.block(no) != nil {
		no++
	}
	s.blocks[no] = &Block{dirty: seq}
	s.newest = max(s.newest, no)
	return no
}

// Fold takes in a record and tells what became of its changes; nil if it is not the next one.
func (s *Shard) Fold(r *Record) []Result {
	if r.Seq != s.Seq+1 {
		return nil
	}
	out := make([]Result, len(r.Ops))
	touched := map[No]bool{}
	for i := range r.Ops {
		out[i] = s.apply(&r.Ops[i], number(r.Seq, i+1))
		if no, ok := s.at(place{r.Ops[i].Depot, r.Ops[i].Skip}); ok {
			touched[no] = true
		}
	}
	for _, no := range slices.Sorted(maps.Keys(touched)) {
		s.divide(no, r.Seq)
	}
	s.Seq = r.Seq
	return out
}

// divide halves a block that has become too large for a value.
func (s *Shard) divide(no No, seq uint64) {
	b := s.block(no)
	if len(b.Skips) < 2 || size(b) <= blockSize {
		return
	}
	b = s.own(no)
	half := len(b.Skips) / 2
	to := s.newBlock(seq)
	s.blocks[to].Skips = slices.Clone(b.Skips[half:])
	b.Skips = b.Skips[:half]
	for _, sk := range s.blocks[to].Skips {
		s.where[place{sk.Depot, sk.ID}] = to
	}
}

func size(b *Block) int {
	data, err := json.Marshal(b)
	if err != nil {
		return 0
	}
	return len(data)
}

// Write is a value to be written with a record: a block as it is after it.
type Write struct {
	No   No
	Data json.RawMessage
}

// Draft is the next record of a shard, composed and not yet written.
type Draft struct {
	Record Record
	Blocks []Write
	Old    []Old    // what it forgets, to be kept elsewhere
	From   []int    // by request: its first change in the record, -1: none
	Done   []Result // by request: what it is answered where it needs no change
	Taken  int      // so many requests are in it; the others wait for the next
}

// Old is an offer or promise that is over for long, as the archive has it.
type Old struct {
	Depot Depot  `json:"d"`
	Skip  SkipID `json:"i"`
	Item
}

// Limits bound a record.
type Limits struct {
	Bytes int // of a value
	Puts  int // of a transaction
}

// Compose makes the next record of requests, in their order, as far as there is room, and of
// what time has made due. Requests that need no change are answered from the ledger as it is:
// for that it must be current. There is no record to write where it holds nothing.
func (s *Shard) Compose(by string, requests []*Request, now api.Wall, errs time.Duration, l Limits) Draft {
	f := s.fork()
	d := Draft{Record: Record{Seq: s.Seq + 1, By: by}}
	bytes := 64 + len(by)
	used := map[No]bool{} // blocks whose skips moved between blocks: they are written with it
	// A block divides at the end, so what would divide is found by composing for real below.
	for _, r := range requests {
		res, known := f.Known(r)
		var ops []Op
		if !known {
			var why Why
			if ops, why = f.ops(r, now, errs); why != "" {
				res, known = Result{Why: why}, true
			} else if len(ops) == 0 {
				known = true // all added before
			}
		}
		if known {
			d.From, d.Done = append(d.From, -1), append(d.Done, res)
			d.Taken++
			continue
		}
		data, err := json.Marshal(ops)
		if err != nil || len(d.Record.Ops) == 0 && bytes+len(data) > l.Bytes || len(ops) >= maxOps {
			d.From, d.Done = append(d.From, -1), append(d.Done, Result{Why: TooMuch})
			d.Taken++
			continue
		}
		if bytes+len(data) > l.Bytes || len(d.Record.Ops)+len(ops) >= maxOps {
			break
		}
		bytes += len(data)
		first := len(d.Record.Ops)
		for i := range ops {
			f.apply(&ops[i], number(d.Record.Seq, first+i+1))
		}
		d.Record.Ops = append(d.Record.Ops, ops...)
		d.From, d.Done = append(d.From, first+len(ops)-1), append(d.Done, Result{})
		d.Taken++
	}
	if room := (l.Bytes - bytes) / 120; room > 0 && len(d.Record.Ops) < maxOps/2 {
		ops := f.tidy(now, errs, min(room, 16))
		d.Record.Ops = append(d.Record.Ops, ops...)
		for _, op := range ops {
			if op.Do == Forget {
				d.Old = append(d.Old, Old{op.Depot, op.Skip, *f.Get(op.Depot, op.Skip).item(op.Num)})
			}
		}
	}
	if len(d.Record.Ops) == 0 {
		return d
	}
	if len(d.Old) > 0 {
		l.Puts--
	}
	// Once more as it will be folded, to see which blocks it moves skips between.
	f = s.fork()
	f.Fold(&d.Record)
	for no, b := range f.blocks {
		if old := s.block(no); old == nil || len(old.Skips) != len(b.Skips) {
			used[no] = true
		}
	}
	if len(used) > l.Puts-1 { // fewer requests, then
		k := 0
		for i, from := range d.From {
			if from >= 0 {
				k = i
			}
		}
		return s.Compose(by, requests[:k], now, errs, l)
	}
	// Beside those the blocks that have waited longest, as many as keep the ring free.
	var old []No
	for _, no := range f.order() {
		if b := f.block(no); b.dirty != 0 && !used[no] && b.dirty+Ring/4 <= d.Record.Seq {
			old = append(old, no)
		}
	}
	slices.SortStableFunc(old, func(a, b No) int { return int(int64(f.block(a).dirty) - int64(f.block(b).dirty)) })
	most := min(l.Puts-1-len(used), 1+len(old)/(Ring/4))
	for _, no := range old[:min(len(old), max(0, most))] {
		used[no] = true
	}
	for _, no := range slices.Sorted(maps.Keys(used)) {
		b := *f.block(no)
		b.Upto = d.Record.Seq
		data, err := json.Marshal(&b)
		if err != nil {
			continue
		}
		d.Blocks = append(d.Blocks, Write{no, data})
	}
	return d
}

// Room reports whether the next record's key may be used: what it held before is in the blocks.
func (s *Shard) Room() bool {
	for _, b := range s.blocks {
		if b.dirty != 0 && b.dirty+Ring <= s.Seq+1 {
			return false
		}
	}
	return true
}

// Wrote notes that a block is as of a record, as its key says.
func (s *Shard) Wrote(no No, upto uint64) {
	if b := s.blocks[no]; b != nil && upto > b.Upto {
		if b.Upto = upto; upto >= b.dirty {
			b.dirty = 0
		}
	}
}

// Load builds a shard from its blocks, by number, and from what its ring holds.
func Load(blocks map[No]*Block, records []*Record) (*Shard, error) {
	s := NewShard()
	for no, b := range blocks {
		s.blocks[no] = b
		s.newest = max(s.newest, no)
		for _, sk := range b.Skips {
			p := place{sk.Depot, sk.ID}
			if other, twice := s.where[p]; twice {
				return nil, fmt.Errorf("skip %s of depot %s is in blocks %d and %d", sk.ID, sk.Depot, other, no)
			}
			s.where[p] = no
			for i := range sk.Items {
				s.name(sk, sk.Items[i].Name, sk.Items[i].Num)
				s.name(sk, sk.Items[i].Taken, sk.Items[i].Num)
			}
		}
	}
	for _, no := range s.order() {
		for _, sk := range s.blocks[no].Skips {
			k := shelfKey{sk.Depot, sk.Kind}
			s.shelves[k] = append(s.shelves[k], sk.ID)
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
			if no, ok := s.at(place{op.Depot, op.Skip}); ok && op.Do != Add && s.blocks[no].Upto < r.Seq {
				s.apply(op, number(r.Seq, k+1))
			}
		}
		s.Seq = r.Seq
	}
	return s, nil
}
