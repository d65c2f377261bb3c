package standin

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
	"basaltwall/control"
	_ "basaltwall/internal/seeded"
	"basaltwall/tenant"
)

// asked is what an operator or a user has asked of some controller, and what came of it.
type asked struct {
	what, name, sub string // name: of the tenant or team that it is about
	revision        api.Revision
	key             string // that came with it: a name in plain.secrets
	adds            string // the id of the key that it would make
	teams           []string
	cancel          bool
	job             api.JobRef
	from, to        time.Duration
	status          int
	body            []byte
	then            func() // once it is answered with 200
}

// plain is what the service should hold, kept apart from its own code: what each revision
// made of a tenant.
type plain struct {
	state  string
	teams  []string
	keys   map[string]string // names by id
	cancel bool
	rev    api.Revision
	at     time.Duration
}

// after is what an act makes of a tenant of whom so many jobs are there, and whether it may.
func (p plain) after(a *asked, jobs int) (plain, bool) {
	p.keys = maps.Clone(p.keys)
	switch {
	case a.revision != p.rev:
		return p, false
	case a.what == "tenant-put" && (p.rev == 0 || p.state == "active" || p.state == "suspended"):
		if p.rev == 0 {
			p.state, p.keys = "active", map[string]string{}
		}
		p.teams = a.teams
	case p.rev == 0:
		return p, false
	case a.what == "suspend" && p.state == "active":
		p.state = "suspended"
	case a.what == "resume" && p.state == "suspended":
		p.state = "active"
	case a.what == "remove" && p.state == "suspended" && (a.cancel || jobs == 0):
		p.state, p.cancel = "removing", a.cancel
	case a.what == "key-add":
		p.keys[a.adds] = a.sub
	case a.what == "key-revoke":
		maps.DeleteFunc(p.keys, func(_, name string) bool { return name == a.sub })
	default:
		return p, false
	}
	return p, true
}

func (p plain) same(o plain) bool {
	return p.state == o.state && p.cancel == o.cancel && slices.Equal(p.teams, o.teams) && maps.Equal(p.keys, o.keys)
}

// readPlain reads a tenant's record.
func readPlain(value json.RawMessage) (plain, error) {
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
	p := plain{state: v.State, teams: v.Teams, cancel: v.Cancel, keys: map[string]string{}}
	for _, k := range v.Keys {
		p.keys[k.ID] = k.Name
	}
	return p, err
}

// history is what was asked, and what the state service's log made of it.
type history struct {
	w       *World
	asked   []*asked
	secrets map[string]string        // by name
	ids     map[string]string        // the public parts of the same
	ends    map[string]time.Duration // when one expires, by its public part
	was     map[string][]plain
	wrong   []string
}

func (h *history) broke(format string, args ...any) {
	h.wrong = append(h.wrong, fmt.Sprintf(format, args...))
}

// ask sends something to one controller; its answer is noted.
func (h *history) ask(node string, a *asked, command func(control.ReqID, control.Caller) control.Command) {
	a.from, a.to = h.w.Now, -1
	h.asked = append(h.asked, a)
	caller := control.Caller{Auth: "Bearer " + h.secrets[a.key]}
	h.w.request(node, 6*time.Second, func(answer func(int, []byte)) {
		if n := h.w.nodes[node]; n != nil {
			h.w.ask(n, func(req control.ReqID) control.Command { return command(req, caller) }, answer)
		}
	}, func(status int, body []byte) {
		a.status, a.body, a.to = status, body, h.w.Now
		var k control.NewKeyView
		if a.adds != "" && status == 200 && json.Unmarshal(body, &k) == nil {
			name := a.name + "/" + a.sub + "/" + a.adds
			h.secrets[name], h.ids[name] = k.Secret, string(k.ID)
			if k.Expires != 0 {
				h.ends[string(k.ID)] = time.Duration(k.Expires-1_000_000) * time.Millisecond
			}
		}
		if a.then != nil && status == 200 {
			a.then()
		}
	})
}

// valid tells whether a key opened something of a tenant at some moment between two, and
// whether it did at every one.
func (h *history) valid(name, id string, from, to time.Duration) (some, all bool) {
	all = true
	before := plain{}
	for _, p := range append(slices.Clone(h.was[name]), plain{at: to + 1}) {
		if before.at <= to && p.at >= from { // before held at some moment of it
			_, there := before.keys[id]
			some, all = some || there, all && there
		}
		before = p
	}
	if end, ends := h.ends[id]; ends {
		// Controllers refuse it by twice their clocks' error too soon at most, and none
		// takes it too late.
		some, all = some && from < end, all && to < end-2*clockError
	}
	return some, all
}

