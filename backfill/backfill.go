// Package backfill owns the guarantee that all pending work that can run starts within a bounded time,
// whatever its class, size and priority: when a job goes before others, and which
// machines are reserved for one that fits nowhere, so that enough capacity becomes free together. It
// is pure: it stores nothing and reads no clock.
package backfill

import (
	"time"

	"basaltwall/api"
	"basaltwall/sched"
)

// StartDeadline is the time within which every job must start, whatever its size: the users' requirement.
const StartDeadline = 4 * time.Minute

// AgingStageOf is the stage of a job that has waited so long without starting. From half of the deadline
// on it goes before others of its priority, and capacity is gathered for it, which more urgent work may
// still take; from three quarters on it goes before all pending work.
func AgingStageOf(waited time.Duration) sched.AgingStage {
	switch {
	case waited >= StartDeadline*3/4:
		return sched.AgedAboveAll
	case waited >= StartDeadline/2:
		return sched.AgedWithinPriority
	}
	return sched.NotAged
}

// DominantShare is the share of a capacity that a demand takes, in the resource of which it takes the
// most.
func DominantShare(demand, capacity api.Resources) float64 {
	dominant := 0.0
	for _, p := range [3][2]api.Quantity{{demand.CPU, capacity.CPU}, {demand.GPU, capacity.GPU}, {demand.Mem, capacity.Mem}} {
		if p[1] > 0 {
			dominant = max(dominant, float64(p[0])/float64(p[1]))
		}
	}
	return dominant
}
