package control

import (
	"math/rand/v2"
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
		j := &Job{jobValue: jobValue{Spec: spec, Split: []Range{{0, spec.Tasks, 0}}}, places: map[int]*Place{}}
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
	return &api.JobSpec{Ref: "run-1", Team: "red", Kind: api.Array, Tasks: tasks, CPUs: 1}
}
