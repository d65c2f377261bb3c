package controller

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
)

// newGangOwner returns an owner and a pending gang of tasks that each take a share of a machine's eight CPUs. The
// owner has the given number of machines. The controllers support the given record format.
func newGangOwner(t *testing.T, tasks int, cpus float64, machines, format int) (*Controller, *core.OwnedPartition, *core.Job) {
	t.Helper()
	spec := testSpec(tasks)
	spec.Kind, spec.CPUs = api.Gang, cpus
	n, owned, _, j := newTestOwner(t, spec)
	for i := 1; i < machines; i++ {
		m := n.agents.EnsureMachine(api.MachineID(fmt.Sprintf("i-%06d", i)))
		m.MachineType, m.Zone, m.LastHeartbeat, m.Epoch, m.ReportedToken = "c8", "a", n.core.Now, 1, 7
	}
	member, err := json.Marshal(clusterstate.MemberValue{Format: format})
	if err != nil {
		t.Fatal(err)
	}
	if err := n.core.State.Put(clusterstate.KeyMember+"n", member, 8); err != nil {
		t.Fatal(err)
	}
	n.membership.ReconcilePartitions()
	return n, owned, j
}

// followRecord applies a job and a stored round to an empty state, as a controller that follows the log does.
func followRecord(t *testing.T, j *core.Job, round *core.PendingRound) *core.ClusterState {
	t.Helper()
	state := clusterstate.New[core.JobOwnerState, core.PlacementOwnerState](1)
	value, err := json.Marshal(j.JobValue)
	if err != nil {
		t.Fatal(err)
	}
	if err := state.Put(clusterstate.KeyJob+string(j.ID), value, 7); err != nil {
		t.Fatal(err)
	}
	if err := state.Put(round.Txn.Writes[0].Put, round.Txn.Writes[0].Value, 20); err != nil {
		t.Fatal(err)
	}
	return state
}

// A gang of more than 120 tasks was accepted and never started (review/7). Gangs of all sizes start whole, in one
// write within the limits of the state service, that other controllers read alike.
func TestGangsOfAllSizesStart(t *testing.T) {
	for _, size := range []struct {
		tasks    int
		cpus     float64
		machines int
		format   int
	}{
		{100, 2, 48, clusterstate.FormatRelays},
		{130, 2, 48, clusterstate.FormatRelays},
		{130, 2, 48, clusterstate.FormatPackedStarts},
		{384, 1, 48, clusterstate.FormatPackedStarts},
		{500, 8, 500, clusterstate.FormatPackedStarts},
		{100_000, 0.01, 250, clusterstate.FormatPackedStarts},
	} {
		n, owned, j := newGangOwner(t, size.tasks, size.cpus, size.machines, size.format)
		n.scheduler.RunPartition(owned)
		round := owned.InFlight
		if round == nil || len(round.Starts) != size.tasks || !n.core.TxnFits(round.Txn) {
			t.Errorf("%+v: the gang does not start as a whole", size)
			continue
		}
		follower := followRecord(t, j, round)
		n.scheduler.ApplyCommittedRound(owned, 20)
		for id := range n.core.Machines {
			if body := largestHeartbeat(t, n, id); len(body) > heartbeatLimit {
				t.Fatalf("%+v: the tasks on %s make a heartbeat of %d bytes", size, id, len(body))
			}
		}
		if got, want := follower.Checkpoint(0).Jobs, n.core.State.Checkpoint(0).Jobs; !reflect.DeepEqual(got, want) {
			t.Errorf("%+v: a follower reads other placements", size)
		}
	}
}

// A gang that only the packed form could record does not start, not even in part, while a controller can't read it.
func TestLargeGangWaitsForAllVersions(t *testing.T) {
	n, owned, _ := newGangOwner(t, 384, 1, 48, clusterstate.FormatRelays)
	for range 30 {
		nextSecond(n)
		if n.scheduler.RunPartition(owned); owned.InFlight != nil {
			t.Fatalf("%d of 384 tasks start", len(owned.InFlight.Starts))
		}
	}
	member, err := json.Marshal(clusterstate.MemberValue{Format: clusterstate.Format})
	if err != nil {
		t.Fatal(err)
	}
	if err := n.core.State.Put(clusterstate.KeyMember+"n", member, 9); err != nil {
		t.Fatal(err)
	}
	n.membership.ReconcilePartitions()
	for range 15 {
		nextSecond(n)
		if n.scheduler.RunPartition(owned); owned.InFlight != nil {
			return
		}
	}
	t.Error("the gang does not start after the upgrade")
}

