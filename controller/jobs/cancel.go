package jobs

import (
	"encoding/json"
	"log/slog"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// This file cancels jobs. A cancellation has two steps. It is written to the job's key, after
// which no start of the job can be recorded. Then each owner of a partition whose machines
// hold tasks of the job records in a round that it has read the cancellation (see
// acknowledge.go), and only when all of them have is the user told: by the cluster state
// alone, so that all controllers answer the same. From then on each such machine either hears
// from an owner that stops the task, or from none, and its lease ends; neither needs the state
// service. docs/cancellations.md compares this with other ways.

// cancelTries is how often a cancellation is written anew, as the job's record changes under it.
const cancelTries = 5

// How long a request for a cancellation waits here to be acknowledged: users wait 5 s for an
// answer, peers that have forwarded a request less.
const (
	cancellationWait          = 2 * time.Second
	cancellationWaitForwarded = core.PeerForwardTimeout * 3 / 4
)

// Cancel cancels a job for a user.
func (s *Service) Cancel(c message.Cancel) {
	if s.siblings.Tenants.Enabled() {
		s.siblings.Tenants.CancelHosted(c)
		return
	}
	id := api.JobID(c.Ref)
	notFound := func() { s.core.ReplyError(c.Req, api.StatusNotFound, reasonNoSuchJob) }
	if !api.ValidJobID(c.Ref) {
		notFound()
		return
	}
	respond := func(status api.JobStatus) {
		s.core.Reply(c.Req, api.StatusOK, api.JobStatus{JobID: id, State: status.State}, 0)
	}
	if status, ok := s.finalStatus(id); ok {
		respond(status)
		return
	}
	forward := func() { s.Forward(c.Req, message.Forward{Kind: forwardCancel, Ref: c.Ref}, c.Forwarded) }
	if s.ShouldForward(c.Forwarded) {
		forward()
		return
	}
	retryLater := func() {
		s.core.ReplyError(c.Req, api.StatusServiceUnavailable, core.ReasonCancellationPending)
	}
	s.RecordCancellation(id, cancelTries, s.RespondWhenAcknowledged(c.Forwarded, respond, retryLater), notFound, forward)
}

// RecordCancellation records the cancellation in the job's key and then reads back what became
// of the job: a completion recorded before counts. The state that it responds with may be that
// of before the cancellation, see RespondWhenAcknowledged.
func (s *Service) RecordCancellation(id api.JobID, tries int, respond func(api.JobStatus), notFound, fail func()) {
	if tries == 0 {
		fail()
		return
	}
	readBack := func() {
		s.LookupJob(id, func(status api.JobStatus) {
			if j := s.core.State.Jobs[id]; j != nil && !j.Terminal() {
				s.RecordCancellation(id, tries-1, respond, notFound, fail)
				return
			}
			respond(status)
		}, notFound, fail)
	}
	j := s.core.State.Jobs[id]
	if j == nil || j.Terminal() {
		readBack()
		return
	}
	value := j.JobValue
	value.Cancelled, value.CancelledAt = true, s.core.WallClock
	data, err := json.Marshal(value)
	if err != nil {
		fail()
		return
	}
	key := clusterstate.KeyJob + string(id)
	tx := api.Txn{If: []api.Condition{{Key: key, Version: j.Version}}, Writes: []api.Write{{Put: key, Value: data}}}
	s.core.CallStoreTxn(tx, func(response message.StoreResponse) {
		if response.Status != api.StatusOK && response.Status != api.StatusConflict {
			fail()
			return
		}
		readBack()
	})
}

// pendingCancellation is a request whose cancellation is recorded and not yet acknowledged.
type pendingCancellation struct {
	jobID      api.JobID
	deadline   api.Time
	respond    func(api.JobStatus)
	retryLater func()
}

// RespondWhenAcknowledged returns what RecordCancellation is to respond to: it responds with a
// final state, at once or when the cluster state comes to one. If that takes too long, the
// user is to retry later.
func (s *Service) RespondWhenAcknowledged(forwarded bool, respond func(api.JobStatus), retryLater func()) func(api.JobStatus) {
	wait := cancellationWait
	if forwarded {
		wait = cancellationWaitForwarded
	}
	requestedAt := s.core.Now
	finish := func(status api.JobStatus) {
		elapsed := s.core.Now.Sub(requestedAt)
		s.core.Metrics.ObserveLatency("cancelled", elapsed)
		if j := s.core.State.Jobs[status.JobID]; j != nil && j.Cancelled {
			elapsed = max(elapsed, time.Duration(s.core.WallClock-j.CancelledAt)*time.Millisecond)
		}
		slog.Info(core.LogJobCancelled, "job", status.JobID, "state", status.State, "after", elapsed.Seconds())
		respond(status)
	}
	return func(status api.JobStatus) {
		if status.Terminal() {
			finish(status)
			return
		}
		s.pendingCancellations = append(s.pendingCancellations, pendingCancellation{
			jobID:      status.JobID,
			deadline:   s.core.Now.Add(wait),
			respond:    finish,
			retryLater: retryLater,
		})
	}
}

// PendingCancellations is how many requests wait here for a cancellation's acknowledgement.
func (s *Service) PendingCancellations() int { return len(s.pendingCancellations) }

// AnswerCancellations answers the requests whose cancellation is acknowledged by now, and
// those that have waited for too long.
func (s *Service) AnswerCancellations() {
	if len(s.pendingCancellations) == 0 {
		return
	}
	waiting := s.pendingCancellations
	s.pendingCancellations = nil
	for _, pending := range waiting {
		status, ok := s.finalStatus(pending.jobID)
		switch {
		case ok:
			pending.respond(status)
		case s.core.Now >= pending.deadline:
			s.logPendingCancellation(pending.jobID)
			pending.retryLater()
		default:
			s.pendingCancellations = append(s.pendingCancellations, pending)
		}
	}
}

// logPendingCancellation logs whose acknowledgement a cancellation waits for.
func (s *Service) logPendingCancellation(id api.JobID) {
	j := s.core.State.Jobs[id]
	if j == nil {
		return
	}
	var partitions []api.PartitionID
	var owners []api.ControllerID
	for i := range s.core.State.Partitions {
		if p := api.PartitionID(i); j.PlacementCounts[p] > 0 && !j.CancellationAcknowledged(p) {
			partitions, owners = append(partitions, p), append(owners, s.core.State.Partitions[i].Owner)
		}
	}
	slog.Info("cancellation pending", core.TenantAttr(j), "job", id, "for_partitions", partitions, "owners", owners,
		"since_s", float64(s.core.WallClock-j.CancelledAt)/1000)
}
