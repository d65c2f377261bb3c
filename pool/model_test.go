package pool

import (
	"testing"

	"basaltwall/api"
	"basaltwall/internal/modelcheck"
)

// The model: two partitions and one pool. The owner of a partition reads the state and composes a round
// that allocates a unit; the round is written at some later moment, perhaps after its
// owner was replaced, on the condition that the records of the pool and the partition are as they were
// read. At any moment units may be released, a partition be taken over, and the pool be resized with any
// shares that fit: the writer of shares may know little of what is held.

const (
	modelPartitions = 2
	modelSize       = 3
)

// partitionRead is what an owner has read; poolCurrent and partitionCurrent are whether the records of
// the pool and the partition have not changed since.
type partitionRead struct {
	size                          int8
	shares, held                  [modelPartitions]int8
	poolCurrent, partitionCurrent bool
}

// modelState is a state of the model.
type modelState struct {
	size         int8
	shares, held [modelPartitions]int8
	reads        [modelPartitions]partitionRead
	rounds       [modelPartitions][2]roundWrite // of the owner and of the one before
}

// roundWrite is a write in flight; the rest is whether what its condition names is as it was read.
type roundWrite struct{ sent, poolCurrent, partitionCurrent bool }

// modelRules are the rules that the protocol depends on; a model without one of them must go wrong.
type modelRules struct {
	checksPoolVersion, checksPartitionVersion bool // in the conditions of a round
	countsOverage                             bool // a partition minds what others hold beyond their shares
}

func (w modelState) total() int8 { return w.held[0] + w.held[1] }

// next calls visit with each possible next state, and reports whether a unit is allocated
// beyond the size.
func (w modelState) next(r modelRules, visit func(modelState)) (wrong bool) {
	for p := range modelPartitions {
		// The owner, or a new one, reads.
		n := w
		n.reads[p] = partitionRead{w.size, w.shares, w.held, true, true}
		visit(n)
		// It composes a round by what it has read.
		slot := 0
		if w.rounds[p][0].sent {
			slot = 1
		}
		if v := w.reads[p]; !w.rounds[p][slot].sent && v.partitionCurrent {
			x := Pool{Size: int(v.size), Largest: modelSize, State: Active, Shares: []int{int(v.shares[0]), int(v.shares[1])}}
			held := []int{int(v.held[0]), int(v.held[1])}
			free := x.Available(api.PartitionID(p), held)
			if !r.countsOverage {
				free = x.Shares[p] - held[p]
			}
			if free > 0 {
				n := w
				n.rounds[p][slot] = roundWrite{true, v.poolCurrent, v.partitionCurrent}
				visit(n)
			}
		}
		// A round takes effect, or it never will.
		for i, x := range w.rounds[p] {
			if !x.sent {
				continue
			}
			n := w
			n.rounds[p][i] = roundWrite{}
			if (x.poolCurrent || !r.checksPoolVersion) && (x.partitionCurrent || !r.checksPartitionVersion) {
				if n.held[p]++; n.total() > n.size {
					wrong = true
				}
				n.invalidateReads(p)
			}
			visit(n)
		}
		// A unit comes back.
		if w.held[p] > 0 {
			n := w
			n.held[p]--
			n.invalidateReads(p)
			visit(n)
		}
		// The partition is taken over: a round in flight, of the previous owner, stays in flight.
		n = w
		n.invalidateReads(p)
		visit(n)
	}
	// The pool's record is written: any size, any shares that fit.
	for size := range int8(modelSize + 1) {
		for a := range size + 1 {
			for b := range size - a + 1 {
				n := w
				n.size, n.shares = size, [modelPartitions]int8{a, b}
				for p := range modelPartitions {
					n.reads[p].poolCurrent = false
					for i := range n.rounds[p] {
						n.rounds[p][i].poolCurrent = false
					}
				}
				visit(n)
			}
		}
	}
	return wrong
}

// invalidateReads marks what was read as outdated, after a change of a partition's record or owner.
func (w *modelState) invalidateReads(p int) {
	w.reads[p].partitionCurrent = false
	for i := range w.rounds[p] {
		w.rounds[p][i].partitionCurrent = false
	}
}

func exploreAll(r modelRules, steps int) (states int, wrong bool) {
	return modelcheck.Explore(modelState{}, steps, func(w modelState, do func(modelState)) bool { return w.next(r, do) })
}

// No sequence of reads, late writes, releases, failovers, resizings and moves of
// shares allocates a unit beyond the current size; and each rule is needed for that.
func TestEveryInterleaving(t *testing.T) {
	states, wrong := exploreAll(modelRules{true, true, true}, 9)
	t.Logf("%d states", states)
	if wrong {
		t.Error("a unit is handed out beyond the size")
	}
	if states < 50_000 {
		t.Errorf("%d states: the model does not move", states)
	}
	for what, r := range map[string]modelRules{"without the pool's version": {false, true, true}, "without the part's": {true, false, true},
		"without minding what others hold": {true, true, false}} {
		if _, wrong := exploreAll(r, 8); !wrong {
			t.Errorf("%s nothing goes wrong: the model does not see it", what)
		}
	}
}
