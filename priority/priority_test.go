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

// Errors of a table name the field at fault.
func TestCheckNamesTheField(t *testing.T) {
	for text, want := range map[string]string{
		`[{"work":{"class":"a"},"rank":"high"}]`:                                                                                                      "precedence[0].name",
		`[{"name":"x","work":{},"rank":"high"}]`:                                                                                                      "precedence[0].work: names no work",
		`[{"name":"x","work":{"class":"a*b"},"rank":"high"}]`:                                                                                         "precedence[0].work.class: an asterisk",
		`[{"name":"x","work":{"form":"b"},"rank":"high"}]`:                                                                                            "precedence[0].work: \"b\" is neither",
		`[{"name":"x","work":{"class":"a"}}]`:                                                                                                         "precedence[0].before: either",
		`[{"name":"x","work":{"class":"a"},"rank":"high","before":{"class":"b"}}]`:                                                                    "precedence[0].before: either",
		`[{"name":"x","work":{"class":"a"},"rank":"top"}]`:                                                                                            "precedence[0].rank: \"top\"",
		`[{"name":"x","work":{"class":"a"},"rank":"high","when":"often"}]`:                                                                            "precedence[0].when",
		`[{"name":"x","work":{"class":"a"},"rank":"high","floor":0.5}]`:                                                                               "precedence[0].floor",
		`[{"name":"x","work":{"class":"a"},"before":{"class":"b"},"floor":1.5}]`:                                                                      "precedence[0].floor",
		`[{"name":"x","work":{"class":"a*"},"before":{"class":"ab"}}]`:                                                                                "precedence[0].before: some work would go before itself",
		`[{"name":"x","work":{"class":"a"},"rank":"high"},{"name":"x","work":{"class":"b"},"rank":"high"}]`:                                           "precedence[1].name: is that of rule 0",
		`[{"name":"x","work":{"class":"a"},"rank":"high"},{"name":"y","work":{"class":"a"},"rank":"idle"}]`:                                           "precedence[1].work: is named by rule 0",
		`[{"name":"x","work":{"class":"a"},"before":{"class":"b"},"floor":0.6},{"name":"y","work":{"class":"a"},"before":{"class":"c"},"floor":0.6}]`: "floors of 1.20",
		`[{"name":"x","work":{"class":"a"},"before":{"class":"b"}},{"name":"y","work":{"class":"b"},"before":{"class":"a"}}]`:                         "circle by way of",
		`[{"name":"x","work":{"class":"a"},"before":{"class":"b"}},{"name":"y","work":{"class":"b"},"before":{"class":"c"}},{"name":"z","work":{"class":"c"},"before":{"class":"a*"}}]`: "circle by way of y, z, x",
		`[{"name":"x","work":{"class":"a"},"before":{"class":"b"}},{"name":"y","work":{"class":"b"},"before":{"class":"c"}}]`:                                                           "",
	} {
		err := parseRules(t, text).Validate()
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, expected %q", text, err, want)
		}
	}
	many := make(Rules, maxRules+1)
	if many.Validate() == nil {
		t.Error("any number of rules")
	}
}

const exampleRules = `[{"name":"shop front","work":{"class":"vetrina"},"before":{"class":"listini*"},"when":"short"},
{"name":"listings","work":{"class":"listini*"},"before":{"class":"foto"},"when":"short","floor":0.4},
{"name":"then sorting","work":{"class":"foto"},"before":{"class":"catalogo"},"when":"controller-out"}]`

func workload(class api.Class, p api.Priority) Workload {
	return Workload{Class: class, Team: "t", Form: api.Array, Priority: p, CapacityShort: true}
}

