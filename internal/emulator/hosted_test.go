package emulator

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/controller/tenancy"
	"basaltwall/tenant"
)

// newLargeSimulation returns a hosted service with the given numbers of tenants, keys and finished jobs.
// Tenants.secrets has the secret of one key of each tenant.
func newLargeSimulation(t *testing.T, tenants, keys, finished int) *Simulation {
	t.Helper()
	l := &Live{ctx: t.Context()}
	if err := l.writeSettings(3, "10.0.0.1:1", "10.0.0.2:1"); err != nil {
		t.Fatal(err)
	}
	sim := NewSimulation(1, l.Configs)
	sim.EnableHosting()
	sim.Cloud.Types = smallMachineTypes()
	put := func(key string, v any) {
		data, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		sim.Store.revision++
		sim.Store.appendChange(api.Change{Put: key, Value: data, Version: sim.Store.revision}, 0)
	}
	for i := range tenants {
		x := tenant.Tenant{Name: tenant.Name(fmt.Sprintf("tenant-%04d", i)), DisplayName: "A company of some name & sons", Teams: []api.Team{"red"}, State: tenant.Active,
			Rate: 5, Burst: 20, RetentionSeconds: 7 * 86400}
		for k := i; k < keys; k += tenants {
			key, secret, err := tenant.NewKey([tenant.KeyRandomBytes]byte{3, byte(k), byte(k >> 8)}, fmt.Sprintf("k%d", k/tenants), 1000, 0)
			if err != nil {
				t.Fatal(err)
			}
			x.Keys = append(x.Keys, key)
			sim.Tenants.secrets[x.Name] = secret.String()
		}
		put("b/tenant/"+string(x.Name), x)
	}
	for i := range finished {
		name := tenant.Name(fmt.Sprintf("tenant-%04d", i%tenants))
		ref := api.JobID(fmt.Sprintf("run-%d", i))
		put("final/"+string(tenant.JobID(name, ref)), api.JobDone)
		put(fmt.Sprintf("history/%s/%013d-%s", name, 900_000+i, ref), tenancy.FinishedJob{JobID: ref, State: api.JobDone, Class: "try", Team: "red", Tasks: 3, AcceptedAt: 800_000, EndedAt: 900_000})
	}
	sim.Store.changes, sim.Store.changeTimes = nil, nil // no controller reads changes this old
	return sim
}

// When all controllers restart, the amount of data that they read depends on the tenants and open jobs, not
// on the finished jobs.
func TestRestartReadsNoFinishedJobs(t *testing.T) {
	read := func(finished int) (pages, bytes, answered int) {
		sim := newLargeSimulation(t, 2000, 5000, finished)
		sim.StartControllers()
		sim.Run(2 * time.Second)
		pages, bytes = sim.Store.PagesRead, sim.Store.PageBytesRead
		for _, name := range []tenant.Name{"tenant-0000", "tenant-1999"} {
			for _, controllerName := range sim.controllerNames {
				caller := message.Caller{Auth: "Bearer " + sim.Tenants.secrets[name]}
				sim.Users.Request(controllerName, "GET", api.PathJobs+"/run-1", caller, nil, 2*time.Second, func(status int, _ []byte) {
					if status == 200 || status == 404 {
						answered++
					}
				})
			}
		}
		sim.Run(5 * time.Second)
		return pages, bytes, answered
	}
	pages, bytes, answered := read(0)
	if answered != 6 {
		t.Errorf("%d of 6 polls answered", answered)
	}
	more, moreBytes, _ := read(100_000)
	if more != pages || moreBytes != bytes {
		t.Errorf("%d pages with %d bytes without finished jobs, %d pages with %d bytes with 100,000", pages, bytes, more, moreBytes)
	}
	t.Logf("three controllers read %d pages with %d bytes", pages, bytes)
	if pages > 3*4 || bytes > 3*1_700_000 {
		t.Errorf("three controllers read %d pages with %d bytes, more than allowed", pages, bytes)
	}
}

