package controller

import (
	"testing"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/zonehealth"
)

// While a zone is lost urgent work has others make way only down to their floors.
func TestNoPreemptionBelowFloor(t *testing.T) {
	n, owned, m, j := newTestOwner(t, testSpec(2))
	j.Spec.Class = "batch"
	for i := range 2 {
		n.core.State.AddPlacement(&core.Placement{Task: api.TaskID{Job: j.ID, Index: i}, Machine: m.ID, Epoch: 1, Job: j})
	}
	urgent := &api.JobSpec{Ref: "run-2", Kind: api.Service, Class: "web", Team: "red", Priority: api.Production, Tasks: 1, CPUs: 8, MemGB: 1}
	preempted := func(spare float64) int {
		n.health.zones.classFloors = map[api.Class]zonehealth.Allowance{"batch": {Preemptible: spare}}
		n.health.zones.teamFloors = map[api.Team]zonehealth.Allowance{"red": {Preemptible: 100}}
		return n.preemptor.PlanPreemption(m, owned, urgent, 1, false).Tasks
	}
	if preempted(2) != 1 {
		t.Error("what is above its floor does not make way")
	}
	if preempted(0.5) != 0 {
		t.Error("what is at its floor makes way")
	}
	n.health.zones.classFloors, n.health.zones.teamFloors = nil, nil
	if n.preemptor.PlanPreemption(m, owned, urgent, 1, false).tasks != 1 {
		t.Error("without a lost zone there is a floor")
	}
}

// What a machine says of its zone. One that reports to us again is back, though calls to it
// failed before: a zone was held for lost half a minute too long for want of calls. One
// that is heard by way of peers alone, or not, is silent; what boots, was never called, or
// gets no answers from us because it is being returned, says nothing.
func TestZoneEvidenceOfAMachine(t *testing.T) {
	for _, tc := range []struct {
		what        string
		change      func(*Controller, *core.Machine)
		all, silent int
	}{
		{"heard", func(*Controller, *core.Machine) {}, 1, 0},
		{"heard again after calls that failed", func(_ *Controller, m *core.Machine) { m.MissedCalls = 4 }, 1, 0},
		{"heard by way of a peer, and calls fail", func(_ *Controller, m *core.Machine) { m.MissedCalls, m.HeartbeatForwarded = 2, true }, 1, 1},
		{"not heard for long", func(n *Controller, _ *core.Machine) { n.core.Now = n.core.Now.Add(n.core.Config.WorkerLease()) }, 1, 1},
		{"never heard nor called", func(_ *Controller, m *core.Machine) { m.LastHeartbeat = 0 }, 0, 0},
		{"never heard, called in vain, not known to be up", func(_ *Controller, m *core.Machine) { m.LastHeartbeat, m.MissedCalls = 0, 3 }, 0, 0},
		{"never heard, called in vain, listed as up", func(n *Controller, m *core.Machine) {
			m.LastHeartbeat, m.MissedCalls = 0, 3
			n.autoscaler.fleet.listedMachines[m.ID] = api.Instance{ID: m.ID, State: api.MachineRunning}
		}, 1, 1},
		{"being returned", func(n *Controller, m *core.Machine) {
			n.autoscaler.ScheduleDeletion(m, n.core.Partitions[0], deleteReasonIdle)
			n.core.Now = n.core.Now.Add(n.core.Config.WorkerLease())
		}, 0, 0},
		{"being given up", func(n *Controller, m *core.Machine) {
			n.autoscaler.ScheduleDeletion(m, n.core.Partitions[0], deleteReasonZoneLost)
			n.core.Now = n.core.Now.Add(n.core.Config.WorkerLease())
		}, 1, 1},
	} {
		n, owned, m, _ := newTestOwner(t, testSpec(1))
		tc.change(n, m)
		if c := n.health.SilentByZone(owned)["a"]; c.All != tc.all || c.Silent != tc.silent {
			t.Errorf("%s: %d of %d silent, expected %d of %d", tc.what, c.Silent, c.All, tc.silent, tc.all)
		}
	}
}
