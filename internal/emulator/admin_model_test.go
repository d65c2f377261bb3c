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

// recordedRequest is what an operator or a user has asked of some controller, and what came of it.
type recordedRequest struct {
	operation, name, sub string // name: of the tenant or team that it is about
	revision             api.Revision
	keyName              string // that came with it: a name in plain.secrets
	createdKeyID         string // the id of the key that it would make
	teams                []string
	cancel               bool
	job                  api.JobID
	sentAt, answeredAt   time.Duration
	status               int
	body                 []byte
	onSuccess            func() // once it is answered with 200
}

// tenantModel is what the service should hold, kept apart from its own code: what each revision
// made of a tenant.
type tenantModel struct {
	state      string
	teams      []string
	keys       map[string]string // names by id
	cancelJobs bool
	revision   api.Revision
	changedAt  time.Duration
}

// apply is what an act makes of a tenant of whom so many jobs are there, and whether it may.
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

// parseTenantModel reads a tenant's record.
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

// requestHistory is what was asked, and what the key-value store's log made of it.
type requestHistory struct {
	sim        *Simulation
	requests   []*recordedRequest
	secrets    map[string]string        // by name
	keyIDs     map[string]string        // the public parts of the same
	keyExpiry  map[string]time.Duration // when one expires, by its public part
	versions   map[string][]tenantModel
	violations []string
}

func (h *requestHistory) recordViolation(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// send sends something to one controller; its answer is noted.
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

// keyValid tells whether a key opened something of a tenant at some moment between two, and
// whether it did at every one.
func (h *requestHistory) keyValid(name, id string, from, to time.Duration) (some, all bool) {
	all = true
	before := tenantModel{}
	for _, p := range append(slices.Clone(h.versions[name]), tenantModel{changedAt: to + 1}) {
		if before.changedAt <= to && p.changedAt >= from { // before held at some moment of it
			_, there := before.keys[id]
			some, all = some || there, all && there
		}
		before = p
	}
	if end, ends := h.keyExpiry[id]; ends {
		// Controllers refuse it by twice their clocks' error too soon at most, and none
		// takes it too late.
		some, all = some && from < end, all && to < end-2*maxClockError
	}
	return some, all
}

// maxClockError is by how much controllers' clocks are off at most.
const maxClockError = 500 * time.Millisecond

// checkLog reads the log as it was written and holds each change against what was asked.
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
		gate, suspends, audits, acts, cpus := false, false, 0, 0, false
		for ; i < len(s.changes) && s.changes[i].Version == rev; i++ {
			c := s.changes[i]
			key := c.Put + c.Drop
			switch {
			case strings.HasPrefix(key, "b/tenant/"):
				name := key[len("b/tenant/"):]
				is, err := parseTenantModel(c.Value)
				h.sim.must(err)
				was, of := current(name), 0
				for _, n := range jobs {
					if n == name {
						of++
					}
				}
				is.revision, is.changedAt = rev, at
				fits := was.state == "removing" && is.state == "removed" && of == 0 && len(is.teams)+len(is.keys) == 0
				if !fits {
					acts++
					fits = slices.ContainsFunc(h.requests, func(a *recordedRequest) bool {
						next, may := was.apply(a, of)
						return a.name == name && a.sentAt <= at && may && next.equal(is)
					})
				}
				if !fits {
					h.recordViolation("revision %d: %s becomes %+v from %+v with %d jobs, which nobody asked for or nobody may", rev, name, is, was, of)
				}
				h.versions[name] = append(h.versions[name], is)
				names = append(names, name)
				suspends = suspends || is.state == "suspended" && was.state == "active"
			case key == "b/gate":
				gate = true
			case strings.HasPrefix(key, "audit/"):
				audits++
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
				teams[key[len("b/team/"):]], cpus = t.CPUs, true
				acts++
				removedTeams[string(t.Name)] = t.Removed
				if t.Removed && teamOwners[string(t.Name)] != "" {
					h.recordViolation("revision %d: team %s of %s is removed", rev, t.Name, teamOwners[string(t.Name)])
				}
			case key == "b/given":
				var g tenant.GuaranteedTotal
				h.sim.must(json.Unmarshal(c.Value, &g))
				guaranteed, cpus = g.CPUs, true
			case key == "b/operators":
				var o tenant.Operators
				h.sim.must(json.Unmarshal(c.Value, &o))
				reserved, cpus = o.CPUs, true
				acts++
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
						h.recordViolation("revision %d: tasks of %s start, who is %s", rev, name, current(name).state)
					}
				}
			}
		}
		if suspends && !gate {
			h.recordViolation("revision %d: a tenant is suspended without the gate", rev)
		}
		if audits != acts {
			h.recordViolation("revision %d: %d changes by operators, %d in the audit", rev, acts, audits)
		}
		for _, name := range names {
			for _, team := range current(name).teams {
				if teamOwners[team] != name {
					h.recordViolation("revision %d: %s has team %s, which %q has claimed", rev, name, team, teamOwners[team])
				}
			}
		}
		if cpus {
			sum := 0.0
			for _, c := range teams {
				sum += c
			}
			if sum != guaranteed || guaranteed > reserved {
				h.recordViolation("revision %d: teams are guaranteed %v, kept is %v, set aside %v", rev, sum, guaranteed, reserved)
			}
		}
	}
}

