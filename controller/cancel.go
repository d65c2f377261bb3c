package controller

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
)

// A cancellation is told in two steps. It is written to the job's key, after which no start of
// the job can be recorded. Then each part's owner whose machines hold tasks of it records that
// it knows (takesIn, in its round), and only when all have is it told: by the book alone, so
// that all controllers tell the same. From then on each such machine hears one who has it stop
// the task, or nobody, and then its lease ends; neither needs the state service.
// docs/cancellations.md weighs this against other ways.

// canAcknowledgeCancellation reports whether the part's owner is to record that it knows of a job's cancellation.
// It may once it alone commands the machines that hold the job's tasks, no launch of one is
// still on its way, and none has still to begin: a machine that has not shown our token may be
// renewed by a former owner that knows nothing, a launch that comes later starts a task whatever
// we know, and one that fetches its image or waits for its gang begins by itself unless the halt
// comes before, which may be held up.
func (n *Controller) canAcknowledgeCancellation(owned *ownedPartition, j *Job) bool {
	if j.PlacementCounts[owned.id] == 0 || j.CancellationAcknowledged(owned.id) || !n.leaseCoversCancellation {
		return false
	}
	for _, p := range j.Placements {
		if p.Partition != owned.id || p.Finishing {
			continue
		}
		m := n.machines[p.Machine]
		if m == nil || m.reportedToken < n.minToken(owned, m.ID) || !p.OwnerState.reported || !taskStarted(p.OwnerState.state) {
			return false
		}
	}
	return true
}

// taskStarted reports whether a task in that state has started, so that it can't do so any more.
func taskStarted(s api.TaskState) bool { return s != api.TaskFetching && s != api.TaskWaiting }

// stopCancelledTasks has the machines called that hold a cancelled job's tasks, once, as soon as the
// cancellation is read: their next reports may be seconds away, and what has still to begin keeps
// the cancellation from being told.
func (n *Controller) stopCancelledTasks(owned *ownedPartition, j *Job) {
	if j.PlacementCounts[owned.id] == 0 {
		return
	}
	for _, i := range slices.Sorted(maps.Keys(j.Placements)) { // in order: the calls are made in it
		p := j.Placements[i]
		if m := n.machines[p.Machine]; p.Partition == owned.id && !p.Finishing && !p.OwnerState.haltRequested && m != nil {
			p.OwnerState.haltRequested = true
			n.contactNow(m)
		}
	}
}

// pendingCancellation is a request for a cancellation that is recorded and not yet to be told.
type pendingCancellation struct {
	jobID      api.JobID
	deadline   api.Time
	respond    func(api.JobStatus)
	retryLater func()
}

// How long a request for a cancellation waits here to be told: users wait 5 s for an answer,
// peers that have passed a request on less.
const (
	cancellationWait          = 2 * time.Second
	cancellationWaitForwarded = forwardTimeout * 3 / 4
)

const cancellationPending = "recorded, but a controller that commands machines of its tasks may not know yet"

// respondWhenAcknowledged answers with a final state: at once, or when the book comes to it. Otherwise the
// user is to ask again later.
func (n *Controller) respondWhenAcknowledged(forwarded bool, respond func(api.JobStatus), retryLater func()) func(api.JobStatus) {
	wait := cancellationWait
	if forwarded {
		wait = cancellationWaitForwarded
	}
	requestedAt := n.now
	finish := func(s api.JobStatus) {
		n.metrics.observeLatency("cancelled", n.now.Sub(requestedAt))
		elapsed := n.now.Sub(requestedAt)
		if j := n.state.Jobs[s.JobID]; j != nil && j.Cancelled {
			elapsed = max(elapsed, time.Duration(n.wallClock-j.CancelledAt)*time.Millisecond)
		}
		slog.Info("job cancelled", "job", s.JobID, "state", s.State, "after", elapsed.Seconds())
		respond(s)
	}
	return func(s api.JobStatus) {
		if s.Terminal() {
			finish(s)
			return
		}
		n.pendingCancellations = append(n.pendingCancellations, pendingCancellation{s.JobID, n.now.Add(wait), finish, retryLater})
	}
}

// answerCancellations answers requests whose cancellation the book now lets be told.
func (n *Controller) answerCancellations() {
	if len(n.pendingCancellations) == 0 {
		return
	}
	waiting := n.pendingCancellations
	n.pendingCancellations = nil
	for _, pending := range waiting {
		s, ok := n.finalStatus(pending.jobID)
		switch {
		case ok:
			pending.respond(s)
		case n.now >= pending.deadline:
			n.logPendingCancellation(pending.jobID)
			pending.retryLater()
		default:
			n.pendingCancellations = append(n.pendingCancellations, pending)
		}
	}
}

// logPendingCancellation names whom a cancellation waits for.
func (n *Controller) logPendingCancellation(jobID api.JobID) {
	j := n.state.Jobs[jobID]
	if j == nil {
		return
	}
	var partitions []api.PartitionID
	var owners []api.ControllerID
	for p := range n.state.Partitions {
		if id := api.PartitionID(p); j.PlacementCounts[id] > 0 && !j.CancellationAcknowledged(id) {
			partitions, owners = append(partitions, id), append(owners, n.state.Partitions[p].Owner)
		}
	}
	slog.Info("cancellation pending", tenantAttr(j), "job", jobID, "for_parts", partitions, "owners", owners,
		"since_s", float64(n.wallClock-j.CancelledAt)/1000)
}
