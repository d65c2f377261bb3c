package clusterstate

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"basaltwall/api"
)

type (
	none      = struct{}
	testState = State[none, none]
)

func TestTaskSetAgainstMap(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	for range 200 {
		var s TaskSet
		m := map[int]bool{}
		for range r.IntN(300) {
			i := r.IntN(500)
			if s.Add(i) == m[i] {
				t.Fatalf("Add(%d) returns a wrong result", i)
			}
			m[i] = true
		}
		var copied TaskSet
		copied.addBytes(s.bytes(), 500)
		from := r.IntN(500)
		to := from + r.IntN(500-from)
		want := 0
		for i := range 500 {
			if s.Has(i) != m[i] || copied.Has(i) != m[i] {
				t.Fatalf("Has(%d) = %v, after decoding %v, expected %v", i, s.Has(i), copied.Has(i), m[i])
			}
			if i >= from && i < to && m[i] {
				want++
			}
		}
		if got := s.Count(from, to); got != want {
			t.Fatalf("Count(%d, %d) = %d, expected %d", from, to, got, want)
		}
	}
}

func testSpec(tasks int) *api.JobSpec {
	return &api.JobSpec{Ref: "run-1", Team: "red", Kind: api.Array, Priority: api.Normal, Tasks: tasks, CPUs: 1}
}

// The incremental counts of the state equal a full recount after any sequence of records, and a checkpoint
// is decoded unchanged.
func TestStateKeepsCounts(t *testing.T) {
	r := rand.New(rand.NewPCG(21, 22))
	state := New[none, none](3)
	for i := range 6 {
		spec := testSpec(1 + r.IntN(30))
		spec.Ref, spec.Team, spec.Priority = api.JobID(fmt.Sprintf("run-%d", i)), api.Team(fmt.Sprint(i%2)), api.Normal
		v, err := json.Marshal(JobValue{Spec: spec, Split: []TaskRange{{0, spec.Tasks, api.PartitionID(i % 3)}}})
		if err != nil {
			t.Fatal(err)
		}
		if err := state.Put(KeyJob+string(spec.Ref), v, api.Revision(i+1)); err != nil {
			t.Fatal(err)
		}
	}
	for step := range 3000 {
		j := state.Jobs[api.JobID(fmt.Sprintf("run-%d", r.IntN(6)))]
		partition := j.Split[0].Partition
		task := r.IntN(j.Spec.Tasks)
		d := JobDelta{Job: j.ID}
		switch p := j.Placements[task]; {
		case p == nil && !j.Completed.Has(task):
			d.Starts = []TaskStart{{Task: task, Machine: api.MachineID(fmt.Sprint("i-", r.IntN(5))), Epoch: 1}}
		case p != nil && r.IntN(3) == 0:
			state.SetFinishing(p, !p.Finishing)
		case p != nil && r.IntN(2) == 0:
			d.EndedIncomplete = []int{task}
		case p != nil && r.IntN(4) == 0:
			d.Completed = []int{task}
		}
		reservation := Reservation{Machine: api.MachineID(fmt.Sprint("i-", r.IntN(5)))}
		if r.IntN(2) == 0 {
			reservation.Job, reservation.Since = j.ID, api.WallTime(step)
		}
		state.ApplyRecord(partition, &RoundRecord{Seq: state.Partitions[partition].RoundSeq + 1, Jobs: []JobDelta{d}, Reservations: []Reservation{reservation}})
		if got, reserved := state.Partitions[partition].Reservations[reservation.Machine]; reserved != (reservation.Job != "") || reserved && got != reservation {
			t.Fatalf("reservation %+v after record %+v", got, reservation)
		}
		if step%50 == 0 {
			recount(t, state)
		}
	}
	blob, err := compressJSON(state.Checkpoint(1))
	if err != nil {
		t.Fatal(err)
	}
	var c RoundRecord
	if err := decompressJSON(blob, &c); err != nil || !reflect.DeepEqual(c, state.Checkpoint(1)) {
		t.Errorf("a decoded checkpoint differs: %v", err)
	}
}