// clockError is by how much controllers' clocks are off at most.
const clockError = 500 * time.Millisecond

// follow reads the log as it was written and holds each change against what was asked.
func (h *history) follow() {
	claims := map[string]string{}
	jobs := map[api.JobRef]string{}
	teams, gone := map[string]float64{}, map[string]bool{}
	var given, aside float64
	held := func(name string) plain {
		if all := h.was[name]; len(all) > 0 {
			return all[len(all)-1]
		}
		return plain{}
	}
	s := h.w.State
	for i := 0; i < len(s.log); {
		rev, at := s.log[i].Version, s.logAt[i]
		var names []string // tenants changed by this revision
		gate, suspends, audits, acts, cpus := false, false, 0, 0, false
		for ; i < len(s.log) && s.log[i].Version == rev; i++ {
			c := s.log[i]
			key := c.Put + c.Drop
			switch {
			case strings.HasPrefix(key, "b/tenant/"):
				name := key[len("b/tenant/"):]
				is, err := readPlain(c.Value)
				h.w.must(err)
				was, of := held(name), 0
				for _, n := range jobs {
					if n == name {
						of++
					}
				}
				is.rev, is.at = rev, at
				fits := was.state == "removing" && is.state == "removed" && of == 0 && len(is.teams)+len(is.keys) == 0
				if !fits {
					acts++
					fits = slices.ContainsFunc(h.asked, func(a *asked) bool {
						next, may := was.after(a, of)
						return a.name == name && a.from <= at && may && next.same(is)
					})
				}
				if !fits {
					h.broke("revision %d: %s becomes %+v from %+v with %d jobs, which nobody asked for or nobody may", rev, name, is, was, of)
				}
				h.was[name] = append(h.was[name], is)
				names = append(names, name)
				suspends = suspends || is.state == "suspended" && was.state == "active"
			case key == "b/gate":
				gate = true
			case strings.HasPrefix(key, "audit/"):
				audits++
			case strings.HasPrefix(key, "b/teamof/"):
				team := key[len("b/teamof/"):]
				if c.Drop != "" {
					delete(claims, team)
					continue
				}
				var name string
				h.w.must(json.Unmarshal(c.Value, &name))
				if gone[team] {
					h.broke("revision %d: team %s, which was removed, is claimed by %s", rev, team, name)
				}
				if other := claims[team]; other != "" {
					h.broke("revision %d: team %s of %s is claimed by %s", rev, team, other, name)
				}
				claims[team] = name
			case strings.HasPrefix(key, "b/team/"):
				var t tenant.Team
				h.w.must(json.Unmarshal(c.Value, &t))
				teams[key[len("b/team/"):]], cpus = t.CPUs, true
				acts++
				gone[string(t.Name)] = t.Removed
				if t.Removed && claims[string(t.Name)] != "" {
					h.broke("revision %d: team %s of %s is removed", rev, t.Name, claims[string(t.Name)])
				}
			case key == "b/given":
				var g tenant.Given
				h.w.must(json.Unmarshal(c.Value, &g))
				given, cpus = g.CPUs, true
			case key == "b/operators":
				var o tenant.Operators
				h.w.must(json.Unmarshal(c.Value, &o))
				aside, cpus = o.CPUs, true
				acts++
			case strings.HasPrefix(key, "b/job/"):
				h.job(c, rev, jobs, held)
			case strings.HasPrefix(key, "b/round/") && c.Put != "":
				var r struct {
					Jobs []struct {
						Job    api.JobRef        `json:"j"`
						Starts []json.RawMessage `json:"+"`
					} `json:"j"`
				}
				h.w.must(json.Unmarshal(c.Value, &r))
				for _, j := range r.Jobs {
					if name := jobs[j.Job]; len(j.Starts) > 0 && held(name).state != "active" {
						h.broke("revision %d: tasks of %s start, who is %s", rev, name, held(name).state)
					}
				}
			}
		}
		if suspends && !gate {
			h.broke("revision %d: a tenant is suspended without the gate", rev)
		}
		if audits != acts {
			h.broke("revision %d: %d changes by operators, %d in the audit", rev, acts, audits)
		}
		for _, name := range names {
			for _, team := range held(name).teams {
				if claims[team] != name {
					h.broke("revision %d: %s has team %s, which %q has claimed", rev, name, team, claims[team])
				}
			}
		}
		if cpus {
			sum := 0.0
			for _, c := range teams {
				sum += c
			}
			if sum != given || given > aside {
				h.broke("revision %d: teams are guaranteed %v, kept is %v, set aside %v", rev, sum, given, aside)
			}
		}
	}
}

