package reservation

import (
	"testing"

	"basaltwall/internal/modelcheck"
)

// The model: one skip, the same days, two sites and two controllers. Site 0 is offered the skip
// and confirms the offer, site 1 is promised it directly; each may retry its request under its
// key at either controller, and requests the release of its promise once it has the answer, also
// late and more than once. A controller reads the log and composes an operation from what it has read;
// its write lands at some later moment, perhaps after the controller ended, perhaps after
// another's; the same write may be sent twice.

type modelOp uint8

const (
	noOp modelOp = iota
	opOffer
	opTake
	opPromise
	opRelease0
	opRelease1
	opExpire
	opFree // a release that names no booking
)

// ledgerState is the recorded state: a stage for each site's booking.
type ledgerState [2]uint8

const (
	never uint8 = iota
	isOffered
	isPromised
	isClosed
)

func (l ledgerState) held() bool {
	return l[0] == isOffered || l[0] == isPromised || l[1] == isPromised
}

// modelWrite is a record in flight: composed when so many had been read.
type modelWrite struct {
	op   modelOp
	base uint8
}

type modelController struct {
	read     ledgerState
	seq      uint8
	writes   [2]modelWrite // by it or by its former incarnation
	awaiting modelOp       // whose outcome its client waits for
}

type modelWorld struct {
	ledger      ledgerState
	seq         uint8
	controllers [2]modelController
	answered    [2]uint8 // never, isOffered, isPromised, or isClosed once its end was requested
}

// modelRules are the guards; without any one the model must go wrong.
type modelRules struct {
	checksVersion       bool // a record lands only if none has since it was composed
	respondsWhenDurable bool // an answer is given once the record is durable
	readsCurrent        bool // requests that need no write are answered by a current read
	namesBooking        bool // a release names its booking
	idempotentKeys      bool // a key used again promises nothing new
	expiresByRecord     bool // an offer ends by a record
}

// after is the state after an operation; ok is false if it changes nothing.
func (l ledgerState) after(op modelOp, r modelRules) (ledgerState, bool) {
	was := l
	switch op {
	case opOffer:
		l[0] = isOffered
	case opTake:
		if l[0] == isOffered {
			l[0] = isPromised
		}
	case opPromise:
		l[1] = isPromised
	case opRelease0:
		if l[0] == isPromised {
			l[0] = isClosed
		}
	case opRelease1:
		if l[1] == isPromised {
			l[1] = isClosed
		}
	case opExpire:
		if l[0] == isOffered {
			l[0] = isClosed
		}
	case opFree:
		for i := range l {
			if l[i] == isPromised {
				l[i] = isClosed
			}
		}
	}
	return l, l != was
}

// compose is the operation that a controller composes for a request from what it has read.
func (c *modelController) compose(op modelOp, r modelRules) modelOp {
	l := c.read
	switch op {
	case opOffer:
		if l.held() || l[0] != never && r.idempotentKeys {
			return noOp
		}
	case opTake:
		if l[0] != isOffered {
			return noOp
		}
	case opPromise:
		free := !l.held()
		if !r.expiresByRecord && l[0] == isOffered && l[1] != isPromised {
			free = true // its clock says that the offer has expired
		}
		if !free || l[1] != never && r.idempotentKeys {
			return noOp
		}
	case opExpire:
		if l[0] != isOffered || !r.expiresByRecord {
			return noOp
		}
	case opRelease0, opRelease1:
		if !r.namesBooking {
			return opFree
		}
	}
	return op
}

// respond answers a client, by a state of the ledger.
func (w *modelWorld) respond(op modelOp, l ledgerState) (wrong bool) {
	site, stage := 0, l[0]
	if op == opPromise {
		site, stage = 1, l[1]
	}
	if op != opOffer && op != opTake && op != opPromise || stage != isOffered && stage != isPromised || w.answered[site] == isClosed {
		return false
	}
	if stage == isOffered && (op == opTake || w.answered[site] == isPromised) {
		return false
	}
	w.answered[site] = stage
	// The skip is reported free, or promised, and is another's.
	return w.answered[1-site] == isPromised
}

