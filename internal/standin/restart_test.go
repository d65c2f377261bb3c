package standin

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/control"
	"basaltwall/tenant"
)

// large is a hosted service with many tenants and keys and so many finished jobs; each of
// the first ten tenants has a key whose secret is known.
func large(t *testing.T, tenants, keys, finished int) *World {
	t.Helper()
	l := &Live{ctx: t.Context()}
	if err := l.settings(3, "10.0.0.1:1", "10.0.0.2:1"); err != nil {
		t.Fatal(err)
	}
	w := NewWorld(1, l.Configs)
	w.Host()
	w.Cloud.Types = smallOnly()
	put := func(key string, v any) {
		data, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		w.State.rev++
		w.State.change(api.Change{Put: key, Value: data, Version: w.State.rev}, 0)
	}
	for i := range tenants {
		x := tenant.Tenant{Name: tenant.Name(fmt.Sprintf("tenant-%04d", i)), Display: "A company of some name & sons", Teams: []api.Team{"red"}, State: tenant.Active,
			Rate: 5, Burst: 20, Retention: 7 * 86400}
		for k := i; k < keys; k += tenants {
			key, secret, err := tenant.NewKey([tenant.RandomBytes]byte{3, byte(k), byte(k >> 8)}, fmt.Sprintf("k%d", k/tenants), 1000, 0)
			if err != nil {
				t.Fatal(err)
			}
			x.Keys = append(x.Keys, key)
			w.Tenants.secrets[x.Name] = secret.String()
		}
		put("b/tenant/"+string(x.Name), x)
	}
	for i := range finished {
		name := tenant.Name(fmt.Sprintf("tenant-%04d", i%tenants))
		ref := api.JobRef(fmt.Sprintf("run-%d", i))
		put("final/"+string(tenant.JobID(name, ref)), api.JobDone)
		put(fmt.Sprintf("history/%s/%013d-%s", name, 900_000+i, ref), control.Ended{Ref: ref, State: api.JobDone, Class: "try", Team: "red", Tasks: 3, Accepted: 800_000, Ended: 900_000})
	}
	w.State.log, w.State.logAt = nil, nil // nobody reads that far back
	return w
}

// What a restart of all controllers reads grows with the tenants and what is open, not with
// what is over: 2,000 tenants with 5,000 keys are read by each in four pages, and 100,000
// finished jobs add nothing.
func TestRestartReadsNothingOfWhatIsOver(t *testing.T) {
	read := func(finished int) (pages, bytes, answered int) {
		w := large(t, 2000, 5000, finished)
		w.StartAll()
		w.Run(2 * time.Second)
		pages, bytes = w.State.Pages, w.State.PageBytes
		for _, name := range []tenant.Name{"tenant-0000", "tenant-1999"} {
			for _, node := range w.names {
				caller := control.Caller{Auth: "Bearer " + w.Tenants.secrets[name]}
				w.Users.Request(node, "GET", api.PathJobs+"/run-1", caller, nil, 2*time.Second, func(status int, _ []byte) {
					if status == 200 || status == 404 {
						answered++
					}
				})
			}
		}
		w.Run(5 * time.Second)
		return pages, bytes, answered
	}
	pages, bytes, answered := read(0)
	if answered != 6 {
		t.Errorf("%d of 6 polls answered", answered)
	}
	more, moreBytes, _ := read(100_000)
	if more != pages || moreBytes != bytes {
		t.Errorf("%d pages with %d bytes, and with 100,000 finished jobs %d with %d", pages, bytes, more, moreBytes)
	}
	t.Logf("%d pages with %d bytes by three controllers", pages, bytes)
	if pages > 3*4 || bytes > 3*1_700_000 {
		t.Errorf("%d pages with %d bytes", pages, bytes)
	}
}

