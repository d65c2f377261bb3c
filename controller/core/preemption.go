package core

// This file has what the components share that preempt tasks or reserve machines.

import (
	"time"

	"basaltwall/api"
)

// PreemptorRank is the priority rank from which on work may preempt other work.
var PreemptorRank = api.High.Rank()

const (
	// ReservationTTL is how long a machine stays reserved after tasks were preempted or moved:
	// long enough for the stop to be seen, its evidence to be recorded, and a machine of another
	// partition to be transferred.
	ReservationTTL = 15 * time.Second
	// PreemptionDelay is how long it takes to stop a task and to start another instead: a call,
	// a round that records the end and the start, another call.
	PreemptionDelay = 500 * time.Millisecond
)

// PreemptionPlan is what stopping tasks on a machine would make possible for a job.
type PreemptionPlan struct {
	Machine *Machine
	Tasks   int // tasks of the job that could start there then
	Victims []*Placement
	Cost    float64 // CPU seconds that the victims would lose
}
