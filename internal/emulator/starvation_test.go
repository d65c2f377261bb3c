package emulator

import (
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/config"
)

// A pending job that fits an empty machine violates the rule left_waiting after the timeout. A job that does
// not fit, is not allowed on the machine, exceeds its team's limit or is cancelled does not, nor any job
// during a fault.
func TestStarvationDetection(t *testing.T) {
	cfg, err := config.Parse([]byte(`{"label":"n","api_addr":"10.0.0.1:1","peer_listen":"10.0.0.1:2",
"external":{"cloud":"10.0.0.2:1","state":"10.0.0.3:1"},"deployment":{"initial_size":1,"zones":["a","b"],
"teams":[{"name":"red","cpus_max":6}],"workers":{"report_s":3,"lease_s":30,"cancel_s":60},
"state":{"rps":100,"write_rps":50,"value_kb":8,"txn_ops":12},"cloud":{"rps":10}}}`))
	if err != nil {
		t.Fatal(err)
	}
	countViolations := func(prepare func(*Simulation, *api.JobSpec)) int {
		sim := NewSimulation(1, []*config.Config{cfg}) // no controller runs
		sim.Cloud.Types = []api.MachineType{{Name: "c8", CPUs: 8, MemGB: 32, Zones: []api.Zone{"a", "b"}}}
		sim.Cloud.Launch("c8", "a", false, 0)
		s := &api.JobSpec{Ref: "run-1", Team: "red", Kind: api.Array, Tasks: 2, CPUs: 2, MemGB: 1}
		sim.Checker.JobSubmitted(0, s, time.Minute)
		sim.Checker.ResponseReceived(0, s.Ref, 201, api.JobPending, "")
		sim.Users.AcceptedAt[s.Ref] = 0
		prepare(sim, s)
		sim.Run(130 * time.Second)
		return len(sim.Checker.Violations)
	}
	for what, tc := range map[string]struct {
		prepare func(*Simulation, *api.JobSpec)
		want    int
	}{
		"a pending job":           {func(*Simulation, *api.JobSpec) {}, 1},
		"a pending gang":          {func(_ *Simulation, s *api.JobSpec) { s.Kind = api.Gang }, 1},
		"too large":               {func(_ *Simulation, s *api.JobSpec) { s.CPUs = 9 }, 0},
		"above the limit":         {func(_ *Simulation, s *api.JobSpec) { s.CPUs = 7 }, 0},
		"a gang above the limit":  {func(_ *Simulation, s *api.JobSpec) { s.Kind, s.CPUs = api.Gang, 4 }, 0},
		"a spread gang, one zone": {func(_ *Simulation, s *api.JobSpec) { s.Kind, s.Spread = api.Gang, true }, 0},
		"another zone":            {func(_ *Simulation, s *api.JobSpec) { s.Zone = "b" }, 0},
		"another type":            {func(_ *Simulation, s *api.JobSpec) { s.Types = []api.MachineTypeName{"g8"} }, 0},
		"cancelled":               {func(sim *Simulation, s *api.JobSpec) { sim.Checker.CancelRequested(0, s.Ref) }, 0},
		"during a fault":          {func(sim *Simulation, _ *api.JobSpec) { sim.Checker.RecordFaultUntil(50 * time.Second) }, 0},
		"the machine hangs": {func(sim *Simulation, _ *api.JobSpec) {
			sim.After(60*time.Second, func() { sim.Hang("i-000000", time.Second) })
		}, 0},
	} {
		if got := countViolations(tc.prepare); got != tc.want {
			t.Errorf("%s: %d violations, expected %d", what, got, tc.want)
		}
	}
}
