// This file defines a controller's ledger: its replica of the shards and its pending requests.

package skipledger

import (
	"hash/fnv"
	"slices"
	"time"

	"basaltwall/api"
)

// PendingRequest is a request that is not answered yet.
type PendingRequest struct {
	Request   *Request
	ArrivedAt api.Time
	Respond   func(Result) // called once with the answer; nil after that
}

// Ledger is a controller's replica of all shards, with its writes to them. The caller sends the
// transactions that the ledger composes, reads the log when the next step requires it, and passes in the
// outcomes. It is not safe for concurrent use.
type Ledger struct {
	WriterID      string // identifies the controller process among all others, also former ones
	Limits        Limits
	ClockError    time.Duration            // maximum difference of the controllers' clocks
	ConflictCount uint64                   // records that were not written because of another controller's record
	RecordCount   uint64                   // records written by this controller
	Refused       map[RefusalReason]uint64 // number of refused requests

	revision        api.Revision            // the replica is current up to this revision
	versions        map[string]api.Revision // by key
	shards          []*Shard
	queues          []shardQueue // by shard
	composedRecords uint64
}

// shardQueue holds the pending requests of a shard and its write in flight, of which there is at most
// one.
type shardQueue struct {
	pending  []*PendingRequest
	inFlight *inFlightWrite
	halvings int // how often the number of requests of a record is halved, after transactions that were refused for good
}

// inFlightWrite is the write of a record whose outcome is not known yet.
type inFlightWrite struct {
	draft    Draft
	requests []*PendingRequest
	txn      api.Txn
	results  []Result // set when the record has been applied
}

// NewLedger returns an empty ledger with the given number of shards.
func NewLedger(writerID string, shards int, clockError time.Duration, l Limits) *Ledger {
	g := &Ledger{
		WriterID:   writerID,
		ClockError: clockError,
		Limits:     l,
		Refused:    map[RefusalReason]uint64{},
		versions:   map[string]api.Revision{},
		queues:     make([]shardQueue, shards),
	}
	for range shards {
		g.shards = append(g.shards, NewShard())
	}
	return g
}

// ShardOf returns the shard of a depot, for a number of shards. All skips of a depot are in one shard,
// which thus detects repeated requests by their keys.
func ShardOf(d Depot, shards int) int {
	hash := fnv.New32a()
	hash.Write([]byte(d))
	return int(hash.Sum32() % uint32(shards))
}

// Shard returns a shard, for reading.
func (g *Ledger) Shard(i int) *Shard { return g.shards[i] }

// Revision returns the revision up to which the replica is current.
func (g *Ledger) Revision() api.Revision { return g.revision }

// Enqueue adds a request to the queue of its shard.
func (g *Ledger) Enqueue(a *PendingRequest) {
	queue := &g.queues[ShardOf(a.Request.Depot, len(g.shards))]
	queue.pending = append(queue.pending, a)
}

// Idle reports whether no write to a shard is in flight.
func (g *Ledger) Idle(shard int) bool { return g.queues[shard].inFlight == nil }

// HasPending reports whether a shard has pending requests.
func (g *Ledger) HasPending(shard int) bool { return len(g.queues[shard].pending) > 0 }

// RemoveTimedOut removes and returns the unanswered requests that arrived before a time. The outcome of
// those in flight is unknown, because their write continues.
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
		if queue.inFlight == nil {
			continue
		}
		for _, a := range queue.inFlight.requests {
			if timedOut(a) {
				removed := *a
				a.Respond = nil
				out = append(out, &removed)
			}
		}
	}
	return out
}

// NeedsCleanup reports whether cleanup operations of a shard are due.
func (g *Ledger) NeedsCleanup(shard int, now api.WallTime) bool {
	return len(g.shards[shard].cleanupOps(now, g.ClockError, 1)) > 0
}
