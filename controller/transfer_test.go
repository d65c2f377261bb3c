package controller

import (
	"testing"

	"basaltwall/api"
	"basaltwall/clusterstate"
)

// A launch by the former owner of a machine that was lent with its tasks may be on its way under
// any token below the lending's, which may be above the new owner's term.
func TestLaunchTokenAfterTransfer(t *testing.T) {
	n, owned, m, j := newTestOwner(t, testSpec(1))
	n.core.state.ApplyRecord(0, &clusterstate.Record{Seq: 1, Jobs: []clusterstate.JobDelta{{Job: j.ID, Starts: []clusterstate.TaskStart{{Task: 0, Machine: m.ID, Epoch: 1}}}}})
	if got := n.agents.latestLaunchToken(j.Placements[0], owned); got != api.FencingToken(owned.term)-1 {
		t.Errorf("token %d under term %d", got, owned.term)
	}
	n.core.state.Loans[m.ID] = clusterstate.Loan{LoanValue: clusterstate.LoanValue{Transferred: true}, Revision: owned.term + 5}
	if got := n.agents.latestLaunchToken(j.Placements[0], owned); got != api.FencingToken(owned.term)+4 {
		t.Errorf("token %d after a transfer at %d", got, owned.term+5)
	}
}

// What can't go with a machine keeps it from being lent with its tasks.
func TestTransferable(t *testing.T) {
	for what, tc := range map[string]struct {
		change func(m *Machine, j *Job, p *Placement)
		want   bool
	}{
		"tasks that run":                  {func(*Machine, *Job, *Placement) {}, true},
		"an unknown task":                 {func(m *Machine, _ *Job, _ *Placement) { m.hasUnknownTasks = true }, false},
		"a command that may still arrive": {func(m *Machine, _ *Job, _ *Placement) { m.uncertainToken = 3 }, false},
		"a task that is being stopped":    {func(_ *Machine, _ *Job, p *Placement) { p.OwnerState.stopRequested = true }, false},
		"a launch on its way":             {func(_ *Machine, _ *Job, p *Placement) { p.OwnerState.reported = false }, false},
		"a gang":                          {func(_ *Machine, j *Job, _ *Placement) { j.Spec.Kind = api.Gang }, false},
		"a cancelled job":                 {func(_ *Machine, j *Job, _ *Placement) { j.Cancelled = true }, false},
		"units of a pool":                 {func(_ *Machine, j *Job, _ *Placement) { j.Spec.Needs = []api.PoolRequest{{Pool: "p", Task: 1}} }, false},
		"another part's task":             {func(_ *Machine, _ *Job, p *Placement) { p.Partition = 1 }, false},
		"a task that is over":             {func(_ *Machine, _ *Job, p *Placement) { p.Finishing = true }, false},
	} {
		n, owned, m, j := newTestOwner(t, testSpec(1))
		n.core.state.ApplyRecord(0, &clusterstate.Record{Seq: 1, Jobs: []clusterstate.JobDelta{{Job: j.ID, Starts: []clusterstate.TaskStart{{Task: 0, Machine: m.ID, Epoch: 1}}}}})
		p := j.Placements[0]
		p.OwnerState.reported, p.OwnerState.state = true, api.TaskRunning
		tc.change(m, j, p)
		if got := n.balancer.isTransferable(m, owned); got != tc.want {
			t.Errorf("%s: %v", what, got)
		}
	}
}
