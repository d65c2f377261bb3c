package message

// This file holds the measurements of a controller's run time and queues.

import "time"

// ResourceUsage informs the controller, which reads no clock, of the time that its work takes and of
// the number of queued commands.
type ResourceUsage struct {
	StepTime       time.Duration                // duration of the last step
	WorkTime       [WorkKindCount]time.Duration // by kind of work, since the process started
	ProcessTime    time.Duration                // of the whole process, since it started
	QueueLength    int                          // queued commands
	QueuedRequests int                          // queued commands other than workers' heartbeats
}

// WorkKind is a kind of work by which time is accounted.
type WorkKind int

// Kinds of work: commands by their source, then periodic work.
const (
	WorkUsers WorkKind = iota
	WorkHeartbeats
	WorkStore
	WorkWorkers // responses to direct calls
	WorkCloud
	WorkPeers
	WorkOperators
	WorkMembership // lease renewal and log reads
	WorkScaling
	WorkRounds
	WorkMachines
	WorkGossip
	WorkKindCount // number of kinds
)

// workKindNames are the names of the kinds in metrics.
var workKindNames = [WorkKindCount]string{
	WorkUsers:      "users",
	WorkHeartbeats: "reports",
	WorkStore:      "state_answers",
	WorkWorkers:    "worker_answers",
	WorkCloud:      "cloud_answers",
	WorkPeers:      "peers",
	WorkOperators:  "operators",
	WorkMembership: "membership",
	WorkScaling:    "fleet",
	WorkRounds:     "rounds",
	WorkMachines:   "machines",
	WorkGossip:     "gossip",
}

// MetricName returns the name of the kind in metrics.
func (k WorkKind) MetricName() string { return workKindNames[k] }

// WorkKindOf returns the kind of work that processes a command.
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
