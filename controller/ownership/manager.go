// Package ownership decides which partitions this controller owns.
//
// It owns the controller's lease and the member key tied to it, what is known of the other members'
// restarts and record formats, and the claims under way. The partitions themselves are in
// core.Core.Partitions; a claim or handover is a compare-and-swap of the partition's key in the
// key-value store, whose revision is the owner's term.
package ownership

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/membership"
)

// Manager keeps this controller's member key alive, claims partitions that are its to own and hands
// over those that another controller should own.
type Manager struct {
	core     *core.Core
	siblings Siblings

	lease memberLease

	liveSince      map[api.ControllerID]api.Time // live members only
	restartHistory membership.RestartTracker
	memberFormats  map[api.ControllerID]int // newest record format that each controller understands, live or not

	claimsInFlight map[api.PartitionID]bool
	nextClaimAt    map[api.PartitionID]api.Time // after a claim that failed
}

// Siblings are the other components that a Manager asks.
type Siblings struct {
	Log       Log
	Scheduler Scheduler
}

// Log is the component that reads the log of the key-value store.
type Log interface {
	// LinearizableRead calls onRead once everything that was durable when it was called is applied,
	// or onFailure if that can't be had.
	LinearizableRead(onRead, onFailure func())
}

// Scheduler is the component that runs the partitions that this controller owns.
type Scheduler interface {
	// BeginOwnership takes up a partition under the term of its claim.
	BeginOwnership(p api.PartitionID, term api.Revision)
}

// New returns a manager without a lease. Connect must be called before it is used.
func New(shared *core.Core) *Manager {
	return &Manager{
		core:           shared,
		liveSince:      map[api.ControllerID]api.Time{},
		memberFormats:  map[api.ControllerID]int{},
		claimsInFlight: map[api.PartitionID]bool{},
		nextClaimAt:    map[api.PartitionID]api.Time{},
	}
}

// Connect sets the components that the manager asks.
func (m *Manager) Connect(siblings Siblings) { m.siblings = siblings }

// Format is the newest record format that a controller understands, 0 if it has never been seen live.
func (m *Manager) Format(id api.ControllerID) int { return m.memberFormats[id] }

// observeMembers notes who is live, since when, and what record formats the members understand.
func (m *Manager) observeMembers() {
	for id := range m.liveSince {
		if !m.core.IsLive(id) {
			delete(m.liveSince, id)
		}
	}
	for id, member := range m.core.State.Members {
		m.memberFormats[id] = member.Format
		// A process that restarts at once may write its key before the former incarnation's is gone.
		restarted := m.restartHistory.Observe(id, member.Incarnation, m.core.Now)
		if _, known := m.liveSince[id]; restarted || !known {
			m.liveSince[id] = m.core.Now
		}
	}
}

// failbackDue reports whether a live controller has been live for long enough to get its partitions
// back: the longer, the more often it has restarted of late.
func (m *Manager) failbackDue(id api.ControllerID) bool {
	delay := m.restartHistory.FailbackDelay(id, m.core.Now, m.core.HandoverDelay)
	return m.core.Now.Sub(m.liveSince[id]) > delay
}

// startupGracePassed reports whether this process has run for long enough that a preferred owner which
// started at the same time would have registered by now.
func (m *Manager) startupGracePassed() bool {
	return m.core.Now.Sub(m.core.StartedAt) > m.core.HandoverDelay
}
