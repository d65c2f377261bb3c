// Package logfollow keeps a controller's replica of the cluster state in step with the log of the
// key-value store, and serves linearizable reads of it.
//
// It owns the reading alone: which load, watch or read is under way, who waits for one, which relay
// it goes through and what of the log is retained for other controllers. The replica that it applies
// the log to is core.Core.State.
//
// Beyond a number of controllers that follows from the store's limit on requests, most read the log
// through one of a few relays, so that a read takes no longer with each controller that is added
// (package relay, docs/relays.md).
package logfollow

import (
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/relay"
)

// Follower follows the log of the key-value store and serves linearizable reads of it.
type Follower struct {
	// NextReadAt is the time before which no linearizable read is sent: reads are spaced so that
	// all controllers together stay within the store's limit on requests.
	NextReadAt api.Time

	core     *core.Core
	siblings Siblings

	loading    bool
	nextLoadAt api.Time
	resumeLoad func() // repeats the step that failed or waits; nil: the load starts at its first page

	watching    bool
	nextWatchAt api.Time

	readInFlight     bool
	nextDirectReadAt api.Time // no direct read before, where this controller has a relay
	readRequestedAt  api.Time // when a linearizable read was last requested
	waiters          []Waiter
	lastReadAt       api.Time // when the log was last read up to its end, 0 if it never was

	relaySelector relay.Selector // of the relay that this controller reads through
	relays        relaySelection
	retainedLog   relay.ChangeLog // what this controller serves if it is a relay
	subscribers   []subscriber
}

// Siblings are the other components that a Follower asks.
type Siblings struct {
	State     StateFactory
	Ownership Ownership
}

// StateFactory makes the replica that a load fills.
type StateFactory interface {
	// NewState returns an empty cluster state with all record kinds registered.
	NewState() *core.ClusterState
}

// Ownership is the component that holds partitions.
type Ownership interface {
	// DropLostPartitions drops the partitions that the cluster state gives to another owner or term.
	DropLostPartitions()
}

// Waiter is a caller that waits for a linearizable read.
type Waiter struct {
	OnRead    func() // called once all that was durable when the read was requested is applied
	OnFailure func() // called if the read failed
	direct    bool   // the read has to be one of this controller, not one through a relay
}

// New returns a follower that has read nothing yet. Connect must be called before it is used.
func New(shared *core.Core) *Follower { return &Follower{core: shared} }

// Connect sets the components that the follower asks.
func (f *Follower) Connect(siblings Siblings) { f.siblings = siblings }

// readRequestWindow is how long after the last request for a linearizable read the follower keeps
// reading in place of a watch.
const readRequestWindow = time.Second

// LinearizableRead calls onRead once everything that was durable when it was called is applied, or
// onFailure if that can't be had. Requests that come between two reads share the next one.
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

// WaiterCount is how many callers wait for the next read.
func (f *Follower) WaiterCount() int { return len(f.waiters) }

// TakeWaiters removes the callers that wait for the next read; the taker answers them.
func (f *Follower) TakeWaiters() []Waiter {
	waiters := f.waiters
	f.waiters = nil
	return waiters
}

// LastReadAt is when the log was last read up to its end, 0 if it never was.
func (f *Follower) LastReadAt() api.Time { return f.lastReadAt }

// RecordRead notes that the log has been read up to its end at this moment.
func (f *Follower) RecordRead() { f.lastReadAt = f.core.Now }
