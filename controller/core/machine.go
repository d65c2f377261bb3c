package core

// This file defines the state that a controller keeps of a machine beyond the cluster state.

import (
	"basaltwall/api"
	"basaltwall/sched"
)

// Machine is a controller's state of a machine. The owner of its partition updates it from
// heartbeats and direct calls, any other controller from the cloud's list.
type Machine struct {
	ID           api.MachineID
	Address      string
	MachineType  api.MachineTypeName
	Zone         api.Zone
	Spot         bool
	DiscoveredAt api.Time     // when this controller first saw the machine or acquired its partition
	LoanRevision api.Revision // of the machine's latest known loan

	HeartbeatState
	TokenState
	DirectCallState
	ScaleInState
	ConsolidationState
	TaskHistory
	MachineReservation
}

// AttemptKey identifies one attempt at a task.
type AttemptKey struct {
	Task    api.TaskID
	Attempt api.Attempt
}

// HeartbeatState is the status that a machine's agent has reported in heartbeats or in replies to
// direct calls. Heartbeats may arrive out of order: the newer one has the higher epoch or, within
// an epoch, the higher sequence number.
type HeartbeatState struct {
	Epoch              api.Epoch // of the newest heartbeat
	Sequence           api.Seq   // of the newest heartbeat
	FirstHeartbeat     api.Time
	LastHeartbeat      api.Time // when the newest arrived
	LeaseRenewedAt     api.Time // when the agent's last own heartbeat arrived: the reply to it renews the agent's lease, a direct call does not
	HeartbeatForwarded bool     // the newest was forwarded by another controller
	SuspectSince       api.Time // when a heartbeat arrived after a gap, so that it may be stale; 0 if none is suspect
	ReclaimNotice      bool     // the cloud is about to reclaim the machine
	ReportedTasks      map[AttemptKey]api.TaskStatus
	UntrackedUsage     api.Resources       // of reported tasks that are not in the cluster state
	HasUnknownTasks    bool                // a task of an unknown job runs on the machine
	UnplacedTasks      map[AttemptKey]bool // reported tasks that have not exited and have no placement
}

// TokenState contains a machine's fencing tokens. Agents refuse commands with a token lower than
// the highest that they have seen.
type TokenState struct {
	ReportedToken api.FencingToken // highest token reported by the agent
	CommandToken  api.FencingToken // token of commands to the machine; 0 if there is none yet

	// LaunchTokens is the highest token under which this owner has launched each attempt, as long as the
	// agent has not reported a higher one: until then it may execute a launch of the attempt.
	LaunchTokens map[AttemptKey]api.FencingToken

	// SupersededToken is the highest token of launches that must be refused before a missing placement can
	// be recorded as never started; 0 if there is none.
	SupersededToken api.FencingToken
}

// DirectCallState is the state of direct calls to a machine's agent, made without waiting for its
// heartbeat.
type DirectCallState struct {
	CallInFlight      bool
	NextCallAt        api.Time // earliest time of the next call
	LastDirectReply   api.Time
	DirectCallPending bool // the machine must be called at once
	UnansweredCalls   int  // consecutive calls without a reply
}

// ScaleInState is the state of a machine's deletion, or of the decision on it.
type ScaleInState struct {
	Deleting         bool
	Unreachable      bool     // deleted because it is unreachable
	IdleSince        api.Time // since when the machine has had no reason to be kept
	ScaleInCandidate bool     // idle for a long time: tasks that can run elsewhere don't start on it
	Surplus          bool     // exceeds the capacity targets, so it is used last
}

// ConsolidationState is the state of moving tasks off a machine to consolidate its free capacity.
type ConsolidationState struct {
	ConsolidatingUntil api.Time // services are moved off the machine until then
	ReservedForAged    bool     // reserved for a job that has waited too long, see MachineReservation
	ReservedForAgedAt  api.Time // when it was reserved for that job
}

// TaskHistory contains observations of tasks on a machine.
type TaskHistory struct {
	CachedImages    map[api.Image]sched.CachedImage
	RecentFailures  map[api.JobID]api.Time // last failure of a job's tasks on the machine
	Quarantine      FailureBackoff         // because tasks of different jobs failed on it
	FullUntil       api.Time               // no new tasks before, because it refused one for lack of free capacity
	RelativeRuntime float64                // smoothed ratio of its tasks' runtimes to the expected ones; 0 if unknown
}

// MachineReservation reserves a machine's free capacity for a job for which tasks were preempted or
// moved.
type MachineReservation struct {
	ReservedFor     api.JobID
	ReservedUntil   api.Time
	ReservationRank int  // the job's priority rank
	SoftReservation bool // jobs of a higher rank than ReservationRank may still start here
}

// ApplyListing sets the attributes of a machine from the cloud's list unless they are known
// already.
func (m *Machine) ApplyListing(instance api.Instance) {
	if m.Address == "" {
		m.Address, m.MachineType, m.Zone, m.Spot = instance.Address, instance.Type, instance.Zone, instance.Spot
	}
}
