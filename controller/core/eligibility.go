package core

// This file defines the reasons why a machine gets no new tasks, shared by the scheduler, gossip
// and operators' views.

// UnschedulableReason is the reason why a machine gets no new tasks, as shown to operators; empty
// if the machine is schedulable.
type UnschedulableReason string

// Reasons, in the order in which they are checked.
const (
	Schedulable                 UnschedulableReason = ""
	ReasonDeleting              UnschedulableReason = "being deleted"
	ReasonDrained               UnschedulableReason = "drained by an operator"
	ReasonNoHeartbeatYet        UnschedulableReason = "no heartbeat received yet"
	ReasonReclaimed             UnschedulableReason = "being reclaimed by the cloud"
	ReasonUnknownType           UnschedulableReason = "unknown machine type"
	ReasonQuarantined           UnschedulableReason = "quarantined: tasks of different jobs failed on it"
	ReasonFull                  UnschedulableReason = "refused a task for lack of free capacity"
	ReasonHeartbeatTimeout      UnschedulableReason = "no recent heartbeat"
	ReasonUnresponsive          UnschedulableReason = "does not answer direct calls"
	ReasonSuspect               UnschedulableReason = "heartbeat after a gap may be stale"
	ReasonZoneUnavailable       UnschedulableReason = "zone is unreachable"
	ReasonHeartbeatsNotArriving UnschedulableReason = "answers direct calls but its heartbeats do not arrive, so its lease will expire"
	ReasonTokenNotAnnounced     UnschedulableReason = "current fencing token not yet announced to it"
)
