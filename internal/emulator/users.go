package emulator

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/internal/invariant"
	"basaltwall/worker"
)

// Users emulate all users: they submit, poll and cancel through a controller drawn
// at random, and retry after a failure.
type Users struct {
	sim        *Simulation
	specs      map[api.JobID]*api.JobSpec
	runTimes   map[api.JobID]time.Duration
	AcceptedAt map[api.JobID]time.Duration
	DoneAt     map[api.JobID]time.Duration
	polling    map[api.JobID]bool
	// PollsPerInterval is how many additional polls there are of each open job at each interval, beside the
	// one whose answer counts.
	PollsPerInterval int
	// OnResponse, if set, is called with each request's latency and the status of its answer, 0: none.
	OnResponse func(what RequestKind, took time.Duration, status int)
	UserBehavior
}

// RequestKind is a kind of request that users send.
type RequestKind string

// The kinds of requests that users send.
const (
	RequestSubmit RequestKind = "submit"
	RequestPoll   RequestKind = "poll"
	RequestCancel RequestKind = "cancel"
)

// requestKindOf is the kind of a request by what follows the job's id, see sendRequest.
func requestKindOf(suffix string) RequestKind {
	switch suffix {
	case "":
		return RequestSubmit
	case "/":
		return RequestPoll
	}
	return RequestCancel
}

func newUsers(sim *Simulation) *Users {
	u := &Users{sim: sim, specs: map[api.JobID]*api.JobSpec{}, runTimes: map[api.JobID]time.Duration{},
		AcceptedAt: map[api.JobID]time.Duration{}, DoneAt: map[api.JobID]time.Duration{}, polling: map[api.JobID]bool{}}
	u.UserBehavior = UserBehavior{sim: sim, invalidJobs: map[api.JobID]string{}}
	sim.After(time.Second, u.checkPeriodically)
	sim.After(time.Second, sim.checkStarvation)
	return u
}

func (u *Users) checkPeriodically() {
	u.sim.Checker.CheckTimeouts(u.sim.Now)
	u.sim.After(time.Second, u.checkPeriodically)
}

// deliverRequest hands a request to a controller as its server would.
func (sim *Simulation) deliverRequest(name, method, path string, caller message.Caller, body []byte, answer func(int, []byte)) {
	h := sim.controllers[name]
	if h == nil || h.controller == nil {
		return
	}
	sim.callController(h, func(req message.ReqID) message.Command {
		switch {
		case path == api.PathHeartbeat:
			r, err := worker.ParseHeartbeat(body)
			sim.must(err)
			return message.WorkerHeartbeat{Req: req, Heartbeat: r, Body: body}
		case method == "POST" && path == api.PathJobs:
			return message.Submit{Req: req, Body: body, Caller: caller}
		case method == "POST":
			return message.Cancel{Req: req, Ref: path[len(api.PathJobs)+1 : len(path)-len(api.PathSuffixCancel)-1], Caller: caller}
		}
		return message.Poll{Req: req, Ref: path[len(api.PathJobs)+1:], Caller: caller}
	}, answer)
}

// Request sends one request to a controller and passes on its answer, status 0 when
// none comes.
func (u *Users) Request(name, method, path string, caller message.Caller, body []byte, timeout time.Duration, answer func(int, []byte)) {
	u.sim.externalRequest(name, timeout, func(answer func(int, []byte)) { u.sim.Deliver(name, method, path, caller, body, answer) }, answer)
}

// externalRequest sends a request to a controller from outside and passes its answer on, status 0
// when none comes in time.
func (sim *Simulation) externalRequest(name string, timeout time.Duration, send func(answer func(int, []byte)), answer func(int, []byte)) {
	settled := false
	settle := func(status int, b []byte) {
		if !settled {
			settled = true
			answer(status, b)
		}
	}
	sim.After(timeout, func() { settle(0, nil) })
	sim.transmit(name, EndpointUsers, func() {
		send(func(status int, b []byte) {
			sim.transmit(name, EndpointUsers, func() { settle(status, b) })
		})
	})
}

func (u *Users) anyController() string {
	return u.sim.controllerNames[u.sim.rand.IntN(len(u.sim.controllerNames))]
}

