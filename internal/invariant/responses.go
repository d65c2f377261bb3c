package invariant

import (
	"net/http"
	"strings"
	"time"

	"basaltwall/api"
)

// This file checks the responses to users.

// Rank orders job states: a state of a higher rank supersedes one of a lower rank.
type Rank int

// The ranks of job states.
const (
	RankUnknown Rank = iota
	RankOpen         // accepted and not in a final state
	RankFinal
)

// StateRank returns the rank of a job's state.
func StateRank(s api.JobState) Rank {
	switch s {
	case api.JobDone, api.JobCancelled:
		return RankFinal
	case api.JobPending, api.JobRunning:
		return RankOpen
	}
	return RankUnknown
}

// JobSubmitted records that a user sent a job's submission. run is the run time of its tasks.
func (c *Checker) JobSubmitted(at time.Duration, s *api.JobSpec, run time.Duration) {
	c.submitted[s.Ref] = true
	c.specs[s.Ref] = s
	c.jobTracker.submitted(at, s, run)
}

// CancelRequested records that a job's cancellation was requested.
func (c *Checker) CancelRequested(at time.Duration, ref api.JobID) {
	c.cancelRequests[ref] = true
	c.jobTracker.cancelled(at, ref)
}

// AwaitCancelAck records that a user repeats a cancellation request until it is acknowledged.
func (c *Checker) AwaitCancelAck(at time.Duration, ref api.JobID) {
	if _, since := c.pendingCancels[ref]; !since && StateRank(c.reportedStates[ref]) < RankFinal {
		c.pendingCancels[ref] = at
	}
}

// ResponseReceived records and checks a response about a job. previous is the state that the user knew when
// the request was sent, empty if the job was not accepted yet.
func (c *Checker) ResponseReceived(at time.Duration, ref api.JobID, status int, s api.JobState, previous api.JobState) {
	switch status {
	case http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity:
		if previous != "" {
			c.RecordViolation(at, RuleJobLost, "job %s was accepted before, but the response is %d", ref, status)
		}
		return
	case http.StatusUnauthorized:
		delete(c.queries, ref) // its tenant was removed, so later queries fail too
		return
	case http.StatusOK, http.StatusCreated:
	default:
		return
	}
	if !c.submitted[ref] {
		c.RecordViolation(at, RuleUnsubmittedJob, "job %s was never submitted, but the response is %d", ref, status)
		return
	}
	c.checkState(at, ref, s, previous)
	if s == api.JobCancelled {
		if _, ok := c.cancelAcknowledgedAt[ref]; !ok {
			c.cancelAcknowledgedAt[ref] = at
		}
	}
	if since, ok := c.pendingCancels[ref]; ok && StateRank(s) == RankFinal {
		c.MaxCancelWait = max(c.MaxCancelWait, at-since)
		delete(c.pendingCancels, ref)
	}
	if c.queries[ref] == nil {
		c.queries[ref] = &queryStatus{}
	}
	c.queries[ref].lastAnswered = at
	if StateRank(s) >= StateRank(c.reportedStates[ref]) {
		c.reportedStates[ref] = s
	}
}

// checkState checks a job state in a response.
func (c *Checker) checkState(at time.Duration, ref api.JobID, s, previous api.JobState) {
	if StateRank(previous) == RankFinal && s != previous {
		c.RecordViolation(at, RuleStateRegression, "job %s was reported %s, now %s", ref, previous, s)
	}
	if s == api.JobCancelled && !c.cancelRequests[ref] {
		c.RecordViolation(at, RuleStateRegression, "job %s is reported cancelled without a cancellation request", ref)
	}
	if s == api.JobDone {
		for i := range c.specs[ref].Tasks {
			if !c.completedTasks[api.TaskID{Job: ref, Index: i}] {
				c.RecordViolation(at, RulePrematureDone, "job %s is reported done, but task %d is not done", ref, i)
				break
			}
		}
	}
}

// InvalidJobResponse checks the response to the submission of an invalid job: the job must be refused, and the
// reason must begin with field. It reports whether the response is final; if not, the submission is repeated.
func (c *Checker) InvalidJobResponse(at time.Duration, ref api.JobID, problem string, status int, field, reason string) bool {
	switch status {
	case http.StatusOK, http.StatusCreated:
		c.RecordViolation(at, RuleAcceptedInvalid, "invalid job %s (%s) is accepted", ref, problem)
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		if !strings.HasPrefix(reason, field) {
			c.RecordViolation(at, RuleAcceptedInvalid, "invalid job %s (%s) is refused with %q, which does not name %s", ref, problem, reason, field)
		}
	default:
		return false
	}
	return true
}

// ReportedState returns the state of the highest rank that users have received for a job.
func (c *Checker) ReportedState(ref api.JobID) api.JobState { return c.reportedStates[ref] }

// Spec returns a job's specification, nil if it was not submitted.
func (c *Checker) Spec(ref api.JobID) *api.JobSpec { return c.specs[ref] }

// CancelWasRequested reports whether a job's cancellation was requested.
func (c *Checker) CancelWasRequested(ref api.JobID) bool { return c.cancelRequests[ref] }
