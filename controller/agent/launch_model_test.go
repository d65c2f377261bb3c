package agent

import (
	"testing"

	"basaltwall/internal/modelcheck"
)

// The model has one machine, one attempt and its partition's owner, which may be replaced. Launches and
// reaps are sent in replies to heartbeats and in direct calls. A reply is executed or dropped at any time
// before the agent's next heartbeat. A direct call is answered or not; in both cases copies of it arrive at
// any later time, any number of times and in any order.

// launchGuards are the conditions under which an attempt is reaped or recorded as never started.
type launchGuards struct {
	calls        bool // a reap needs a reported token above that of the launches in direct calls
	replies      bool // a reap needs a reported token above that of the launches in replies
	missing      bool // a missing attempt has never started only under a reported token above its launches
	termReported bool // an owner gives commands and draws conclusions only when its term has been reported
}

// modelMaxToken bounds the tokens: terms of owners and revisions that they obtain.
const modelMaxToken = 4

// attemptState is the state of the attempt on the machine.
type attemptState int8

const (
	attemptAbsent attemptState = iota
	attemptLive
	attemptExited
)

// reply is the reply to the agent's heartbeat in flight.
type reply struct {
	token        int8
	launch, reap bool
}

type launchWorld struct {
	// The machine.
	token    int8
	attempt  attemptState
	waiting  bool // a heartbeat is in flight: its reply has been neither executed nor dropped
	reply    reply
	launches [modelMaxToken + 1]bool // copies of direct calls with a launch that may arrive, by token
	reaps    [modelMaxToken + 1]bool // the same with a reap

	// The cluster state and its owner's knowledge.
	unwanted      bool // the attempt is to end, because its job is cancelled
	ended         bool // the end of the attempt is durable
	term          int8
	commandToken  int8
	calledToken   int8 // highest token of this owner's direct calls with a launch
	repliedToken  int8 // highest token of this owner's replies with a launch
	seen          attemptState
	heard         bool // the owner has received a heartbeat
	reportedToken int8
	callInFlight  bool
	violated      bool
}

type launchTransition struct {
	from   launchWorld
	guards launchGuards
	visit  func(launchWorld)
}

func (t launchTransition) step(change func(n *launchWorld)) {
	n := t.from
	change(&n)
	t.visit(n)
}

func (w launchWorld) next(g launchGuards, visit func(launchWorld)) bool {
	if w.violated {
		return true
	}
	t := launchTransition{from: w, guards: g, visit: visit}
	t.machineSteps()
	t.heartbeatSteps()
	t.callSteps()
	t.recordSteps()
	t.tokenSteps()
	return false
}

// execute executes commands on the machine under a token, unless it has seen a higher one.
func (w *launchWorld) execute(token int8, launch, reap bool) {
	if token < w.token {
		return
	}
	w.token = token
	if reap && w.attempt == attemptExited {
		w.attempt = attemptAbsent
	}
	if launch && w.attempt == attemptAbsent {
		w.attempt = attemptLive
		w.violated = w.ended // it may run on another machine
	}
}

// receive updates the owner's knowledge by a heartbeat or the answer to a direct call.
func (w *launchWorld) receive() {
	w.heard, w.seen, w.reportedToken = true, w.attempt, w.token
}

// maySend reports whether the owner may give commands.
func (w launchWorld) maySend(g launchGuards) bool {
	return w.heard && (w.reportedToken >= w.term || !g.termReported)
}

// commands returns the commands that the owner gives the machine.
func (w launchWorld) commands(g launchGuards) (launch, reap bool) {
	if !w.maySend(g) {
		return false, false
	}
	mayStillLaunch := g.calls && w.reportedToken <= w.calledToken || g.replies && w.reportedToken <= w.repliedToken
	return !w.ended && !w.unwanted && w.seen == attemptAbsent, w.ended && w.seen == attemptExited && !mayStillLaunch
}

// machineSteps are the steps of the machine, and late copies that reach it.
func (t launchTransition) machineSteps() {
	if t.from.attempt == attemptLive {
		t.step(func(n *launchWorld) { n.attempt = attemptExited })
	}
	for token := range t.from.launches {
		if t.from.launches[token] {
			t.step(func(n *launchWorld) { n.execute(int8(token), true, false) })
		}
		if t.from.reaps[token] {
			t.step(func(n *launchWorld) { n.execute(int8(token), false, true) })
		}
	}
}

