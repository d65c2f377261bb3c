package tenancy

// This file takes tenants' submissions of jobs.

import (
	"encoding/json"
	"log/slog"
	"math"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/tenant"
)

// submission is a tenant's submission while it is decided on.
type submission struct {
	service *Service
	command message.Submit
	tries   int           // how often it may be decided on again, by what is current
	entry   *tenant.Entry // whose it is
	spec    *api.JobSpec  // under the id by which it is kept
	ref     api.JobID     // the id that the tenant chose
}

// SubmitHosted takes a tenant's submission. It is written on the condition that the
// tenant's record is as it was read: whatever is decided here by an older one, a
// suspension or a revoked key that this controller has not read yet, is not written.
func (ts *Service) SubmitHosted(c message.Submit, tries int) {
	s := &submission{service: ts, command: c, tries: tries}
	if ts.siblings.Jobs.ShouldForward(c.Forwarded) || len(ts.core.MachineTypes) == 0 {
		s.forward()
		return
	}
	entry, err := ts.authenticateTenant(c.Caller)
	if err != nil {
		s.retry(func() { ts.core.RefuseError(c.Req, err) })
		return
	}
	spec, err := api.ParseJob(c.Body)
	if err != nil {
		ts.core.ReplyError(c.Req, 400, err.Error())
		return
	}
	s.entry, s.spec, s.ref = entry, spec, spec.Ref
	spec.Ref = tenant.JobID(entry.Name, s.ref)
	if _, ok := ts.siblings.Jobs.JobStatus(spec.Ref); ok {
		s.replyIfKnown(s.forward)
		return
	}
	if s.refused() {
		return
	}
	s.write()
}

// forward passes the submission on to another controller.
func (s *submission) forward() {
	s.service.forwardHosted(s.command.Req, hostedForward{Kind: forwardSubmit, Body: s.command.Body, Caller: s.command.Caller}, s.command.Forwarded)
}

// retry decides on the submission again by what is current, or refuses it if that has been done:
// what is refused must be refused by what is current.
func (s *submission) retry(refuse func()) {
	if s.tries == 0 {
		refuse()
		return
	}
	s.service.siblings.Follower.LinearizableRead(func() { s.service.SubmitHosted(s.command, s.tries-1) }, s.forward)
}

// replyIfKnown answers with the state of the job if it was accepted before.
func (s *submission) replyIfKnown(unknown func()) {
	s.service.siblings.Jobs.LookupJob(s.spec.Ref, func(status api.JobStatus) {
		s.service.core.Reply(s.command.Req, 200, api.JobStatus{JobID: s.ref, State: status.State}, 0)
	}, unknown, s.forward)
}

// refuse refuses the submission, unless it was accepted before: a job that was accepted is never
// refused, whatever holds by now.
func (s *submission) refuse(status int, reason string, wait time.Duration) {
	s.replyIfKnown(func() {
		s.service.core.Reply(s.command.Req, status, api.ErrorBody{Error: reason}, int(math.Ceil(wait.Seconds())))
	})
}

// refused refuses the submission if its tenant, its demands or the tenant's limits forbid it.
func (s *submission) refused() bool {
	ts, entry, spec := s.service, s.entry, s.spec
	switch {
	case entry.State != tenant.Active:
		s.retry(func() {
			ts.CountSubmission(entry.Name, "suspended")
			s.refuse(403, "suspended: "+entry.SuspendReason, 0)
		})
		return true
	case !slices.Contains(entry.Teams, spec.Team):
		s.retry(func() { s.refuse(422, "bottega: unknown team", 0) })
		return true
	}
	if reason := ts.siblings.Jobs.InfeasibleReason(spec); reason != "" {
		s.refuse(422, reason, 0)
		return true
	}
	if reason := ts.siblings.Pools.CheckPoolNeeds(spec, entry.Name); reason != "" {
		s.retry(func() { s.refuse(422, reason, 0) })
		return true
	}
	if limit := ts.admit(entry); limit != nil {
		ts.CountSubmission(entry.Name, limit.field)
		s.refuse(429, limit.field+": "+limit.reason, max(limit.retryAfter, time.Second))
		return true
	}
	return false
}

// transaction accepts the job if neither it nor a result of it is there, and the tenant's record
// and those of the pools that the job needs are as they were read.
func (s *submission) transaction(data []byte) api.Txn {
	state, jobKey := s.service.core.State, clusterstate.KeyJob+string(s.spec.Ref)
	txn := api.Txn{
		If:     []api.Condition{{Key: jobKey}, {Key: clusterstate.KeyJobResult + string(s.spec.Ref)}, state.VersionCondition(KeyTenant + string(s.entry.Name))},
		Writes: []api.Write{{Put: jobKey, Value: data}},
	}
	for _, need := range s.spec.Needs { // or it would wait for a pool that was removed meanwhile
		txn.If = append(txn.If, state.VersionCondition(core.KeyPool+string(need.Pool)))
	}
	return txn
}

// write writes the job and answers.
func (s *submission) write() {
	ts, name, id := s.service, s.entry.Name, s.spec.Ref
	value := clusterstate.JobValue{Spec: s.spec, Split: ts.siblings.Jobs.SplitAcrossPartitions(s.spec), AcceptedAt: ts.core.WallClock, Tenant: string(name), TenantJobID: s.ref}
	data, err := json.Marshal(value)
	if err != nil || ts.core.JobExceedsValueSize(data) {
		s.refuse(400, core.ReasonSpecTooLarge, 0)
		return
	}
	txn := s.transaction(data)
	ts.addPendingSubmission(name, id)
	ts.core.CallStoreTxn(txn, func(response message.StoreResponse) {
		switch response.Status {
		case 200:
			s.accepted()
			return
		case 409:
			s.retry(func() { s.replyIfKnown(s.forward) })
		case 429:
			ts.core.ReplyError(s.command.Req, 503, "the state service is at its limit")
		default:
			s.forward()
		}
		ts.removePendingSubmission(name, id)
	})
}

// accepted answers that the job is written. Until the cluster state has it, it counts as pending.
func (s *submission) accepted() {
	ts, name, id := s.service, s.entry.Name, s.spec.Ref
	ts.CountSubmission(name, "")
	ts.core.Reply(s.command.Req, 201, api.JobStatus{JobID: s.ref, State: api.JobPending}, 0)
	slog.Info(core.LogJobAccepted, "job", id, core.SpecAttr(s.spec))
	written := func() { ts.removePendingSubmission(name, id) }
	ts.siblings.Follower.LinearizableRead(written, written)
}
