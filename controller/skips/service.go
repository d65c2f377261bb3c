// Package skips serves the ledger of skips: offers and promises of skips to sites for ranges of days. It
// owns this controller's replica of the ledger (skipledger.Ledger, which implements the rules), the pending
// requests, and the write budget of the ledger. The ledger is not loaded before the first request. See docs/skips.md.
package skips

import (
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/skipledger"
)

// Limits of the ledger's use of the state service, so that it does not delay scheduling: core.LedgerWriteShare of the
// writes, and a read per Intervals.LookupInterval.
const (
	// activeWindow is the time after a write for which the ledger retains its share of the writes.
	activeWindow = 10 * time.Second
	// requestTimeout bounds the wait of a request for its result; it is shorter than the client's timeout.
	requestTimeout = 4 * time.Second
	// maxReadAge is the maximum duration of a read: a controller that was paused during a read has to
	// repeat it.
	maxReadAge = 2 * time.Second
	// readInterval is the maximum interval between reads, so that the log still holds the changes since
	// the last one.
	readInterval = 20 * time.Second
	// cleanupInterval is the interval between checks of the shards of owned partitions for expired entries.
	cleanupInterval = 5 * time.Second
	// sweepInterval is the interval between sweeps of the archive for entries past their retention.
	sweepInterval = 10 * time.Minute
)

// Service maintains the replica of the ledger and serves requests from it.
type Service struct {
	core *core.Core
	deps Dependencies

	replica         *skipledger.Ledger // nil if not loaded
	requested       bool               // there was a request; the ledger is not loaded before
	loadedPairs     []api.KeyValue     // pairs read by the load in progress
	resumeLoad      func()             // next step of the load; nil to start it
	readInFlight    bool
	nextReadAt      api.Time // earliest time of the next read
	readAt          api.Time
	cleanupAt       api.Time // time of the last check for expired entries
	wroteAt         api.Time
	writeTokens     float64 // available writes
	writeTokensAt   api.Time
	pendingRequests []*skipledger.PendingRequest // waiting for the replica
	pendingReads    []ReadWaiter
	staleShards     []bool // by shard: the condition of a write failed, and the changes must be read
	sweptAt         api.Time
	sweeping        bool
}

// ReadWaiter is a query that waits for a linearizable read of the ledger.
type ReadWaiter struct{ OnRead, OnFailure func() }

// Dependencies are the other components that the service calls.
type Dependencies struct {
	Jobs   Jobs
	Gossip Gossip
	Log    Log
}

// Jobs is what the service needs of the service for jobs.
type Jobs interface {
	// ForwardTargets returns the controllers that reach the state service, in the order to try them.
	ForwardTargets() []api.ControllerID
}

// Gossip is what the service needs of the gossiper.
type Gossip interface {
	HasRecentGossip(api.ControllerID) bool
}

// Log is what the service needs of the log follower.
type Log interface {
	// PageReadInterval returns the pause between pages, which limits the rate of requests to the state service.
	PageReadInterval() time.Duration
}

// New returns a service without a replica; Connect must be called before any other method.
func New(k *core.Core) *Service { return &Service{core: k} }

// Connect sets the components that the service calls.
func (s *Service) Connect(deps Dependencies) { s.deps = deps }

// Install sets the replica to a loaded ledger, and enqueues the requests that waited for it.
func (s *Service) Install(replica *skipledger.Ledger) {
	s.replica, s.loadedPairs, s.staleShards = replica, nil, make([]bool, len(s.core.State.Partitions))
	for _, request := range s.pendingRequests {
		replica.Enqueue(request)
	}
	s.pendingRequests = nil
}

// PendingReads returns the queries that wait for a read, in order of arrival.
func (s *Service) PendingReads() []ReadWaiter { return s.pendingReads }

// RecentlyWrote reports whether this controller wrote to the ledger within activeWindow, so that the ledger retains
// its share of the writes.
func (s *Service) RecentlyWrote() bool {
	return s.wroteAt != 0 && s.core.Now.Sub(s.wroteAt) < activeWindow
}

// shardOf returns the shard of a depot; there is one shard per partition.
func (s *Service) shardOf(d skipledger.Depot) int {
	return skipledger.ShardOf(d, len(s.core.State.Partitions))
}

const millisecondsPerDay = 86_400_000

// today returns the day by this controller's clock. Only counts that are shown as approximate depend on it.
func (s *Service) today() skipledger.Day {
	return skipledger.Day(s.core.WallClock / millisecondsPerDay)
}
