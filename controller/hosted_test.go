package controller

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/controller/tenancy"
	"basaltwall/tenant"
)

// hostedOwner returns a controller of a hosted service that owns partition 0, a pending job of the
// tenant kipper, which has the team red, and a secret key of that tenant.
func hostedOwner(t testing.TB) (*Controller, *core.OwnedPartition, *core.Job, tenant.Secret) {
	t.Helper()
	n, owned, _, j := newTestOwner(t, testSpec(4))
	_, admin, err := tenant.NewKey([tenant.KeyRandomBytes]byte{1}, "admin", 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	n.core.Config.Hosted = &config.Hosted{AdminKey: admin.Key("admin")}
	n.tenancy.InitHosted()
	n.tenancy.RecordKinds()
	n.pools.RecordKinds()
	k, s, err := tenant.NewKey([tenant.KeyRandomBytes]byte{2}, "first", 1000, 60_000)
	if err != nil {
		t.Fatal(err)
	}
	networks, err := tenant.ParseNetworks([]string{"192.0.2.0/24"})
	if err != nil {
		t.Fatal(err)
	}
	putTenant(t, n, tenant.Tenant{Name: "kipper", State: tenant.Active, Teams: []api.Team{"red"}, Keys: []tenant.Key{k}, Networks: networks, RetentionSeconds: 100})
	j.Tenant, j.TenantJobID = "kipper", "run-1"
	return n, owned, j, s
}

func putTenant(t testing.TB, n *Controller, x tenant.Tenant) {
	t.Helper()
	data, err := json.Marshal(x)
	if err != nil {
		t.Fatal(err)
	}
	if err := n.tenancy.Tenants().Put(string(x.Name), data, 8); err != nil {
		t.Fatal(err)
	}
}

// putJob stores an accepted job of a tenant, with all tasks in partition 0.
func putJob(t testing.TB, n *Controller, spec *api.JobSpec, name string, accepted api.WallTime) *core.Job {
	t.Helper()
	return putJobValue(t, n, clusterstate.JobValue{Spec: spec, Split: []clusterstate.TaskRange{{From: 0, To: spec.Tasks}}, AcceptedAt: accepted, Tenant: name, TenantJobID: spec.Ref}, 9)
}

// takeStoreCalls removes the pending effects and returns the calls to the state service among them.
func takeStoreCalls(n *Controller) []message.StoreCall {
	var out []message.StoreCall
	for _, e := range n.core.Effects {
		if c, ok := e.(message.StoreCall); ok {
			out = append(out, c)
		}
	}
	n.core.Effects = nil
	return out
}

// In a hosted service a round has exactly one more condition than without tenants: the version of
// the gate record.
func TestRoundIsConditionalOnGate(t *testing.T) {
	gate := func(n *Controller, owned *core.OwnedPartition) (int, bool) {
		n.scheduler.RunPartition(owned)
		for _, c := range takeStoreCalls(n) {
			if c.Txn != nil && len(c.Txn.Writes) == 1 && c.Txn.Writes[0].Put == clusterstate.RoundKey(0, 1) {
				return len(c.Txn.If), slices.ContainsFunc(c.Txn.If, func(x api.Condition) bool { return x.Key == core.KeyGate })
			}
		}
		t.Fatal("no round is written")
		return 0, false
	}
	withoutTenants, owned, _, _ := newTestOwner(t, testSpec(4))
	without, conditional := gate(withoutTenants, owned)
	if conditional {
		t.Error("a round is conditional on the gate though there are no tenants")
	}
	n, owned, _, _ := hostedOwner(t)
	if with, conditional := gate(n, owned); !conditional || with != without+1 {
		t.Errorf("%d conditions, %d without tenants; conditional on the gate: %v", with, without, conditional)
	}
}

// Jobs of a suspended or unknown tenant are neither started nor counted as demand for machines.
func TestBlockedJobsCreateNoDemand(t *testing.T) {
	for state, starts := range map[tenant.State]bool{tenant.Active: true, tenant.Suspended: false, tenant.Removing: false, "": false} {
		n, owned, j, _ := hostedOwner(t)
		if state == "" {
			n.tenancy.Tenants().Drop("kipper")
		} else {
			e := n.tenancy.Tenants().Get("kipper").Tenant
			e.State = state
			putTenant(t, n, e)
		}
		if got := len(n.scheduler.PlanRound(owned).Starts) > 0; got != starts || n.tenancy.StartsBlocked(j) == starts {
			t.Errorf("tenant state %q: starts planned %v, starts blocked %v", state, got, n.tenancy.StartsBlocked(j))
		}
		if pending := n.capacity.CompetingTasksIn(0, j.Spec); (pending > 0) != starts {
			t.Errorf("tenant state %q: %d tasks count as pending", state, pending)
		}
	}
}

func mustAddr(t *testing.T, s string) netip.Addr {
	t.Helper()
	a, err := netip.ParseAddr(s)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// A round examines a bounded number of jobs of one tenant, so a long queue does not delay other
// tenants. Each job in the queue is examined eventually, also when no machine fits the jobs before
// it.
func TestLongQueueRotatesAcrossRounds(t *testing.T) {
	n, owned, j, _ := hostedOwner(t)
	putTenant(t, n, tenant.Tenant{Name: "flood", State: tenant.Active, Teams: []api.Team{"blue"}, RetentionSeconds: 100})
	n.core.Teams["blue"] = config.Team{Name: "blue"}
	const queue = 5000
	put := func(ref int, cpus float64, accepted api.WallTime) *core.Job {
		spec := testSpec(1)
		spec.Ref, spec.Team, spec.CPUs = api.JobID(fmt.Sprintf("run-1%05d", ref)), "blue", cpus
		return putJob(t, n, spec, "flood", accepted)
	}
	for i := range queue - 1 {
		put(i, 9, 1000) // more CPUs than any machine has
	}
	fits := put(queue, 1, 2000)
	j.Tenant = "kipper"
	starts := func(round *core.PendingRound, j *core.Job) bool {
		return slices.ContainsFunc(round.Starts, func(p *core.Placement) bool { return p.Job == j })
	}
	round := n.scheduler.PlanRound(owned)
	if !starts(round, j) {
		t.Error("another tenant's job is not started because of the long queue")
	}
	if examined, limit := n.core.Metrics.FlowTasks, tenancy.MaxJobsPerRound+j.Spec.Tasks; examined > limit {
		t.Errorf("a round examines %d tasks, expected at most %d", examined, limit)
	}
	delete(n.core.State.PendingJobs, j.ID) // a round places one task on each machine
	rounds := 1
	for !starts(round, fits) && rounds <= queue {
		round = n.scheduler.PlanRound(owned)
		rounds++
	}
	if limit := tenant.RoundsToCoverAll(queue, tenancy.MaxJobsPerRound); rounds > limit {
		t.Errorf("a job is examined after %d rounds, expected at most %d", rounds, limit)
	}
	// A round runs without any new event for the jobs that the last one did not examine.
	owned.NeedsRound, owned.NextRound = false, 0
	owned.PlannedAt = n.core.Now
	n.core.Now = n.core.Now.Add(core.DeferredJobsInterval)
	before := n.tenancy.RoundRotations("flood", 0)
	n.scheduler.RunPartition(owned)
	if n.tenancy.RoundRotations("flood", 0) == before {
		t.Error("no job is examined while there are no new events")
	}
}

// Operators' keys are checked against the current state. A controller that can't read the state
// answers only read requests about itself, and accepts keys from its cache while this is fresh, or
// the key of its admin key file.
func TestOperatorKeysDuringOutage(t *testing.T) {
	n, _, _, _ := hostedOwner(t)
	_, first, err := tenant.NewKey([tenant.KeyRandomBytes]byte{1}, "admin", 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	watch, secret, err := tenant.NewKey([tenant.KeyRandomBytes]byte{5}, "watch", 1000, 0)
	if err != nil {
		t.Fatal(err)
	}
	n.tenancy.Operators().Keys = []tenant.OperatorKey{{Key: watch, Role: tenant.RoleRead}}
	n.follower.RecordRead()
	request := func(key tenant.Secret, what string) int {
		n.core.Effects = nil
		n.dispatch(message.AdminRequest{Req: 1, What: message.AdminOperation(what), Caller: message.Caller{Auth: "Bearer " + key.String(), From: mustAddr(t, "192.0.2.1")}})
		for _, w := range n.follower.TakeWaiters() {
			w.OnFailure() // the state service does not answer
		}
		for _, e := range n.core.Effects {
			if r, ok := e.(message.Reply); ok {
				return r.Status
			}
		}
		return 0
	}
	for _, c := range []struct {
		after time.Duration
		key   tenant.Secret
		what  string
		want  int
	}{{0, secret, "metrics", 200}, {0, secret, "tenants", 503}, {0, secret, "drain", 503}, {0, first, "set", 503}, {0, first, "members", 200},
		{tenancy.OperatorKeyCacheTTL - time.Second, secret, "machines", 200}, {2 * time.Second, secret, "machines", 503}, {0, first, "machines", 200}, {0, first, "operators", 503}} {
		n.core.Now = n.core.Now.Add(c.after)
		if got := request(c.key, c.what); got != c.want {
			t.Errorf("request %s with key %s, state last read %v ago: status %d, expected %d", c.what, c.key.ID, n.core.Now.Sub(n.follower.LastReadAt()), got, c.want)
		}
	}
	n.tenancy.Operators().RevokedAdminKeys = []tenant.KeyID{first.ID}
	if got := request(first, "metrics"); got != 401 {
		t.Errorf("request with the retired key of the admin key file: status %d", got)
	}
}
