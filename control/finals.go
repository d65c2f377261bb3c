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
			if l.queue.TookOne(ask, a.Status == 200) {
				n.tellFinal(finals.Found{Ref: ask.One, State: s})
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

// tellFinal answers all who wait for a job's final state.
func (n *Node) tellFinal(f finals.Found) {
	waiters := n.finals.waiters[f.Ref]
	delete(n.finals.waiters, f.Ref)
	if f.State != "" {
		n.book.SetFinal(f.Ref, f.State)
	}
	for _, w := range waiters {
		if f.State != "" {
			w.found(api.JobStatus{Ref: f.Ref, State: f.State})
		} else {
			w.absent()
		}
	}
}
