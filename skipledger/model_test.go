package skipledger

import (
	"testing"

	"basaltwall/internal/modelcheck"
)

// The model has one skip, one range of days, two sites and two controllers. Site 0 is offered the skip
// and confirms the offer; site 1 is promised the skip directly. Each site may retry its request with the
// same key at either controller, and may release its promise, also late and repeatedly. A controller
// composes operations from the state that it has read. Its writes may be delayed, also beyond its end, or
// sent twice.

type modelOp uint8

const (
	noOp modelOp = iota
	opOffer
	opConfirm
	opPromise
	opRelease0
	opRelease1
	opExpire
	opReleaseUnnamed // a release that does not name a booking
)

// ledgerState is the recorded stage of the booking of each site.
type ledgerState [2]uint8

const (
	stageNone uint8 = iota
	stageOffered
	stagePromised
	stageClosed
)

func (l ledgerState) held() bool {
	return l[0] == stageOffered || l[0] == stagePromised || l[1] == stagePromised
}

// modelWrite is a write in flight. base is the number of records that the controller had read when it
// composed it.
type modelWrite struct {
	op   modelOp
	base uint8
}

type modelController struct {
	read     ledgerState
	seq      uint8
	writes   [2]modelWrite // of this process and the previous one
	awaiting modelOp       // request whose client waits for the outcome
}

type modelState struct {
	ledger      ledgerState
	seq         uint8
	controllers [2]modelController
	answered    [2]uint8 // stage by the latest answer; stageClosed once the release was requested
}

// modelRules are the rules of the protocol; without any one of them the model must violate the invariant.
type modelRules struct {
	checksVersion       bool // a write succeeds only if no other record was written since it was composed
	respondsWhenDurable bool // a request is answered once its record is durable
	readsCurrent        bool // requests that need no write are answered from a current read
	namesBooking        bool // a release names its booking
	idempotentKeys      bool // a repeated key creates no new promise
	expiresByRecord     bool // an offer expires by a record
}

// after returns the state after an operation; ok is false if it changes nothing.
func (l ledgerState) after(op modelOp, r modelRules) (ledgerState, bool) {
	was := l
	switch op {
	case opOffer:
		l[0] = stageOffered
	case opConfirm:
		if l[0] == stageOffered {
			l[0] = stagePromised
		}
	case opPromise:
		l[1] = stagePromised
	case opRelease0:
		if l[0] == stagePromised {
			l[0] = stageClosed
		}
	case opRelease1:
		if l[1] == stagePromised {
			l[1] = stageClosed
		}
	case opExpire:
		if l[0] == stageOffered {
			l[0] = stageClosed
		}
	case opReleaseUnnamed:
		for i := range l {
			if l[i] == stagePromised {
				l[i] = stageClosed
			}
		}
	}
	return l, l != was
}

// compose returns the operation that a controller composes for a request from the state that it has read.
func (c *modelController) compose(op modelOp, r modelRules) modelOp {
	l := c.read
	switch op {
	case opOffer:
		if l.held() || l[0] != stageNone && r.idempotentKeys {
			return noOp
		}
	case opConfirm:
		if l[0] != stageOffered {
			return noOp
		}
	case opPromise:
		free := !l.held()
		if !r.expiresByRecord && l[0] == stageOffered && l[1] != stagePromised {
			free = true // its clock says that the offer has expired
		}
		if !free || l[1] != stageNone && r.idempotentKeys {
			return noOp
		}
	case opExpire:
		if l[0] != stageOffered || !r.expiresByRecord {
			return noOp
		}
	case opRelease0, opRelease1:
		if !r.namesBooking {
			return opReleaseUnnamed
		}
	}
	return op
}

