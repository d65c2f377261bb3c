package jobs

import (
	"testing"

	"basaltwall/internal/modelcheck"
)

// The model: two controllers, one partition, one machine, one task, one cancellation. A step of
// a controller may always be left out, so that a refusal, a network partition, a pause or an
// outage is nothing but steps that do not come; messages are delayed, duplicated or lost; a
// controller may restart, and the partition be taken over. What a machine does is the
// protocol's.

// guards are what the answer to a cancellation rests on.
type guards struct {
	version               bool // a start is conditional on the job's version
	readCancellation      bool // an owner acknowledges only when it has read the cancellation
	tokenSeen             bool // the machine has shown its token
	reported              bool // no launch of the task is in flight
	awaitsAcknowledgement bool // users are answered only after it
	started               bool // the task has started, so that it can't do so any more
	settled               bool // an attempt is forgotten only when no launch of it is in flight
}

const modelTerms = 3

type modelMachine struct {
	token        int8
	holdsAttempt bool // the attempt, live or exited
	running      bool // it is live
	started      bool // it has its image: a live one that has not starts by itself
}

type modelOwner struct {
	term             int8 // under which it commands; 0: not an owner, as it thinks
	readCancellation bool // it has read the cancellation
	starting         bool // a round with the start is in flight
	sent             bool // it has launched the task, and has not been answered
	tokenSeen        int8 // the token that the machine has shown it
	holdsAttempt     bool // the attempt is in the machine's last heartbeat
	exited           bool
	started          bool
}

type cancelWorld struct {
	owner, term                                        int8
	everStarted, placed, over, cancelled, acknowledged bool
	answered                                           bool
	machine                                            modelMachine
	delayedHeartbeat                                   modelMachine // a heartbeat of which a copy may come
	owners                                             [2]modelOwner
	launchesInFlight                                   [modelTerms + 1]bool // by token
	violated                                           bool
}

// applyHeartbeat is what an owner makes of a heartbeat.
func (o *modelOwner) applyHeartbeat(m modelMachine) {
	o.tokenSeen, o.holdsAttempt, o.exited, o.started = m.token, m.holdsAttempt, m.holdsAttempt && !m.running, m.started
	if m.holdsAttempt {
		o.sent = false
	}
}

// transition visits the worlds that follow one world, with some guards in place.
type transition struct {
	from   cancelWorld
	guards guards
	visit  func(cancelWorld)
}

func (w cancelWorld) next(g guards, visit func(cancelWorld)) bool {
	if w.violated {
		return true
	}
	t := transition{from: w, guards: g, visit: visit}
	t.userSteps()
	for i := range w.owners {
		t.controllerSteps(i)
		if w.owners[i].term != 0 {
			t.ownerSteps(i)
		}
	}
	t.launchArrives()
	t.machineSteps()
	return false
}

// step visits the world in which something more has happened.
func (t transition) step(change func(n *cancelWorld)) {
	n := t.from
	change(&n)
	t.visit(n)
}

// userSteps: a user cancels and is answered.
func (t transition) userSteps() {
	w := t.from
	if !w.cancelled {
		t.step(func(n *cancelWorld) { n.cancelled = true })
	}
	if w.cancelled && !w.answered && (w.acknowledged || !w.placed || !t.guards.awaitsAcknowledgement) {
		t.step(func(n *cancelWorld) { n.answered = true })
	}
}

// controllerSteps: a controller reads the record, restarts, or takes the partition over.
func (t transition) controllerSteps(i int) {
	w, o := t.from, t.from.owners[i]
	t.step(func(n *cancelWorld) {
		n.owners[i].readCancellation = n.cancelled
		if n.owner != int8(i) || n.term != o.term {
			n.owners[i] = modelOwner{readCancellation: n.cancelled}
		}
	})
	t.step(func(n *cancelWorld) { n.owners[i] = modelOwner{} })
	// Another's partition or its own of a former life; it reads up to there.
	if w.term < modelTerms && (w.owner != int8(i) || o.term == 0) {
		t.step(func(n *cancelWorld) {
			n.owner, n.term = int8(i), n.term+1
			n.owners[i] = modelOwner{term: n.term, readCancellation: n.cancelled}
		})
	}
}