// recordResponse passes an answer to the checker.
func (u *Users) recordResponse(ref api.JobID, status int, body []byte, previous api.JobState) api.JobState {
	var s api.JobStatus
	if status == 200 || status == 201 {
		u.sim.must(json.Unmarshal(body, &s))
	}
	known := u.sim.Checker.ReportedState(ref)
	u.sim.Checker.ResponseReceived(u.sim.Now, ref, status, s.State, previous)
	if invariant.StateRank(u.sim.Checker.ReportedState(ref)) > invariant.StateRank(known) {
		u.jobStateChanged(ref)
	}
	return s.State
}

// AddSpec uploads a job's description, which workers fetch, without submitting it.
func (u *Users) AddSpec(spec *api.JobSpec, run time.Duration) {
	u.specs[spec.Ref], u.runTimes[spec.Ref] = spec, run
}

// Submit submits a job and retries until it is answered, at the given
// controller or at any.
func (u *Users) Submit(spec *api.JobSpec, run time.Duration, controllerName string) {
	u.specs[spec.Ref], u.runTimes[spec.Ref] = spec, run
	u.sim.Checker.JobSubmitted(u.sim.Now, spec, run)
	body := u.submissionBody(spec)
	name := controllerName
	if name == "" {
		name = u.anyController()
	}
	u.sendRequest(name, "POST", "", spec.Ref, body, 5*time.Second, func(status int, _ api.JobState) {
		if status == 200 || status == 201 {
			if _, ok := u.AcceptedAt[spec.Ref]; !ok {
				u.AcceptedAt[spec.Ref] = u.sim.Now
			}
			if !u.polling[spec.Ref] {
				u.polling[spec.Ref] = true
				u.poll(spec.Ref)
			}
			return
		}
		u.sim.After(time.Second, func() { u.Submit(spec, run, "") })
	})
}

// pollInterval and pollTimeout are how often users poll for a job, and how long they wait for an answer.
const (
	pollInterval = 5 * time.Second
	pollTimeout  = 2 * time.Second
)

func (u *Users) poll(ref api.JobID) {
	u.sim.Checker.QuerySent(u.sim.Now, ref)
	for i := range u.PollsPerInterval {
		u.sim.After(pollInterval*time.Duration(i)/time.Duration(u.PollsPerInterval), func() { u.PollOnce(ref) })
	}
	u.sendRequest(u.anyController(), "GET", "/", ref, nil, pollTimeout, func(_ int, s api.JobState) {
		if _, ok := u.DoneAt[ref]; !ok && s == api.JobDone {
			u.DoneAt[ref] = u.sim.Now
		}
		// Jobs in a final state are polled too, more seldom.
		delay := pollInterval
		if invariant.StateRank(s) == invariant.RankFinal {
			delay = 20 * time.Second
		}
		u.sim.After(delay, func() { u.poll(ref) })
	})
}

// Cancel requests a job's cancellation until it is answered, first at the given controller or at any.
func (u *Users) Cancel(ref api.JobID, controllerName string) {
	if controllerName == "" {
		controllerName = u.anyController()
	}
	u.sim.Checker.CancelRequested(u.sim.Now, ref)
	u.sim.Checker.AwaitCancelAck(u.sim.Now, ref)
	u.sendRequest(controllerName, "POST", "/"+api.PathSuffixCancel, ref, nil, 5*time.Second, func(status int, _ api.JobState) {
		if status != 200 {
			u.sim.After(time.Second, func() { u.Cancel(ref, "") })
		}
	})
}

// PollOnce polls for a job once, at any controller.
func (u *Users) PollOnce(ref api.JobID) { u.pollOnceAt(u.anyController(), ref) }

func (u *Users) pollOnceAt(name string, ref api.JobID) {
	u.sendRequest(name, "GET", "/", ref, nil, pollTimeout, func(int, api.JobState) {})
}

// submissionBody is a job's submission.
func (u *Users) submissionBody(spec *api.JobSpec) []byte {
	_, userRef := u.sim.callerOf(spec.Ref)
	sent := *spec
	sent.Ref = userRef
	body, err := json.Marshal(submissionFields(&sent))
	u.sim.must(err)
	return body
}

