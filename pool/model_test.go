package pool

import (
	"testing"

	"basaltwall/api"
	"basaltwall/internal/explore"
)

// The model: two parts and one pool. An owner of a part reads the state, composes a round
// that hands out a unit, and the round is written at some later moment, perhaps after its
// owner was deposed, on the condition that the pool's record and the part are as they were
// read. At any moment units may come back, a part be taken over, and the pool get another
// size with any shares that fit it: whoever moves shares may know little of what is held.

const (
	modelParts = 2
	modelSize  = 3
)

// read is what an owner has read; newPool and newPart are whether the pool's record and the
// part have not changed since.
type read struct {
	size             int8
	shares, held     [modelParts]int8
	newPool, newPart bool
}

// world is a state of the model.
type world struct {
	size         int8
	shares, held [modelParts]int8
	views        [modelParts]read
	rounds       [modelParts][2]round // of the owner and of the one before
}

// round is on its way; the rest is whether what it names is as it was read.
type round struct{ sent, newPool, newPart bool }

// rules are what the protocol rests on; a model without one of them must go wrong.
type rules struct {
	namesPool, namesPart bool // in the conditions of a round
	minds                bool // a part minds what others hold beyond their shares
}

func (w world) total() int8 { return w.held[0] + w.held[1] }

// next calls do with each state that may follow, and reports whether a unit is handed out
// beyond the size.
func (w world) next(r rules, do func(world)) (wrong bool) {
	for p := range modelParts {
		// The owner, or a new one, reads.
		n := w
		n.views[p] = read{w.size, w.shares, w.held, true, true}
		do(n)
		// It composes a round by what it has read.
		slot := 0
		if w.rounds[p][0].sent {
			slot = 1
		}
		if v := w.views[p]; !w.rounds[p][slot].sent && v.newPart {
			x := Pool{Size: int(v.size), Largest: modelSize, State: Active, Shares: []int{int(v.shares[0]), int(v.shares[1])}}
			held := []int{int(v.held[0]), int(v.held[1])}
			free := x.Free(api.PartID(p), held)
			if !r.minds {
				free = x.Shares[p] - held[p]
			}
			if free > 0 {
				n := w
				n.rounds[p][slot] = round{true, v.newPool, v.newPart}
				do(n)
			}
		}
		// A round takes effect, or it never will.
		for i, x := range w.rounds[p] {
			if !x.sent {
				continue
			}
			n := w
			n.rounds[p][i] = round{}
			if (x.newPool || !r.namesPool) && (x.newPart || !r.namesPart) {
				if n.held[p]++; n.total() > n.size {
					wrong = true
				}
				n.changed(p)
			}
			do(n)
		}
		// A unit comes back.
		if w.held[p] > 0 {
			n := w
			n.held[p]--
			n.changed(p)
			do(n)
		}
		// The part is taken over: a round under way, of the owner before, stays under way.
		n = w
		n.changed(p)
		do(n)
	}
	// The pool's record is written: any size, any shares that fit.
	for size := range int8(modelSize + 1) {
		for a := range size + 1 {
			for b := range size - a + 1 {
				n := w
				n.size, n.shares = size, [modelParts]int8{a, b}
				for p := range modelParts {
					n.views[p].newPool = false
					for i := range n.rounds[p] {
						n.rounds[p][i].newPool = false
					}
				}
				do(n)
			}
		}
	}
	return wrong
}

// changed is when a part's record or its owner is another.
func (w *world) changed(p int) {
	w.views[p].newPart = false
	for i := range w.rounds[p] {
		w.rounds[p][i].newPart = false
	}
}

func exploreAll(r rules, steps int) (states int, wrong bool) {
	return explore.All(world{}, steps, func(w world, do func(world)) bool { return w.next(r, do) })
}

// No sequence of reads, rounds written late, returns, takeovers, resizings and moves of
// shares hands out a unit beyond the size in force; and each rule is needed for that.
func TestEveryInterleaving(t *testing.T) {
	states, wrong := exploreAll(rules{true, true, true}, 9)
	t.Logf("%d states", states)
	if wrong {
		t.Error("a unit is handed out beyond the size")
	}
	if states < 50_000 {
		t.Errorf("%d states: the model does not move", states)
	}
	for what, r := range map[string]rules{"without the pool's version": {false, true, true}, "without the part's": {true, false, true},
		"without minding what others hold": {true, true, false}} {
		if _, wrong := exploreAll(r, 8); !wrong {
			t.Errorf("%s nothing goes wrong: the model does not see it", what)
		}
	}
}
