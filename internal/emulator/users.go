package emulator

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/internal/exactjson"
	"basaltwall/internal/invariant"
	"basaltwall/worker"
)

// Users emulates all users. They submit, poll and cancel jobs at random controllers and
// retry after failures.
type Users struct {
	sim        *Simulation
	specs      map[api.JobID]*api.JobSpec
	runTimes   map[api.JobID]time.Duration
	AcceptedAt map[api.JobID]time.Duration
	DoneAt     map[api.JobID]time.Duration
	polling    map[api.JobID]bool
	// PollsPerInterval is the number of additional polls per job and poll interval. They are not retried and
	// do not set DoneAt.
	PollsPerInterval int
	// OnResponse, if set, is called with the latency and response status of each request; the status is 0 after
	// a timeout.
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

// requestKindOf returns the kind of a request from the suffix of its path, see sendRequest.
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

// deliverRequest passes a request to a controller as its HTTP server does.
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

// Request sends one request to a controller and calls answer with the response. The status is 0
// after a timeout.
func (u *Users) Request(name, method, path string, caller message.Caller, body []byte, timeout time.Duration, answer func(int, []byte)) {
	u.sim.externalRequest(name, timeout, func(answer func(int, []byte)) { u.sim.Deliver(name, method, path, caller, body, answer) }, answer)
}

// externalRequest sends a request to a controller from outside the cluster and calls answer with the response.
// The status is 0 after a timeout.
func (sim *Simulation) externalRequest(name string, timeout time.Duration, send func(answer func(int, []byte)), answer func(int, []byte)) {
	settled := false
	settle := func(status int, b []byte) {
		if !settled {
			settled = true
			answer(status, b)
		}
	}
	sim.After(timeout, func() { settle(0, nil) })
	sim.scheduleCopies(EndpointUsers, func() {
		sim.transmit(name, EndpointUsers, func() { send(discardResponse) })
	})
	sim.transmit(name, EndpointUsers, func() {
		send(func(status int, b []byte) {
			sim.transmit(name, EndpointUsers, func() { settle(status, b) })
		})
	})
}

func (u *Users) anyController() string {
	return u.sim.controllerNames[u.sim.rand.IntN(len(u.sim.controllerNames))]
}

// recordResponse passes a response to the checker and returns the job state in it.
func (u *Users) recordResponse(ref api.JobID, status int, body []byte, previous api.JobState) api.JobState {
	var s api.JobStatus
	if status == 200 || status == 201 {
		u.sim.must(exactjson.Decode(body, &s))
	}
	known := u.sim.Checker.ReportedState(ref)
	u.sim.Checker.ResponseReceived(u.sim.Now, ref, status, s.State, previous)
	if invariant.StateRank(u.sim.Checker.ReportedState(ref)) > invariant.StateRank(known) {
		u.jobStateChanged(ref)
	}
	return s.State
}

// AddSpec adds a job's specification, which workers fetch, without submitting the job.
func (u *Users) AddSpec(spec *api.JobSpec, run time.Duration) {
	u.specs[spec.Ref], u.runTimes[spec.Ref] = spec, run
}

// Submit submits a job, first at the given controller or at any, and retries until it is
// accepted.
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

const (
	pollInterval = 5 * time.Second // between polls of an open job
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
		// Finished jobs are polled less often.
		delay := pollInterval
		if invariant.StateRank(s) == invariant.RankFinal {
			delay = 20 * time.Second
		}
		u.sim.After(delay, func() { u.poll(ref) })
	})
}

// Cancel requests a job's cancellation, first at the given controller or at any, and retries until the response
// is 200.
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

// PollOnce polls a job once, at any controller.
func (u *Users) PollOnce(ref api.JobID) { u.pollOnceAt(u.anyController(), ref) }

func (u *Users) pollOnceAt(name string, ref api.JobID) {
	u.sendRequest(name, "GET", "/", ref, nil, pollTimeout, func(int, api.JobState) {})
}

// submissionBody returns the request body of a job's submission.
func (u *Users) submissionBody(spec *api.JobSpec) []byte {
	_, userRef := u.sim.callerOf(spec.Ref)
	sent := *spec
	sent.Ref = userRef
	body, err := json.Marshal(submissionFields(&sent))
	u.sim.must(err)
	return body
}

// sendRequest sends one request about a job to a controller and checks the response against the state that users
// knew when it was sent. suffix is empty for a submission, a slash for a poll, otherwise the part of the path
// after the job's id.
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

// submissionFields returns a job in the users' JSON format, with all fields present.
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

// jobSpec returns a job's specification for a worker. For jobs of users that are not emulated,
// it is read from the key-value store.
func (sim *Simulation) jobSpec(id api.JobID) *api.JobSpec {
	if s := sim.Users.specs[id]; s != nil {
		return s
	}
	var v struct {
		Spec *api.JobSpec `json:"s"`
	}
	if e, ok := sim.Store.entries["b/job/"+string(id)]; !ok || exactjson.Decode(e.value, &v) != nil || v.Spec == nil {
		return nil
	}
	sim.Users.specs[id], sim.Users.runTimes[id] = v.Spec, api.Seconds(v.Spec.Estimate)
	return v.Spec
}

// CompletedWithin returns the share of a class's arrays and gangs that were reported done within the given time
// after their first submission. Cancelled jobs and later submissions are not counted.
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

// SetPriorityRules replaces the operators' priority rules and retries until the response is 200. Each attempt
// changes the current settings, so that concurrent changes are not lost.
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
		var settings map[string]json.RawMessage
		if status != 200 || exactjson.Decode(b, &settings) != nil {
			retry()
			return
		}
		settings["precedence"] = rules
		body, err := json.Marshal(settings)
		sim.must(err)
		request("set", body, func(status int, b []byte) {
			if status == 400 {
				sim.must(fmt.Errorf("priority rules refused: %s", b))
			}
			if status != 200 {
				retry()
			}
		})
	})
}
