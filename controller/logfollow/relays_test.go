package logfollow

import (
	"fmt"
	"strings"
	"testing"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/controller/core"
	"basaltwall/relay"
)

// newTestFollower returns the follower of one of the given number of controllers, with an empty state.
func newTestFollower(t *testing.T, controllers int) *Follower {
	t.Helper()
	var peers []string
	for i := range controllers - 1 {
		peers = append(peers, fmt.Sprintf(`{"label":"n-%02d","domain":"z%d","peer_addr":"10.0.0.2:8081"}`, i, i%4))
	}
	cfg, err := config.Parse(fmt.Appendf(nil, `{"label":"self","domain":"z0","api_addr":"10.0.0.1:8080","peer_listen":"10.0.0.1:8081","peers":[%s],
"external":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},"deployment":{"initial_size":%d,"zones":["z0"],"teams":[{"name":"red"}],
"workers":{"report_s":3,"lease_s":30,"cancel_s":60},"state":{"rps":150,"write_rps":50,"value_kb":8,"txn_ops":12},"cloud":{"rps":10}}}`,
		strings.Join(peers, ","), controllers))
	if err != nil {
		t.Fatal(err)
	}
	shared := core.New(cfg, 1)
	shared.Now = 1
	shared.State = clusterstate.New[core.JobOwnerState, core.PlacementOwnerState](controllers)
	return New(shared)
}

// With many controllers, relays read directly and each other controller reads through a relay, or through
// another one after a failure. With three controllers all read directly.
func TestRelaySelection(t *testing.T) {
	f := newTestFollower(t, 3)
	if f.UsesRelays() || f.NextRelay() != "" {
		t.Error("with three controllers, one reads through another")
	}
	f = newTestFollower(t, 23)
	for _, id := range f.core.Controllers {
		f.core.State.Members[id] = clusterstate.MemberValue{Format: clusterstate.FormatTransfers}
	}
	if interval := f.ReadInterval(); f.UsesRelays() || interval != f.core.DirectReadInterval/2 {
		t.Errorf("relays used, or read interval %v, although no controller supports relays", interval)
	}
	for _, id := range f.core.Controllers {
		f.core.State.Members[id] = clusterstate.MemberValue{Format: clusterstate.FormatRelays}
	}
	if interval := f.ReadInterval(); !f.UsesRelays() || interval != f.core.ReadInterval {
		t.Errorf("relays not used, or read interval %v, although all controllers support relays", interval)
	}
	f.core.State.Members[f.core.Controllers[3]] = clusterstate.MemberValue{}
	if f.UsesRelays() {
		t.Error("relays used although a live controller does not support them")
	}
	delete(f.core.State.Members, f.core.Controllers[3])
	relays := f.CurrentRelays()
	if len(relays) != f.core.MaxRelays || !f.UsesRelays() || relay.Contains(relays, f.core.Controllers[3]) {
		t.Fatalf("%d relays, or one that is not live", len(relays))
	}
	if relay.Contains(relays, f.core.Config.Label) {
		t.Fatal("the test needs controller names for which this controller is not a relay")
	}
	used := map[api.ControllerID]bool{}
	for range relays {
		via := f.NextRelay()
		if via == "" || used[via] || !relay.Contains(relays, via) {
			t.Fatalf("reads through %q after the failures of %v", via, used)
		}
		used[via] = true
		f.relaySelector.MarkFailed(via, f.core.Now)
	}
	if via := f.NextRelay(); via != "" {
		t.Errorf("reads through the failed relay %s", via)
	}
}
