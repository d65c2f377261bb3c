// Package jobresult owns in which order the final states of jobs are looked up that a controller
// does not remember: after a restart that may be thousands at once, of which the key-value store
// answers a few a second. The questions are met in the order of their keys, as a lift meets
// floors, with pages that answer all that lie on them: so each is met within one turn, however
// many others there are and however often those are asked. It is pure.
package jobresult

import (
	"slices"
	"strings"

	"basaltwall/api"
)

// PageSize is how many final states one request may bring.
const PageSize = 500

// pageThreshold is from how many open questions on they are answered by pages: below it a request
// for each costs less.
const pageThreshold = 3

// Request is a request to the key-value store: for one key, or for a page of keys that come after
// one, in their order.
type Request struct {
	JobID  api.JobID // if set
	After  string    // else
	maxSeq uint64    // the questions that came before the request
}

// Queue is the open questions. The zero value has none.
type Queue struct {
	pending map[api.JobID]query
	lastSeq uint64
	cursor  api.JobID // where the lift is
}

// query is when a job's state was first and when it was last asked for since it was answered.
type query struct{ firstSeq, lastSeq uint64 }

// Add notes a question, and returns its number: each is higher than those before it.
func (q *Queue) Add(jobID api.JobID) uint64 {
	if q.pending == nil {
		q.pending = map[api.JobID]query{}
	}
	q.lastSeq++
	first := q.lastSeq
	if x, open := q.pending[jobID]; open {
		first = x.firstSeq
	}
	q.pending[jobID] = query{first, q.lastSeq}
	return q.lastSeq
}

// Remove forgets a question that nobody waits for any more.
func (q *Queue) Remove(jobID api.JobID) { delete(q.pending, jobID) }

// Len is how many are open.
func (q *Queue) Len() int { return len(q.pending) }

// Next is the request to send, ok false if there is nothing to ask.
func (q *Queue) Next() (a Request, ok bool) {
	if len(q.pending) == 0 {
		return a, false
	}
	a.maxSeq = q.lastSeq
	if len(q.pending) < pageThreshold {
		for jobID, x := range q.pending { // the oldest: others may come all the time
			if a.JobID == "" || x.firstSeq < q.pending[a.JobID].firstSeq {
				a.JobID = jobID
			}
		}
		return a, true
	}
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
		next = first // the lift turns round
	}
	q.cursor = next
	// The key that is its own but for the last character comes before it, and hardly any
	// between them.
	a.After = string(next[:len(next)-1])
	return a, true
}

// Result is an answer to a question: the state, empty if there is none. That there is none answers
// only the questions with numbers up to Upto: what was asked after the request was sent may have
// come to its end since.
type Result struct {
	JobID  api.JobID
	State  api.JobState
	MaxSeq uint64
}

// resolve takes in that a job's state was found, or was not there when a request was carried out;
// ok reports whether that answers any question.
func (q *Queue) resolve(a Request, jobID api.JobID, s api.JobState) (f Result, ok bool) {
	x, open := q.pending[jobID]
	switch {
	case !open || s == "" && x.firstSeq > a.maxSeq:
		return f, false
	case s == "" && x.lastSeq > a.maxSeq:
		q.pending[jobID] = query{a.maxSeq + 1, x.lastSeq}
	default:
		delete(q.pending, jobID)
	}
	return Result{jobID, s, a.maxSeq}, true
}

// HandlePage takes in what a page brought, in the order of keys, and whether there are more after
// it; it returns the questions that it answers. That a state is not there only answers what
// was asked before the page was.
func (q *Queue) HandlePage(a Request, states []Result, more bool) []Result {
	var out []Result
	found := map[api.JobID]api.JobState{}
	last := ""
	for _, s := range states {
		found[s.JobID] = s.State
		last = string(s.JobID)
	}
	for jobID := range q.pending {
		s, present := found[jobID]
		if !present && (string(jobID) <= a.After || more && string(jobID) > last) {
			continue
		}
		if f, ok := q.resolve(a, jobID, s); ok {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b Result) int { return strings.Compare(string(a.JobID), string(b.JobID)) })
	switch {
	case !more:
		q.cursor = "\x7f" // all that comes after it has been met: the lift turns round
	case last > string(q.cursor):
		q.cursor = api.JobID(last)
	}
	return out
}

// HandleSingle takes in the answer for one key, empty if there is no state; ok reports whether that
// answers any question.
func (q *Queue) HandleSingle(a Request, s api.JobState) (f Result, ok bool) {
	return q.resolve(a, a.JobID, s)
}
