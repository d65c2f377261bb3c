package core

// This file holds why machines are deleted, and how many deletions go into one call.

// DeletionReason says why a machine is deleted. It appears in the log and decides
// which deletions go first.
type DeletionReason string

// Reasons for a deletion.
const (
	DeletionReasonIdle        DeletionReason = "idle"
	DeletionReasonFailed      DeletionReason = "failed"           // the cloud lists it as failed
	DeletionReasonBootTimeout DeletionReason = "does not come up" // no heartbeat long after its boot time
	DeletionReasonQuarantined DeletionReason = "sick"
	DeletionReasonUnreachable DeletionReason = "not reachable"
	DeletionReasonZoneLost    DeletionReason = "lost with its zone"
	DeletionReasonCancelled   DeletionReason = "not reachable, with a cancelled task"
)

// MaxDeletionBatch is the cloud protocol's limit of machines in one deletion.
const MaxDeletionBatch = 100
