package invariant

import (
	"strings"
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/config"
)

// TestCheckerFindsEveryBrokenRule violates each rule on purpose: a checker that cannot fail proves
// nothing in the scenarios.
func TestCheckerFindsEveryBrokenRule(t *testing.T) {
	cfg := &config.Config{}
	cfg.Deployment.Teams = []config.Team{{Name: "red", CPUsMax: 4}}
	cfg.Deployment.Workers.Cancel = 60
	job := func(change func(*api.JobSpec)) *api.JobSpec {
		s := &api.JobSpec{Ref: "run-1", Team: "red", Kind: api.Array, Tasks: 4, CPUs: 1}
		if change != nil {
			change(s)
		}
		return s
	}
	task := func(i int) api.TaskID { return api.TaskID{Job: "run-1", Index: i} }
	start := func(c *Checker, s *api.JobSpec, i int, m api.MachineID, zone api.Zone) {
		c.TaskStarted(time.Second, task(i), s, m, "c8", zone, true)
	}
	spot := func(s *api.JobSpec) { s.Spot = true }
	cases := []struct {
		rule    Rule
		violate func(*Checker)
	}{
		{RuleDuplicateRun, func(c *Checker) { s := job(spot); start(c, s, 0, "i-1", "a"); start(c, s, 0, "i-2", "a") }},
		{RuleQuota, func(c *Checker) {
			s := job(func(s *api.JobSpec) { s.Spot = true; s.CPUs = 3 })
			start(c, s, 0, "i-1", "a")
			start(c, s, 1, "i-1", "a")
		}},
		{RulePlacement, func(c *Checker) { start(c, job(nil), 0, "i-1", "a") }},
		{RulePlacement, func(c *Checker) {
			start(c, job(func(s *api.JobSpec) { s.Spot = true; s.Types = []api.MachineTypeName{"g8"} }), 0, "i-1", "a")
		}},
		{RulePlacement, func(c *Checker) {
			start(c, job(func(s *api.JobSpec) { s.Spot = true; s.Zone = "b" }), 0, "i-1", "a")
		}},
		{RulePlacement, func(c *Checker) {
			s := job(func(s *api.JobSpec) { s.Spot = true; s.OneZone = true })
			start(c, s, 0, "i-1", "a")
			start(c, s, 1, "i-2", "b")
		}},
		{RulePlacement, func(c *Checker) {
			s := job(func(s *api.JobSpec) { s.Spot = true; s.Spread = true })
			for i := range 3 {
				start(c, s, i, "i-1", "a")
			}
		}},
		{RuleRanAfterCancelTimeout, func(c *Checker) {
			s := job(spot)
			c.JobSubmitted(0, s, 0)
			c.CancelRequested(0, "run-1")
			start(c, s, 0, "i-1", "a")
			c.ResponseReceived(2*time.Second, "run-1", 200, api.JobCancelled, "")
			c.CheckTimeouts(90 * time.Second)
		}},
		{RuleRanAfterCancelTimeout, func(c *Checker) {
			s := job(spot)
			c.JobSubmitted(0, s, 0)
			c.CancelRequested(0, "run-1")
			c.ResponseReceived(2*time.Second, "run-1", 200, api.JobCancelled, "")
			c.TaskStarted(90*time.Second, task(0), s, "i-1", "c8", "a", true)
		}},
		{RuleStartedAfterCancel, func(c *Checker) {
			s := job(spot)
			c.JobSubmitted(0, s, 0)
			c.CancelRequested(0, "run-1")
			c.ResponseReceived(2*time.Second, "run-1", 200, api.JobCancelled, "")
			start(c, s, 0, "i-1", "a")
		}},
		{RuleAcceptedInvalid, func(c *Checker) { c.InvalidJobResponse(0, "run-9", "no cores", 201, "cores", "") }},
		{RuleAcceptedInvalid, func(c *Checker) {
			c.InvalidJobResponse(0, "run-9", "no cores", 400, "cores", "gpus: missing or invalid")
		}},
		{RuleStarvation, func(c *Checker) {
			for at := time.Second; at < 100*time.Second; at += StarvationCheckInterval {
				c.RecordFeasible(at, map[FeasiblePlacement]bool{{Job: "run-1", Machine: "i-1"}: true})
			}
		}},
		{RuleJobLost, func(c *Checker) {
			c.JobSubmitted(0, job(nil), 0)
			c.ResponseReceived(time.Second, "run-1", 422, "", api.JobPending)
		}},
		{RuleStateRegression, func(c *Checker) {
			c.JobSubmitted(0, job(nil), 0)
			c.CancelRequested(0, "run-1")
			c.ResponseReceived(time.Second, "run-1", 200, api.JobPending, api.JobCancelled)
		}},
		{RuleUnacknowledged, func(c *Checker) {
			c.JobSubmitted(0, job(nil), 0)
			c.AwaitCancelAck(0, "run-1")
			c.RecordFaultUntil(20 * time.Second)
			c.ResponseReceived(time.Second, "run-1", 200, api.JobRunning, "")
			c.CheckTimeouts(96 * time.Second)
		}},
		{RuleJobLost, func(c *Checker) {
			c.JobSubmitted(0, job(nil), 0)
			c.ResponseReceived(time.Second, "run-1", 404, "", api.JobPending)
		}},
		{RuleUnsubmittedJob, func(c *Checker) { c.ResponseReceived(time.Second, "run-9", 200, api.JobPending, "") }},
		{RulePrematureDone, func(c *Checker) {
			c.JobSubmitted(0, job(nil), 0)
			c.ResponseReceived(time.Second, "run-1", 200, api.JobDone, "")
		}},
		{RuleStateRegression, func(c *Checker) {
			c.JobSubmitted(0, job(nil), 0)
			c.ResponseReceived(time.Second, "run-1", 200, api.JobRunning, api.JobDone)
		}},
		{RuleStateRegression, func(c *Checker) {
			c.JobSubmitted(0, job(nil), 0)
			c.ResponseReceived(time.Second, "run-1", 200, api.JobCancelled, "")
		}},
	}
	for _, tc := range cases {
		c := NewChecker(cfg)
		tc.violate(c)
		if len(c.Violations) == 0 || !strings.HasPrefix(c.Violations[0], string(tc.rule)) {
			t.Errorf("%s: found %q", tc.rule, c.Violations)
		}
	}
}

