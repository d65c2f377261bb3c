package core

// This file has what rounds share with the components that they ask.

import "time"

// UnmetDemandRecheckInterval is how often a round looks again at jobs that found no free capacity
// when nothing else changes.
const UnmetDemandRecheckInterval = 3 * time.Second

// RuntimeSafetyFactor is how much longer than estimated the longest of a job's tasks is taken
// to run.
const RuntimeSafetyFactor = 1.2

// SecondsSinceAcceptance is for how long a job has been accepted, in seconds. It may be negative,
// as another controller's clock may have told the time of acceptance.
func (k *Core) SecondsSinceAcceptance(j *Job) float64 {
	return float64(k.WallClock-j.AcceptedAt) / 1000
}