// ownerSteps: a controller that takes itself for the owner starts the task, hears from the
// machine, and records the end or its acknowledgement.
func (t transition) ownerSteps(i int) {
	w, g, o := t.from, t.guards, t.from.owners[i]
	isOwner := w.owner == int8(i) && w.term == o.term
	// A round with the start is composed, and is written at some moment.
	if !w.everStarted && !o.readCancellation {
		t.step(func(n *cancelWorld) { n.owners[i].starting = true })
	}
	if o.starting && isOwner && !w.everStarted && (!w.cancelled || !g.version) {
		t.step(func(n *cancelWorld) { n.everStarted, n.placed, n.owners[i].starting = true, true, false })
	}
	// The task is launched by a direct call.
	if w.placed && isOwner && !o.readCancellation && !o.exited && o.tokenSeen >= o.term {
		t.step(func(n *cancelWorld) { n.launchesInFlight[o.term], n.owners[i].sent = true, true })
	}
	t.heartbeatArrives(i)
	// It records the end, by evidence.
	absent := !o.holdsAttempt && o.tokenSeen >= o.term && !o.sent && !w.launchesInFlight[o.term]
	if w.placed && isOwner && (o.exited || absent && o.readCancellation) {
		t.step(func(n *cancelWorld) { n.placed, n.over = false, true })
	}
	// It acknowledges. Whether the partition is still its own does not matter: whoever took it
	// over since has read the record up to there, and with it the cancellation.
	if w.cancelled && w.placed && !w.acknowledged && (o.readCancellation || !g.readCancellation) &&
		(o.tokenSeen >= o.term || !g.tokenSeen) && (o.holdsAttempt || !g.reported) && (o.started || o.exited || !o.holdsAttempt || !g.started) {
		t.step(func(n *cancelWorld) { n.acknowledged = true })
	}
}

// heartbeatArrives: the machine's heartbeat reaches an owner and is answered, or a copy of an
// old one does.
func (t transition) heartbeatArrives(i int) {
	o := t.from.owners[i]
	t.step(func(n *cancelWorld) {
		if n.machine.token > o.term {
			return // it says so and does not answer
		}
		n.owners[i].applyHeartbeat(n.machine)
		n.machine.token = o.term
		switch {
		case n.owners[i].readCancellation || n.over:
			n.machine.running = false
			if n.over && n.machine.holdsAttempt && !n.machine.running && (!t.guards.settled || !n.launchesInFlight[o.term]) {
				n.machine.holdsAttempt, n.machine.started = false, false // forgotten
			}
		case n.answered && n.machine.running:
			n.violated = true // its lease is renewed by an owner that has not read the cancellation
		}
	})
	if o.tokenSeen == 0 { // else it is older than what is known
		t.step(func(n *cancelWorld) { n.owners[i].applyHeartbeat(n.delayedHeartbeat) })
	}
}

// launchArrives: a launch in flight reaches the machine, for the last time or not.
func (t transition) launchArrives() {
	for token, sent := range t.from.launchesInFlight {
		if !sent {
			continue
		}
		for _, duplicated := range []bool{false, true} {
			t.step(func(n *cancelWorld) {
				n.launchesInFlight[token] = duplicated
				if int8(token) < n.machine.token || n.machine.holdsAttempt {
					n.machine.token = max(n.machine.token, int8(token))
					return
				}
				n.machine = modelMachine{token: int8(token), holdsAttempt: true, running: true}
				if n.answered {
					n.violated = true // a task of a job that was reported cancelled starts
				}
			})
		}
	}
}

// machineSteps: the task starts, a heartbeat is delayed, or the machine's lease ends.
func (t transition) machineSteps() {
	if t.from.machine.running && !t.from.machine.started { // its image is there, or its gang complete
		t.step(func(n *cancelWorld) { n.machine.started, n.violated = true, n.answered })
	}
	t.step(func(n *cancelWorld) { n.delayedHeartbeat = n.machine })
	// The lease ends: everything on it is gone, and what is in flight names another epoch.
	t.step(func(n *cancelWorld) {
		n.machine, n.delayedHeartbeat = modelMachine{token: n.machine.token}, modelMachine{token: n.delayedHeartbeat.token}
		n.launchesInFlight = [modelTerms + 1]bool{}
		if n.placed {
			n.placed, n.over = false, true
		}
	})
}

// However reads, writes, takeovers, restarts, heartbeats and late launches follow one another:
// once the user is answered, no machine's lease is renewed with the task by a controller that
// has not read the cancellation, and no machine accepts the task's launch or starts it. Without
// any one of the guards one of these happens.
func TestCancellationInterleavings(t *testing.T) {
	all := guards{version: true, readCancellation: true, tokenSeen: true, reported: true, awaitsAcknowledgement: true, started: true, settled: true}
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
		"waiting for the acknowledgement":    func(g *guards) { g.awaitsAcknowledgement = false },
		"forgetting only what can't be sent": func(g *guards) { g.settled = false },
	} {
		g := all
		without(&g)
		if _, violated := search(g); !violated {
			t.Errorf("without %s nothing goes wrong: the model does not see it", what)
		}
	}
}
