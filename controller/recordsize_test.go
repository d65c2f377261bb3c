package controller

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// longestIDDigits is the number of digits of a hosted service's job ids.
const longestIDDigits = 36

// machineName returns a long name of a machine.
func machineName(i int) api.MachineID { return api.MachineID(fmt.Sprintf("i-%060d", i)) }

// addSmallJobs adds jobs of one task with the longest ids to the cluster state, each cancelled, ended or
// pending in turn, and a machine with a long name for each.
func addSmallJobs(t *testing.T, n *Controller, owned *core.OwnedPartition, count int) {
	t.Helper()
	for i := range count {
		spec := *testSpec(1)
		spec.Ref = api.JobID(fmt.Sprintf("run-%0*d", longestIDDigits, i))
		spec.CPUs = 8
		value := clusterstate.JobValue{Spec: &spec, Split: []clusterstate.TaskRange{{From: 0, To: 1}}, Cancelled: i%4 == 0}
		data, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		if err := n.core.State.Put(clusterstate.KeyJob+string(spec.Ref), data, api.Revision(1000+i)); err != nil {
			t.Fatal(err)
		}
		m := n.agents.EnsureMachine(machineName(i))
		m.MachineType, m.Zone, m.LastHeartbeat, m.Epoch, m.ReportedToken = "c8", "a", n.core.Now, 1000, 1<<50
		if i%4 > 1 {
			continue
		}
		j := n.core.State.Jobs[spec.Ref]
		p := &core.Placement{Task: api.TaskID{Job: j.ID}, Machine: m.ID, Epoch: 1000, Attempt: 1, Job: j}
		n.core.State.AddPlacement(p)
		n.scheduler.RecordTaskEnd(owned, p, i%2 == 0, "test")
	}
}

// nextSecond advances the time by a second, in which every machine sends a heartbeat.
func nextSecond(n *Controller) {
	n.core.Now = n.core.Now.Add(time.Second)
	for _, m := range n.core.Machines {
		m.LastHeartbeat, m.LeaseRenewedAt = n.core.Now, n.core.Now
	}
}

// lastTxn returns the transaction that the last step sent.
func lastTxn(t *testing.T, n *Controller) (message.StoreCall, bool) {
	t.Helper()
	var last message.StoreCall
	for _, e := range n.core.TakeEffects() {
		if call, ok := e.(message.StoreCall); ok && call.Txn != nil {
			last = call
		}
	}
	return last, last.Txn != nil
}

// Each round of a partition with many pending starts, ends and acknowledgements is within all limits of
// the state service, with the longest ids, and makes progress.
func TestRoundsAreWithinTheStoresLimits(t *testing.T) {
	for _, limits := range []struct {
		valueKB float64
		txnOps  int
	}{{1, 4}, {8, 12}, {8, 48}, {16, 200}, {64, 1000}} {
		n, owned, _, _ := newTestOwner(t, testSpec(1))
		n.core.Config.Deployment.State.ValueKB, n.core.Config.Deployment.State.TxnOps = limits.valueKB, limits.txnOps
		const jobs = 400
		addSmallJobs(t, n, owned, jobs)
		starts, ends := 0, 0
		for range 200 {
			nextSecond(n)
			n.scheduler.RunPartition(owned)
			round := owned.InFlight
			if round == nil {
				break
			}
			if !n.core.TxnFits(round.Txn) {
				t.Fatalf("%+v: a round exceeds the limits", limits)
			}
			starts, ends = starts+len(round.Starts), ends+len(round.Ends)
			n.scheduler.ApplyCommittedRound(owned, n.core.State.Version(clusterstate.RoundKey(0, round.Record.Seq))+2000)
			n.core.State.Partitions[0].CheckpointHead.Seq = round.Record.Seq
		}
		if ends != jobs/2 || starts < jobs/2 || n.core.Metrics.StoreRejections != 0 {
			t.Errorf("%+v: %d ends, %d starts, %d rejections; expected %d ends and as many starts or more", limits, ends, starts, n.core.Metrics.StoreRejections, jobs/2)
		}
	}
}

