package controller

import (
	"testing"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/health"
	"basaltwall/zonehealth"
)

// While a zone is lost, preemption stops at the floors of the preempted classes and teams.
func TestNoPreemptionBelowFloor(t *testing.T) {
	n, owned, m, j := newTestOwner(t, testSpec(2))
	j.Spec.Class = "batch"
	for i := range 2 {
		n.core.State.AddPlacement(&core.Placement{Task: api.TaskID{Job: j.ID, Index: i}, Machine: m.ID, Epoch: 1, Job: j})
	}
	urgent := &api.JobSpec{Ref: "run-2", Kind: api.Service, Class: "web", Team: "red", Priority: api.Production, Tasks: 1, CPUs: 8, MemGB: 1}
	preempted := func(spare float64) int {
		n.health.Floors.Classes = map[api.Class]zonehealth.Allowance{"batch": {Preemptible: spare}}
		n.health.Floors.Teams = map[api.Team]zonehealth.Allowance{"red": {Preemptible: 100}}
		return n.preemptor.PlanPreemption(m, owned, urgent, 1, false).Tasks
	}
	if preempted(2) != 1 {
		t.Error("a task above its class's floor is not preempted")
	}
	if preempted(0.5) != 0 {
		t.Error("a task is preempted below its class's floor")
	}
	n.health.Floors = health.Floors{}
	if n.preemptor.PlanPreemption(m, owned, urgent, 1, false).Tasks != 1 {
		t.Error("a task is not preempted though no zone is lost")
	}
}

// A machine counts as evidence for the health of its zone. A heartbeat sent directly to the owner
// clears earlier failed calls. A machine counts as unreachable if its heartbeats come only through
// peers or not at all. Machines that boot, were never called or are being deleted as idle don't count.
func TestZoneEvidenceOfAMachine(t *testing.T) {
	for _, tc := range []struct {
		what             string
		change           func(*Controller, *core.Machine)
		all, unreachable int
	}{
		{"recent heartbeat", func(*Controller, *core.Machine) {}, 1, 0},
		{"heartbeat after failed calls", func(_ *Controller, m *core.Machine) { m.UnansweredCalls = 4 }, 1, 0},
		{"heartbeat forwarded by a peer, and calls fail", func(_ *Controller, m *core.Machine) { m.UnansweredCalls, m.HeartbeatForwarded = 2, true }, 1, 1},
		{"heartbeat timed out", func(n *Controller, _ *core.Machine) { n.core.Now = n.core.Now.Add(n.core.Config.WorkerLease()) }, 1, 1},
		{"no heartbeat yet, never called", func(_ *Controller, m *core.Machine) { m.LastHeartbeat = 0 }, 0, 0},
		{"no heartbeat yet, calls fail, not listed as running", func(_ *Controller, m *core.Machine) { m.LastHeartbeat, m.UnansweredCalls = 0, 3 }, 0, 0},
		{"no heartbeat yet, calls fail, listed as running", func(n *Controller, m *core.Machine) {
			m.LastHeartbeat, m.UnansweredCalls = 0, 3
			n.autoscaler.Listed[m.ID] = api.Instance{ID: m.ID, State: api.MachineRunning}
		}, 1, 1},
		{"being deleted as idle", func(n *Controller, m *core.Machine) {
			n.autoscaler.ScheduleDeletion(m, n.core.Partitions[0], core.DeletionReasonIdle)
			n.core.Now = n.core.Now.Add(n.core.Config.WorkerLease())
		}, 0, 0},
		{"being deleted with its zone", func(n *Controller, m *core.Machine) {
			n.autoscaler.ScheduleDeletion(m, n.core.Partitions[0], core.DeletionReasonZoneLost)
			n.core.Now = n.core.Now.Add(n.core.Config.WorkerLease())
		}, 1, 1},
	} {
		n, owned, m, _ := newTestOwner(t, testSpec(1))
		tc.change(n, m)
		if c := n.health.CountMachinesByZone(owned)["a"]; c.All != tc.all || c.Silent != tc.unreachable {
			t.Errorf("%s: %d of %d unreachable, expected %d of %d", tc.what, c.Silent, c.All, tc.unreachable, tc.all)
		}
	}
}
