package priority

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"basaltwall/api"
	_ "basaltwall/internal/proptest"
)

func parseRules(t testing.TB, text string) Rules {
	t.Helper()
	var out Rules
	if err := json.Unmarshal([]byte(text), &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// The error of an invalid table names the invalid field.
func TestCheckNamesTheField(t *testing.T) {
	for text, want := range map[string]string{
		`[{"work":{"class":"a"},"rank":"high"}]`:                                                                                                      "precedence[0].name",
		`[{"name":"x","work":{},"rank":"high"}]`:                                                                                                      "precedence[0].work: at least one of class, team, form and priority must be set",
		`[{"name":"x","work":{"class":"a*b"},"rank":"high"}]`:                                                                                         "precedence[0].work.class: an asterisk is allowed only at the end",
		`[{"name":"x","work":{"form":"b"},"rank":"high"}]`:                                                                                            "precedence[0].work: \"b\" is neither",
		`[{"name":"x","work":{"class":"a"}}]`:                                                                                                         "precedence[0].before: exactly one of before and rank must be set",
		`[{"name":"x","work":{"class":"a"},"rank":"high","before":{"class":"b"}}]`:                                                                    "precedence[0].before: exactly one of before and rank must be set",
		`[{"name":"x","work":{"class":"a"},"rank":"top"}]`:                                                                                            "precedence[0].rank: \"top\"",
		`[{"name":"x","work":{"class":"a"},"rank":"high","when":"often"}]`:                                                                            "precedence[0].when",
		`[{"name":"x","work":{"class":"a"},"rank":"high","floor":0.5}]`:                                                                               "precedence[0].floor",
		`[{"name":"x","work":{"class":"a"},"before":{"class":"b"},"floor":1.5}]`:                                                                      "precedence[0].floor",
		`[{"name":"x","work":{"class":"a*"},"before":{"class":"ab"}}]`:                                                                                "precedence[0].before: overlaps with work: some jobs would take precedence over themselves",
		`[{"name":"x","work":{"class":"a"},"rank":"high"},{"name":"x","work":{"class":"b"},"rank":"high"}]`:                                           "precedence[1].name: is also the name of rule 0",
		`[{"name":"x","work":{"class":"a"},"rank":"high"},{"name":"y","work":{"class":"a"},"rank":"idle"}]`:                                           "precedence[1].work: is already selected by rule 0",
		`[{"name":"x","work":{"class":"a"},"before":{"class":"b"},"floor":0.6},{"name":"y","work":{"class":"a"},"before":{"class":"c"},"floor":0.6}]`: "precedence: the floors of all rules add up to 1.20",
		`[{"name":"x","work":{"class":"a"},"before":{"class":"b"}},{"name":"y","work":{"class":"b"},"before":{"class":"a"}}]`:                         "is part of a cycle through the rules ",
		`[{"name":"x","work":{"class":"a"},"before":{"class":"b"}},{"name":"y","work":{"class":"b"},"before":{"class":"c"}},{"name":"z","work":{"class":"c"},"before":{"class":"a*"}}]`: "is part of a cycle through the rules y, z, x",
		`[{"name":"x","work":{"class":"a"},"before":{"class":"b"}},{"name":"y","work":{"class":"b"},"before":{"class":"c"}}]`:                                                           "",
	} {
		err := parseRules(t, text).Validate()
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, expected %q", text, err, want)
		}
	}
	many := make(Rules, maxRules+1)
	if many.Validate() == nil {
		t.Error("a table with more than maxRules rules is valid")
	}
}

const exampleRules = `[{"name":"shop front","work":{"class":"vetrina"},"before":{"class":"listini*"},"when":"short"},
{"name":"listings","work":{"class":"listini*"},"before":{"class":"foto"},"when":"short","floor":0.4},
{"name":"then sorting","work":{"class":"foto"},"before":{"class":"catalogo"},"when":"controller-out"}]`

func workload(class api.Class, p api.Priority) Workload {
	return Workload{Class: class, Team: "t", Form: api.Array, Priority: p, CapacityShort: true}
}

// While capacity is short, vetrina takes precedence over listini* and listini* over foto, regardless of
// their priorities; otherwise only the priorities count.
func TestExampleRules(t *testing.T) {
	rules := parseRules(t, exampleRules)
	if err := rules.Validate(); err != nil {
		t.Fatal(err)
	}
	vetrina, listini, foto, catalogo := workload("vetrina", api.Production), workload("listini-notte", api.Normal), workload("foto", api.High), workload("catalogo", api.High)
	all := []Workload{catalogo, foto, listini, vetrina}
	o := rules.Resolve(all, ActiveConditions{ControllerDown: true})
	if !(o.Level(vetrina) > o.Level(listini) && o.Level(listini) > o.Level(foto) && o.Level(foto) > o.Level(catalogo)) {
		t.Errorf("levels of vetrina, listini, foto, catalogo are not descending: %v %v %v %v", o.Level(vetrina), o.Level(listini), o.Level(foto), o.Level(catalogo))
	}
	if o.Level(listini)-o.Level(foto) < 1 || o.OutrankedBy(foto) != "listings" || o.OutrankedBy(vetrina) != "" {
		t.Errorf("listini is %v levels above foto, which is outranked by rule %q", o.Level(listini)-o.Level(foto), o.OutrankedBy(foto))
	}
	if f, ok := o.Floor(foto); !ok || f != 0.4 {
		t.Errorf("floor of foto is %v, expected 0.4", f)
	}
	for i := range all {
		all[i].CapacityShort = false
	}
	o = rules.Resolve(all, ActiveConditions{})
	if o.Level(all[0]) != 2 || o.Level(all[1]) != 2 || o.Level(all[2]) != 1 || o.Level(all[3]) != 3 {
		t.Error("rules for a shortage apply without one")
	}
	// A rule whose Before selects no present workload has no effect.
	if o = rules.Resolve([]Workload{listini}, ActiveConditions{}); o.Level(listini) != 1 {
		t.Errorf("level of listini without other workloads is %v, expected 1", o.Level(listini))
	}
}

// In any valid table, each rule that applies raises the selected workloads above those of its Before.
// Without rules, workloads keep the order of their priorities.
func TestEveryRuleHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		classes := []string{"a", "ab", "b", "c"}
		ranks := []api.Priority{api.Low, api.Normal, api.High, api.Production}
		var rules Rules
		for i := range rapid.IntRange(0, 5).Draw(t, "rules") {
			r := Rule{Name: string(rune('p' + i)), Selector: Selector{Class: rapid.SampledFrom([]string{"a", "a*", "ab", "b", "c"}).Draw(t, "work")}}
			r.Before = &Selector{Class: rapid.SampledFrom([]string{"a", "b", "b*", "c"}).Draw(t, "before")}
			if rapid.Bool().Draw(t, "short") {
				r.Condition = CapacityShort
			}
			rules = append(rules, r)
		}
		if rules.Validate() != nil {
			return
		}
		var workloads []Workload
		for _, c := range classes {
			k := workload(api.Class(c), rapid.SampledFrom(ranks).Draw(t, "priority"))
			k.CapacityShort = rapid.Bool().Draw(t, "short of room")
			workloads = append(workloads, k)
		}
		o := rules.Resolve(workloads, ActiveConditions{})
		for _, r := range rules {
			for _, a := range workloads {
				for _, b := range workloads {
					if r.Selector.selects(&a) && r.Before.selects(&b) && r.applies(&a, ActiveConditions{}) && o.Level(a) < o.Level(b)+0.99 {
						t.Fatalf("rule %+v does not hold: %+v has level %v, %+v has level %v", r, a, o.Level(a), b, o.Level(b))
					}
				}
			}
		}
		for _, a := range workloads {
			for _, b := range workloads {
				if len(rules) == 0 && a.Priority.Rank() > b.Priority.Rank() && o.Level(a) <= o.Level(b) {
					t.Fatalf("without rules, %+v does not have a higher level than %+v", a, b)
				}
			}
		}
	})
}

