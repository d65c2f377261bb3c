package emulator

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/internal/exactjson"
	"basaltwall/internal/invariant"
)

// UserBehavior emulates requests of users beyond submissions, periodic polls and single cancellations.
type UserBehavior struct {
	sim *Simulation
	// CancelAtEndShare is the share of jobs that are cancelled at the moment of their completion.
	CancelAtEndShare float64
	// PollOnChange makes users poll all controllers within milliseconds after a job's state changed, and
	// repeat its submission there. CancelNewShare is the share of new jobs that are then cancelled at once.
	PollOnChange   bool
	CancelNewShare float64

	irregularUntil time.Duration // end of the irregular requests
	irregularCount int           // irregular requests sent
	invalidJobs    map[api.JobID]string
}

// irregularInterval is the time between irregular requests.
const irregularInterval = 200 * time.Millisecond

// CancelRunning cancels the given number of running jobs, those with the longest remaining run time, within
// 200 ms. Up to eight of their machines hang for hangTime, unless it is 0.
func (h *UserBehavior) CancelRunning(count int, hangTime time.Duration) {
	sim := h.sim
	var refs []api.JobID
	for _, ref := range sim.Checker.JobIDs() {
		if j := sim.Checker.Job(ref); j.ActiveTasks > 0 && !sim.Checker.CancelWasRequested(ref) {
			refs = append(refs, ref)
		}
	}
	remaining := func(ref api.JobID) time.Duration {
		j := sim.Checker.Job(ref)
		if j.Spec.Kind == api.Service {
			return time.Hour
		}
		return j.StartedAt + j.RunTime - sim.Now
	}
	slices.SortStableFunc(refs, func(a, b api.JobID) int { return int(remaining(b) - remaining(a)) })
	refs = refs[:min(count, len(refs))]
	hung := 0
	for i, ref := range refs {
		sim.After(200*time.Millisecond*time.Duration(i)/time.Duration(len(refs)), func() { sim.Users.Cancel(ref, "") })
		for _, id := range sim.Machines() {
			wk := sim.workers[id]
			if hangTime > 0 && hung < 8 && wk.hungUntil <= sim.Now && slices.ContainsFunc(wk.allTasks(), func(t *workerTask) bool { return t.id.Job == ref && t.active }) {
				sim.Hang(id, hangTime)
				hung++
			}
		}
	}
}

// taskCompleted is called when a task completes. It may cancel a job at its completion.
func (h *UserBehavior) taskCompleted(ref api.JobID) {
	c := h.sim.Checker
	if s := c.Spec(ref); s == nil || c.CompletedTasks(ref) < s.Tasks || c.CancelWasRequested(ref) || h.CancelAtEndShare == 0 || h.sim.rand.Float64() >= h.CancelAtEndShare {
		return
	}
	h.sim.After(time.Duration(h.sim.rand.Int64N(int64(20*time.Millisecond))), func() { h.sim.Users.Cancel(ref, "") })
}

// jobStateChanged is called when a response raises the rank of a job's reported state.
func (h *UserBehavior) jobStateChanged(ref api.JobID) {
	if !h.PollOnChange {
		return
	}
	sim := h.sim
	if h.CancelNewShare > 0 && invariant.StateRank(sim.Checker.ReportedState(ref)) == invariant.RankOpen && sim.rand.Float64() < h.CancelNewShare {
		sim.Users.Cancel(ref, "")
	}
	spec := sim.Users.specs[ref]
	for _, name := range sim.controllerNames {
		for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
			sim.After(delay, func() { sim.Users.pollOnceAt(name, ref) })
		}
		if spec != nil {
			sim.After(2*time.Millisecond, func() { sim.Users.resubmit(name, spec) })
		}
	}
}

// SendIrregularRequests sends irregular requests for the given time: repeated submissions of open jobs,
// cancellations of finished jobs, and invalid jobs.
func (h *UserBehavior) SendIrregularRequests(length time.Duration) {
	h.irregularUntil = h.sim.Now + length
	h.sendIrregularRequest()
}

func (h *UserBehavior) sendIrregularRequest() {
	sim := h.sim
	if sim.Now >= h.irregularUntil {
		return
	}
	sim.After(irregularInterval, h.sendIrregularRequest)
	h.irregularCount++
	refs := func(want invariant.Rank) []api.JobID {
		var out []api.JobID
		for _, ref := range slices.Sorted(maps.Keys(sim.Users.AcceptedAt)) {
			if s := sim.Checker.ReportedState(ref); invariant.StateRank(s) == want && s != api.JobCancelled {
				out = append(out, ref)
			}
		}
		return out
	}
	switch h.irregularCount % 3 {
	case 0:
		if open := refs(invariant.RankOpen); len(open) > 0 {
			sim.Users.resubmit(sim.Users.anyController(), sim.Users.specs[open[sim.rand.IntN(len(open))]])
		}
	case 1:
		if done := refs(invariant.RankFinal); len(done) > 0 {
			sim.Users.cancelOnce(done[sim.rand.IntN(len(done))])
		}
	default:
		h.submitInvalidJob()
	}
}

