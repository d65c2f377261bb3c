// Package precedence owns which work goes before which when there is too little: the users' rules,
// whether room is short, and one number for each kind of work, its level, by which everything
// that orders work orders it. It is pure.
package precedence

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"basaltwall/api"
)

// Work names work by what its jobs say. A field that is empty stands for any; one that ends with
// an asterisk for all that begin so.
type Work struct {
	Class    string `json:"class,omitempty"`
	Team     string `json:"team,omitempty"`
	Form     string `json:"form,omitempty"`
	Priority string `json:"priority,omitempty"`
}

// When says under which condition a rule holds.
type When string

// The conditions.
const (
	Always        When = "always"
	Short         When = "short"          // while there is no room on any type that the work may use
	ControllerOut When = "controller-out" // while a controller is gone
	ZoneLost      When = "zone-lost"      // while a zone is lost or just coming back
)

// Rule puts work before other work, or to a rank.
type Rule struct {
	Name   string   `json:"name"`
	Work   Work     `json:"work"`
	Before *Work    `json:"before,omitempty"`
	Rank   string   `json:"rank,omitempty"`  // a priority
	When   When     `json:"when,omitempty"`  // empty: always
	Floor  *float64 `json:"floor,omitempty"` // of its fair part, that the work which comes after keeps while room is short
}

// Table is the operators' rules.
type Table []Rule

// maxRules bounds a table: it lies in one record with the other settings.
const maxRules = 32

const maxPattern = 60

// fields are those of a Work with their names.
func (w *Work) fields() [4][2]string {
	return [4][2]string{{"class", w.Class}, {"team", w.Team}, {"form", w.Form}, {"priority", w.Priority}}
}

var (
	forms      = []string{string(api.Array), string(api.Gang), string(api.Service)}
	priorities = []string{string(api.Low), string(api.Normal), string(api.High), string(api.Production)}
)

