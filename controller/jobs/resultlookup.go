package jobs

import (
	"log/slog"
	"slices"
	"strings"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/internal/exactjson"
	"basaltwall/jobresult"
)

// This file looks up the final states of jobs that the cluster state no longer holds, with at most
// one request to the state service in flight.

// resultLookups are the lookups of final job states in the state service.
type resultLookups struct {
	queue    jobresult.Queue
	waiters  map[api.JobID][]resultWaiter
	inFlight bool
	nextAt   api.Time
}

// resultWaiter is a request that needs a job's final state.
type resultWaiter struct {
	since    api.Time
	sequence uint64 // of the lookup in the queue
	found    func(api.JobStatus)
	notFound func()
	fail     func()
}

func newResultLookups() resultLookups {
	return resultLookups{waiters: map[api.JobID][]resultWaiter{}}
}

func (l *resultLookups) add(id api.JobID, w resultWaiter) {
	w.sequence = l.queue.Add(id)
	l.waiters[id] = append(l.waiters[id], w)
}

// maxPendingLookups is the queue length above which lookups without a waiting request are removed.
const maxPendingLookups = 10_000

// SendResultLookup sends the next request for final states. A user's request that times out fails,
// but its lookup stays queued, so that the state is known when the user retries.
func (s *Service) SendResultLookup() {
	s.expireResultWaiters()
	lookups := &s.lookups
	if lookups.inFlight || s.core.Now < lookups.nextAt {
		return
	}
	query, ok := lookups.queue.Next()
	if !ok {
		return
	}
	lookups.inFlight, lookups.nextAt = true, s.core.Now.Add(s.core.LookupInterval)
	s.core.CallStore(resultQuery(query), func(response message.StoreResponse) {
		lookups.inFlight = false
		switch {
		case query.JobID != "" && (response.Status == api.StatusOK || response.Status == api.StatusNotFound):
			s.handleSingleResult(query, response)
		case query.JobID == "" && response.Status == api.StatusOK:
			s.handleResultPage(query, response)
		}
	})
}

// expireResultWaiters fails the requests that have timed out, in the order of job ids, so that the
// effects are deterministic.
func (s *Service) expireResultWaiters() {
	lookups := &s.lookups
	expired := func(w resultWaiter) bool { return s.core.Now.Sub(w.since) > core.StoreTimeout }
	var expiredJobs []api.JobID
	for id, waiters := range lookups.waiters {
		if expired(waiters[0]) {
			expiredJobs = append(expiredJobs, id)
		}
	}
	slices.Sort(expiredJobs)
	for _, id := range expiredJobs {
		waiters := lookups.waiters[id]
		count := 0
		for ; count < len(waiters) && expired(waiters[count]); count++ {
			waiters[count].fail()
		}
		if count < len(waiters) {
			lookups.waiters[id] = waiters[count:]
			continue
		}
		delete(lookups.waiters, id)
		if lookups.queue.Len() > maxPendingLookups {
			lookups.queue.Remove(id)
		}
	}
}

// resultQuery returns the read of one job's final state, or of a page of final states.
func resultQuery(query jobresult.Request) message.StoreCall {
	if query.JobID != "" {
		return message.StoreCall{Get: clusterstate.KeyJobResult + string(query.JobID)}
	}
	return message.StoreCall{Page: &message.PageRequest{
		Prefix: clusterstate.KeyJobResult,
		After:  clusterstate.KeyJobResult + query.After,
		Limit:  jobresult.PageSize,
	}}
}

func (s *Service) handleSingleResult(query jobresult.Request, response message.StoreResponse) {
	var state api.JobState
	if response.Status == api.StatusOK && exactjson.Decode(response.Pair.Value, &state) != nil {
		return
	}
	if result, ok := s.lookups.queue.HandleSingle(query, state); ok {
		s.deliverResult(result)
	}
}

func (s *Service) handleResultPage(query jobresult.Request, response message.StoreResponse) {
	var states []jobresult.Result
	for _, pair := range response.Page.Pairs {
		result := jobresult.Result{JobID: api.JobID(strings.TrimPrefix(pair.Key, clusterstate.KeyJobResult))}
		if err := exactjson.Decode(pair.Value, &result.State); err != nil {
			slog.Error("final job state could not be decoded", "key", pair.Key, "err", err)
		}
		states = append(states, result)
	}
	for _, result := range s.lookups.queue.HandlePage(query, states, response.Page.More) {
		s.deliverResult(result)
	}
}

// deliverResult answers the requests that wait for a job's final state. An absent state is an
// answer only for requests that arrived before the read: the job may have ended since, and another
// controller may already have reported its end to the user.
func (s *Service) deliverResult(result jobresult.Result) {
	waiters := s.lookups.waiters[result.JobID]
	delete(s.lookups.waiters, result.JobID)
	if result.State != "" {
		s.core.State.SetJobResult(result.JobID, result.State)
		for _, w := range waiters {
			w.found(api.JobStatus{JobID: result.JobID, State: result.State})
		}
		return
	}
	if first := slices.IndexFunc(waiters, func(w resultWaiter) bool { return w.sequence > result.MaxSeq }); first >= 0 {
		s.lookups.waiters[result.JobID], waiters = waiters[first:], waiters[:first]
	}
	for _, w := range waiters {
		w.notFound()
	}
}
