package ownership

import (
	"encoding/json"
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// newTestManager returns the manager of controller "n", incarnation 1, without peers and with a loaded
// state.
func newTestManager(t *testing.T) *Manager {
	t.Helper()
	cfg, err := config.Parse([]byte(`{"label":"n","api_addr":"10.0.0.1:1","peer_listen":"10.0.0.1:2",
"external":{"cloud":"10.0.0.2:1","state":"10.0.0.3:1"},"deployment":{"initial_size":1,"zones":["a","b"],
"teams":[{"name":"red"}],"workers":{"report_s":3,"lease_s":30,"cancel_s":60},
"state":{"rps":100,"write_rps":50,"value_kb":8,"txn_ops":12},"cloud":{"rps":10}}}`))
	if err != nil {
		t.Fatal(err)
	}
	shared := core.New(cfg, 1)
	shared.Now, shared.Loaded = api.Time(time.Minute), true
	shared.State = clusterstate.New[core.JobOwnerState, core.PlacementOwnerState](1)
	return New(shared)
}

// A member key that names a former incarnation is rewritten under the current lease; otherwise it would
// be deleted when the former incarnation's lease expires.
func TestMemberKeyOfOldIncarnationIsRewritten(t *testing.T) {
	m := newTestManager(t)
	m.core.StoreHealthy, m.lease.id, m.lease.registered = true, 9, true
	m.core.Now = m.core.Now.Add(10 * time.Second)
	writes := func() bool {
		m.core.Effects, m.lease.callInFlight, m.lease.nextCallAt = nil, false, 0
		m.MaintainLease()
		for _, e := range m.core.Effects {
			if c, ok := e.(message.StoreCall); ok && c.Txn != nil && c.Txn.Writes[0].Put == clusterstate.KeyMember+"n" && c.Txn.Writes[0].Lease == 9 {
				return true
			}
		}
		return false
	}
	put := func(incarnation int64, version api.Revision) {
		data, _ := json.Marshal(clusterstate.MemberValue{Incarnation: incarnation})
		if err := m.core.State.Put(clusterstate.KeyMember+"n", data, version); err != nil {
			t.Fatal(err)
		}
	}
	if put(1, 20); writes() {
		t.Error("member key rewritten although it names the current incarnation")
	}
	if put(77, 21); !writes() {
		t.Error("member key of a former incarnation not rewritten")
	}
}
