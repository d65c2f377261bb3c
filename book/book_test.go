package book

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"basaltwall/api"
)

type (
	none     = struct{}
	testBook = Book[none, none]
)

func TestSetAgainstAMap(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	for range 200 {
		var b Set
		m := map[int]bool{}
		for range r.IntN(300) {
			i := r.IntN(500)
			if b.Set(i) == m[i] {
				t.Fatalf("set(%d) says the wrong thing", i)
			}
			m[i] = true
		}
		var copied Set
		copied.addBytes(b.bytes(), 500)
		from := r.IntN(500)
		to := from + r.IntN(500-from)
		want := 0
		for i := range 500 {
			if b.Has(i) != m[i] || copied.Has(i) != m[i] {
				t.Fatalf("%d: %v, copied %v, expected %v", i, b.Has(i), copied.Has(i), m[i])
			}
			if i >= from && i < to && m[i] {
				want++
			}
		}
		if got := b.Count(from, to); got != want {
			t.Fatalf("count(%d, %d) = %d, expected %d", from, to, got, want)
		}
	}
}

func testSpec(tasks int) *api.JobSpec {
	return &api.JobSpec{Ref: "run-1", Team: "red", Kind: api.Array, Priority: api.Normal, Tasks: tasks, CPUs: 1}
}

// What the book keeps up to date as places come and go is what counting anew
// would give, and a checkpoint brings back the same.
func TestBookKeepsCount(t *testing.T) {
	r := rand.New(rand.NewPCG(21, 22))
	b := New[none, none](3)
	for i := range 6 {
		spec := testSpec(1 + r.IntN(30))
		spec.Ref, spec.Team, spec.Priority = api.JobRef(fmt.Sprintf("run-%d", i)), api.Team(fmt.Sprint(i%2)), api.Normal
		v, err := json.Marshal(JobValue{Spec: spec, Split: []Range{{0, spec.Tasks, api.PartID(i % 3)}}})
		if err != nil {
			t.Fatal(err)
		}
		if err := b.Put(KeyJob+string(spec.Ref), v, api.Revision(i+1)); err != nil {
			t.Fatal(err)
		}
	}
	for step := range 3000 {
		j := b.Jobs[api.JobRef(fmt.Sprintf("run-%d", r.IntN(6)))]
		part := j.Split[0].Part
		task := r.IntN(j.Spec.Tasks)
		d := JobDelta{Job: j.Ref}
		switch p := j.Places[task]; {
		case p == nil && !j.Done.Has(task):
			d.Starts = []StartEntry{{Task: task, Machine: api.MachineID(fmt.Sprint("i-", r.IntN(5))), Session: 1}}
		case p != nil && r.IntN(3) == 0:
			b.SetOver(p, !p.Over)
		case p != nil && r.IntN(2) == 0:
			d.Lost = []int{task}
		case p != nil && r.IntN(4) == 0:
			d.Done = []int{task}
		}
		keep := Keep{Machine: api.MachineID(fmt.Sprint("i-", r.IntN(5)))}
		if r.IntN(2) == 0 {
			keep.For, keep.Since = j.Ref, api.Wall(step)
		}
		b.FoldRecord(part, &Record{Seq: b.Parts[part].Seq + 1, Jobs: []JobDelta{d}, Keeps: []Keep{keep}})
		if got, kept := b.Parts[part].Kept[keep.Machine]; kept != (keep.For != "") || kept && got != keep {
			t.Fatalf("%+v is kept after %+v", got, keep)
		}
		if step%50 == 0 {
			recount(t, b)
		}
	}
	blob, err := pack(b.Checkpoint(1))
	if err != nil {
		t.Fatal(err)
	}
	c, err := unpack(blob)
	if err != nil || !reflect.DeepEqual(c, b.Checkpoint(1)) {
		t.Errorf("a checkpoint comes back changed: %v", err)
	}
}

