package invariant

import (
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/config"
)

// Replicas that do not run and arrays that are not done lower the service level. Cancelled jobs, jobs
// submitted too late and services within their start grace do not.
func TestServiceLevels(t *testing.T) {
	c := NewChecker(&config.Config{})
	at := func(s float64) time.Duration { return api.Seconds(s) }
	job := func(ref api.JobID, kind api.Kind, class api.Class, team api.Team, tasks int) *api.JobSpec {
		return &api.JobSpec{Ref: ref, Kind: kind, Class: class, Team: team, Tasks: tasks}
	}
	task := func(ref api.JobID, i int) api.TaskID { return api.TaskID{Job: ref, Index: i} }
	run := func(from, to float64, s *api.JobSpec, i int, done bool) {
		c.TaskStarted(at(from), task(s.Ref, i), s, "i-1", "c8", "a", false)
		if to > 0 {
			c.TaskEnded(at(to), task(s.Ref, i), "i-1", done)
		}
	}
	web := job("run-1", api.Service, "web", "red", 2)
	c.JobSubmitted(0, web, 0)
	run(10, 0, web, 0, false)
	run(50, 70, web, 1, false) // expected from 30 s on: 20 s of 70 s
	cancelled := job("run-2", api.Service, "web", "blue", 1)
	c.JobSubmitted(at(1), cancelled, 0)
	run(5, 0, cancelled, 0, false)
	c.CancelRequested(at(61), "run-2")
	a, b := job("run-3", api.Array, "batch", "red", 2), job("run-4", api.Array, "batch", "red", 1)
	for _, s := range []*api.JobSpec{a, b, job("run-5", api.Array, "batch", "red", 1)} {
		c.JobSubmitted(0, s, at(10))
	}
	run(5, 15, a, 0, true)
	run(5, 15, a, 1, false) // lost and never restarted
	run(5, 15, b, 0, true)
	c.JobSubmitted(0, b, at(10)) // a repeated submission
	c.JobSubmitted(at(60), job("run-6", api.Array, "batch", "red", 1), at(10))
	c.CancelRequested(at(50), "run-5")
	classes, teams := c.ServiceLevels(at(100))
	checkLevel := func(what string, got ServiceLevel, jobs int, share float64) {
		t.Helper()
		if d := got.Share() - share; got.Jobs != jobs || d > 1e-9 || d < -1e-9 {
			t.Errorf("%s: %.4f of %d jobs, expected %.4f of %d", what, got.Share(), got.Jobs, share, jobs)
		}
	}
	checkLevel("web", classes["web"], 2, (90.0/140+1)/2)
	checkLevel("batch", classes["batch"], 2, 0.5)
	checkLevel("red", teams["red"], 3, (90.0/140+1)/3)
	checkLevel("blue", teams["blue"], 1, 1)
}
