package message

import (
	"time"
)

// ResourceUsage tells the owner, which has no clock, how long its last step took and, since
// the process began, each kind of work and the whole process; and how many
// commands wait.
type ResourceUsage struct {
	StepTime       time.Duration
	WorkTime       [WorkKinds]time.Duration
	ProcessTime    time.Duration
	QueueLength    int
	QueuedRequests int // of these, all but workers' reports
}

// WorkKind is a kind of work, for accounts of the time that it takes.
type WorkKind int

// Kinds of work: commands by where they come from, then what is done by the clock.
const (
	WorkUsers WorkKind = iota
	WorkHeartbeats
	WorkStore
	WorkWorkers // answers to direct calls
	WorkCloud
	WorkPeers
	WorkOperators
	WorkMembership // the lease, and following the state
	WorkFleet
	WorkRounds
	WorkMachines
	WorkGossip
	WorkKinds // how many there are
)