// heartbeatSteps are the steps in which the agent sends a heartbeat, and executes or drops its reply.
func (t launchTransition) heartbeatSteps() {
	w, g := t.from, t.guards
	if w.waiting {
		t.step(func(n *launchWorld) {
			n.waiting, n.reply = false, reply{}
			n.execute(w.reply.token, w.reply.launch, w.reply.reap)
		})
		t.step(func(n *launchWorld) { n.waiting, n.reply = false, reply{} })
		return
	}
	if w.token > w.commandToken {
		return
	}
	t.step(func(n *launchWorld) {
		n.receive()
		launch, reap := n.commands(g)
		n.waiting, n.reply = true, reply{token: n.commandToken, launch: launch, reap: reap}
		if launch {
			n.repliedToken = n.commandToken
		}
	})
}

// callSteps are the steps in which the owner makes a direct call, and the call is answered or not. The first
// copy that arrives is the call itself.
func (t launchTransition) callSteps() {
	w, g := t.from, t.guards
	if w.callInFlight {
		t.step(func(n *launchWorld) { // answered
			n.callInFlight = false
			n.execute(w.calledToken, true, false)
			n.receive()
		})
		t.step(func(n *launchWorld) { n.callInFlight = false }) // not answered
		return
	}
	t.step(func(n *launchWorld) { // without commands
		n.execute(n.commandToken, false, false)
		n.receive()
	})
	launch, reap := w.commands(g)
	if launch {
		t.step(func(n *launchWorld) {
			n.callInFlight, n.calledToken, n.launches[n.commandToken] = true, n.commandToken, true
		})
	}
	if reap {
		t.step(func(n *launchWorld) { n.reaps[n.commandToken] = true })
	}
}

// recordSteps are the steps in which the job is cancelled, and in which the owner records the end of the
// attempt: it has exited or, if it is no longer wanted, has never started.
func (t launchTransition) recordSteps() {
	w, g := t.from, t.guards
	if !w.unwanted {
		t.step(func(n *launchWorld) { n.unwanted = true })
	}
	if w.ended || !w.maySend(g) {
		return
	}
	if w.seen == attemptExited {
		t.step(func(n *launchWorld) { n.ended = true })
	}
	refused := w.reportedToken > max(w.calledToken, w.repliedToken)
	if w.unwanted && w.seen == attemptAbsent && (refused || !g.missing) {
		t.step(func(n *launchWorld) { n.ended = true })
	}
}

// tokenSteps are the steps in which the owner raises the token, and in which another controller takes the
// partition over.
func (t launchTransition) tokenSteps() {
	w := t.from
	if w.commandToken == modelMaxToken {
		return
	}
	t.step(func(n *launchWorld) { n.commandToken++ })
	t.step(func(n *launchWorld) {
		n.term = n.commandToken + 1
		n.commandToken, n.calledToken, n.repliedToken = n.term, 0, 0
		n.heard, n.seen, n.reportedToken, n.callInFlight = false, attemptAbsent, 0, false
	})
}

// Once the end of an attempt is recorded, no machine starts the attempt, whichever way its launches take and
// however late and often they arrive: in a reply to a heartbeat, in a direct call that is answered or not, or
// from a former owner. Each condition is necessary.
func TestLateLaunchInterleavings(t *testing.T) {
	every := launchGuards{calls: true, replies: true, missing: true, termReported: true}
	search := func(g launchGuards) (int, bool) {
		return modelcheck.Explore(launchWorld{term: 1, commandToken: 1}, 0, func(w launchWorld, visit func(launchWorld)) bool { return w.next(g, visit) })
	}
	states, violated := search(every)
	t.Logf("%d states", states)
	if violated {
		t.Error("an attempt starts again after its end was recorded")
	}
	if states < 5_000 {
		t.Errorf("only %d states explored", states)
	}
	for what, without := range map[string]func(*launchGuards){
		"the token above launches in direct calls": func(g *launchGuards) { g.calls = false },
		"the token above launches in replies":      func(g *launchGuards) { g.replies = false },
		"the token above a missing attempt's":      func(g *launchGuards) { g.missing = false },
		"the report of the term":                   func(g *launchGuards) { g.termReported = false },
	} {
		g := every
		without(&g)
		if _, violated := search(g); !violated {
			t.Errorf("without %s the search finds no violation", what)
		}
	}
}
