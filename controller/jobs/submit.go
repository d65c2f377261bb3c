package jobs

import (
	"cmp"
	"encoding/json"
	"log/slog"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// This file handles submissions: a job is validated, admitted and written to the state service.

// hostedSubmitTries is the number of times that a hosted service repeats a refused decision after
// a linearizable read.
const hostedSubmitTries = 2

// Submit accepts or refuses a job. It is idempotent: a job that was accepted earlier is refused
// only for a malformed request, even if machine types or limits have changed since.
func (s *Service) Submit(c message.Submit) {
	if s.deps.Tenants.Hosted() {
		s.deps.Tenants.SubmitHosted(c, hostedSubmitTries)
		return
	}
	spec, err := api.ParseJob(c.Body)
	if err != nil {
		s.core.ReplyError(c.Req, api.StatusBadRequest, err.Error())
		return
	}
	sub := &submission{service: s, request: c, spec: spec}
	if status, ok := s.finalStatus(spec.Ref); ok {
		sub.replyKnown(status)
		return
	}
	if s.ShouldForward(c.Forwarded) || len(s.core.MachineTypes) == 0 {
		sub.forward()
		return
	}
	if _, ok := s.core.State.Jobs[spec.Ref]; ok {
		s.LookupJob(spec.Ref, sub.replyKnown, sub.forward, sub.forward)
		return
	}
	if reason := cmp.Or(s.InfeasibleReason(spec), s.deps.Pools.CheckPoolRequests(spec, "")); reason != "" {
		sub.refuse(api.StatusUnprocessableEntity, reason)
		return
	}
	if !s.allowSubmission() {
		s.core.ReplyError(c.Req, api.StatusServiceUnavailable, "submission rate exceeds this controller's share of the state service's write limit")
		return
	}
	sub.write()
}

// submission is a user's request to run a job.
type submission struct {
	service *Service
	request message.Submit
	spec    *api.JobSpec
}

func (sub *submission) forward() {
	f := message.Forward{Kind: forwardSubmit, Body: sub.request.Body}
	sub.service.Forward(sub.request.Req, f, sub.request.Forwarded)
}

// replyKnown answers with the state of a job that was accepted earlier.
func (sub *submission) replyKnown(status api.JobStatus) {
	sub.service.core.Reply(sub.request.Req, api.StatusOK, api.JobStatus{JobID: status.JobID, State: status.State}, 0)
}

// refuse refuses the job unless a linearizable read shows that it was accepted earlier.
func (sub *submission) refuse(status int, reason string) {
	notFound := func() { sub.service.core.ReplyError(sub.request.Req, status, reason) }
	sub.service.LookupJob(sub.spec.Ref, sub.replyKnown, notFound, sub.forward)
}

// write writes the job's record on the condition that no job with this id exists or has ended.
func (sub *submission) write() {
	s := sub.service
	value, err := json.Marshal(clusterstate.JobValue{Spec: sub.spec, Split: s.SplitAcrossPartitions(sub.spec), AcceptedAt: s.core.WallClock})
	if err != nil || s.core.JobExceedsValueSize(value) {
		sub.refuse(api.StatusBadRequest, core.ReasonSpecTooLarge)
		return
	}
	jobKey, resultKey := clusterstate.KeyJob+string(sub.spec.Ref), clusterstate.KeyJobResult+string(sub.spec.Ref)
	tx := api.Txn{
		If:     []api.Condition{{Key: jobKey}, {Key: resultKey}},
		Writes: []api.Write{{Put: jobKey, Value: value}},
	}
	// The timeout is short if a peer can take over: both may write the same job, and the
	// condition lets only one of the writes succeed.
	timeout := core.StoreTimeout
	if !sub.request.Forwarded && len(s.ForwardTargets()) > 0 {
		timeout = core.StoreSlowAfter
	}
	s.core.CallStore(message.StoreCall{Txn: &tx, Timeout: timeout}, sub.handleWritten)
}

func (sub *submission) handleWritten(response message.StoreResponse) {
	s, id := sub.service, sub.spec.Ref
	switch response.Status {
	case api.StatusOK:
		s.core.Reply(sub.request.Req, api.StatusCreated, api.JobStatus{JobID: id, State: api.JobPending}, 0)
		slog.Info(core.LogJobAccepted, "job", id, core.SpecAttr(sub.spec))
		s.deps.Log.LinearizableRead(func() {}, func() {}) // reads the job's record, so that its first round comes soon
	case api.StatusConflict:
		s.LookupJob(id, sub.replyKnown, sub.forward, sub.forward)
	case api.StatusBadRequest: // a peer would be refused too
		sub.refuse(api.StatusBadRequest, core.ReasonSpecTooLarge)
	case api.StatusTooManyRequests: // the state service would refuse a peer too
		s.core.ReplyError(sub.request.Req, api.StatusServiceUnavailable, "the state service refused the write: rate limit reached")
	default:
		sub.forward()
	}
}
