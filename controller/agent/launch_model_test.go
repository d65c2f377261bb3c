package agent

import (
	"testing"

	"basaltwall/internal/modelcheck"
)

// The model has one machine, one attempt and its partition's owner, which may be replaced. Launches and
// reaps are sent in replies to heartbeats and in direct calls. A reply is executed or dropped at any time
// before the agent's next heartbeat. A direct call is answered or not; a copy of it may arrive at any later
// time, also if it is answered, when the HTTP client has sent it twice.

// launchGuards are the conditions under which an attempt is reaped or recorded as never started.
type launchGuards struct {
	replySettled bool // not while a reply with the launch may be executed
	callSettled  bool // not while a direct call with the launch is in flight
	unanswered   bool // not before the token is raised after an unanswered call
	repeated     bool // not before the token is raised after a call that was sent twice
	aboveLaunch  bool // a missing attempt has never started only under a token above its launches
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
	launches [modelMaxToken + 1]bool // copies of launches that may arrive, by token

	// The cluster state and its owner's knowledge.
	ended         bool // the end of the attempt is durable
	term          int8
	commandToken  int8
	launchToken   int8 // highest token of a launch by this owner
	seen          attemptState
	heard         bool // the owner has received a heartbeat
	reportedToken int8
	callInFlight  bool
	uncertain     int8 // as Machine.UncertainToken
	replied       bool // as Machine.RepliedLaunches
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
	if w.reportedToken > w.uncertain {
		w.uncertain = 0
	}
}

// maySend reports whether the owner may give commands.
func (w launchWorld) maySend() bool {
	return w.heard && w.reportedToken >= w.term
}

// commands returns the commands that the owner gives the machine.
func (w launchWorld) commands(g launchGuards) (launch, reap bool) {
	if !w.maySend() {
		return false, false
	}
	unsettled := w.callInFlight && g.callSettled || w.uncertain != 0 || w.replied && g.replySettled
	return !w.ended && w.seen == attemptAbsent, w.ended && w.seen == attemptExited && !unsettled
}

// machineSteps are the steps of the machine, and late copies that reach it.
func (t launchTransition) machineSteps() {
	if t.from.attempt == attemptLive {
		t.step(func(n *launchWorld) { n.attempt = attemptExited })
	}
	for token, sent := range t.from.launches {
		if sent {
			t.step(func(n *launchWorld) { n.execute(int8(token), true, false) })
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
		n.replied = false
		launch, reap := n.commands(g)
		n.waiting, n.reply, n.replied = true, reply{token: n.commandToken, launch: launch, reap: reap}, launch
		if launch {
			n.launchToken = n.commandToken
		}
	})
}

// callSteps are the steps in which the owner makes a direct call, and the call is answered or not.
func (t launchTransition) callSteps() {
	w, g := t.from, t.guards
	if w.callInFlight {
		token := w.launchToken
		t.step(func(n *launchWorld) { // answered: the only copy has arrived
			n.callInFlight, n.launches[token] = false, false
			n.execute(token, true, false)
			n.receive()
		})
		t.step(func(n *launchWorld) { // answered, but a first copy may still arrive
			n.callInFlight = false
			n.execute(token, true, false)
			if g.repeated {
				n.uncertain = token
			}
			n.receive()
		})
		t.step(func(n *launchWorld) { // not answered
			n.callInFlight = false
			if g.unanswered {
				n.uncertain = token
			}
		})
		return
	}
	launch, reap := w.commands(g)
	if launch {
		t.step(func(n *launchWorld) {
			n.callInFlight, n.launchToken, n.launches[n.commandToken] = true, n.commandToken, true
		})
	}
	if reap {
		t.step(func(n *launchWorld) { n.execute(n.commandToken, false, true) })
	}
}

// recordSteps are the steps in which the owner records the end of the attempt: it has exited or, if it is
// no longer wanted, has never started. The latter may begin with a wish for a newer token.
func (t launchTransition) recordSteps() {
	w, g := t.from, t.guards
	if w.ended || !w.maySend() {
		return
	}
	if w.seen == attemptExited {
		t.step(func(n *launchWorld) { n.ended = true })
	}
	latest := max(w.launchToken, w.term-1)
	if w.seen == attemptAbsent && (w.reportedToken > latest || !g.aboveLaunch) {
		t.step(func(n *launchWorld) { n.ended = true })
	}
	if w.seen == attemptAbsent && w.reportedToken <= latest {
		t.step(func(n *launchWorld) { n.uncertain = max(n.uncertain, latest) })
	}
}

// tokenSteps are the steps in which the owner raises the token after an uncertain call, and in which
// another controller takes the partition over.
func (t launchTransition) tokenSteps() {
	w := t.from
	if w.uncertain != 0 && w.commandToken <= w.uncertain && w.commandToken < modelMaxToken {
		t.step(func(n *launchWorld) { n.commandToken++ })
	}
	if w.term < modelMaxToken && w.commandToken < modelMaxToken {
		t.step(func(n *launchWorld) {
			n.term = n.commandToken + 1
			n.commandToken, n.launchToken, n.uncertain = n.term, 0, 0
			n.heard, n.seen, n.reportedToken, n.callInFlight, n.replied = false, attemptAbsent, 0, false, false
		})
	}
}

// Once the end of an attempt is recorded, no machine starts the attempt, whichever way its launches take
// and however late they arrive: in a reply to a heartbeat, in a direct call that is answered, not answered
// or sent twice, or from a former owner. Each condition is necessary.
func TestLateLaunchInterleavings(t *testing.T) {
	all := launchGuards{replySettled: true, callSettled: true, unanswered: true, repeated: true, aboveLaunch: true}
	search := func(g launchGuards) (int, bool) {
		return modelcheck.Explore(launchWorld{term: 1, commandToken: 1}, 0, func(w launchWorld, visit func(launchWorld)) bool { return w.next(g, visit) })
	}
	states, violated := search(all)
	t.Logf("%d states", states)
	if violated {
		t.Error("an attempt starts again after its end was recorded")
	}
	if states < 5_000 {
		t.Errorf("only %d states explored", states)
	}
	for what, without := range map[string]func(*launchGuards){
		"the wait for the reply's end":        func(g *launchGuards) { g.replySettled = false },
		"the wait for the call's end":         func(g *launchGuards) { g.callSettled = false },
		"the new token after no answer":       func(g *launchGuards) { g.unanswered = false },
		"the new token after a repeat":        func(g *launchGuards) { g.repeated = false },
		"the launch's token of a missing one": func(g *launchGuards) { g.aboveLaunch = false },
	} {
		g := all
		without(&g)
		if _, violated := search(g); !violated {
			t.Errorf("without %s the search finds no violation", what)
		}
	}
}
