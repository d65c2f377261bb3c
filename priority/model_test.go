package priority

import (
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/internal/modelcheck"
)

// The model: one machine type, whose shortage is written by two controllers, the owner of partition 0 and
// a previous owner that need not know. Each reads the record and composes the next one
// by Next from what it observes at that moment; its write lands then or much later. Meanwhile
// demand becomes met or unmet, and the ownership changes.
//
// What must hold: a record follows the one that it was composed from, and is of the current
// owner. So all controllers see the same sequence, and none begins or ends a shortage by
// observations from before another's record.

type shortRead struct{ short, fresh, leads bool }

type shortWrite struct{ sent, to, fresh, leads bool }

type shortWorld struct {
	short, demandUnmet bool
	reads              [2]shortRead
	writes             [2]shortWrite
}

type shortRules struct{ checksVersion, checksTerm bool }

func (w shortWorld) next(r shortRules, visit func(shortWorld)) (wrong bool) {
	n := w
	n.demandUnmet = !w.demandUnmet
	visit(n)
	n = w // the ownership is taken, by the other or by the same in a new term
	for i := range n.reads {
		n.reads[i].leads, n.writes[i].leads = false, false
	}
	visit(n)
	for i := range w.reads {
		n := w
		n.reads[i] = shortRead{w.short, true, true}
		visit(n)
		if v := w.reads[i]; v.leads && !w.writes[i].sent {
			old := Shortage{}
			if v.short {
				old.Types = []api.MachineTypeName{"g8"}
			}
			var watch ShortageTracker // it has observed for long enough
			lacked := map[api.MachineTypeName]bool{}
			if w.demandUnmet {
				lacked["g8"] = true
			}
			watch.Observe(lacked, api.Time(time.Second))
			now := api.Time(time.Second + ShortageHold + 1)
			watch.Observe(lacked, now)
			if next := watch.Next(old, now, api.Time(time.Second)-1, 1); !next.Equal(old) {
				n := w
				n.writes[i] = shortWrite{true, next.Includes("g8"), v.fresh, v.leads}
				visit(n)
			}
		}
		x := w.writes[i]
		if !x.sent {
			continue
		}
		n = w
		n.writes[i] = shortWrite{}
		if (x.fresh || !r.checksVersion) && (x.leads || !r.checksTerm) {
			wrong = wrong || !x.fresh || !x.leads
			n.short = x.to
			for k := range n.reads {
				n.reads[k].fresh, n.writes[k].fresh = false, false
			}
		}
		visit(n)
	}
	return wrong
}

func TestShortageRecordsAreSequential(t *testing.T) {
	check := func(r shortRules) (states int, wrong bool) {
		return modelcheck.Explore(shortWorld{}, 0, func(w shortWorld, do func(shortWorld)) bool { return w.next(r, do) })
	}
	states, wrong := check(shortRules{true, true})
	t.Logf("%d states, all there are", states)
	if wrong || states < 300 {
		t.Errorf("wrong %v, %d states", wrong, states)
	}
	for what, r := range map[string]shortRules{"the record's version": {false, true}, "the duty's term": {true, false}} {
		if _, wrong := check(r); !wrong {
			t.Errorf("without %s nothing goes wrong: the model does not see it", what)
		}
	}
}
