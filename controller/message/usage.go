package message

// This file holds the accounts of the time that a controller's work takes.

import "time"

// ResourceUsage tells the controller, which has no clock, how long its last step took and, since
// the process began, each kind of work and the whole process; and how many commands wait.
type ResourceUsage struct {
	StepTime       time.Duration
	WorkTime       [WorkKinds]time.Duration
	ProcessTime    time.Duration
	QueueLength    int
	QueuedRequests int // of these, all but workers' heartbeats
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
	WorkMembership // the lease, and following the log
	WorkFleet
	WorkRounds
	WorkMachines
	WorkGossip
	WorkKinds // how many there are
)

// workKindNames are the kinds' names, as metrics show them.
var workKindNames = [WorkKinds]string{
	WorkUsers:      "users",
	WorkHeartbeats: "reports",
	WorkStore:      "state_answers",
	WorkWorkers:    "worker_answers",
	WorkCloud:      "cloud_answers",
	WorkPeers:      "peers",
	WorkOperators:  "operators",
	WorkMembership: "membership",
	WorkFleet:      "fleet",
	WorkRounds:     "rounds",
	WorkMachines:   "machines",
	WorkGossip:     "gossip",
}

// MetricName is the kind's name among the metrics.
func (k WorkKind) MetricName() string { return workKindNames[k] }

// WorkKindOf is the kind of work that a command makes.
func WorkKindOf(c Command) WorkKind {
	switch c.(type) {
	case Submit, Poll, Cancel, ReadinessProbe, ListHistory, TenantQuery:
		return WorkUsers
	case WorkerHeartbeat:
		return WorkHeartbeats
	case StoreResponse:
		return WorkStore
	case WorkerResponse:
		return WorkWorkers
	case CloudResponse:
		return WorkCloud
	case PeerGossip, MalformedMessage, ReadLog, PeerResponse:
		return WorkPeers
	}
	return WorkOperators
}
