package emulator

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/controller/tenancy"

	_ "basaltwall/internal/proptest"
	"basaltwall/tenant"
)

// recordedRequest is a request of an operator or user to a controller, and the response.
type recordedRequest struct {
	operation, name, sub string // name is the tenant or team, sub a key's name
	revision             api.Revision
	keyName              string // the caller's key, by its name in requestHistory.secrets
	createdKeyID         string // id of the key that the request creates
	teams                []string
	cancel               bool
	job                  api.JobID
	sentAt, answeredAt   time.Duration
	status               int
	body                 []byte
	onSuccess            func() // called after a response with status 200
}

// tenantModel is the expected state of a tenant after a revision, computed without the service's code.
type tenantModel struct {
	state      string
	teams      []string
	keys       map[string]string // names by id
	cancelJobs bool
	revision   api.Revision
	changedAt  time.Duration
}

// apply returns the tenant after a request, given the number of its jobs, and whether the request is allowed.
func (p tenantModel) apply(a *recordedRequest, jobs int) (tenantModel, bool) {
	p.keys = maps.Clone(p.keys)
	switch {
	case a.revision != p.revision:
		return p, false
	case a.operation == "tenant-put" && (p.revision == 0 || p.state == "active" || p.state == "suspended"):
		if p.revision == 0 {
			p.state, p.keys = "active", map[string]string{}
		}
		p.teams = a.teams
	case p.revision == 0:
		return p, false
	case a.operation == "suspend" && p.state == "active":
		p.state = "suspended"
	case a.operation == "resume" && p.state == "suspended":
		p.state = "active"
	case a.operation == "remove" && p.state == "suspended" && (a.cancel || jobs == 0):
		p.state, p.cancelJobs = "removing", a.cancel
	case a.operation == "key-add":
		p.keys[a.createdKeyID] = a.sub
	case a.operation == "key-revoke":
		maps.DeleteFunc(p.keys, func(_, name string) bool { return name == a.sub })
	default:
		return p, false
	}
	return p, true
}

func (p tenantModel) equal(o tenantModel) bool {
	return p.state == o.state && p.cancelJobs == o.cancelJobs && slices.Equal(p.teams, o.teams) && maps.Equal(p.keys, o.keys)
}

// parseTenantModel parses a tenant's stored record.
func parseTenantModel(value json.RawMessage) (tenantModel, error) {
	var v struct {
		State  string   `json:"state"`
		Teams  []string `json:"teams"`
		Cancel bool     `json:"cancel_jobs"`
		Keys   []struct {
			ID   string `json:"id"`
			Name string `json:"name"`
		} `json:"keys"`
	}
	err := json.Unmarshal(value, &v)
	p := tenantModel{state: v.State, teams: v.Teams, cancelJobs: v.Cancel, keys: map[string]string{}}
	for _, k := range v.Keys {
		p.keys[k.ID] = k.Name
	}
	return p, err
}

// requestHistory holds the requests and the resulting tenant states in the key-value store's log.
type requestHistory struct {
	sim        *Simulation
	requests   []*recordedRequest
	secrets    map[string]string        // by name
	keyIDs     map[string]string        // public ids of the keys in secrets, by name
	keyExpiry  map[string]time.Duration // by public id
	versions   map[string][]tenantModel // of each tenant, in order of revision
	violations []string
}

