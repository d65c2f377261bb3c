package jobs

import (
	"testing"

	"basaltwall/internal/modelcheck"
)

// The model: two controllers, one part, one machine, one task, one cancellation. A step of
// a controller may always be left out, so that a refusal, a cut, a freeze or an outage is
// nothing but steps that do not come; messages come late, doubled or never; a controller may
// restart, and parts be taken over. What a machine does is the protocol's.

// guards are what the telling of a cancellation rests on.
type guards struct {
	version               bool // a start is conditional on the job's version
	readCancellation      bool // it gives its word only when it has read the cancellation
	tokenSeen             bool // the machine has shown its token
	reported              bool // no launch of the task is on its way
	awaitsAcknowledgement bool // users are told only after it
	started               bool // the task has started, so that it can't do so any more
	settled               bool // an attempt is forgotten only when no launch of it is on its way
}

const modelTerms = 3

type modelMachine struct {
	token        int8
	holdsAttempt bool // the attempt, live or exited
	running      bool // it is live
	started      bool // it has its image: a live one that has not begins by itself
}

type modelOwner struct {
	term             int8 // under which it commands; 0: not an owner, as it thinks
	readCancellation bool // it has read the cancellation
	starting         bool // a round with the start is on its way
	sent             bool // it has launched the task, and has not been answered
	tokenSeen        int8 // the token that the machine has shown it
	holdsAttempt     bool // the attempt is in the machine's last report
	exited           bool
	started          bool
}

type cancelWorld struct {
	owner, term                                        int8
	everStarted, placed, over, cancelled, acknowledged bool // in: the owner's word is in the record
	answered                                           bool
	machine                                            modelMachine
	delayedHeartbeat                                   modelMachine // a report of which a copy may come
	owners                                             [2]modelOwner
	launchesInFlight                                   [modelTerms + 1]bool // on their way, by token
	violated                                           bool
}

// applyHeartbeat is what an owner makes of a report.
func (o *modelOwner) applyHeartbeat(m modelMachine) {
	o.tokenSeen, o.holdsAttempt, o.exited, o.started = m.token, m.holdsAttempt, m.holdsAttempt && !m.running, m.started
	if m.holdsAttempt {
		o.sent = false
	}
}

