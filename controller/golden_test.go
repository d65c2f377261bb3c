package controller

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/health"
	"basaltwall/controller/jobs"
	"basaltwall/controller/message"
	"basaltwall/controller/metrics"
	"basaltwall/controller/operations"
	"basaltwall/controller/ordering"
	"basaltwall/controller/pools"
	"basaltwall/controller/skips"
	"basaltwall/controller/tenancy"
	"basaltwall/internal/golden"
	"basaltwall/pool"
	"basaltwall/priority"
	"basaltwall/skipledger"
	"basaltwall/tenant"
	"basaltwall/zonehealth"
)

func goldenNetworks(t *testing.T) tenant.Networks {
	t.Helper()
	networks, err := tenant.ParseNetworks([]string{"10.0.0.0/8", "2001:db8::/32"})
	if err != nil {
		t.Fatal(err)
	}
	return networks
}

// Stored records, their keys and their values keep the format of earlier versions.
func TestGolden(t *testing.T) {
	f := golden.Open(t)
	f.Text("keys", strings.Join([]string{core.SettingsKey, core.MachineTypesKey, ordering.KeyShortage, health.RecordKeyPrefix, core.KeyPool, tenancy.KeyTenant, tenancy.KeyTeamClaim, core.KeyGate, tenancy.KeyOperators, tenancy.KeyTeam, tenancy.KeyGuaranteedTotal,
		tenancy.KeyLastUse, tenancy.KeyHistory, tenancy.KeyAudit, clusterstate.KeyJobResult, string(tenancy.OperatorsHolder), core.TimeKey(1234567)}, "\n"))
	golden.JSON(f, "settings", golden.Filled[core.Settings](t))
	golden.JSON(f, "empty settings", core.Settings{})
	golden.JSON(f, "types", golden.Filled[api.MachineTypes](t))
	golden.JSON(f, "short", golden.Filled[priority.Shortage](t))
	golden.JSON(f, "empty short", priority.Shortage{})
	golden.JSON(f, "zone", golden.Filled[zonehealth.Record](t))
	golden.JSON(f, "empty zone", zonehealth.Record{})
	golden.JSON(f, "pool", golden.Filled[pool.Pool](t))
	golden.JSON(f, "empty pool", pool.Pool{})
	golden.JSON(f, "tenant", golden.Filled[tenant.Tenant](t, goldenNetworks(t)))
	golden.JSON(f, "operators", golden.Filled[tenant.Operators](t, goldenNetworks(t)))
	golden.JSON(f, "team", golden.Filled[tenant.Team](t))
	golden.JSON(f, "given", golden.Filled[tenant.GuaranteedTotal](t))
	golden.JSON(f, "gate", tenant.Name("kipper"))
	golden.JSON(f, "team of", tenant.Name("kipper"))
	golden.JSON(f, "used", api.WallTime(3600000))
	golden.JSON(f, "history", golden.Filled[tenancy.FinishedJob](t))
	golden.JSON(f, "audit", golden.Filled[tenancy.AuditEntry](t))
	golden.JSON(f, "final", api.JobDone)
	f.Text("values", fmt.Sprint(zonehealth.Healthy, zonehealth.Suspect, zonehealth.Failed, zonehealth.Recovering, pool.Active, pool.Frozen, pool.Removed,
		priority.Always, priority.CapacityShort, priority.ControllerDown, priority.ZoneFailed))
	// The partition of a machine must not change with the version.
	var partitions []string
	for i := range 12 {
		id := api.MachineID(fmt.Sprintf("i-%06d", i))
		partitions = append(partitions, fmt.Sprint(id, " ", core.HashPartition(id, 3), " ", core.HashPartition(id, 7)))
	}
	f.Text("parts", strings.Join(partitions, "\n"))
}

