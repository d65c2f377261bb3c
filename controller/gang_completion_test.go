package controller

import (
	"encoding/json"
	"slices"
	"testing"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
)

// newRunningGang returns an owner and a gang with the given number of tasks, all placed on its machine.
func newRunningGang(t *testing.T, tasks int) (*Controller, *core.OwnedPartition, *core.Job) {
	t.Helper()
	spec := testSpec(tasks)
	spec.Kind = api.Gang
	n, owned, m, j := newTestOwner(t, spec)
	for task := range tasks {
		n.core.State.AddPlacement(&core.Placement{Task: api.TaskID{Job: j.ID, Index: task}, Machine: m.ID, Epoch: 1, Attempt: 1, Job: j})
	}
	return n, owned, j
}

// recordRounds plans and records rounds of a partition until nothing is left to record. Each fits its value.
func recordRounds(t *testing.T, n *Controller, owned *core.OwnedPartition) {
	t.Helper()
	for range 100 {
		round := n.scheduler.PlanRound(owned)
		if len(round.Record.Jobs) == 0 {
			return
		}
		body, err := json.Marshal(round.Record)
		if err != nil || n.core.ExceedsValueSize(body) {
			t.Fatalf("a record of %d bytes: %v", len(body), err)
		}
		n.core.State.ApplyRecord(owned.ID, &round.Record)
	}
	t.Fatal("the rounds don't end")
}

// eitherOrder are both orders: the ends without a result come first, or the completion.
var eitherOrder = []bool{false, true}

// A completed gang of which one task's end was recorded without a result stayed pending for ever (review/5).
func TestGangCompletesWhateverTheOrderOfItsEnds(t *testing.T) {
	for _, oneRound := range []bool{true, false} {
		for _, doneTask := range []int{0, 3} {
			for _, doneFirst := range eitherOrder {
				n, owned, j := newRunningGang(t, 4)
				order := []int{0, 1, 2, 3}
				slices.SortFunc(order, func(a, b int) int {
					if (a == doneTask) != (b == doneTask) && (a == doneTask) == doneFirst {
						return -1
					}
					return a - b
				})
				for _, task := range order {
					done := task == doneTask
					reason := core.EndReasonEpochEnded
					if done {
						reason = "done"
					}
					n.scheduler.RecordTaskEnd(owned, j.Placements[task], done, reason)
					if !oneRound {
						round := n.scheduler.PlanRound(owned)
						n.core.State.ApplyRecord(owned.ID, &round.Record)
					}
				}
				if oneRound { // one record suffices
					round := n.scheduler.PlanRound(owned)
					n.core.State.ApplyRecord(owned.ID, &round.Record)
				} else {
					recordRounds(t, n, owned)
				}
				if n.core.State.FinishedJobs[j.ID] == nil || n.core.State.PendingJobs[j.ID] != nil || n.core.State.Partitions[0].TeamUsage["red"] != (api.Resources{}) {
					t.Errorf("one round %v, task %d done, done first %v: the gang is not archived or holds quota", oneRound, doneTask, doneFirst)
				}
				if j.State() != api.JobDone || len(j.Placements) != 0 {
					t.Errorf("one round %v, task %d done, done first %v: the gang is %s with %d of 4 tasks completed", oneRound, doneTask, doneFirst, j.State(), j.CompletedCount)
				}
			}
		}
	}
}