// While capacity is short the shop front goes before the listings and these before the photo work,
// whatever their priorities; otherwise priorities alone count.
func TestExampleRules(t *testing.T) {
	rules := parseRules(t, exampleRules)
	if err := rules.Validate(); err != nil {
		t.Fatal(err)
	}
	shop, list, foto, sorts := workload("vetrina", api.Production), workload("listini-notte", api.Normal), workload("foto", api.High), workload("catalogo", api.High)
	all := []Workload{sorts, foto, list, shop}
	o := rules.Resolve(all, ActiveConditions{ControllerDown: true})
	if !(o.Level(shop) > o.Level(list) && o.Level(list) > o.Level(foto) && o.Level(foto) > o.Level(sorts)) {
		t.Errorf("levels %v %v %v %v", o.Level(shop), o.Level(list), o.Level(foto), o.Level(sorts))
	}
	if o.Level(list)-o.Level(foto) < 1 || o.OutrankedBy(foto) != "listings" || o.OutrankedBy(shop) != "" {
		t.Errorf("%v apart, by %q", o.Level(list)-o.Level(foto), o.OutrankedBy(foto))
	}
	if f, ok := o.Floor(foto); !ok || f != 0.4 {
		t.Errorf("floor %v", f)
	}
	for i := range all {
		all[i].CapacityShort = false
	}
	o = rules.Resolve(all, ActiveConditions{})
	if o.Level(all[0]) != 2 || o.Level(all[1]) != 2 || o.Level(all[2]) != 1 || o.Level(all[3]) != 3 {
		t.Error("rules hold though nothing is short")
	}
	// A rule whose selectors match no work has no effect.
	if o = rules.Resolve([]Workload{list}, ActiveConditions{}); o.Level(list) != 1 {
		t.Errorf("level %v", o.Level(list))
	}
}

// In any valid table, each rule that applies holds for all work, and
// work that no rule selects keeps the order of its priorities.
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
		var kinds []Workload
		for _, c := range classes {
			k := workload(api.Class(c), rapid.SampledFrom(ranks).Draw(t, "priority"))
			k.CapacityShort = rapid.Bool().Draw(t, "short of room")
			kinds = append(kinds, k)
		}
		o := rules.Resolve(kinds, ActiveConditions{})
		for _, r := range rules {
			for _, a := range kinds {
				for _, b := range kinds {
					if r.Selector.selects(&a) && r.Before.selects(&b) && r.applies(&a, ActiveConditions{}) && o.Level(a) < o.Level(b)+0.99 {
						t.Fatalf("rule %+v: %+v at %v, %+v at %v", r, a, o.Level(a), b, o.Level(b))
					}
				}
			}
		}
		for _, a := range kinds {
			for _, b := range kinds {
				if len(rules) == 0 && a.Priority.Rank() > b.Priority.Rank() && o.Level(a) <= o.Level(b) {
					t.Fatalf("%+v and %+v", a, b)
				}
			}
		}
	})
}

// A shortage begins within two seconds, an intermittent one counts as one, it ends when no demand has
// been unmet for a while, and a new writer does not end it for not having observed it.
func TestShortageHysteresis(t *testing.T) {
	at := func(s float64) api.Time { return api.Time(api.Seconds(s)) }
	var w ShortageTracker
	now := Shortage{}
	changes := 0
	see := func(s float64, lacked bool) {
		m := map[api.MachineTypeName]bool{}
		if lacked {
			m["g8"] = true
		}
		w.Observe(m, at(s))
		next := w.Next(now, at(s), 0, api.WallTime(s*1000))
		if !next.Equal(now) {
			changes++
		}
		now = next
	}
	for s := 100.0; s <= 102; s += 0.25 {
		see(s, true)
	}
	if !now.Includes("g8") || now.Includes("c8") {
		t.Fatal("not short after two seconds")
	}
	for s := 102.25; s < 160; s += 0.25 { // intermittent, every three seconds
		see(s, int(s/3)%2 == 0)
	}
	if changes != 1 {
		t.Errorf("%d changes while it flaps", changes)
	}
	var fresh ShortageTracker // a failover
	if next := fresh.Next(now, at(165), at(160), 0); !next.Includes("g8") {
		t.Error("a new writer ends what it has not watched")
	}
	for s := 160.0; s < 181; s += 0.25 {
		see(s, false)
	}
	if now.Includes("g8") || changes != 2 {
		t.Error("it does not end")
	}
	if ShortageOnset+500*time.Millisecond > 2*time.Second {
		t.Error("it begins too late")
	}
}