// invalidJobCases returns changes that make a valid job invalid. field is the field that the refusal must name,
// empty if it may name any.
func invalidJobCases() []struct {
	what, field string
	change      func(map[string]any)
} {
	type invalidJobCase = struct {
		what, field string
		change      func(map[string]any)
	}
	var out []invalidJobCase
	for _, f := range []string{"mestiere", "bottega", "forma", "urgenza", "pezzi", "cores", "gpus", "ram_gb", "together", "scatter", "avanzi",
		"stampo", "image_gb", "stima_s", "tappa_s", "salvo_s"} {
		out = append(out, invalidJobCase{f + " missing", f, func(m map[string]any) { delete(m, f) }},
			invalidJobCase{f + " null", f, func(m map[string]any) { m[f] = nil }},
			invalidJobCase{f + " of a wrong type", f, func(m map[string]any) { m[f] = []any{} }})
	}
	for f, values := range map[string][]any{"forma": {"sweeps", ""}, "urgenza": {"urgent", ""}, "pezzi": {0, -1, 100_001, 1.5}, "cores": {-1.0},
		"gpus": {-1.0}, "ram_gb": {-1.0}, "image_gb": {-0.5}, "stima_s": {-1.0}, "tappa_s": {-1.0}, "salvo_s": {-1.0}, "consegna_s": {-1.0, "soon"},
		"banchi": {"c8", []any{}, []any{"c8", ""}}, "cortile": {"", 7}, "bottega": {"", 7}, "mestiere": {"", 7}, "stampo": {"", 7}} {
		for _, v := range values {
			out = append(out, invalidJobCase{fmt.Sprintf("%s %v", f, v), f, func(m map[string]any) { m[f] = v }})
		}
	}
	for what, change := range map[string]func(map[string]any){
		"unknown team":         func(m map[string]any) { m["bottega"] = "nobody" },
		"fits no type":         func(m map[string]any) { m["cores"] = 1e6 },
		"fits no allowed type": func(m map[string]any) { m["banchi"], m["gpus"] = []any{"c8"}, 1.0 },
		"no such type":         func(m map[string]any) { m["banchi"] = []any{"none"} },
		"no such zone":         func(m map[string]any) { m["cortile"] = "nowhere" },
		"a gang with both together and scatter": func(m map[string]any) {
			m["forma"], m["pezzi"], m["together"], m["scatter"] = "ensemble", 3, true, true
		},
		"a gang spread over a single zone": func(m map[string]any) {
			m["forma"], m["pezzi"], m["cortile"], m["scatter"] = "ensemble", 3, "a", true
		},
	} {
		out = append(out, invalidJobCase{what, "", change})
	}
	slices.SortFunc(out, func(a, b invalidJobCase) int { return slices.Compare([]byte(a.what), []byte(b.what)) })
	return out
}

// submitInvalidJob submits the next invalid job to any controller and retries until the response is final.
func (h *UserBehavior) submitInvalidJob() {
	all := invalidJobCases()
	b := all[len(h.invalidJobs)%len(all)]
	ref := api.JobID(fmt.Sprintf("run-%d", 900_000+len(h.invalidJobs)))
	h.invalidJobs[ref] = b.what
	m := submissionFields(&api.JobSpec{Ref: ref, Class: "batch", Team: h.sim.configs[h.sim.controllerNames[0]].Deployment.Teams[0].Name, Kind: api.Array, Priority: api.Normal,
		Tasks: 1, CPUs: 1, MemGB: 1, Image: "img", ImageGB: 1, Estimate: 5})
	delete(m, "gettoni")
	b.change(m)
	body, err := json.Marshal(m)
	h.sim.must(err)
	h.retryInvalidJob(ref, b.field, body)
}

func (h *UserBehavior) retryInvalidJob(ref api.JobID, field string, body []byte) {
	sim := h.sim
	sim.Users.Request(sim.Users.anyController(), "POST", api.PathJobs, message.Caller{}, body, 5*time.Second, func(status int, answer []byte) {
		var e api.ErrorBody
		if status == 400 || status == 422 {
			sim.must(exactjson.Decode(answer, &e))
		}
		if !sim.Checker.InvalidJobResponse(sim.Now, ref, h.invalidJobs[ref], status, field, e.Error) {
			sim.After(time.Second, func() { h.retryInvalidJob(ref, field, body) })
			return
		}
		sim.Users.PollOnce(ref) // checks that no controller knows the job
	})
}

// resubmit repeats the submission of an accepted job once, at the given controller.
func (u *Users) resubmit(name string, spec *api.JobSpec) {
	u.sendRequest(name, "POST", "", spec.Ref, u.submissionBody(spec), 5*time.Second, func(int, api.JobState) {})
}

// cancelOnce requests the cancellation of a finished job once.
func (u *Users) cancelOnce(ref api.JobID) {
	u.sendRequest(u.anyController(), "POST", "/"+api.PathSuffixCancel, ref, nil, 5*time.Second, func(int, api.JobState) {})
}
