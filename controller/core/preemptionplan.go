package core

import "time"

// PreemptionDelay is how long it takes to stop a task and to start another instead: a call, a
// round that records the end and the start, another call.
const PreemptionDelay = 500 * time.Millisecond

// PreemptionPlan is what stopping tasks on a machine would make possible for a job.
type PreemptionPlan struct {
	Machine *Machine
	Tasks   int // tasks of the job that could start there then
	Victims []*Placement
	Cost    float64 // CPU seconds that the victims would lose
}
