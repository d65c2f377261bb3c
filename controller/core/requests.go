package core

// This file contains reasons and rounding shared by replies of several components.

import "math"

// Reasons in replies to users.
const (
	// ReasonCancellationPending asks the user to retry a cancellation that is recorded.
	ReasonCancellationPending = "cancellation recorded, but not yet acknowledged by all controllers with tasks of the job"
	// ReasonSpecTooLarge refuses a job whose record would exceed the maximum size of a value, which a
	// long list of machine types can cause.
	ReasonSpecTooLarge = "banchi: too long"
)

// RoundToTenth rounds seconds to a tenth for display.
func RoundToTenth(seconds float64) float64 { return math.Round(seconds*10) / 10 }
