// Package jobresult owns the order in which the results of finished jobs are looked up that a
// controller does not remember: after a restart that may be thousands at once, of which the key-value
// store answers a few requests a second. The lookups are served in key order by an elevator scan, with
// pages that answer all lookups within them: so each is answered within one scan, however many others
// there are and however often those are repeated. It is pure.
package jobresult

import (
	"slices"
	"strings"

	"basaltwall/api"
)

// PageSize is how many results one request may return.
const PageSize = 500

// pageThreshold is from how many open lookups on they are served by pages: below it a request
// for each costs less.
const pageThreshold = 3

// Request is a request to the key-value store: for one key, or for a page of the keys after one, in
// key order.
type Request struct {
	JobID  api.JobID // of the single key; empty for a page
	After  string    // the key before the page
	maxSeq uint64    // the latest lookup before the request
}

// Queue is the open lookups. The zero value is empty and ready to use. Not safe for concurrent use.
type Queue struct {
	pending map[api.JobID]query
	lastSeq uint64
	cursor  api.JobID // the position of the elevator scan
}

// query is the open lookups of a job's result.
type query struct {
	firstSeq uint64 // the earliest that is not answered
	lastSeq  uint64 // the latest
}

// Add notes a lookup and returns its number, which is higher than those before it.
func (q *Queue) Add(jobID api.JobID) uint64 {
	if q.pending == nil {
		q.pending = map[api.JobID]query{}
	}
	q.lastSeq++
	first := q.lastSeq
	if x, open := q.pending[jobID]; open {
		first = x.firstSeq
	}
	q.pending[jobID] = query{firstSeq: first, lastSeq: q.lastSeq}
	return q.lastSeq
}

// Remove drops the lookups of a job's result that nobody waits for any more.
func (q *Queue) Remove(jobID api.JobID) { delete(q.pending, jobID) }

// Len is the number of jobs with open lookups.
func (q *Queue) Len() int { return len(q.pending) }

// Next is the request to send; ok is false if no lookup is open.
func (q *Queue) Next() (request Request, ok bool) {
	if len(q.pending) == 0 {
		return Request{}, false
	}
	if len(q.pending) < pageThreshold {
		return Request{JobID: q.oldest(), maxSeq: q.lastSeq}, true
	}
	next := q.nextInScan()
	q.cursor = next
	// A page begins after a key: the job's own without its last character comes before it, with
	// hardly any key in between.
	return Request{After: string(next[:len(next)-1]), maxSeq: q.lastSeq}, true
}

// oldest is the job with the oldest lookup: newer ones may arrive all the time.
func (q *Queue) oldest() (oldest api.JobID) {
	for jobID, x := range q.pending {
		if oldest == "" || x.firstSeq < q.pending[oldest].firstSeq {
			oldest = jobID
		}
	}
	return oldest
}

// nextInScan is the first pending job after the cursor or, at the end, the first of all.
func (q *Queue) nextInScan() api.JobID {
	var next, first api.JobID
	for jobID := range q.pending {
		if first == "" || jobID < first {
			first = jobID
		}
		if jobID > q.cursor && (next == "" || jobID < next) {
			next = jobID
		}
	}
	if next == "" {
		return first
	}
	return next
}

// Result is the answer to lookups: the state, empty if there is none. That there is none answers only
// lookups with numbers up to MaxSeq: a job that was looked up after the request was sent may have
// become terminal since.
type Result struct {
	JobID  api.JobID
	State  api.JobState
	MaxSeq uint64
}

// resolve applies that a job's result was found, or was absent when a request was served; ok reports
// whether that answers any lookup.
func (q *Queue) resolve(request Request, jobID api.JobID, state api.JobState) (result Result, ok bool) {
	x, open := q.pending[jobID]
	switch {
	case !open || state == "" && x.firstSeq > request.maxSeq:
		return Result{}, false
	case state == "" && x.lastSeq > request.maxSeq:
		q.pending[jobID] = query{firstSeq: request.maxSeq + 1, lastSeq: x.lastSeq}
	default:
		delete(q.pending, jobID)
	}
	return Result{JobID: jobID, State: state, MaxSeq: request.maxSeq}, true
}

// HandlePage applies the results of a page, in key order; more says whether there are keys after it.
// It returns the answers, in order of job. A job that is absent from the page is answered only to
// lookups before the request.
func (q *Queue) HandlePage(request Request, states []Result, more bool) []Result {
	var out []Result
	found := map[api.JobID]api.JobState{}
	last := ""
	for _, s := range states {
		found[s.JobID] = s.State
		last = string(s.JobID)
	}
	for jobID := range q.pending {
		state, present := found[jobID]
		if !present && (string(jobID) <= request.After || more && string(jobID) > last) {
			continue
		}
		if result, ok := q.resolve(request, jobID, state); ok {
			out = append(out, result)
		}
	}
	slices.SortFunc(out, func(a, b Result) int { return strings.Compare(string(a.JobID), string(b.JobID)) })
	switch {
	case !more:
		q.cursor = endOfKeys // the scan restarts
	case last > string(q.cursor):
		q.cursor = api.JobID(last)
	}
	return out
}

// endOfKeys comes after every job id.
const endOfKeys = "\x7f"

// HandleSingle applies the answer for one key, empty if there is no result; ok reports whether that
// answers any lookup.
func (q *Queue) HandleSingle(request Request, state api.JobState) (result Result, ok bool) {
	return q.resolve(request, request.JobID, state)
}
