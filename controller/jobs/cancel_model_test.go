package jobs

import (
	"testing"

	"basaltwall/internal/modelcheck"
)

// The model has two controllers, one partition, one machine, one task and one cancellation. Any
// step of a controller may be omitted, which models refusals, network partitions, pauses and
// outages. Messages are delayed, duplicated or lost; a controller may restart, and the partition
// may be taken over. The machine follows the protocol.

// guards are the conditions that make the answer to a cancellation safe.
type guards struct {
	version               bool // a start is conditional on the job's version
	readCancellation      bool // an owner acknowledges only after it has read the cancellation
	tokenSeen             bool // an owner acknowledges only after the machine has reported the owner's token
	reported              bool // an owner acknowledges only after the machine has reported the attempt
	awaitsAcknowledgement bool // users are answered only after the acknowledgement
	started               bool // an owner acknowledges only after the task has started
	settled               bool // an attempt is deleted only when no launch of it is in flight
}

const modelTerms = 3

type modelMachine struct {
	token        int8
	holdsAttempt bool // the attempt, live or exited
	running      bool // the attempt is live
	started      bool // the attempt has started; a live one that has not will start by itself
}

type modelOwner struct {
	term             int8 // term of its commands; 0 if it does not take itself for the owner
	readCancellation bool
	starting         bool // a round with the start is in flight
	sent             bool // a launch was sent and is not answered yet
	tokenSeen        int8 // the last token that the machine reported
	holdsAttempt     bool // the attempt is in the machine's last heartbeat
	exited           bool
	started          bool
}

type cancelWorld struct {
	owner, term                                         int8
	everStarted, placed, ended, cancelled, acknowledged bool
	answered                                            bool
	machine                                             modelMachine
	delayedHeartbeat                                    modelMachine // a copy of an earlier heartbeat that may still arrive
	owners                                              [2]modelOwner
	launchesInFlight                                    [modelTerms + 1]bool // by token
	violated                                            bool
}

// applyHeartbeat updates what an owner knows by a heartbeat.
func (o *modelOwner) applyHeartbeat(m modelMachine) {
	o.tokenSeen, o.holdsAttempt, o.exited, o.started = m.token, m.holdsAttempt, m.holdsAttempt && !m.running, m.started
	if m.holdsAttempt {
		o.sent = false
	}
}

// transition visits the successors of a world under some guards.
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

// step visits the successor that differs by one change.
func (t transition) step(change func(n *cancelWorld)) {
	n := t.from
	change(&n)
	t.visit(n)
}

// userSteps are the steps of a user: to cancel, and to be answered.
func (t transition) userSteps() {
	w := t.from
	if !w.cancelled {
		t.step(func(n *cancelWorld) { n.cancelled = true })
	}
	if w.cancelled && !w.answered && (w.acknowledged || !w.placed || !t.guards.awaitsAcknowledgement) {
		t.step(func(n *cancelWorld) { n.answered = true })
	}
}

// controllerSteps are the steps of a controller: to read the record, to restart, and to take the
// partition over.
func (t transition) controllerSteps(i int) {
	w, o := t.from, t.from.owners[i]
	t.step(func(n *cancelWorld) {
		n.owners[i].readCancellation = n.cancelled
		if n.owner != int8(i) || n.term != o.term {
			n.owners[i] = modelOwner{readCancellation: n.cancelled}
		}
	})
	t.step(func(n *cancelWorld) { n.owners[i] = modelOwner{} })
	// The partition is the other controller's, or its own from before a restart. A takeover
	// includes a read of the record.
	if w.term < modelTerms && (w.owner != int8(i) || o.term == 0) {
		t.step(func(n *cancelWorld) {
			n.owner, n.term = int8(i), n.term+1
			n.owners[i] = modelOwner{term: n.term, readCancellation: n.cancelled}
		})
	}
}

