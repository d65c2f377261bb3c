package emulator

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"basaltwall/api"
	"basaltwall/config"
	"basaltwall/controller/message"
	"basaltwall/controller/tenancy"
	"basaltwall/internal/exactjson"
	"basaltwall/internal/invariant"
	"basaltwall/tenant"
)

// Tenants emulates the operator and the tenants of a hosted service. The operator repeats each request
// until it succeeds, and reads the tenant's revision again before each attempt.
type Tenants struct {
	sim            *Simulation
	adminSecret    string
	secrets        map[tenant.Name]string
	keyCount       int
	jobs           map[api.JobID]tenantJob             // tenants' jobs by their id within the cluster
	suspended      map[tenant.Name]bool                // suspension acknowledged, and no resumption requested since
	pendingChanges map[tenant.Name][]func(done func()) // queued changes, the first one in progress

	acceptedAt map[tenant.Name][]time.Duration // acceptance times of the tenants' jobs
	poolLedger poolLedger
}

type tenantJob struct {
	name tenant.Name
	ref  api.JobID
}

// EnableHosting makes the deployment a hosted service. It must be called before the controllers start.
func (sim *Simulation) EnableHosting() {
	_, secret, err := tenant.NewKey([tenant.KeyRandomBytes]byte{1}, "admin", 0, 0)
	sim.must(err)
	for _, c := range sim.configs {
		c.Hosted = &config.Hosted{AdminKey: secret.Key("admin")}
	}
	sim.Tenants = &Tenants{sim: sim, adminSecret: secret.String(), secrets: map[tenant.Name]string{}, jobs: map[api.JobID]tenantJob{}, suspended: map[tenant.Name]bool{},
		pendingChanges: map[tenant.Name][]func(func()){},
		acceptedAt:     map[tenant.Name][]time.Duration{}, poolLedger: poolLedger{map[api.TaskID]api.MachineID{}, map[api.PoolName]int{}}}
}

// RegisterJob records a tenant's job and returns its id within the cluster.
func (t *Tenants) RegisterJob(name tenant.Name, ref api.JobID) api.JobID {
	id := tenant.JobID(name, ref)
	t.jobs[id] = tenantJob{name, ref}
	return id
}

// callerOf returns the credentials and the reference that a job's user sends in requests.
func (sim *Simulation) callerOf(id api.JobID) (message.Caller, api.JobID) {
	if sim.Tenants == nil {
		return message.Caller{}, id
	}
	o := sim.Tenants.jobs[id]
	return message.Caller{Auth: "Bearer " + sim.Tenants.secrets[o.name], From: netip.MustParseAddr("192.0.2.1")}, o.ref
}

// adminRequest sends an operator's request to any controller. The status is 0 if there is no response.
func (t *Tenants) adminRequest(operation message.AdminOperation, name tenant.Name, body any, answer func(int, []byte)) {
	data, err := json.Marshal(body)
	t.sim.must(err)
	t.keyCount++
	random := [tenant.KeyRandomBytes]byte{2, byte(t.keyCount), byte(t.keyCount >> 8)}
	controllerName := t.sim.Users.anyController()
	t.sim.externalRequest(controllerName, 5*time.Second, func(answer func(int, []byte)) {
		if h := t.sim.controllers[controllerName]; h != nil {
			t.sim.callController(h, func(req message.ReqID) message.Command {
				return message.AdminRequest{Req: req, What: operation, ID: string(name), Body: data, Random: &random, Caller: message.Caller{Auth: "Bearer " + t.adminSecret}}
			}, answer)
		}
	}, answer)
}

// applyChange reads a tenant's revision and requests a change with it, and retries both until the response is 200.
func (t *Tenants) applyChange(name tenant.Name, operation message.AdminOperation, body func(revision api.Revision) any, done func([]byte)) {
	retry := func() { t.sim.After(time.Second, func() { t.applyChange(name, operation, body, done) }) }
	t.adminRequest("tenant", name, nil, func(status int, b []byte) {
		var at tenancy.TenantView
		switch {
		case status == 200:
			t.sim.must(exactjson.Decode(b, &at))
		case status == 404 && operation == "tenant-put":
		default:
			retry()
			return
		}
		t.adminRequest(operation, name, body(at.Revision), func(status int, b []byte) {
			if status != 200 {
				retry()
				return
			}
			done(b)
		})
	})
}

// enqueueChange applies changes to a tenant one after the other: a request without a response may still be
// executed later, so the next change waits until the previous one has succeeded.
func (t *Tenants) enqueueChange(name tenant.Name, change func(done func())) {
	t.pendingChanges[name] = append(t.pendingChanges[name], change)
	if len(t.pendingChanges[name]) == 1 {
		t.runNextChange(name)
	}
}

func (t *Tenants) runNextChange(name tenant.Name) {
	t.pendingChanges[name][0](func() {
		if t.pendingChanges[name] = t.pendingChanges[name][1:]; len(t.pendingChanges[name]) > 0 {
			t.runNextChange(name)
		}
	})
}

