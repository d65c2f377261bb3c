package controller

import (
	"testing"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
)

// A machine is lent together with its tasks only if all of them can be transferred.
func TestTransferable(t *testing.T) {
	for what, tc := range map[string]struct {
		change func(m *core.Machine, j *core.Job, p *core.Placement)
		want   bool
	}{
		"running tasks":                   {func(*core.Machine, *core.Job, *core.Placement) {}, true},
		"an unknown task":                 {func(m *core.Machine, _ *core.Job, _ *core.Placement) { m.HasUnknownTasks = true }, false},
		"a command that may still arrive": {func(m *core.Machine, _ *core.Job, _ *core.Placement) { m.SupersededToken = 3 }, false},
		"a task that is being stopped":    {func(_ *core.Machine, _ *core.Job, p *core.Placement) { p.OwnerState.StopRequested = true }, false},
		"a launch in flight":              {func(_ *core.Machine, _ *core.Job, p *core.Placement) { p.OwnerState.Reported = false }, false},
		"a gang":                          {func(_ *core.Machine, j *core.Job, _ *core.Placement) { j.Spec.Kind = api.Gang }, false},
		"a cancelled job":                 {func(_ *core.Machine, j *core.Job, _ *core.Placement) { j.Cancelled = true }, false},
		"units of a pool": {func(_ *core.Machine, j *core.Job, _ *core.Placement) {
			j.Spec.Needs = []api.PoolRequest{{Pool: "p", Task: 1}}
		}, false},
		"another partition's task": {func(_ *core.Machine, _ *core.Job, p *core.Placement) { p.Partition = 1 }, false},
		"a finishing task":         {func(_ *core.Machine, _ *core.Job, p *core.Placement) { p.Finishing = true }, false},
	} {
		n, owned, m, j := newTestOwner(t, testSpec(1))
		n.core.State.ApplyRecord(0, &clusterstate.RoundRecord{Seq: 1, Jobs: []clusterstate.JobDelta{{Job: j.ID, Starts: []clusterstate.TaskStart{{Task: 0, Machine: m.ID, Epoch: 1}}}}})
		p := j.Placements[0]
		p.OwnerState.Reported, p.OwnerState.State = true, api.TaskRunning
		tc.change(m, j, p)
		if got := n.balancer.IsTransferable(m, owned); got != tc.want {
			t.Errorf("%s: IsTransferable is %v", what, got)
		}
	}
}
