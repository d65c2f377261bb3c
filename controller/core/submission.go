package core

// This file has what the submission of jobs has in common whether or not the service is hosted.

const (
	// ReasonSpecTooLarge is why a job is refused whose record would exceed a value of the
	// state service: it may list many machine types.
	ReasonSpecTooLarge = "banchi: too long"
	// ReasonCancellationPending is why a cancellation that is recorded is not confirmed yet.
	ReasonCancellationPending = "recorded, but a controller that commands machines of its tasks may not know yet"
)

// SubmissionWriteShare is how much of the state service's writes submissions may take: what
// is beyond it would be refused there, and with it the renewal of our lease.
const SubmissionWriteShare = 0.85
