package tenancy

// This file handles tenants' submissions of jobs.

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

// submission is a tenant's submission in progress.
type submission struct {
	service *Service
	command message.Submit
	tries   int           // remaining decisions after a linearizable read
	entry   *tenant.Entry // the tenant that submits
	spec    *api.JobSpec  // with the internal id
	ref     api.JobID     // the id that the tenant chose
}

// SubmitHosted handles a tenant's submission. The write is conditional on the version of the tenant's
// record, so that it fails after a suspension or a revoked key that this controller has not read yet.
func (ts *Service) SubmitHosted(c message.Submit, tries int) {
	s := &submission{service: ts, command: c, tries: tries}
	if ts.deps.Jobs.ShouldForward(c.Forwarded) || len(ts.core.MachineTypes) == 0 {
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
	if _, ok := ts.deps.Jobs.JobStatus(spec.Ref); ok {
		s.replyIfKnown(s.forward)
		return
	}
	if s.refuseIfNotAdmitted() {
		return
	}
	s.write()
}

// forward forwards the submission to another controller.
func (s *submission) forward() {
	s.service.forwardHosted(s.command.Req, hostedForward{Kind: forwardSubmit, Body: s.command.Body, Caller: s.command.Caller}, s.command.Forwarded)
}

// retry repeats the decision after a linearizable read, or refuses the submission if no tries are
// left: a refusal must not rest on outdated records.
func (s *submission) retry(refuse func()) {
	if s.tries == 0 {
		refuse()
		return
	}
	s.service.deps.Follower.LinearizableRead(func() { s.service.SubmitHosted(s.command, s.tries-1) }, s.forward)
}

// replyIfKnown answers with the state of the job if it was accepted earlier, and otherwise calls
// unknown.
func (s *submission) replyIfKnown(unknown func()) {
	s.service.deps.Jobs.LookupJob(s.spec.Ref, func(status api.JobStatus) {
		s.service.core.Reply(s.command.Req, 200, api.JobStatus{JobID: s.ref, State: status.State}, 0)
	}, unknown, s.forward)
}

// refuse refuses the submission unless the job was accepted earlier. The submission is idempotent:
// an accepted job is never refused.
func (s *submission) refuse(status int, reason string, wait time.Duration) {
	s.replyIfKnown(func() {
		s.service.core.Reply(s.command.Req, status, api.ErrorBody{Error: reason}, int(math.Ceil(wait.Seconds())))
	})
}

// refuseIfNotAdmitted refuses the submission if the tenant's state, the job's demands or the tenant's
// limits forbid it, and reports whether it did.
func (s *submission) refuseIfNotAdmitted() bool {
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
	if reason := ts.deps.Jobs.InfeasibleReason(spec); reason != "" {
		s.refuse(422, reason, 0)
		return true
	}
	if reason := ts.deps.Pools.CheckPoolRequests(spec, entry.Name); reason != "" {
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

// transaction returns the write of the job. It is conditional on the absence of the job and of its
// result, and on the versions of the records of the tenant and of the required pools.
func (s *submission) transaction(data []byte) api.Txn {
	state, jobKey := s.service.core.State, clusterstate.KeyJob+string(s.spec.Ref)
	txn := api.Txn{
		If:     []api.Condition{{Key: jobKey}, {Key: clusterstate.KeyJobResult + string(s.spec.Ref)}, state.VersionCondition(KeyTenant + string(s.entry.Name))},
		Writes: []api.Write{{Put: jobKey, Value: data}},
	}
	for _, need := range s.spec.Needs { // otherwise the job could wait for a pool that was removed concurrently
		txn.If = append(txn.If, state.VersionCondition(core.KeyPool+string(need.Pool)))
	}
	return txn
}

// write writes the job and answers.
func (s *submission) write() {
	ts, name, id := s.service, s.entry.Name, s.spec.Ref
	value := clusterstate.JobValue{Spec: s.spec, Split: ts.deps.Jobs.SplitAcrossPartitions(s.spec), AcceptedAt: ts.core.WallClock, Tenant: string(name), TenantJobID: s.ref}
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
		case 400: // a peer would be refused too
			s.refuse(400, core.ReasonSpecTooLarge, 0)
		case 409:
			s.retry(func() { s.replyIfKnown(s.forward) })
		case 429:
			ts.core.ReplyError(s.command.Req, 503, "the state service refused the write: rate limit reached")
		default:
			s.forward()
		}
		ts.removePendingSubmission(name, id)
	})
}

// accepted answers that the job is written. The job counts as a pending submission until the cluster
// state holds it.
func (s *submission) accepted() {
	ts, name, id := s.service, s.entry.Name, s.spec.Ref
	ts.CountSubmission(name, "")
	ts.core.Reply(s.command.Req, 201, api.JobStatus{JobID: s.ref, State: api.JobPending}, 0)
	slog.Info(core.LogJobAccepted, "job", id, core.SpecAttr(s.spec))
	written := func() { ts.removePendingSubmission(name, id) }
	ts.deps.Follower.LinearizableRead(written, written)
}
