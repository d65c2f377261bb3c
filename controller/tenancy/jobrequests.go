package tenancy

// This file answers tenants' status queries and cancellations of jobs.

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/tenant"
)

// withTenantJob authenticates a tenant's request about a job and calls callback with the job's
// internal id, and with functions that answer that there is no such job or forward the request.
func (ts *Service) withTenantJob(req message.ReqID, f hostedForward, forwarded bool, callback func(id api.JobID, notFound, forward func())) {
	forward := func() { ts.forwardHosted(req, f, forwarded) }
	if ts.deps.Jobs.ShouldForward(forwarded) {
		forward()
		return
	}
	notFound := func() { ts.core.ReplyError(req, 404, "no such job") }
	ts.withTenant(req, f.Caller, func(entry *tenant.Entry) {
		if !api.ValidJobID(f.Ref) {
			notFound()
			return
		}
		callback(tenant.JobID(entry.Name, api.JobID(f.Ref)), notFound, forward)
	}, forward)
}

// PollHosted answers with the state of a tenant's job.
func (ts *Service) PollHosted(c message.Poll) {
	request := hostedForward{Kind: forwardPoll, Ref: c.Ref, Caller: c.Caller}
	ts.withTenantJob(c.Req, request, c.Forwarded, func(id api.JobID, notFound, forward func()) {
		ts.deps.Jobs.FindJob(id, func(s api.JobStatus) {
			s.JobID = api.JobID(c.Ref)
			ts.core.Reply(c.Req, 200, s, 0)
		}, notFound, forward)
	})
}

// cancelTries is the maximum number of attempts to write a tenant's cancellation.
const cancelTries = 5

// CancelHosted cancels a tenant's job.
func (ts *Service) CancelHosted(c message.Cancel) {
	request := hostedForward{Kind: forwardCancel, Ref: c.Ref, Caller: c.Caller}
	ts.withTenantJob(c.Req, request, c.Forwarded, func(id api.JobID, notFound, forward func()) {
		acknowledged := func(s api.JobStatus) {
			ts.core.Reply(c.Req, 200, api.JobStatus{JobID: api.JobID(c.Ref), State: s.State}, 0)
		}
		retryLater := func() { ts.core.ReplyError(c.Req, 503, core.ReasonCancellationPending) }
		ts.deps.Jobs.RecordCancellation(id, cancelTries, ts.deps.Jobs.RespondWhenAcknowledged(c.Forwarded, acknowledged, retryLater), notFound, forward)
	})
}
