package standin

import (
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/config"
)

// What is refused as it should be is no news, and what is not answered is asked again.
func TestRefusalsOfBadJobs(t *testing.T) {
	c := NewChecker(&config.Config{})
	if !c.ToldBad(0, "run-9", "no cores", 400, "cores", "cores: missing or invalid") || !c.ToldBad(0, "run-9", "fits nothing", 422, "", "cores: a task fits no allowed machine type") ||
		c.ToldBad(0, "run-9", "no cores", 503, "cores", "") || c.ToldBad(0, "run-9", "no cores", 0, "cores", "") || len(c.Broken) > 0 {
		t.Errorf("found %q", c.Broken)
	}
}

// On a machine that is empty a job that waits is left waiting after 90 s, whatever keeps the
// controllers from starting it; not one for which there is no room, that is not allowed there,
// whose team is at its limit, that was called off, or while there is trouble.
func TestWhoIsLeftWaiting(t *testing.T) {
	cfg, err := config.Parse([]byte(`{"label":"n","api_addr":"10.0.0.1:1","peer_listen":"10.0.0.1:2",
"external":{"cloud":"10.0.0.2:1","state":"10.0.0.3:1"},"deployment":{"initial_size":1,"zones":["a","b"],
"teams":[{"name":"red","cpus_max":6}],"workers":{"report_s":3,"lease_s":30,"cancel_s":60},
"state":{"rps":100,"write_rps":50,"value_kb":8,"txn_ops":12},"cloud":{"rps":10}}}`))
	if err != nil {
		t.Fatal(err)
	}
	see := func(then func(*World, *api.JobSpec)) int {
		w := NewWorld(1, []*config.Config{cfg}) // no controller runs
		w.Cloud.Types = []api.MachineType{{Name: "c8", CPUs: 8, MemGB: 32, Zones: []api.Zone{"a", "b"}}}
		w.Cloud.Rent("c8", "a", false, 0)
		s := &api.JobSpec{Ref: "run-1", Team: "red", Kind: api.Array, Tasks: 2, CPUs: 2, MemGB: 1}
		w.Check.Submitted(0, s, time.Minute)
		w.Check.Told(0, s.Ref, 201, api.JobPending, "")
		w.Users.Accepted[s.Ref] = 0
		then(w, s)
		w.Run(130 * time.Second)
		return len(w.Check.Broken)
	}
	for what, tc := range map[string]struct {
		then func(*World, *api.JobSpec)
		want int
	}{
		"it waits":             {func(*World, *api.JobSpec) {}, 1},
		"a gang waits":         {func(_ *World, s *api.JobSpec) { s.Kind = api.Gang }, 1},
		"too large":            {func(_ *World, s *api.JobSpec) { s.CPUs = 9 }, 0},
		"the limit":            {func(_ *World, s *api.JobSpec) { s.CPUs = 7 }, 0},
		"a gang's limit":       {func(_ *World, s *api.JobSpec) { s.Kind, s.CPUs = api.Gang, 4 }, 0},
		"a gang and two zones": {func(_ *World, s *api.JobSpec) { s.Kind, s.Spread = api.Gang, true }, 0},
		"another zone":         {func(_ *World, s *api.JobSpec) { s.Zone = "b" }, 0},
		"another type":         {func(_ *World, s *api.JobSpec) { s.Types = []api.TypeName{"g8"} }, 0},
		"called off":           {func(w *World, s *api.JobSpec) { w.Check.AskedCancel(0, s.Ref) }, 0},
		"trouble":              {func(w *World, _ *api.JobSpec) { w.Check.Trouble(50 * time.Second) }, 0},
		"it hangs for a while": {func(w *World, _ *api.JobSpec) {
			w.After(60*time.Second, func() { w.Hang("i-000000", time.Second) })
		}, 0},
	} {
		if got := see(tc.then); got != tc.want {
			t.Errorf("%s: %d found, expected %d", what, got, tc.want)
		}
	}
}
