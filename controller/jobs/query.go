package jobs

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/fairqueue"
)

// This file answers queries for a job's status: from the cluster state if the state is final,
// otherwise by a linearizable read.

const reasonNoSuchJob = "no such job"

// JobStatus returns the status of a job that the cluster state holds.
func (s *Service) JobStatus(id api.JobID) (api.JobStatus, bool) {
	if j := s.core.State.Jobs[id]; j != nil {
		status := api.JobStatus{JobID: id, State: j.State()}
		done, running := j.CompletedCount, len(j.Placements)
		if status.Terminal() {
			running = 0
		}
		status.Done, status.Running = &done, &running
		return status, true
	}
	if state, ok := s.core.State.JobResults[id]; ok {
		return api.JobStatus{JobID: id, State: state}, true
	}
	return api.JobStatus{}, false
}

// finalStatus returns a job's status if it is final.
func (s *Service) finalStatus(id api.JobID) (api.JobStatus, bool) {
	status, ok := s.JobStatus(id)
	return status, ok && status.Terminal()
}

// LookupJob finds a job by a linearizable read.
func (s *Service) LookupJob(id api.JobID, found func(api.JobStatus), notFound, fail func()) {
	s.deps.Log.LinearizableRead(func() { s.FindJob(id, found, notFound, fail) }, fail)
}

// FindJob finds a job in the cluster state, which must be current, or by its stored result.
func (s *Service) FindJob(id api.JobID, found func(api.JobStatus), notFound, fail func()) {
	if status, ok := s.JobStatus(id); ok {
		found(status)
		return
	}
	s.lookups.add(id, resultWaiter{since: s.core.Now, found: found, notFound: notFound, fail: fail})
}

// Poll answers a query for a job's status.
func (s *Service) Poll(c message.Poll) {
	if s.deps.Tenants.Hosted() {
		s.deps.Tenants.PollHosted(c)
		return
	}
	id := api.JobID(c.Ref)
	if !api.ValidJobID(c.Ref) {
		s.core.ReplyError(c.Req, api.StatusNotFound, reasonNoSuchJob)
		return
	}
	reply := func(status api.JobStatus) { s.core.Reply(c.Req, api.StatusOK, status, 0) }
	if status, ok := s.finalStatus(id); ok {
		reply(status)
		return
	}
	if s.deferPoll(c.Req, id) {
		return
	}
	forward := func() { s.Forward(c.Req, message.Forward{Kind: forwardPoll, Ref: c.Ref}, c.Forwarded) }
	if s.ShouldForward(c.Forwarded) {
		forward()
		return
	}
	notFound := func() { s.core.ReplyError(c.Req, api.StatusNotFound, reasonNoSuchJob) }
	s.LookupJob(id, reply, notFound, forward)
}

// deferPoll refuses a query under overload, with a time to retry, unless the job is in the current
// slice of jobs.
func (s *Service) deferPoll(req message.ReqID, id api.JobID) bool {
	sliceCount := fairqueue.SliceCount(s.core.Metrics.Usage.QueuedRequests, core.OverloadQueueLength)
	eligible, retryIn := fairqueue.Admit(id, s.core.WallClock, sliceCount)
	if eligible {
		return false
	}
	s.core.Metrics.PollsDeferred++
	s.core.Reply(req, api.StatusServiceUnavailable, api.ErrorBody{Error: "overloaded: queries for this job are deferred"}, int(retryIn.Seconds())+1)
	return true
}
