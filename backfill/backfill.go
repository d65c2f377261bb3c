// Package backfill bounds the time until pending jobs that can run start, whatever their class,
// size and priority. It determines when a job goes before others, and which machines are reserved
// for a job without free capacity, so that enough capacity becomes free together. It is pure: it
// stores nothing and reads no clock.
package backfill

import (
	"time"

	"basaltwall/api"
	"basaltwall/sched"
)

// StartDeadline is the time within which every job must start, whatever its size.
const StartDeadline = 4 * time.Minute

// AgingStageOf returns the aging stage of a job by its waiting time. From half of the deadline on,
// the job goes before others of its priority, and machines are reserved for it on which jobs of a
// higher rank may still start. From three quarters on, it goes before all pending jobs.
func AgingStageOf(waited time.Duration) sched.AgingStage {
	switch {
	case waited >= StartDeadline*3/4:
		return sched.AgedAboveAll
	case waited >= StartDeadline/2:
		return sched.AgedWithinPriority
	}
	return sched.NotAged
}

// DominantShare returns the largest share of a capacity that a demand takes in any resource.
func DominantShare(demand, capacity api.Resources) float64 {
	dominant := 0.0
	for _, p := range [3][2]api.Quantity{{demand.CPU, capacity.CPU}, {demand.GPU, capacity.GPU}, {demand.Mem, capacity.Mem}} {
		if p[1] > 0 {
			dominant = max(dominant, float64(p[0])/float64(p[1]))
		}
	}
	return dominant
}
