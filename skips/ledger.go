package skips

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"

	"basaltwall/api"
)

// Keys of the ledger. They lie outside of what controllers follow all the time, so that a
// restart reads them only once somebody asks for a skip.
const (
	Root     = "s/"
	keyRound = Root + "r/" // SHARD/SLOT
	keyBlock = Root + "b/" // SHARD/BLOCK
)

// Archive is where what is forgotten is kept, by the time of that in milliseconds: nobody follows
// it. KeepOld is for how long.
const (
	Archive = "skipold/" // TIME/SHARD-RECORD
	KeepOld = 5 * 366 * 24 * time.Hour
)

func roundKey(shard int, seq uint64) string { return fmt.Sprintf("%s%d/%d", keyRound, shard, seq%Ring) }

func blockKey(shard int, no No) string { return fmt.Sprintf("%s%d/%d", keyBlock, shard, no) }

// Ask is a request that waits for its answer.
type Ask struct {
	Request *Request
	At      api.Time // it came
	Answer  func(Result)
}

// Ledger is a controller's copy of all shards and what it writes to them. Its caller sends what
// it composes and reads, and tells how that ended.
type Ledger struct {
	By        string // tells this run of a controller from all others
	Limits    Limits
	Error     time.Duration // of the clocks
	Conflicts uint64        // records that another's was written before
	Records   uint64        // written by this controller
	Refused   map[Why]uint64

	rev    api.Revision // folded up to it
	vers   map[string]api.Revision
	shards []*Shard
	lanes  []lane
	count  uint64
}

// lane is what is under way for a shard: one record at a time.
type lane struct {
	asks    []*Ask
	writing *writing
}

type writing struct {
	draft   Draft
	asks    []*Ask
	txn     api.Txn
	results []Result // once it has been folded
}

// NewLedger returns a ledger of so many shards that has read nothing.
func NewLedger(by string, shards int, errs time.Duration, l Limits) *Ledger {
	g := &Ledger{By: by, Error: errs, Limits: l, Refused: map[Why]uint64{}, vers: map[string]api.Revision{}, lanes: make([]lane, shards)}
	for range shards {
		g.shards = append(g.shards, NewShard())
	}
	return g
}

// ShardOf is which of so many shards a depot's skips are in: all of one depot, so that a name
// asked for twice meets itself.
func ShardOf(d Depot, shards int) int {
	h := fnv.New32a()
	h.Write([]byte(d))
	return int(h.Sum32() % uint32(shards))
}

// Shard is one to look at.
func (g *Ledger) Shard(i int) *Shard { return g.shards[i] }

// Rev is the revision up to which the ledger is folded.
func (g *Ledger) Rev() api.Revision { return g.rev }

// shardOf reads the number of the shard and the rest from a key.
func (g *Ledger) shardOf(key, prefix string) (shard int, rest uint64, ok bool) {
	name, ok := strings.CutPrefix(key, prefix)
	if !ok {
		return 0, 0, false
	}
	a, b, _ := strings.Cut(name, "/")
	shard, err := strconv.Atoi(a)
	rest, err2 := strconv.ParseUint(b, 10, 64)
	return shard, rest, err == nil && err2 == nil && shard >= 0 && shard < len(g.shards)
}

