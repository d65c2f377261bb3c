package precedence

import (
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/internal/explore"
)

// The model: one machine type, whose shortage two controllers write, the holder of the duty and
// the one that it was taken from, who need not know. Each reads the record, composes the next one
// by Next from what it sees at that moment, and its write lands then or much later. Meanwhile
// room is lacked or not, and the duty changes hands.
//
// What must hold: a record follows the one that it was composed from, and is of the present
// holder. So all controllers order by one story, and nobody ends a shortage, or begins one, by
// what was so before another's record.

type shortRead struct{ short, fresh, holds bool }

type shortWrite struct{ sent, to, fresh, holds bool }

type shortWorld struct {
	short, lacked bool
	reads         [2]shortRead
	writes        [2]shortWrite
}

type shortRules struct{ namesRecord, namesDuty bool }

func (w shortWorld) next(r shortRules, do func(shortWorld)) (wrong bool) {
	n := w
	n.lacked = !w.lacked
	do(n)
	n = w // the duty is taken, by the other or by the same anew
	for i := range n.reads {
		n.reads[i].holds, n.writes[i].holds = false, false
	}
	do(n)
	for i := range w.reads {
		n := w
		n.reads[i] = shortRead{w.short, true, true}
		do(n)
		if v := w.reads[i]; v.holds && !w.writes[i].sent {
			old := Shortage{}
			if v.short {
				old.Types = []api.TypeName{"g8"}
			}
			var watch Watch // it has looked for long enough
			lacked := map[api.TypeName]bool{}
			if w.lacked {
				lacked["g8"] = true
			}
			watch.See(lacked, api.Time(time.Second))
			now := api.Time(time.Second + ShortKept + 1)
			watch.See(lacked, now)
			if next := watch.Next(old, now, api.Time(time.Second)-1, 1); !next.Same(old) {
				n := w
				n.writes[i] = shortWrite{true, next.Of("g8"), v.fresh, v.holds}
				do(n)
			}
		}
		x := w.writes[i]
		if !x.sent {
			continue
		}
		n = w
		n.writes[i] = shortWrite{}
		if (x.fresh || !r.namesRecord) && (x.holds || !r.namesDuty) {
			wrong = wrong || !x.fresh || !x.holds
			n.short = x.to
			for k := range n.reads {
				n.reads[k].fresh, n.writes[k].fresh = false, false
			}
		}
		do(n)
	}
	return wrong
}

func TestOneStoryOfAShortage(t *testing.T) {
	look := func(r shortRules) (states int, wrong bool) {
		return explore.All(shortWorld{}, 0, func(w shortWorld, do func(shortWorld)) bool { return w.next(r, do) })
	}
	states, wrong := look(shortRules{true, true})
	t.Logf("%d states, all there are", states)
	if wrong || states < 300 {
		t.Errorf("wrong %v, %d states", wrong, states)
	}
	for what, r := range map[string]shortRules{"the record's version": {false, true}, "the duty's term": {true, false}} {
		if _, wrong := look(r); !wrong {
			t.Errorf("without %s nothing goes wrong: the model does not see it", what)
		}
	}
}