// An ordinary minute of 2,000 tenants, of whom sixty submit a job and look at it: by what a
// hosted service writes more than one without. A finished job is one write more, and so is
// each hour in which a key is used; nothing else is written for those who do nothing.
func TestWritesOfAnOrdinaryMinute(t *testing.T) {
	w := large(t, 2000, 5000, 0)
	w.Cloud.Capacity = 6
	for range 6 {
		w.Cloud.Rent("small", "a", false, time.Second)
	}
	w.StartAll()
	const jobs = 60
	for i := range jobs {
		w.After(time.Duration(3+i)*time.Second, func() {
			name := tenant.Name(fmt.Sprintf("tenant-%04d", i*31))
			ref := w.Tenants.Own(name, "run-1")
			w.Users.Submit(&api.JobSpec{Ref: ref, Class: "try", Team: "red", Kind: api.Array, Priority: api.Normal, Tasks: 2, CPUs: 1, MemGB: 1, Image: "img", ImageGB: 1, Estimate: 2}, 2*time.Second, "")
		})
	}
	w.Run(100 * time.Second)
	kinds := map[string]int{}
	for _, c := range w.State.log {
		for _, k := range []string{"b/tenant/", "history/", "used/", "b/gate", "audit/", "final/"} {
			if key := c.Put + c.Drop; len(key) >= len(k) && key[:len(k)] == k {
				kinds[k]++
			}
		}
	}
	if kinds["final/"] != jobs || kinds["history/"] != jobs {
		t.Errorf("of %d jobs %d are over, %d in the history", jobs, kinds["final/"], kinds["history/"])
	}
	// Each key may be noted by each of three controllers.
	if kinds["used/"] < jobs || kinds["used/"] > 3*jobs {
		t.Errorf("%d uses of keys are written", kinds["used/"])
	}
	if n := kinds["b/tenant/"] + kinds["b/gate"] + kinds["audit/"]; n != 0 {
		t.Errorf("%d records of tenants are written though none changed", n)
	}
	for _, x := range w.Check.Broken {
		t.Error(x)
	}
}

// A bound on open jobs holds against a burst that comes to all controllers at once: each
// takes its part of what is left. Where every one counted for itself, all three took as
// many as there might be together.
func TestOpenJobsAreBounded(t *testing.T) {
	w := large(t, 1, 1, 0)
	const bound = 20
	var x tenant.Tenant
	w.must(json.Unmarshal(w.State.keys["b/tenant/tenant-0000"].value, &x))
	x.OpenJobs, x.Rate, x.Burst = bound, 0, 0
	data, err := json.Marshal(x)
	w.must(err)
	w.State.rev++
	w.State.change(api.Change{Put: "b/tenant/tenant-0000", Value: data, Version: w.State.rev}, 0)
	w.StartAll()
	accepted, refused := 0, 0
	send := func(from int) {
		for i := range 100 {
			ref := api.JobRef(fmt.Sprintf("run-%d", from+i))
			w.Tenants.Own("tenant-0000", ref)
			body, err := json.Marshal(submission(&api.JobSpec{Ref: ref, Class: "try", Team: "red", Kind: api.Array, Priority: api.Normal, Tasks: 1, CPUs: 1, MemGB: 1, Image: "img", ImageGB: 1, Estimate: 2}))
			w.must(err)
			caller := control.Caller{Auth: "Bearer " + w.Tenants.secrets["tenant-0000"]}
			w.Users.Request(w.names[i%3], "POST", api.PathJobs, caller, body, 5*time.Second, func(status int, _ []byte) {
				switch status {
				case 201:
					accepted++
				case 429:
					refused++
				}
			})
		}
	}
	w.After(3*time.Second, func() { send(0) })
	w.After(5*time.Second, func() { send(100) })
	w.Run(10 * time.Second)
	if accepted < bound || accepted >= bound+len(w.names) || accepted+refused != 200 {
		t.Errorf("%d accepted and %d refused of 200, of a bound of %d", accepted, refused, bound)
	}
	before := accepted
	w.Cloud.Capacity = 3
	for range 3 {
		w.Cloud.Rent("small", "a", false, time.Second)
	}
	w.After(30*time.Second, func() { send(200) })
	w.Run(50 * time.Second)
	if accepted < before+bound {
		t.Errorf("%d more accepted once the first were over", accepted-before)
	}
}
