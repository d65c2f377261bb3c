package jobresult

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"basaltwall/api"
	_ "basaltwall/internal/proptest"
)

// fakeStore answers as the key-value store does, from the results that it has.
func fakeStore(stored []api.JobID, a Request) (states []Result, more bool) {
	slices.Sort(stored)
	for _, jobID := range stored {
		if string(jobID) <= a.After {
			continue
		}
		if len(states) == PageSize {
			return states, true
		}
		states = append(states, Result{JobID: jobID, State: api.JobDone})
	}
	return states, false
}

// Each lookup is served within one scan, whatever is added meanwhile, and
// answered by what is stored; a page does not answer lookups after it with the absence of a
// result.
func TestEachQueryIsAnsweredWithinACycle(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var q Queue
		var stored []api.JobID
		jobID := func(i int) api.JobID { return api.JobID(fmt.Sprintf("run-%06d", i)) }
		total := rapid.IntRange(1, 4000).Draw(r, "total")
		exists := map[api.JobID]bool{}
		for i := 0; i < total; i += rapid.IntRange(1, 3).Draw(r, "step") {
			stored, exists[jobID(i)] = append(stored, jobID(i)), true
		}
		own := jobID(rapid.IntRange(0, total).Draw(r, "mine"))
		q.cursor = jobID(rapid.IntRange(0, total).Draw(r, "at"))
		number := q.Add(own)
		for requests := 1; ; requests++ {
			if requests > 2*(len(stored)/PageSize+2) {
				r.Fatalf("%s was not answered after %d requests, of %d states", own, requests, len(stored))
			}
			for range rapid.IntRange(0, 20).Draw(r, "others") { // that are looked up all the time
				q.Add(jobID(rapid.IntRange(0, total).Draw(r, "other")))
			}
			a, ok := q.Next()
			if !ok {
				r.Fatal("nothing to ask")
			}
			if a.JobID != "" {
				s := api.JobState("")
				if exists[a.JobID] {
					s = api.JobDone
				}
				if _, ok := q.HandleSingle(a, s); ok && a.JobID == own {
					return
				}
				continue
			}
			late := jobID(total + 1)
			q.Add(late)
			states, more := fakeStore(stored, a)
			for _, f := range q.HandlePage(a, states, more) {
				if (f.State == api.JobDone) != exists[f.JobID] {
					r.Fatalf("%s: %q", f.JobID, f.State)
				}
				if f.JobID == late {
					r.Fatal("a page answered what was asked after it")
				}
				if f.JobID == own {
					if f.State == "" && f.MaxSeq < number {
						r.Fatalf("%s is answered for questions up to %d, its own is %d", own, f.MaxSeq, number)
					}
					return
				}
			}
			q.Remove(late)
		}
	})
}

// A lookup during a request that finds nothing is not answered by it, even if the job had been looked up
// before: the lookup stays open, and the next request answers it.
func TestAbsenceAnswersOnlyEarlierQueries(t *testing.T) {
	for _, others := range []int{0, pageThreshold} { // by single keys, and by pages
		var q Queue
		first := q.Add("run-000001")
		for i := range others {
			q.Add(api.JobID(fmt.Sprintf("run-00001%d", i)))
		}
		a, _ := q.Next()
		second := q.Add("run-000001")
		handle := func(a Request, states ...Result) []Result {
			if a.JobID == "" {
				return q.HandlePage(a, states, false)
			}
			s := api.JobState("")
			if len(states) > 0 {
				s = states[0].State
			}
			f, _ := q.HandleSingle(a, s)
			return []Result{f}
		}
		if got := handle(a)[0]; got.JobID != "run-000001" || got.State != "" || got.MaxSeq < first || got.MaxSeq >= second {
			t.Errorf("answered %+v; asked as %d before the request and as %d after", got, first, second)
		}
		if a, ok := q.Next(); !ok || handle(a, Result{JobID: "run-000001", State: api.JobDone})[0].State != api.JobDone {
			t.Error("who asked meanwhile is not answered")
		}
		if q.Len() != 0 {
			t.Errorf("%d questions stay", q.Len())
		}
	}
}