// respond answers a client from a state of the ledger, and reports whether the answer violates the
// invariant.
func (w *modelState) respond(op modelOp, l ledgerState) (wrong bool) {
	site, stage := 0, l[0]
	if op == opPromise {
		site, stage = 1, l[1]
	}
	if op != opOffer && op != opConfirm && op != opPromise || stage != stageOffered && stage != stagePromised || w.answered[site] == stageClosed {
		return false
	}
	if stage == stageOffered && (op == opConfirm || w.answered[site] == stagePromised) {
		return false
	}
	w.answered[site] = stage
	// The skip is reported as free or promised although it is promised to the other site.
	return w.answered[1-site] == stagePromised
}

func (w modelState) next(r modelRules, visit func(modelState)) (wrong bool) {
	// A client was answered with a promise that the ledger does not hold.
	for i := range w.answered {
		if w.answered[i] == stagePromised && w.ledger[i] != stagePromised {
			return true
		}
	}
	for i := range w.controllers {
		c := &w.controllers[i]
		if c.seq != w.seq { // it reads the log
			n := w
			n.controllers[i].read, n.controllers[i].seq = w.ledger, w.seq
			visit(n)
		}
		// A request arrives.
		for op := opOffer; op <= opExpire; op++ {
			if op == opConfirm && w.answered[0] == stageNone || op == opRelease0 && w.answered[0] < stagePromised || op == opRelease1 && w.answered[1] < stagePromised {
				continue
			}
			n := w
			nc := &n.controllers[i]
			if op == opRelease0 || op == opRelease1 {
				n.answered[op-opRelease0] = stageClosed
			}
			composed := nc.compose(op, r)
			if composed == noOp {
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
			nc.writes[slot], nc.awaiting = modelWrite{composed, c.seq}, op
			if !r.respondsWhenDurable {
				l, _ := nc.read.after(composed, r)
				wrong = n.respond(op, l) || wrong
			}
			visit(n)
		}
		// A write succeeds, and may be sent again; or it fails.
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
						if !r.idempotentKeys && w.answered[1] == stageClosed && w.ledger[1] == stageClosed && l[1] == stagePromised {
							wrong = true // a retry of a request whose promise is closed creates a new promise
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
		// The controller restarts; its writes stay in flight.
		n := w
		n.controllers[i].awaiting = noOp
		n.controllers[i].read, n.controllers[i].seq = w.ledger, w.seq
		visit(n)
	}
	return wrong
}

// latestWrite returns the index of the write whose outcome the controller waits for.
func latestWrite(c *modelController) int {
	if c.writes[1].op != noOp {
		return 1
	}
	return 0
}

func exploreLedger(r modelRules, steps int) (states int, wrong bool) {
	return modelcheck.Explore(modelState{}, steps, func(w modelState, visit func(modelState)) bool { return w.next(r, visit) })
}

// No sequence of requests, retries, reads, delayed or repeated writes, and restarts answers a site with a
// promise that the ledger does not hold or that conflicts with the other site's, and each rule is
// necessary for that.
func TestEveryInterleavingOfPromises(t *testing.T) {
	all := modelRules{true, true, true, true, true, true}
	states, wrong := exploreLedger(all, 12)
	t.Logf("%d states", states)
	if wrong {
		t.Error("a site gets a wrong answer")
	}
	if states < 100_000 {
		t.Errorf("only %d states are reachable", states)
	}
	for omission, drop := range map[string]func(*modelRules){
		"the condition on the version": func(r *modelRules) { r.checksVersion = false },
		"waiting for the write":        func(r *modelRules) { r.respondsWhenDurable = false },
		"a current read":               func(r *modelRules) { r.readsCurrent = false },
		"the id of the booking":        func(r *modelRules) { r.namesBooking = false },
		"idempotency keys":             func(r *modelRules) { r.idempotentKeys = false },
		"a record of the expiry":       func(r *modelRules) { r.expiresByRecord = false },
	} {
		r := all
		drop(&r)
		if _, wrong := exploreLedger(r, 11); !wrong {
			t.Errorf("without %s the model finds no violation", omission)
		}
	}
}
