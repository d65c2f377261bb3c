package relay

import (
	"testing"

	"basaltwall/internal/modelcheck"
)

// Model of a key-value store with a growing log, a relay, and a controller that reads through the relay
// for a user. Requests and responses may be delayed, duplicated or lost, the relay may stall or restart,
// and the controller may fall back to a direct read. The controller must never miss a change, nor return
// to a user less than what was durable at the user's request.

// readGuards are the checks that make a read through a relay correct.
type readGuards struct {
	readsAfterRequest bool // the relay begins its read after the request has arrived
	checksRetention   bool // the relay answers only if its log contains all changes after the requested revision
	matchesRequest    bool // the controller accepts a response only for its latest request
}

const modelChanges = 4 // maximum number of changes to the log

// request is a request in flight to the relay or pending at it.
type request struct {
	active       bool
	number       int8
	since        int8
	arrived      bool
	reading      bool // the relay has started its read
	readRevision int8 // result of that read, -1 if it is not finished
}

type response struct {
	active bool
	number int8
	after  int8 // revision after which the changes start
	upTo   int8 // revision up to which the changes are complete
}

type readWorld struct {
	durable             int8 // latest revision of the store
	relay               int8 // revision applied by the relay
	retained            int8 // revision after which the relay's log starts
	followed            int8 // revision applied by the controller
	gap                 bool // the controller has missed a change
	userWaiting         bool
	durableAtRequest    int8 // latest revision at the user's request
	sent                bool // a request to the relay was sent for the user
	number              int8 // number of the latest request
	request             request
	response, duplicate response // in flight; duplicate is a response that arrives a second time
	returned            int8     // revision returned to the user, -1 if none yet
	rounds              int8     // number of user requests
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
	// The relay reads on its own, restarts, or drops the oldest retained change.
	step(func(n *readWorld) { n.relay = n.durable })
	step(func(n *readWorld) { n.relay, n.retained, n.request = n.durable, n.durable, request{} })
	if w.retained < w.relay {
		step(func(n *readWorld) { n.retained++ })
	}
	w.followerSteps(step, g)
	w.relaySteps(step, g)
	return false
}

// followerSteps takes the possible steps of the controller that reads through the relay.
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
	if w.userWaiting && w.sent { // the request times out and the controller reads directly
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
				n.gap = true // the response lacks the changes between followed and after
			}
			n.followed = max(n.followed, a.upTo)
			if n.userWaiting && n.sent {
				n.returned, n.userWaiting = n.followed, false
			}
		})
	}
}

// relaySteps takes the possible steps of the relay for a request.
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
		step(func(n *readWorld) { n.request = request{} }) // rejected; the controller reads directly
		return
	}
	step(func(n *readWorld) {
		n.duplicate = n.response
		n.response = response{true, n.request.number, max(n.request.since, n.retained), n.relay}
		n.request = request{}
	})
}

// In every interleaving no user gets less than what was durable at the request and no change is missed.
// Without any one of the guards, the model finds a violation.
func TestEveryInterleavingOfARelayedRead(t *testing.T) {
	all := readGuards{true, true, true}
	first := readWorld{returned: -1, request: request{readRevision: -1}}
	search := func(g readGuards) (int, bool) {
		return modelcheck.Explore(first, 0, func(w readWorld, do func(readWorld)) bool { return w.next(g, do) })
	}
	states, wrong := search(all)
	t.Logf("%d states", states)
	if wrong {
		t.Error("a user received an outdated result, or a change was missed")
	}
	if states < 10_000 {
		t.Errorf("%d states: the model explores too little", states)
	}
	for what, without := range map[string]func(*readGuards){
		"reading after the request":         func(g *readGuards) { g.readsAfterRequest = false },
		"checking the retained log":         func(g *readGuards) { g.checksRetention = false },
		"matching responses to the request": func(g *readGuards) { g.matchesRequest = false },
	} {
		g := all
		without(&g)
		if _, wrong := search(g); !wrong {
			t.Errorf("without %s the model finds no violation", what)
		}
	}
}
