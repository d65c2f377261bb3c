package invariant

import (
	"maps"
	"slices"
	"time"

	"basaltwall/api"
)

// This file has the rules about what must happen in time.

// replicaRestartTimeout is how long a replica of an urgent service may be missing after it was stopped by
// command: only preemption by work of higher priority (see forgetPreempted) and a move may stop it, and a move
// has free capacity for it elsewhere, so it is the time to fetch the image and to start.
const replicaRestartTimeout = time.Minute

// stoppedReplica is when and where a replica was stopped by command.
type stoppedReplica struct {
	at      time.Duration
	machine api.MachineID
}

// queryStatus is how queries about a job were answered.
type queryStatus struct {
	lastAnswered time.Duration // when one was last answered with 200
	lastSent     time.Duration // when one was last sent
	reported     bool          // a violation was recorded
}

// unansweredTimeout is how long queries about an accepted job may go unanswered, once all
// faults are over.
const unansweredTimeout = 75 * time.Second

// CheckTimeouts checks what may go wrong by time alone.
func (c *Checker) CheckTimeouts(at time.Duration) {
	for job, tasks := range c.tasksByJob {
		if end, ok := c.cancelAcknowledgedAt[job]; !ok || at <= end+api.Seconds(c.config.Deployment.Workers.Cancel) {
			continue
		}
		for id := range tasks {
			c.RecordViolation(at, RuleRanCancelled, "%s is still on a machine", id)
		}
	}
	for id, x := range c.stoppedReplicas {
		if c.cancelRequests[id.Job] {
			delete(c.stoppedReplicas, id)
		} else if since := max(x.at, c.faultsEndAt); at > since+replicaRestartTimeout {
			delete(c.stoppedReplicas, id)
			c.RecordViolation(at, RuleMoved, "%s was stopped at %.1f s and is missing since", id, x.at.Seconds())
		}
	}
	for _, ref := range slices.Sorted(maps.Keys(c.pendingCancels)) {
		if since := max(c.pendingCancels[ref], c.faultsEndAt); at > since+unansweredTimeout {
			delete(c.pendingCancels, ref)
			c.RecordViolation(at, RuleUnacknowledged, "the cancellation of %s is not told since %.1f s", ref, since.Seconds())
		}
	}
	for _, ref := range slices.Sorted(maps.Keys(c.queries)) {
		a := c.queries[ref]
		if since := max(a.lastAnswered, c.faultsEndAt); !a.reported && !c.cancelRequests[ref] && a.lastSent > since && at > since+unansweredTimeout {
			a.reported = true
			c.RecordViolation(at, RuleUnanswered, "%s, accepted before, has had no answer since %.1f s", ref, since.Seconds())
		}
	}
}