// A controller decodes and applies the records of earlier versions as these did.
func TestGoldenFold(t *testing.T) {
	n, _, _, _ := hostedOwner(t)
	n.core.State = n.NewState()
	for i, x := range []struct{ key, value string }{
		{"b/settings", `{"drained":["i-1","i-2"],"idle_hold_s":7.5,"no_rent":true,"precedence":[{"name":"first","work":{"class":"c","team":"t","form":"sweep","priority":"high"},"before":{"class":"d"},"rank":"critical","when":"short","floor":0.5}]}`},
		{"b/types", `{"banchi":[{"name":"c8","cores":8,"gpus":1,"ram_gb":32,"cache_gb":20,"fetch_gb_per_s":2,"price":3,"spot_price":1.5,"ready_s":25,"cortili":["a","b"]}]}`},
		{"b/short", `{"types":["c8","g8"],"since":77}`},
		{"b/zone/a", `{"state":"lost","since":78,"heard":79,"inside":[1,2],"past":[3.5,4.5]}`},
		{"b/operators", `{"keys":[{"id":"00aa00aa00aa00aa","name":"watch","hash":"AQI=","created":5,"expires":6,"role":"read"}],"networks":["10.0.0.0/8"],"proxies":["192.0.2.0/24"],"cpus":7.5,"gpus":8.5,"retired":["11bb"]}`},
		{"b/given", `{"cpus":1.5,"gpus":2.5}`},
		{"b/team/dispo", `{"name":"dispo","cpus":1,"gpus":2,"cpus_max":3,"gpus_max":4}`},
		{"b/tenant/kipper", `{"name":"kipper","display":"Kipper","teams":["dispo"],"state":"suspended","rate":1.5,"burst":2.5,"open_jobs":3,"networks":["10.0.0.0/8"],"retention_s":4.5,"why":"unpaid","suspended_at":5,"drain_s":6.5,"cancel_jobs":true}`},
		{"b/pool/routing", `{"name":"routing","unit":"seats","size":9,"largest":10,"teams":["dispo"],"tenants":["kipper"],"guaranteed":{"dispo":2},"state":"frozen","reclaim":true,"shares":[8]}`},
	} {
		if err := n.core.State.Put(x.key, json.RawMessage(x.value), api.Revision(20+i)); err != nil {
			t.Fatal(err)
		}
	}
	floor := 0.5
	networks := func(s string) tenant.Networks {
		list, err := tenant.ParseNetworks([]string{s})
		if err != nil {
			t.Fatal(err)
		}
		return list
	}
	golden.Same(t, "settings", n.core.Settings, core.Settings{Drained: []api.MachineID{"i-1", "i-2"}, IdleTimeout: 7.5, DisableScaleOut: true, Priority: priority.Rules{{Name: "first",
		Selector: priority.Selector{Class: "c", Team: "t", Form: "sweep", Priority: "high"}, Before: &priority.Selector{Class: "d"}, Rank: "critical", Condition: priority.CapacityShort, Floor: &floor}}})
	golden.Same(t, "types", n.core.RecordedTypes, api.MachineTypes{Types: []api.MachineType{{Name: "c8", CPUs: 8, GPUs: 1, MemGB: 32, CacheGB: 20, FetchRate: 2, Price: 3, SpotPrice: 1.5, BootSeconds: 25, Zones: []api.Zone{"a", "b"}}}})
	golden.Same(t, "short", n.priorities.RecordedShortage(), priority.Shortage{Types: []api.MachineTypeName{"c8", "g8"}, Since: 77})
	golden.Same(t, "zone", n.health.Record("a"), zonehealth.Record{State: zonehealth.Failed, Since: 78, LastHeartbeat: 79, IsolatedPartitions: []api.PartitionID{1, 2}, OutageHistory: []float64{3.5, 4.5}})
	golden.Same(t, "operators", *n.tenancy.Operators(), tenant.Operators{Keys: []tenant.OperatorKey{{Key: tenant.Key{ID: "00aa00aa00aa00aa", Name: "watch", Hash: []byte{1, 2}, Created: 5, Expires: 6}, Role: tenant.RoleRead}},
		Networks: networks("10.0.0.0/8"), Proxies: networks("192.0.2.0/24"), TeamCPUBudget: 7.5, TeamGPUBudget: 8.5, RevokedAdminKeys: []tenant.KeyID{"11bb"}})
	golden.Same(t, "given", n.tenancy.Guaranteed(), tenant.GuaranteedTotal{CPUs: 1.5, GPUs: 2.5})
	team, _ := n.tenancy.TeamRecord("dispo")
	golden.Same(t, "team", team, core.TeamRecord{Team: tenant.Team{Name: "dispo", CPUs: 1, GPUs: 2, CPUsMax: 3, GPUsMax: 4}, Revision: 26})
	golden.Same(t, "tenant", *n.tenancy.Tenants().Get("kipper"), tenant.Entry{Tenant: tenant.Tenant{Name: "kipper", DisplayName: "Kipper", Teams: []api.Team{"dispo"}, State: tenant.Suspended,
		Rate: 1.5, Burst: 2.5, OpenJobs: 3, Networks: networks("10.0.0.0/8"), RetentionSeconds: 4.5, SuspendReason: "unpaid", SuspendedAt: 5, DrainSeconds: 6.5, CancelJobs: true}, Revision: 27})
	golden.Same(t, "pool", *n.pools.Table().Get("routing"), pool.Entry{Pool: pool.Pool{Name: "routing", Unit: "seats", Size: 9, MaxSize: 10, Teams: []api.Team{"dispo"},
		Tenants: []tenant.Name{"kipper"}, Guaranteed: map[api.Team]int{"dispo": 2}, State: pool.Frozen, Reclaim: true, Shares: []int{8}}, Revision: 28})
}