func (w modelWorld) next(r modelRules, visit func(modelWorld)) (wrong bool) {
	// A booking that a client relies on is gone.
	for i := range w.answered {
		if w.answered[i] == isPromised && w.ledger[i] != isPromised {
			return true
		}
	}
	for i := range w.controllers {
		c := &w.controllers[i]
		if c.seq != w.seq { // it reads
			n := w
			n.controllers[i].read, n.controllers[i].seq = w.ledger, w.seq
			visit(n)
		}
		// A request arrives.
		for op := opOffer; op <= opExpire; op++ {
			if op == opTake && w.answered[0] == never || op == opRelease0 && w.answered[0] < isPromised || op == opRelease1 && w.answered[1] < isPromised {
				continue
			}
			n := w
			nc := &n.controllers[i]
			if op == opRelease0 || op == opRelease1 {
				n.answered[op-opRelease0] = isClosed
			}
			made := nc.compose(op, r)
			if made == noOp {
				if c.seq == w.seq || !r.readsCurrent {
					wrong = n.respond(op, nc.read) || wrong
					visit(n)
				}
				continue
			}
			slot := 0
			if nc.writes[0].op != noOp {
				slot = 1
			}
			if nc.writes[slot].op != noOp || nc.awaiting != noOp {
				continue
			}
			nc.writes[slot], nc.awaiting = modelWrite{made, c.seq}, op
			if !r.respondsWhenDurable {
				l, _ := nc.read.after(made, r)
				wrong = n.respond(op, l) || wrong
			}
			visit(n)
		}
		// A write lands, and is perhaps sent once more; or it never does.
		for k, x := range c.writes {
			if x.op == noOp {
				continue
			}
			for _, twice := range []bool{false, true} {
				n := w
				if !twice {
					n.controllers[i].writes[k] = modelWrite{}
				}
				if x.base == w.seq || !r.checksVersion {
					if l, ok := w.ledger.after(x.op, r); ok {
						n.ledger, n.seq = l, w.seq+1
						if !r.idempotentKeys && w.answered[1] == isClosed && w.ledger[1] == isClosed && l[1] == isPromised {
							wrong = true // a retry of a request whose promise is closed promises anew
						}
					}
					if op := c.awaiting; op != noOp && k == latestWrite(c) {
						n.controllers[i].awaiting, n.controllers[i].read, n.controllers[i].seq = noOp, n.ledger, n.seq
						wrong = n.respond(op, n.ledger) || wrong
					}
				}
				visit(n)
			}
			n := w
			n.controllers[i].writes[k] = modelWrite{}
			n.controllers[i].awaiting = noOp
			visit(n)
		}
		// It restarts: what it has sent stays in flight.
		n := w
		n.controllers[i].awaiting = noOp
		n.controllers[i].read, n.controllers[i].seq = w.ledger, w.seq
		visit(n)
	}
	return wrong
}

// latestWrite is the write whose outcome is waited for.
func latestWrite(c *modelController) int {
	if c.writes[1].op != noOp {
		return 1
	}
	return 0
}

func exploreLedger(r modelRules, steps int) (states int, wrong bool) {
	return modelcheck.Explore(modelWorld{}, steps, func(w modelWorld, do func(modelWorld)) bool { return w.next(r, do) })
}

// No sequence of requests, retries, reads, late or repeated writes, and restarts answers a site with
// a promise that another relies on or that does not hold; and each guard is needed for that.
func TestEveryInterleavingOfPromises(t *testing.T) {
	all := modelRules{true, true, true, true, true, true}
	states, wrong := exploreLedger(all, 12)
	t.Logf("%d states", states)
	if wrong {
		t.Error("somebody is told what is not so")
	}
	if states < 100_000 {
		t.Errorf("%d states: the model does not move", states)
	}
	for what, drop := range map[string]func(*modelRules){
		"the slot's version":           func(r *modelRules) { r.checksVersion = false },
		"waiting for the record":       func(r *modelRules) { r.respondsWhenDurable = false },
		"a current read":               func(r *modelRules) { r.readsCurrent = false },
		"the promise's number":         func(r *modelRules) { r.namesBooking = false },
		"names":                        func(r *modelRules) { r.idempotentKeys = false },
		"a record for an offer's end ": func(r *modelRules) { r.expiresByRecord = false },
	} {
		r := all
		drop(&r)
		if _, wrong := exploreLedger(r, 11); !wrong {
			t.Errorf("without %s nothing goes wrong: the model does not see it", what)
		}
	}
}
