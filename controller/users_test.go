package controller

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// While more is asked than can be answered, questions for jobs whose turn it is not are refused
// at once, with when to come back; in a full cycle each job has had its turn. What is over is
// told all the same: it costs nothing.
func TestPollsAreServedFairly(t *testing.T) {
	n, _, _, _ := newTestOwner(t, testSpec(1))
	n.core.StoreHealthy = true
	n.core.State.SetJobResult("run-77", api.JobDone)
	ask := func(ref string) (status, retry int) {
		n.core.Effects = nil
		n.dispatch(message.Poll{Req: 5, Ref: ref})
		for _, e := range n.core.Effects {
			if r, ok := e.(message.Reply); ok {
				return r.Status, r.RetryAfter
			}
		}
		return 0, 0 // it waits for a current read
	}
	n.dispatch(message.ResourceUsage{QueuedRequests: 8 * core.OverloadQueueLength})
	served := map[string]bool{}
	for w := range 8 {
		n.core.WallClock = api.WallTime(w * 7000)
		for i := range 40 {
			ref := fmt.Sprintf("run-%d", 1000+i)
			switch status, retry := ask(ref); {
			case status == 503 && (retry < 1 || retry > 57):
				t.Fatalf("%s is told to come back after %d s", ref, retry)
			case status != 503:
				served[ref] = true
			}
		}
		if status, _ := ask("run-77"); status != 200 {
			t.Errorf("a job that is over gets %d", status)
		}
	}
	if len(served) != 40 {
		t.Errorf("%d of 40 jobs had their turn in a cycle", len(served))
	}
	n.dispatch(message.ResourceUsage{QueuedRequests: 0})
	if status, _ := ask("run-1003"); status == 503 {
		t.Error("refused though nothing waits")
	}
}

// Who passes questions on does not always ask the same helper, and asks another one if the
// first does not answer while the user still waits.
func TestForwardingRotatesPeers(t *testing.T) {
	n, _, _, _ := newTestOwner(t, testSpec(1))
	for _, l := range []api.ControllerID{"x", "y"} {
		n.gossiper.AddPeer(l)
		n.gossiper.Merge(&message.Gossip{From: l, StateOK: true}, false)
	}
	n.core.StoreHealthy = false
	firstAsked := map[api.ControllerID]int{}
	for i := range 4 {
		n.core.Effects = nil
		n.dispatch(message.Poll{Req: message.ReqID(i), Ref: "run-5"})
		call := n.core.Effects[0].(message.PeerCall)
		firstAsked[call.To]++
		n.core.Effects = nil
		n.dispatch(message.PeerResponse{ID: call.ID})
		again, ok := n.core.Effects[0].(message.PeerCall)
		if !ok || again.To == call.To || call.Timeout >= 2*time.Second {
			t.Fatalf("after %s did not answer within %v: %v", call.To, call.Timeout, n.core.Effects)
		}
	}
	if firstAsked["x"] != 2 || firstAsked["y"] != 2 {
		t.Errorf("first asked: %v", firstAsked)
	}
}

// A job whose record just fits could never be cancelled: the cancellation is written into it.
func TestRecordReservesBytesForCancellation(t *testing.T) {
	n, _, _, _ := newTestOwner(t, testSpec(1))
	n.core.WallClock = 1_900_000_000_000
	limit := int(n.core.Config.Deployment.State.ValueKB * 1024)
	for pad := 0; pad < 200; pad++ {
		s := testSpec(1)
		v := clusterstate.JobValue{Spec: s, Split: []clusterstate.TaskRange{{To: 1}}, AcceptedAt: n.core.WallClock}
		data, _ := json.Marshal(v)
		s.Types = []api.MachineTypeName{api.MachineTypeName(strings.Repeat("t", limit-len(data)-pad))}
		data, _ = json.Marshal(v)
		if n.core.JobExceedsValueSize(data) {
			continue
		}
		v.Cancelled, v.CancelledAt = true, n.core.WallClock
		if data, _ = json.Marshal(v); len(data) > limit {
			t.Fatalf("accepted, and %d bytes once cancelled, of %d", len(data), limit)
		}
		return
	}
	t.Error("nothing is accepted")
}