// A gang that an earlier version left with some of its tasks completed is done once an owner has read it, also
// from a checkpoint and in rounds smaller than the gang.
func TestNewOwnerCompletesAStoredGang(t *testing.T) {
	const tasks = 3000
	spec := testSpec(tasks)
	spec.Kind = api.Gang
	n, _, _, j := newTestOwner(t, spec)
	n.core.State.ApplyRecord(0, &clusterstate.RoundRecord{Seq: 1, Jobs: []clusterstate.JobDelta{{Job: j.ID, Completed: []int{7}}}})
	checkpoint := n.core.State.Checkpoint(0)
	value, err := json.Marshal(j.JobValue)
	if err != nil {
		t.Fatal(err)
	}
	writes, err := n.core.State.CheckpointWrites(0, n.core.MaxValueBytes())
	if err != nil {
		t.Fatal(err)
	}
	other, _, _, _ := newTestOwner(t, testSpec(1))
	other.core.State.BeginLoad()
	for i, w := range append(writes, api.Write{Put: clusterstate.KeyJob + string(j.ID), Value: value}) {
		if err := other.core.State.Put(w.Put, w.Value, api.Revision(100+i)); err != nil {
			t.Fatal(err)
		}
	}
	if err := other.core.State.FinishLoad(); err != nil {
		t.Fatal(err)
	}
	stored := other.core.State.Jobs[j.ID]
	if stored.CompletedCount != 1 || len(checkpoint.Jobs) != 1 {
		t.Fatalf("%d tasks completed in the loaded state, expected 1", stored.CompletedCount)
	}
	other.scheduler.BeginOwnership(0, 200)
	recordRounds(t, other, other.core.Partitions[0])
	if stored.State() != api.JobDone {
		t.Errorf("the gang is %s with %d tasks completed", stored.State(), stored.CompletedCount)
	}
}

// After the cancellation of a gang no completion of it is recorded, and its state becomes final.
func TestCancelledGangIsNotCompleted(t *testing.T) {
	n, owned, j := newRunningGang(t, 4)
	n.scheduler.RecordTaskEnd(owned, j.Placements[0], false, core.EndReasonEpochEnded)
	recordRounds(t, n, owned)
	n.core.State.ApplyRecord(owned.ID, &clusterstate.RoundRecord{Seq: n.core.State.Partitions[0].RoundSeq + 1, Jobs: []clusterstate.JobDelta{{Job: j.ID, Completed: []int{1}}}})
	value := j.JobValue
	value.Cancelled = true
	putJobValue(t, n, value, 9)
	for _, task := range []int{2, 3} {
		n.scheduler.RecordTaskEnd(owned, j.Placements[task], task == 3, "test")
	}
	recordRounds(t, n, owned)
	if j.State() != api.JobCancelled || j.CompletedCount != 1 {
		t.Errorf("the gang is %s with %d tasks completed, expected 1", j.State(), j.CompletedCount)
	}
}

// The owner of another partition leaves a gang's completion to the owner that starts its tasks.
func TestOnlyTheStartingOwnerCompletesAGang(t *testing.T) {
	n, owned, j := newRunningGang(t, 2)
	n.scheduler.RecordTaskEnd(owned, j.Placements[0], false, core.EndReasonEpochEnded)
	recordRounds(t, n, owned)
	n.core.State.ApplyRecord(owned.ID, &clusterstate.RoundRecord{Seq: n.core.State.Partitions[0].RoundSeq + 1, Jobs: []clusterstate.JobDelta{{Job: j.ID, Completed: []int{1}}}})
	j.Split[0].Partition = 1
	if round := n.scheduler.PlanRound(owned); len(round.Record.Jobs) != 0 {
		t.Errorf("another partition's owner records %+v", round.Record.Jobs)
	}
	j.Split[0].Partition = 0
	recordRounds(t, n, owned)
	if j.State() != api.JobDone {
		t.Errorf("the gang is %s", j.State())
	}
}

// A machine that has not heard of the end of a completed gang's task is told to stop it, and forgets it once it has exited.
func TestTasksOfACompletedGangAreStopped(t *testing.T) {
	n, owned, j := newRunningGang(t, 2)
	m := n.core.Machines["i-000000"]
	n.scheduler.RecordTaskEnd(owned, j.Placements[0], false, core.EndReasonEpochEnded)
	n.scheduler.RecordTaskEnd(owned, j.Placements[1], true, "done")
	recordRounds(t, n, owned)
	for state, want := range map[api.TaskState]api.Op{api.TaskRunning: api.OpStop, api.TaskExited: api.OpReap} {
		m.ReportedTasks = map[core.AttemptKey]api.TaskStatus{
			{Task: api.TaskID{Job: j.ID, Index: 0}, Attempt: 1}: {Task: "run-1/0", Attempt: 1, State: state, Reason: api.ReasonDone},
		}
		if commands := n.agents.CommandsFor(m, owned); len(commands) != 1 || commands[0].Op != want {
			t.Errorf("%s: commands %+v, expected %s", state, commands, want)
		}
	}
}