// ownerSteps are the steps of a controller that takes itself for the owner: to start the task, to
// receive heartbeats, and to record the end of the task or the acknowledgement.
func (t transition) ownerSteps(i int) {
	w, g, o := t.from, t.guards, t.from.owners[i]
	isOwner := w.owner == int8(i) && w.term == o.term
	// A round with the start is composed, and is written at some later time.
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
	// It records the end of the task, by the machine's heartbeat.
	absent := !o.holdsAttempt && o.tokenSeen >= o.term && !o.sent && !w.launchesInFlight[o.term]
	if w.placed && isOwner && (o.exited || absent && o.readCancellation) {
		t.step(func(n *cancelWorld) { n.placed, n.ended = false, true })
	}
	// It acknowledges, even if it no longer owns the partition: a later owner has read the
	// cancellation with the takeover.
	if w.cancelled && w.placed && !w.acknowledged && (o.readCancellation || !g.readCancellation) &&
		(o.tokenSeen >= o.term || !g.tokenSeen) && (o.holdsAttempt || !g.reported) && (o.started || o.exited || !o.holdsAttempt || !g.started) {
		t.step(func(n *cancelWorld) { n.acknowledged = true })
	}
}

// heartbeatArrives are the steps in which an owner receives and answers the machine's heartbeat, or
// receives a delayed copy of an earlier one.
func (t transition) heartbeatArrives(i int) {
	o := t.from.owners[i]
	t.step(func(n *cancelWorld) {
		if n.machine.token > o.term {
			return // the machine rejects the older token
		}
		n.owners[i].applyHeartbeat(n.machine)
		n.machine.token = o.term
		switch {
		case n.owners[i].readCancellation || n.ended:
			n.machine.running = false
			if n.ended && n.machine.holdsAttempt && !n.machine.running && (!t.guards.settled || !n.launchesInFlight[o.term]) {
				n.machine.holdsAttempt, n.machine.started = false, false // the attempt is deleted
			}
		case n.answered && n.machine.running:
			n.violated = true // its lease is renewed by an owner that has not read the cancellation
		}
	})
	if o.tokenSeen == 0 { // otherwise the copy is older than the last heartbeat
		t.step(func(n *cancelWorld) { n.owners[i].applyHeartbeat(n.delayedHeartbeat) })
	}
}

// launchArrives are the steps in which a launch in flight reaches the machine; it may be duplicated.
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

// machineSteps are the steps of the machine: the task starts, a heartbeat is delayed, or the lease
// expires.
func (t transition) machineSteps() {
	if t.from.machine.running && !t.from.machine.started { // the image is fetched, or the gang is complete
		t.step(func(n *cancelWorld) { n.machine.started, n.violated = true, n.answered })
	}
	t.step(func(n *cancelWorld) { n.delayedHeartbeat = n.machine })
	// The lease expires: all attempts are stopped, and messages in flight name an earlier epoch.
	t.step(func(n *cancelWorld) {
		n.machine, n.delayedHeartbeat = modelMachine{token: n.machine.token}, modelMachine{token: n.delayedHeartbeat.token}
		n.launchesInFlight = [modelTerms + 1]bool{}
		if n.placed {
			n.placed, n.ended = false, true
		}
	})
}

// Once the user is answered, no controller that has not read the cancellation renews the lease of
// a machine with the task, and no machine accepts the task's launch or starts it, in any order of
// the steps. Each guard is necessary.
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
		t.Errorf("only %d states explored", states)
	}
	for what, without := range map[string]func(*guards){
		"the job's version in a start":    func(g *guards) { g.version = false },
		"the owner's read":                func(g *guards) { g.readCancellation = false },
		"the machine's token":             func(g *guards) { g.tokenSeen = false },
		"the reported attempt":            func(g *guards) { g.reported = false },
		"the task's start":                func(g *guards) { g.started = false },
		"waiting for the acknowledgement": func(g *guards) { g.awaitsAcknowledgement = false },
		"deletion only without a launch":  func(g *guards) { g.settled = false },
	} {
		g := all
		without(&g)
		if _, violated := search(g); !violated {
			t.Errorf("without %s the search finds no violation", what)
		}
	}
}
