package core

// This file divides the state service's write rate among components and checks its limit on the
// size of a value.

// Shares of the state service's write rate. The service refuses writes beyond the rate, including
// renewals of this controller's lease.
const (
	// SubmissionWriteShare is the share of submissions.
	SubmissionWriteShare = 0.85
	// LedgerWriteShare is the share of the ledger of skips; submissions leave it free while the
	// ledger writes.
	LedgerWriteShare = 0.2
)

// bytesPerKB converts the deployment's limit on the size of a value to bytes.
const bytesPerKB = 1024

// cancellationReserveBytes bounds the bytes that a cancellation adds to a job's record.
const cancellationReserveBytes = 64

// ExceedsValueSize reports whether data is too large to be written as one value.
func (k *Core) ExceedsValueSize(data []byte) bool {
	return float64(len(data)) > k.Config.Deployment.State.ValueKB*bytesPerKB
}

// JobExceedsValueSize reports whether a job's record is too large to be written, including the
// bytes that a cancellation adds: without them the job could never be cancelled.
func (k *Core) JobExceedsValueSize(data []byte) bool {
	return float64(len(data)+cancellationReserveBytes) > k.Config.Deployment.State.ValueKB*bytesPerKB
}
