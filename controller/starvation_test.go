package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/controller/core"
	"basaltwall/sched"
)

// No quota is reserved for a job that can start only after services of the team release theirs.
func TestQuotaIsReservedOnlyIfAttainable(t *testing.T) {
	n, _, _, j := newTestOwner(t, testSpec(4))
	n.core.Teams["red"] = config.Team{Name: "red", CPUsMax: 4 * j.Spec.CPUs}
	if !n.backfiller.FitsAttainableQuota(j, 4) || n.backfiller.FitsAttainableQuota(j, 5) {
		t.Error("the attainable quota is not exactly the team's limit")
	}
	s := *j.Spec
	s.Ref, s.Kind = "run-50", api.Service
	data, _ := json.Marshal(clusterstate.JobValue{Spec: &s, Split: []clusterstate.TaskRange{{To: s.Tasks}}})
	if err := n.core.State.Put(clusterstate.KeyJob+"run-50", data, 8); err != nil {
		t.Fatal(err)
	}
	o := n.core.State.Jobs["run-50"]
	n.core.State.AddPlacement(&core.Placement{Task: api.TaskID{Job: "run-50", Index: 0}, Machine: "i-000000", Epoch: 1, Attempt: 1, Job: o})
	if n.backfiller.FitsAttainableQuota(j, 4) || !n.backfiller.FitsAttainableQuota(j, 3) {
		t.Error("quota held by a service counts as attainable")
	}
}

// Reservations are recorded: a new owner restores them, records their removal once the job has
// started, and drops reservations for unknown jobs.
func TestNewOwnerRestoresReservations(t *testing.T) {
	spec := testSpec(2)
	spec.Ref = "run-7"
	n, owned, m, j := newTestOwner(t, spec)
	applyRecord := func(reservations ...clusterstate.Reservation) {
		n.core.State.ApplyRecord(0, &clusterstate.RoundRecord{Seq: n.core.State.Partitions[0].RoundSeq + 1, Reservations: reservations})
	}
	n.backfiller.Reserve(owned, m, j.ID, j.Spec.Priority.Rank(), sched.AgedWithinPriority)
	reservations := n.backfiller.ReservationChanges(owned)
	if len(reservations) != 1 || reservations[0].Machine != m.ID || reservations[0].Job != j.ID {
		t.Fatalf("recorded reservations: %+v", reservations)
	}
	applyRecord(reservations...)
	if again := n.backfiller.ReservationChanges(owned); len(again) != 0 {
		t.Fatalf("an unchanged reservation is recorded again: %+v", again)
	}
	m.ReservedFor, m.ReservedUntil, m.ReservedForAged = "", 0, false // another owner knows only the record
	n.scheduler.BeginOwnership(0, 8)
	if n.preemptor.ReservedFor(m) != j.ID || !m.ReservedForAged {
		t.Error("a new owner does not restore the reservation")
	}
	if len(n.backfiller.ReservationChanges(n.core.Partitions[0])) != 0 {
		t.Error("a new owner records the restored reservation again")
	}
	for i := range spec.Tasks {
		n.core.State.AddPlacement(&core.Placement{Task: api.TaskID{Job: j.ID, Index: i}, Machine: m.ID, Epoch: 1, Attempt: 1, Job: j})
	}
	if ends := n.backfiller.ReservationChanges(n.core.Partitions[0]); len(ends) != 1 || ends[0] != (clusterstate.Reservation{Machine: m.ID}) {
		t.Errorf("the end of the reservation is not recorded: %+v", ends)
	}
	applyRecord(clusterstate.Reservation{Machine: m.ID}, clusterstate.Reservation{Machine: "i-000009", Job: "run-99"})
	n.scheduler.BeginOwnership(0, 9)
	if n.core.Machines["i-000009"] != nil && n.preemptor.ReservedFor(n.core.Machines["i-000009"]) != "" {
		t.Error("a machine is reserved for an unknown job")
	}
}

// Metrics show the free accelerators and those unusable for typical demands by machine type and zone.
func TestFragmentationByZone(t *testing.T) {
	spec := testSpec(1)
	spec.GPUs, spec.CPUs = 4, 4
	n, _, m, _ := newTestOwner(t, spec)
	n.core.AddMachineTypes([]api.MachineType{{Name: "g4", CPUs: 16, GPUs: 4, MemGB: 64, Zones: []api.Zone{"a", "b"}}})
	m.MachineType = "g4"
	m.UntrackedUsage = api.Resources{GPU: api.ToQuantity(3)}
	for i, zone := range []api.Zone{"b", "a"} {
		o := n.agents.EnsureMachine(api.MachineID(fmt.Sprint("i-00000", i+1)))
		o.MachineType, o.Zone, o.LastHeartbeat, o.Epoch, o.ReportedToken = "g4", zone, n.core.Now, 1, 7
	}
	got := n.backfiller.FragmentedCapacity()
	want := []core.FragmentationView{{Type: "g4", Zone: "a", Free: 5, Unusable: 1}, {Type: "g4", Zone: "b", Free: 4}}
	if !slices.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
