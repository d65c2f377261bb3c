package control

import (
	"testing"

	"basaltwall/internal/explore"
)

// The model: two controllers, one part, one machine, one task, one cancellation. A step of
// a controller may always be left out, so that a refusal, a cut, a freeze or an outage is
// nothing but steps that do not come; messages come late, doubled or never; a controller may
// restart, and parts be taken over. What a machine does is the protocol's.

// guards are what the telling of a cancellation rests on.
type guards struct {
	version  bool // a start is conditional on the job's version
	informed bool // it gives its word only when it has read the cancellation
	heard    bool // the machine has shown its token
	reported bool // no launch of the task is on its way
	waits    bool // users are told only after it
	begun    bool // the task has started, so that it can't do so any more
	settled  bool // an attempt is forgotten only when no launch of it is on its way
}

const modelTerms = 3

type modelMachine struct {
	token   int8
	holds   bool // the attempt, live or exited
	running bool // it is live
	begun   bool // it has its image: a live one that has not begins by itself
}

type modelOwner struct {
	term     int8 // under which it commands; 0: not an owner, as it thinks
	knows    bool // it has read the cancellation
	starting bool // a round with the start is on its way
	sent     bool // it has launched the task, and has not been answered
	heard    int8 // the token that the machine has shown it
	holds    bool // the attempt is in the machine's last report
	exited   bool
	begun    bool
}

type cancelWorld struct {
	owner, term                       int8
	ever, placed, over, cancelled, in bool // in: the owner's word is in the record
	told                              bool
	m                                 modelMachine
	old                               modelMachine // a report of which a copy may come
	c                                 [2]modelOwner
	launch                            [modelTerms + 1]bool // on their way, by token
	wrong                             bool
}

// take is what an owner makes of a report.
func (o *modelOwner) take(m modelMachine) {
	o.heard, o.holds, o.exited, o.begun = m.token, m.holds, m.holds && !m.running, m.begun
	if m.holds {
		o.sent = false
	}
}

