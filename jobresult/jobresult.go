// Package jobresult schedules lookups of job results that a controller does not have in memory. After a
// restart there may be thousands of lookups at once, while the key-value store answers only a few
// requests per second. An elevator scan serves the lookups in key order, and each page answers all
// lookups in its range of keys, so that every lookup is answered within one scan. The package does no
// I/O.
package jobresult

import (
	"slices"
	"strings"

	"basaltwall/api"
)

// PageSize is the maximum number of results in a page.
const PageSize = 500

// pageThreshold is the number of open lookups from which pages are requested; fewer lookups cost less as
// one request each.
const pageThreshold = 3

// Request is a read request to the key-value store: for one key, or for a page of keys in key order.
type Request struct {
	JobID  api.JobID // job of the single key; empty for a page
	After  string    // a page holds keys greater than this one
	maxSeq uint64    // number of the latest lookup before the request
}

// Queue holds the open lookups. The zero value is empty and ready to use. It is not safe for concurrent
// use.
type Queue struct {
	pending map[api.JobID]pendingLookups
	lastSeq uint64
	cursor  api.JobID // the position of the elevator scan
}

// pendingLookups describes the open lookups of one job's result by their numbers.
type pendingLookups struct {
	firstSeq uint64 // the earliest unanswered lookup
	lastSeq  uint64 // the latest lookup
}

// Add adds a lookup and returns its number, which is greater than all earlier ones.
func (q *Queue) Add(jobID api.JobID) uint64 {
	if q.pending == nil {
		q.pending = map[api.JobID]pendingLookups{}
	}
	q.lastSeq++
	first := q.lastSeq
	if x, open := q.pending[jobID]; open {
		first = x.firstSeq
	}
	q.pending[jobID] = pendingLookups{firstSeq: first, lastSeq: q.lastSeq}
	return q.lastSeq
}

// Remove drops the open lookups of a job's result, for which no caller waits any more.
func (q *Queue) Remove(jobID api.JobID) { delete(q.pending, jobID) }

// Len returns the number of jobs with open lookups.
func (q *Queue) Len() int { return len(q.pending) }

// Next returns the next request to send; ok is false if no lookup is open.
func (q *Queue) Next() (request Request, ok bool) {
	if len(q.pending) == 0 {
		return Request{}, false
	}
	if len(q.pending) < pageThreshold {
		return Request{JobID: q.oldest(), maxSeq: q.lastSeq}, true
	}
	next := q.nextInScan()
	q.cursor = next
	// A page begins after a key. The job id without its last character sorts shortly before the job id.
	return Request{After: string(next[:len(next)-1]), maxSeq: q.lastSeq}, true
}

// oldest returns the job with the oldest lookup, so that newer lookups can't starve it.
func (q *Queue) oldest() (oldest api.JobID) {
	for jobID, x := range q.pending {
		if oldest == "" || x.firstSeq < q.pending[oldest].firstSeq {
			oldest = jobID
		}
	}
	return oldest
}

// nextInScan returns the first job after the cursor or, at the end of the scan, the first of all.
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

// Result is the answer to the lookups of a job: its state, or empty if no result is stored. An empty
// state answers only lookups with numbers up to MaxSeq: the job may have become terminal after the
// request was sent.
type Result struct {
	JobID  api.JobID
	State  api.JobState
	MaxSeq uint64
}

// resolve closes the lookups that a response answers for one job; an empty state means that no result was
// stored. ok reports whether it answers any lookup.
func (q *Queue) resolve(request Request, jobID api.JobID, state api.JobState) (result Result, ok bool) {
	x, open := q.pending[jobID]
	switch {
	case !open || state == "" && x.firstSeq > request.maxSeq:
		return Result{}, false
	case state == "" && x.lastSeq > request.maxSeq:
		q.pending[jobID] = pendingLookups{firstSeq: request.maxSeq + 1, lastSeq: x.lastSeq}
	default:
		delete(q.pending, jobID)
	}
	return Result{JobID: jobID, State: state, MaxSeq: request.maxSeq}, true
}

// HandlePage handles a page of results in key order; more reports whether keys follow the page. It
// returns the answers, sorted by job id. A job's absence from the page answers only lookups from before
// the request.
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
		q.cursor = endOfKeys // the next request restarts the scan
	case last > string(q.cursor):
		q.cursor = api.JobID(last)
	}
	return out
}

// endOfKeys sorts after every job id.
const endOfKeys = "\x7f"

// HandleSingle handles the response to a request for one key; state is empty if no result is stored. ok
// reports whether it answers any lookup.
func (q *Queue) HandleSingle(request Request, state api.JobState) (result Result, ok bool) {
	return q.resolve(request, request.JobID, state)
}