// Answers to operators and tenants keep the format of earlier versions.
func TestGoldenViews(t *testing.T) {
	f, networks := golden.Open(t), goldenNetworks(t)
	golden.JSON(f, "members", golden.Filled[[]operations.MemberView](t))
	golden.JSON(f, "parts", golden.Filled[[]operations.PartitionView](t))
	golden.JSON(f, "machines", golden.Filled[[]operations.MachineView](t))
	golden.JSON(f, "teams", golden.Filled[[]operations.TeamView](t))
	golden.JSON(f, "jobs", golden.Filled[jobs.Listing](t))
	golden.JSON(f, "settings", golden.Filled[operations.VersionedSettings](t))
	view := golden.Filled[metrics.View](t)
	golden.JSON(f, "metrics with tasks without placement", view)
	view.UnplacedTasks = 0
	golden.JSON(f, "metrics with rejections", view)
	view.StoreRejections = 0
	golden.JSON(f, "metrics with repeated calls", view)
	view.WorkerCallsRepeated = 0
	golden.JSON(f, "metrics", view)
	golden.JSON(f, "skips", golden.Filled[skips.PageView](t))
	golden.JSON(f, "depots", golden.Filled[skips.CountsView](t))
	golden.JSON(f, "skip answer", golden.Filled[skips.ChangeView](t))
	tenants := golden.Filled[[]tenancy.TenantView](t, networks)
	for i := range tenants {
		tenants[i].Tenant.Keys = nil // keys are never shown
	}
	golden.JSON(f, "tenants", tenants)
	golden.JSON(f, "new key", golden.Filled[tenancy.NewKeyView](t))
	golden.JSON(f, "operators", golden.Filled[tenancy.OperatorsView](t, networks))
	golden.JSON(f, "team", golden.Filled[core.TeamRecord](t))
	golden.JSON(f, "pools", golden.Filled[[]pools.View](t))
	golden.JSON(f, "usage", golden.Filled[tenancy.UsageView](t))
	golden.JSON(f, "queue", golden.Filled[tenancy.QueueView](t))
	golden.JSON(f, "history", golden.Filled[tenancy.HistoryView](t))
	golden.JSON(f, "audit", golden.Filled[tenancy.AuditView](t))
	// Views without their optional fields.
	golden.JSON(f, "empty machine", operations.MachineView{})
	golden.JSON(f, "empty team", operations.TeamView{})
	golden.JSON(f, "empty job", jobs.View{})
	golden.JSON(f, "empty metrics", metrics.View{Fragmentation: []core.FragmentationView{{}}, Zones: map[api.Zone]metrics.ZoneView{"a": {}}})
	golden.JSON(f, "empty key", tenancy.KeyView{})
	golden.JSON(f, "empty skip", skips.SkipView{Items: []skips.BookingView{{}}})
	golden.JSON(f, "empty skip answer", skips.ChangeView{})
	golden.JSON(f, "empty usage", tenancy.UsageView{Submissions: &tenancy.SubmissionCounts{}})
	golden.JSON(f, "empty holder", pools.HolderView{})
}

// checkRequest decodes a request of an earlier version's client; no field of it may be unknown.
func checkRequest[T any](t *testing.T, f *golden.File, name string, values ...any) {
	t.Helper()
	want := golden.Filled[T](t, values...)
	var got T
	if err := core.DecodeRequest(golden.JSON(f, name, want), &got); err != nil {
		t.Errorf("%s: %v", name, err)
	}
	golden.Same(t, name, got, want)
}