func (w cancelWorld) next(g guards, do func(cancelWorld)) bool {
	if w.wrong {
		return true
	}
	step := func(f func(n *cancelWorld)) {
		n := w
		f(&n)
		do(n)
	}
	if !w.cancelled {
		step(func(n *cancelWorld) { n.cancelled = true })
	}
	if w.cancelled && !w.told && (w.in || !w.placed || !g.waits) {
		step(func(n *cancelWorld) { n.told = true })
	}
	for i := range w.c {
		o := w.c[i]
		// It reads the record.
		step(func(n *cancelWorld) {
			n.c[i].knows = n.cancelled
			if n.owner != int8(i) || n.term != o.term {
				n.c[i] = modelOwner{knows: n.cancelled}
			}
		})
		// It restarts.
		step(func(n *cancelWorld) { n.c[i] = modelOwner{} })
		// It takes the part over, another's or its own of a former life, and reads up to there.
		if w.term < modelTerms && (w.owner != int8(i) || o.term == 0) {
			step(func(n *cancelWorld) {
				n.owner, n.term = int8(i), n.term+1
				n.c[i] = modelOwner{term: n.term, knows: n.cancelled}
			})
		}
		if o.term == 0 {
			continue
		}
		mine := w.owner == int8(i) && w.term == o.term
		// A round with the start is composed, and is written at some moment.
		if !w.ever && !o.knows {
			step(func(n *cancelWorld) { n.c[i].starting = true })
		}
		if o.starting && mine && !w.ever && (!w.cancelled || !g.version) {
			step(func(n *cancelWorld) { n.ever, n.placed, n.c[i].starting = true, true, false })
		}
		// The task is launched by a direct call.
		if w.placed && mine && !o.knows && !o.exited && o.heard >= o.term {
			step(func(n *cancelWorld) { n.launch[o.term], n.c[i].sent = true, true })
		}
		// The machine reports to it and is answered, or a copy of an old report comes.
		step(func(n *cancelWorld) {
			if n.m.token > o.term {
				return // it says so and does not answer
			}
			n.c[i].take(n.m)
			n.m.token = o.term
			switch {
			case n.c[i].knows || n.over:
				n.m.running = false
				if n.over && n.m.holds && !n.m.running && (!g.settled || !n.launch[o.term]) {
					n.m.holds, n.m.begun = false, false // forgotten
				}
			case n.told && n.m.running:
				n.wrong = true // its lease is renewed by who knows nothing
			}
		})
		if o.heard == 0 { // else it is older than what is known
			step(func(n *cancelWorld) { n.c[i].take(n.old) })
		}
		// It records the end, by evidence.
		absent := !o.holds && o.heard >= o.term && !o.sent && !w.launch[o.term]
		if w.placed && mine && (o.exited || absent && o.knows) {
			step(func(n *cancelWorld) { n.placed, n.over = false, true })
		}
		// It records that it knows. Whether the part is still its own does not matter: whoever took
		// it over since has read the record up to there, and with it the cancellation.
		if w.cancelled && w.placed && !w.in && (o.knows || !g.informed) &&
			(o.heard >= o.term || !g.heard) && (o.holds || !g.reported) && (o.begun || o.exited || !o.holds || !g.begun) {
			step(func(n *cancelWorld) { n.in = true })
		}
	}
	for token, sent := range w.launch {
		if !sent {
			continue
		}
		for _, again := range []bool{false, true} {
			step(func(n *cancelWorld) {
				n.launch[token] = again
				if int8(token) < n.m.token || n.m.holds {
					n.m.token = max(n.m.token, int8(token))
					return
				}
				n.m = modelMachine{int8(token), true, true, false}
				if n.told {
					n.wrong = true // a task of a job that was called cancelled starts
				}
			})
		}
	}
	if w.m.running && !w.m.begun { // its image is there, or its gang complete
		step(func(n *cancelWorld) { n.m.begun, n.wrong = true, n.told })
	}
	step(func(n *cancelWorld) { n.old = n.m })
	// The lease ends: everything on it is gone, and what is on its way names another session.
	step(func(n *cancelWorld) {
		n.m, n.old = modelMachine{token: n.m.token}, modelMachine{token: n.old.token}
		n.launch = [modelTerms + 1]bool{}
		if n.placed {
			n.placed, n.over = false, true
		}
	})
	return false
}

// However reads, writes, takeovers, restarts, reports and late launches follow one another, a
// machine is neither renewed with the task by a controller that does not know of the
// cancellation nor takes the task's launch nor begins it, once a user was told; and without any of the guards one of
// these happens.
func TestEveryInterleavingOfACancellation(t *testing.T) {
	all := guards{true, true, true, true, true, true, true}
	first := cancelWorld{owner: 0, term: 1}
	first.c[0].term = 1
	search := func(g guards) (int, bool) {
		return explore.All(first, 0, func(w cancelWorld, do func(cancelWorld)) bool { return w.next(g, do) })
	}
	states, wrong := search(all)
	t.Logf("%d states", states)
	if wrong {
		t.Error("a task outlives its cancellation")
	}
	if states < 50_000 {
		t.Errorf("%d states: the model does not move", states)
	}
	for what, without := range map[string]func(*guards){
		"the job's version in a start":       func(g *guards) { g.version = false },
		"the owner's reading":                func(g *guards) { g.informed = false },
		"the machine's token":                func(g *guards) { g.heard = false },
		"the launch that has arrived":        func(g *guards) { g.reported = false },
		"the task's start":                   func(g *guards) { g.begun = false },
		"waiting for the owner's word":       func(g *guards) { g.waits = false },
		"forgetting only what can't be sent": func(g *guards) { g.settled = false },
	} {
		g := all
		without(&g)
		if _, wrong := search(g); !wrong {
			t.Errorf("without %s nothing goes wrong: the model does not see it", what)
		}
	}
}
