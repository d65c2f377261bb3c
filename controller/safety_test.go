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

// testSpec returns the specification of an array job with the given number of one-CPU tasks.
func testSpec(tasks int) *api.JobSpec {
	return &api.JobSpec{Ref: "run-1", Team: "red", Kind: api.Array, Priority: api.Normal, Tasks: tasks, CPUs: 1}
}

// newTestOwner returns a controller that owns partition 0 in term 7, its only machine, the
// schedulable i-000000 in zone a, and an accepted job with the given specification.
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

// A late round of a deposed owner must be rejected by the term, also when no later owner has used
// its slot.
func TestRoundIsConditionalOnTerm(t *testing.T) {
	n, owned, _, _ := newTestOwner(t, testSpec(2))
	n.scheduler.RunPartition(owned)
	want := api.Condition{Key: clusterstate.KeyPartition + "0", Version: 7}
	for _, e := range n.core.Effects {
		if c, ok := e.(message.StoreCall); ok && c.Txn != nil && len(c.Txn.Writes) == 1 && c.Txn.Writes[0].Put == clusterstate.RoundKey(0, 1) {
			if !slices.Contains(c.Txn.If, want) {
				t.Errorf("the conditions of the round are %v, without %v", c.Txn.If, want)
			}
			return
		}
	}
	t.Errorf("no round is written: %v", n.core.Effects)
}

// A job with zone constraints starts no task while one of its tasks is in an unknown zone.
func TestUnknownZoneBlocksConstrainedJobs(t *testing.T) {
	for _, constrained := range []bool{false, true} {
		spec := testSpec(4)
		spec.Spread = constrained
		n, owned, _, j := newTestOwner(t, spec)
		n.core.State.AddPlacement(&core.Placement{Task: api.TaskID{Job: j.ID, Index: 0}, Machine: "i-000009", Epoch: 1, Attempt: 1, Job: j})
		round := n.scheduler.PlanRound(owned)
		if got := len(round.Starts) > 0; got == constrained {
			t.Errorf("spread %v, a placement in an unknown zone: %d starts", constrained, len(round.Starts))
		}
	}
}

// The record of a round fits the value size of the state service for any number of starts and ends;
// the remaining ones follow in the next rounds.
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
			t.Fatal("a round is empty while ends are pending")
		}
		n.core.State.ApplyRecord(0, &round.Record)
	}
	if rounds > 20 {
		t.Errorf("%d rounds for 1200 ends", rounds)
	}
}

// The spot risk is high for a job whose deadline leaves no time to run a task again, and low for a
// job that has time or can't meet its deadline in any case.
func TestTightDeadlineAvoidsSpot(t *testing.T) {
	spec := testSpec(40)
	spec.Spot, spec.Estimate = true, 100
	n, _, _, j := newTestOwner(t, spec)
	for _, c := range []struct {
		deadline, elapsed float64
		atRisk            bool
	}{{150, 0, true}, {300, 0, false}, {5000, 0, false}, {5000, 4850, true}, {50, 0, false}} {
		spec := *j.Spec
		spec.Deadline = &c.deadline
		j.Spec = &spec
		n.core.WallClock = j.AcceptedAt + api.WallTime(c.elapsed*1000)
		if risk := n.scheduler.SpotRisk(j); (risk >= 0.5) != c.atRisk || !c.atRisk && risk > 0.1 {
			t.Errorf("deadline %v s, %v s elapsed, run time 100 s: risk %.2f", c.deadline, c.elapsed, risk)
		}
	}
}
