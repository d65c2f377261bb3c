package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/metrics"
	"basaltwall/pool"
)

// pooledOwner returns a controller of a hosted service with a job whose tasks each need a unit of a
// pool of the given size.
func pooledOwner(t testing.TB, size int) (*Controller, *core.OwnedPartition, *core.Job) {
	t.Helper()
	n, owned, j, _ := hostedOwner(t)
	n.core.State.Jobs[j.ID].Spec.Needs = []api.PoolRequest{{Pool: "routing", Task: 1}}
	putPool(t, n, "routing", size)
	return n, owned, j
}

// putPool stores a pool of the given size, with all units in partition 0.
func putPool(t testing.TB, n *Controller, name api.PoolName, size int) {
	t.Helper()
	data, err := json.Marshal(pool.Pool{Name: name, Size: size, MaxSize: size, State: pool.Active, Shares: []int{size}})
	if err != nil {
		t.Fatal(err)
	}
	if err := n.pools.Table().Put(string(name), data, 9); err != nil {
		t.Fatal(err)
	}
	n.core.State.SetVersion(core.KeyPool+string(name), 9)
}

// A round that assigns units of a pool is conditional on the pool's version; any other round has no
// condition on pools.
func TestRoundIsConditionalOnPools(t *testing.T) {
	conditions := func(n *Controller, owned *core.OwnedPartition) []api.Condition {
		n.scheduler.RunPartition(owned)
		for _, c := range takeStoreCalls(n) {
			if c.Txn != nil && len(c.Txn.Writes) == 1 && c.Txn.Writes[0].Put == clusterstate.RoundKey(0, 1) {
				return c.Txn.If
			}
		}
		t.Fatal("no round is written")
		return nil
	}
	n, owned, _ := pooledOwner(t, 3)
	if got := conditions(n, owned); !slices.Contains(got, api.Condition{Key: core.KeyPool + "routing", Version: 9}) {
		t.Errorf("conditions of a round that assigns units: %v", got)
	}
	n, owned, j := pooledOwner(t, 3)
	j.Spec.Needs = nil
	if got := conditions(n, owned); slices.ContainsFunc(got, func(c api.Condition) bool { return strings.HasPrefix(c.Key, core.KeyPool) }) {
		t.Errorf("conditions of a round that assigns no units: %v", got)
	}
}

// Units of a pool that is missing, frozen, exhausted or known only by an outdated record are not
// assigned, and no capacity is requested for tasks that wait for them.
func TestNoPoolUnitsNoStarts(t *testing.T) {
	for what, disable := range map[string]func(*Controller){
		"no units": func(n *Controller) { n.pools.Table().Get("routing").Shares[0] = 0 },
		"frozen":   func(n *Controller) { n.pools.Table().Get("routing").State = pool.Frozen },
		"no pool":  func(n *Controller) { *n.pools.Table() = *pool.NewTable(1) },
		// The latest record could not be decoded: the previous one is retained, while a round
		// would be conditional on the latest version.
		"undecodable record": func(n *Controller) { n.core.State.SetVersion(core.KeyPool+"routing", 11) },
	} {
		n, owned, j := pooledOwner(t, 3)
		if len(n.scheduler.PlanRound(owned).Starts) == 0 {
			t.Fatal("no task starts though the pool has units")
		}
		disable(n)
		if starts := n.scheduler.PlanRound(owned).Starts; len(starts) != 0 {
			t.Errorf("%s: %d tasks start", what, len(starts))
		}
		if len(owned.UnmetDemands) > 0 {
			t.Errorf("%s: the tasks count as unmet demand for machines", what)
		}
		if why := n.pools.PoolPendingReason(j, 0); !strings.Contains(why, "routing") {
			t.Errorf("%s: the pending reason is %q, expected the pool in it", what, why)
		}
	}
}

// BenchmarkRoundWithPools plans a round with 500 pending jobs, each of which needs a unit of one of
// several pools.
func BenchmarkRoundWithPools(b *testing.B) {
	for _, pools := range []int{0, 10, 200} {
		b.Run(fmt.Sprint(pools), func(b *testing.B) {
			n, owned, j := pooledOwner(b, 3)
			delete(n.core.State.PendingJobs, j.ID)
			for i := range 500 {
				spec := testSpec(4)
				spec.Ref = api.JobID(fmt.Sprintf("run-1%03d", i))
				if pools > 0 {
					name := api.PoolName(fmt.Sprintf("pool-%d", i%pools))
					spec.Needs = []api.PoolRequest{{Pool: name, Task: 1}}
					putPool(b, n, name, 3)
				}
				putJob(b, n, spec, "kipper", 0)
			}
			for b.Loop() {
				n.scheduler.PlanRound(owned)
			}
		})
	}
}

// A round has conditions on at most core.MaxRoundPools pools, also when more jobs already hold units
// and start further tasks. A transaction with too many conditions would be rejected on every attempt.
func TestRoundLimitsPools(t *testing.T) {
	n, owned, j := pooledOwner(t, 3)
	delete(n.core.State.PendingJobs, j.ID)
	const jobs = 20
	for i := range jobs {
		m := n.agents.EnsureMachine(api.MachineID(fmt.Sprintf("i-%06d", i)))
		m.MachineType, m.Zone, m.LastHeartbeat, m.Epoch, m.ReportedToken = "c8", "a", n.core.Now, 1, 7
		name := api.PoolName(fmt.Sprintf("pool-%d", i))
		putPool(t, n, name, 1)
		spec := testSpec(2)
		spec.Ref = api.JobID(fmt.Sprintf("run-1%03d", i))
		spec.Needs = []api.PoolRequest{{Pool: name, Job: 1}}
		n.core.State.AddPlacement(&core.Placement{Task: api.TaskID{Job: spec.Ref}, Machine: "i-000000", Epoch: 1, Attempt: 1, Job: putJob(t, n, spec, "kipper", 0)})
	}
	round := n.scheduler.PlanRound(owned)
	got := 0
	for _, c := range round.Txn.If {
		if strings.HasPrefix(c.Key, core.KeyPool) {
			got++
		}
	}
	if got != core.MaxRoundPools || len(round.Starts) != core.MaxRoundPools || !owned.NeedsRound {
		t.Errorf("%d conditions on pools and %d starts, expected %d of each; another round is due: %v", got, len(round.Starts), core.MaxRoundPools, owned.NeedsRound)
	}
}

// Metrics show the units held and pending of each pool, for at most metrics.MaxPools pools.
func TestPoolMetrics(t *testing.T) {
	n, owned, _ := pooledOwner(t, 3)
	round := n.scheduler.PlanRound(owned)
	n.core.State.ApplyRecord(0, &round.Record)
	if got := n.reporter.View().Pools["routing"]; got.Size != 3 || got.Held != len(round.Starts) || got.Held == 0 || got.PendingUnits != 4-got.Held {
		t.Errorf("%+v after %d starts of 4 tasks", got, len(round.Starts))
	}
	for i := range 300 {
		putPool(t, n, api.PoolName(fmt.Sprintf("pool-%d", i)), 0)
	}
	if got := len(n.reporter.View().Pools); got != metrics.MaxPools {
		t.Errorf("%d pools in the metrics, expected metrics.MaxPools", got)
	}
}
