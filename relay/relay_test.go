package relay

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"basaltwall/api"
)

// members returns n members that are evenly distributed over the given number of zones.
func members(n, zones int) []Member {
	var out []Member
	for i := range n {
		out = append(out, Member{api.ControllerID(fmt.Sprintf("stone-%d", i)), api.Zone(fmt.Sprint("zone-", i%zones))})
	}
	return out
}

// All controllers are relays if the limit on requests allows as many.
func TestFewControllersReadDirectly(t *testing.T) {
	for rps, want := range map[float64]int{1: 3, 50: 3, 150: 5, 200: 6, 1500: 50} {
		if got := MaxRelays(rps); got != want {
			t.Errorf("%v requests a second allow %d relays, expected %d", rps, got, want)
		}
	}
	if got := Select(members(3, 3), MaxRelays(150)); len(got) != 3 {
		t.Errorf("%d of three controllers are relays, expected all", len(got))
	}
}

// Relays are in distinct zones, and the selection does not depend on the order of members. The failure of
// a relay replaces at most one other relay; other failures change nothing.
func TestRelaySelectionIsStable(t *testing.T) {
	all := members(23, 8)
	before := Select(all, 5)
	zones := map[api.Zone]bool{}
	for _, m := range before {
		zones[m.Zone] = true
	}
	if len(before) != 5 || len(zones) != 5 {
		t.Fatalf("relays %v, expected 5 in distinct zones", before)
	}
	shuffled := slices.Clone(all)
	rand.New(rand.NewPCG(1, 2)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	if got := Select(shuffled, 5); !slices.Equal(got, before) {
		t.Errorf("relays of shuffled members %v, expected %v", got, before)
	}
	for i, removed := range all {
		after := Select(slices.Delete(slices.Clone(all), i, i+1), 5)
		kept := 0
		for _, m := range before {
			if slices.Contains(after, m) {
				kept++
			}
		}
		if wasRelay := slices.Contains(before, removed); kept < 4 || !wasRelay && kept != 5 {
			t.Errorf("after the failure of %s (relay: %v) %d of 5 relays are unchanged", removed.ID, wasRelay, kept)
		}
	}
}

// Controllers prefer relays of their own zone and are distributed over them.
func TestPreferenceOrder(t *testing.T) {
	all := members(60, 3)
	relays := Select(all, 6)
	clients := map[api.ControllerID]int{}
	for _, m := range all {
		order := PreferenceOrder(m, relays)
		for i, id := range order {
			r := relays[slices.IndexFunc(relays, func(r Member) bool { return r.ID == id })]
			if i == 0 && r.Zone != m.Zone {
				t.Errorf("%v prefers %v of another zone", m, r)
			}
			if id == m.ID {
				t.Errorf("%s is its own relay", id)
			}
		}
		if !slices.ContainsFunc(relays, func(r Member) bool { return r.ID == m.ID }) {
			clients[order[0]]++
		}
	}
	for _, r := range relays {
		if clients[r.ID] == 0 || clients[r.ID] > 20 {
			t.Errorf("%s is preferred by %d of %d controllers", r.ID, clients[r.ID], 54)
		}
	}
}

// A failed relay is skipped until its backoff has passed.
func TestSelector(t *testing.T) {
	var s Selector
	order := []api.ControllerID{"a", "b"}
	next := func(now api.Time, want api.ControllerID) {
		t.Helper()
		if got, ok := s.Next(order, now); got != want || ok != (want != "") {
			t.Errorf("relay %q, %v at %v", got, ok, now)
		}
	}
	next(1, "a")
	s.MarkFailed("a", 1)
	next(2, "b")
	s.MarkFailed("b", 2)
	next(3, "")
	next(1+api.Time(failureBackoff), "a")
}

// A change log returns all changes after a revision without gaps, or reports that it does not have them.
func TestLogHasNoGaps(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	var all []api.Change
	var l ChangeLog
	l.Reset(0)
	rev := api.Revision(0)
	for range 3000 {
		var batch []api.Change
		for range r.IntN(4) {
			rev++
			for range 1 + r.IntN(3) { // changes of one transaction
				batch = append(batch, api.Change{Put: fmt.Sprint("k", r.IntN(50)), Value: json.RawMessage(`"x"`), Version: rev})
			}
		}
		all = append(all, batch...)
		overlap := min(len(all), len(batch)+r.IntN(5))
		l.Append(all[len(all)-overlap:], rev)
	}
	if len(l.changes) > maxChanges || l.startRevision == 0 {
		t.Fatalf("%d changes retained after revision %d", len(l.changes), l.startRevision)
	}
	for since := api.Revision(0); since <= rev+1; since++ {
		got, ok := l.Since(since)
		if ok != (since >= l.startRevision && since <= rev) {
			t.Fatalf("changes after %d: ok %v, the log starts after %d", since, ok, l.startRevision)
		}
		if !ok {
			continue
		}
		var want []api.Change
		for _, c := range all {
			if c.Version > since {
				want = append(want, c)
			}
		}
		if len(got.Log) != len(want) || got.Revision != rev || Validate(since, &got) != nil {
			t.Fatalf("after %d: %d changes up to %d, expected %d up to %d; validation: %v", since, len(got.Log), got.Revision, len(want), rev, Validate(since, &got))
		}
	}
}

// Validate rejects invalid responses.
func TestInvalidResponses(t *testing.T) {
	c := func(rev api.Revision) api.Change { return api.Change{Put: "k", Version: rev} }
	for what, tc := range map[string]struct {
		response *api.Changes
		valid    bool
	}{
		"no changes":                   {&api.Changes{Revision: 7}, true},
		"newer changes":                {&api.Changes{Revision: 9, Log: []api.Change{c(8), c(8), c(9)}}, true},
		"no response":                  {nil, false},
		"revision before the request":  {&api.Changes{Revision: 6}, false},
		"change not after the request": {&api.Changes{Revision: 9, Log: []api.Change{c(7), c(8)}}, false},
		"out of order":                 {&api.Changes{Revision: 9, Log: []api.Change{c(9), c(8)}}, false},
		"change beyond the revision":   {&api.Changes{Revision: 8, Log: []api.Change{c(9)}}, false},
		"change without a key":         {&api.Changes{Revision: 8, Log: []api.Change{{Version: 8}}}, false},
	} {
		if err := Validate(7, tc.response); (err == nil) != tc.valid {
			t.Errorf("%s: error %v", what, err)
		}
	}
}
