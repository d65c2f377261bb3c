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

// This file cancels jobs, in two steps. First the cancellation is written to the job's key, so
// that no further start can be recorded. Then each owner of a partition with tasks of the job
// acknowledges the cancellation in a round (see acknowledge.go). The user is answered once the
// cluster state holds all acknowledgements, so that all controllers give the same answer. After
// that, either an owner stops the task or the lease of its machine expires, without the state
// service. docs/cancellations.md compares this with the alternatives.

// cancelTries is the maximum number of attempts to write a cancellation: a concurrent change of
// the job's record makes one fail.
const cancelTries = 5

// Maximum time that a request waits for its cancellation to be acknowledged. It is below the
// timeouts of users (5 s) and of peers that forward requests.
const (
	cancellationWait          = 2 * time.Second
	cancellationWaitForwarded = core.PeerForwardTimeout * 3 / 4
)

// Cancel cancels a job for a user.
func (s *Service) Cancel(c message.Cancel) {
	if s.deps.Tenants.Hosted() {
		s.deps.Tenants.CancelHosted(c)
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

// RecordCancellation writes the cancellation to the job's key and then reads the job's state back:
// a completion that was recorded earlier takes precedence. It may respond with a state that is
// not final yet, see RespondWhenAcknowledged.
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

// pendingCancellation is a request whose cancellation is recorded but not acknowledged yet.
type pendingCancellation struct {
	jobID      api.JobID
	deadline   api.Time
	respond    func(api.JobStatus)
	retryLater func()
}

// RespondWhenAcknowledged returns the callback for RecordCancellation. The callback responds once
// the job's state is final, and calls retryLater if that takes too long.
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

// PendingCancellations returns the number of requests at this controller whose cancellation is not
// acknowledged yet.
func (s *Service) PendingCancellations() int { return len(s.pendingCancellations) }

// ReplyToCancellations answers the requests whose cancellation has been acknowledged or whose
// deadline has passed.
func (s *Service) ReplyToCancellations() {
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

// logPendingCancellation logs the partitions, with their owners, that have not acknowledged a
// cancellation.
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