// job holds a change of a job's key against who may submit.
func (h *history) job(c api.Change, rev api.Revision, jobs map[api.JobRef]string, held func(string) plain) {
	if c.Drop != "" {
		delete(jobs, api.JobRef(c.Drop[len("b/job/"):]))
		return
	}
	id := api.JobRef(c.Put[len("b/job/"):])
	if jobs[id] != "" {
		return
	}
	fits := slices.ContainsFunc(h.asked, func(a *asked) bool {
		p := held(a.name)
		_, opens := p.keys[h.ids[a.key]]
		return a.what == "submit" && a.job == id && opens && p.state == "active" && slices.Contains(p.teams, a.teams[0])
	})
	o := h.w.Tenants.own[id]
	if !fits {
		h.broke("revision %d: %s/%s is accepted of %+v, from nobody who may submit it", rev, o.name, o.ref, held(string(o.name)))
	}
	jobs[id] = string(o.name)
}

// answers holds what was told against what was so at the time.
func (h *history) answers() {
	for _, a := range h.asked {
		if a.to < 0 || a.status == 0 {
			continue
		}
		if a.what == "poll" || a.what == "submit" {
			some, all := h.valid(a.name, h.ids[a.key], a.from, a.to)
			if a.status == 401 && all {
				h.broke("%s by %s at %.2f s: 401, though the key was good all the time", a.what, a.key, a.from.Seconds())
			}
			if (a.status == 200 || a.status == 201 || a.status == 404) && !some {
				h.broke("%s by %s at %.2f s: %d, though the key was good at no time", a.what, a.key, a.from.Seconds(), a.status)
			}
			continue
		}
		var v struct {
			State    string       `json:"state"`
			Teams    []string     `json:"teams"`
			Revision api.Revision `json:"revision"`
		}
		if a.status != 200 || a.what == "operators-put" || strings.HasPrefix(a.what, "team-") {
			continue
		}
		h.w.must(json.Unmarshal(a.body, &v))
		all := h.was[a.name]
		i := slices.IndexFunc(all, func(p plain) bool { return p.rev == v.Revision })
		if i < 0 {
			h.broke("%s of %s: 200 with revision %d, which never was", a.what, a.name, v.Revision)
			continue
		}
		if all[i].at > a.to || i+1 < len(all) && all[i+1].at < a.from {
			h.broke("%s of %s at %.2f to %.2f s: 200 with revision %d, which was so at another time", a.what, a.name, a.from.Seconds(), a.to.Seconds(), v.Revision)
		}
		if v.State != "" && (v.State != all[i].state || !slices.Equal(v.Teams, all[i].teams)) {
			h.broke("%s of %s: told %s %v, is %+v", a.what, a.name, v.State, v.Teams, all[i])
		}
	}
}