func recount(t *testing.T, b *testBook) {
	t.Helper()
	use := make([]map[api.Team]api.Resources, len(b.Parts))
	need := map[api.MachineID]api.Resources{}
	for i := range use {
		use[i] = map[api.Team]api.Resources{}
	}
	for _, j := range b.Jobs {
		waiting, over := 0, 0
		for i := range j.Spec.Tasks {
			switch p := j.Places[i]; {
			case p == nil && !j.Done.Has(i):
				waiting++
			case p != nil && p.Over:
				over++
			case p != nil:
				use[p.Part][j.Spec.Team] = use[p.Part][j.Spec.Team].Plus(j.Demand)
				need[p.Machine] = need[p.Machine].Plus(j.Demand)
			}
		}
		if got := j.Waiting(j.Split[0].Part); got != waiting {
			t.Fatalf("%s: %d tasks wait, the book says %d", j.Ref, waiting, got)
		}
		if b.Open[j.Ref] != nil != (waiting+over > 0) {
			t.Fatalf("%s: %d tasks wait, %d are over, open %v", j.Ref, waiting, over, b.Open[j.Ref] != nil)
		}
		if b.Ended[j.Ref] != nil != (j.Final() && len(j.Places) == 0) {
			t.Fatalf("%s: final %v with %d places, ended %v", j.Ref, j.Final(), len(j.Places), b.Ended[j.Ref] != nil)
		}
	}
	for i := range use {
		for team, u := range b.Parts[i].Use {
			if u != use[i][team] {
				t.Fatalf("part %d, team %s: %v used, the book says %v", i, team, use[i][team], u)
			}
		}
	}
	for id, h := range b.onHost {
		if h.need != need[id] {
			t.Fatalf("machine %s: %v needed, the book says %v", id, need[id], h.need)
		}
	}
}

// That a part's owner knows of a cancellation outlives checkpoints and reloads: what was told once
// is told for ever.
func TestKnowingOutlivesReloads(t *testing.T) {
	put := func(b *Book[struct{}, struct{}], key string, ver api.Revision, v any) {
		data, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		if err := b.Put(key, data, ver); err != nil {
			t.Fatal(err)
		}
	}
	spec := &api.JobSpec{Ref: "run-1", Kind: api.Array, Tasks: 2, Priority: api.Normal}
	value := JobValue{Spec: spec, Split: []Range{{0, 1, 0}, {1, 2, 1}}, Cancelled: true}
	rounds := map[string]Record{
		RoundKey(0, 1): {Seq: 1, Jobs: []JobDelta{{Job: "run-1", Starts: []StartEntry{{Task: 0, Machine: "i-1"}}}}},
		RoundKey(1, 1): {Seq: 1, Jobs: []JobDelta{{Job: "run-1", Starts: []StartEntry{{Task: 1, Machine: "i-2"}}}}},
		RoundKey(0, 2): {Seq: 2, Jobs: []JobDelta{{Job: "run-1", Knows: true}}},
	}
	b := New[struct{}, struct{}](2)
	put(b, KeyJob+"run-1", 1, value)
	for i, key := range []string{RoundKey(0, 1), RoundKey(1, 1), RoundKey(0, 2)} {
		put(b, key, api.Revision(2+i), rounds[key])
	}
	if j := b.Jobs["run-1"]; j.Told() || j.State() != api.JobRunning || !j.Knows(0) || b.Stopped["run-1"] == nil {
		t.Fatalf("%s with one of two owners that know, told %v", j.State(), j.Told())
	}
	rounds[RoundKey(1, 2)] = Record{Seq: 2, Jobs: []JobDelta{{Job: "run-1", Knows: true}}}
	put(b, RoundKey(1, 2), 5, rounds[RoundKey(1, 2)])
	if j := b.Jobs["run-1"]; j.State() != api.JobCancelled {
		t.Fatalf("%s when both know", j.State())
	}
	// Part 0 from a checkpoint, part 1 from its rounds.
	pieces, err := b.Pieces(0, 8192)
	if err != nil {
		t.Fatal(err)
	}
	again := New[struct{}, struct{}](2)
	again.Load()
	put(again, KeyJob+"run-1", 1, value)
	put(again, RoundKey(1, 1), 3, rounds[RoundKey(1, 1)])
	put(again, RoundKey(1, 2), 5, rounds[RoundKey(1, 2)])
	for _, w := range pieces {
		if err := again.Put(w.Put, w.Value, 6); err != nil {
			t.Fatal(err)
		}
	}
	if err := again.FinishLoad(); err != nil {
		t.Fatal(err)
	}
	if j := again.Jobs["run-1"]; j.State() != api.JobCancelled || len(j.Places) != 2 {
		t.Errorf("%s with %d places after a reload", j.State(), len(j.Places))
	}
}
