package controller

import (
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// newCancelledJob returns an owner that has read the cancellation of a job. Two tasks of the job run
// on its machine, which has reported them under the owner's fencing token.
func newCancelledJob(t *testing.T) (*Controller, *core.OwnedPartition, *core.Machine, *core.Job) {
	t.Helper()
	n, owned, m, j := newTestOwner(t, testSpec(2))
	n.core.State.ApplyRecord(0, &clusterstate.RoundRecord{Seq: 1, Jobs: []clusterstate.JobDelta{{Job: j.ID, Starts: []clusterstate.TaskStart{{Task: 0, Machine: m.ID, Epoch: 1}, {Task: 1, Machine: m.ID, Epoch: 1}}}}})
	for _, p := range j.Placements {
		p.OwnerState.Reported, p.OwnerState.State = true, api.TaskRunning
	}
	v := j.JobValue
	v.Cancelled = true
	putJobValue(t, n, v, 9)
	return n, owned, m, j
}

// An owner acknowledges a cancellation only when no other owner can command the machines of the
// job's tasks, no launch is in flight and all tasks have started. Users are answered only then.
func TestOwnerAcknowledgesCancellation(t *testing.T) {
	for what, tc := range map[string]struct {
		change func(n *Controller, m *core.Machine, j *core.Job)
		want   bool
	}{
		"all tasks have started": {func(*Controller, *core.Machine, *core.Job) {}, true},
		"a former owner's token": {func(_ *Controller, m *core.Machine, _ *core.Job) { m.ReportedToken = 6 }, false},
		"on loan, without a heartbeat since": {func(n *Controller, m *core.Machine, _ *core.Job) {
			n.core.State.Loans[m.ID] = clusterstate.Loan{Revision: 8}
		}, false},
		"an unknown machine":             {func(n *Controller, m *core.Machine, _ *core.Job) { n.agents.ForgetMachine(m.ID) }, false},
		"a launch in flight":             {func(_ *Controller, _ *core.Machine, j *core.Job) { j.Placements[1].OwnerState.Reported = false }, false},
		"a task that fetches its image":  {func(_ *Controller, _ *core.Machine, j *core.Job) { j.Placements[1].OwnerState.State = api.TaskFetching }, false},
		"a task that waits for its gang": {func(_ *Controller, _ *core.Machine, j *core.Job) { j.Placements[1].OwnerState.State = api.TaskWaiting }, false},
		"a task that writes a checkpoint": {func(_ *Controller, _ *core.Machine, j *core.Job) {
			j.Placements[1].OwnerState.State = api.TaskCheckpointing
		}, true},
		"the launch in flight is of a task that is over": {func(n *Controller, _ *core.Machine, j *core.Job) {
			j.Placements[1].OwnerState.Reported = false
			n.core.State.SetFinishing(j.Placements[1], true)
		}, true},
		"leases longer than a cancellation": {func(n *Controller, _ *core.Machine, _ *core.Job) { n.core.LeaseCoversCancellation = false }, false},
	} {
		n, owned, m, j := newCancelledJob(t)
		if s, _ := n.jobs.JobStatus(j.ID); s.State != api.JobRunning || *s.Running != 2 {
			t.Errorf("%s: the job is reported %s with %d tasks before its owner acknowledges", what, s.State, *s.Running)
		}
		tc.change(n, m, j)
		n.scheduler.RunPartition(owned)
		acknowledged := false
		if owned.InFlight != nil {
			for _, d := range owned.InFlight.Record.Jobs {
				acknowledged = acknowledged || d.CancellationAcknowledged
			}
			n.scheduler.ApplyCommittedRound(owned, 10)
		}
		s, _ := n.jobs.JobStatus(j.ID)
		if acknowledged != tc.want || s.Terminal() != tc.want {
			t.Errorf("%s: acknowledged %v, the job is reported %s; expected %v", what, acknowledged, s.State, tc.want)
		}
	}
}

// A cancellation request is answered once the cancellation is acknowledged, or with 503 and
// Retry-After after a timeout, which is shorter for a request that a peer has forwarded.
func TestCancellationAnsweredOnceAcknowledged(t *testing.T) {
	n, _, _, j := newCancelledJob(t)
	retried, answered := 0, 0
	ask := func(forwarded bool) {
		n.jobs.RespondWhenAcknowledged(forwarded, func(s api.JobStatus) {
			if answered++; s.State != api.JobCancelled {
				t.Errorf("answered %s", s.State)
			}
		}, func() { retried++ })(api.JobStatus{JobID: j.ID, State: api.JobRunning})
	}
	ask(true)
	ask(false)
	n.core.Now = n.core.Now.Add(time.Second)
	if n.jobs.ReplyToCancellations(); retried != 1 || answered != 0 {
		t.Errorf("after a second: %d answered, %d told to retry", answered, retried)
	}
	n.core.State.ApplyRecord(0, &clusterstate.RoundRecord{Seq: 2, Jobs: []clusterstate.JobDelta{{Job: j.ID, CancellationAcknowledged: true}}})
	if n.jobs.ReplyToCancellations(); retried != 1 || answered != 1 || n.jobs.PendingCancellations() != 0 {
		t.Errorf("%d answered, %d told to retry, %d pending", answered, retried, n.jobs.PendingCancellations())
	}
	if v := n.reporter.View(); v.PendingCancellations != 0 {
		t.Errorf("%d cancellations pending", v.PendingCancellations)
	}
}

// A task that completes after the owner has read its job's cancellation is recorded as lost: a job
// that was reported cancelled must not become done.
func TestNoCompletionAfterACancellation(t *testing.T) {
	n, owned, _, j := newCancelledJob(t)
	n.scheduler.RecordTaskEnd(owned, j.Placements[0], true, "done")
	n.scheduler.RecordTaskEnd(owned, j.Placements[1], true, "done")
	n.scheduler.RunPartition(owned)
	if owned.InFlight == nil {
		t.Fatal("no round is written")
	}
	lost := 0
	for _, d := range owned.InFlight.Record.Jobs {
		if lost += len(d.EndedIncomplete); len(d.Completed) > 0 {
			t.Errorf("tasks recorded as done: %v", d.Completed)
		}
	}
	if lost != 2 {
		t.Errorf("%d tasks recorded as lost, expected 2", lost)
	}
	n.scheduler.ApplyCommittedRound(owned, 10)
	if s, _ := n.jobs.JobStatus(j.ID); s.State != api.JobCancelled {
		t.Errorf("the job is reported %s", s.State)
	}
}

// Each machine that runs tasks of a cancelled job is contacted once, as soon as the cancellation is
// read and without waiting for its next heartbeat.
func TestMachinesContactedForCancelledTasks(t *testing.T) {
	n, owned, m, j := newCancelledJob(t)
	m.Address = "10.1.0.1:9000"
	for _, p := range j.Placements {
		m.ReportedTasks[core.AttemptKey{Task: p.Task, Attempt: p.Attempt}] = api.TaskStatus{Task: p.Task.String(), Attempt: p.Attempt, State: api.TaskRunning}
	}
	calls := func() (count, stops int) {
		n.agents.ReconcileMachines()
		for _, e := range n.core.Effects {
			if c, ok := e.(message.WorkerCall); ok {
				count++
				for _, command := range c.Commands.Commands {
					if command.Op == api.OpStop {
						stops++
					}
				}
			}
		}
		return count, stops
	}
	n.scheduler.RunPartition(owned)
	if count, stops := calls(); count != 1 || stops != 2 {
		t.Errorf("%d calls with %d stops, expected 1 with 2", count, stops)
	}
	n.jobs.StopCancelledTasks(owned, j)
	if n.agents.PendingDirectCallCount() != 0 {
		t.Error("the machine is contacted again for the same cancellation")
	}
}
