package core

// This file holds what a controller knows of a machine beyond the cluster state.

import (
	"basaltwall/api"
	"basaltwall/sched"
)

// Machine is what a controller knows of a machine: the owner of its partition by its heartbeats and
// direct calls, any other controller by the cloud's list.
type Machine struct {
	ID           api.MachineID
	Address      string
	MachineType  api.MachineTypeName
	Zone         api.Zone
	Spot         bool
	DiscoveredAt api.Time     // when it became known to this controller, or its partition this controller's
	LoanRevision api.Revision // of the loan that was last seen of it

	HeartbeatState
	TokenState
	DirectCallState
	ScaleInState
	ConsolidationState
	TaskHistory
	MachineReservation
}

// AttemptKey names one attempt at a task.
type AttemptKey struct {
	Task    api.TaskID
	Attempt api.Attempt
}

// HeartbeatState is what a machine's agent has reported, by heartbeats of its own or in answers to
// direct calls. Heartbeats may arrive late: one is newer if its epoch is or, within an epoch, its
// sequence number.
type HeartbeatState struct {
	Epoch              api.Epoch // of the newest heartbeat
	Sequence           api.Seq   // of the newest heartbeat
	FirstHeartbeat     api.Time
	LastHeartbeat      api.Time // when the newest came
	LeaseRenewedAt     api.Time // when a heartbeat that the agent sent came last: the answer to one renews its lease, a direct call does not
	HeartbeatForwarded bool     // the newest came by way of another controller
	SuspectSince       api.Time // when one came after a silence, so that it may be an old one; 0 if that is settled
	ReclaimNotice      bool     // the cloud is about to take the machine back
	ReportedTasks      map[AttemptKey]api.TaskStatus
	UntrackedUsage     api.Resources // of reported tasks that the cluster state does not know
	HasUnknownTasks    bool          // a task of an unknown job is on it
}

// TokenState is a machine's fencing tokens. Agents refuse commands under a token lower than the
// highest that they have seen.
type TokenState struct {
	ReportedToken  api.FencingToken // the highest that the agent has reported
	CommandToken   api.FencingToken // the one that it is commanded under; 0 if there is none yet
	UncertainToken api.FencingToken // direct commands up to this token may still arrive; 0 if there are none
}

// DirectCallState is the state of the calls to a machine's agent that do not wait for its heartbeat.
type DirectCallState struct {
	CallInFlight    bool
	NextCallAt      api.Time // no call before
	LastDirectReply api.Time
	ContactPending  bool // it has to be called at once
	MissedCalls     int  // calls in a row that were not answered
}

// ScaleInState tells whether a machine is deleted or could be.
type ScaleInState struct {
	Deleting         bool
	Unreachable      bool     // it is deleted because it can't be reached
	IdleSince        api.Time // since when it has had nothing that it is kept for
	ScaleInCandidate bool     // long idle: nothing that could run elsewhere starts on it
	Surplus          bool     // more than the capacity targets want, so that it is used last
}

// ConsolidationState tells whether tasks are moved off a machine so that its free capacity forms a
// whole.
type ConsolidationState struct {
	ConsolidatingUntil api.Time // until when its services are moved elsewhere
	Consolidated       bool     // its reservation is for a job that has waited long, see MachineReservation
	ConsolidatedAt     api.Time // when it was reserved for that job
}

// TaskHistory is what starting and running tasks on a machine has shown.
type TaskHistory struct {
	CachedImages     map[api.Image]sched.CachedImage
	RecentFailures   map[api.JobID]api.Time // when tasks of a job last failed on it
	QuarantinedUntil api.Time               // no new tasks before, as tasks of different jobs failed on it
	FullUntil        api.Time               // no new tasks before, as it refused one for want of free capacity
	RelativeRuntime  float64                // smoothed ratio of its tasks' runtimes to what was expected; 0 if none was seen
}

// MachineReservation keeps a machine's free capacity for a job that tasks were preempted or moved
// for.
type MachineReservation struct {
	ReservedFor     api.JobID
	ReservedUntil   api.Time
	ReservationRank int  // the job's priority rank
	SoftReservation bool // work of a higher rank than ReservationRank may start here all the same
}

// ApplyListing takes from the cloud's list what a machine has not reported yet.
func (m *Machine) ApplyListing(instance api.Instance) {
	if m.Address == "" {
		m.Address, m.MachineType, m.Zone, m.Spot = instance.Address, instance.Type, instance.Zone, instance.Spot
	}
}
