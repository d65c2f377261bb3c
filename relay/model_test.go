package relay

import (
	"testing"

	"basaltwall/internal/modelcheck"
)

// The model: a key-value store whose log grows, a relay, and a controller that reads through it for a
// user. Reads, requests and responses arrive late, twice or never; the relay stalls or
// restarts, in which case it reads the state first; the controller falls back to a direct read. A change
// is a bit: the controller must never return to a user less than what was durable when the
// user asked, and must never miss a change.

// readGuards are what a read through a relay depends on.
type readGuards struct {
	readsAfterRequest bool // the relay begins its read after the request has arrived
	checksRetention   bool // it answers only if its log reaches back to the requested revision
	matchesRequest    bool // a response counts only for the request that it answers
}

const modelChanges = 4

// request is a request in flight to the relay, or pending there.
type request struct {
	active       bool
	number       int8
	since        int8
	arrived      bool
	reading      bool // a read was begun for it
	readRevision int8 // and what that read found, -1: not yet
}

type response struct {
	active bool
	number int8
	after  int8 // the changes begin after this
	upTo   int8
}

type readWorld struct {
	durable             int8 // changes so far
	relay               int8 // applied by the relay
	retained            int8 // its log begins after this
	followed            int8 // applied by the controller
	gap                 bool // it has a gap
	userWaiting         bool // a user waits
	durableAtRequest    int8 // what was durable when the user asked
	sent                bool // a request was sent for that user
	number              int8 // of the latest request
	request             request
	response, duplicate response // in flight; duplicate is one that arrives again
	returned            int8     // what was returned to the user, -1: not yet
	rounds              int8
}

func (w readWorld) next(g readGuards, visit func(readWorld)) bool {
	if w.gap || w.returned >= 0 && w.returned < w.durableAtRequest {
		return true
	}
	step := func(f func(n *readWorld)) {
		n := w
		f(&n)
		visit(n)
	}
	if w.durable < modelChanges {
		step(func(n *readWorld) { n.durable++ })
	}
	// The relay reads by itself, restarts, or drops the oldest change that it retains.
	step(func(n *readWorld) { n.relay = n.durable })
	step(func(n *readWorld) { n.relay, n.retained, n.request = n.durable, n.durable, request{} })
	if w.retained < w.relay {
		step(func(n *readWorld) { n.retained++ })
	}
	w.followerSteps(step, g)
	w.relaySteps(step, g)
	return false
}

// followerSteps are the steps of the controller that reads through the relay.
func (w readWorld) followerSteps(step func(func(*readWorld)), g readGuards) {
	if !w.userWaiting && w.rounds < 2 {
		step(func(n *readWorld) {
			n.userWaiting, n.durableAtRequest, n.sent, n.returned, n.rounds = true, n.durable, false, -1, n.rounds+1
		})
	}
	if w.userWaiting && !w.sent {
		step(func(n *readWorld) {
			n.sent, n.number = true, n.number+1
			n.request = request{active: true, number: n.number, since: n.followed, readRevision: -1}
		})
	}
	if w.userWaiting && w.sent { // timed out: it reads directly
		step(func(n *readWorld) { n.followed, n.returned, n.userWaiting = n.durable, n.durable, false })
	}
	for _, a := range []response{w.response, w.duplicate} {
		if !a.active {
			continue
		}
		step(func(n *readWorld) {
			if a == n.response {
				n.response = response{}
			} else {
				n.duplicate = response{}
			}
			if g.matchesRequest && a.number != n.number {
				return
			}
			if a.after > n.followed {
				n.gap = true // the changes between are not in it
			}
			n.followed = max(n.followed, a.upTo)
			if n.userWaiting && n.sent {
				n.returned, n.userWaiting = n.followed, false
			}
		})
	}
}

// relaySteps are the relay's steps for a request.
func (w readWorld) relaySteps(step func(func(*readWorld)), g readGuards) {
	if !w.request.active {
		return
	}
	if !w.request.arrived {
		step(func(n *readWorld) { n.request.arrived = true })
		return
	}
	if !w.request.reading && g.readsAfterRequest {
		step(func(n *readWorld) { n.request.reading = true })
		return
	}
	if g.readsAfterRequest && w.request.readRevision < 0 {
		step(func(n *readWorld) { n.relay, n.request.readRevision = n.durable, n.durable })
		return
	}
	if g.checksRetention && w.request.since < w.retained {
		step(func(n *readWorld) { n.request = request{} }) // refused: it reads directly
		return
	}
	step(func(n *readWorld) {
		n.duplicate = n.response
		n.response = response{true, n.request.number, max(n.request.since, n.retained), n.relay}
		n.request = request{}
	})
}

// However the log grows and requests, reads and responses are ordered, no user gets less
// than what was durable at the request, and no change is missed; and without any of the
// guards one of these happens.
func TestEveryInterleavingOfARelayedRead(t *testing.T) {
	all := readGuards{true, true, true}
	first := readWorld{returned: -1, request: request{readRevision: -1}}
	search := func(g readGuards) (int, bool) {
		return modelcheck.Explore(first, 0, func(w readWorld, do func(readWorld)) bool { return w.next(g, do) })
	}
	states, wrong := search(all)
	t.Logf("%d states", states)
	if wrong {
		t.Error("a user is told something older, or a change is missed")
	}
	if states < 10_000 {
		t.Errorf("%d states: the model does not move", states)
	}
	for what, without := range map[string]func(*readGuards){
		"reading after the question":   func(g *readGuards) { g.readsAfterRequest = false },
		"a log that reaches back":      func(g *readGuards) { g.checksRetention = false },
		"the question that it answers": func(g *readGuards) { g.matchesRequest = false },
	} {
		g := all
		without(&g)
		if _, wrong := search(g); !wrong {
			t.Errorf("without %s nothing goes wrong: the model does not see it", what)
		}
	}
}
