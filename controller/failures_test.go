package controller

import (
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// recordStarts runs a partition's next round a number of seconds later, records it and returns its number of starts.
func recordStarts(n *Controller, owned *core.OwnedPartition, seconds int) int {
	n.core.Now = n.core.Now.Add(time.Duration(seconds) * time.Second)
	for _, m := range n.core.Machines {
		m.LastHeartbeat, m.LeaseRenewedAt = n.core.Now, n.core.Now
	}
	n.scheduler.RunPartition(owned)
	if owned.InFlight == nil {
		return 0
	}
	starts := len(owned.InFlight.Starts)
	n.scheduler.ApplyCommittedRound(owned, owned.LastRevision+1)
	return starts
}

// A job that failed on its only machine was kept off it for good (review/6). It gets one task there as a probe,
// and more once that has succeeded. The same holds for a machine on which several jobs failed.
func TestOneProbeAfterAFailure(t *testing.T) {
	for what, fail := range map[string]func(n *Controller, m *core.Machine, j *core.Job){
		"the job failed":      func(n *Controller, m *core.Machine, j *core.Job) { j.OwnerState.FailedOn.Failed(m.ID, n.core.Now) },
		"several jobs failed": func(n *Controller, m *core.Machine, _ *core.Job) { m.Quarantine.Failed(n.core.Now) },
	} {
		n, owned, m, j := newTestOwner(t, testSpec(6))
		fail(n, m, j)
		if starts := recordStarts(n, owned, 5); starts != 0 {
			t.Errorf("%s: %d tasks start five seconds after the failure", what, starts)
		}
		if starts := recordStarts(n, owned, 6); starts != 1 {
			t.Errorf("%s: %d tasks start after the delay, expected a probe", what, starts)
		}
		if starts := recordStarts(n, owned, 60); starts != 0 {
			t.Errorf("%s: %d tasks start beside the probe", what, starts)
		}
		var probe *core.Placement
		for _, p := range j.Placements {
			probe = p
		}
		probe.OwnerState.RunningSince = n.core.Now.Add(-core.FailureTrustTime)
		owned.NeedsRound = n.core.EndProbes(m, probe)
		if starts := recordStarts(n, owned, 1) + recordStarts(n, owned, 1); starts != 2 {
			t.Errorf("%s: %d tasks start in two rounds after the probe has succeeded, expected 2", what, starts)
		}
	}
}

// A task that was started before a failure shows nothing about the machine since.
func TestEarlierTaskIsNoProbe(t *testing.T) {
	n, owned, m, j := newTestOwner(t, testSpec(2))
	if starts := recordStarts(n, owned, 1); starts != 1 {
		t.Fatalf("%d starts, expected 1", starts)
	}
	j.OwnerState.FailedOn.Failed(m.ID, n.core.Now.Add(time.Second))
	m.Quarantine.Failed(n.core.Now.Add(time.Second))
	for _, p := range j.Placements {
		n.core.EndProbes(m, p)
	}
	if !m.Quarantine.Active() || j.OwnerState.FailedOn[m.ID] == nil {
		t.Error("the success of an earlier task ends the effects of a failure")
	}
}

// A gang that needs all machines starts again on the one where it failed, and uses others first.
func TestGangUsesFailedMachinesLast(t *testing.T) {
	for _, machines := range []int{2, 3} {
		spec := testSpec(2)
		spec.Kind, spec.CPUs = api.Gang, 8
		n, owned, failed, j := newTestOwner(t, spec)
		for i := 1; i < machines; i++ {
			m := n.agents.EnsureMachine(machineName(i))
			m.MachineType, m.Zone, m.LastHeartbeat, m.Epoch, m.ReportedToken = "c8", "a", n.core.Now, 1, 7
		}
		j.OwnerState.FailedOn.Failed(failed.ID, n.core.Now.Add(-time.Minute)) // a probe is due
		starts := recordStarts(n, owned, 1)
		if starts != spec.Tasks {
			t.Fatalf("%d machines: %d tasks start", machines, starts)
		}
		for _, p := range j.Placements {
			if machines == 3 && p.Machine == failed.ID {
				t.Error("the gang starts on the machine where it failed, though others have room")
			}
		}
	}
}

// A probe that runs for FailureTrustTime ends the effects of failures, since a long task shows enough by then.
func TestRunningProbeEndsFailures(t *testing.T) {
	n, owned, m, j := newTestOwner(t, testSpec(2))
	j.OwnerState.FailedOn.Failed(m.ID, n.core.Now.Add(-time.Minute))
	m.Quarantine.Failed(n.core.Now.Add(-time.Minute))
	if starts := recordStarts(n, owned, 1); starts != 1 {
		t.Fatalf("%d starts, expected a probe", starts)
	}
	report := api.Heartbeat{Machine: m.ID, Address: "10.0.1.1:1", Type: "c8", Zone: "a", Epoch: 1, Token: 7}
	for _, p := range j.Placements {
		report.Tasks = []api.TaskStatus{{Task: p.Task.String(), Attempt: p.Attempt, State: api.TaskRunning}}
	}
	for _, c := range []struct {
		after time.Duration
		ended bool
	}{{0, false}, {core.FailureTrustTime - time.Second, false}, {time.Second, true}} {
		n.core.Now = n.core.Now.Add(c.after)
		report.Seq++
		n.agents.HandleHeartbeat(message.WorkerHeartbeat{Heartbeat: &report})
		if ended := !m.Quarantine.Active() && j.OwnerState.FailedOn[m.ID] == nil; ended != c.ended {
			t.Errorf("heartbeat %d: the effects have ended: %v, expected %v", report.Seq, ended, c.ended)
		}
	}
}