// A hosted service writes one history record per finished job, a usage record for each used key, and nothing
// for idle tenants.
func TestStoreWritesPerMinute(t *testing.T) {
	sim := newLargeSimulation(t, 2000, 5000, 0)
	sim.Cloud.Capacity = 6
	for range 6 {
		sim.Cloud.Launch("small", "a", false, time.Second)
	}
	sim.StartControllers()
	const jobs = 60
	for i := range jobs {
		sim.After(time.Duration(3+i)*time.Second, func() {
			name := tenant.Name(fmt.Sprintf("tenant-%04d", i*31))
			ref := sim.Tenants.RegisterJob(name, "run-1")
			sim.Users.Submit(&api.JobSpec{Ref: ref, Class: "try", Team: "red", Kind: api.Array, Priority: api.Normal, Tasks: 2, CPUs: 1, MemGB: 1, Image: "img", ImageGB: 1, Estimate: 2}, 2*time.Second, "")
		})
	}
	sim.Run(100 * time.Second)
	kinds := map[string]int{}
	for _, c := range sim.Store.changes {
		for _, k := range []string{"b/tenant/", "history/", "used/", "b/gate", "audit/", "final/"} {
			if key := c.Put + c.Drop; len(key) >= len(k) && key[:len(k)] == k {
				kinds[k]++
			}
		}
	}
	if kinds["final/"] != jobs || kinds["history/"] != jobs {
		t.Errorf("of %d jobs %d are final, %d in the history", jobs, kinds["final/"], kinds["history/"])
	}
	// Each of the three controllers may record the use of a key.
	if kinds["used/"] < jobs || kinds["used/"] > 3*jobs {
		t.Errorf("%d usage records of keys are written", kinds["used/"])
	}
	if n := kinds["b/tenant/"] + kinds["b/gate"] + kinds["audit/"]; n != 0 {
		t.Errorf("%d tenant, gate and audit records are written though no tenant changed", n)
	}
	for _, x := range sim.Checker.Violations {
		t.Error(x)
	}
}

// The limit on a tenant's open jobs holds against a burst at all controllers at once: they share the
// remaining limit instead of each applying all of it.
func TestOpenJobLimit(t *testing.T) {
	sim := newLargeSimulation(t, 1, 1, 0)
	const limit = 20
	var x tenant.Tenant
	sim.must(json.Unmarshal(sim.Store.entries["b/tenant/tenant-0000"].value, &x))
	x.OpenJobs, x.Rate, x.Burst = limit, 0, 0
	data, err := json.Marshal(x)
	sim.must(err)
	sim.Store.revision++
	sim.Store.appendChange(api.Change{Put: "b/tenant/tenant-0000", Value: data, Version: sim.Store.revision}, 0)
	sim.StartControllers()
	accepted, refused := 0, 0
	send := func(from int) {
		for i := range 100 {
			ref := api.JobID(fmt.Sprintf("run-%d", from+i))
			sim.Tenants.RegisterJob("tenant-0000", ref)
			body, err := json.Marshal(submissionFields(&api.JobSpec{Ref: ref, Class: "try", Team: "red", Kind: api.Array, Priority: api.Normal, Tasks: 1, CPUs: 1, MemGB: 1, Image: "img", ImageGB: 1, Estimate: 2}))
			sim.must(err)
			caller := message.Caller{Auth: "Bearer " + sim.Tenants.secrets["tenant-0000"]}
			sim.Users.Request(sim.controllerNames[i%3], "POST", api.PathJobs, caller, body, 5*time.Second, func(status int, _ []byte) {
				switch status {
				case 201:
					accepted++
				case 429:
					refused++
				}
			})
		}
	}
	sim.After(3*time.Second, func() { send(0) })
	sim.After(5*time.Second, func() { send(100) })
	sim.Run(10 * time.Second)
	if accepted < limit || accepted >= limit+len(sim.controllerNames) || accepted+refused != 200 {
		t.Errorf("%d accepted and %d refused of 200, with a limit of %d", accepted, refused, limit)
	}
	before := accepted
	sim.Cloud.Capacity = 3
	for range 3 {
		sim.Cloud.Launch("small", "a", false, time.Second)
	}
	sim.After(30*time.Second, func() { send(200) })
	sim.Run(50 * time.Second)
	if accepted < before+limit {
		t.Errorf("only %d more accepted after the first jobs ended", accepted-before)
	}
}
