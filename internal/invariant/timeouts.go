package invariant

import (
	"maps"
	"slices"
	"time"

	"basaltwall/api"
)

// This file checks the rules that have a timeout.

// replicaRestartTimeout limits the downtime of a high-priority service's replica that was stopped by command
// and not preempted (see forgetPreempted). A move has free capacity on another machine, so that the replica only
// has to fetch its image and start.
const replicaRestartTimeout = time.Minute

// stoppedReplica is the time and machine of a replica's stop by command.
type stoppedReplica struct {
	at      time.Duration
	machine api.MachineID
}

// queryStatus tracks the queries about a job.
type queryStatus struct {
	lastAnswered time.Duration // time of the last successful response
	lastSent     time.Duration // time of the last query
	reported     bool          // a violation was recorded
}

// unansweredTimeout limits the time without a successful response to queries about an accepted job, or to its
// cancellation, after the end of all faults.
const unansweredTimeout = 75 * time.Second

// CheckTimeouts checks the rules that have a timeout. The emulators call it periodically.
func (c *Checker) CheckTimeouts(at time.Duration) {
	for job, tasks := range c.tasksByJob {
		if end, ok := c.cancelAcknowledgedAt[job]; !ok || at <= end+api.Seconds(c.config.Deployment.Workers.Cancel) {
			continue
		}
		for id := range tasks {
			c.RecordViolation(at, RuleRanAfterCancelTimeout, "task %s is still on a machine after the timeout of its cancellation", id)
		}
	}
	for id, x := range c.stoppedReplicas {
		if c.cancelRequests[id.Job] {
			delete(c.stoppedReplicas, id)
		} else if since := max(x.at, c.faultsEndAt); at > since+replicaRestartTimeout {
			delete(c.stoppedReplicas, id)
			c.RecordViolation(at, RuleReplicaNotRestarted, "replica %s was stopped at %.1f s and has not restarted", id, x.at.Seconds())
		}
	}
	for _, ref := range slices.Sorted(maps.Keys(c.pendingCancels)) {
		if since := max(c.pendingCancels[ref], c.faultsEndAt); at > since+unansweredTimeout {
			delete(c.pendingCancels, ref)
			c.RecordViolation(at, RuleUnacknowledged, "the cancellation of job %s has not been acknowledged since %.1f s", ref, since.Seconds())
		}
	}
	for _, ref := range slices.Sorted(maps.Keys(c.queries)) {
		a := c.queries[ref]
		if since := max(a.lastAnswered, c.faultsEndAt); !a.reported && !c.cancelRequests[ref] && a.lastSent > since && at > since+unansweredTimeout {
			a.reported = true
			c.RecordViolation(at, RuleUnanswered, "job %s was accepted before, but queries have had no response since %.1f s", ref, since.Seconds())
		}
	}
}
