package standin

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/control"
)

// Habits are what users do beyond submitting, polling now and then and cancelling. Each holds
// until the time that is given.
type Habits struct {
	w *World
	// CancelEnds is the share of the jobs that are called off at the moment of their end.
	CancelEnds float64
	// Looks makes users ask at all nodes within milliseconds after news of a job, and repeat its
	// submission there; CancelNew is the share of new jobs that they also call off at once.
	Looks     bool
	CancelNew float64

	odd   time.Duration // users send odd requests until then
	count int           // of odd requests so far
	bad   map[api.JobRef]string
}

// oddEvery is between the requests of users with odd habits.
const oddEvery = 200 * time.Millisecond

// CancelNow has users call off so many running jobs that have long to go, within a fifth of a
// second; up to eight of their machines hang for a while.
func (h *Habits) CancelNow(count int, hang time.Duration) {
	w := h.w
	var refs []api.JobRef
	for _, ref := range slices.Sorted(maps.Keys(w.Check.served.jobs)) {
		if j := w.Check.served.jobs[ref]; j.onNow > 0 && !w.Check.asked[ref] {
			refs = append(refs, ref)
		}
	}
	left := func(ref api.JobRef) time.Duration {
		j := w.Check.served.jobs[ref]
		if j.spec.Kind == api.Service {
			return time.Hour
		}
		return j.first + j.run - w.Now
	}
	slices.SortStableFunc(refs, func(a, b api.JobRef) int { return int(left(b) - left(a)) })
	refs = refs[:min(count, len(refs))]
	hung := 0
	for i, ref := range refs {
		w.After(200*time.Millisecond*time.Duration(i)/time.Duration(len(refs)), func() { w.Users.Cancel(ref, "") })
		for _, id := range w.Machines() {
			wk := w.workers[id]
			if hang > 0 && hung < 8 && wk.hung <= w.Now && slices.ContainsFunc(wk.all(), func(t *workerTask) bool { return t.id.Job == ref && t.onHost }) {
				w.Hang(id, hang)
				hung++
			}
		}
	}
}

// ended is told of each task that completed.
func (h *Habits) ended(ref api.JobRef) {
	c := h.w.Check
	if s := c.known[ref]; s == nil || c.served.done[ref] < s.Tasks || c.asked[ref] || h.CancelEnds == 0 || h.w.rand.Float64() >= h.CancelEnds {
		return
	}
	h.w.After(time.Duration(h.w.rand.Int64N(int64(20*time.Millisecond))), func() { h.w.Users.Cancel(ref, "") })
}

// news is told of each answer that is stronger than the ones before.
func (h *Habits) news(ref api.JobRef) {
	if !h.Looks {
		return
	}
	w := h.w
	if h.CancelNew > 0 && strength(w.Check.Known(ref)) == 1 && w.rand.Float64() < h.CancelNew {
		w.Users.Cancel(ref, "")
	}
	spec := w.Users.specs[ref]
	for _, name := range w.names {
		for _, late := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
			w.After(late, func() { w.Users.askAt(name, ref) })
		}
		if spec != nil {
			w.After(2*time.Millisecond, func() { w.Users.repeat(name, spec) })
		}
	}
}

// Odd has users send odd requests for a while: submissions again of jobs that are not over,
// cancellations of jobs that are done, jobs that can't run or lack a field.
func (h *Habits) Odd(length time.Duration) {
	h.odd = h.w.Now + length
	h.oddOne()
}

func (h *Habits) oddOne() {
	w := h.w
	if w.Now >= h.odd {
		return
	}
	w.After(oddEvery, h.oddOne)
	h.count++
	refs := func(want int) []api.JobRef {
		var out []api.JobRef
		for _, ref := range slices.Sorted(maps.Keys(w.Users.Accepted)) {
			if s := w.Check.Known(ref); strength(s) == want && s != api.JobCancelled {
				out = append(out, ref)
			}
		}
		return out
	}
	switch h.count % 3 {
	case 0:
		if open := refs(1); len(open) > 0 {
			w.Users.repeat(w.Users.anyNode(), w.Users.specs[open[w.rand.IntN(len(open))]])
		}
	case 1:
		if done := refs(2); len(done) > 0 {
			w.Users.callOff(done[w.rand.IntN(len(done))])
		}
	default:
		h.sendBad()
	}
}

