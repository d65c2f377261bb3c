package controller

import (
	"fmt"
	"strings"
	"testing"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
)

// manyControllers is a controller among so many, with as many partitions.
func manyControllers(t *testing.T, nodes int) *Controller {
	t.Helper()
	var peers []string
	for i := range nodes - 1 {
		peers = append(peers, fmt.Sprintf(`{"label":"n-%02d","domain":"z%d","peer_addr":"10.0.0.2:8081"}`, i, i%4))
	}
	c, err := config.Parse(fmt.Appendf(nil, `{"label":"self","domain":"z0","api_addr":"10.0.0.1:8080","peer_listen":"10.0.0.1:8081","peers":[%s],
"external":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},"deployment":{"initial_size":%d,"zones":["z0"],"teams":[{"name":"red"}],
"workers":{"report_s":3,"lease_s":30,"cancel_s":60},"state":{"rps":150,"write_rps":50,"value_kb":8,"txn_ops":12},"cloud":{"rps":10}}}`,
		strings.Join(peers, ","), nodes))
	if err != nil {
		t.Fatal(err)
	}
	n := New(c, 1)
	n.core.Now = 1
	return n
}

// Of many controllers the first few relays read for themselves, each other one reads through one of
// them, and through another when that fails; of three all read for themselves.
func TestRelaySelection(t *testing.T) {
	n := manyControllers(t, 3)
	if n.follower.UsesRelays() || n.follower.NextRelay() != "" {
		t.Error("one of three reads through another")
	}
	n = manyControllers(t, 23)
	for _, l := range n.core.Controllers {
		n.core.State.Members[l] = clusterstate.MemberValue{Format: clusterstate.FormatTransfers}
	}
	if gap := n.follower.logReadInterval(); n.follower.UsesRelays() || gap != n.core.DirectReadInterval/2 {
		t.Errorf("relays, read every %v, though no other controller knows of them", gap)
	}
	for _, l := range n.core.Controllers {
		n.core.State.Members[l] = clusterstate.MemberValue{Format: clusterstate.FormatRelays}
	}
	if gap := n.follower.logReadInterval(); !n.follower.UsesRelays() || gap != n.core.ReadInterval {
		t.Errorf("no relays, read every %v, though all know of them", gap)
	}
	n.core.State.Members[n.core.Controllers[3]] = clusterstate.MemberValue{}
	if n.follower.UsesRelays() {
		t.Error("relays beside a controller of an older version")
	}
	delete(n.core.State.Members, n.core.Controllers[3])
	relays := n.follower.CurrentRelays()
	if len(relays) != n.core.MaxRelays || !n.follower.UsesRelays() || isRelay(relays, n.core.Controllers[3]) {
		t.Fatalf("%d relays", len(relays))
	}
	if isRelay(relays, n.core.Config.Label) {
		t.Fatal("the test needs names with which we are no relay")
	}
	asked := map[api.ControllerID]bool{}
	for range relays {
		via := n.follower.NextRelay()
		if via == "" || asked[via] || !isRelay(relays, via) {
			t.Fatalf("asks %q after %v", via, asked)
		}
		asked[via] = true
		n.follower.relayLink.MarkFailed(via, n.core.Now)
	}
	if via := n.follower.NextRelay(); via != "" {
		t.Errorf("asks %s, which has failed", via)
	}
}
