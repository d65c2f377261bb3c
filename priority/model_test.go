package priority

import (
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/internal/modelcheck"
)

// The model has one machine type and two controllers that write its shortage: the owner of partition 0
// and a former owner that may not know that it was deposed. Each reads the record and composes the next
// one by ShortageTracker.Next; its write is applied at once or late. Demand becomes met or unmet and the
// ownership changes at any time.
//
// The invariant: a write is applied only if the record has not changed since it was read, and only by
// the present owner.

// shortageRead is the record as a controller has read it. It is fresh if the record has not changed
// since; owns is whether the controller still owns partition 0.
type shortageRead struct{ short, fresh, owns bool }

// shortageWrite is a controller's write in flight; fresh and owns are those of its read.
type shortageWrite struct{ sent, newShort, fresh, owns bool }

type shortageState struct {
	short, demandUnmet bool
	reads              [2]shortageRead
	writes             [2]shortageWrite
}

// shortageGuards are the conditions of the write of a shortage record.
type shortageGuards struct{ checksVersion, checksTerm bool }

func (w shortageState) next(g shortageGuards, visit func(shortageState)) (violated bool) {
	n := w
	n.demandUnmet = !w.demandUnmet
	visit(n)
	n = w // a failover, to the other controller or to the same one in a new term
	for i := range n.reads {
		n.reads[i].owns, n.writes[i].owns = false, false
	}
	visit(n)
	for i := range w.reads {
		n := w
		n.reads[i] = shortageRead{w.short, true, true}
		visit(n)
		if read := w.reads[i]; read.owns && !w.writes[i].sent {
			previous := Shortage{}
			if read.short {
				previous.Types = []api.MachineTypeName{"g8"}
			}
			var tracker ShortageTracker // it observes for longer than ShortageHold
			unmet := map[api.MachineTypeName]bool{}
			if w.demandUnmet {
				unmet["g8"] = true
			}
			tracker.Observe(unmet, api.Time(time.Second))
			now := api.Time(time.Second + ShortageHold + 1)
			tracker.Observe(unmet, now)
			if next := tracker.Next(previous, now, api.Time(time.Second)-1, 1); !next.Equal(previous) {
				n := w
				n.writes[i] = shortageWrite{true, next.Includes("g8"), read.fresh, read.owns}
				visit(n)
			}
		}
		write := w.writes[i]
		if !write.sent {
			continue
		}
		n = w
		n.writes[i] = shortageWrite{}
		if (write.fresh || !g.checksVersion) && (write.owns || !g.checksTerm) {
			violated = violated || !write.fresh || !write.owns
			n.short = write.newShort
			for k := range n.reads {
				n.reads[k].fresh, n.writes[k].fresh = false, false
			}
		}
		visit(n)
	}
	return violated
}

// Shortage records are written in sequence by the present owner in all interleavings, and without either
// guard they are not.
func TestShortageRecordsAreSequential(t *testing.T) {
	check := func(g shortageGuards) (states int, violated bool) {
		return modelcheck.Explore(shortageState{}, 0, func(w shortageState, visit func(shortageState)) bool { return w.next(g, visit) })
	}
	states, violated := check(shortageGuards{true, true})
	t.Logf("%d reachable states", states)
	if violated || states < 300 {
		t.Errorf("invariant violated: %v, reachable states: %d, expected at least 300", violated, states)
	}
	for guard, g := range map[string]shortageGuards{"the record's version": {false, true}, "the owner's term": {true, false}} {
		if _, violated := check(g); !violated {
			t.Errorf("the model finds no violation without the condition on %s", guard)
		}
	}
}