func (h *requestHistory) recordViolation(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// send sends a request to a controller and records the response.
func (h *requestHistory) send(controllerName string, a *recordedRequest, command func(message.ReqID, message.Caller) message.Command) {
	a.sentAt, a.answeredAt = h.sim.Now, -1
	h.requests = append(h.requests, a)
	caller := message.Caller{Auth: "Bearer " + h.secrets[a.keyName]}
	h.sim.externalRequest(controllerName, 6*time.Second, func(answer func(int, []byte)) {
		if n := h.sim.controllers[controllerName]; n != nil {
			h.sim.callController(n, func(req message.ReqID) message.Command { return command(req, caller) }, answer)
		}
	}, func(status int, body []byte) {
		a.status, a.body, a.answeredAt = status, body, h.sim.Now
		var k tenancy.NewKeyView
		if a.createdKeyID != "" && status == 200 && json.Unmarshal(body, &k) == nil {
			name := a.name + "/" + a.sub + "/" + a.createdKeyID
			h.secrets[name], h.keyIDs[name] = k.Secret, string(k.ID)
			if k.Expires != 0 {
				h.keyExpiry[string(k.ID)] = time.Duration(k.Expires-1_000_000) * time.Millisecond
			}
		}
		if a.onSuccess != nil && status == 200 {
			a.onSuccess()
		}
	})
}

// keyValid reports whether a key of a tenant was valid at any time and at all times of an interval.
func (h *requestHistory) keyValid(name, id string, from, to time.Duration) (anytime, always bool) {
	always = true
	before := tenantModel{}
	for _, p := range append(slices.Clone(h.versions[name]), tenantModel{changedAt: to + 1}) {
		if before.changedAt <= to && p.changedAt >= from { // before was in force during a part of the interval
			_, there := before.keys[id]
			anytime, always = anytime || there, always && there
		}
		before = p
	}
	if end, ends := h.keyExpiry[id]; ends {
		// Controllers refuse a key at most twice the clock error before its expiry, and none accepts
		// it after its expiry.
		anytime, always = anytime && from < end, always && to < end-2*maxClockError
	}
	return anytime, always
}

// maxClockError is the largest offset of controllers' clocks.
const maxClockError = 500 * time.Millisecond

// checkLog checks that each change in the key-value store's log was requested and is allowed by the model.
func (h *requestHistory) checkLog() {
	teamOwners := map[string]string{}
	jobs := map[api.JobID]string{}
	teams, removedTeams := map[string]float64{}, map[string]bool{}
	var guaranteed, reserved float64
	current := func(name string) tenantModel {
		if all := h.versions[name]; len(all) > 0 {
			return all[len(all)-1]
		}
		return tenantModel{}
	}
	s := h.sim.Store
	for i := 0; i < len(s.changes); {
		rev, at := s.changes[i].Version, s.changeTimes[i]
		var names []string // tenants changed by this revision
		gateWritten, suspends, auditRecords, adminChanges, guaranteesChanged := false, false, 0, 0, false
		for ; i < len(s.changes) && s.changes[i].Version == rev; i++ {
			c := s.changes[i]
			key := c.Put + c.Drop
			switch {
			case strings.HasPrefix(key, "b/tenant/"):
				name := key[len("b/tenant/"):]
				after, err := parseTenantModel(c.Value)
				h.sim.must(err)
				before, jobCount := current(name), 0
				for _, n := range jobs {
					if n == name {
						jobCount++
					}
				}
				after.revision, after.changedAt = rev, at
				allowed := before.state == "removing" && after.state == "removed" && jobCount == 0 && len(after.teams)+len(after.keys) == 0
				if !allowed {
					adminChanges++
					allowed = slices.ContainsFunc(h.requests, func(a *recordedRequest) bool {
						next, may := before.apply(a, jobCount)
						return a.name == name && a.sentAt <= at && may && next.equal(after)
					})
				}
				if !allowed {
					h.recordViolation("revision %d: tenant %s becomes %+v from %+v with %d jobs, which was not requested or is not allowed", rev, name, after, before, jobCount)
				}
				h.versions[name] = append(h.versions[name], after)
				names = append(names, name)
				suspends = suspends || after.state == "suspended" && before.state == "active"
			case key == "b/gate":
				gateWritten = true
			case strings.HasPrefix(key, "audit/"):
				auditRecords++
			case strings.HasPrefix(key, "b/teamof/"):
				team := key[len("b/teamof/"):]
				if c.Drop != "" {
					delete(teamOwners, team)
					continue
				}
				var name string
				h.sim.must(json.Unmarshal(c.Value, &name))
				if removedTeams[team] {
					h.recordViolation("revision %d: team %s, which was removed, is claimed by %s", rev, team, name)
				}
				if other := teamOwners[team]; other != "" {
					h.recordViolation("revision %d: team %s of %s is claimed by %s", rev, team, other, name)
				}
				teamOwners[team] = name
			case strings.HasPrefix(key, "b/team/"):
				var t tenant.Team
				h.sim.must(json.Unmarshal(c.Value, &t))
				teams[key[len("b/team/"):]], guaranteesChanged = t.CPUs, true
				adminChanges++
				removedTeams[string(t.Name)] = t.Removed
				if t.Removed && teamOwners[string(t.Name)] != "" {
					h.recordViolation("revision %d: team %s of %s is removed", rev, t.Name, teamOwners[string(t.Name)])
				}
			case key == "b/given":
				var g tenant.GuaranteedTotal
				h.sim.must(json.Unmarshal(c.Value, &g))
				guaranteed, guaranteesChanged = g.CPUs, true
			case key == "b/operators":
				var o tenant.Operators
				h.sim.must(json.Unmarshal(c.Value, &o))
				reserved, guaranteesChanged = o.TeamCPUBudget, true
				adminChanges++
			case strings.HasPrefix(key, "b/job/"):
				h.checkJobChange(c, rev, jobs, current)
			case strings.HasPrefix(key, "b/round/") && c.Put != "":
				var r struct {
					Jobs []struct {
						Job    api.JobID         `json:"j"`
						Starts []json.RawMessage `json:"+"`
					} `json:"j"`
				}
				h.sim.must(json.Unmarshal(c.Value, &r))
				for _, j := range r.Jobs {
					if name := jobs[j.Job]; len(j.Starts) > 0 && current(name).state != "active" {
						h.recordViolation("revision %d: tasks of tenant %s start, whose state is %s", rev, name, current(name).state)
					}
				}
			}
		}
		if suspends && !gateWritten {
			h.recordViolation("revision %d: a tenant is suspended without a write of b/gate", rev)
		}
		if auditRecords != adminChanges {
			h.recordViolation("revision %d: %d changes by operators, but %d audit records", rev, adminChanges, auditRecords)
		}
		for _, name := range names {
			for _, team := range current(name).teams {
				if teamOwners[team] != name {
					h.recordViolation("revision %d: tenant %s has team %s, which is claimed by %q", rev, name, team, teamOwners[team])
				}
			}
		}
		if guaranteesChanged {
			sum := 0.0
			for _, c := range teams {
				sum += c
			}
			if sum != guaranteed || guaranteed > reserved {
				h.recordViolation("revision %d: teams' guarantees sum up to %v CPUs, recorded sum %v, reserved %v", rev, sum, guaranteed, reserved)
			}
		}
	}
}

// checkJobChange checks that a new job was submitted by a tenant that may submit it.
func (h *requestHistory) checkJobChange(c api.Change, rev api.Revision, jobs map[api.JobID]string, current func(string) tenantModel) {
	if c.Drop != "" {
		delete(jobs, api.JobID(c.Drop[len("b/job/"):]))
		return
	}
	id := api.JobID(c.Put[len("b/job/"):])
	if jobs[id] != "" {
		return
	}
	allowed := slices.ContainsFunc(h.requests, func(a *recordedRequest) bool {
		p := current(a.name)
		_, hasKey := p.keys[h.keyIDs[a.keyName]]
		return a.operation == "submit" && a.job == id && hasKey && p.state == "active" && slices.Contains(p.teams, a.teams[0])
	})
	o := h.sim.Tenants.jobs[id]
	if !allowed {
		h.recordViolation("revision %d: job %s/%s is accepted, though no request of the tenant %+v was allowed to submit it", rev, o.name, o.ref, current(string(o.name)))
	}
	jobs[id] = string(o.name)
}

// checkResponses checks that each response was correct at some time between request and response.
func (h *requestHistory) checkResponses() {
	for _, a := range h.requests {
		if a.answeredAt < 0 || a.status == 0 {
			continue
		}
		if a.operation == "poll" || a.operation == "submit" {
			anytime, always := h.keyValid(a.name, h.keyIDs[a.keyName], a.sentAt, a.answeredAt)
			if a.status == 401 && always {
				h.recordViolation("%s with key %s at %.2f s: 401, though the key was valid all the time", a.operation, a.keyName, a.sentAt.Seconds())
			}
			if (a.status == 200 || a.status == 201 || a.status == 404) && !anytime {
				h.recordViolation("%s with key %s at %.2f s: %d, though the key was never valid", a.operation, a.keyName, a.sentAt.Seconds(), a.status)
			}
			continue
		}
		var v struct {
			State    string       `json:"state"`
			Teams    []string     `json:"teams"`
			Revision api.Revision `json:"revision"`
		}
		if a.status != 200 || a.operation == "operators-put" || strings.HasPrefix(a.operation, "team-") {
			continue
		}
		h.sim.must(json.Unmarshal(a.body, &v))
		all := h.versions[a.name]
		i := slices.IndexFunc(all, func(p tenantModel) bool { return p.revision == v.Revision })
		if i < 0 {
			h.recordViolation("%s of tenant %s: 200 with revision %d, which never existed", a.operation, a.name, v.Revision)
			continue
		}
		if all[i].changedAt > a.answeredAt || i+1 < len(all) && all[i+1].changedAt < a.sentAt {
			h.recordViolation("%s of tenant %s at %.2f to %.2f s: 200 with revision %d, which was current at another time", a.operation, a.name, a.sentAt.Seconds(), a.answeredAt.Seconds(), v.Revision)
		}
		if v.State != "" && (v.State != all[i].state || !slices.Equal(v.Teams, all[i].teams)) {
			h.recordViolation("%s of tenant %s: response %s %v, expected %+v", a.operation, a.name, v.State, v.Teams, all[i])
		}
	}
}

// Operators and users send concurrent requests to controllers that crash, freeze and lose their links,
// and transactions take effect late or without a response. Each change in the log must be requested and
// allowed by the model, no job may be accepted or started against its tenant's state, and every response
// must be correct at some time between request and response.
func TestAdminActionsAgainstReferenceModel(t *testing.T) {
	if err := flag.Set("rapid.checks", "40"); err != nil {
		t.Fatal(err)
	}
	const faultsEnd = 40 * time.Second
	l := &Live{ctx: t.Context()}
	if err := l.writeSettings(3, "10.0.0.1:1", "10.0.0.2:1"); err != nil {
		t.Fatal(err)
	}
	for _, c := range l.Configs {
		c.Deployment.ClockErrorMS = float64(maxClockError.Milliseconds())
	}
	accepted, revoked, refused := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		sim := NewSimulation(rapid.Uint64().Draw(t, "seed"), l.Configs)
		sim.ClockSkew = map[string]time.Duration{}
		for _, name := range sim.controllerNames {
			sim.ClockSkew[name] = time.Duration(rapid.IntRange(-1, 1).Draw(t, "skew")) * maxClockError
		}
		sim.EnableHosting()
		sim.Cloud.Types = smallMachineTypes()
		sim.Cloud.Capacity = 3
		for range 3 {
			sim.Cloud.Launch("small", "a", false, time.Second)
		}
		h := &requestHistory{sim: sim, secrets: map[string]string{"": sim.Tenants.adminSecret}, keyIDs: map[string]string{}, keyExpiry: map[string]time.Duration{}, versions: map[string][]tenantModel{}}
		sim.StartControllers()
		at := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(4000, int(faultsEnd/time.Millisecond)).Draw(t, name)) * time.Millisecond
		}
		drawController := func() string { return rapid.SampledFrom(sim.controllerNames).Draw(t, "controller") }
		for range rapid.IntRange(0, 5).Draw(t, "faults") {
			n, length := drawController(), time.Duration(rapid.IntRange(1, 10).Draw(t, "length"))*time.Second
			switch rapid.IntRange(0, 4).Draw(t, "fault injected") {
			case 0:
				sim.After(at("crash"), func() { sim.CrashController(n, length/2) })
			case 1:
				hold := rapid.Bool().Draw(t, "hold")
				sim.After(at("cut"), func() { sim.CutLink(n, EndpointStore, length, hold) })
			case 2:
				sim.After(at("freeze"), func() { sim.FreezeController(n, length) })
			case 3:
				sim.After(at("outage"), func() { sim.Store.Outage(length) })
			case 4:
				lose, delay := rapid.Float64Range(0, 0.3).Draw(t, "lose"), rapid.Float64Range(0, 0.3).Draw(t, "delay")
				sim.After(at("transaction faults"), func() { sim.ReplyLossRate, sim.TransactionDelayRate = lose, delay })
			}
		}
		sim.After(faultsEnd, func() { sim.ReplyLossRate, sim.TransactionDelayRate = 0, 0 })
		version := func(key string) api.Revision { return sim.Store.entries[key].version }
		operator := func(n string, a *recordedRequest, body map[string]any) {
			a.revision, _ = body["revision"].(api.Revision)
			data, err := json.Marshal(body)
			sim.must(err)
			sim.Tenants.keyCount++
			random := [tenant.KeyRandomBytes]byte{2, byte(sim.Tenants.keyCount), byte(sim.Tenants.keyCount >> 8)}
			if a.operation == "key-add" {
				a.createdKeyID = fmt.Sprintf("02%02x%02x0000000000", byte(sim.Tenants.keyCount), byte(sim.Tenants.keyCount>>8))
			}
			h.send(n, a, func(req message.ReqID, c message.Caller) message.Command {
				return message.AdminRequest{Req: req, What: message.AdminOperation(a.operation), ID: a.name, Sub: a.sub, Body: data, Random: &random, Caller: c}
			})
		}
		poll := func(controllerName, name, key string) {
			h.send(controllerName, &recordedRequest{operation: "poll", name: name, keyName: key}, func(req message.ReqID, c message.Caller) message.Command {
				return message.Poll{Req: req, Ref: "run-0", Caller: c}
			})
		}
		names := []string{"kipper", "lopresti"}
		// Creates tenants with keys first, because most other requests would fail without them.
		for i, name := range names {
			team := []string{"red", "blue"}[i]
			sim.After(time.Duration(1500+500*i)*time.Millisecond, func() {
				operator("stone-0", &recordedRequest{operation: "tenant-put", name: name, teams: []string{team}}, map[string]any{"revision": api.Revision(0), "teams": []string{team}, "retention_s": 60})
			})
			sim.After(2700*time.Millisecond, func() {
				operator("stone-1", &recordedRequest{operation: "key-add", name: name, sub: "k0"}, map[string]any{"revision": version("b/tenant/" + name), "name": "k0"})
			})
		}
		sim.After(2900*time.Millisecond, func() {
			operator("stone-0", &recordedRequest{operation: "operators-put"}, map[string]any{"revision": api.Revision(0), "cpus": 4})
		})
		sim.After(3500*time.Millisecond, func() {
			operator("stone-2", &recordedRequest{operation: "team-put", name: "dispo"}, map[string]any{"revision": api.Revision(0), "cpus": 1})
		})
		for range rapid.IntRange(15, 50).Draw(t, "requests") {
			n, name := drawController(), rapid.SampledFrom(names).Draw(t, "tenant")
			what := rapid.SampledFrom([]string{"tenant", "tenant-put", "suspend", "resume", "resume", "remove", "key-add", "key-revoke",
				"team-put", "team-remove", "operators-put", "submit", "submit", "submit", "submit", "poll", "poll"}).Draw(t, "what")
			stale := rapid.IntRange(0, 5).Draw(t, "stale") == 0
			pick := rapid.IntRange(0, 5).Draw(t, "pick")
			team := rapid.SampledFrom([]string{"red", "blue", "red", "blue", "green", "dispo"}).Draw(t, "team")
			a := &recordedRequest{operation: what, name: name}
			other := rapid.SampledFrom(sim.controllerNames).Draw(t, "other")
			sim.After(at("request"), func() {
				rev := version("b/tenant/" + name)
				if stale {
					rev--
				}
				body := map[string]any{"revision": rev}
				switch what {
				case "submit", "poll":
					ownKeys := slices.Sorted(maps.Keys(h.secrets))
					ownKeys = slices.DeleteFunc(ownKeys, func(k string) bool { return !strings.HasPrefix(k, name+"/") })
					if len(ownKeys) == 0 {
						return
					}
					a.keyName = ownKeys[pick%len(ownKeys)]
					ref := api.JobID(fmt.Sprintf("run-%d", pick))
					a.job, a.teams = sim.Tenants.RegisterJob(tenant.Name(name), ref), []string{team}
					if what == "poll" {
						h.send(n, a, func(req message.ReqID, c message.Caller) message.Command {
							return message.Poll{Req: req, Ref: string(ref), Caller: c}
						})
						return
					}
					spec := &api.JobSpec{Ref: ref, Class: "try", Team: api.Team(team), Kind: api.Array, Priority: api.Normal, Tasks: 3, CPUs: 1, MemGB: 1, Image: "img", ImageGB: 1, Estimate: 3}
					data, err := json.Marshal(submissionFields(spec))
					sim.must(err)
					h.send(n, a, func(req message.ReqID, c message.Caller) message.Command {
						return message.Submit{Req: req, Body: data, Caller: c}
					})
					return
				case "tenant-put":
					a.teams = []string{team}
					body["teams"], body["retention_s"] = a.teams, 60
				case "suspend", "resume": // afterwards another controller is queried
					if what == "suspend" {
						body["why"] = "unpaid"
					}
					a.onSuccess = func() { operator(other, &recordedRequest{operation: "tenant", name: name}, nil) }
				case "remove":
					a.cancel = pick%2 == 0
					body["cancel"] = a.cancel
				case "key-add":
					a.sub = fmt.Sprintf("k%d", pick)
					body["name"] = a.sub
					if pick%2 == 0 { // the key is used around its expiry
						end := sim.Now + time.Duration(2+pick)*time.Second
						body["expires"] = sim.WallTime() + api.WallTime((end - sim.Now).Milliseconds())
						a.onSuccess = func() {
							for i := range 9 {
								key := name + "/" + a.sub + "/" + a.createdKeyID
								sim.After(max(0, end-sim.Now+time.Duration(i-7)*maxClockError/2), func() { poll(sim.controllerNames[i%3], name, key) })
							}
						}
					}
				case "key-revoke": // afterwards the key is used at another controller
					a.sub = fmt.Sprintf("k%d", pick%2)
					for _, key := range slices.Sorted(maps.Keys(h.secrets)) {
						if strings.HasPrefix(key, name+"/"+a.sub+"/") {
							a.onSuccess = func() { poll(other, name, key) }
						}
					}
				case "operators-put": // a team claims reserved CPUs concurrently
					body["revision"], body["cpus"] = version("b/operators"), pick
					operator(other, &recordedRequest{operation: "team-put", name: "dispo"}, map[string]any{"revision": version("b/team/dispo"), "cpus": pick + 1})
				case "team-put", "team-remove":
					a.name = []string{"dispo", "green"}[pick%2]
					body["revision"] = version("b/team/" + a.name)
					if what == "team-put" { // the other team is changed concurrently
						body["cpus"] = pick
						second := []string{"green", "dispo"}[pick%2]
						operator(other, &recordedRequest{operation: "team-put", name: second}, map[string]any{"revision": version("b/team/" + second), "cpus": pick/2 + 1})
						break
					}
					// The team is assigned to a tenant concurrently.
					teams := []string{a.name}
					operator(other, &recordedRequest{operation: "tenant-put", name: name, teams: teams},
						map[string]any{"revision": version("b/tenant/" + name), "teams": teams, "retention_s": 60})
				}
				operator(n, a, body)
			})
		}
		sim.Run(faultsEnd + 25*time.Second)
		h.checkLog()
		h.checkResponses()
		for _, a := range h.requests {
			switch {
			case a.operation == "submit" && a.status == 201:
				accepted++
			case a.operation == "key-revoke" && a.status == 200:
				revoked++
			case a.status == 409:
				refused++
			}
		}
		for _, x := range append(h.violations, sim.Checker.Violations...) {
			t.Error(x)
		}
	})
	if accepted < 20 || revoked < 5 || refused < 20 {
		t.Errorf("%d jobs accepted, %d keys revoked, %d changes refused: too few for a meaningful check", accepted, revoked, refused)
	}
}