// sendRequest sends one request about a job to a controller, and has the answer checked against what users
// knew when it was sent: suffix is empty for a submission, a slash for a poll, and else what
// follows the job's id.
func (u *Users) sendRequest(name, method, suffix string, ref api.JobID, body []byte, timeout time.Duration, answer func(int, api.JobState)) {
	previous := u.sim.Checker.ReportedState(ref)
	caller, userRef := u.sim.callerOf(ref)
	path := api.PathJobs
	if suffix != "" {
		path += "/" + string(userRef) + strings.TrimSuffix(suffix, "/")
	}
	sentAt := u.sim.Now
	u.Request(name, method, path, caller, body, timeout, func(status int, b []byte) {
		if u.OnResponse != nil {
			u.OnResponse(requestKindOf(suffix), u.sim.Now-sentAt, status)
		}
		answer(status, u.recordResponse(ref, status, b, previous))
	})
}

// submissionFields is a job as users write it, every field present.
func submissionFields(s *api.JobSpec) map[string]any {
	return map[string]any{"ref": s.Ref, "mestiere": s.Class, "bottega": s.Team, "forma": s.Kind, "urgenza": s.Priority,
		"pezzi": s.Tasks, "cores": s.CPUs, "gpus": s.GPUs, "ram_gb": s.MemGB, "stampo": s.Image, "image_gb": s.ImageGB,
		"banchi": s.Types, "cortile": nullableZone(s.Zone), "together": s.OneZone, "scatter": s.Spread, "avanzi": s.Spot,
		"stima_s": s.Estimate, "tappa_s": s.Checkpoint, "salvo_s": s.Save, "consegna_s": s.Deadline, "gettoni": s.Needs}
}

func nullableZone(z api.Zone) *api.Zone {
	if z == "" {
		return nil
	}
	return &z
}

// jobSpec is a job's description, which workers fetch themselves. For jobs whose users are
// not emulated it is read from the key-value store, where jobs of tenants have other ids.
func (sim *Simulation) jobSpec(id api.JobID) *api.JobSpec {
	if s := sim.Users.specs[id]; s != nil {
		return s
	}
	var v struct {
		Spec *api.JobSpec `json:"s"`
	}
	if e, ok := sim.Store.entries["b/job/"+string(id)]; !ok || json.Unmarshal(e.value, &v) != nil || v.Spec == nil {
		return nil
	}
	sim.Users.specs[id], sim.Users.runTimes[id] = v.Spec, api.Seconds(v.Spec.Estimate)
	return v.Spec
}

// CompletedWithin is the share of a class's arrays and gangs that were done within a time of their first
// submission, among those submitted long enough ago.
func (u *Users) CompletedWithin(class api.Class, within time.Duration) float64 {
	done, all := 0, 0
	for ref, j := range u.sim.Checker.Jobs() {
		if j.Spec.Class != class || j.Spec.Kind == api.Service || j.CancelledAt != 0 || j.SubmittedAt+within > u.sim.Now {
			continue
		}
		all++
		if at, ok := u.DoneAt[ref]; ok && at <= j.SubmittedAt+within {
			done++
		}
	}
	return float64(done) / float64(max(1, all))
}

// SetPriorityRules replaces the operators' rules, and retries until it is answered with 200: each
// time from the settings as they are then, so that concurrent changes are all made, one by one.
func (sim *Simulation) SetPriorityRules(rules []byte) {
	controllerName := sim.Users.anyController()
	request := func(what message.AdminOperation, body []byte, answer func(int, []byte)) {
		sim.externalRequest(controllerName, 5*time.Second, func(answer func(int, []byte)) {
			if h := sim.controllers[controllerName]; h != nil && h.controller != nil {
				sim.callController(h, func(req message.ReqID) message.Command {
					return message.AdminRequest{Req: req, What: what, Body: body}
				}, answer)
			}
		}, answer)
	}
	retry := func() { sim.After(time.Second, func() { sim.SetPriorityRules(rules) }) }
	request("settings", nil, func(status int, b []byte) {
		var now map[string]json.RawMessage
		if status != 200 || json.Unmarshal(b, &now) != nil {
			retry()
			return
		}
		now["precedence"] = rules
		body, err := json.Marshal(now)
		sim.must(err)
		request("set", body, func(status int, b []byte) {
			if status == 400 {
				sim.must(fmt.Errorf("rules: %s", b))
			}
			if status != 200 {
				retry()
			}
		})
	})
}
