package core

// This file holds what several components answer users with.

import "math"

// Reasons that users are given.
const (
	// ReasonCancellationPending asks the user to retry a cancellation that is recorded.
	ReasonCancellationPending = "recorded, but a controller that commands machines of its tasks may not know yet"
	// ReasonSpecTooLarge refuses a job whose record would exceed the size of a value: its
	// allowed machine types may be many.
	ReasonSpecTooLarge = "banchi: too long"
)

// RoundToTenth rounds a duration in seconds for display.
func RoundToTenth(seconds float64) float64 { return math.Round(seconds*10) / 10 }
