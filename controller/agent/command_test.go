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

// reapsOf returns the attempts that the manager commands a machine to forget.
func reapsOf(am *Manager, m *core.Machine, owned *core.OwnedPartition) []api.Attempt {
	var out []api.Attempt
	for _, command := range am.CommandsFor(m, owned) {
		if command.Op == api.OpReap {
			out = append(out, command.Attempt)
		}
	}
	return out
}

// launchOf returns commands that launch an attempt under the given token.
func launchOf(k core.AttemptKey, token api.FencingToken) api.CommandBatch {
	return api.CommandBatch{Token: token, Commands: []api.Command{{Op: api.OpStart, Task: k.Task.String(), Attempt: k.Attempt}}}
}

// An attempt must not be forgotten while a launch of it may be executed. The launches of other attempts
// don't matter.
func TestNoForgetBeforeLaunchesAreRefused(t *testing.T) {
	am, owned, m, _ := newTestManager(t)
	launched, other := core.AttemptKey{Task: api.TaskID{Job: "run-9"}, Attempt: 3}, core.AttemptKey{Task: api.TaskID{Job: "run-9"}, Attempt: 4}
	heartbeat := &api.Heartbeat{Machine: m.ID, Epoch: 1, Token: 7}
	for _, k := range []core.AttemptKey{launched, other} {
		heartbeat.Tasks = append(heartbeat.Tasks, api.TaskStatus{Task: k.Task.String(), Attempt: k.Attempt, State: api.TaskExited})
	}
	am.updateMachine(m, heartbeat)
	if got, want := reapsOf(am, m, owned), []api.Attempt{3, 4}; !slices.Equal(got, want) {
		t.Errorf("attempts %v of which this owner has sent no launch are forgotten, expected %v", got, want)
	}
	recordLaunches(m, launchOf(launched, 7))
	am.updateMachine(m, heartbeat)
	if got, want := reapsOf(am, m, owned), []api.Attempt{4}; !slices.Equal(got, want) {
		t.Errorf("attempts %v are forgotten while the agent has reported the token of a launch, expected %v", got, want)
	}
	heartbeat.Token = 8
	am.updateMachine(m, heartbeat)
	if got, want := reapsOf(am, m, owned), []api.Attempt{3, 4}; !slices.Equal(got, want) {
		t.Errorf("attempts %v are forgotten once the agent refuses the launch, expected %v", got, want)
	}
}

// A launch of a former epoch is refused, whatever its token.
func TestNewEpochRefusesLaunches(t *testing.T) {
	am, _, m, _ := newTestManager(t)
	k := core.AttemptKey{Task: api.TaskID{Job: "run-9"}, Attempt: 3}
	recordLaunches(m, launchOf(k, 7))
	am.updateMachine(m, &api.Heartbeat{Machine: m.ID, Epoch: 2, Token: 7})
	if mayStillLaunch(m, k) {
		t.Error("a launch of a former epoch counts as one that may be executed")
	}
}

// sendLaunch makes a direct call with a launch and returns the call.
func sendLaunch(t *testing.T, am *Manager, owned *core.OwnedPartition, m *core.Machine) message.WorkerCall {
	t.Helper()
	m.Address = "10.0.1.0:9000"
	am.core.State.ApplyRecord(0, &clusterstate.RoundRecord{Seq: 1, Jobs: []clusterstate.JobDelta{{Job: "run-1", Starts: []clusterstate.TaskStart{{Task: 0, Machine: m.ID, Epoch: 1}}}}})
	am.sendCommands(m, owned)
	call, ok := am.core.TakeEffects()[0].(message.WorkerCall)
	if !ok || len(call.Commands.Commands) != 1 {
		t.Fatalf("call %v, expected one launch", call)
	}
	return call
}

// A call that was executed may arrive again, whether it was answered, answered to a second copy or not.
func TestLaunchOutlivesItsCall(t *testing.T) {
	for what, response := range map[string]message.WorkerResponse{
		"answered":     {Status: statusOK, Heartbeat: &api.Heartbeat{Machine: "i-000000"}},
		"sent twice":   {Status: statusOK, Heartbeat: &api.Heartbeat{Machine: "i-000000"}, Repeated: true},
		"not answered": {},
	} {
		am, owned, m, _ := newTestManager(t)
		call := sendLaunch(t, am, owned, m)
		delete(am.core.Partitions, owned.ID) // the answer is not processed further
		response.ID = call.ID
		am.core.CompleteCall(call.ID, response)
		id, err := api.ParseTaskID(call.Commands.Commands[0].Task)
		if err != nil {
			t.Fatal(err)
		}
		if k := (core.AttemptKey{Task: id, Attempt: call.Commands.Commands[0].Attempt}); m.LaunchTokens[k] != call.Commands.Token {
			t.Errorf("%s: launches %v after the call, expected token %d", what, m.LaunchTokens, call.Commands.Token)
		}
		if repeated := am.core.Metrics.WorkerCallsRepeated == 1; repeated != response.Repeated {
			t.Errorf("%s: %d repeated calls", what, am.core.Metrics.WorkerCallsRepeated)
		}
	}
}

// The token is raised only if an exited attempt without a placement waits for it.
func TestTokenIsRaisedForReaps(t *testing.T) {
	k := core.AttemptKey{Task: api.TaskID{Job: "run-9"}, Attempt: 3}
	for what, c := range map[string]struct {
		state        api.TaskState
		launched     api.FencingToken
		lastRevision api.Revision
		want         api.FencingToken
	}{
		"exited":                         {api.TaskExited, 7, 9, 9},
		"running":                        {api.TaskRunning, 7, 9, 7},
		"launched by a former owner":     {api.TaskExited, 0, 9, 7},
		"no round since the launch":      {api.TaskExited, 7, 7, 7},
		"launched under a later token":   {api.TaskExited, 9, 9, 7},
		"launched under a current token": {api.TaskExited, 8, 9, 9},
	} {
		am, owned, m, _ := newTestManager(t)
		m.ReportedTasks[k] = api.TaskStatus{Task: k.Task.String(), Attempt: 3, State: c.state}
		if c.launched != 0 {
			recordLaunches(m, launchOf(k, c.launched))
		}
		owned.LastRevision = c.lastRevision
		if am.raiseTokenForReaps(m, owned); m.CommandToken != c.want {
			t.Errorf("%s: token %d after launches %v and revision %d, expected %d", what, m.CommandToken, m.LaunchTokens, c.lastRevision, c.want)
		}
	}
}

// A launch by the former owner of a machine that was lent with its tasks may still arrive under any
// token below the loan's revision, which may be higher than the new owner's term.
func TestLaunchTokenAfterTransfer(t *testing.T) {
	am, owned, m, j := newTestManager(t)
	am.core.State.ApplyRecord(0, &clusterstate.RoundRecord{Seq: 1, Jobs: []clusterstate.JobDelta{{Job: j.ID, Starts: []clusterstate.TaskStart{{Task: 0, Machine: m.ID, Epoch: 1}}}}})
	if got := am.LatestLaunchToken(m, j.Placements[0], owned); got != api.FencingToken(owned.Term)-1 {
		t.Errorf("latest launch token %d under term %d", got, owned.Term)
	}
	am.core.State.Loans[m.ID] = clusterstate.Loan{LoanValue: clusterstate.LoanValue{Transferred: true}, Revision: owned.Term + 5}
	if got := am.LatestLaunchToken(m, j.Placements[0], owned); got != api.FencingToken(owned.Term)+4 {
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
