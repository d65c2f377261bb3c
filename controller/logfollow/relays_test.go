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

// newTestFollower is the follower of one among so many controllers, with an empty state.
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
	shared.State = clusterstate.New[core.JobTracking, core.PlacementTracking](controllers)
	return New(shared)
}

// Of many controllers the first few relays read for themselves, each other one reads through one of
// them, and through another when that fails; of three all read for themselves.
func TestRelaySelection(t *testing.T) {
	f := newTestFollower(t, 3)
	if f.UsesRelays() || f.NextRelay() != "" {
		t.Error("one of three reads through another")
	}
	f = newTestFollower(t, 23)
	for _, l := range f.core.Controllers {
		f.core.State.Members[l] = clusterstate.MemberValue{Format: clusterstate.FormatTransfers}
	}
	if gap := f.ReadInterval(); f.UsesRelays() || gap != f.core.DirectReadInterval/2 {
		t.Errorf("relays, read every %v, though no other controller knows of them", gap)
	}
	for _, l := range f.core.Controllers {
		f.core.State.Members[l] = clusterstate.MemberValue{Format: clusterstate.FormatRelays}
	}
	if gap := f.ReadInterval(); !f.UsesRelays() || gap != f.core.ReadInterval {
		t.Errorf("no relays, read every %v, though all know of them", gap)
	}
	f.core.State.Members[f.core.Controllers[3]] = clusterstate.MemberValue{}
	if f.UsesRelays() {
		t.Error("relays beside a controller of an older version")
	}
	delete(f.core.State.Members, f.core.Controllers[3])
	relays := f.CurrentRelays()
	if len(relays) != f.core.MaxRelays || !f.UsesRelays() || relay.Contains(relays, f.core.Controllers[3]) {
		t.Fatalf("%d relays", len(relays))
	}
	if relay.Contains(relays, f.core.Config.Label) {
		t.Fatal("the test needs names with which we are no relay")
	}
	asked := map[api.ControllerID]bool{}
	for range relays {
		via := f.NextRelay()
		if via == "" || asked[via] || !relay.Contains(relays, via) {
			t.Fatalf("asks %q after %v", via, asked)
		}
		asked[via] = true
		f.relaySelector.MarkFailed(via, f.core.Now)
	}
	if via := f.NextRelay(); via != "" {
		t.Errorf("asks %s, which has failed", via)
	}
}
