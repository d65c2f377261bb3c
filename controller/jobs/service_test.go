package jobs

import (
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/controller/core"
)

// Fakes of the components that a Service calls. A method that a test does not expect panics, as
// its embedded interface is nil.
type (
	noCapacity      struct{ Capacity }
	noPools         struct{ Pools }
	noPriorityRules struct{ Priorities }
	idleLedger      struct{ Skips }
)

func (noCapacity) FreeCapacityGroups() []core.FreeCapacityGroup     { return nil }
func (noPools) PoolPendingReason(*core.Job, api.PartitionID) string { return "" }
func (noPriorityRules) HigherPriorityRule(spec *api.JobSpec) string { return "" }
func (idleLedger) RecentlyWrote() bool                              { return false }

// newTestService returns the Service of the only controller of a cluster with one partition, a
// machine type of 8 CPUs and a team "red".
func newTestService(t testing.TB) *Service {
	t.Helper()
	cfg, err := config.Parse([]byte(`{"label":"n","api_addr":"10.0.0.1:1","peer_listen":"10.0.0.1:2",
"external":{"cloud":"10.0.0.2:1","state":"10.0.0.3:1"},"deployment":{"initial_size":1,"zones":["a","b"],
"teams":[{"name":"red"}],"workers":{"report_s":3,"lease_s":30,"cancel_s":60},
"state":{"rps":100,"write_rps":50,"value_kb":8,"txn_ops":12},"cloud":{"rps":10}}}`))
	if err != nil {
		t.Fatal(err)
	}
	shared := core.New(cfg, 1)
	shared.Now, shared.Loaded = api.Time(time.Minute), true
	shared.State = clusterstate.New[core.JobOwnerState, core.PlacementOwnerState](1)
	shared.Teams = map[api.Team]config.Team{"red": {Name: "red"}}
	shared.AddMachineTypes([]api.MachineType{{Name: "c8", CPUs: 8, MemGB: 32, Zones: []api.Zone{"a", "b"}}})
	service := New(shared)
	service.Connect(Dependencies{Capacity: noCapacity{}, Pools: noPools{}, Priorities: noPriorityRules{}, Skips: idleLedger{}})
	return service
}
