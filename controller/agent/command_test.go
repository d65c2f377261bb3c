package agent

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// newTestManager returns a manager whose controller owns partition 0 under term 7. The partition has
// one machine, i-000000 in zone a, and one accepted job array with a single task.
func newTestManager(t *testing.T) (*Manager, *core.OwnedPartition, *core.Machine, *core.Job) {
	t.Helper()
	cfg, err := config.Parse([]byte(`{"label":"n","api_addr":"10.0.0.1:1","peer_listen":"10.0.0.1:2",
"external":{"cloud":"10.0.0.2:1","state":"10.0.0.3:1"},"deployment":{"initial_size":1,"zones":["a","b"],
"teams":[{"name":"red"}],"workers":{"report_s":3,"lease_s":30,"cancel_s":60},
"state":{"rps":100,"write_rps":50,"value_kb":8,"txn_ops":12},"cloud":{"rps":10}}}`))
	if err != nil {
		t.Fatal(err)
	}
	shared := core.New(cfg, 1)
	shared.State = clusterstate.New[core.JobOwnerState, core.PlacementOwnerState](cfg.Deployment.InitialSize)
	shared.Now, shared.Loaded = api.Time(time.Minute), true
	spec := &api.JobSpec{Ref: "run-1", Team: "red", Kind: api.Array, Priority: api.Normal, Tasks: 1, CPUs: 1}
	put(t, shared, clusterstate.KeyPartition+"0", clusterstate.PartitionValue{Owner: "n"})
	put(t, shared, clusterstate.KeyJob+string(spec.Ref), clusterstate.JobValue{Spec: spec, Split: []clusterstate.TaskRange{{From: 0, To: spec.Tasks}}})
	owned := &core.OwnedPartition{ID: 0, Term: 7, OwnedSince: shared.Now, LastRevision: 7}
	shared.Partitions[0] = owned
	am := New(shared)
	m := am.EnsureMachine("i-000000")
	m.MachineType, m.Zone, m.LastHeartbeat, m.Epoch, m.ReportedToken = "c8", "a", shared.Now, 1, 7
	m.CommandToken = shared.MinToken(owned, m.ID)
	return am, owned, m, shared.State.Jobs[spec.Ref]
}

// put applies a record to the cluster state at revision 7.
func put(t *testing.T, shared *core.Core, key string, value any) {
	t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if err := shared.State.Put(key, data, 7); err != nil {
		t.Fatal(err)
	}
}

// If an agent forgot an attempt while a launch of it may still arrive, the attempt would start again.
func TestNoForgetWhileCallsAreUncertain(t *testing.T) {
	am, owned, m, _ := newTestManager(t)
	k := core.AttemptKey{Task: api.TaskID{Job: "run-9", Index: 0}, Attempt: 3}
	m.ReportedTasks[k] = api.TaskStatus{Task: k.Task.String(), Attempt: 3, State: api.TaskExited}
	forgets := func() bool {
		return slices.ContainsFunc(am.CommandsFor(m, owned), func(command api.Command) bool { return command.Op == api.OpReap })
	}
	if !forgets() {
		t.Error("an exited attempt without a placement is not forgotten")
	}
	if m.CallInFlight = true; forgets() {
		t.Error("attempt forgotten while a direct call is in flight")
	}
	m.CallInFlight, m.UncertainToken = false, 7
	if forgets() {
		t.Error("attempt forgotten although an unanswered call may still arrive under the machine's token")
	}
}

// If an agent forgot an attempt while the reply to its heartbeat with a launch of it is late, the attempt
// would start again. The launches of other attempts don't matter.
func TestNoForgetWhileReplyMayArrive(t *testing.T) {
	am, owned, m, _ := newTestManager(t)
	late, other := core.AttemptKey{Task: api.TaskID{Job: "run-9"}, Attempt: 3}, core.AttemptKey{Task: api.TaskID{Job: "run-9"}, Attempt: 4}
	for _, k := range []core.AttemptKey{late, other} {
		m.ReportedTasks[k] = api.TaskStatus{Task: k.Task.String(), Attempt: k.Attempt, State: api.TaskExited}
	}
	recordReply(m, api.CommandBatch{Token: 7, Commands: []api.Command{{Op: api.OpStart, Task: late.Task.String(), Attempt: late.Attempt}}})
	want := []api.Command{{Op: api.OpReap, Task: other.Task.String(), Attempt: other.Attempt}}
	if got := am.CommandsFor(m, owned); !slices.Equal(got, want) {
		t.Errorf("commands %v, expected %v", got, want)
	}
}

