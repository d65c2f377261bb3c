package jobresult

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"basaltwall/api"
	_ "basaltwall/internal/proptest"
)

// fakeStore returns a page of the stored results, as the key-value store does.
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

// Each lookup is answered within one scan with the stored state, regardless of lookups added meanwhile.
// The absence of a result from a page does not answer lookups made after the request.
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
		own := jobID(rapid.IntRange(0, total).Draw(r, "own"))
		q.cursor = jobID(rapid.IntRange(0, total).Draw(r, "cursor"))
		number := q.Add(own)
		for requests := 1; ; requests++ {
			if requests > 2*(len(stored)/PageSize+2) {
				r.Fatalf("the lookup of %s is open after %d requests, with %d stored results", own, requests, len(stored))
			}
			for range rapid.IntRange(0, 20).Draw(r, "others") { // concurrent lookups
				q.Add(jobID(rapid.IntRange(0, total).Draw(r, "other")))
			}
			a, ok := q.Next()
			if !ok {
				r.Fatal("no request for an open lookup")
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
					r.Fatal("a page answered a lookup made after its request")
				}
				if f.JobID == own {
					if f.State == "" && f.MaxSeq < number {
						r.Fatalf("the answer for %s covers lookups up to %d, its own number is %d", own, f.MaxSeq, number)
					}
					return
				}
			}
			q.Remove(late)
		}
	})
}

// A request that finds no result does not answer lookups made while it is in flight, even if the same job
// was looked up before; the next request answers them.
func TestAbsenceAnswersOnlyEarlierQueries(t *testing.T) {
	for _, others := range []int{0, pageThreshold} { // with single keys, and with pages
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
			t.Errorf("answered %+v; lookup %d was made before the request, lookup %d after it", got, first, second)
		}
		if a, ok := q.Next(); !ok || handle(a, Result{JobID: "run-000001", State: api.JobDone})[0].State != api.JobDone {
			t.Error("the lookup made during the request is not answered")
		}
		if q.Len() != 0 {
			t.Errorf("%d lookups stay open", q.Len())
		}
	}
}
