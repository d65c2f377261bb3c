package control

import (
	"math/rand/v2"
	"testing"

	"basaltwall/api"
	"basaltwall/book"
)

// A job is split and moved without losing or doubling a task.
func TestMovedKeepsEveryTask(t *testing.T) {
	r := rand.New(rand.NewPCG(8, 9))
	for range 300 {
		spec := testSpec(1 + r.IntN(40))
		j := &Job{JobValue: book.JobValue{Spec: spec, Split: []book.Range{{From: 0, To: spec.Tasks}}}, Places: map[int]*Place{}, Placed: map[api.PartID]int{}}
		for i := range spec.Tasks {
			if r.IntN(3) == 0 {
				j.Done.Set(i)
			}
		}
		before := j.Waiting(0)
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
				if rg.Part == 1 && j.Done.Has(i) {
					t.Fatalf("task %d was done and is moved", i)
				}
			}
		}
		for i, n := range owners {
			if n != 1 {
				t.Fatalf("task %d is in %d ranges of %v", i, n, split)
			}
		}
		if after := j.Waiting(0) + j.Waiting(1); after != before {
			t.Fatalf("%d tasks wait, %d before", after, before)
		}
	}
}

func testSpec(tasks int) *api.JobSpec {
	return &api.JobSpec{Ref: "run-1", Team: "red", Kind: api.Array, Priority: api.Normal, Tasks: tasks, CPUs: 1}
}