// recount compares the counts and usage of a state with a full recount.
func recount(t *testing.T, state *testState) {
	t.Helper()
	teamUsage := make([]map[api.Team]api.Resources, len(state.Partitions))
	machineUsage := map[api.MachineID]api.Resources{}
	for i := range teamUsage {
		teamUsage[i] = map[api.Team]api.Resources{}
	}
	for _, j := range state.Jobs {
		pending, finishing := 0, 0
		for i := range j.Spec.Tasks {
			switch p := j.Placements[i]; {
			case p == nil && !j.Completed.Has(i):
				pending++
			case p != nil && p.Finishing:
				finishing++
			case p != nil:
				teamUsage[p.Partition][j.Spec.Team] = teamUsage[p.Partition][j.Spec.Team].Plus(j.Demand)
				machineUsage[p.Machine] = machineUsage[p.Machine].Plus(j.Demand)
			}
		}
		if got := j.PendingTasks(j.Split[0].Partition); got != pending {
			t.Fatalf("%s: %d tasks are pending, PendingTasks returns %d", j.ID, pending, got)
		}
		if state.PendingJobs[j.ID] != nil != (pending+finishing > 0) {
			t.Fatalf("%s: %d tasks pending, %d finishing, in PendingJobs: %v", j.ID, pending, finishing, state.PendingJobs[j.ID] != nil)
		}
		if state.FinishedJobs[j.ID] != nil != (j.Terminal() && len(j.Placements) == 0) {
			t.Fatalf("%s: terminal %v with %d placements, in FinishedJobs: %v", j.ID, j.Terminal(), len(j.Placements), state.FinishedJobs[j.ID] != nil)
		}
	}
	for i := range teamUsage {
		for team, usage := range state.Partitions[i].TeamUsage {
			if usage != teamUsage[i][team] {
				t.Fatalf("partition %d, team %s: usage %v, TeamUsage is %v", i, team, teamUsage[i][team], usage)
			}
		}
	}
	for id, h := range state.machines {
		if h.allocated != machineUsage[id] {
			t.Fatalf("machine %s: %v allocated, the state has %v", id, machineUsage[id], h.allocated)
		}
	}
}

// Acknowledgements of a cancellation survive checkpoints and reloads, so that a job once shown as cancelled
// stays cancelled.
func TestCancellationAcknowledgementsSurviveReload(t *testing.T) {
	put := func(state *State[struct{}, struct{}], key string, version api.Revision, v any) {
		data, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		if err := state.Put(key, data, version); err != nil {
			t.Fatal(err)
		}
	}
	spec := &api.JobSpec{Ref: "run-1", Kind: api.Array, Tasks: 2, Priority: api.Normal}
	value := JobValue{Spec: spec, Split: []TaskRange{{0, 1, 0}, {1, 2, 1}}, Cancelled: true}
	rounds := map[string]RoundRecord{
		RoundKey(0, 1): {Seq: 1, Jobs: []JobDelta{{Job: "run-1", Starts: []TaskStart{{Task: 0, Machine: "i-1"}}}}},
		RoundKey(1, 1): {Seq: 1, Jobs: []JobDelta{{Job: "run-1", Starts: []TaskStart{{Task: 1, Machine: "i-2"}}}}},
		RoundKey(0, 2): {Seq: 2, Jobs: []JobDelta{{Job: "run-1", CancellationAcknowledged: true}}},
	}
	state := New[struct{}, struct{}](2)
	put(state, KeyJob+"run-1", 1, value)
	for i, key := range []string{RoundKey(0, 1), RoundKey(1, 1), RoundKey(0, 2)} {
		put(state, key, api.Revision(2+i), rounds[key])
	}
	if j := state.Jobs["run-1"]; j.CancellationConfirmed() || j.State() != api.JobRunning || !j.CancellationAcknowledged(0) || state.CancellingJobs["run-1"] == nil {
		t.Fatalf("job %s, confirmed %v, with one of two acknowledgements", j.State(), j.CancellationConfirmed())
	}
	rounds[RoundKey(1, 2)] = RoundRecord{Seq: 2, Jobs: []JobDelta{{Job: "run-1", CancellationAcknowledged: true}}}
	put(state, RoundKey(1, 2), 5, rounds[RoundKey(1, 2)])
	if j := state.Jobs["run-1"]; j.State() != api.JobCancelled {
		t.Fatalf("job %s with both acknowledgements", j.State())
	}
	// Partition 0 is loaded from a checkpoint, partition 1 from its rounds.
	writes, err := state.CheckpointWrites(0, 8192)
	if err != nil {
		t.Fatal(err)
	}
	reloaded := New[struct{}, struct{}](2)
	reloaded.BeginLoad()
	put(reloaded, KeyJob+"run-1", 1, value)
	put(reloaded, RoundKey(1, 1), 3, rounds[RoundKey(1, 1)])
	put(reloaded, RoundKey(1, 2), 5, rounds[RoundKey(1, 2)])
	for _, w := range writes {
		if err := reloaded.Put(w.Put, w.Value, 6); err != nil {
			t.Fatal(err)
		}
	}
	if err := reloaded.FinishLoad(); err != nil {
		t.Fatal(err)
	}
	if j := reloaded.Jobs["run-1"]; j.State() != api.JobCancelled || len(j.Placements) != 2 {
		t.Errorf("job %s with %d placements after a reload", j.State(), len(j.Placements))
	}
}
