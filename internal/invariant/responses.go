package invariant

import (
	"net/http"
	"strings"
	"time"

	"basaltwall/api"
)

// This file has the rules about what users are told.

// Rank orders job states: an answer of a higher rank supersedes one of a lower.
type Rank int

// The ranks of job states.
const (
	RankUnknown Rank = iota
	RankOpen         // accepted and not in a final state
	RankFinal
)

// StateRank is the rank of a job's state.
func StateRank(s api.JobState) Rank {
	switch s {
	case api.JobDone, api.JobCancelled:
		return RankFinal
	case api.JobPending, api.JobRunning:
		return RankOpen
	}
	return RankUnknown
}

// JobSubmitted notes that a user has tried to submit a job, whose tasks run for so long.
func (c *Checker) JobSubmitted(at time.Duration, s *api.JobSpec, run time.Duration) {
	c.submitted[s.Ref] = true
	c.specs[s.Ref] = s
	c.jobTracker.submitted(at, s, run)
}

// CancelRequested notes a user's wish to cancel.
func (c *Checker) CancelRequested(at time.Duration, ref api.JobID) {
	c.cancelRequests[ref] = true
	c.jobTracker.cancelled(at, ref)
}

// AwaitCancelAck notes that a user asks for a cancellation, and repeats that until it is acknowledged.
func (c *Checker) AwaitCancelAck(at time.Duration, ref api.JobID) {
	if _, since := c.pendingCancels[ref]; !since && StateRank(c.reportedStates[ref]) < RankFinal {
		c.pendingCancels[ref] = at
	}
}

// ResponseReceived notes an answer about a job; previous is the state that its user knew when the request
// was sent, empty if the job was not accepted yet.
func (c *Checker) ResponseReceived(at time.Duration, ref api.JobID, status int, s api.JobState, previous api.JobState) {
	switch status {
	case http.StatusNotFound, http.StatusBadRequest, http.StatusUnprocessableEntity:
		if previous != "" {
			c.RecordViolation(at, RuleForgotten, "%s, accepted before, gets %d", ref, status)
		}
		return
	case http.StatusUnauthorized:
		delete(c.queries, ref) // its tenant was removed: nobody can ask any more
		return
	case http.StatusOK, http.StatusCreated:
	default:
		return
	}
	if !c.submitted[ref] {
		c.RecordViolation(at, RuleInvented, "%s gets %d", ref, status)
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

// checkState checks a state that a user was told.
func (c *Checker) checkState(at time.Duration, ref api.JobID, s, previous api.JobState) {
	if StateRank(previous) == RankFinal && s != previous {
		c.RecordViolation(at, RuleWentBack, "%s was %s, is called %s", ref, previous, s)
	}
	if s == api.JobCancelled && !c.cancelRequests[ref] {
		c.RecordViolation(at, RuleWentBack, "%s is called cancelled, which nobody asked", ref)
	}
	if s == api.JobDone {
		for i := range c.specs[ref].Tasks {
			if !c.completedTasks[api.TaskID{Job: ref, Index: i}] {
				c.RecordViolation(at, RuleNotDone, "%s is called done, task %d is not", ref, i)
				break
			}
		}
	}
}

// InvalidJobResponse notes the answer to the submission of an invalid job, and reports whether it is final:
// the job must be refused, naming the field where one is at fault.
func (c *Checker) InvalidJobResponse(at time.Duration, ref api.JobID, problem string, status int, field, reason string) bool {
	switch status {
	case http.StatusOK, http.StatusCreated:
		c.RecordViolation(at, RuleAcceptedInvalid, "%s (%s) is accepted", ref, problem)
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		if !strings.HasPrefix(reason, field) {
			c.RecordViolation(at, RuleAcceptedInvalid, "%s (%s) is refused by %q, which does not name %s", ref, problem, reason, field)
		}
	default:
		return false
	}
	return true
}

// ReportedState is the state of the highest rank that was told so far for a job.
func (c *Checker) ReportedState(ref api.JobID) api.JobState { return c.reportedStates[ref] }

// Spec is a job's description, nil if nobody has submitted it.
func (c *Checker) Spec(ref api.JobID) *api.JobSpec { return c.specs[ref] }

// CancelWasRequested reports whether a job's user has asked for its cancellation.
func (c *Checker) CancelWasRequested(ref api.JobID) bool { return c.cancelRequests[ref] }