// Requests of operators keep the format of earlier versions.
func TestGoldenAsks(t *testing.T) {
	f, networks := golden.Open(t), goldenNetworks(t)
	checkRequest[operations.VersionedSettings](t, f, "settings")
	checkRequest[tenancy.TenantRequest](t, f, "tenant", networks)
	checkRequest[tenancy.OperatorsRequest](t, f, "operators", networks)
	checkRequest[tenancy.TeamRequest](t, f, "team")
	checkRequest[pools.ChangeRequest](t, f, "pool")
	checkRequest[skips.RequestBody](t, f, "skip")
}

// A forwarded request about bookings of skips keeps the format of earlier versions. The golden test
// of package peer decodes one.
func TestGoldenSkipsForward(t *testing.T) {
	f := golden.Open(t)
	n := newControllerInCluster(t, 2)
	n.core.Loaded, n.core.StoreHealthy = true, false
	n.gossiper.Merge(&message.Gossip{From: "n-00", StateOK: true}, false)
	n.dispatch(message.AdminRequest{Req: 1, What: "skips-do", ID: "hof-nord", Sub: "out", After: "six-1", Limit: 2, Body: []byte(`{"skip":"six-1"}`), Caller: message.Caller{Auth: "Bearer x"}})
	if len(n.core.Effects) != 1 {
		t.Fatalf("%+v", n.core.Effects)
	}
	call, ok := n.core.Effects[0].(message.PeerCall)
	if !ok || call.To != "n-00" || call.Message.Forward == nil {
		t.Fatalf("%+v", n.core.Effects[0])
	}
	f.Text("forward", fmt.Sprintf("%s %s %s", call.Message.Forward.Kind, call.Message.Forward.Ref, call.Message.Forward.Body))
}

// transcript runs a command on a controller and returns the calls that it makes to the state service,
// all of which succeed, and its reply. Pages are read from stored, by prefix.
func transcript(t *testing.T, n *Controller, command func(), stored map[string][]api.KeyValue) string {
	t.Helper()
	var out strings.Builder
	n.core.Effects = nil
	n.follower.TakeWaiters()
	command()
	for len(n.core.Effects)+n.follower.WaiterCount() > 0 {
		for _, w := range n.follower.TakeWaiters() {
			w.OnRead()
		}
		effects := n.core.Effects
		n.core.Effects = nil
		for _, e := range effects {
			switch e := e.(type) {
			case message.Reply:
				fmt.Fprintf(&out, "%d %s\n", e.Status, e.Body)
			case message.StoreCall:
				response := message.StoreResponse{ID: e.ID, Status: 200, Txn: api.TxnResponse{Revision: 77}}
				switch {
				case e.Txn != nil:
					for _, c := range e.Txn.If {
						fmt.Fprintf(&out, "if %s %d\n", c.Key, c.Version)
					}
					for _, w := range e.Txn.Writes {
						fmt.Fprintf(&out, "write %s %s%s\n", w.Put, w.Value, w.Drop)
					}
				case e.Page != nil:
					fmt.Fprintf(&out, "page %s after %q\n", e.Page.Prefix, e.Page.After)
					response.Page = api.KeyPage{Pairs: stored[e.Page.Prefix], Revision: 76}
				default:
					t.Fatalf("%+v", e)
				}
				n.dispatch(response)
			default:
				t.Fatalf("%T", e)
			}
		}
	}
	return strings.TrimSuffix(out.String(), "\n")
}

// startTask places a task of a controller's job on its machine, and sets the wall clock.
func startTask(t *testing.T, n *Controller) {
	t.Helper()
	n.core.WallClock, n.core.StoreHealthy = 1_000_000, true
	if err := n.core.State.Put("b/round/0/1", []byte(`{"q":1,"j":[{"j":"run-1","+":[{"i":0,"m":"i-000000","s":1}]}],"k":[{"m":"i-000000","r":"run-2","t":5}]}`), 9); err != nil {
		t.Fatal(err)
	}
}

