// Package reservations answers what is asked of the reservation ledger: which skip is offered or promised to
// which site, for which days. It owns this controller's replica of the ledger (reservation.Ledger, which has the
// rules), the requests that wait for it, and the budget of writes that it may use. Nothing is read before
// somebody asks for a reservation. docs/skips.md gives the reasons.
package reservations

import (
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/reservation"
)

// What the ledger may use, so that scheduling never waits for it: core.LedgerWriteShare of the writes, which
// submissions leave while it is used, and a read each Intervals.LookupInterval, a sixth of the requests.
const (
	// activeWindow is how long after a write the ledger keeps its share of the writes.
	activeWindow = 10 * time.Second
	// requestTimeout is how long a request waits for its outcome: less than who asks does.
	requestTimeout = 4 * time.Second
	// maxReadAge is how old a read may be that an answer rests on: a controller that stood still since
	// then has to read again.
	maxReadAge = 2 * time.Second
	// readInterval keeps a ledger that nobody asks for within what the log reaches back.
	readInterval = 20 * time.Second
	// cleanupInterval is how often the shards of owned partitions are looked at for what has expired.
	cleanupInterval = 5 * time.Second
	// sweepInterval is how often the archive is looked at for what has been kept for long enough.
	sweepInterval = 10 * time.Minute
)

// Service keeps the replica of the ledger and answers requests by it.
type Service struct {
	core     *core.Core
	siblings Siblings

	replica         *reservation.Ledger // nil: not read
	requested       bool                // somebody asked for a reservation
	loadedPairs     []api.KeyValue      // while it is being read
	resumeLoad      func()              // goes on with that; nil: from the beginning
	busy            bool                // a read is under way
	nextReadAt      api.Time            // no read before
	readAt          api.Time
	cleanupAt       api.Time // when the shards were last looked at for what has expired
	wroteAt         api.Time
	writeTokens     float64 // writes
	writeTokensAt   api.Time
	pendingRequests []*reservation.PendingRequest // until it is read
	pendingReads    []ReadWaiter
	staleShards     []bool // by shard: its record's condition failed, and the log has to be read
	sweptAt         api.Time
	sweeping        bool
}

// ReadWaiter is a question that waits for a current read of the ledger.
type ReadWaiter struct{ OnRead, OnFailure func() }

// Siblings are the other components that this one asks.
type Siblings struct {
	Jobs   Jobs
	Gossip Gossip
	Log    Log
}

// Jobs is what the service needs of the jobs' service.
type Jobs interface {
	// ForwardTargets are controllers that reach the state service, the best first.
	ForwardTargets() []api.ControllerID
}

// Gossip is what the service needs of the gossiper.
type Gossip interface {
	HeardRecently(api.ControllerID) bool
}

// Log is what the service needs of the follower of the state service's log.
type Log interface {
	// PageReadInterval is the pause between pages, by which the controllers share the state service's requests.
	PageReadInterval() time.Duration
}

// New returns a service without a replica; Connect is to be called before it is asked.
func New(k *core.Core) *Service { return &Service{core: k} }

// Connect names the components that the service asks.
func (s *Service) Connect(siblings Siblings) { s.siblings = siblings }

// Install makes a ledger that was read the replica, and queues the requests that waited for it.
func (s *Service) Install(replica *reservation.Ledger) {
	s.replica, s.loadedPairs, s.staleShards = replica, nil, make([]bool, len(s.core.State.Partitions))
	for _, request := range s.pendingRequests {
		replica.Enqueue(request)
	}
	s.pendingRequests = nil
}

// PendingReads are the questions that wait for a current read, in their order.
func (s *Service) PendingReads() []ReadWaiter { return s.pendingReads }

// RecentlyWrote reports whether the ledger was written of late, so that it has a share of the writes.
func (s *Service) RecentlyWrote() bool {
	return s.wroteAt != 0 && s.core.Now.Sub(s.wroteAt) < activeWindow
}

// shardOf is the shard of a depot, of which there are as many as partitions.
func (s *Service) shardOf(d reservation.Depot) int {
	return reservation.ShardOf(d, len(s.core.State.Partitions))
}

// millisecondsPerDay turns a wall-clock time into a day.
const millisecondsPerDay = 86_400_000

// today is the day by this controller's clock; only counts that say that they are approximate rest on it.
func (s *Service) today() reservation.Day {
	return reservation.Day(s.core.WallClock / millisecondsPerDay)
}