// A round that the state service refuses for good is not sent again: it is reported, and the next one is
// smaller. Its ends are not lost.
func TestRejectedRoundIsMadeSmaller(t *testing.T) {
	n, owned, _, _ := newTestOwner(t, testSpec(1))
	n.core.Config.Deployment.State.TxnOps = 48
	addSmallJobs(t, n, owned, 200)
	n.scheduler.RunPartition(owned)
	first, ok := lastTxn(t, n)
	if !ok {
		t.Fatal("no round is sent")
	}
	n.core.CompleteCall(first.ID, message.StoreResponse{ID: first.ID, Status: api.StatusBadRequest})
	if owned.InFlight == nil || n.core.Metrics.StoreRejections != 1 {
		t.Fatalf("in flight %v, %d rejections; expected the round until the log is read, and 1", owned.InFlight, n.core.Metrics.StoreRejections)
	}
	for _, w := range n.follower.TakeWaiters() {
		w.OnRead()
	}
	nextSecond(n)
	n.core.RunDeferredCalls()
	n.scheduler.RunPartition(owned)
	second, ok := lastTxn(t, n)
	if !ok || reflect.DeepEqual(first.Txn, second.Txn) {
		t.Fatal("the same round is sent again, or none")
	}
	if a, b := len(first.Txn.Writes[0].Value), len(second.Txn.Writes[0].Value); b > a*2/3 {
		t.Errorf("a record of %d bytes after one of %d was refused", b, a)
	}
	if ends := len(owned.PendingEnds) + len(owned.InFlight.Ends); ends != 100 {
		t.Errorf("%d ends are pending or in flight, expected 100", ends)
	}
}

// After refusals a gang may be too large for the reduced round. It starts all the same, whole, once rounds
// may be larger again.
func TestGangStartsAfterRefusals(t *testing.T) {
	spec := testSpec(12)
	spec.Kind, spec.CPUs = api.Gang, 8
	n, owned, _, _ := newTestOwner(t, spec)
	n.core.Config.Deployment.State.ValueKB = 2
	for i := range spec.Tasks {
		m := n.agents.EnsureMachine(machineName(i))
		m.MachineType, m.Zone, m.Epoch, m.ReportedToken = "c8", "a", 1000, 1<<50
	}
	for range 6 {
		owned.RoundReduction.Rejected()
	}
	for range 20 {
		nextSecond(n)
		n.scheduler.RunPartition(owned)
		if owned.InFlight == nil {
			owned.NeedsRound = true
			continue
		}
		if got := len(owned.InFlight.Starts); got != spec.Tasks {
			t.Fatalf("a round starts %d of %d tasks of a gang", got, spec.Tasks)
		}
		return
	}
	t.Error("the gang never starts")
}

// A gang whose starts don't fit beside the other entries of a round is left out as a whole.
func TestGangIsNotSplitByTheRecord(t *testing.T) {
	spec := testSpec(8)
	spec.Kind, spec.CPUs = api.Gang, 8
	n, owned, _, _ := newTestOwner(t, spec)
	n.core.Config.Deployment.State.ValueKB = 1.3
	addSmallJobs(t, n, owned, 20) // their ends leave space for some of the gang's starts
	started := false
	for range 100 {
		nextSecond(n)
		n.scheduler.RunPartition(owned)
		if owned.InFlight == nil {
			break
		}
		gang := 0
		for _, start := range owned.InFlight.Starts {
			if start.Job.ID == spec.Ref {
				gang++
			}
		}
		if gang != 0 && gang != spec.Tasks {
			t.Fatalf("a round starts %d of %d tasks of a gang", gang, spec.Tasks)
		}
		started = started || gang > 0
		n.scheduler.ApplyCommittedRound(owned, 5000)
	}
	if !started {
		t.Error("the gang never starts")
	}
}

// Values and batches are within the limits of a transaction, whatever the limits of the deployment.
func TestLargestFittingTxn(t *testing.T) {
	n, _, _, _ := newTestOwner(t, testSpec(1))
	n.core.Config.Deployment.State.ValueKB, n.core.Config.Deployment.State.TxnOps = 64, 1000
	if size := n.core.MaxValueBytes(); size >= api.MaxTxnBytes {
		t.Errorf("values of up to %d bytes don't fit into a transaction", size)
	}
	var units []api.Txn
	for i := range 100 {
		value, _ := json.Marshal(strings.Repeat("x", 1000))
		units = append(units, api.Txn{Writes: []api.Write{{Put: fmt.Sprintf("b/x/%d", i), Value: value}}})
	}
	for _, limit := range []struct{ units, count int }{{10, 10}, {100, 63}} {
		txn, count := n.core.LargestFittingTxn(nil, units[:limit.units], core.WriteReduction{})
		if count != limit.count || len(txn.Writes) != count || !n.core.TxnFits(txn) {
			t.Errorf("of at most %d writes of 1 KiB %d fit, expected %d", limit.units, count, limit.count)
		}
	}
	var reduction core.WriteReduction
	for _, want := range []int{4, 2, 1, 1} {
		reduction.Rejected()
		if got := reduction.Apply(8); got != want {
			t.Errorf("reduced limit %d, expected %d", got, want)
		}
	}
}