// Answers of a controller keep the text of earlier versions, one of each kind.
func TestGoldenAnswers(t *testing.T) {
	f := golden.Open(t)
	n, _, _, j := newTestOwner(t, testSpec(4))
	j.AcceptedAt = 900_000
	startTask(t, n)
	n.core.Metrics.ObserveLatency("poll", 5*time.Millisecond)
	n.core.Metrics.Rounds, n.core.Metrics.Starts = 3, 4
	for _, ask := range []message.AdminRequest{{What: "metrics"}, {What: "members"}, {What: "parts"}, {What: "machines"}, {What: "teams"}, {What: "jobs", Limit: 5}, {What: "jobs", Team: "nobody"},
		{What: "job", ID: "run-1"}, {What: "job", ID: "run-9"}, {What: "settings"}, {What: "set", Body: []byte(`{"drained":["i-7"],"idle_hold_s":5,"no_rent":true,"revision":0}`)},
		{What: "set", Body: []byte(`{"other":1}`)}, {What: "drain", ID: "i-000000"}, {What: "undrain", ID: "i-000000"}, {What: "skips"}, {What: "other"}} {
		f.Text(strings.TrimSpace(fmt.Sprint(ask.What, " ", ask.ID, ask.Team, string(ask.Body))), transcript(t, n, func() { n.dispatch(ask) }, nil))
	}
	spec := string(submission(t, nil))
	f.Text("ready", transcript(t, n, func() { n.dispatch(message.ReadinessProbe{Req: 1}) }, nil))
	f.Text("submit", transcript(t, n, func() { n.dispatch(message.Submit{Req: 1, Body: []byte(spec)}) }, nil))
	f.Text("submit what is malformed", transcript(t, n, func() { n.dispatch(message.Submit{Req: 1, Body: []byte(`{"ref":"run-9"}`)}) }, nil))
	f.Text("poll", transcript(t, n, func() { n.dispatch(message.Poll{Req: 1, Ref: "run-1"}) }, nil))
	f.Text("hear nobody", transcript(t, n, func() { n.dispatch(message.PeerGossip{Req: 1, Gossip: &message.Gossip{From: "x"}}) }, nil))

	l := skipledger.NewLedger("n-1", 1, time.Second, skipledger.Limits{})
	if err := l.Load([]api.KeyValue{{Key: "s/b/0/257", Value: []byte(`{"u":1,"s":[{"d":"hof-nord","i":"six-1","k":"six"}]}`), Version: 3}}, 5); err != nil {
		t.Fatal(err)
	}
	n.skips.Install(l)
	f.Text("skips counted", transcript(t, n, func() { n.dispatch(message.AdminRequest{What: "skips"}) }, nil))
	f.Text("skips listed", transcript(t, n, func() {
		n.dispatch(message.AdminRequest{What: "skips", ID: "hof-nord", Limit: 5})
		n.skips.PendingReads()[0].OnRead()
	}, nil))
	request := &skipledger.Request{Type: skipledger.OpOffer, Depot: "hof-nord"}
	for name, r := range map[string]skipledger.Result{"skip offered": {Skip: "six-1", Booking: skipledger.Booking{ID: 7, Key: "x", Site: "y", From: 20788, To: 20790, ExpiresAt: 8, Stage: skipledger.Offered}},
		"skip done": {Skip: "six-1"}, "skip refused": {Reason: skipledger.ReasonNoneFree}, "no skip": {Reason: skipledger.ReasonNoSuchSkip}, "skips busy": {Reason: skipledger.ReasonBusy}} {
		f.Text(name, transcript(t, n, func() { n.skips.ReplyResult(1, request, r) }, nil))
	}
}