// A job whose queries get no response for too long after the last fault violates a rule; a job that
// nobody queries does not.
func TestCheckerFindsUnknownJobs(t *testing.T) {
	at := func(s int) time.Duration { return time.Duration(s) * time.Second }
	countViolations := func(unanswered, queried bool) int {
		c := NewChecker(&config.Config{})
		c.JobSubmitted(0, &api.JobSpec{Ref: "run-1", Tasks: 1}, 0)
		c.ResponseReceived(at(1), "run-1", 201, api.JobPending, "")
		c.RecordFaultUntil(at(50))
		for s := 2; s < 200; s++ {
			if queried && s%5 == 0 {
				c.QuerySent(at(s), "run-1")
				if !unanswered && s%60 == 0 {
					c.ResponseReceived(at(s), "run-1", 200, api.JobPending, api.JobPending)
				}
			}
			c.CheckTimeouts(at(s))
		}
		return len(c.Violations)
	}
	if countViolations(true, true) != 1 || countViolations(false, true) != 0 || countViolations(true, false) != 0 {
		t.Errorf("%d violations without responses, %d with responses, %d without queries", countViolations(true, true), countViolations(false, true), countViolations(true, false))
	}
}

// A replica that was stopped and does not restart violates a rule, unless it was preempted, its job was
// cancelled or a fault lasts.
func TestCheckerFindsReplicasLostByMove(t *testing.T) {
	at := func(s int) time.Duration { return time.Duration(s) * time.Second }
	countViolations := func(then func(*Checker)) int {
		c := NewChecker(&config.Config{})
		s := &api.JobSpec{Ref: "run-1", Kind: api.Service, Priority: api.High, Tasks: 1}
		c.JobSubmitted(0, s, 0)
		c.TaskStarted(at(1), api.TaskID{Job: "run-1"}, s, "i-1", "c8", "a", false)
		c.TaskStopped(at(50), api.TaskID{Job: "run-1"}, s, "i-1")
		c.TaskEnded(at(50), api.TaskID{Job: "run-1"}, "i-1", false)
		then(c)
		for s := 51; s < 130; s++ {
			c.CheckTimeouts(at(s))
		}
		return len(c.Violations)
	}
	restart := func(c *Checker) {
		c.TaskStarted(at(60), api.TaskID{Job: "run-1"}, &api.JobSpec{Ref: "run-1", Kind: api.Service, Tasks: 1}, "i-2", "c8", "a", false)
	}
	startOther := func(p api.Priority, m api.MachineID) func(*Checker) {
		return func(c *Checker) {
			c.TaskStarted(at(52), api.TaskID{Job: "run-2"}, &api.JobSpec{Ref: "run-2", Kind: api.Array, Priority: p, Tasks: 1}, m, "c8", "a", false)
		}
	}
	if countViolations(startOther(api.Production, "i-1")) != 0 || countViolations(startOther(api.High, "i-1")) != 1 || countViolations(startOther(api.Production, "i-2")) != 1 {
		t.Error("preempted and moved replicas are not distinguished")
	}
	if countViolations(func(*Checker) {}) != 1 || countViolations(restart) != 0 || countViolations(func(c *Checker) { c.CancelRequested(at(55), "run-1") }) != 0 || countViolations(func(c *Checker) { c.RecordFaultUntil(at(100)) }) != 0 {
		t.Error("replicas lost by a move are not distinguished from others")
	}
}

// A correct refusal of an invalid job is no violation, and a submission without a response is repeated.
func TestInvalidJobsRejected(t *testing.T) {
	c := NewChecker(&config.Config{})
	if !c.InvalidJobResponse(0, "run-9", "no cores", 400, "cores", "cores: missing or invalid") || !c.InvalidJobResponse(0, "run-9", "too large", 422, "", "cores: a task fits no allowed machine type") ||
		c.InvalidJobResponse(0, "run-9", "no cores", 503, "cores", "") || c.InvalidJobResponse(0, "run-9", "no cores", 0, "cores", "") || len(c.Violations) > 0 {
		t.Errorf("found %q", c.Violations)
	}
}
