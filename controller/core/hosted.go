package core

// This file defines keys, limits and team records that the components of a hosted service share.

import (
	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/tenant"
)

const (
	// KeyGate is written with every suspension of a tenant. Every round is conditional on its version,
	// so a round composed before a suspension can't be committed after it; see docs/tenants.md.
	KeyGate = clusterstate.Root + "gate"
	// KeyPool is the prefix of the keys of pool records. A round that allocates units of a pool is
	// conditional on the version of the record that it read; see docs/pools.md.
	KeyPool = clusterstate.Root + "pool/"
)

// MaxRoundPools is the maximum number of pools from which a round allocates units: each pool is one
// condition of its transaction.
const MaxRoundPools = 8

// AddRoundPools adds the pools of a job's requests to the pools from which a round allocates units.
// If this would exceed MaxRoundPools, it adds none and returns false. This can happen because jobs
// that already hold their units may start tasks in any round, whatever pools it allocates from.
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

// TeamRecord is a team created by operators, as shown to them.
type TeamRecord struct {
	tenant.Team
	Tenant   tenant.Name  `json:"tenant,omitempty"` // owner of the team
	Revision api.Revision `json:"revision"`
}
