package reservation

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

// KeyArchive is where what is forgotten is kept, by the time of that in milliseconds: nobody follows
// it. ArchiveRetention is for how long.
const (
	KeyArchive       = "skipold/" // TIME/SHARD-RECORD
	ArchiveRetention = 5 * 366 * 24 * time.Hour
)

func roundKey(shard int, seq uint64) string {
	return fmt.Sprintf("%s%d/%d", keyRound, shard, seq%RingSize)
}

func blockKey(shard int, blockID BlockID) string {
	return fmt.Sprintf("%s%d/%d", keyBlock, shard, blockID)
}

// PendingRequest is a request that waits for its answer.
type PendingRequest struct {
	Request   *Request
	ArrivedAt api.Time // it came
	Respond   func(Result)
}

// Ledger is a controller's copy of all shards and what it writes to them. Its caller sends what
// it composes and reads, and tells how that ended.
type Ledger struct {
	WriterID   string // tells this run of a controller from all others
	Limits     Limits
	ClockError time.Duration // of the clocks
	Conflicts  uint64        // records that another's was written before
	Records    uint64        // written by this controller
	Refused    map[RefusalReason]uint64

	revision api.Revision // folded up to it
	versions map[string]api.Revision
	shards   []*Shard
	queues   []shardQueue
	count    uint64
}

// shardQueue is what is under way for a shard: one record at a time.
type shardQueue struct {
	pending  []*PendingRequest
	inFlight *inFlightWrite
}

type inFlightWrite struct {
	draft    Draft
	requests []*PendingRequest
	txn      api.Txn
	results  []Result // once it has been folded
}