// Writes and answers of a hosted service's controller keep the format of earlier versions, one of
// each kind.
func TestGoldenHostedAnswers(t *testing.T) {
	f := golden.Open(t)
	n, _, j := pooledOwner(t, 5)
	j.AcceptedAt, j.OwnerState.BackoffUntil = 900_000, 0
	_, _, _, secret := hostedOwner(t)
	startTask(t, n)
	n.core.WallClock = 50_000 // before the key expires
	if err := n.core.State.Put("b/job/run-1", []byte(`{"s":{"ref":"run-1","mestiere":"batch","bottega":"red","forma":"sweep","urgenza":"normal","pezzi":4,"cores":1,"gpus":0,"ram_gb":1,"stampo":"x","image_gb":1,"stima_s":5,"gettoni":[{"nome":"routing","a_pezzo":1}]},"p":[[0,4,0]],"t":900,"n":"kipper","u":"run-1"}`), 10); err != nil {
		t.Fatal(err)
	}
	*n.tenancy.Operators() = tenant.Operators{TeamCPUBudget: 100, TeamGPUBudget: 10, Keys: []tenant.OperatorKey{{Key: tenant.Key{ID: "0102030405060708", Name: "watch", Hash: make([]byte, 32), Created: 4}, Role: tenant.RoleRead}}}
	n.tenancy.CountSubmission("kipper", "")
	n.tenancy.CountSubmission("kipper", "rate")
	random := [tenant.KeyRandomBytes]byte{7}
	stored := map[string][]api.KeyValue{
		"used/kipper/":    {{Key: "used/kipper/0200000000000000", Value: []byte("3600000")}},
		"used/-/":         {{Key: "used/-/0102030405060708", Value: []byte("7200000")}},
		"history/kipper/": {{Key: "history/kipper/0000000000007-run-1", Value: []byte(`{"ref":"run-1","stato":"done","mestiere":"batch","bottega":"red","pezzi":3,"accepted":4,"ended":5}`)}},
		"audit/":          {{Key: "audit/0000000000007-n-1", Value: []byte(`{"at":7,"key":"00aa","from":"192.0.2.7","what":"suspend","sub":"x","about":"tenant kipper","before":{"a":1},"after":{"a":2}}`)}},
	}
	for _, ask := range []message.AdminRequest{{What: "tenants"}, {What: "tenant", ID: "kipper"}, {What: "tenant", ID: "nobody"}, {What: "usage", ID: "kipper"},
		{What: "tenant-put", ID: "lopresti", Body: []byte(`{"revision":0,"display":"Lo Presti","rate":2,"burst":3,"open_jobs":4,"networks":["10.0.0.0/8"],"retention_s":5}`)},
		{What: "suspend", ID: "kipper", Body: []byte(`{"revision":8,"why":"unpaid","drain_s":5}`)}, {What: "suspend", ID: "kipper", Body: []byte(`{"revision":7}`)},
		{What: "key-add", ID: "kipper", Body: []byte(`{"revision":8,"name":"laptop","expires":99000}`)}, {What: "key-revoke", ID: "kipper", Sub: "first", Body: []byte(`{"revision":8}`)},
		{What: "operators"}, {What: "operators-put", Body: []byte(`{"revision":0,"cpus":101,"gpus":11,"proxies":["192.0.2.0/24"]}`)},
		{What: "operators-key-add", Body: []byte(`{"revision":0,"name":"desk","role":"change"}`)}, {What: "operators-key-revoke", Sub: "watch", Body: []byte(`{"revision":0}`)},
		{What: "team-put", ID: "dispo", Body: []byte(`{"revision":0,"cpus":4,"gpus":1,"cpus_max":8,"gpus_max":2}`)}, {What: "team-remove", ID: "dispo"},
		{What: "pools"}, {What: "pool", ID: "routing"}, {What: "pool-put", ID: "pay", Body: []byte(`{"revision":0,"size":3,"largest":4,"unit":"seats","teams":["red"],"tenants":["kipper"],"reclaim":true,"guaranteed":{"red":1}}`)},
		{What: "pool-remove", ID: "routing", Body: []byte(`{"revision":9}`)}, {What: "audit", Limit: 5}, {What: "drain", ID: "i-000000"}, {What: "teams"}} {
		ask.Random, ask.KeyID, ask.Caller = &random, "00aa", message.Caller{From: netip.MustParseAddr("198.51.100.1")}
		f.Text(strings.TrimSpace(fmt.Sprint(ask.What, " ", ask.ID, ask.Sub, string(ask.Body))), transcript(t, n, func() { n.admin.HandleAuthorized(ask) }, stored))
	}
	caller := message.Caller{Auth: "Bearer " + secret.String(), From: netip.MustParseAddr("192.0.2.7")}
	f.Text("own jobs", transcript(t, n, func() { n.dispatch(message.TenantQuery{What: "jobs", Limit: 5, Caller: caller}) }, stored))
	f.Text("own usage", transcript(t, n, func() { n.dispatch(message.TenantQuery{What: "usage", Caller: caller}) }, stored))
	f.Text("own history", transcript(t, n, func() { n.dispatch(message.ListHistory{Limit: 5, Caller: caller}) }, stored))
	f.Text("no key", transcript(t, n, func() { n.dispatch(message.ListHistory{Limit: 5}) }, stored))
	f.Text("other controllers' forward", fmt.Sprint(tenancy.ForwardKind, " ", message.ForwardSkips))
	write := n.tenancy.NewHistoryWrite(n.core.State.Jobs["run-1"])
	f.Text("history", fmt.Sprintf("%s %s", write.Put, write.Value))
}
