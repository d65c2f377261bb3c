package controller

import (
	"encoding/json"
	"slices"
	"testing"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// refuseTask places a task on the owner's machine and has the worker refuse it as unknown.
func refuseTask(t *testing.T, n *Controller, m *core.Machine, j *core.Job, task int, attempt api.Attempt) {
	t.Helper()
	id := api.TaskID{Job: j.ID, Index: task}
	n.core.State.AddPlacement(&core.Placement{Task: id, Machine: m.ID, Epoch: m.Epoch, Attempt: attempt, Job: j})
	n.agents.HandleHeartbeat(message.WorkerHeartbeat{Req: 1, Heartbeat: &api.Heartbeat{Machine: m.ID, Address: "10.1.0.1:9000", Type: "c8", Zone: "a",
		Epoch: m.Epoch, Seq: m.Sequence + 1, Token: 7, Tasks: []api.TaskStatus{{Task: id.String(), Attempt: attempt, State: api.TaskExited, Reason: api.ReasonUnknown}}}})
	if p := j.Placements[task]; p == nil || !p.Finishing {
		t.Fatalf("the end of task %d is not going to be recorded", task)
	}
	recordRounds(t, n, n.core.Partitions[0])
}

// writtenTasks returns the transaction that writes the job's record, and the number of tasks in it; nil if there is none.
func writtenTasks(t *testing.T, n *Controller, id api.JobID) (*api.Txn, clusterstate.JobValue) {
	t.Helper()
	var value clusterstate.JobValue
	for _, e := range n.core.Effects {
		if c, ok := e.(message.StoreCall); ok && c.Txn != nil && len(c.Txn.Writes) == 1 && c.Txn.Writes[0].Put == clusterstate.KeyJob+string(id) {
			if err := json.Unmarshal(c.Txn.Writes[0].Value, &value); err != nil {
				t.Fatal(err)
			}
			return c.Txn, value
		}
	}
	return nil, value
}

// manyRefusals is more refusals than are needed to confirm that a task does not exist.
const manyRefusals = 80

// Guards against a job that can never be done: an earlier version accepted it with five tasks, of which the user
// submitted two (review/8).
func TestJobIsReducedToTheTasksThatWorkersKnow(t *testing.T) {
	n, owned, m, j := newTestOwner(t, testSpec(5))
	j.Split = []clusterstate.TaskRange{{From: 0, To: 1}, {From: 1, To: 4}, {From: 4, To: 5}}
	n.core.State.ApplyRecord(0, &clusterstate.RoundRecord{Seq: 1, Jobs: []clusterstate.JobDelta{{Job: j.ID, Completed: []int{0, 1}}}})
	for i := range manyRefusals {
		refuseTask(t, n, m, j, 2+i%3, api.Attempt(i+1))
	}
	txn, value := writtenTasks(t, n, j.ID)
	if txn == nil {
		t.Fatal("the record of the job is not written")
	}
	if want := []clusterstate.TaskRange{{From: 0, To: 1}, {From: 1, To: 2}}; value.Spec.Tasks != 2 || !slices.Equal(value.Split, want) {
		t.Errorf("the job is written with %d tasks, split %v; expected 2 tasks, split %v", value.Spec.Tasks, value.Split, want)
	}
	for _, condition := range []api.Condition{{Key: clusterstate.KeyJob + string(j.ID), Version: j.Version}, owned.OwnershipCondition()} {
		if !slices.Contains(txn.If, condition) {
			t.Errorf("the write is not conditional on %v", condition)
		}
	}
	if err := n.core.State.Put(txn.Writes[0].Put, txn.Writes[0].Value, 50); err != nil {
		t.Fatal(err)
	}
	if j.State() != api.JobDone || n.core.State.FinishedJobs[j.ID] == nil {
		t.Errorf("the job is %s, expected done and ready to be archived", j.State())
	}
}

// A job keeps its tasks if it is not certain that the workers read its description, if it is cancelled, or if a task
// from there on has completed.
func TestJobIsNotReducedWithoutEvidence(t *testing.T) {
	for what, prepare := range map[string]func(*core.Job) []int{
		"no task accepted":       func(*core.Job) []int { return nil },
		"cancelled":              func(j *core.Job) []int { j.Cancelled = true; return []int{0, 1} },
		"a later task completed": func(*core.Job) []int { return []int{0, 1, 4} },
	} {
		n, _, m, j := newTestOwner(t, testSpec(5))
		if completed := prepare(j); len(completed) > 0 {
			n.core.State.ApplyRecord(0, &clusterstate.RoundRecord{Seq: 1, Jobs: []clusterstate.JobDelta{{Job: j.ID, Completed: completed}}})
		}
		for i := range manyRefusals {
			refuseTask(t, n, m, j, 2, api.Attempt(i+1))
		}
		if txn, value := writtenTasks(t, n, j.ID); txn != nil {
			t.Errorf("%s: the job is written with %d tasks", what, value.Spec.Tasks)
		}
	}
}

// A controller that follows the log and one that loads the state agree on a job whose tasks were reduced while one
// of the others was placed.
func TestReducedJobIsReadAlike(t *testing.T) {
	follower, _, _, j := newTestOwner(t, testSpec(5))
	round := clusterstate.RoundRecord{Seq: 1, Jobs: []clusterstate.JobDelta{{Job: j.ID, Completed: []int{0}, Starts: []clusterstate.TaskStart{
		{Task: 1, Machine: "i-000000", Epoch: 1}, {Task: 3, Machine: "i-000000", Epoch: 1}}}}}
	roundValue, err := round.Encode()
	if err != nil {
		t.Fatal(err)
	}
	reduced := j.JobValue
	spec := *j.Spec
	spec.Tasks = 2
	reduced.Spec, reduced.Split = &spec, []clusterstate.TaskRange{{From: 0, To: 2}}
	jobValue, err := json.Marshal(reduced)
	if err != nil {
		t.Fatal(err)
	}
	loader, _, _, _ := newTestOwner(t, testSpec(5))
	loader.core.State.BeginLoad()
	for _, n := range []*Controller{follower, loader} {
		for i, w := range []api.Write{{Put: clusterstate.RoundKey(0, 1), Value: roundValue}, {Put: clusterstate.KeyJob + string(j.ID), Value: jobValue}} {
			if err := n.core.State.Put(w.Put, w.Value, api.Revision(60+i)); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := loader.core.State.FinishLoad(); err != nil {
		t.Fatal(err)
	}
	loaded := loader.core.State.Jobs[j.ID]
	for what, job := range map[string]*core.Job{"follower": j, "loader": loaded} {
		if len(job.Placements) != 1 || job.Placements[1] == nil || job.CompletedCount != 1 || job.State() != api.JobRunning {
			t.Errorf("%s: %d placements, %d completed, %s; expected task 1 placed, 1 completed, running", what, len(job.Placements), job.CompletedCount, job.State())
		}
	}
	for what, n := range map[string]*Controller{"follower": follower, "loader": loader} {
		if usage := n.core.State.Partitions[0].TeamUsage["red"]; usage != j.Demand {
			t.Errorf("%s: the team uses %v, expected %v", what, usage, j.Demand)
		}
	}
}
