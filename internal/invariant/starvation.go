package invariant

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
)

// This file has the rule left_waiting: no job waits while there is free capacity for it.

// A job is left waiting when, all faults over, one machine has had free capacity for a task of it
// for starvationTimeout, at each check, and its team was under its limit all that time: by what is on
// machines alone, whatever controllers reserve capacity or quota for. A gang is when there has been
// free capacity for all of it.
const starvationTimeout = 90 * time.Second

// StarvationCheckInterval is how often feasible placements are to be recorded.
const StarvationCheckInterval = 3 * time.Second

// FeasiblePlacement is a job and a machine that has had free capacity for it; of a gang no single machine.
type FeasiblePlacement struct {
	Job     api.JobID
	Machine api.MachineID
}

// feasibleTimes is since when a placement has been feasible.
type feasibleTimes map[FeasiblePlacement]time.Duration

// WithinLimit reports whether a team that uses so much is within its limit.
func (c *Checker) WithinLimit(team api.Team, usage api.Resources) bool {
	for _, t := range c.config.Deployment.Teams {
		if t.Name == team && (t.CPUsMax > 0 && usage.CPU > api.ToQuantity(t.CPUsMax) || t.GPUsMax > 0 && usage.GPU > api.ToQuantity(t.GPUsMax)) {
			return false
		}
	}
	return true
}

// RecordFeasible notes which placements are feasible now, and the jobs for which one has been for too long.
func (c *Checker) RecordFeasible(at time.Duration, feasible map[FeasiblePlacement]bool) {
	for placement := range c.feasibleSince {
		if !feasible[placement] {
			delete(c.feasibleSince, placement)
		}
	}
	inOrder := func(a, b FeasiblePlacement) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Machine, b.Machine))
	}
	for _, k := range slices.SortedFunc(maps.Keys(feasible), inOrder) { // so that the same is named each time
		since, ok := c.feasibleSince[k]
		if !ok {
			c.feasibleSince[k] = at
		} else if at >= since+starvationTimeout && !c.starvationReported[k.Job] {
			c.starvationReported[k.Job] = true
			where := "machines that fit it whole have"
			if k.Machine != "" {
				where = string(k.Machine) + " has"
			}
			c.RecordViolation(at, RuleLeftWaiting, "%s waits though %s had room since %.1f s", k.Job, where, since.Seconds())
		}
	}
}

// ResetFeasible forgets the feasible placements, as while there is a fault.
func (c *Checker) ResetFeasible() { clear(c.feasibleSince) }
