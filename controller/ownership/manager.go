// Package ownership decides which partitions this controller owns.
//
// It owns the controller's lease with its member key, the restart history and record formats of the
// other members, and the claims in flight. The partitions themselves are in core.Core.Partitions. A claim
// or handover is a compare-and-swap of the partition's key in the key-value store; the key's revision is
// the owner's term.
package ownership

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/membership"
)

// Manager maintains this controller's member key, claims the partitions that it should own and hands
// over those that another controller should own.
type Manager struct {
	core *core.Core
	deps Dependencies

	lease memberLease

	liveSince      map[api.ControllerID]api.Time // by live member
	restartHistory membership.RestartTracker
	memberFormats  map[api.ControllerID]int // newest record format that each controller, live or not, supports

	claimsInFlight map[api.PartitionID]bool
	nextClaimAt    map[api.PartitionID]api.Time // time of the next attempt after a failed claim
}

// Dependencies holds the other components that a Manager calls.
type Dependencies struct {
	Log       Log
	Scheduler Scheduler
}

// Log is the component that follows the log of the key-value store.
type Log interface {
	// LinearizableRead calls onRead once all changes that are durable at the time of the call are
	// applied, or onFailure if they can't be read.
	LinearizableRead(onRead, onFailure func())
}

// Scheduler is the component that plans scheduling rounds for the owned partitions.
type Scheduler interface {
	// BeginOwnership begins the ownership of a partition under the term of its claim.
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

// Connect sets the components that the manager calls.
func (m *Manager) Connect(deps Dependencies) { m.deps = deps }

// Format returns the newest record format that a controller supports, 0 if the controller was never
// observed live.
func (m *Manager) Format(id api.ControllerID) int { return m.memberFormats[id] }

// observeMembers updates liveSince, memberFormats and the restart history from the member keys.
func (m *Manager) observeMembers() {
	for id := range m.liveSince {
		if !m.core.IsLive(id) {
			delete(m.liveSince, id)
		}
	}
	for id, member := range m.core.State.Members {
		m.memberFormats[id] = member.Format
		// A process that restarts quickly may write its key before its former key has expired.
		restarted := m.restartHistory.Observe(id, member.Incarnation, m.core.Now)
		if _, known := m.liveSince[id]; restarted || !known {
			m.liveSince[id] = m.core.Now
		}
	}
}

// failbackDue reports whether a controller has been live for long enough to get its partitions back.
// Recent restarts increase the delay.
func (m *Manager) failbackDue(id api.ControllerID) bool {
	delay := m.restartHistory.FailbackDelay(id, m.core.Now, m.core.HandoverDelay)
	return m.core.Now.Sub(m.liveSince[id]) > delay
}

// startupGracePassed reports whether this process has run for long enough that a preferred owner that
// started at the same time has had time to register.
func (m *Manager) startupGracePassed() bool {
	return m.core.Now.Sub(m.core.StartedAt) > m.core.HandoverDelay
}
