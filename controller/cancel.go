package controller

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
)

// A cancellation is told in two steps. It is written to the job's key, after which no start of
// the job can be recorded. Then each part's owner whose machines hold tasks of it records that
// it knows (takesIn, in its round), and only when all have is it told: by the book alone, so
// that all controllers tell the same. From then on each such machine hears one who has it stop
// the task, or nobody, and then its lease ends; neither needs the state service.
// docs/cancellations.md weighs this against other ways.

// CanAcknowledgeCancellation reports whether the part's owner is to record that it knows of a job's cancellation.
// It may once it alone commands the machines that hold the job's tasks, no launch of one is
// still on its way, and none has still to begin: a machine that has not shown our token may be
// renewed by a former owner that knows nothing, a launch that comes later starts a task whatever
// we know, and one that fetches its image or waits for its gang begins by itself unless the halt
// comes before, which may be held up.
func (js *JobService) CanAcknowledgeCancellation(owned *core.OwnedPartition, j *core.Job) bool {
	if j.PlacementCounts[owned.ID] == 0 || j.CancellationAcknowledged(owned.ID) || !js.core.LeaseCoversCancellation {
		return false
	}
	for _, p := range j.Placements {
		if p.Partition != owned.ID || p.Finishing {
			continue
		}
		m := js.core.Machines[p.Machine]
		if m == nil || m.ReportedToken < js.core.MinToken(owned, m.ID) || !p.OwnerState.Reported || !taskStarted(p.OwnerState.State) {
			return false
		}
	}
	return true
}

// taskStarted reports whether a task in that state has started, so that it can't do so any more.
func taskStarted(s api.TaskState) bool { return s != api.TaskFetching && s != api.TaskWaiting }

// StopCancelledTasks has the machines called that hold a cancelled job's tasks, once, as soon as the
// cancellation is read: their next reports may be seconds away, and what has still to begin keeps
// the cancellation from being told.
func (js *JobService) StopCancelledTasks(owned *core.OwnedPartition, j *core.Job) {
	if j.PlacementCounts[owned.ID] == 0 {
		return
	}
	for _, i := range slices.Sorted(maps.Keys(j.Placements)) { // in order: the calls are made in it
		p := j.Placements[i]
		if m := js.core.Machines[p.Machine]; p.Partition == owned.ID && !p.Finishing && !p.OwnerState.HaltRequested && m != nil {
			p.OwnerState.HaltRequested = true
			js.c.agents.ContactNow(m)
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
	cancellationWaitForwarded = core.PeerForwardTimeout * 3 / 4
)

// RespondWhenAcknowledged answers with a final state: at once, or when the book comes to it. Otherwise the
// user is to ask again later.
func (js *JobService) RespondWhenAcknowledged(forwarded bool, respond func(api.JobStatus), retryLater func()) func(api.JobStatus) {
	wait := cancellationWait
	if forwarded {
		wait = cancellationWaitForwarded
	}
	requestedAt := js.core.Now
	finish := func(s api.JobStatus) {
		js.core.Metrics.ObserveLatency("cancelled", js.core.Now.Sub(requestedAt))
		elapsed := js.core.Now.Sub(requestedAt)
		if j := js.core.State.Jobs[s.JobID]; j != nil && j.Cancelled {
			elapsed = max(elapsed, time.Duration(js.core.WallClock-j.CancelledAt)*time.Millisecond)
		}
		slog.Info("job cancelled", "job", s.JobID, "state", s.State, "after", elapsed.Seconds())
		respond(s)
	}
	return func(s api.JobStatus) {
		if s.Terminal() {
			finish(s)
			return
		}
		js.pendingCancellations = append(js.pendingCancellations, pendingCancellation{s.JobID, js.core.Now.Add(wait), finish, retryLater})
	}
}

// AnswerCancellations answers requests whose cancellation the book now lets be told.
func (js *JobService) AnswerCancellations() {
	if len(js.pendingCancellations) == 0 {
		return
	}
	waiting := js.pendingCancellations
	js.pendingCancellations = nil
	for _, pending := range waiting {
		s, ok := js.finalStatus(pending.jobID)
		switch {
		case ok:
			pending.respond(s)
		case js.core.Now >= pending.deadline:
			js.logPendingCancellation(pending.jobID)
			pending.retryLater()
		default:
			js.pendingCancellations = append(js.pendingCancellations, pending)
		}
	}
}

// logPendingCancellation names whom a cancellation waits for.
func (js *JobService) logPendingCancellation(jobID api.JobID) {
	j := js.core.State.Jobs[jobID]
	if j == nil {
		return
	}
	var partitions []api.PartitionID
	var owners []api.ControllerID
	for p := range js.core.State.Partitions {
		if id := api.PartitionID(p); j.PlacementCounts[id] > 0 && !j.CancellationAcknowledged(id) {
			partitions, owners = append(partitions, id), append(owners, js.core.State.Partitions[p].Owner)
		}
	}
	slog.Info("cancellation pending", core.TenantAttr(j), "job", jobID, "for_partitions", partitions, "owners", owners,
		"since_s", float64(js.core.WallClock-j.CancelledAt)/1000)
}
