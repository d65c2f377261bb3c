package emulator

import (
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/config"
)

// On a machine that is empty a job that waits is left waiting after 90 s, whatever keeps the
// controllers from starting it; not one for which there is no capacity, that is not allowed there,
// whose team is at its limit, that was cancelled, or while there is a fault.
func TestStarvationDetection(t *testing.T) {
	cfg, err := config.Parse([]byte(`{"label":"n","api_addr":"10.0.0.1:1","peer_listen":"10.0.0.1:2",
"external":{"cloud":"10.0.0.2:1","state":"10.0.0.3:1"},"deployment":{"initial_size":1,"zones":["a","b"],
"teams":[{"name":"red","cpus_max":6}],"workers":{"report_s":3,"lease_s":30,"cancel_s":60},
"state":{"rps":100,"write_rps":50,"value_kb":8,"txn_ops":12},"cloud":{"rps":10}}}`))
	if err != nil {
		t.Fatal(err)
	}
	countViolations := func(then func(*Simulation, *api.JobSpec)) int {
		sim := NewSimulation(1, []*config.Config{cfg}) // no controller runs
		sim.Cloud.Types = []api.MachineType{{Name: "c8", CPUs: 8, MemGB: 32, Zones: []api.Zone{"a", "b"}}}
		sim.Cloud.Launch("c8", "a", false, 0)
		s := &api.JobSpec{Ref: "run-1", Team: "red", Kind: api.Array, Tasks: 2, CPUs: 2, MemGB: 1}
		sim.Checker.JobSubmitted(0, s, time.Minute)
		sim.Checker.ResponseReceived(0, s.Ref, 201, api.JobPending, "")
		sim.Users.AcceptedAt[s.Ref] = 0
		then(sim, s)
		sim.Run(130 * time.Second)
		return len(sim.Checker.Violations)
	}
	for what, tc := range map[string]struct {
		then func(*Simulation, *api.JobSpec)
		want int
	}{
		"it waits":             {func(*Simulation, *api.JobSpec) {}, 1},
		"a gang waits":         {func(_ *Simulation, s *api.JobSpec) { s.Kind = api.Gang }, 1},
		"too large":            {func(_ *Simulation, s *api.JobSpec) { s.CPUs = 9 }, 0},
		"the limit":            {func(_ *Simulation, s *api.JobSpec) { s.CPUs = 7 }, 0},
		"a gang's limit":       {func(_ *Simulation, s *api.JobSpec) { s.Kind, s.CPUs = api.Gang, 4 }, 0},
		"a gang and two zones": {func(_ *Simulation, s *api.JobSpec) { s.Kind, s.Spread = api.Gang, true }, 0},
		"another zone":         {func(_ *Simulation, s *api.JobSpec) { s.Zone = "b" }, 0},
		"another type":         {func(_ *Simulation, s *api.JobSpec) { s.Types = []api.MachineTypeName{"g8"} }, 0},
		"cancelled":            {func(sim *Simulation, s *api.JobSpec) { sim.Checker.CancelRequested(0, s.Ref) }, 0},
		"a fault":              {func(sim *Simulation, _ *api.JobSpec) { sim.Checker.FaultUntil(50 * time.Second) }, 0},
		"it hangs for a while": {func(sim *Simulation, _ *api.JobSpec) {
			sim.After(60*time.Second, func() { sim.Hang("i-000000", time.Second) })
		}, 0},
	} {
		if got := countViolations(tc.then); got != tc.want {
			t.Errorf("%s: %d found, expected %d", what, got, tc.want)
		}
	}
}