// A shortage begins within two seconds, persists while demand is intermittently unmet, and ends after
// ShortageHold without unmet demand. A new writer does not end it before it has observed that long.
func TestShortageHysteresis(t *testing.T) {
	at := func(s float64) api.Time { return api.Time(api.Seconds(s)) }
	var tracker ShortageTracker
	recorded := Shortage{}
	changes := 0
	observe := func(s float64, demandUnmet bool) {
		unmet := map[api.MachineTypeName]bool{}
		if demandUnmet {
			unmet["g8"] = true
		}
		tracker.Observe(unmet, at(s))
		next := tracker.Next(recorded, at(s), 0, api.WallTime(s*1000))
		if !next.Equal(recorded) {
			changes++
		}
		recorded = next
	}
	for s := 100.0; s <= 102; s += 0.25 {
		observe(s, true)
	}
	if !recorded.Includes("g8") || recorded.Includes("c8") {
		t.Fatal("after two seconds of unmet demand for g8, not exactly g8 is short")
	}
	for s := 102.25; s < 160; s += 0.25 { // alternating every three seconds
		observe(s, int(s/3)%2 == 0)
	}
	if changes != 1 {
		t.Errorf("the record has changed %d times during an intermittent shortage, expected 1", changes)
	}
	var newTracker ShortageTracker // after a failover
	if next := newTracker.Next(recorded, at(165), at(160), 0); !next.Includes("g8") {
		t.Error("a new writer ends a shortage before it has observed for ShortageHold")
	}
	for s := 160.0; s < 181; s += 0.25 {
		observe(s, false)
	}
	if recorded.Includes("g8") || changes != 2 {
		t.Error("the shortage does not end")
	}
	if ShortageOnset+500*time.Millisecond > 2*time.Second {
		t.Error("a shortage begins later than two seconds after demand is unmet")
	}
}
