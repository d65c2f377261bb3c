package controller

import (
	"encoding/json"
	"log/slog"
	"slices"
	"strings"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/jobresult"
)

// resultLookups are the questions for final states that this process does not remember.
type resultLookups struct {
	queue    jobresult.Queue
	waiters  map[api.JobID][]resultWaiter
	inFlight bool
	nextAt   api.Time
}

type resultWaiter struct {
	since    api.Time
	sequence uint64 // of its question
	found    func(api.JobStatus)
	notFound func()
	fail     func()
}

// maxPendingLookups bounds the questions that stay though nobody waits for them any more.
const maxPendingLookups = 10_000

// SendResultLookup sends the next request for final states. Who has waited for as long as users do is
// told to ask again; the question stays until it is answered, so that the next time it is
// known. So each is answered within one turn of the queue, whatever else is asked.
func (js *JobService) SendResultLookup() {
	lookups := &js.resultLookups
	var late []api.JobID
	for ref, waiters := range lookups.waiters {
		if js.core.Now.Sub(waiters[0].since) > core.StoreTimeout {
			late = append(late, ref)
		}
	}
	slices.Sort(late)
	for _, ref := range late {
		waiters := lookups.waiters[ref]
		k := 0
		for ; k < len(waiters) && js.core.Now.Sub(waiters[k].since) > core.StoreTimeout; k++ {
			waiters[k].fail()
		}
		if lookups.waiters[ref] = waiters[k:]; k == len(waiters) {
			delete(lookups.waiters, ref)
			if lookups.queue.Len() > maxPendingLookups {
				lookups.queue.Remove(ref)
			}
		}
	}
	if lookups.inFlight || js.core.Now < lookups.nextAt {
		return
	}
	query, ok := lookups.queue.Next()
	if !ok {
		return
	}
	lookups.inFlight, lookups.nextAt = true, js.core.Now.Add(js.core.LookupInterval)
	call := message.StoreCall{Get: clusterstate.KeyJobResult + string(query.JobID)}
	if query.JobID == "" {
		call = message.StoreCall{Page: &message.PageRequest{Prefix: clusterstate.KeyJobResult, After: clusterstate.KeyJobResult + query.After, Limit: jobresult.PageSize}}
	}
	js.core.CallStore(call, func(a message.StoreResponse) {
		lookups.inFlight = false
		switch {
		case query.JobID != "" && (a.Status == 200 || a.Status == 404):
			var s api.JobState
			if a.Status == 200 && json.Unmarshal(a.Pair.Value, &s) != nil {
				return
			}
			if f, ok := lookups.queue.HandleSingle(query, s); ok {
				js.deliverResult(f)
			}
		case query.JobID == "" && a.Status == 200:
			var states []jobresult.Result
			for _, p := range a.Page.Pairs {
				f := jobresult.Result{JobID: api.JobID(strings.TrimPrefix(p.Key, clusterstate.KeyJobResult))}
				if err := json.Unmarshal(p.Value, &f.State); err != nil {
					slog.Error("final job state could not be decoded", "key", p.Key, "err", err)
				}
				states = append(states, f)
			}
			for _, f := range lookups.queue.HandlePage(query, states, a.Page.More) {
				js.deliverResult(f)
			}
		}
	})
}

// deliverResult answers who waits for a job's final state: that there is none only those who had asked
// when it was read. The others may ask after the job's end, and were told of it by another node.
func (js *JobService) deliverResult(result jobresult.Result) {
	waiters := js.resultLookups.waiters[result.JobID]
	delete(js.resultLookups.waiters, result.JobID)
	if result.State != "" {
		js.core.State.SetJobResult(result.JobID, result.State)
	} else if k := slices.IndexFunc(waiters, func(w resultWaiter) bool { return w.sequence > result.MaxSeq }); k >= 0 {
		js.resultLookups.waiters[result.JobID], waiters = waiters[k:], waiters[:k]
	}
	for _, w := range waiters {
		if result.State != "" {
			w.found(api.JobStatus{JobID: result.JobID, State: result.State})
		} else {
			w.notFound()
		}
	}
}

func newJobService(c *Controller) *JobService {
	js := &JobService{core: c.core, c: c}
	js.resultLookups.waiters = map[api.JobID][]resultWaiter{}
	return js
}