// badJobs are ways in which a job can't be run or lacks something, by what is changed of one that
// can, and the field that a refusal has to name, empty where it may name any.
func badJobs() []struct {
	what, field string
	change      func(map[string]any)
} {
	type bad = struct {
		what, field string
		change      func(map[string]any)
	}
	var out []bad
	for _, f := range []string{"mestiere", "bottega", "forma", "urgenza", "pezzi", "cores", "gpus", "ram_gb", "together", "scatter", "avanzi",
		"stampo", "image_gb", "stima_s", "tappa_s", "salvo_s"} {
		out = append(out, bad{f + " missing", f, func(m map[string]any) { delete(m, f) }},
			bad{f + " null", f, func(m map[string]any) { m[f] = nil }},
			bad{f + " of a wrong type", f, func(m map[string]any) { m[f] = []any{} }})
	}
	for f, values := range map[string][]any{"forma": {"sweeps", ""}, "urgenza": {"urgent", ""}, "pezzi": {0, -1, 100_001, 1.5}, "cores": {-1.0},
		"gpus": {-1.0}, "ram_gb": {-1.0}, "image_gb": {-0.5}, "stima_s": {-1.0}, "tappa_s": {-1.0}, "salvo_s": {-1.0}, "consegna_s": {-1.0, "soon"},
		"banchi": {"c8", []any{}, []any{"c8", ""}}, "cortile": {"", 7}, "bottega": {"", 7}, "mestiere": {"", 7}, "stampo": {"", 7}} {
		for _, v := range values {
			out = append(out, bad{fmt.Sprintf("%s %v", f, v), f, func(m map[string]any) { m[f] = v }})
		}
	}
	for what, change := range map[string]func(map[string]any){
		"unknown team":         func(m map[string]any) { m["bottega"] = "nobody" },
		"fits no type":         func(m map[string]any) { m["cores"] = 1e6 },
		"fits no allowed type": func(m map[string]any) { m["banchi"], m["gpus"] = []any{"c8"}, 1.0 },
		"no such type":         func(m map[string]any) { m["banchi"] = []any{"none"} },
		"no such zone":         func(m map[string]any) { m["cortile"] = "nowhere" },
		"a gang that must be in one zone and may not": func(m map[string]any) {
			m["forma"], m["pezzi"], m["together"], m["scatter"] = "ensemble", 3, true, true
		},
		"a gang that may not be in its only zone": func(m map[string]any) {
			m["forma"], m["pezzi"], m["cortile"], m["scatter"] = "ensemble", 3, "a", true
		},
	} {
		out = append(out, bad{what, "", change})
	}
	slices.SortFunc(out, func(a, b bad) int { return slices.Compare([]byte(a.what), []byte(b.what)) })
	return out
}

// sendBad submits a job that must be refused, each kind in turn, to any node, until it is answered.
func (h *Habits) sendBad() {
	all := badJobs()
	b := all[len(h.bad)%len(all)]
	ref := api.JobRef(fmt.Sprintf("run-%d", 900_000+len(h.bad)))
	h.bad[ref] = b.what
	m := submission(&api.JobSpec{Ref: ref, Class: "batch", Team: h.w.cfgs[h.w.names[0]].Deployment.Teams[0].Name, Kind: api.Array, Priority: api.Normal,
		Tasks: 1, CPUs: 1, MemGB: 1, Image: "img", ImageGB: 1, Estimate: 5})
	delete(m, "gettoni")
	b.change(m)
	body, err := json.Marshal(m)
	h.w.must(err)
	h.tryBad(ref, b.field, body)
}

func (h *Habits) tryBad(ref api.JobRef, field string, body []byte) {
	w := h.w
	w.Users.Request(w.Users.anyNode(), "POST", api.PathJobs, control.Caller{}, body, 5*time.Second, func(status int, answer []byte) {
		var e api.ErrorBody
		if status == 400 || status == 422 {
			w.must(json.Unmarshal(answer, &e))
		}
		if !w.Check.ToldBad(w.Now, ref, h.bad[ref], status, field, e.Error) {
			w.After(time.Second, func() { h.tryBad(ref, field, body) })
			return
		}
		w.Users.Ask(ref) // it is known to nobody
	})
}

// repeat submits a job again that was accepted, once, at one node.
func (u *Users) repeat(name string, spec *api.JobSpec) {
	u.ask(name, "POST", "", spec.Ref, u.body(spec), 5*time.Second, func(int, api.JobState) {})
}

// callOff asks once for the cancellation of a job that its users were told is done.
func (u *Users) callOff(ref api.JobRef) {
	u.ask(u.anyNode(), "POST", "/"+api.EndCancel, ref, nil, 5*time.Second, func(int, api.JobState) {})
}
