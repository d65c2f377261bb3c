package invariant

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
)

// This file checks the rule left_waiting.

// starvationTimeout is the time after which a pending job violates the rule: without faults, at each check,
// the same machine had free capacity for one of its tasks (for a gang: the cluster for all its tasks) and the
// team was within its limit. Capacity and quota that controllers reserve count as free. A job whose tasks have
// all completed violates it after the same time without being reported done.
const starvationTimeout = 90 * time.Second

// StarvationCheckInterval is the interval between calls of RecordFeasible.
const StarvationCheckInterval = 3 * time.Second

// FeasiblePlacement is a pending job and a machine with free capacity for it. Machine is empty for a gang, and
// for a job that needs no machine because all its tasks have completed.
type FeasiblePlacement struct {
	Job       api.JobID
	Machine   api.MachineID
	Completed bool
}

// reason describes why the job should have left its state.
func (p FeasiblePlacement) reason() string {
	switch {
	case p.Completed:
		return "all its tasks had completed"
	case p.Machine == "":
		return "machines for all its tasks had free capacity"
	}
	return string(p.Machine) + " had free capacity"
}

// feasibleTimes holds the time since which each placement has been feasible.
type feasibleTimes map[FeasiblePlacement]time.Duration

// WithinLimit reports whether a usage is within the team's limit.
func (c *Checker) WithinLimit(team api.Team, usage api.Resources) bool {
	for _, t := range c.config.Deployment.Teams {
		if t.Name == team && (t.CPUsMax > 0 && usage.CPU > api.ToQuantity(t.CPUsMax) || t.GPUsMax > 0 && usage.GPU > api.ToQuantity(t.GPUsMax)) {
			return false
		}
	}
	return true
}

// RecordFeasible records the placements that are feasible now, and a violation for each job with a placement
// that has been feasible for starvationTimeout.
func (c *Checker) RecordFeasible(at time.Duration, feasible map[FeasiblePlacement]bool) {
	for placement := range c.feasibleSince {
		if !feasible[placement] {
			delete(c.feasibleSince, placement)
		}
	}
	inOrder := func(a, b FeasiblePlacement) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Machine, b.Machine))
	}
	for _, k := range slices.SortedFunc(maps.Keys(feasible), inOrder) { // sorted, so that a run is reproducible
		since, ok := c.feasibleSince[k]
		if !ok {
			c.feasibleSince[k] = at
		} else if at >= since+starvationTimeout && !c.starvationReported[k.Job] {
			c.starvationReported[k.Job] = true
			c.RecordViolation(at, RuleStarvation, "job %s is pending though %s since %.1f s", k.Job, k.reason(), since.Seconds())
		}
	}
}

// ResetFeasible discards the recorded placements. It is called during faults.
func (c *Checker) ResetFeasible() { clear(c.feasibleSince) }