func (w *Work) check(field string) error {
	if *w == (Work{}) {
		return fmt.Errorf("%s: names no work", field)
	}
	for _, f := range w.fields() {
		if i := strings.IndexByte(f[1], '*'); i >= 0 && i != len(f[1])-1 {
			return fmt.Errorf("%s.%s: an asterisk may stand at the end alone", field, f[0])
		}
		if len(f[1]) > maxPattern {
			return fmt.Errorf("%s.%s: more than %d bytes", field, f[0], maxPattern)
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

// meets reports whether some work may be named by both patterns.
func meets(a, b string) bool {
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

func (w *Work) meets(o *Work) bool {
	a, b := w.fields(), o.fields()
	for i := range a {
		if !meets(a[i][1], b[i][1]) {
			return false
		}
	}
	return true
}

// Check says what is wrong with a table, naming the field.
func (t Table) Check() error {
	if len(t) > maxRules {
		return fmt.Errorf("precedence: more than %d rules", maxRules)
	}
	floors := 0.0
	names := map[string]int{}
	for i := range t {
		r, field := &t[i], fmt.Sprintf("precedence[%d]", i)
		if r.Name == "" || len(r.Name) > maxPattern {
			return fmt.Errorf("%s.name: must be given, and %d bytes at most", field, maxPattern)
		}
		if k, twice := names[r.Name]; twice {
			return fmt.Errorf("%s.name: is that of rule %d too", field, k)
		}
		names[r.Name] = i
		if err := r.Work.check(field + ".work"); err != nil {
			return err
		}
		switch {
		case (r.Before == nil) == (r.Rank == ""):
			return fmt.Errorf("%s.before: either other work or a rank must be named", field)
		case r.Rank != "" && !slices.Contains(priorities, r.Rank):
			return fmt.Errorf("%s.rank: %q is none of %s", field, r.Rank, strings.Join(priorities, ", "))
		case !slices.Contains([]When{"", Always, Short, ControllerOut, ZoneLost}, r.When):
			return fmt.Errorf("%s.when: %q is none of always, short, controller-out, zone-lost", field, r.When)
		case r.Floor != nil && (r.Before == nil || *r.Floor < 0 || *r.Floor > 1):
			return fmt.Errorf("%s.floor: must be between 0 and 1, of the work that it goes before", field)
		}
		if r.Before != nil {
			if err := r.Before.check(field + ".before"); err != nil {
				return err
			}
			if r.Work.meets(r.Before) {
				return fmt.Errorf("%s.before: some work would go before itself", field)
			}
		}
		if r.Floor != nil {
			floors += *r.Floor
		}
		for k := range i {
			if o := &t[k]; o.Work == r.Work && (o.Rank != "" && r.Rank != "" || o.Before != nil && r.Before != nil && *o.Before == *r.Before) {
				return fmt.Errorf("%s.work: is named by rule %d already", field, k)
			}
		}
	}
	if floors > 1 {
		return fmt.Errorf("precedence: floors of %.2f in all are more than there is", floors)
	}
	// A circle: some rule's work comes, by way of others, before itself.
	for i := range t {
		if loop := t.circle(i, i, map[int]bool{}); loop != nil {
			return fmt.Errorf("precedence[%d].before: goes round in a circle by way of %s", i, strings.Join(loop, ", "))
		}
	}
	return nil
}

// circle finds a way from one rule back to another: what a rule goes before may have a rule of
// its own.
func (t Table) circle(at, to int, seen map[int]bool) []string {
	if t[at].Before == nil || seen[at] {
		return nil
	}
	seen[at] = true
	for k := range t {
		if k == at && at != to || t[k].Before == nil || !t[at].Before.meets(&t[k].Work) {
			continue
		}
		if k == to {
			return []string{t[k].Name}
		}
		if loop := t.circle(k, to, seen); loop != nil {
			return append([]string{t[k].Name}, loop...)
		}
	}
	return nil
}

// Kind is what jobs may have in common that rules look at.
type Kind struct {
	Class    api.Class
	Team     api.Team
	Form     api.Kind
	Priority api.Priority
	Short    bool // there is no room on any type that they may use
}

func (w *Work) names(k *Kind) bool {
	return matches(w.Class, string(k.Class)) && matches(w.Team, string(k.Team)) && matches(w.Form, string(k.Form)) && matches(w.Priority, string(k.Priority))
}

// Conditions are those that hold now.
type Conditions struct{ ControllerOut, ZoneLost bool }

func (r *Rule) holds(k *Kind, c Conditions) bool {
	switch r.When {
	case Short:
		return k.Short
	case ControllerOut:
		return c.ControllerOut
	case ZoneLost:
		return c.ZoneLost
	}
	return true
}

// Order is the levels of the kinds of work there are: who has the higher goes first.
type Order struct {
	levels map[Kind]float64
	by     map[Kind]string // the rule that another kind goes before it by
	floors map[Kind]float64
}

// Of makes the order of the kinds of work that there are. Without a rule that holds, a kind's
// level is its priority's rank. Else it is its place among all levels, so that one is as far from
// the next as one priority from the next.
func (t Table) Of(kinds []Kind, c Conditions) Order {
	o := Order{levels: map[Kind]float64{}, by: map[Kind]string{}, floors: map[Kind]float64{}}
	raised := false
	var level func(k Kind, depth int) float64
	level = func(k Kind, depth int) float64 {
		if l, known := o.levels[k]; known {
			return l
		}
		l := float64(k.Priority.Rank())
		for i := range t {
			r := &t[i]
			if !r.Work.names(&k) || !r.holds(&k, c) || depth > maxRules {
				continue
			}
			if r.Rank != "" {
				if to := float64(slices.Index(priorities, r.Rank)); to != l {
					l, raised = max(l, to), true
				}
				continue
			}
			for _, other := range kinds {
				if !r.Before.names(&other) {
					continue
				}
				// A step too small to reach the next priority, whatever stands between.
				if to := level(other, depth+1) + 1.0/(2*maxRules); to > l {
					l, raised = to, true
				}
				if o.by[other] == "" {
					o.by[other] = r.Name
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
	if !raised {
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
func (o Order) Level(k Kind) float64 {
	if l, known := o.levels[k]; known {
		return l
	}
	return float64(k.Priority.Rank())
}

// By names the rule by which other work goes before a kind, empty if none does.
func (o Order) By(k Kind) string { return o.by[k] }

// Floor is the share of its fair part that a rule leaves a kind which others go before; ok is
// false where no rule says.
func (o Order) Floor(k Kind) (share float64, ok bool) {
	share, ok = o.floors[k]
	return share, ok
}

// Compare orders kinds, the one that goes first first.
func (o Order) Compare(a, b Kind) int { return cmp.Compare(o.Level(b), o.Level(a)) }
