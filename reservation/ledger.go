// The ledger of a controller: its replica of the shards, and the requests that wait for them.

package reservation

import (
	"hash/fnv"
	"slices"
	"time"

	"basaltwall/api"
)

// PendingRequest is a request that waits for its answer.
type PendingRequest struct {
	Request   *Request
	ArrivedAt api.Time
	Respond   func(Result) // called once; nil once it was
}

// Ledger is a controller's replica of all shards and its writes to them. Its caller sends what it
// composes, reads what it asks for, and reports the outcomes. Not safe for concurrent use.
type Ledger struct {
	WriterID   string // identifies this run of a controller among all
	Limits     Limits
	ClockError time.Duration // bound on the difference of clocks
	Conflicts  uint64        // records that lost to another controller's
	Records    uint64        // records written by this controller
	Refused    map[RefusalReason]uint64

	revision api.Revision // the replica is current up to it
	versions map[string]api.Revision
	shards   []*Shard
	queues   []shardQueue // by shard
	count    uint64       // of composed records
}

// shardQueue is the pending requests of a shard and its write in flight, at most one at a time.
type shardQueue struct {
	pending  []*PendingRequest
	inFlight *inFlightWrite
}

// inFlightWrite is a record whose write has no known outcome yet.
type inFlightWrite struct {
	draft    Draft
	requests []*PendingRequest
	txn      api.Txn
	results  []Result // once the record has been applied
}

// NewLedger returns an empty ledger of so many shards.
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

// ShardOf is the shard of a depot, of so many. All skips of a depot are in one shard, so that requests
// with the same key meet there.
func ShardOf(d Depot, shards int) int {
	hash := fnv.New32a()
	hash.Write([]byte(d))
	return int(hash.Sum32() % uint32(shards))
}

// Shard returns a shard, for reading.
func (g *Ledger) Shard(i int) *Shard { return g.shards[i] }

// Revision is the revision up to which the replica is current.
func (g *Ledger) Revision() api.Revision { return g.revision }

// Enqueue adds a request to the queue of its shard.
func (g *Ledger) Enqueue(a *PendingRequest) {
	queue := &g.queues[ShardOf(a.Request.Depot, len(g.shards))]
	queue.pending = append(queue.pending, a)
}

// Idle reports whether no write to a shard is in flight.
func (g *Ledger) Idle(shard int) bool { return g.queues[shard].inFlight == nil }

// HasPending reports whether requests wait for a shard.
func (g *Ledger) HasPending(shard int) bool { return len(g.queues[shard].pending) > 0 }

// RemoveTimedOut removes the unanswered requests that arrived before a time and returns them: the caller
// answers that their outcome is not known. A write in flight continues.
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

// NeedsCleanup reports whether operations of a shard are due by time.
func (g *Ledger) NeedsCleanup(shard int, now api.WallTime) bool {
	return len(g.shards[shard].cleanupOps(now, g.ClockError, 1)) > 0
}
