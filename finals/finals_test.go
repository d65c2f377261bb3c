package finals

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"basaltwall/api"
	_ "basaltwall/internal/seeded"
)

// service answers as the state service does, of the final states it has.
func service(have []api.JobRef, a Ask) (states []Found, more bool) {
	slices.Sort(have)
	for _, ref := range have {
		if string(ref) <= a.After {
			continue
		}
		if len(states) == Page {
			return states, true
		}
		states = append(states, Found{Ref: ref, State: api.JobDone})
	}
	return states, false
}

// Each question is met within one turn of the lift, whatever else is asked meanwhile, and
// answered by what is there; a page answers no question that came after it that something is
// not there.
func TestEachQuestionIsMetWithinATurn(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var q Queue
		var have []api.JobRef
		ref := func(i int) api.JobRef { return api.JobRef(fmt.Sprintf("run-%06d", i)) }
		total := rapid.IntRange(1, 4000).Draw(r, "total")
		there := map[api.JobRef]bool{}
		for i := 0; i < total; i += rapid.IntRange(1, 3).Draw(r, "step") {
			have, there[ref(i)] = append(have, ref(i)), true
		}
		mine := ref(rapid.IntRange(0, total).Draw(r, "mine"))
		q.at = ref(rapid.IntRange(0, total).Draw(r, "at"))
		number := q.Add(mine)
		for turn := 1; ; turn++ {
			if turn > 2*(len(have)/Page+2) {
				r.Fatalf("%s was not answered after %d requests, of %d states", mine, turn, len(have))
			}
			for range rapid.IntRange(0, 20).Draw(r, "others") { // that ask all the time
				q.Add(ref(rapid.IntRange(0, total).Draw(r, "other")))
			}
			a, ok := q.Next()
			if !ok {
				r.Fatal("nothing to ask")
			}
			if a.One != "" {
				s := api.JobState("")
				if there[a.One] {
					s = api.JobDone
				}
				if _, ok := q.TookOne(a, s); ok && a.One == mine {
					return
				}
				continue
			}
			late := ref(total + 1)
			q.Add(late)
			states, more := service(have, a)
			for _, f := range q.Took(a, states, more) {
				if (f.State == api.JobDone) != there[f.Ref] {
					r.Fatalf("%s: %q", f.Ref, f.State)
				}
				if f.Ref == late {
					r.Fatal("a page answered what was asked after it")
				}
				if f.Ref == mine {
					if f.State == "" && f.Upto < number {
						r.Fatalf("%s is answered for questions up to %d, its own is %d", mine, f.Upto, number)
					}
					return
				}
			}
			q.Drop(late)
		}
	})
}

// Who asks while a request is under way that finds nothing is not answered by it, though another
// had asked before: the question stays, and the next request answers it.
func TestWhatIsNotThereAnswersWhatWasAskedBefore(t *testing.T) {
	for _, others := range []int{0, fewest} { // one by one, and by pages
		var q Queue
		first := q.Add("run-000001")
		for i := range others {
			q.Add(api.JobRef(fmt.Sprintf("run-00001%d", i)))
		}
		a, _ := q.Next()
		second := q.Add("run-000001")
		took := func(a Ask, states ...Found) []Found {
			if a.One == "" {
				return q.Took(a, states, false)
			}
			s := api.JobState("")
			if len(states) > 0 {
				s = states[0].State
			}
			f, _ := q.TookOne(a, s)
			return []Found{f}
		}
		if got := took(a)[0]; got.Ref != "run-000001" || got.State != "" || got.Upto < first || got.Upto >= second {
			t.Errorf("answered %+v; asked as %d before the request and as %d after", got, first, second)
		}
		if a, ok := q.Next(); !ok || took(a, Found{Ref: "run-000001", State: api.JobDone})[0].State != api.JobDone {
			t.Error("who asked meanwhile is not answered")
		}
		if q.Len() != 0 {
			t.Errorf("%d questions stay", q.Len())
		}
	}
}
