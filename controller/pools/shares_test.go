package pools

import (
	"strings"
	"testing"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/controller/core"
	"basaltwall/pool"
)

// Shares of a pool whose record would exceed a value are not written: the write would be refused again and
// again.
func TestTooLargeSharesAreNotWritten(t *testing.T) {
	for _, c := range []struct {
		valueKB float64
		writes  int
	}{{8, 1}, {1, 0}} {
		shared := core.New(&config.Config{Deployment: config.Deployment{}}, 1)
		shared.Config.Deployment.State.ValueKB, shared.Config.Deployment.State.TxnOps = c.valueKB, 12
		shared.State = clusterstate.New[core.JobOwnerState, core.PlacementOwnerState](2)
		owned := &core.OwnedPartition{ID: 0, Term: 7}
		pm := New(shared)
		pm.shareWrites = map[api.PoolName]bool{}
		entry := &pool.Entry{Pool: pool.Pool{Name: "routing", Unit: strings.Repeat("x", 2000), Size: 9, State: pool.Active, Shares: []int{9, 0}}, Revision: 5}
		job := &core.Job{ID: "run-1", JobValue: clusterstate.JobValue{Spec: &api.JobSpec{Kind: api.Service}}}
		pm.moveShares(owned, entry, []request{{job: job, partition: 1, demand: pool.Demand{Partition: 1, Units: 1, Starts: 4}}})
		if effects := shared.TakeEffects(); len(effects) != c.writes {
			t.Errorf("value_kb %v: %d writes, expected %d", c.valueKB, len(effects), c.writes)
		}
	}
}
