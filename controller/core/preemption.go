package core

// This file has what the components share that preempt tasks or reserve machines.

import (
	"time"
)

const (
	// ReservationTTL is how long a machine stays reserved after tasks were preempted or moved:
	// long enough for the stop to be seen, its evidence to be recorded, and a machine of another
	// partition to be transferred.
	ReservationTTL = 15 * time.Second
)
