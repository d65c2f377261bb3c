package autoscale

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/zonehealth"
)

// The fakes implement the methods that deletions use; any other call panics.
type (
	fakeAgents struct {
		Agents
		forgotten []api.MachineID
	}
	fakeBalancer  struct{}
	fakeFollower  struct{}
	fakeScheduler struct {
		Scheduler
		ended []string
	}
	fakeHealth struct {
		Health
		recorded map[api.Zone]zonehealth.State
	}
)

func (f *fakeAgents) ForgetMachine(id api.MachineID) { f.forgotten = append(f.forgotten, id) }

func (fakeBalancer) DropLoanRecord(*core.OwnedPartition, api.MachineID) {}

func (fakeFollower) LinearizableRead(onRead, _ func()) { onRead() }

func (f *fakeHealth) RecordedState(zone api.Zone) zonehealth.State { return f.recorded[zone] }

func (f *fakeScheduler) RecordTaskEnd(_ *core.OwnedPartition, p *core.Placement, done bool, reason string) {
	f.ended = append(f.ended, fmt.Sprintf("%s %t %s", p.Machine, done, reason))
}

// deletionTest is an autoscaler with one owned partition and fake dependencies.
type deletionTest struct {
	*Manager
	owned     *core.OwnedPartition
	agents    *fakeAgents
	health    *fakeHealth
	scheduler *fakeScheduler
}

func newDeletionTest(t *testing.T) *deletionTest {
	t.Helper()
	cfg, err := config.Parse([]byte(`{"label":"n","api_addr":"10.0.0.1:1","peer_listen":"10.0.0.1:2",
"external":{"cloud":"10.0.0.2:1","state":"10.0.0.3:1"},"deployment":{"initial_size":1,"zones":["a","b"],
"teams":[{"name":"red"}],"workers":{"report_s":3,"lease_s":30,"cancel_s":60},
"state":{"rps":100,"write_rps":50,"value_kb":8,"txn_ops":12},"cloud":{"rps":10}}}`))
	if err != nil {
		t.Fatal(err)
	}
	shared := core.New(cfg, 1)
	shared.Now = api.Time(time.Minute)
	shared.State = clusterstate.New[core.JobOwnerState, core.PlacementOwnerState](cfg.Deployment.InitialSize)
	test := &deletionTest{
		Manager:   New(shared),
		owned:     &core.OwnedPartition{ID: 0},
		agents:    &fakeAgents{},
		health:    &fakeHealth{recorded: map[api.Zone]zonehealth.State{}},
		scheduler: &fakeScheduler{},
	}
	shared.Partitions[0] = test.owned
	test.Connect(Dependencies{Agents: test.agents, Balancer: fakeBalancer{}, Follower: fakeFollower{}, Health: test.health, Scheduler: test.scheduler})
	return test
}

func (test *deletionTest) schedule(id api.MachineID, zone api.Zone, reason core.DeletionReason) *core.Machine {
	m := &core.Machine{ID: id, Zone: zone}
	test.ScheduleDeletion(m, test.owned, reason)
	return m
}

// place adds a placement of a service's replica on a machine.
func (test *deletionTest) place(id api.MachineID) {
	spec := &api.JobSpec{Ref: "run-1", Team: "red", Kind: api.Service, Priority: api.Normal, Tasks: 1, CPUs: 1}
	j := &core.Job{ID: spec.Ref, JobValue: clusterstate.JobValue{Spec: spec, Split: []clusterstate.TaskRange{{From: 0, To: spec.Tasks}}}, Placements: map[int]*core.Placement{}, PlacementCounts: map[api.PartitionID]int{}}
	test.core.State.AddPlacement(&core.Placement{Task: api.TaskID{Job: j.ID}, Machine: id, Job: j})
}

// sentDeletion removes and returns the only effect, which must be a deletion call to the cloud.
func (test *deletionTest) sentDeletion(t *testing.T) message.CloudCall {
	t.Helper()
	effects := test.core.Effects
	test.core.Effects = nil
	if len(effects) != 1 {
		t.Fatalf("%d effects, expected one deletion call", len(effects))
	}
	call, ok := effects[0].(message.CloudCall)
	if !ok || len(call.Delete) == 0 {
		t.Fatalf("effect is %#v, expected a deletion call", effects[0])
	}
	return call
}

