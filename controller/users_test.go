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

// Under overload, polls for jobs outside the current time slot are rejected at once with Retry-After,
// and each job is served within a full cycle of slots. Polls for finished jobs are always served, as
// they need no read of the state service.
func TestPollsAreServedFairly(t *testing.T) {
	n, _, _, _ := newTestOwner(t, testSpec(1))
	n.core.StoreHealthy = true
	n.core.State.SetJobResult("run-77", api.JobDone)
	poll := func(ref string) (status, retryAfter int) {
		n.core.Effects = nil
		n.dispatch(message.Poll{Req: 5, Ref: ref})
		for _, e := range n.core.Effects {
			if r, ok := e.(message.Reply); ok {
				return r.Status, r.RetryAfter
			}
		}
		return 0, 0 // the request waits for a linearizable read
	}
	n.dispatch(message.ResourceUsage{QueuedRequests: 8 * core.OverloadQueueLength})
	served := map[string]bool{}
	for slot := range 8 {
		n.core.WallClock = api.WallTime(slot * 7000)
		for i := range 40 {
			ref := fmt.Sprintf("run-%d", 1000+i)
			switch status, retryAfter := poll(ref); {
			case status == 503 && (retryAfter < 1 || retryAfter > 57):
				t.Fatalf("%s is told to retry after %d s", ref, retryAfter)
			case status != 503:
				served[ref] = true
			}
		}
		if status, _ := poll("run-77"); status != 200 {
			t.Errorf("a poll for a finished job is answered with status %d", status)
		}
	}
	if len(served) != 40 {
		t.Errorf("%d of 40 jobs were served in a cycle", len(served))
	}
	n.dispatch(message.ResourceUsage{QueuedRequests: 0})
	if status, _ := poll("run-1003"); status == 503 {
		t.Error("a poll is rejected though no requests are queued")
	}
}

// A controller that forwards requests rotates the peers that it forwards to, and tries another peer
// if the first does not answer before the user's request times out.
func TestForwardingRotatesPeers(t *testing.T) {
	n, _, _, _ := newTestOwner(t, testSpec(1))
	for _, l := range []api.ControllerID{"x", "y"} {
		n.gossiper.AddPeer(l)
		n.gossiper.Merge(&message.Gossip{From: l, StateOK: true}, false)
	}
	n.core.StoreHealthy = false
	firstPeers := map[api.ControllerID]int{}
	for i := range 4 {
		n.core.Effects = nil
		n.dispatch(message.Poll{Req: message.ReqID(i), Ref: "run-5"})
		call := n.core.Effects[0].(message.PeerCall)
		firstPeers[call.To]++
		n.core.Effects = nil
		n.dispatch(message.PeerResponse{ID: call.ID})
		again, ok := n.core.Effects[0].(message.PeerCall)
		if !ok || again.To == call.To || call.Timeout >= 2*time.Second {
			t.Fatalf("effects after %s did not answer within %v: %v", call.To, call.Timeout, n.core.Effects)
		}
	}
	if firstPeers["x"] != 2 || firstPeers["y"] != 2 {
		t.Errorf("requests by the first peer called: %v, expected 2 each", firstPeers)
	}
}

// An accepted job's record stays within the value size when a cancellation is added to it.
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
			t.Fatalf("the record has %d bytes once cancelled, the limit is %d", len(data), limit)
		}
		return
	}
	t.Error("no job is accepted")
}
