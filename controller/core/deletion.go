// Machine deletions: why they are asked for, and how many go into one call.

package core

// DeletionReason says why a machine is deleted. It appears in the log and decides
// which deletions go first.
type DeletionReason string

// The reasons for a deletion.
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
