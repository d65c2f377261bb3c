package core

// This file holds why a machine gets no new tasks, which the scheduler, gossip and operators' views
// share.

// UnschedulableReason is why a machine gets no new tasks, as operators are shown it; empty if it does.
type UnschedulableReason string

// Reasons, in the order in which they are looked for.
const (
	Schedulable             UnschedulableReason = ""
	ReasonDeleting          UnschedulableReason = "is being returned"
	ReasonDrained           UnschedulableReason = "drained by an operator"
	ReasonNoHeartbeatYet    UnschedulableReason = "has not been heard yet"
	ReasonReclaimed         UnschedulableReason = "the cloud takes it back"
	ReasonUnknownType       UnschedulableReason = "of an unknown type"
	ReasonQuarantined       UnschedulableReason = "different jobs fail on it"
	ReasonFull              UnschedulableReason = "it refused a task for want of room"
	ReasonSilent            UnschedulableReason = "is silent"
	ReasonUnresponsive      UnschedulableReason = "does not answer"
	ReasonSuspect           UnschedulableReason = "it was silent, and its report may be an old one"
	ReasonZoneUnavailable   UnschedulableReason = "its zone is cut off"
	ReasonOutboundCutOff    UnschedulableReason = "its reports do not reach us, so its lease will end"
	ReasonTokenNotAnnounced UnschedulableReason = "our term has not been announced to it" // it will be within a moment
)