// checkJobChange holds a change of a job's key against who may submit.
func (h *requestHistory) checkJobChange(c api.Change, rev api.Revision, jobs map[api.JobID]string, current func(string) tenantModel) {
	if c.Drop != "" {
		delete(jobs, api.JobID(c.Drop[len("b/job/"):]))
		return
	}
	id := api.JobID(c.Put[len("b/job/"):])
	if jobs[id] != "" {
		return
	}
	fits := slices.ContainsFunc(h.requests, func(a *recordedRequest) bool {
		p := current(a.name)
		_, opens := p.keys[h.keyIDs[a.keyName]]
		return a.operation == "submit" && a.job == id && opens && p.state == "active" && slices.Contains(p.teams, a.teams[0])
	})
	o := h.sim.Tenants.jobs[id]
	if !fits {
		h.recordViolation("revision %d: %s/%s is accepted of %+v, from nobody who may submit it", rev, o.name, o.ref, current(string(o.name)))
	}
	jobs[id] = string(o.name)
}

// checkResponses holds what was told against what was so at the time.
func (h *requestHistory) checkResponses() {
	for _, a := range h.requests {
		if a.answeredAt < 0 || a.status == 0 {
			continue
		}
		if a.operation == "poll" || a.operation == "submit" {
			some, all := h.keyValid(a.name, h.keyIDs[a.keyName], a.sentAt, a.answeredAt)
			if a.status == 401 && all {
				h.recordViolation("%s by %s at %.2f s: 401, though the key was good all the time", a.operation, a.keyName, a.sentAt.Seconds())
			}
			if (a.status == 200 || a.status == 201 || a.status == 404) && !some {
				h.recordViolation("%s by %s at %.2f s: %d, though the key was good at no time", a.operation, a.keyName, a.sentAt.Seconds(), a.status)
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
			h.recordViolation("%s of %s: 200 with revision %d, which never was", a.operation, a.name, v.Revision)
			continue
		}
		if all[i].changedAt > a.answeredAt || i+1 < len(all) && all[i+1].changedAt < a.sentAt {
			h.recordViolation("%s of %s at %.2f to %.2f s: 200 with revision %d, which was so at another time", a.operation, a.name, a.sentAt.Seconds(), a.answeredAt.Seconds(), v.Revision)
		}
		if v.State != "" && (v.State != all[i].state || !slices.Equal(v.Teams, all[i].teams)) {
			h.recordViolation("%s of %s: told %s %v, is %+v", a.operation, a.name, v.State, v.Teams, all[i])
		}
	}
}

// Whatever operators and users ask of several controllers at once, while those end, stand
// still and are cut off, and writes take effect late or unanswered: each change of the
// record is one that somebody asked for and a plain model allows, in the order of the
// revisions that were named; nothing is accepted or started for whom the record forbids it;
// and every answer was true at some moment between question and answer.
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
		node := func() string { return rapid.SampledFrom(sim.controllerNames).Draw(t, "node") }
		for range rapid.IntRange(0, 5).Draw(t, "faults") {
			n, length := node(), time.Duration(rapid.IntRange(1, 10).Draw(t, "length"))*time.Second
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
				sim.After(at("trouble"), func() { sim.ReplyLossRate, sim.TransactionDelayRate = lose, delay })
			}
		}
		sim.After(faultsEnd, func() { sim.ReplyLossRate, sim.TransactionDelayRate = 0, 0 })
		version := func(key string) api.Revision { return sim.Store.entries[key].version }
		operator := func(n string, a *recordedRequest, body map[string]any) {
			a.revision, _ = body["revision"].(api.Revision)
			data, err := json.Marshal(body)
			sim.must(err)
			sim.Tenants.keyCount++
			random := [tenant.RandomBytes]byte{2, byte(sim.Tenants.keyCount), byte(sim.Tenants.keyCount >> 8)}
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
		// Each begins with a tenant that has a key, or most acts would come to nothing.
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
		for range rapid.IntRange(15, 50).Draw(t, "acts") {
			n, name := node(), rapid.SampledFrom(names).Draw(t, "tenant")
			what := rapid.SampledFrom([]string{"tenant", "tenant-put", "suspend", "resume", "resume", "remove", "key-add", "key-revoke",
				"team-put", "team-remove", "operators-put", "submit", "submit", "submit", "submit", "poll", "poll"}).Draw(t, "what")
			stale := rapid.IntRange(0, 5).Draw(t, "stale") == 0
			pick := rapid.IntRange(0, 5).Draw(t, "pick")
			team := rapid.SampledFrom([]string{"red", "blue", "red", "blue", "green", "dispo"}).Draw(t, "team")
			a := &recordedRequest{operation: what, name: name}
			other := rapid.SampledFrom(sim.controllerNames).Draw(t, "other")
			sim.After(at("act"), func() {
				rev := version("b/tenant/" + name)
				if stale {
					rev--
				}
				body := map[string]any{"revision": rev}
				switch what {
				case "submit", "poll":
					own := slices.Sorted(maps.Keys(h.secrets))
					own = slices.DeleteFunc(own, func(k string) bool { return !strings.HasPrefix(k, name+"/") })
					if len(own) == 0 {
						return
					}
					a.keyName = own[pick%len(own)]
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
				case "suspend", "resume": // and somebody looks at once, elsewhere
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
					if pick%2 == 0 { // and whoever has it tries when it ends
						end := sim.Now + time.Duration(2+pick)*time.Second
						body["expires"] = sim.WallTime() + api.WallTime((end - sim.Now).Milliseconds())
						a.onSuccess = func() {
							for i := range 9 {
								key := name + "/" + a.sub + "/" + a.createdKeyID
								sim.After(max(0, end-sim.Now+time.Duration(i-7)*maxClockError/2), func() { poll(sim.controllerNames[i%3], name, key) })
							}
						}
					}
				case "key-revoke": // and whoever has it tries at once, elsewhere
					a.sub = fmt.Sprintf("k%d", pick%2)
					for _, key := range slices.Sorted(maps.Keys(h.secrets)) {
						if strings.HasPrefix(key, name+"/"+a.sub+"/") {
							a.onSuccess = func() { poll(other, name, key) }
						}
					}
				case "operators-put": // and a team takes of what is set aside at the same time
					body["revision"], body["cpus"] = version("b/operators"), pick
					operator(other, &recordedRequest{operation: "team-put", name: "dispo"}, map[string]any{"revision": version("b/team/dispo"), "cpus": pick + 1})
				case "team-put", "team-remove":
					a.name = []string{"dispo", "green"}[pick%2]
					body["revision"] = version("b/team/" + a.name)
					if what == "team-put" { // and the other team at the same time
						body["cpus"] = pick
						second := []string{"green", "dispo"}[pick%2]
						operator(other, &recordedRequest{operation: "team-put", name: second}, map[string]any{"revision": version("b/team/" + second), "cpus": pick/2 + 1})
						break
					}
					// Somebody gives it to a tenant at the same time.
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
		t.Errorf("%d jobs accepted, %d keys revoked, %d acts refused: too little happened to tell", accepted, revoked, refused)
	}
}
