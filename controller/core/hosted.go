package core

// This file holds what the components share of a hosted service: the keys and bounds that rounds
// are conditional on, and the team records that operators see.

import (
	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/tenant"
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

// AddRoundPools adds the pools of a job's requests to those that a round hands out units of, or
// reports false and adds none if they would be more than MaxRoundPools. Jobs that hold their units
// already may start tasks whatever pools a round looks at.
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

// TeamRecord is a team that operators made, as it is shown.
type TeamRecord struct {
	tenant.Team
	Tenant   tenant.Name  `json:"tenant,omitempty"` // that the team belongs to
	Revision api.Revision `json:"revision"`
}
