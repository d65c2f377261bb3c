package core

// Shares of the state service's write rate. What is written beyond the rate is refused there,
// and with it the renewal of this controller's lease.
const (
	// SubmissionWriteShare is what submissions may use.
	SubmissionWriteShare = 0.85
	// LedgerWriteShare is what the reservation ledger may use; while it does, submissions
	// leave it that much.
	LedgerWriteShare = 0.2
)
