package skips

import (
	"testing"

	"basaltwall/internal/explore"
)

// The model: one skip, the same days, two sites and two controllers. Site 0 is offered the skip
// and takes the offer, site 1 is promised it at once; each may ask again and again, under its
// name, at either controller, and asks for its promise's release once it has been told of it, also
// late and more than once. A controller reads the log, composes a change by what it has read, and
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
	opFree // a release that names no number
)

// ledgerState is what the records say: a stage for each site's item.
type ledgerState [2]uint8

const (
	never uint8 = iota
	isOffered
	isPromised
	isOver
)

func (l ledgerState) held() bool {
	return l[0] == isOffered || l[0] == isPromised || l[1] == isPromised
}

// sent is a record on its way: composed when so many were read.
type sent struct {
	op   modelOp
	base uint8
}

type modelController struct {
	read   ledgerState
	seq    uint8
	writes [2]sent // by it or by its former life
	waits  modelOp // whose outcome its asker waits for
}

type modelWorld struct {
	now   ledgerState
	seq   uint8
	nodes [2]modelController
	told  [2]uint8 // never, isOffered, isPromised, or isOver once its end was asked for
}

// modelRules are the guards; without any one the model must go wrong.
type modelRules struct {
	slot    bool // a record lands only if none has since it was composed
	durable bool // an answer is given once the record is there
	current bool // what needs no write is answered by a current read
	number  bool // a release names its promise
	names   bool // a name asked again promises nothing new
	written bool // an offer ends by a record
}

// after is the state with a change made; ok is false where it changes nothing.
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
			l[0] = isOver
		}
	case opRelease1:
		if l[1] == isPromised {
			l[1] = isOver
		}
	case opExpire:
		if l[0] == isOffered {
			l[0] = isOver
		}
	case opFree:
		for i := range l {
			if l[i] == isPromised {
				l[i] = isOver
			}
		}
	}
	return l, l != was
}

// compose is the change that a controller makes of a request by what it has read.
func (c *modelController) compose(op modelOp, r modelRules) modelOp {
	l := c.read
	switch op {
	case opOffer:
		if l.held() || l[0] != never && r.names {
			return noOp
		}
	case opTake:
		if l[0] != isOffered {
			return noOp
		}
	case opPromise:
		free := !l.held()
		if !r.written && l[0] == isOffered && l[1] != isPromised {
			free = true // its clock says that the offer is over
		}
		if !free || l[1] != never && r.names {
			return noOp
		}
	case opExpire:
		if l[0] != isOffered || !r.written {
			return noOp
		}
	case opRelease0, opRelease1:
		if !r.number {
			return opFree
		}
	}
	return op
}

// tell is when somebody is told what became of a request, by a state of the ledger.
func (w *modelWorld) tell(op modelOp, l ledgerState) (wrong bool) {
	site, stage := 0, l[0]
	if op == opPromise {
		site, stage = 1, l[1]
	}
	if op != opOffer && op != opTake && op != opPromise || stage != isOffered && stage != isPromised || w.told[site] == isOver {
		return false
	}
	if stage == isOffered && (op == opTake || w.told[site] == isPromised) {
		return false
	}
	w.told[site] = stage
	// It is shown free, or promised, and is another's.
	return w.told[1-site] == isPromised
}

func (w modelWorld) next(r modelRules, do func(modelWorld)) (wrong bool) {
	// What somebody counts on is gone.
	for i := range w.told {
		if w.told[i] == isPromised && w.now[i] != isPromised {
			return true
		}
	}
	for i := range w.nodes {
		c := &w.nodes[i]
		if c.seq != w.seq { // it reads
			n := w
			n.nodes[i].read, n.nodes[i].seq = w.now, w.seq
			do(n)
		}
		// It is asked.
		for op := opOffer; op <= opExpire; op++ {
			if op == opTake && w.told[0] == never || op == opRelease0 && w.told[0] < isPromised || op == opRelease1 && w.told[1] < isPromised {
				continue
			}
			n := w
			nc := &n.nodes[i]
			if op == opRelease0 || op == opRelease1 {
				n.told[op-opRelease0] = isOver
			}
			made := nc.compose(op, r)
			if made == noOp {
				if c.seq == w.seq || !r.current {
					wrong = n.tell(op, nc.read) || wrong
					do(n)
				}
				continue
			}
			slot := 0
			if nc.writes[0].op != noOp {
				slot = 1
			}
			if nc.writes[slot].op != noOp || nc.waits != noOp {
				continue
			}
			nc.writes[slot], nc.waits = sent{made, c.seq}, op
			if !r.durable {
				l, _ := nc.read.after(made, r)
				wrong = n.tell(op, l) || wrong
			}
			do(n)
		}
		// A write lands, and is perhaps sent once more; or it never does.
		for k, x := range c.writes {
			if x.op == noOp {
				continue
			}
			for _, twice := range []bool{false, true} {
				n := w
				if !twice {
					n.nodes[i].writes[k] = sent{}
				}
				if x.base == w.seq || !r.slot {
					if l, ok := w.now.after(x.op, r); ok {
						n.now, n.seq = l, w.seq+1
						if !r.names && w.told[1] == isOver && w.now[1] == isOver && l[1] == isPromised {
							wrong = true // a repeat of a request whose promise is over promises anew
						}
					}
					if op := c.waits; op != noOp && k == latest(c) {
						n.nodes[i].waits, n.nodes[i].read, n.nodes[i].seq = noOp, n.now, n.seq
						wrong = n.tell(op, n.now) || wrong
					}
				}
				do(n)
			}
			n := w
			n.nodes[i].writes[k] = sent{}
			n.nodes[i].waits = noOp
			do(n)
		}
		// It ends, and begins anew: what it has sent stays under way.
		n := w
		n.nodes[i].waits = noOp
		n.nodes[i].read, n.nodes[i].seq = w.now, w.seq
		do(n)
	}
	return wrong
}

// latest is the write whose outcome is waited for.
func latest(c *modelController) int {
	if c.writes[1].op != noOp {
		return 1
	}
	return 0
}

func exploreLedger(r modelRules, steps int) (states int, wrong bool) {
	return explore.All(modelWorld{}, steps, func(w modelWorld, do func(modelWorld)) bool { return w.next(r, do) })
}

// No sequence of requests, repeats, reads, writes that land late or twice, and ends tells a site
// of a promise that another counts on or that is not kept; and each guard is needed for that.
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
		"the slot's version":           func(r *modelRules) { r.slot = false },
		"waiting for the record":       func(r *modelRules) { r.durable = false },
		"a current read":               func(r *modelRules) { r.current = false },
		"the promise's number":         func(r *modelRules) { r.number = false },
		"names":                        func(r *modelRules) { r.names = false },
		"a record for an offer's end ": func(r *modelRules) { r.written = false },
	} {
		r := all
		drop(&r)
		if _, wrong := exploreLedger(r, 11); !wrong {
			t.Errorf("without %s nothing goes wrong: the model does not see it", what)
		}
	}
}
