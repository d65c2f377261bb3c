package core

// This file defines the reasons for deleting machines, and the maximum batch of deletions.

// DeletionReason is the reason for deleting a machine. It is logged and determines the order of
// deletions.
type DeletionReason string

// Reasons for a deletion.
const (
	DeletionReasonIdle        DeletionReason = "idle"
	DeletionReasonFailed      DeletionReason = "failed"       // the cloud lists it as failed
	DeletionReasonBootTimeout DeletionReason = "boot timeout" // no heartbeat long after its boot time
	DeletionReasonQuarantined DeletionReason = "quarantined"
	DeletionReasonUnreachable DeletionReason = "unreachable"
	DeletionReasonZoneLost    DeletionReason = "zone lost"
	DeletionReasonCancelled   DeletionReason = "unreachable, with a cancelled task"
)

// MaxDeletionBatch is the cloud protocol's limit on machines per deletion request.
const MaxDeletionBatch = 100
