package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// testSpec is an array job of so many small tasks.
func testSpec(tasks int) *api.JobSpec {
	return &api.JobSpec{Ref: "run-1", Team: "red", Kind: api.Array, Priority: api.Normal, Tasks: tasks, CPUs: 1}
}

// newTestOwner is a controller that owns part 0 under term 7, with one usable machine,
// i-000000 in zone a, and a job of the given kind accepted.
func newTestOwner(t testing.TB, spec *api.JobSpec) (*Controller, *core.OwnedPartition, *core.Machine, *core.Job) {
	t.Helper()
	cfg, err := config.Parse([]byte(`{"label":"n","api_addr":"10.0.0.1:1","peer_listen":"10.0.0.1:2",
"external":{"cloud":"10.0.0.2:1","state":"10.0.0.3:1"},"deployment":{"initial_size":1,"zones":["a","b"],
"teams":[{"name":"red"}],"workers":{"report_s":3,"lease_s":30,"cancel_s":60},
"state":{"rps":100,"write_rps":50,"value_kb":8,"txn_ops":12},"cloud":{"rps":10}}}`))
	if err != nil {
		t.Fatal(err)
	}
	n := New(cfg, 1)
	n.core.Now, n.core.Loaded = api.Time(time.Minute), true
	n.core.AddMachineTypes([]api.MachineType{{Name: "c8", CPUs: 8, MemGB: 32, Zones: []api.Zone{"a", "b"}}})
	for key, v := range map[string]any{clusterstate.KeyPartition + "0": clusterstate.PartitionValue{Owner: "n"}, clusterstate.KeyJob + string(spec.Ref): clusterstate.JobValue{Spec: spec, Split: []clusterstate.TaskRange{{From: 0, To: spec.Tasks}}}} {
		data, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		if err := n.core.State.Put(key, data, 7); err != nil {
			t.Fatal(err)
		}
	}
	n.scheduler.BeginOwnership(0, 7)
	m := n.agents.EnsureMachine("i-000000")
	m.MachineType, m.Zone, m.LastHeartbeat, m.Epoch, m.ReportedToken = "c8", "a", n.core.Now, 1, 7
	return n, n.core.Partitions[0], m, n.core.State.Jobs[spec.Ref]
}

// A deposed owner's late round must not be written even into a slot that nobody
// has used since: the term alone says so then.
func TestRoundIsConditionalOnTerm(t *testing.T) {
	n, owned, _, _ := newTestOwner(t, testSpec(2))
	n.scheduler.RunPartition(owned)
	want := api.Condition{Key: clusterstate.KeyPartition + "0", Version: 7}
	for _, e := range n.core.Effects {
		if c, ok := e.(message.StoreCall); ok && c.Txn != nil && len(c.Txn.Writes) == 1 && c.Txn.Writes[0].Put == clusterstate.RoundKey(0, 1) {
			if !slices.Contains(c.Txn.If, want) {
				t.Errorf("the round is written on %v, without %v", c.Txn.If, want)
			}
			return
		}
	}
	t.Errorf("no round is written: %v", n.core.Effects)
}

// Where a job's tasks bind each other, none starts while a task of it may be in
// a zone that is not known.
func TestUnknownZoneBlocksConstrainedJobs(t *testing.T) {
	for _, bound := range []bool{false, true} {
		spec := testSpec(4)
		spec.Spread = bound
		n, owned, _, j := newTestOwner(t, spec)
		n.core.State.AddPlacement(&core.Placement{Task: api.TaskID{Job: j.ID, Index: 0}, Machine: "i-000009", Epoch: 1, Attempt: 1, Job: j})
		round := n.scheduler.PlanRound(owned)
		if got := len(round.Starts) > 0; got == bound {
			t.Errorf("spread %v, a place in an unknown zone: %d starts", bound, len(round.Starts))
		}
	}
}

// A round stays within a value of the state service however much it starts and
// ends at once, and what is left follows in the next.
func TestRoundFitsItsRecord(t *testing.T) {
	spec := testSpec(3000)
	spec.CPUs = 0.001
	n, owned, _, j := newTestOwner(t, spec)
	for i := range 1200 {
		m := n.agents.EnsureMachine(api.MachineID(fmt.Sprintf("i-%06d", i)))
		m.MachineType, m.Zone, m.LastHeartbeat, m.Epoch, m.ReportedToken = "c8", "a", n.core.Now, 1, 7
		p := &core.Placement{Task: api.TaskID{Job: j.ID, Index: i}, Machine: m.ID, Epoch: 1, Attempt: 1, Job: j}
		n.core.State.AddPlacement(p)
		n.scheduler.RecordTaskEnd(owned, p, i%2 == 0, "test")
	}
	rounds := 0
	for ; len(owned.PendingEnds) > 0 && rounds < 100; rounds++ {
		round := n.scheduler.PlanRound(owned)
		body, err := json.Marshal(round.Record)
		if err != nil || len(body) > 8<<10 {
			t.Fatalf("a record of %d bytes: %v", len(body), err)
		}
		if len(round.Ends)+len(round.Starts) == 0 {
			t.Fatal("a round that does nothing while there is work")
		}
		n.core.State.ApplyRecord(0, &round.Record)
	}
	if rounds > 20 {
		t.Errorf("%d rounds for 1200 ends", rounds)
	}
}

// A job that has no time to run a task again, also when an earlier limit is missed
// already, is at risk on spot machines; one that has time is not.
func TestTightDeadlineAvoidsSpot(t *testing.T) {
	spec := testSpec(40)
	spec.Spot, spec.Estimate = true, 100
	n, _, _, j := newTestOwner(t, spec)
	for _, c := range []struct {
		deadline, elapsed float64
		off               bool
	}{{150, 0, true}, {300, 0, false}, {5000, 0, false}, {5000, 4850, true}, {50, 0, false}} {
		spec := *j.Spec
		spec.Deadline = &c.deadline
		j.Spec = &spec
		n.core.WallClock = j.AcceptedAt + api.WallTime(c.elapsed*1000)
		if risk := n.scheduler.SpotRisk(j); (risk >= 0.5) != c.off || !c.off && risk > 0.1 {
			t.Errorf("deadline %v s, %v s gone, runs 100 s: risk %.2f", c.deadline, c.elapsed, risk)
		}
	}
}
