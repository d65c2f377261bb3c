package control

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"basaltwall/api"
)

func TestBitsetAgainstAMap(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	for range 200 {
		var b bitset
		m := map[int]bool{}
		for range r.IntN(300) {
			i := r.IntN(500)
			if b.set(i) == m[i] {
				t.Fatalf("set(%d) says the wrong thing", i)
			}
			m[i] = true
		}
		var copied bitset
		copied.addBytes(b.bytes(), 500)
		from := r.IntN(500)
		to := from + r.IntN(500-from)
		want := 0
		for i := range 500 {
			if b.has(i) != m[i] || copied.has(i) != m[i] {
				t.Fatalf("%d: %v, copied %v, expected %v", i, b.has(i), copied.has(i), m[i])
			}
			if i >= from && i < to && m[i] {
				want++
			}
		}
		if got := b.count(from, to); got != want {
			t.Fatalf("count(%d, %d) = %d, expected %d", from, to, got, want)
		}
	}
}

// A job is split and moved without losing or doubling a task.
func TestMovedKeepsEveryTask(t *testing.T) {
	r := rand.New(rand.NewPCG(8, 9))
	for range 300 {
		spec := testSpec(1 + r.IntN(40))
		j := &Job{jobValue: jobValue{Spec: spec, Split: []Range{{0, spec.Tasks, 0}}}, places: map[int]*Place{}, placed: map[api.PartID]int{}}
		for i := range spec.Tasks {
			if r.IntN(3) == 0 {
				j.done.set(i)
			}
		}
		before := j.waiting(0)
		split, ok := moved(j, 0, 1, 1+r.IntN(10))
		if !ok {
			if before > 0 {
				t.Fatalf("%d tasks wait and none can be moved", before)
			}
			continue
		}
		j.Split = split
		owners := make([]int, spec.Tasks)
		for _, rg := range split {
			for i := rg.From; i < rg.To; i++ {
				owners[i]++
				if rg.Part == 1 && j.done.has(i) {
					t.Fatalf("task %d was done and is moved", i)
				}
			}
		}
		for i, n := range owners {
			if n != 1 {
				t.Fatalf("task %d is in %d ranges of %v", i, n, split)
			}
		}
		if after := j.waiting(0) + j.waiting(1); after != before {
			t.Fatalf("%d tasks wait, %d before", after, before)
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
	b := newBook(3)
	for i := range 6 {
		spec := testSpec(1 + r.IntN(30))
		spec.Ref, spec.Team, spec.Priority = api.JobRef(fmt.Sprintf("run-%d", i)), api.Team(fmt.Sprint(i%2)), api.Normal
		v, err := json.Marshal(jobValue{Spec: spec, Split: []Range{{0, spec.Tasks, api.PartID(i % 3)}}})
		if err != nil {
			t.Fatal(err)
		}
		if err := b.put(keyJob+string(spec.Ref), v, api.Revision(i+1)); err != nil {
			t.Fatal(err)
		}
	}
	for step := range 3000 {
		j := b.jobs[api.JobRef(fmt.Sprintf("run-%d", r.IntN(6)))]
		part := j.Split[0].Part
		task := r.IntN(j.Spec.Tasks)
		d := jobDelta{Job: j.ref}
		switch p := j.places[task]; {
		case p == nil && !j.done.has(task):
			d.Starts = []startEntry{{Task: task, Machine: api.MachineID(fmt.Sprint("i-", r.IntN(5))), Session: 1}}
		case p != nil && r.IntN(3) == 0:
			b.setOver(p, !p.over)
		case p != nil && r.IntN(2) == 0:
			d.Lost = []int{task}
		case p != nil && r.IntN(4) == 0:
			d.Done = []int{task}
		}
		b.foldRecord(part, &record{Seq: b.parts[part].seq + 1, Jobs: []jobDelta{d}})
		if step%50 == 0 {
			recount(t, b)
		}
	}
	blob, err := pack(b.checkpointOf(1))
	if err != nil {
		t.Fatal(err)
	}
	c, err := unpack(blob)
	if err != nil || !reflect.DeepEqual(c, b.checkpointOf(1)) {
		t.Errorf("a checkpoint comes back changed: %v", err)
	}
}

func recount(t *testing.T, b *book) {
	t.Helper()
	use := make([]map[api.Team]api.Resources, len(b.parts))
	need := map[api.MachineID]api.Resources{}
	for i := range use {
		use[i] = map[api.Team]api.Resources{}
	}
	for _, j := range b.jobs {
		waiting, over := 0, 0
		for i := range j.Spec.Tasks {
			switch p := j.places[i]; {
			case p == nil && !j.done.has(i):
				waiting++
			case p != nil && p.over:
				over++
			case p != nil:
				use[p.Part][j.Spec.Team] = use[p.Part][j.Spec.Team].Plus(j.demand)
				need[p.Machine] = need[p.Machine].Plus(j.demand)
			}
		}
		if got := j.waiting(j.Split[0].Part); got != waiting {
			t.Fatalf("%s: %d tasks wait, the book says %d", j.ref, waiting, got)
		}
		if b.open[j.ref] != nil != (waiting+over > 0) {
			t.Fatalf("%s: %d tasks wait, %d are over, open %v", j.ref, waiting, over, b.open[j.ref] != nil)
		}
		if b.ended[j.ref] != nil != (j.final() && len(j.places) == 0) {
			t.Fatalf("%s: final %v with %d places, ended %v", j.ref, j.final(), len(j.places), b.ended[j.ref] != nil)
		}
	}
	for i := range use {
		for team, u := range b.parts[i].use {
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
