package relay

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"basaltwall/api"
)

func members(n, zones int) []Member {
	var out []Member
	for i := range n {
		out = append(out, Member{api.ControllerID(fmt.Sprintf("stone-%d", i)), api.Zone(fmt.Sprint("zone-", i%zones))})
	}
	return out
}

// As many controllers as the limit allows all read directly.
func TestFewControllersReadDirectly(t *testing.T) {
	for rps, want := range map[float64]int{1: 3, 50: 3, 150: 5, 200: 6, 1500: 50} {
		if got := MaxRelays(rps); got != want {
			t.Errorf("%v requests a second carry %d relays, expected %d", rps, got, want)
		}
	}
	if got := Select(members(3, 3), MaxRelays(150)); len(got) != 3 {
		t.Errorf("%d relays of three controllers", len(got))
	}
}

// Relays are in as many zones as there are, whatever the order of the members; the failure of a member
// that is not a relay changes nothing, that of a relay at most one other.
func TestRelaySelectionIsStable(t *testing.T) {
	all := members(23, 8)
	before := Select(all, 5)
	zones := map[api.Zone]bool{}
	for _, m := range before {
		zones[m.Zone] = true
	}
	if len(before) != 5 || len(zones) != 5 {
		t.Fatalf("%v", before)
	}
	shuffled := slices.Clone(all)
	rand.New(rand.NewPCG(1, 2)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	if got := Select(shuffled, 5); !slices.Equal(got, before) {
		t.Errorf("%v in another order, %v before", got, before)
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
			t.Errorf("%s ends, a relay before: %v; %d of 5 stay", removed.ID, wasRelay, kept)
		}
	}
}

// Controllers are spread over the relays of their zone, or over all.
func TestPreferenceOrder(t *testing.T) {
	all := members(60, 3)
	relays := Select(all, 6)
	asked := map[api.ControllerID]int{}
	for _, m := range all {
		order := PreferenceOrder(m, relays)
		for i, l := range order {
			r := relays[slices.IndexFunc(relays, func(r Member) bool { return r.ID == l })]
			if i == 0 && r.Zone != m.Zone {
				t.Errorf("%v asks %v first", m, r)
			}
			if l == m.ID {
				t.Errorf("%s asks itself", l)
			}
		}
		if !slices.ContainsFunc(relays, func(r Member) bool { return r.ID == m.ID }) {
			asked[order[0]]++
		}
	}
	for _, r := range relays {
		if asked[r.ID] == 0 || asked[r.ID] > 20 {
			t.Errorf("%s is asked first by %d of %d", r.ID, asked[r.ID], 54)
		}
	}
}

// A relay that fails is skipped for a while.
func TestSelector(t *testing.T) {
	var l Selector
	order := []api.ControllerID{"a", "b"}
	next := func(now api.Time, want api.ControllerID) {
		t.Helper()
		if got, ok := l.Next(order, now); got != want || ok != (want != "") {
			t.Errorf("%q, %v at %v", got, ok, now)
		}
	}
	next(1, "a")
	l.MarkFailed("a", 1)
	next(2, "b")
	l.MarkFailed("b", 2)
	next(3, "")
	next(1+api.Time(failureBackoff), "a")
}

// A log retains the changes after a revision, without gaps, and reports when it does not reach back.
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
			for range 1 + r.IntN(3) { // of one transaction
				batch = append(batch, api.Change{Put: fmt.Sprint("k", r.IntN(50)), Value: json.RawMessage(`"x"`), Version: rev})
			}
		}
		all = append(all, batch...)
		overlap := min(len(all), len(batch)+r.IntN(5))
		l.Append(all[len(all)-overlap:], rev)
	}
	if len(l.changes) > maxChanges || l.startRevision == 0 {
		t.Fatalf("%d changes after %d", len(l.changes), l.startRevision)
	}
	for since := api.Revision(0); since <= rev+1; since++ {
		got, ok := l.Since(since)
		if ok != (since >= l.startRevision && since <= rev) {
			t.Fatalf("after %d: %v, the log begins after %d", since, ok, l.startRevision)
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
			t.Fatalf("after %d: %d changes up to %d, expected %d up to %d: %v", since, len(got.Log), got.Revision, len(want), rev, Validate(since, &got))
		}
	}
}

// Invalid responses are detected.
func TestInvalidResponses(t *testing.T) {
	c := func(rev api.Revision) api.Change { return api.Change{Put: "k", Version: rev} }
	for what, tc := range map[string]struct {
		a  *api.Changes
		ok bool
	}{
		"nothing new":         {&api.Changes{Revision: 7}, true},
		"what follows":        {&api.Changes{Revision: 9, Log: []api.Change{c(8), c(8), c(9)}}, true},
		"none":                {nil, false},
		"older":               {&api.Changes{Revision: 6}, false},
		"known already":       {&api.Changes{Revision: 9, Log: []api.Change{c(7), c(8)}}, false},
		"out of order":        {&api.Changes{Revision: 9, Log: []api.Change{c(9), c(8)}}, false},
		"beyond its revision": {&api.Changes{Revision: 8, Log: []api.Change{c(9)}}, false},
		"no key":              {&api.Changes{Revision: 8, Log: []api.Change{{Version: 8}}}, false},
	} {
		if err := Validate(7, tc.a); (err == nil) != tc.ok {
			t.Errorf("%s: %v", what, err)
		}
	}
}