// Load builds the ledger from all its keys as of a revision.
func (g *Ledger) Load(pairs []api.Pair, rev api.Revision) error {
	blocks, records := make([]map[No]*Block, len(g.shards)), make([][]*Record, len(g.shards))
	for i := range blocks {
		blocks[i] = map[No]*Block{}
	}
	vers := map[string]api.Revision{}
	for _, p := range pairs {
		vers[p.Key] = p.Version
		if shard, no, ok := g.shardOf(p.Key, keyBlock); ok {
			b := &Block{}
			if err := json.Unmarshal(p.Value, b); err != nil {
				return fmt.Errorf("key %s: %w", p.Key, err)
			}
			blocks[shard][No(no)] = b
		} else if shard, _, ok := g.shardOf(p.Key, keyRound); ok {
			r := &Record{}
			if err := json.Unmarshal(p.Value, r); err != nil {
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
	for i := range g.lanes { // what was under way is known by its record, or was never written
		if w := g.lanes[i].writing; w != nil {
			g.lanes[i].asks, g.lanes[i].writing = append(w.asks, g.lanes[i].asks...), nil
		}
	}
	g.shards, g.vers, g.rev = shards, vers, rev
	return nil
}

// Take folds a log. An error means that the ledger has to be read anew.
func (g *Ledger) Take(c api.Changes) error {
	for _, ch := range c.Log {
		if ch.Version <= g.vers[ch.Put] || ch.Put == "" {
			continue
		}
		g.vers[ch.Put] = ch.Version
		if shard, no, ok := g.shardOf(ch.Put, keyBlock); ok {
			var b struct {
				Upto uint64 `json:"u"`
			}
			if err := json.Unmarshal(ch.Value, &b); err != nil {
				return fmt.Errorf("key %s: %w", ch.Put, err)
			}
			g.shards[shard].Wrote(No(no), b.Upto)
		} else if shard, _, ok := g.shardOf(ch.Put, keyRound); ok {
			var r Record
			if err := json.Unmarshal(ch.Value, &r); err != nil {
				return fmt.Errorf("key %s: %w", ch.Put, err)
			}
			if err := g.fold(shard, &r); err != nil {
				return err
			}
		}
	}
	g.rev = max(g.rev, c.Revision)
	return nil
}

func (g *Ledger) fold(shard int, r *Record) error {
	s := g.shards[shard]
	if r.Seq <= s.Seq {
		return nil // folded when it was written here
	}
	results := s.Fold(r)
	if results == nil {
		return fmt.Errorf("shard %d: record %d after %d", shard, r.Seq, s.Seq)
	}
	if w := g.lanes[shard].writing; w != nil && w.draft.Record.Seq == r.Seq && w.draft.Record.By == r.By {
		w.results = results
	}
	return nil
}

// Ask adds a request.
func (g *Ledger) Ask(a *Ask) {
	lane := &g.lanes[ShardOf(a.Request.Depot, len(g.shards))]
	lane.asks = append(lane.asks, a)
}

// Idle reports whether nothing is being written to a shard, and Waits whether anything is to be.
func (g *Ledger) Idle(shard int) bool { return g.lanes[shard].writing == nil }

// Waits reports whether requests wait for a shard.
func (g *Ledger) Waits(shard int) bool { return len(g.lanes[shard].asks) > 0 }

// maxAsks bounds the requests that one record is composed of.
const maxAsks = 200

// Compose answers what waits for a shard and needs no change, or makes the transaction that
// writes the next record; nil if there is none. The ledger must be current as of a time: what
// came after it waits on, and so do requests that the record leaves no room for.
func (g *Ledger) Compose(shard int, now api.Wall, read api.Time) *api.Txn {
	lane, s := &g.lanes[shard], g.shards[shard]
	if lane.writing != nil {
		return nil
	}
	came := 0
	for came < min(len(lane.asks), maxAsks) && lane.asks[came].At <= read {
		came++
	}
	asks := lane.asks[:came]
	requests := make([]*Request, len(asks))
	for i, a := range asks {
		requests[i] = a.Request
	}
	g.count++
	d := s.Compose(fmt.Sprintf("%s-%d", g.By, g.count), requests, now, g.Error, g.Limits)
	lane.asks = slices.Clone(lane.asks[d.Taken:])
	asks = slices.Clone(asks[:d.Taken])
	if len(d.Record.Ops) == 0 {
		for i, a := range asks {
			g.answer(a, d.Done[i])
		}
		return nil
	}
	data, err := json.Marshal(d.Record)
	if err != nil || !s.Room() {
		for _, a := range asks {
			g.answer(a, Result{Why: Busy})
		}
		return nil
	}
	key := roundKey(shard, d.Record.Seq)
	w := &writing{draft: d, asks: asks}
	w.txn = api.Txn{If: []api.Condition{{Key: key, Version: g.vers[key]}}, Writes: []api.Write{{Put: key, Value: data}}}
	for _, b := range d.Blocks {
		w.txn.Writes = append(w.txn.Writes, api.Write{Put: blockKey(shard, b.No), Value: b.Data})
	}
	if len(d.Old) > 0 {
		data, err := json.Marshal(d.Old)
		if err == nil {
			w.txn.Writes = append(w.txn.Writes, api.Write{Put: fmt.Sprintf("%s%013d/%d-%d", Archive, now, shard, d.Record.Seq), Value: data})
		}
	}
	lane.writing = w
	return &w.txn
}

// Busy is why nothing can be promised for the moment.
const Busy Why = "the ledger can't take more now"

// Next is what is to be done after a record was sent.
type Next int

// What may be next.
const (
	Done  Next = iota // it is written, and all were answered
	Read              // read what has changed, then Settle
	Again             // send the same once more: until its outcome is known nothing else is
)

// Outcome takes in how a record's transaction ended: with its status, 0 if no answer came, and
// the revision.
func (g *Ledger) Outcome(shard, status int, rev api.Revision) Next {
	w := g.lanes[shard].writing
	switch {
	case w == nil:
		return Done
	case status == 200:
		if w.results == nil {
			s := g.shards[shard]
			if w.results = s.Fold(&w.draft.Record); w.results == nil {
				return Read // others' records came before it that are not folded: impossible by its condition
			}
			g.vers[w.txn.Writes[0].Put] = rev
			for _, b := range w.draft.Blocks {
				s.Wrote(b.No, w.draft.Record.Seq)
				g.vers[blockKey(shard, b.No)] = rev
			}
		}
		g.settled(shard)
		return Done
	case status == 409:
		return Read
	}
	return Again
}

// Settle ends a record whose condition failed, once all that was written has been read: it is
// there from an earlier sending, or it can never be written, and its requests wait again.
func (g *Ledger) Settle(shard int) {
	lane := &g.lanes[shard]
	switch w := lane.writing; {
	case w == nil:
	case w.results != nil:
		g.settled(shard)
	default:
		g.Conflicts++
		lane.asks, lane.writing = append(w.asks, lane.asks...), nil
	}
}

func (g *Ledger) settled(shard int) {
	lane := &g.lanes[shard]
	w := lane.writing
	lane.writing = nil
	g.Records++
	for i, a := range w.asks {
		if from := w.draft.From[i]; from >= 0 {
			g.answer(a, w.results[from])
		} else {
			g.answer(a, w.draft.Done[i])
		}
	}
}

func (g *Ledger) answer(a *Ask, r Result) {
	if r.Why != "" {
		g.Refused[r.Why]++
	}
	if a.Answer != nil {
		a.Answer(r)
		a.Answer = nil
	}
}

// Late takes out the requests that came before a time and are not answered: who asked is told
// that it is not known what becomes of them. What is being written goes on.
func (g *Ledger) Late(before api.Time) []*Ask {
	var out []*Ask
	late := func(a *Ask) bool { return a.At < before && a.Answer != nil }
	for i := range g.lanes {
		lane := &g.lanes[i]
		lane.asks = slices.DeleteFunc(lane.asks, func(a *Ask) bool {
			if late(a) {
				out = append(out, a)
				return true
			}
			return false
		})
		if w := lane.writing; w != nil {
			for _, a := range w.asks {
				if late(a) {
					gone := *a
					a.Answer = nil
					out = append(out, &gone)
				}
			}
		}
	}
	return out
}

// Tidy reports whether time has made changes due in a shard.
func (g *Ledger) Tidy(shard int, now api.Wall) bool {
	return len(g.shards[shard].tidy(now, g.Error, 1)) > 0
}
