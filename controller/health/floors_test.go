package health

import (
	"math"
	"testing"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/controller/core"
	"basaltwall/zonehealth"
)

// newTestMonitor returns a monitor whose controller owns one of two partitions, and a job array of ten
// tasks with 2 CPUs each.
func newTestMonitor(t *testing.T) (*Monitor, *core.Job) {
	t.Helper()
	cfg, err := config.Parse([]byte(`{"label":"n","api_addr":"10.0.0.1:1","peer_listen":"10.0.0.1:2",
"external":{"cloud":"10.0.0.2:1","state":"10.0.0.3:1"},"deployment":{"initial_size":2,"zones":["a","b"],
"teams":[{"name":"red"}],"workers":{"report_s":3,"lease_s":30,"cancel_s":60},
"state":{"rps":100,"write_rps":50,"value_kb":8,"txn_ops":12},"cloud":{"rps":10}}}`))
	if err != nil {
		t.Fatal(err)
	}
	shared := core.New(cfg, 1)
	shared.State = clusterstate.New[core.JobOwnerState, core.PlacementOwnerState](cfg.Deployment.InitialSize)
	shared.Partitions[0] = &core.OwnedPartition{ID: 0, Term: 7}
	spec := &api.JobSpec{Ref: "run-1", Team: "red", Class: "batch", Kind: api.Array, Priority: api.Normal, Tasks: 10, CPUs: 2}
	return New(shared), &core.Job{ID: spec.Ref, JobValue: clusterstate.JobValue{Spec: spec}, Demand: spec.Demand()}
}

// A task may be preempted only if neither its class nor its team falls below its floor.
func TestPreemptionStopsAtFloors(t *testing.T) {
	mon, j := newTestMonitor(t)
	p := &core.Placement{Task: api.TaskID{Job: j.ID}, Job: j}
	for _, tc := range []struct {
		what   string
		floors Floors
		want   bool
	}{
		{"no floors", Floors{}, true},
		{"class and team newer than the floors", Floors{Classes: map[api.Class]zonehealth.Allowance{}}, true},
		{"class and team above their floors", testFloors(2, 2), true},
		{"class at its floor", testFloors(1.5, 2), false},
		{"team at its floor", testFloors(2, 1.5), false},
	} {
		mon.Floors = tc.floors
		if got := mon.IsPreemptible(p); got != tc.want {
			t.Errorf("%s: preemptible: %v", tc.what, got)
		}
	}
}

// testFloors returns floors with the given preemptible CPUs of the test's class and team.
func testFloors(class, team float64) Floors {
	return Floors{
		Classes: map[api.Class]zonehealth.Allowance{"batch": {Preemptible: class, Headroom: math.Inf(1)}},
		Teams:   map[api.Team]zonehealth.Allowance{"red": {Preemptible: team, Headroom: math.Inf(1)}},
	}
}

// Starts and preemptions adjust the floors until their next computation.
func TestFloorsFollowStartsAndPreemptions(t *testing.T) {
	mon, j := newTestMonitor(t)
	mon.Floors = testFloors(3, 5)
	mon.AdjustFloors(j.Spec, -2)
	if class, team := mon.Floors.Classes["batch"].Preemptible, mon.Floors.Teams["red"].Preemptible; class != 1 || team != 3 {
		t.Errorf("after a preemption of 2 CPUs, %v and %v CPUs are preemptible, expected 1 and 3", class, team)
	}
	mon.AdjustFloors(&api.JobSpec{Class: "other", Team: "blue"}, 2)
	if len(mon.Floors.Classes) != 1 || len(mon.Floors.Teams) != 1 {
		t.Error("AdjustFloors added a floor for a new class or team")
	}
}

// A job may use its owner's share of the smaller headroom, and a gang all of it.
func TestStartAllowanceWithinHeadroom(t *testing.T) {
	mon, j := newTestMonitor(t)
	if got := mon.StartAllowance(j); got != 10 {
		t.Errorf("%d tasks may start without floors, expected all 10", got)
	}
	mon.Floors = Floors{
		Classes: map[api.Class]zonehealth.Allowance{"batch": {Headroom: 16}},
		Teams:   map[api.Team]zonehealth.Allowance{"red": {Headroom: 12}},
	}
	if got := mon.StartAllowance(j); got != 3 {
		t.Errorf("%d tasks may start, expected 3 in half of 12 CPUs", got)
	}
	j.Spec.Kind = api.Gang
	if got := mon.StartAllowance(j); got != 6 {
		t.Errorf("%d tasks of a gang may start, expected 6 in 12 CPUs", got)
	}
}