func (w cancelWorld) next(g guards, visit func(cancelWorld)) bool {
	if w.violated {
		return true
	}
	step := func(f func(n *cancelWorld)) {
		n := w
		f(&n)
		visit(n)
	}
	if !w.cancelled {
		step(func(n *cancelWorld) { n.cancelled = true })
	}
	if w.cancelled && !w.answered && (w.acknowledged || !w.placed || !g.awaitsAcknowledgement) {
		step(func(n *cancelWorld) { n.answered = true })
	}
	for i := range w.owners {
		o := w.owners[i]
		// It reads the record.
		step(func(n *cancelWorld) {
			n.owners[i].readCancellation = n.cancelled
			if n.owner != int8(i) || n.term != o.term {
				n.owners[i] = modelOwner{readCancellation: n.cancelled}
			}
		})
		// It restarts.
		step(func(n *cancelWorld) { n.owners[i] = modelOwner{} })
		// It takes the part over, another's or its own of a former life, and reads up to there.
		if w.term < modelTerms && (w.owner != int8(i) || o.term == 0) {
			step(func(n *cancelWorld) {
				n.owner, n.term = int8(i), n.term+1
				n.owners[i] = modelOwner{term: n.term, readCancellation: n.cancelled}
			})
		}
		if o.term == 0 {
			continue
		}
		isOwner := w.owner == int8(i) && w.term == o.term
		// A round with the start is composed, and is written at some moment.
		if !w.everStarted && !o.readCancellation {
			step(func(n *cancelWorld) { n.owners[i].starting = true })
		}
		if o.starting && isOwner && !w.everStarted && (!w.cancelled || !g.version) {
			step(func(n *cancelWorld) { n.everStarted, n.placed, n.owners[i].starting = true, true, false })
		}
		// The task is launched by a direct call.
		if w.placed && isOwner && !o.readCancellation && !o.exited && o.tokenSeen >= o.term {
			step(func(n *cancelWorld) { n.launchesInFlight[o.term], n.owners[i].sent = true, true })
		}
		// The machine reports to it and is answered, or a copy of an old report comes.
		step(func(n *cancelWorld) {
			if n.machine.token > o.term {
				return // it says so and does not answer
			}
			n.owners[i].applyHeartbeat(n.machine)
			n.machine.token = o.term
			switch {
			case n.owners[i].readCancellation || n.over:
				n.machine.running = false
				if n.over && n.machine.holdsAttempt && !n.machine.running && (!g.settled || !n.launchesInFlight[o.term]) {
					n.machine.holdsAttempt, n.machine.started = false, false // forgotten
				}
			case n.answered && n.machine.running:
				n.violated = true // its lease is renewed by who knows nothing
			}
		})
		if o.tokenSeen == 0 { // else it is older than what is known
			step(func(n *cancelWorld) { n.owners[i].applyHeartbeat(n.delayedHeartbeat) })
		}
		// It records the end, by evidence.
		absent := !o.holdsAttempt && o.tokenSeen >= o.term && !o.sent && !w.launchesInFlight[o.term]
		if w.placed && isOwner && (o.exited || absent && o.readCancellation) {
			step(func(n *cancelWorld) { n.placed, n.over = false, true })
		}
		// It records that it knows. Whether the part is still its own does not matter: whoever took
		// it over since has read the record up to there, and with it the cancellation.
		if w.cancelled && w.placed && !w.acknowledged && (o.readCancellation || !g.readCancellation) &&
			(o.tokenSeen >= o.term || !g.tokenSeen) && (o.holdsAttempt || !g.reported) && (o.started || o.exited || !o.holdsAttempt || !g.started) {
			step(func(n *cancelWorld) { n.acknowledged = true })
		}
	}
	for token, sent := range w.launchesInFlight {
		if !sent {
			continue
		}
		for _, duplicated := range []bool{false, true} {
			step(func(n *cancelWorld) {
				n.launchesInFlight[token] = duplicated
				if int8(token) < n.machine.token || n.machine.holdsAttempt {
					n.machine.token = max(n.machine.token, int8(token))
					return
				}
				n.machine = modelMachine{int8(token), true, true, false}
				if n.answered {
					n.violated = true // a task of a job that was called cancelled starts
				}
			})
		}
	}
	if w.machine.running && !w.machine.started { // its image is there, or its gang complete
		step(func(n *cancelWorld) { n.machine.started, n.violated = true, n.answered })
	}
	step(func(n *cancelWorld) { n.delayedHeartbeat = n.machine })
	// The lease ends: everything on it is gone, and what is on its way names another session.
	step(func(n *cancelWorld) {
		n.machine, n.delayedHeartbeat = modelMachine{token: n.machine.token}, modelMachine{token: n.delayedHeartbeat.token}
		n.launchesInFlight = [modelTerms + 1]bool{}
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
func TestCancellationInterleavings(t *testing.T) {
	all := guards{true, true, true, true, true, true, true}
	first := cancelWorld{owner: 0, term: 1}
	first.owners[0].term = 1
	search := func(g guards) (int, bool) {
		return modelcheck.Explore(first, 0, func(w cancelWorld, visit func(cancelWorld)) bool { return w.next(g, visit) })
	}
	states, violated := search(all)
	t.Logf("%d states", states)
	if violated {
		t.Error("a task outlives its cancellation")
	}
	if states < 50_000 {
		t.Errorf("%d states: the model does not move", states)
	}
	for what, without := range map[string]func(*guards){
		"the job's version in a start":       func(g *guards) { g.version = false },
		"the owner's reading":                func(g *guards) { g.readCancellation = false },
		"the machine's token":                func(g *guards) { g.tokenSeen = false },
		"the launch that has arrived":        func(g *guards) { g.reported = false },
		"the task's start":                   func(g *guards) { g.started = false },
		"waiting for the owner's word":       func(g *guards) { g.awaitsAcknowledgement = false },
		"forgetting only what can't be sent": func(g *guards) { g.settled = false },
	} {
		g := all
		without(&g)
		if _, violated := search(g); !violated {
			t.Errorf("without %s nothing goes wrong: the model does not see it", what)
		}
	}
}
