package zonehealth

import (
	"testing"
	"time"

	"basaltwall/api"
)

// Model of a zone's record with two writers: the owner of partition 0, and a previous owner that may not
// know that it was replaced. Each reads the record, computes the next one and writes it; the write may
// take effect much later. Meanwhile the zone's reachability and the ownership change.
//
// Invariant: a write takes effect only on the record that it was computed from, and only by the current
// owner, so that no state is skipped.

type modelRead struct {
	state   State
	current bool // the record has not changed since the read
	owner   bool // the ownership has not changed since the read
}

type modelWrite struct {
	sent           bool
	from, to       State
	current, owner bool
}

type modelWorld struct {
	state       State
	unreachable bool
	reads       [2]modelRead
	writes      [2]modelWrite
}

type modelRules struct{ checksVersion, checksTerm bool }

// next calls visit with each possible next state, and reports whether a write violated the invariant.
func (w modelWorld) next(r modelRules, visit func(modelWorld)) (wrong bool) {
	n := w
	n.unreachable = !w.unreachable
	visit(n)
	// The ownership changes to a new term, of either writer.
	n = w
	for i := range n.reads {
		n.reads[i].owner, n.writes[i].owner = false, false
	}
	visit(n)
	for i := range w.reads {
		n := w
		n.reads[i] = modelRead{w.state, true, true}
		visit(n)
		if v := w.reads[i]; v.owner && !w.writes[i].sent {
			assessment := Assessment{MachineCount: MachineCount{All: 9}, Observed: true, Unreachable: w.unreachable}
			if w.unreachable {
				assessment.Silent, assessment.Heard = 9, 1
			}
			const long = 1_000_000
			next := Record{State: v.state, Since: 1, LastHeartbeat: 1}.Next(api.WallTime(long), assessment, time.Hour, thresholds, nil)
			if next.State != v.state {
				n := w
				n.writes[i] = modelWrite{true, v.state, next.State, v.current, v.owner}
				visit(n)
			}
		}
		if x := w.writes[i]; x.sent {
			n := w
			n.writes[i] = modelWrite{}
			if (x.current || !r.checksVersion) && (x.owner || !r.checksTerm) {
				if x.from != w.state || !x.owner {
					wrong = true
				}
				n.state = x.to
				for k := range n.reads {
					n.reads[k].current, n.writes[k].current = false, false
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

// The invariant holds in every interleaving of reads, delayed writes and changes of ownership, and fails
// without either condition of a write.
func TestZoneRecordsAreSequential(t *testing.T) {
	states, wrong, reached := exploreModel(modelRules{true, true})
	t.Logf("%d states", states)
	if wrong {
		t.Error("a write replaced a record that its writer had not read, or was made by a replaced owner")
	}
	if states < 1000 || len(reached) != 4 {
		t.Errorf("%d states, zone states %v: the model explores too little", states, reached)
	}
	for what, r := range map[string]modelRules{"without the condition on the record's version": {false, true}, "without the condition on the owner's term": {true, false}} {
		if _, wrong, _ := exploreModel(r); !wrong {
			t.Errorf("%s the model finds no violation", what)
		}
	}
}
