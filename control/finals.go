package control

import (
	"encoding/json"
	"log/slog"
	"slices"
	"strings"

	"basaltwall/api"
	"basaltwall/book"
	"basaltwall/finals"
)

// lookups are the questions for final states that this process does not remember.
type lookups struct {
	queue   finals.Queue
	waiters map[api.JobRef][]finalWaiter
	busy    bool
	next    api.Time
}

type finalWaiter struct {
	at     api.Time
	number uint64 // of its question
	found  func(api.JobStatus)
	absent func()
	fail   func()
}

// maxQuestions bounds the questions that stay though nobody waits for them any more.
const maxQuestions = 10_000

// lookUp sends the next request for final states. Who has waited for as long as users do is
// told to ask again; the question stays until it is answered, so that the next time it is
// known. So each is answered within one turn of the queue, whatever else is asked.
func (n *Node) lookUp() {
	l := &n.finals
	var late []api.JobRef
	for ref, ws := range l.waiters {
		if n.now.Sub(ws[0].at) > stateTimeout {
			late = append(late, ref)
		}
	}
	slices.Sort(late)
	for _, ref := range late {
		ws := l.waiters[ref]
		k := 0
		for ; k < len(ws) && n.now.Sub(ws[k].at) > stateTimeout; k++ {
			ws[k].fail()
		}
		if l.waiters[ref] = ws[k:]; k == len(ws) {
			delete(l.waiters, ref)
			if l.queue.Len() > maxQuestions {
				l.queue.Drop(ref)
			}
		}
	}
	if l.busy || n.now < l.next {
		return
	}
	ask, ok := l.queue.Next()
	if !ok {
		return
	}
	l.busy, l.next = true, n.now.Add(n.lookGap)
	call := StateCall{Get: book.KeyFinal + string(ask.One)}
	if ask.One == "" {
		call = StateCall{Page: &PageAsk{Under: book.KeyFinal, After: book.KeyFinal + ask.After, Limit: finals.Page}}
	}
	n.state(call, func(a StateAnswer) {
		l.busy = false
		switch {
		case ask.One != "" && (a.Status == 200 || a.Status == 404):
			var s api.JobState
			if a.Status == 200 && json.Unmarshal(a.Pair.Value, &s) != nil {
				return
			}
			if f, ok := l.queue.TookOne(ask, s); ok {
				n.tellFinal(f)
			}
		case ask.One == "" && a.Status == 200:
			var states []finals.Found
			for _, p := range a.Page.Pairs {
				f := finals.Found{Ref: api.JobRef(strings.TrimPrefix(p.Key, book.KeyFinal))}
				if err := json.Unmarshal(p.Value, &f.State); err != nil {
					slog.Error("final state not understood", "key", p.Key, "err", err)
				}
				states = append(states, f)
			}
			for _, f := range l.queue.Took(ask, states, a.Page.More) {
				n.tellFinal(f)
			}
		}
	})
}

// tellFinal answers who waits for a job's final state: that there is none only those who had asked
// when it was read. The others may ask after the job's end, and were told of it by another node.
func (n *Node) tellFinal(f finals.Found) {
	waiters := n.finals.waiters[f.Ref]
	delete(n.finals.waiters, f.Ref)
	if f.State != "" {
		n.book.SetFinal(f.Ref, f.State)
	} else if k := slices.IndexFunc(waiters, func(w finalWaiter) bool { return w.number > f.Upto }); k >= 0 {
		n.finals.waiters[f.Ref], waiters = waiters[k:], waiters[:k]
	}
	for _, w := range waiters {
		if f.State != "" {
			w.found(api.JobStatus{Ref: f.Ref, State: f.State})
		} else {
			w.absent()
		}
	}
}
