package balance

import (
	"math/rand/v2"
	"testing"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
)

// A move neither loses nor duplicates tasks of a job.
func TestRebalanceKeepsEveryTask(t *testing.T) {
	r := rand.New(rand.NewPCG(8, 9))
	for range 300 {
		spec := testSpec(1 + r.IntN(40))
		j := &core.Job{JobValue: clusterstate.JobValue{Spec: spec, Split: []clusterstate.TaskRange{{From: 0, To: spec.Tasks}}}, Placements: map[int]*core.Placement{}, PlacementCounts: map[api.PartitionID]int{}}
		for i := range spec.Tasks {
			if r.IntN(3) == 0 {
				j.Completed.Add(i)
			}
		}
		before := j.PendingTasks(0)
		split, ok := splitAfterMove(j, 0, 1, 1+r.IntN(10))
		if !ok {
			if before > 0 {
				t.Fatalf("%d tasks are pending and none can be moved", before)
			}
			continue
		}
		j.Split = split
		owners := make([]int, spec.Tasks)
		for _, rg := range split {
			for i := rg.From; i < rg.To; i++ {
				owners[i]++
				if rg.Partition == 1 && j.Completed.Has(i) {
					t.Fatalf("completed task %d is moved", i)
				}
			}
		}
		for i, n := range owners {
			if n != 1 {
				t.Fatalf("task %d is in %d ranges of %v", i, n, split)
			}
		}
		if after := j.PendingTasks(0) + j.PendingTasks(1); after != before {
			t.Fatalf("%d tasks are pending after the move, %d before", after, before)
		}
	}
}

func testSpec(tasks int) *api.JobSpec {
	return &api.JobSpec{Ref: "run-1", Team: "red", Kind: api.Array, Priority: api.Normal, Tasks: tasks, CPUs: 1}
}