// Checkpoints and the archiving of finished jobs are within all limits, and are made smaller after a
// refusal.
func TestCheckpointsAndArchivesAreWithinTheStoresLimits(t *testing.T) {
	for _, limits := range []struct {
		valueKB float64
		txnOps  int
	}{{1, 4}, {8, 48}, {1, 1000}, {64, 1000}} {
		n, owned, _, _ := newTestOwner(t, testSpec(1))
		n.core.Config.Deployment.State.ValueKB, n.core.Config.Deployment.State.TxnOps = limits.valueKB, limits.txnOps
		addSmallJobs(t, n, owned, 1600)
		n.core.State.Partitions[0].RoundSeq = clusterstate.RingSize
		for j := range maps.Values(n.core.State.Jobs) {
			if j.Cancelled {
				n.core.State.ApplyRecord(0, &clusterstate.RoundRecord{Seq: n.core.State.Partitions[0].RoundSeq + 1, Jobs: []clusterstate.JobDelta{{Job: j.ID, EndedIncomplete: []int{0}}}})
			}
		}
		owned.InFlight = &core.PendingRound{} // no round is planned meanwhile
		sizes := map[string]int{}
		for step := range 400 {
			nextSecond(n)
			n.core.RunDeferredCalls()
			n.scheduler.RunPartition(owned)
			for _, e := range n.core.TakeEffects() {
				call, ok := e.(message.StoreCall)
				if !ok || call.Txn == nil {
					continue
				}
				if !n.core.TxnFits(*call.Txn) || len(call.Txn.Writes) == 0 {
					t.Fatalf("%+v: a transaction of %d writes and %d conditions exceeds the limits", limits, len(call.Txn.Writes), len(call.Txn.If))
				}
				kind := strings.SplitN(call.Txn.Writes[0].Put+call.Txn.Writes[0].Drop, "/", 3)[1]
				status := api.StatusOK
				if step == 0 {
					status, sizes[kind] = api.StatusBadRequest, core.EncodedBytes(call.Txn)
				} else if size := core.EncodedBytes(call.Txn); sizes[kind] > 0 && limits.txnOps > 4 {
					if size >= sizes[kind] {
						t.Errorf("%+v: %s of %d bytes after one of %d was refused", limits, kind, size, sizes[kind])
					}
					sizes[kind] = 0
				}
				n.core.CompleteCall(call.ID, message.StoreResponse{ID: call.ID, Status: status, Txn: api.TxnResponse{Revision: api.Revision(9000 + step)}})
			}
			for _, w := range n.follower.TakeWaiters() {
				w.OnRead()
			}
		}
		if n.core.State.Partitions[0].CheckpointHead.Seq == 0 || n.core.Metrics.StoreRejections != 2 {
			t.Errorf("%+v: checkpoint up to %d, %d rejections; expected one, and 2", limits, n.core.State.Partitions[0].CheckpointHead.Seq, n.core.Metrics.StoreRejections)
		}
	}
}

// A job whose record is as large as a submission may be can be cancelled.
func TestLargestJobCanBeCancelled(t *testing.T) {
	n, _, _, _ := newTestOwner(t, testSpec(1))
	value := clusterstate.JobValue{Spec: testSpec(1), Split: []clusterstate.TaskRange{{From: 0, To: 1}}, AcceptedAt: math.MaxInt64}
	for {
		data, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		if n.core.JobExceedsValueSize(data) {
			break
		}
		value.Spec.Image += "x"
	}
	value.Spec.Image = value.Spec.Image[1:]
	value.Cancelled, value.CancelledAt = true, math.MaxInt64
	data, err := json.Marshal(value)
	if err != nil || n.core.ExceedsValueSize(data) {
		t.Errorf("the record of the cancelled job has %d bytes, %v", len(data), err)
	}
}

// A submission that the state service refuses for good is refused, and not forwarded to a peer that would be
// refused too.
func TestRejectedSubmissionIsRefused(t *testing.T) {
	n, _, _, _ := newTestOwner(t, testSpec(1))
	n.core.StoreHealthy = true
	n.jobs.Submit(message.Submit{Req: 1, Body: submission(t, func(map[string]any) {})})
	call, ok := lastTxn(t, n)
	if !ok {
		t.Fatal("the job is not written")
	}
	n.core.CompleteCall(call.ID, message.StoreResponse{ID: call.ID, Status: api.StatusBadRequest})
	answerRead(t, n)
	n.jobs.SendResultLookup()
	for _, e := range n.core.Effects {
		if c, ok := e.(message.StoreCall); ok && c.Get != "" {
			n.dispatch(message.StoreResponse{ID: c.ID, Status: 404})
		}
	}
	if status, text := replyTo(n, 1); status != api.StatusBadRequest {
		t.Errorf("answered %d %s, expected 400", status, text)
	}
}