func (test *deletionTest) answer(call message.CloudCall, status int) {
	callback := test.core.PendingCalls[call.ID]
	delete(test.core.PendingCalls, call.ID)
	callback(message.CloudResponse{ID: call.ID, Status: status})
}

// Deletions that confirm a cancellation go first, as they have a deadline. Deletions of a lost zone
// keep the order of its evacuation plan.
func TestDeletionsGoByReason(t *testing.T) {
	test := newDeletionTest(t)
	test.health.recorded["b"] = zonehealth.Failed
	test.schedule("i-1", "a", core.DeletionReasonIdle)
	test.schedule("i-9", "b", core.DeletionReasonZoneLost)
	test.schedule("i-2", "b", core.DeletionReasonZoneLost)
	test.place("i-2") // a service does not change the order within a lost zone
	test.schedule("i-3", "a", core.DeletionReasonCancelled)
	test.ProcessDeletions()
	call := test.sentDeletion(t)
	if want := []api.MachineID{"i-3", "i-9", "i-2", "i-1"}; !slices.Equal(call.Delete, want) {
		t.Errorf("deletion order %v, expected %v", call.Delete, want)
	}
	test.answer(call, statusOK)
	if !slices.Equal(test.agents.forgotten, call.Delete) || !test.IsDeleted("i-9") {
		t.Errorf("machines forgotten: %v, deleted: %v", test.agents.forgotten, call.Delete)
	}
	if want := []string{"i-2 false machine deleted"}; !slices.Equal(test.scheduler.ended, want) {
		t.Errorf("tasks ended: %q, expected %q", test.scheduler.ended, want)
	}
}

// A machine is not deleted if its zone has recovered by the time of the call.
func TestDeletionIsCancelledWhenItsGroundsAreGone(t *testing.T) {
	test := newDeletionTest(t)
	recovered := test.schedule("i-1", "b", core.DeletionReasonZoneLost)
	test.schedule("i-2", "a", core.DeletionReasonFailed)
	test.ProcessDeletions()
	if call := test.sentDeletion(t); !slices.Equal(call.Delete, []api.MachineID{"i-2"}) {
		t.Errorf("machines deleted: %v, expected only i-2", call.Delete)
	}
	if recovered.Deleting {
		t.Error("a machine of a recovered zone is still marked for deletion")
	}
}

// Failed deletions back off up to a maximum delay, and their machines can be scheduled again.
func TestFailedDeletionsBackOff(t *testing.T) {
	test := newDeletionTest(t)
	longest := time.Duration(0)
	for range 20 {
		m := test.schedule("i-1", "a", core.DeletionReasonFailed)
		test.ProcessDeletions()
		test.answer(test.sentDeletion(t), 503)
		if m.Deleting || !test.DeletionsBackingOff() || test.IsDeleted("i-1") {
			t.Fatal("a failed deletion counts as in flight or completed, or does not back off")
		}
		delay := test.deletions.nextAt.Sub(test.core.Now)
		if delay > maxDeletionBackoff {
			t.Fatalf("the next deletion is delayed by %v, more than the maximum", delay)
		}
		longest = max(longest, delay)
		test.core.Now = test.deletions.nextAt
	}
	if longest < maxDeletionBackoff/2 {
		t.Errorf("the longest delay after 20 consecutive failures is %v", longest)
	}
	test.schedule("i-1", "a", core.DeletionReasonFailed)
	test.ProcessDeletions()
	test.answer(test.sentDeletion(t), statusOK)
	if test.DeletionsBackingOff() {
		t.Error("deletions back off after a success")
	}
}

// Machine types that don't fit into a value are not written: the write would be refused again and again.
func TestTooManyMachineTypesAreNotRecorded(t *testing.T) {
	test := newDeletionTest(t)
	types := make([]api.MachineType, 200)
	for i := range types {
		types[i].Name = api.MachineTypeName(fmt.Sprintf("type-%d", i))
	}
	for count, want := range map[int]int{10: 1, len(types): 0} {
		test.recordMachineTypes(test.owned, types[:count])
		if effects := test.core.TakeEffects(); len(effects) != want {
			t.Errorf("%d types: %d writes, expected %d", count, len(effects), want)
		}
	}
}
