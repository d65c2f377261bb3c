package tenancy

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/tenant"
)

// newTestService returns the Service of a controller that owns partition 0, and the key of its
// tenant kipper of team red.
func newTestService(t testing.TB) (*Service, tenant.Secret) {
	t.Helper()
	cfg, err := config.Parse([]byte(`{"label":"n","api_addr":"10.0.0.1:1","peer_listen":"10.0.0.1:2",
"external":{"cloud":"10.0.0.2:1","state":"10.0.0.3:1"},"deployment":{"initial_size":1,"zones":["a","b"],
"teams":[{"name":"red"}],"workers":{"report_s":3,"lease_s":30,"cancel_s":60},
"state":{"rps":100,"write_rps":50,"value_kb":8,"txn_ops":12},"cloud":{"rps":10}}}`))
	if err != nil {
		t.Fatal(err)
	}
	_, admin, err := tenant.NewKey([tenant.KeyRandomBytes]byte{1}, "admin", 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Hosted = &config.Hosted{AdminKey: admin.Key("admin")}
	k := core.New(cfg, 1)
	k.Now, k.Loaded = api.Time(time.Minute), true
	ts := New(k)
	k.State = clusterstate.New[core.JobOwnerState, core.PlacementOwnerState](cfg.Deployment.InitialSize, ts.RecordKinds()...)
	k.Partitions[0] = &core.OwnedPartition{ID: 0, Term: 7}
	key, secret, err := tenant.NewKey([tenant.KeyRandomBytes]byte{2}, "first", 1000, 60_000)
	if err != nil {
		t.Fatal(err)
	}
	networks, err := tenant.ParseNetworks([]string{"192.0.2.0/24"})
	if err != nil {
		t.Fatal(err)
	}
	putTenant(t, ts, tenant.Tenant{Name: "kipper", State: tenant.Active, Teams: []api.Team{"red"}, Keys: []tenant.Key{key}, Networks: networks, RetentionSeconds: 100})
	return ts, secret
}

func putTenant(t testing.TB, ts *Service, record tenant.Tenant) {
	t.Helper()
	data, err := json.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	if err := ts.Tenants().Put(string(record.Name), data, 8); err != nil {
		t.Fatal(err)
	}
}

// storeCalls returns the calls to the state service since it was last called.
func storeCalls(ts *Service) []message.StoreCall {
	var calls []message.StoreCall
	for _, effect := range ts.core.Effects {
		if call, ok := effect.(message.StoreCall); ok {
			calls = append(calls, call)
		}
	}
	ts.core.Effects = nil
	return calls
}

// respond answers a call to the state service.
func respond(t testing.TB, ts *Service, response message.StoreResponse) {
	t.Helper()
	callback := ts.core.PendingCalls[response.ID]
	if callback == nil {
		t.Fatalf("no call %d is in flight", response.ID)
	}
	delete(ts.core.PendingCalls, response.ID)
	callback(response)
}

func mustAddr(t testing.TB, s string) netip.Addr {
	t.Helper()
	a, err := netip.ParseAddr(s)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func TestTenantAuthentication(t *testing.T) {
	ts, secret := newTestService(t)
	ts.core.WallClock = 2000
	status := func(auth, from string) int {
		_, err := ts.authenticateTenant(message.Caller{Auth: auth, From: mustAddr(t, from)})
		if err == nil {
			return 200
		}
		var refusal *tenant.Error
		if !errors.As(err, &refusal) {
			t.Fatal(err)
		}
		return refusal.Status
	}
	good := "Bearer " + secret.String()
	for _, c := range []struct {
		auth, from string
		want       int
	}{{good, "192.0.2.7", 200}, {good, "::ffff:192.0.2.7", 200}, {good, "198.51.100.1", 403}, {"", "192.0.2.7", 401},
		{"Basic " + secret.String(), "192.0.2.7", 401}, {good + "," + good, "192.0.2.7", 401}, {good[:len(good)-1], "192.0.2.7", 401}} {
		if got := status(c.auth, c.from); got != c.want {
			t.Errorf("%q from %s: %d, expected %d", c.auth, c.from, got, c.want)
		}
	}
	ts.core.WallClock = 60_000
	if got := status(good, "192.0.2.7"); got != 401 {
		t.Errorf("an expired key: %d", got)
	}
}

// A sweep deletes exactly the entries past their retention, on the condition of the term of partition 0.
func TestHistorySweep(t *testing.T) {
	ts, _ := newTestService(t)
	ts.core.WallClock = 1_000_000
	ts.core.Now = ts.core.Now.Add(time.Minute)
	ts.sweepHistory()
	calls := storeCalls(ts)
	if len(calls) != 1 || calls[0].Page == nil || calls[0].Page.Prefix != "history/kipper/" {
		t.Fatalf("calls to the state service: %+v", calls)
	}
	key := func(at api.WallTime, ref int) string {
		return fmt.Sprintf("history/kipper/%s-run-%d", core.TimeKey(at), ref)
	}
	page := api.KeyPage{Pairs: []api.KeyValue{{Key: key(899_000, 1)}, {Key: key(899_999, 2)}, {Key: key(900_000, 3)}, {Key: key(999_000, 4)}}}
	respond(t, ts, message.StoreResponse{ID: calls[0].ID, Status: 200, Page: page})
	calls = storeCalls(ts)
	if len(calls) != 1 || calls[0].Txn == nil {
		t.Fatalf("calls to the state service after the page: %+v", calls)
	}
	want := []api.Write{{Drop: key(899_000, 1)}, {Drop: key(899_999, 2)}}
	if got := calls[0].Txn; !slices.EqualFunc(got.Writes, want, func(a, b api.Write) bool { return a.Drop == b.Drop && a.Put == "" }) ||
		!slices.Contains(got.If, api.Condition{Key: clusterstate.KeyPartition + "0", Version: 7}) {
		t.Errorf("transaction: %+v", got)
	}
}

// An operator's change of records that fill a value can be made: its audit entry has their sizes instead.
func TestLargeAuditEntryFitsAValue(t *testing.T) {
	ts, _ := newTestService(t)
	large, small := strings.Repeat("x", 7<<10), "y"
	for what, c := range map[string]struct {
		before, after         string
		keepBefore, keepAfter bool
	}{
		"both small":   {small, small, true, true},
		"before large": {large, small, true, true},
		"both large":   {large, large, false, true},
		"too large":    {small, large + large, false, false},
	} {
		write := ts.NewAuditWrite(message.AdminRequest{What: message.AdminPutTenant}, "tenant kipper", c.before, c.after)
		var entry AuditEntry
		if err := json.Unmarshal(write.Value, &entry); err != nil || ts.core.ExceedsValueSize(write.Value) {
			t.Fatalf("%s: %d bytes, %v", what, len(write.Value), err)
		}
		if kept := string(entry.Before) == strconv.Quote(c.before); kept != c.keepBefore {
			t.Errorf("%s: record before the change kept: %t", what, kept)
		}
		if kept := string(entry.After) == strconv.Quote(c.after); kept != c.keepAfter {
			t.Errorf("%s: record after the change kept: %t", what, kept)
		}
	}
}

// Changes of tenants are within all limits of a transaction, and a refusal of the state service is answered
// with the reason. Uses of keys that it refuses are dropped.
func TestRejectedChangesAreAnswered(t *testing.T) {
	ts, _ := newTestService(t)
	ts.core.Config.Deployment.State.ValueKB = 64
	filler := api.Write{Put: "b/x", Value: json.RawMessage(strconv.Quote(strings.Repeat("x", 10<<10)))}
	large := tenant.Tenant{Name: "large", DisplayName: strings.Repeat("x", 55<<10)}
	status := 0
	ts.writeTenant(large, nil, []api.Write{filler}, func(s int, _ api.Revision) { status = s })
	if status != statusTooManyWrites || len(storeCalls(ts)) != 0 {
		t.Errorf("a transaction of over 64 KiB: status %d, expected %d and no call", status, statusTooManyWrites)
	}
	ts.CommitChange(message.AdminRequest{Req: 1}, api.Txn{Writes: []api.Write{filler}}, "the team has", nil)
	respond(t, ts, message.StoreResponse{ID: storeCalls(ts)[0].ID, Status: 400})
	if reply, ok := ts.core.TakeEffects()[0].(message.Reply); !ok || reply.Status != 400 || !strings.Contains(string(reply.Body), "the team has") {
		t.Errorf("a refused change is answered %+v", reply)
	}
	ts.recordKeyUse("kipper", "00aa00aa00aa00aa")
	ts.flushKeyUses()
	call := storeCalls(ts)[0]
	respond(t, ts, message.StoreResponse{ID: call.ID, Status: 400})
	if pending := ts.hosted.keyUses.pending; len(pending) != 0 {
		t.Errorf("refused uses %v are pending", pending)
	}
}
