package core

// This file has what rounds share with the components that they ask: keys that a round is
// conditional on, its bounds, and how long runs are taken to be.

import (
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
)

const (
	// KeyGate is written with every suspension of a tenant. Every round is conditional on it, so
	// that none composed before can be written after; see docs/tenants.md.
	KeyGate = clusterstate.Root + "gate"
	// KeyPool holds a pool's record. A round that hands out units is conditional on it as it was
	// read; see docs/pools.md.
	KeyPool = clusterstate.Root + "pool/"
)

// MaxRoundPools is how many pools a round hands out units of at most: each is one condition of
// its transaction.
const MaxRoundPools = 8

// AddRoundPools adds pools to those that a round names, or reports that they would be too many:
// jobs that hold their own units already may start tasks whatever pools a round looks at.
func AddRoundPools(named map[api.PoolName]bool, needs []api.PoolRequest) bool {
	added := 0
	for _, need := range needs {
		if !named[need.Pool] {
			added++
		}
	}
	if len(named)+added > MaxRoundPools {
		return false
	}
	for _, need := range needs {
		named[need.Pool] = true
	}
	return true
}

const (
	// DeferredJobsInterval is how soon the jobs that a round left out have their turn if nothing
	// else makes the partition run one.
	DeferredJobsInterval = time.Second
	// UnmetDemandRecheckInterval is how often a round looks again at jobs that found no free
	// capacity when nothing else changes.
	UnmetDemandRecheckInterval = 3 * time.Second
)

// RuntimeSafetyFactor is how much longer than estimated the longest of a job's tasks is taken
// to run.
const RuntimeSafetyFactor = 1.2

// SecondsSinceAcceptance is for how long a job has been accepted, in seconds. It may be negative,
// as another controller's clock may have told the time of acceptance.
func (k *Core) SecondsSinceAcceptance(j *Job) float64 {
	return float64(k.WallClock-j.AcceptedAt) / 1000
}
