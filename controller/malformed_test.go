package controller

import (
	"testing"

	"basaltwall/api"
	"basaltwall/controller/message"
)

// Malformed peer messages and gossip from unknown senders are counted and change nothing else.
func TestMalformedPeerMessages(t *testing.T) {
	n, _, _, _ := newTestOwner(t, testSpec(1))
	n.dispatch(message.MalformedMessage{Req: 1, From: "10.0.0.9:1"})
	n.dispatch(message.PeerGossip{Req: 2, Gossip: &message.Gossip{From: "nobody", Rented: []message.RecentScaleOut{{Machines: []api.MachineID{"i-9"}}}}})
	if n.core.Metrics.MalformedMessages != 2 || len(n.autoscaler.Provisioned) != 0 {
		t.Errorf("%d messages counted as malformed, expected 2; %d machines noted as provisioned, expected 0", n.core.Metrics.MalformedMessages, len(n.autoscaler.Provisioned))
	}
	for _, e := range n.core.Effects {
		if r, ok := e.(message.Reply); ok && r.Status != 400 {
			t.Errorf("answered with status %d, expected 400", r.Status)
		}
	}
}
