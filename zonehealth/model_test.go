package zonehealth

import (
	"testing"
	"time"

	"basaltwall/api"
)

// The model: one zone, whose record is written by two controllers, the owner of partition 0 and a
// previous owner that need not know. Each reads the record, assesses the zone as
// it is at that moment, composes the next record by Next and writes it; the write takes
// effect then or much later. Meanwhile the zone becomes unreachable and reachable, the ownership
// changes, and time passes.
//
// What must hold: a record only ever follows the one that it was composed from (a zone never
// fails by a writer that last read that it was healthy), it is of the current owner, and so
// no state is skipped: all controllers see the same sequence.

type modelRead struct {
	state State
	fresh bool // the record has not changed since
	leads bool // the ownership has not changed since
}

type modelWrite struct {
	sent         bool
	from, to     State
	fresh, leads bool
}

type modelWorld struct {
	state       State
	unreachable bool
	reads       [2]modelRead
	writes      [2]modelWrite
}

type modelRules struct{ checksVersion, checksTerm bool }

// next calls visit with each possible next state, and reports whether a write took effect
// that must not.
func (w modelWorld) next(r modelRules, visit func(modelWorld)) (wrong bool) {
	n := w
	n.unreachable = !w.unreachable
	visit(n)
	// The ownership is taken: by the other or by the same, in a new term.
	n = w
	for i := range n.reads {
		n.reads[i].leads, n.writes[i].leads = false, false
	}
	visit(n)
	for i := range w.reads {
		n := w
		n.reads[i] = modelRead{w.state, true, true}
		visit(n)
		if v := w.reads[i]; v.leads && !w.writes[i].sent {
			assessment := Assessment{MachineCount: MachineCount{All: 9}, Observed: true, Unreachable: w.unreachable}
			if w.unreachable {
				assessment.Silent, assessment.Heard = 9, 1
			}
			const long = 1_000_000
			next := Record{State: v.state, Since: 1, LastHeartbeat: 1}.Next(api.WallTime(long), assessment, time.Hour, thresholds, nil)
			if next.State != v.state {
				n := w
				n.writes[i] = modelWrite{true, v.state, next.State, v.fresh, v.leads}
				visit(n)
			}
		}
		if x := w.writes[i]; x.sent {
			n := w
			n.writes[i] = modelWrite{}
			if (x.fresh || !r.checksVersion) && (x.leads || !r.checksTerm) {
				if x.from != w.state || !x.leads {
					wrong = true
				}
				n.state = x.to
				for k := range n.reads {
					n.reads[k].fresh, n.writes[k].fresh = false, false
				}
			}
			visit(n)
		}
	}
	return wrong
}

func exploreModel(r modelRules) (states int, wrong bool, reached map[State]bool) {
	reached = map[State]bool{}
	seen := map[modelWorld]bool{{}: true}
	for now := []modelWorld{{}}; len(now) > 0; {
		var next []modelWorld
		for _, w := range now {
			reached[w.state] = true
			if w.next(r, func(n modelWorld) {
				if !seen[n] {
					seen[n] = true
					next = append(next, n)
				}
			}) {
				return len(seen), true, reached
			}
		}
		now = next
	}
	return len(seen), false, reached
}

// In every interleaving of reads, late writes and changes of ownership the records follow one
// another; and each condition of a write is needed for that.
func TestZoneRecordsAreSequential(t *testing.T) {
	states, wrong, reached := exploreModel(modelRules{true, true})
	t.Logf("%d states", states)
	if wrong {
		t.Error("a record is written over one that its writer did not read, or by who was replaced")
	}
	if states < 1000 || len(reached) != 4 {
		t.Errorf("%d states, %v: the model does not move", states, reached)
	}
	for what, r := range map[string]modelRules{"without the record's version": {false, true}, "without the duty's term": {true, false}} {
		if _, wrong, _ := exploreModel(r); !wrong {
			t.Errorf("%s nothing goes wrong: the model does not see it", what)
		}
	}
}