// Add creates a tenant and a key for it.
func (t *Tenants) Add(name tenant.Name, teams []string, rate, burst float64) {
	t.applyChange(name, "tenant-put", func(r api.Revision) any {
		return map[string]any{"revision": r, "teams": teams, "rate": rate, "burst": burst, "retention_s": 3600}
	}, func([]byte) {
		t.applyChange(name, "key-add", func(r api.Revision) any {
			return map[string]any{"revision": r, "name": fmt.Sprint("k", t.keyCount)}
		}, func(b []byte) {
			var k tenancy.NewKeyView
			t.sim.must(exactjson.Decode(b, &k))
			t.secrets[name] = k.Secret
		})
	})
}

// Suspend suspends a tenant. After the response no start of its tasks may be recorded.
func (t *Tenants) Suspend(name tenant.Name, drain float64) {
	t.enqueueChange(name, func(done func()) {
		t.applyChange(name, "suspend", func(r api.Revision) any {
			return map[string]any{"revision": r, "why": "unpaid", "drain_s": drain}
		}, func([]byte) {
			t.suspended[name] = true
			done()
		})
	})
}

// Resume ends a tenant's suspension.
func (t *Tenants) Resume(name tenant.Name) {
	t.enqueueChange(name, func(done func()) {
		t.suspended[name] = false
		t.applyChange(name, "resume", func(r api.Revision) any { return map[string]any{"revision": r} }, func([]byte) { done() })
	})
}

// Remove removes a tenant. If cancel is set, its jobs are cancelled.
func (t *Tenants) Remove(name tenant.Name, cancel bool) {
	t.enqueueChange(name, func(done func()) {
		for id, o := range t.jobs {
			if o.name == name && cancel {
				t.sim.Checker.CancelRequested(t.sim.Now, id) // by the operator instead of the tenant
			}
		}
		t.applyChange(name, "remove", func(r api.Revision) any { return map[string]any{"revision": r, "cancel": cancel} }, func([]byte) { done() })
	})
}

// CheckDrained records a violation for each task of a tenant that is on a machine.
func (t *Tenants) CheckDrained(name tenant.Name) {
	for id := range t.sim.Checker.RunningTaskIDs() {
		if o := t.jobs[id.Job]; o.name == name {
			t.sim.Checker.RecordViolation(t.sim.Now, invariant.RuleSuspension, "task %s/%d of tenant %s has not drained", o.ref, id.Index, name)
		}
	}
}

// RateExcess returns the number of accepted jobs of a tenant above its rate, for the interval in which it is
// largest.
func (t *Tenants) RateExcess(name tenant.Name, rate float64) float64 {
	excess := 0.0
	for i, from := range t.acceptedAt[name] {
		for j, to := range t.acceptedAt[name][i:] {
			excess = max(excess, float64(j+1)-rate*(to-from).Seconds())
		}
	}
	return excess
}

// State returns the state in a tenant's stored record.
func (t *Tenants) State(name string) tenant.State {
	var v tenant.Tenant
	if e, ok := t.sim.Store.entries["b/tenant/"+name]; ok {
		t.sim.must(exactjson.Decode(e.value, &v))
	}
	return v.State
}

// observeWrite checks the rules held and pool. It is called before each key is written.
func (t *Tenants) observeWrite(key string, value json.RawMessage) {
	if t == nil {
		return
	}
	if ref, ok := strings.CutPrefix(key, "b/job/"); ok {
		o := t.jobs[api.JobID(ref)]
		if _, known := t.sim.Store.entries[key]; known {
			return
		}
		if t.suspended[o.name] {
			t.sim.Checker.RecordViolation(t.sim.Now, invariant.RuleSuspension, "job %s is accepted though the suspension of tenant %s was acknowledged", o.ref, o.name)
		}
		t.acceptedAt[o.name] = append(t.acceptedAt[o.name], t.sim.Now)
		return
	}
	if !strings.HasPrefix(key, "b/round/") {
		return
	}
	var r struct {
		Jobs []struct {
			Job    api.JobID `json:"j"`
			Starts []struct {
				Task    int           `json:"i"`
				Machine api.MachineID `json:"m"`
			} `json:"+"`
			Done []int `json:"d"`
			Lost []int `json:"l"`
		} `json:"j"`
	}
	t.sim.must(exactjson.Decode(value, &r))
	started := map[api.JobID]bool{}
	for _, j := range r.Jobs {
		if o := t.jobs[j.Job]; len(j.Starts) > 0 && t.suspended[o.name] {
			t.sim.Checker.RecordViolation(t.sim.Now, invariant.RuleSuspension, "%d tasks of job %s start though the suspension of tenant %s was acknowledged", len(j.Starts), o.ref, o.name)
		}
		for _, i := range append(j.Done, j.Lost...) {
			delete(t.poolLedger.starts, api.TaskID{Job: j.Job, Index: i})
		}
		if len(j.Starts) > 0 {
			started[j.Job] = !t.holdsUnits(j.Job)
		}
		for _, s := range j.Starts {
			t.poolLedger.starts[api.TaskID{Job: j.Job, Index: s.Task}] = s.Machine
		}
	}
	t.checkPoolSizes(started)
}
