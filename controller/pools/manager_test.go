package pools

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/controller/core"
	"basaltwall/pool"
	"basaltwall/tenant"
)

// newTestManager returns the Manager of a controller that owns partition 0, with a pool "routing" of
// the given size and a job that needs one unit of it for each task.
func newTestManager(t testing.TB, size int) (*Manager, *core.OwnedPartition, *core.Job) {
	t.Helper()
	cfg, err := config.Parse([]byte(`{"label":"n","api_addr":"10.0.0.1:1","peer_listen":"10.0.0.1:2",
"external":{"cloud":"10.0.0.2:1","state":"10.0.0.3:1"},"deployment":{"initial_size":1,"zones":["a","b"],
"teams":[{"name":"red"}],"workers":{"report_s":3,"lease_s":30,"cancel_s":60},
"state":{"rps":100,"write_rps":50,"value_kb":8,"txn_ops":12},"cloud":{"rps":10}}}`))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Hosted = &config.Hosted{}
	k := core.New(cfg, 1)
	pm := New(k)
	k.State = clusterstate.New[core.JobOwnerState, core.PlacementOwnerState](cfg.Deployment.InitialSize, pm.RecordKinds()...)
	owned := &core.OwnedPartition{ID: 0, Term: 7}
	k.Partitions[0] = owned
	spec := &api.JobSpec{Ref: "run-1", Team: "red", Kind: api.Array, Priority: api.Normal, Tasks: 4, CPUs: 1, Needs: []api.PoolRequest{{Pool: "routing", Task: 1}}}
	putRecord(t, k, clusterstate.KeyJob+string(spec.Ref), clusterstate.JobValue{Spec: spec, Split: []clusterstate.TaskRange{{From: 0, To: spec.Tasks}}}, 7)
	putRecord(t, k, core.KeyPool+"routing", pool.Pool{Name: "routing", Size: size, MaxSize: size, State: pool.Active, Shares: []int{size}}, 9)
	j := k.State.Jobs[spec.Ref]
	j.Tenant, j.TenantJobID = "kipper", "run-1"
	return pm, owned, j
}

func putRecord(t testing.TB, k *core.Core, key string, value any, version api.Revision) {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if err := k.State.Put(key, data, version); err != nil {
		t.Fatal(err)
	}
}

// Pools add no cost to a round of jobs that need none.
func TestJobsWithoutPoolsAllocateNothing(t *testing.T) {
	pm, owned, j := newTestManager(t, 3)
	j.Spec.Needs = nil
	jobs := slices.Repeat([]*core.Job{j}, 1000)
	if allocs := testing.AllocsPerRun(10, func() { pm.AllocatePoolUnits(owned, jobs) }); allocs != 0 {
		t.Errorf("%v allocations", allocs)
	}
}

// A tenant that may not use a pool gets the same answer as for a pool that does not exist.
func TestPoolAccess(t *testing.T) {
	pm, _, j := newTestManager(t, 3)
	entry := pm.Table().Get("routing")
	entry.Tenants = []tenant.Name{"lopresti"}
	refusal := pm.CheckPoolRequests(j.Spec, "kipper")
	other := *j.Spec
	other.Needs = []api.PoolRequest{{Pool: "nothing", Task: 1}}
	if strings.ReplaceAll(pm.CheckPoolRequests(&other, "kipper"), "nothing", "routing") != refusal || refusal == "" {
		t.Errorf("%q, but %q for a pool that does not exist", refusal, pm.CheckPoolRequests(&other, "kipper"))
	}
	if reason := pm.CheckPoolRequests(j.Spec, "lopresti"); reason != "" {
		t.Errorf("an allowed tenant is refused: %s", reason)
	}
	tooMany := *j.Spec
	tooMany.Needs = []api.PoolRequest{{Pool: "routing", Task: 4}}
	if reason := pm.CheckPoolRequests(&tooMany, "lopresti"); !strings.Contains(reason, "never has more than 3") {
		t.Errorf("4 of 3 units: %q", reason)
	}
}
