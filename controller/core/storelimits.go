package core

// This file holds what components agree on about the state service's limits: of its write rate and
// of the size of a value.

// Shares of the state service's write rate. What is written beyond the rate is refused there,
// and with it the renewal of this controller's lease.
const (
	// SubmissionWriteShare is what submissions may use.
	SubmissionWriteShare = 0.85
	// LedgerWriteShare is what the reservation ledger may use; while it does, submissions
	// leave it that much.
	LedgerWriteShare = 0.2
)

// bytesPerKB is the unit of the deployment's limit of the size of a value.
const bytesPerKB = 1024

// cancellationReserveBytes is what a cancellation adds to a job's record, and some more.
const cancellationReserveBytes = 64

// ExceedsValueSize reports whether data is too large to be written as one value.
func (k *Core) ExceedsValueSize(data []byte) bool {
	return float64(len(data)) > k.Config.Deployment.State.ValueKB*bytesPerKB
}

// JobExceedsValueSize reports whether a job's record is too large to be written, with what its
// cancellation would add: the cancellation of a job that could not be recorded would be answered
// api.StatusServiceUnavailable for ever.
func (k *Core) JobExceedsValueSize(data []byte) bool {
	return float64(len(data)+cancellationReserveBytes) > k.Config.Deployment.State.ValueKB*bytesPerKB
}
