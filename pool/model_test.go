package pool

import (
	"testing"

	"basaltwall/api"
	"basaltwall/internal/modelcheck"
)

// The model has two partitions and one pool. The owner of a partition reads the state and composes a
// round that allocates a unit. The write of the round may be delayed, also beyond a failover; it succeeds
// if the records of the pool and the partition are unchanged since the read. At any time units may be
// released, a partition may fail over, and the pool may be resized and its shares changed without
// knowledge of the held units.

const (
	modelPartitions = 2
	modelSize       = 3
)

// partitionRead is the state that an owner has read. poolCurrent and partitionCurrent report whether the
// records of the pool and the partition are unchanged since the read.
type partitionRead struct {
	size                          int8
	shares, held                  [modelPartitions]int8
	poolCurrent, partitionCurrent bool
}

type modelState struct {
	size         int8
	shares, held [modelPartitions]int8
	reads        [modelPartitions]partitionRead
	rounds       [modelPartitions][2]roundWrite // writes of the current and the previous owner
}

// roundWrite is a write in flight. poolCurrent and partitionCurrent report whether the records in its
// condition are unchanged since the read.
type roundWrite struct{ sent, poolCurrent, partitionCurrent bool }

// modelRules are the rules of the protocol; without any one of them the model must exceed the pool size.
type modelRules struct {
	checksPoolVersion, checksPartitionVersion bool // in the conditions of a round
	countsExcess                              bool // a partition counts the units that others hold beyond their shares
}

func (w modelState) total() int8 { return w.held[0] + w.held[1] }

// next calls visit with each possible next state, and reports whether a unit is allocated
// beyond the size.
func (w modelState) next(r modelRules, visit func(modelState)) (wrong bool) {
	for p := range modelPartitions {
		// The current owner or a new one reads the state.
		n := w
		n.reads[p] = partitionRead{w.size, w.shares, w.held, true, true}
		visit(n)
		// The owner composes a round from the state that it has read.
		slot := 0
		if w.rounds[p][0].sent {
			slot = 1
		}
		if v := w.reads[p]; !w.rounds[p][slot].sent && v.partitionCurrent {
			x := Pool{Size: int(v.size), MaxSize: modelSize, State: Active, Shares: []int{int(v.shares[0]), int(v.shares[1])}}
			held := []int{int(v.held[0]), int(v.held[1])}
			free := x.Available(api.PartitionID(p), held)
			if !r.countsExcess {
				free = x.Shares[p] - held[p]
			}
			if free > 0 {
				n := w
				n.rounds[p][slot] = roundWrite{true, v.poolCurrent, v.partitionCurrent}
				visit(n)
			}
		}
		// A write in flight succeeds or fails.
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
		// A unit is released.
		if w.held[p] > 0 {
			n := w
			n.held[p]--
			n.invalidateReads(p)
			visit(n)
		}
		// The partition fails over; a write of the previous owner stays in flight.
		n = w
		n.invalidateReads(p)
		visit(n)
	}
	// The pool is resized to any size, with any shares within it.
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

// invalidateReads marks the reads and writes of a partition as outdated, after a change of its record or
// owner.
func (w *modelState) invalidateReads(p int) {
	w.reads[p].partitionCurrent = false
	for i := range w.rounds[p] {
		w.rounds[p][i].partitionCurrent = false
	}
}

func exploreAll(r modelRules, steps int) (states int, wrong bool) {
	return modelcheck.Explore(modelState{}, steps, func(w modelState, visit func(modelState)) bool { return w.next(r, visit) })
}

// No sequence of reads, delayed writes, releases, failovers, resizings and changes of shares allocates a
// unit beyond the current size, and each rule is necessary for that.
func TestEveryInterleaving(t *testing.T) {
	states, wrong := exploreAll(modelRules{true, true, true}, 9)
	t.Logf("%d states", states)
	if wrong {
		t.Error("a unit is allocated beyond the size")
	}
	if states < 50_000 {
		t.Errorf("only %d states are reachable", states)
	}
	for omission, r := range map[string]modelRules{"without the pool's version": {false, true, true}, "without the partition's version": {true, false, true},
		"without counting the excess of others": {true, true, false}} {
		if _, wrong := exploreAll(r, 8); !wrong {
			t.Errorf("%s the model finds no violation", omission)
		}
	}
}
