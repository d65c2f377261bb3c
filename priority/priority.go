// Package priority owns which work goes before which when there is too little: the users' rules,
// whether room is short, and one number for each kind of work, its level, by which everything
// that orders work orders it. It is pure.
package priority

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"basaltwall/api"
)

// Selector names work by what its jobs say. A field that is empty stands for any; one that ends with
// an asterisk for all that begin so.
type Selector struct {
	Class    string `json:"class,omitempty"`
	Team     string `json:"team,omitempty"`
	Form     string `json:"form,omitempty"`
	Priority string `json:"priority,omitempty"`
}

// Condition says under which condition a rule holds.
type Condition string

// The conditions.
const (
	Always         Condition = "always"
	CapacityShort  Condition = "short"          // while there is no room on any type that the work may use
	ControllerDown Condition = "controller-out" // while a controller is gone
	ZoneFailed     Condition = "zone-lost"      // while a zone is lost or just coming back
)

// Rule puts work before other work, or to a rank.
type Rule struct {
	Name      string    `json:"name"`
	Selector  Selector  `json:"work"`
	Before    *Selector `json:"before,omitempty"`
	Rank      string    `json:"rank,omitempty"`  // a priority
	Condition Condition `json:"when,omitempty"`  // empty: always
	Floor     *float64  `json:"floor,omitempty"` // of its fair part, that the work which comes after keeps while room is short
}

// Rules is the operators' rules.
type Rules []Rule

// maxRules bounds a table: it lies in one record with the other settings.
const maxRules = 32

const maxPatternLength = 60

// fields are those of a Work with their names.
func (w *Selector) fields() [4][2]string {
	return [4][2]string{{"class", w.Class}, {"team", w.Team}, {"form", w.Form}, {"priority", w.Priority}}
}

var (
	forms      = []string{string(api.Array), string(api.Gang), string(api.Service)}
	priorities = []string{string(api.Low), string(api.Normal), string(api.High), string(api.Production)}
)

func (w *Selector) validate(field string) error {
	if *w == (Selector{}) {
		return fmt.Errorf("%s: names no work", field)
	}
	for _, f := range w.fields() {
		if i := strings.IndexByte(f[1], '*'); i >= 0 && i != len(f[1])-1 {
			return fmt.Errorf("%s.%s: an asterisk may stand at the end alone", field, f[0])
		}
		if len(f[1]) > maxPatternLength {
			return fmt.Errorf("%s.%s: more than %d bytes", field, f[0], maxPatternLength)
		}
	}
	for of, known := range map[string][]string{w.Form: forms, w.Priority: priorities} {
		if of != "" && !slices.ContainsFunc(known, func(k string) bool { return matches(of, k) }) {
			return fmt.Errorf("%s: %q is neither a form (%s) nor a priority (%s)", field, of, strings.Join(forms, ", "), strings.Join(priorities, ", "))
		}
	}
	return nil
}

func matches(pattern, s string) bool {
	if head, any := strings.CutSuffix(pattern, "*"); any {
		return strings.HasPrefix(s, head)
	}
	return pattern == "" || pattern == s
}

// patternsOverlap reports whether some work may be named by both patterns.
func patternsOverlap(a, b string) bool {
	x, anyA := strings.CutSuffix(a, "*")
	y, anyB := strings.CutSuffix(b, "*")
	switch {
	case a == "" || b == "":
		return true
	case anyA && anyB:
		return strings.HasPrefix(x, y) || strings.HasPrefix(y, x)
	case anyA:
		return strings.HasPrefix(b, x)
	case anyB:
		return strings.HasPrefix(a, y)
	}
	return a == b
}

func (w *Selector) overlaps(o *Selector) bool {
	a, b := w.fields(), o.fields()
	for i := range a {
		if !patternsOverlap(a[i][1], b[i][1]) {
			return false
		}
	}
	return true
}

// Validate says what is wrong with a table, naming the field.
func (t Rules) Validate() error {
	if len(t) > maxRules {
		return fmt.Errorf("precedence: more than %d rules", maxRules)
	}
	floors := 0.0
	names := map[string]int{}
	for i := range t {
		r, field := &t[i], fmt.Sprintf("precedence[%d]", i)
		if r.Name == "" || len(r.Name) > maxPatternLength {
			return fmt.Errorf("%s.name: must be given, and %d bytes at most", field, maxPatternLength)
		}
		if k, twice := names[r.Name]; twice {
			return fmt.Errorf("%s.name: is that of rule %d too", field, k)
		}
		names[r.Name] = i
		if err := r.Selector.validate(field + ".work"); err != nil {
			return err
		}
		switch {
		case (r.Before == nil) == (r.Rank == ""):
			return fmt.Errorf("%s.before: either other work or a rank must be named", field)
		case r.Rank != "" && !slices.Contains(priorities, r.Rank):
			return fmt.Errorf("%s.rank: %q is none of %s", field, r.Rank, strings.Join(priorities, ", "))
		case !slices.Contains([]Condition{"", Always, CapacityShort, ControllerDown, ZoneFailed}, r.Condition):
			return fmt.Errorf("%s.when: %q is none of always, short, controller-out, zone-lost", field, r.Condition)
		case r.Floor != nil && (r.Before == nil || *r.Floor < 0 || *r.Floor > 1):
			return fmt.Errorf("%s.floor: must be between 0 and 1, of the work that it goes before", field)
		}
		if r.Before != nil {
			if err := r.Before.validate(field + ".before"); err != nil {
				return err
			}
			if r.Selector.overlaps(r.Before) {
				return fmt.Errorf("%s.before: some work would go before itself", field)
			}
		}
		if r.Floor != nil {
			floors += *r.Floor
		}
		for k := range i {
			if o := &t[k]; o.Selector == r.Selector && (o.Rank != "" && r.Rank != "" || o.Before != nil && r.Before != nil && *o.Before == *r.Before) {
				return fmt.Errorf("%s.work: is named by rule %d already", field, k)
			}
		}
	}
	if floors > 1 {
		return fmt.Errorf("precedence: floors of %.2f in all are more than there is", floors)
	}
	// A circle: some rule's work comes, by way of others, before itself.
	for i := range t {
		if loop := t.findCycle(i, i, map[int]bool{}); loop != nil {
			return fmt.Errorf("precedence[%d].before: goes round in a circle by way of %s", i, strings.Join(loop, ", "))
		}
	}
	return nil
}