// While ends fill each round, a gang that does not fit beside them gets the space in the next round.
func TestDeferredGangGoesFirst(t *testing.T) {
	const tasks, jobs = 150, 4000
	n, owned, j := newGangOwner(t, tasks, 4, tasks, clusterstate.FormatRelays)
	other := *testSpec(jobs)
	other.Ref, other.CPUs = "run-2", 0.001
	otherJob := putJob(t, n, &other, "", 0)
	for i := range jobs {
		p := &core.Placement{Task: api.TaskID{Job: "run-2", Index: i}, Machine: api.MachineID(fmt.Sprintf("i-%06d", i%tasks)), Epoch: 1, Attempt: 1, Job: otherJob}
		n.core.State.AddPlacement(p)
	}
	nextTask := 0
	for range 5 {
		for ; nextTask < jobs && len(owned.PendingEnds) < 900; nextTask++ { // as many as leave no space for the gang
			n.scheduler.RecordTaskEnd(owned, otherJob.Placements[nextTask], false, "test")
		}
		nextSecond(n)
		n.scheduler.RunPartition(owned)
		if owned.InFlight == nil {
			t.Fatal("no round is written")
		}
		n.scheduler.ApplyCommittedRound(owned, owned.LastRevision+1)
		if len(j.Placements) == tasks {
			return
		}
		if len(j.Placements) != 0 {
			t.Fatalf("%d of %d tasks of the gang start", len(j.Placements), tasks)
		}
	}
	t.Error("the gang does not start beside the ends of other tasks")
}

// A gang too large for any record does not keep others from starting.
func TestOversizedGangLeavesCapacity(t *testing.T) {
	n, owned, j := newGangOwner(t, 300, 8, 300, clusterstate.FormatRelays)
	other := *testSpec(40)
	other.Ref, other.Priority = "run-2", api.Low
	otherJob := putJob(t, n, &other, "", 0)
	for range 5 {
		nextSecond(n)
		owned.NeedsRound = true
		if n.scheduler.RunPartition(owned); owned.InFlight != nil {
			n.scheduler.ApplyCommittedRound(owned, owned.LastRevision+1)
		}
	}
	if len(j.Placements) != 0 || len(otherJob.Placements) != 40 {
		t.Errorf("%d tasks of the gang and %d of the other job have started, expected 0 and 40", len(j.Placements), len(otherJob.Placements))
	}
}

// No machine gets more tasks than its heartbeat can report within the limit on requests, whatever their size.
func TestTasksOnAMachineFitItsHeartbeat(t *testing.T) {
	n, owned, j := newGangOwner(t, 100, 0.01, 1, clusterstate.FormatPackedStarts)
	for i := range 15 {
		spec := *j.Spec
		spec.Ref = api.JobID(fmt.Sprintf("run-%036d", i))
		putJob(t, n, &spec, "", 0)
	}
	for range 20 {
		nextSecond(n)
		owned.NeedsRound = true
		if n.scheduler.RunPartition(owned); owned.InFlight != nil {
			n.scheduler.ApplyCommittedRound(owned, owned.LastRevision+1)
		}
	}
	tasks := len(n.core.State.PlacementsOn("i-000000"))
	if body := largestHeartbeat(t, n, "i-000000"); len(body) > heartbeatLimit || tasks < 300 {
		t.Errorf("a heartbeat of %d bytes with %d tasks", len(body), tasks)
	}
}

// heartbeatLimit is the limit on the size of a request.
const heartbeatLimit = 64 << 10

// largestHeartbeat returns the largest heartbeat that a machine may send about the tasks placed on it.
func largestHeartbeat(t *testing.T, n *Controller, id api.MachineID) []byte {
	t.Helper()
	report := api.Heartbeat{Machine: id, Address: "10.100.100.100:65535", Type: "c8", Zone: "a", Epoch: 1 << 40, Seq: 1 << 40, Token: 1 << 40}
	for _, p := range n.core.State.PlacementsOn(id) {
		report.Tasks = append(report.Tasks, api.TaskStatus{Task: p.Task.String(), Attempt: 1 << 40, State: api.TaskExited, Reason: api.ReasonGangIncomplete})
	}
	body, err := json.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	return body
}