// The first copy of a call that was sent twice may still arrive after the answer.
func TestRepeatedCallIsUncertain(t *testing.T) {
	am, owned, m, _ := newTestManager(t)
	m.Address = "10.0.1.0:9000"
	am.core.State.ApplyRecord(0, &clusterstate.RoundRecord{Seq: 1, Jobs: []clusterstate.JobDelta{{Job: "run-1", Starts: []clusterstate.TaskStart{{Task: 0, Machine: m.ID, Epoch: 1}}}}})
	am.sendCommands(m, owned)
	call, ok := am.core.TakeEffects()[0].(message.WorkerCall)
	if !ok || len(call.Commands.Commands) != 1 {
		t.Fatalf("call %v, expected one launch", call)
	}
	delete(am.core.Partitions, owned.ID) // the answer is not processed further
	am.core.CompleteCall(call.ID, message.WorkerResponse{ID: call.ID, Status: statusOK, Heartbeat: &api.Heartbeat{Machine: m.ID}, Repeated: true})
	if m.UncertainToken != call.Commands.Token || am.core.Metrics.WorkerCallsRepeated != 1 {
		t.Errorf("uncertain token %d, %d repeated calls, expected %d and 1", m.UncertainToken, am.core.Metrics.WorkerCallsRepeated, call.Commands.Token)
	}
}

// A launch by the former owner of a machine that was lent with its tasks may still arrive under any
// token below the loan's revision, which may be higher than the new owner's term.
func TestLaunchTokenAfterTransfer(t *testing.T) {
	am, owned, m, j := newTestManager(t)
	am.core.State.ApplyRecord(0, &clusterstate.RoundRecord{Seq: 1, Jobs: []clusterstate.JobDelta{{Job: j.ID, Starts: []clusterstate.TaskStart{{Task: 0, Machine: m.ID, Epoch: 1}}}}})
	if got := am.LatestLaunchToken(j.Placements[0], owned); got != api.FencingToken(owned.Term)-1 {
		t.Errorf("latest launch token %d under term %d", got, owned.Term)
	}
	am.core.State.Loans[m.ID] = clusterstate.Loan{LoanValue: clusterstate.LoanValue{Transferred: true}, Revision: owned.Term + 5}
	if got := am.LatestLaunchToken(j.Placements[0], owned); got != api.FencingToken(owned.Term)+4 {
		t.Errorf("latest launch token %d after a transfer at revision %d", got, owned.Term+5)
	}
}

// An agent without commands receives an empty JSON list, whether or not it has reported the owner's
// token.
func TestNoCommandsAreAnEmptyList(t *testing.T) {
	am, owned, m, _ := newTestManager(t)
	for _, token := range []api.FencingToken{6, 7} {
		m.ReportedToken = token
		data, err := json.Marshal(am.CommandsFor(m, owned))
		if err != nil {
			t.Fatal(err)
		}
		if string(data) != "[]" {
			t.Errorf("no commands at token %d are encoded as %s, expected []", token, data)
		}
	}
}

// Commands that end tasks precede launches, since they free the capacity.
func TestLaunchesComeLast(t *testing.T) {
	am, owned, m, j := newTestManager(t)
	am.core.State.ApplyRecord(0, &clusterstate.RoundRecord{Seq: 1, Jobs: []clusterstate.JobDelta{{Job: j.ID, Starts: []clusterstate.TaskStart{{Task: 0, Machine: m.ID, Epoch: 1}}}}})
	for attempt, state := range map[api.Attempt]api.TaskState{3: api.TaskExited, 4: api.TaskRunning} {
		k := core.AttemptKey{Task: api.TaskID{Job: "run-9"}, Attempt: attempt}
		m.ReportedTasks[k] = api.TaskStatus{Task: k.Task.String(), Attempt: attempt, State: state}
	}
	var ops []api.Op
	for _, command := range am.CommandsFor(m, owned) {
		ops = append(ops, command.Op)
	}
	if want := []api.Op{api.OpReap, api.OpStop, api.OpStart}; !slices.Equal(ops, want) {
		t.Errorf("commands %v, expected %v", ops, want)
	}
}