// findCycle finds a way from one rule back to another: what a rule goes before may have a rule of
// its own.
func (t Rules) findCycle(at, to int, seen map[int]bool) []string {
	if t[at].Before == nil || seen[at] {
		return nil
	}
	seen[at] = true
	for k := range t {
		if k == at && at != to || t[k].Before == nil || !t[at].Before.overlaps(&t[k].Selector) {
			continue
		}
		if k == to {
			return []string{t[k].Name}
		}
		if cycle := t.findCycle(k, to, seen); cycle != nil {
			return append([]string{t[k].Name}, cycle...)
		}
	}
	return nil
}

// Workload is what jobs may have in common that rules look at.
type Workload struct {
	Class         api.Class
	Team          api.Team
	Form          api.Kind
	Priority      api.Priority
	CapacityShort bool // there is no room on any type that they may use
}

func (w *Selector) selects(k *Workload) bool {
	return matches(w.Class, string(k.Class)) && matches(w.Team, string(k.Team)) && matches(w.Form, string(k.Form)) && matches(w.Priority, string(k.Priority))
}

// ActiveConditions are those that hold now.
type ActiveConditions struct{ ControllerDown, ZoneFailed bool }

func (r *Rule) applies(k *Workload, c ActiveConditions) bool {
	switch r.Condition {
	case CapacityShort:
		return k.CapacityShort
	case ControllerDown:
		return c.ControllerDown
	case ZoneFailed:
		return c.ZoneFailed
	}
	return true
}

// Ordering is the levels of the kinds of work there are: who has the higher goes first.
type Ordering struct {
	levels      map[Workload]float64
	outrankedBy map[Workload]string // the rule that another kind goes before it by
	floors      map[Workload]float64
}

// Resolve makes the order of the kinds of work that there are. Without a rule that holds, a kind's
// level is its priority's rank. Else it is its place among all levels, so that one is as far from
// the next as one priority from the next.
func (t Rules) Resolve(kinds []Workload, c ActiveConditions) Ordering {
	o := Ordering{levels: map[Workload]float64{}, outrankedBy: map[Workload]string{}, floors: map[Workload]float64{}}
	boosted := false
	var level func(k Workload, depth int) float64
	level = func(k Workload, depth int) float64 {
		if l, known := o.levels[k]; known {
			return l
		}
		l := float64(k.Priority.Rank())
		for i := range t {
			r := &t[i]
			if !r.Selector.selects(&k) || !r.applies(&k, c) || depth > maxRules {
				continue
			}
			if r.Rank != "" {
				if to := float64(slices.Index(priorities, r.Rank)); to != l {
					l, boosted = max(l, to), true
				}
				continue
			}
			for _, other := range kinds {
				if !r.Before.selects(&other) {
					continue
				}
				// A step too small to reach the next priority, whatever stands between.
				if to := level(other, depth+1) + 1.0/(2*maxRules); to > l {
					l, boosted = to, true
				}
				if o.outrankedBy[other] == "" {
					o.outrankedBy[other] = r.Name
				}
				if r.Floor != nil {
					o.floors[other] = max(o.floors[other], *r.Floor)
				}
			}
		}
		o.levels[k] = l
		return l
	}
	for _, k := range kinds {
		level(k, 0)
	}
	if !boosted {
		return o
	}
	distinct := slices.Compact(slices.Sorted(maps.Values(o.levels)))
	for k, l := range o.levels {
		i, _ := slices.BinarySearch(distinct, l)
		o.levels[k] = float64(i)
	}
	return o
}

// Level is a kind's level.
func (o Ordering) Level(k Workload) float64 {
	if l, known := o.levels[k]; known {
		return l
	}
	return float64(k.Priority.Rank())
}

// OutrankedBy names the rule by which other work goes before a kind, empty if none does.
func (o Ordering) OutrankedBy(k Workload) string { return o.outrankedBy[k] }

// Floor is the share of its fair part that a rule leaves a kind which others go before; ok is
// false where no rule says.
func (o Ordering) Floor(k Workload) (share float64, ok bool) {
	share, ok = o.floors[k]
	return share, ok
}

// Compare orders kinds, the one that goes first first.
func (o Ordering) Compare(a, b Workload) int { return cmp.Compare(o.Level(b), o.Level(a)) }