// NewLedger returns a ledger of so many shards that has read nothing.
func NewLedger(writerID string, shards int, clockError time.Duration, l Limits) *Ledger {
	g := &Ledger{WriterID: writerID, ClockError: clockError, Limits: l, Refused: map[RefusalReason]uint64{}, versions: map[string]api.Revision{}, queues: make([]shardQueue, shards)}
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

// Revision is the revision up to which the ledger is folded.
func (g *Ledger) Revision() api.Revision { return g.revision }

// parseShardKey reads the number of the shard and the rest from a key.
func (g *Ledger) parseShardKey(key, prefix string) (shard int, rest uint64, ok bool) {
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
func (g *Ledger) Load(pairs []api.KeyValue, revision api.Revision) error {
	blocks, records := make([]map[BlockID]*Block, len(g.shards)), make([][]*Record, len(g.shards))
	for i := range blocks {
		blocks[i] = map[BlockID]*Block{}
	}
	versions := map[string]api.Revision{}
	for _, p := range pairs {
		versions[p.Key] = p.Version
		if shard, blockID, ok := g.parseShardKey(p.Key, keyBlock); ok {
			b := &Block{}
			if err := json.Unmarshal(p.Value, b); err != nil {
				return fmt.Errorf("key %s: %w", p.Key, err)
			}
			blocks[shard][BlockID(blockID)] = b
		} else if shard, _, ok := g.parseShardKey(p.Key, keyRound); ok {
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
	for i := range g.queues { // what was under way is known by its record, or was never written
		if w := g.queues[i].inFlight; w != nil {
			g.queues[i].pending, g.queues[i].inFlight = append(w.requests, g.queues[i].pending...), nil
		}
	}
	g.shards, g.versions, g.revision = shards, versions, revision
	return nil
}

// ApplyChanges folds a log. An error means that the ledger has to be read anew.
func (g *Ledger) ApplyChanges(c api.Changes) error {
	for _, ch := range c.Log {
		if ch.Version <= g.versions[ch.Put] || ch.Put == "" {
			continue
		}
		g.versions[ch.Put] = ch.Version
		if shard, blockID, ok := g.parseShardKey(ch.Put, keyBlock); ok {
			var b struct {
				Upto uint64 `json:"u"`
			}
			if err := json.Unmarshal(ch.Value, &b); err != nil {
				return fmt.Errorf("key %s: %w", ch.Put, err)
			}
			g.shards[shard].BlockWritten(BlockID(blockID), b.Upto)
		} else if shard, _, ok := g.parseShardKey(ch.Put, keyRound); ok {
			var r Record
			if err := json.Unmarshal(ch.Value, &r); err != nil {
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

func (g *Ledger) applyRecord(shard int, r *Record) error {
	s := g.shards[shard]
	if r.Seq <= s.Seq {
		return nil // folded when it was written here
	}
	results := s.ApplyRecord(r)
	if results == nil {
		return fmt.Errorf("shard %d: record %d after %d", shard, r.Seq, s.Seq)
	}
	if w := g.queues[shard].inFlight; w != nil && w.draft.Record.Seq == r.Seq && w.draft.Record.WriterID == r.WriterID {
		w.results = results
	}
	return nil
}

// Enqueue adds a request.
func (g *Ledger) Enqueue(a *PendingRequest) {
	queue := &g.queues[ShardOf(a.Request.Depot, len(g.shards))]
	queue.pending = append(queue.pending, a)
}

// Idle reports whether nothing is being written to a shard, and Waits whether anything is to be.
func (g *Ledger) Idle(shard int) bool { return g.queues[shard].inFlight == nil }

// HasPending reports whether requests wait for a shard.
func (g *Ledger) HasPending(shard int) bool { return len(g.queues[shard].pending) > 0 }

// maxRequestsPerRecord bounds the requests that one record is composed of.
const maxRequestsPerRecord = 200

// Compose answers what waits for a shard and needs no change, or makes the transaction that
// writes the next record; nil if there is none. The ledger must be current as of a time: what
// came after it waits on, and so do requests that the record leaves no room for.
func (g *Ledger) Compose(shard int, now api.WallTime, readAt api.Time) *api.Txn {
	queue, s := &g.queues[shard], g.shards[shard]
	if queue.inFlight != nil {
		return nil
	}
	arrived := 0
	for arrived < min(len(queue.pending), maxRequestsPerRecord) && queue.pending[arrived].ArrivedAt <= readAt {
		arrived++
	}
	pending := queue.pending[:arrived]
	requests := make([]*Request, len(pending))
	for i, a := range pending {
		requests[i] = a.Request
	}
	g.count++
	d := s.Compose(fmt.Sprintf("%s-%d", g.WriterID, g.count), requests, now, g.ClockError, g.Limits)
	queue.pending = slices.Clone(queue.pending[d.RequestCount:])
	pending = slices.Clone(pending[:d.RequestCount])
	if len(d.Record.Ops) == 0 {
		for i, a := range pending {
			g.respond(a, d.Results[i])
		}
		return nil
	}
	data, err := json.Marshal(d.Record)
	if err != nil || !s.HasRingSpace() {
		for _, a := range pending {
			g.respond(a, Result{Reason: ReasonBusy})
		}
		return nil
	}
	key := roundKey(shard, d.Record.Seq)
	w := &inFlightWrite{draft: d, requests: pending}
	w.txn = api.Txn{If: []api.Condition{{Key: key, Version: g.versions[key]}}, Writes: []api.Write{{Put: key, Value: data}}}
	for _, b := range d.Blocks {
		w.txn.Writes = append(w.txn.Writes, api.Write{Put: blockKey(shard, b.ID), Value: b.Data})
	}
	if len(d.Archived) > 0 {
		data, err := json.Marshal(d.Archived)
		if err == nil {
			w.txn.Writes = append(w.txn.Writes, api.Write{Put: fmt.Sprintf("%s%013d/%d-%d", KeyArchive, now, shard, d.Record.Seq), Value: data})
		}
	}
	queue.inFlight = w
	return &w.txn
}

// ReasonBusy is why nothing can be promised for the moment.
const ReasonBusy RefusalReason = "the ledger can't take more now"

// NextStep is what is to be done after a record was sent.
type NextStep int

// What may be next.
const (
	StepDone  NextStep = iota // it is written, and all were answered
	StepRead                  // read what has changed, then Settle
	StepRetry                 // send the same once more: until its outcome is known nothing else is
)

// HandleOutcome takes in how a record's transaction ended: with its status, 0 if no answer came, and
// the revision.
func (g *Ledger) HandleOutcome(shard, status int, revision api.Revision) NextStep {
	w := g.queues[shard].inFlight
	switch {
	case w == nil:
		return StepDone
	case status == 200:
		if w.results == nil {
			s := g.shards[shard]
			if w.results = s.ApplyRecord(&w.draft.Record); w.results == nil {
				return StepRead // others' records came before it that are not folded: impossible by its condition
			}
			g.versions[w.txn.Writes[0].Put] = revision
			for _, b := range w.draft.Blocks {
				s.BlockWritten(b.ID, w.draft.Record.Seq)
				g.versions[blockKey(shard, b.ID)] = revision
			}
		}
		g.complete(shard)
		return StepDone
	case status == 409:
		return StepRead
	}
	return StepRetry
}

// ResolveConflict ends a record whose condition failed, once all that was written has been read: it is
// there from an earlier sending, or it can never be written, and its requests wait again.
func (g *Ledger) ResolveConflict(shard int) {
	queue := &g.queues[shard]
	switch w := queue.inFlight; {
	case w == nil:
	case w.results != nil:
		g.complete(shard)
	default:
		g.Conflicts++
		queue.pending, queue.inFlight = append(w.requests, queue.pending...), nil
	}
}

func (g *Ledger) complete(shard int) {
	queue := &g.queues[shard]
	w := queue.inFlight
	queue.inFlight = nil
	g.Records++
	for i, a := range w.requests {
		if from := w.draft.OpIndexes[i]; from >= 0 {
			g.respond(a, w.results[from])
		} else {
			g.respond(a, w.draft.Results[i])
		}
	}
}

func (g *Ledger) respond(a *PendingRequest, r Result) {
	if r.Reason != "" {
		g.Refused[r.Reason]++
	}
	if a.Respond != nil {
		a.Respond(r)
		a.Respond = nil
	}
}

// RemoveTimedOut takes out the requests that came before a time and are not answered: who asked is told
// that it is not known what becomes of them. What is being written goes on.
func (g *Ledger) RemoveTimedOut(before api.Time) []*PendingRequest {
	var out []*PendingRequest
	timedOut := func(a *PendingRequest) bool { return a.ArrivedAt < before && a.Respond != nil }
	for i := range g.queues {
		queue := &g.queues[i]
		queue.pending = slices.DeleteFunc(queue.pending, func(a *PendingRequest) bool {
			if timedOut(a) {
				out = append(out, a)
				return true
			}
			return false
		})
		if w := queue.inFlight; w != nil {
			for _, a := range w.requests {
				if timedOut(a) {
					removed := *a
					a.Respond = nil
					out = append(out, &removed)
				}
			}
		}
	}
	return out
}

// NeedsCleanup reports whether time has made changes due in a shard.
func (g *Ledger) NeedsCleanup(shard int, now api.WallTime) bool {
	return len(g.shards[shard].cleanupOps(now, g.ClockError, 1)) > 0
}