// Whatever operators and users ask of several controllers at once, while those end, stand
// still and are cut off, and writes take effect late or unanswered: each change of the
// record is one that somebody asked for and a plain model allows, in the order of the
// revisions that were named; nothing is accepted or started for whom the record forbids it;
// and every answer was true at some moment between question and answer.
func TestActsAgainstAPlainModel(t *testing.T) {
	if err := flag.Set("rapid.checks", "40"); err != nil {
		t.Fatal(err)
	}
	const calm = 40 * time.Second
	l := &Live{ctx: t.Context()}
	if err := l.settings(3, "10.0.0.1:1", "10.0.0.2:1"); err != nil {
		t.Fatal(err)
	}
	for _, c := range l.Configs {
		c.Deployment.ClockErrorMS = float64(clockError.Milliseconds())
	}
	accepted, revoked, refused := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := NewWorld(rapid.Uint64().Draw(t, "seed"), l.Configs)
		w.Skew = map[string]time.Duration{}
		for _, name := range w.names {
			w.Skew[name] = time.Duration(rapid.IntRange(-1, 1).Draw(t, "skew")) * clockError
		}
		w.Host()
		w.Cloud.Types = smallOnly()
		w.Cloud.Capacity = 3
		for range 3 {
			w.Cloud.Rent("small", "a", false, time.Second)
		}
		h := &history{w: w, secrets: map[string]string{"": w.Tenants.admin}, ids: map[string]string{}, ends: map[string]time.Duration{}, was: map[string][]plain{}}
		w.StartAll()
		at := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(4000, int(calm/time.Millisecond)).Draw(t, name)) * time.Millisecond
		}
		node := func() string { return rapid.SampledFrom(w.names).Draw(t, "node") }
		for range rapid.IntRange(0, 5).Draw(t, "faults") {
			n, length := node(), time.Duration(rapid.IntRange(1, 10).Draw(t, "length"))*time.Second
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				w.After(at("crash"), func() { w.Crash(n, length/2) })
			case 1:
				hold := rapid.Bool().Draw(t, "hold")
				w.After(at("cut"), func() { w.Cut(n, SideState, length, hold) })
			case 2:
				w.After(at("freeze"), func() { w.Freeze(n, length) })
			case 3:
				w.After(at("outage"), func() { w.State.Outage(length) })
			case 4:
				lose, delay := rapid.Float64Range(0, 0.3).Draw(t, "lose"), rapid.Float64Range(0, 0.3).Draw(t, "delay")
				w.After(at("trouble"), func() { w.LoseAnswers, w.DelayState = lose, delay })
			}
		}
		w.After(calm, func() { w.LoseAnswers, w.DelayState = 0, 0 })
		version := func(key string) api.Revision { return w.State.keys[key].ver }
		operator := func(n string, a *asked, body map[string]any) {
			a.revision, _ = body["revision"].(api.Revision)
			data, err := json.Marshal(body)
			w.must(err)
			w.Tenants.keys++
			random := [tenant.RandomBytes]byte{2, byte(w.Tenants.keys), byte(w.Tenants.keys >> 8)}
			if a.what == "key-add" {
				a.adds = fmt.Sprintf("02%02x%02x0000000000", byte(w.Tenants.keys), byte(w.Tenants.keys>>8))
			}
			h.ask(n, a, func(req control.ReqID, c control.Caller) control.Command {
				return control.Ask{Req: req, What: a.what, ID: a.name, Sub: a.sub, Body: data, Random: &random, Caller: c}
			})
		}
		poll := func(node, name, key string) {
			h.ask(node, &asked{what: "poll", name: name, key: key}, func(req control.ReqID, c control.Caller) control.Command {
				return control.Poll{Req: req, Ref: "run-0", Caller: c}
			})
		}
		names := []string{"kipper", "lopresti"}
		// Each begins with a tenant that has a key, or most acts would come to nothing.
		for i, name := range names {
			team := []string{"red", "blue"}[i]
			w.After(time.Duration(1500+500*i)*time.Millisecond, func() {
				operator("stone-0", &asked{what: "tenant-put", name: name, teams: []string{team}}, map[string]any{"revision": api.Revision(0), "teams": []string{team}, "retention_s": 60})
			})
			w.After(2700*time.Millisecond, func() {
				operator("stone-1", &asked{what: "key-add", name: name, sub: "k0"}, map[string]any{"revision": version("b/tenant/" + name), "name": "k0"})
			})
		}
		w.After(2900*time.Millisecond, func() {
			operator("stone-0", &asked{what: "operators-put"}, map[string]any{"revision": api.Revision(0), "cpus": 4})
		})
		w.After(3500*time.Millisecond, func() {
			operator("stone-2", &asked{what: "team-put", name: "dispo"}, map[string]any{"revision": api.Revision(0), "cpus": 1})
		})
		for range rapid.IntRange(15, 50).Draw(t, "acts") {
			n, name := node(), rapid.SampledFrom(names).Draw(t, "tenant")
			what := rapid.SampledFrom([]string{"tenant", "tenant-put", "suspend", "resume", "resume", "remove", "key-add", "key-revoke",
				"team-put", "team-remove", "operators-put", "submit", "submit", "submit", "submit", "poll", "poll"}).Draw(t, "what")
			stale := rapid.IntRange(0, 5).Draw(t, "stale") == 0
			pick := rapid.IntRange(0, 5).Draw(t, "pick")
			team := rapid.SampledFrom([]string{"red", "blue", "red", "blue", "green", "dispo"}).Draw(t, "team")
			a := &asked{what: what, name: name}
			other := rapid.SampledFrom(w.names).Draw(t, "other")
			w.After(at("act"), func() {
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
					a.key = own[pick%len(own)]
					ref := api.JobRef(fmt.Sprintf("run-%d", pick))
					a.job, a.teams = w.Tenants.Own(tenant.Name(name), ref), []string{team}
					if what == "poll" {
						h.ask(n, a, func(req control.ReqID, c control.Caller) control.Command {
							return control.Poll{Req: req, Ref: string(ref), Caller: c}
						})
						return
					}
					spec := &api.JobSpec{Ref: ref, Class: "try", Team: api.Team(team), Kind: api.Array, Priority: api.Normal, Tasks: 3, CPUs: 1, MemGB: 1, Image: "img", ImageGB: 1, Estimate: 3}
					data, err := json.Marshal(submission(spec))
					w.must(err)
					h.ask(n, a, func(req control.ReqID, c control.Caller) control.Command {
						return control.Submit{Req: req, Body: data, Caller: c}
					})
					return
				case "tenant-put":
					a.teams = []string{team}
					body["teams"], body["retention_s"] = a.teams, 60
				case "suspend", "resume": // and somebody looks at once, elsewhere
					if what == "suspend" {
						body["why"] = "unpaid"
					}
					a.then = func() { operator(other, &asked{what: "tenant", name: name}, nil) }
				case "remove":
					a.cancel = pick%2 == 0
					body["cancel"] = a.cancel
				case "key-add":
					a.sub = fmt.Sprintf("k%d", pick)
					body["name"] = a.sub
					if pick%2 == 0 { // and whoever has it tries when it ends
						end := w.Now + time.Duration(2+pick)*time.Second
						body["expires"] = w.Wall() + api.Wall((end - w.Now).Milliseconds())
						a.then = func() {
							for i := range 9 {
								key := name + "/" + a.sub + "/" + a.adds
								w.After(max(0, end-w.Now+time.Duration(i-7)*clockError/2), func() { poll(w.names[i%3], name, key) })
							}
						}
					}
				case "key-revoke": // and whoever has it tries at once, elsewhere
					a.sub = fmt.Sprintf("k%d", pick%2)
					for _, key := range slices.Sorted(maps.Keys(h.secrets)) {
						if strings.HasPrefix(key, name+"/"+a.sub+"/") {
							a.then = func() { poll(other, name, key) }
						}
					}
				case "operators-put": // and a team takes of what is set aside at the same time
					body["revision"], body["cpus"] = version("b/operators"), pick
					operator(other, &asked{what: "team-put", name: "dispo"}, map[string]any{"revision": version("b/team/dispo"), "cpus": pick + 1})
				case "team-put", "team-remove":
					a.name = []string{"dispo", "green"}[pick%2]
					body["revision"] = version("b/team/" + a.name)
					if what == "team-put" { // and the other team at the same time
						body["cpus"] = pick
						second := []string{"green", "dispo"}[pick%2]
						operator(other, &asked{what: "team-put", name: second}, map[string]any{"revision": version("b/team/" + second), "cpus": pick/2 + 1})
						break
					}
					// Somebody gives it to a tenant at the same time.
					teams := []string{a.name}
					operator(other, &asked{what: "tenant-put", name: name, teams: teams},
						map[string]any{"revision": version("b/tenant/" + name), "teams": teams, "retention_s": 60})
				}
				operator(n, a, body)
			})
		}
		w.Run(calm + 25*time.Second)
		h.follow()
		h.answers()
		for _, a := range h.asked {
			switch {
			case a.what == "submit" && a.status == 201:
				accepted++
			case a.what == "key-revoke" && a.status == 200:
				revoked++
			case a.status == 409:
				refused++
			}
		}
		for _, x := range append(h.wrong, w.Check.Broken...) {
			t.Error(x)
		}
	})
	if accepted < 20 || revoked < 5 || refused < 20 {
		t.Errorf("%d jobs accepted, %d keys revoked, %d acts refused: too little happened to tell", accepted, revoked, refused)
	}
}
