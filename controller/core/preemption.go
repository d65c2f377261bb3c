package core

// This file defines constants and types shared by the components that preempt tasks or reserve
// machines.

import (
	"time"

	"basaltwall/api"
)

const (
	// ReservationTTL is the duration of a machine's reservation after tasks were preempted or moved.
	// It covers stopping the tasks, recording their ends, and transferring a machine of another
	// partition.
	ReservationTTL = 15 * time.Second
	// PreemptionDelay is the expected time to replace a running task by another: a call to stop it, a
	// round that records the end and the start, and a call to start the other.
	PreemptionDelay = 500 * time.Millisecond
)

// MinPreemptorRank is the lowest priority rank of jobs that may preempt others.
var MinPreemptorRank = api.High.Rank()

// PreemptionPlan is the result of stopping tasks on a machine for a job.
type PreemptionPlan struct {
	Machine *Machine
	Tasks   int // number of the job's tasks that could then start there
	Victims []*Placement
	Cost    float64 // CPU seconds lost by the victims
}
