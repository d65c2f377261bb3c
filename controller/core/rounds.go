package core

// This file has what rounds share with the components that they ask.

import "time"

// UnmetDemandRecheckInterval is how often a round looks again at jobs that found no free
// capacity when nothing else changes.
const UnmetDemandRecheckInterval = 3 * time.Second

// RuntimeSafetyFactor is how much longer than estimated the longest of a job's tasks is taken
// to run.
const RuntimeSafetyFactor = 1.2
