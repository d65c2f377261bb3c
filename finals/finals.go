// Package finals owns in which order the final states of jobs are looked up that a controller
// does not remember: after a restart that may be thousands at once, of which the state service
// answers a few a second. The questions are met in the order of their keys, as a lift meets
// floors, with pages that answer all that lie on them: so each is met within one turn, however
// many others there are and however often those are asked. It is pure.
package finals

import (
	"slices"
	"strings"

	"basaltwall/api"
)

// Page is how many final states one request may bring.
const Page = 500

// fewest is from how many open questions on they are answered by pages: below it a request
// for each costs less.
const fewest = 3

// Ask is a request to the state service: for one key, or for a page of keys that come after
// one, in their order.
type Ask struct {
	One   api.JobRef // if set
	After string     // else
	upto  uint64     // the questions that came before the request
}

// Queue is the open questions. The zero value has none.
type Queue struct {
	asked map[api.JobRef]question
	count uint64
	at    api.JobRef // where the lift is
}

// question is when a job's state was first and when it was last asked for since it was answered.
type question struct{ first, last uint64 }

// Add notes a question, and returns its number: each is higher than those before it.
func (q *Queue) Add(ref api.JobRef) uint64 {
	if q.asked == nil {
		q.asked = map[api.JobRef]question{}
	}
	q.count++
	first := q.count
	if x, open := q.asked[ref]; open {
		first = x.first
	}
	q.asked[ref] = question{first, q.count}
	return q.count
}

// Drop forgets a question that nobody waits for any more.
func (q *Queue) Drop(ref api.JobRef) { delete(q.asked, ref) }

// Len is how many are open.
func (q *Queue) Len() int { return len(q.asked) }

// Next is the request to send, ok false if there is nothing to ask.
func (q *Queue) Next() (a Ask, ok bool) {
	if len(q.asked) == 0 {
		return a, false
	}
	a.upto = q.count
	if len(q.asked) < fewest {
		for ref, x := range q.asked { // the oldest: others may come all the time
			if a.One == "" || x.first < q.asked[a.One].first {
				a.One = ref
			}
		}
		return a, true
	}
	var next, first api.JobRef
	for ref := range q.asked {
		if first == "" || ref < first {
			first = ref
		}
		if ref > q.at && (next == "" || ref < next) {
			next = ref
		}
	}
	if next == "" {
		next = first // the lift turns round
	}
	q.at = next
	// The key that is its own but for the last character comes before it, and hardly any
	// between them.
	a.After = string(next[:len(next)-1])
	return a, true
}

// Found is an answer to a question: the state, empty if there is none. That there is none answers
// only the questions with numbers up to Upto: what was asked after the request was sent may have
// come to its end since.
type Found struct {
	Ref   api.JobRef
	State api.JobState
	Upto  uint64
}

// settle takes in that a job's state was found, or was not there when a request was carried out;
// ok reports whether that answers any question.
func (q *Queue) settle(a Ask, ref api.JobRef, s api.JobState) (f Found, ok bool) {
	x, open := q.asked[ref]
	switch {
	case !open || s == "" && x.first > a.upto:
		return f, false
	case s == "" && x.last > a.upto:
		q.asked[ref] = question{a.upto + 1, x.last}
	default:
		delete(q.asked, ref)
	}
	return Found{ref, s, a.upto}, true
}

// Took takes in what a page brought, in the order of keys, and whether there are more after
// it; it returns the questions that it answers. That a state is not there only answers what
// was asked before the page was.
func (q *Queue) Took(a Ask, states []Found, more bool) []Found {
	var out []Found
	on := map[api.JobRef]api.JobState{}
	last := ""
	for _, s := range states {
		on[s.Ref] = s.State
		last = string(s.Ref)
	}
	for ref := range q.asked {
		s, there := on[ref]
		if !there && (string(ref) <= a.After || more && string(ref) > last) {
			continue
		}
		if f, ok := q.settle(a, ref, s); ok {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b Found) int { return strings.Compare(string(a.Ref), string(b.Ref)) })
	switch {
	case !more:
		q.at = "\x7f" // all that comes after it has been met: the lift turns round
	case last > string(q.at):
		q.at = api.JobRef(last)
	}
	return out
}

// TookOne takes in the answer for one key, empty if there is no state; ok reports whether that
// answers any question.
func (q *Queue) TookOne(a Ask, s api.JobState) (f Found, ok bool) { return q.settle(a, a.One, s) }
