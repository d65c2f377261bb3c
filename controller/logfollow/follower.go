// Package logfollow updates a controller's replica of the cluster state from the log of the key-value
// store, and serves linearizable reads of the replica.
//
// It owns the state of loads, watches and reads, the callers that wait for a read, the choice of a relay
// and the part of the log that is retained for other controllers. The replica itself is core.Core.State.
//
// If there are more controllers than the store's limit on requests allows to read directly, most of them
// read through a few relays, so that read latency does not grow with the number of controllers (see
// package relay and docs/relays.md).
package logfollow

import (
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/relay"
)

// Follower follows the log of the key-value store and serves linearizable reads of it.
type Follower struct {
	// NextReadAt is the earliest time of the next linearizable read. Reads are spaced so that all
	// controllers together stay within the store's limit on requests.
	NextReadAt api.Time

	core *core.Core
	deps Dependencies

	loading    bool
	nextLoadAt api.Time
	resumeLoad func() // runs the next step of the load, or repeats a failed one; nil to start at the first page

	watching    bool
	nextWatchAt api.Time

	readInFlight     bool
	nextDirectReadAt api.Time // earliest time of the next direct read of a controller that uses relays
	readRequestedAt  api.Time // time of the latest request for a linearizable read
	waiters          []Waiter
	lastReadAt       api.Time // time of the latest read up to the end of the log, 0 if there was none

	relaySelector relay.Selector // selects the relay that this controller reads through
	relays        relaySelection
	retainedLog   relay.ChangeLog // changes that this controller serves if it is a relay
	subscribers   []subscriber
}

// Dependencies holds the other components that a Follower calls.
type Dependencies struct {
	State     StateFactory
	Ownership Ownership
}

// StateFactory creates the replica that a load fills.
type StateFactory interface {
	// NewState returns an empty cluster state with all record kinds registered.
	NewState() *core.ClusterState
}

// Ownership is the component that decides which partitions this controller owns.
type Ownership interface {
	// DropLostPartitions drops the partitions that have another owner or term in the cluster state.
	DropLostPartitions()
}

// Waiter is a caller that waits for a linearizable read.
type Waiter struct {
	OnRead    func() // called once all changes that were durable at the request are applied
	OnFailure func() // called if the read failed
	direct    bool   // whether the read must be direct, not through a relay
}

// New returns a follower without a loaded state. Connect must be called before it is used.
func New(shared *core.Core) *Follower { return &Follower{core: shared} }

// Connect sets the components that the follower calls.
func (f *Follower) Connect(deps Dependencies) { f.deps = deps }

// readRequestWindow is the time after the latest request for a linearizable read during which the
// follower continues periodic reads instead of a watch.
const readRequestWindow = time.Second

// LinearizableRead calls onRead once all changes that are durable at the time of the call are applied,
// or onFailure if they can't be read. Requests between two reads share the next one.
func (f *Follower) LinearizableRead(onRead, onFailure func()) {
	if !f.core.Loaded {
		onFailure()
		return
	}
	f.addWaiter(Waiter{OnRead: onRead, OnFailure: onFailure})
}

func (f *Follower) addWaiter(w Waiter) {
	f.waiters = append(f.waiters, w)
	f.readRequestedAt = f.core.Now
}

// WaiterCount returns the number of callers that wait for the next read.
func (f *Follower) WaiterCount() int { return len(f.waiters) }

// TakeWaiters removes and returns the callers that wait for the next read. The caller of TakeWaiters
// must answer them.
func (f *Follower) TakeWaiters() []Waiter {
	waiters := f.waiters
	f.waiters = nil
	return waiters
}

// LastReadAt returns the time of the latest read up to the end of the log, 0 if there was none.
func (f *Follower) LastReadAt() api.Time { return f.lastReadAt }

// RecordRead records the current time as that of the latest read up to the end of the log.
func (f *Follower) RecordRead() { f.lastReadAt = f.core.Now }
