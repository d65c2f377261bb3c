// Package priority owns which work goes before which when capacity is short: the users' rules,
// whether capacity is short, and one number for each workload, its level, by which everything
// that orders work orders it. It is pure: it stores nothing and reads no clock.
package priority

import (
	"slices"
	"strings"
)

// Rules is the operators' table of rules.
type Rules []Rule

// maxRules bounds a table, which is stored in one record with other settings.
const maxRules = 32

// Condition says when a rule applies.
type Condition string

// The conditions.
const (
	Always         Condition = "always"
	CapacityShort  Condition = "short"          // while no machine type that the work may use has free capacity
	ControllerDown Condition = "controller-out" // while a controller is down
	ZoneFailed     Condition = "zone-lost"      // while a zone has failed or is recovering
)

// Rule orders work before other work, or gives it the rank of a priority.
type Rule struct {
	Name      string    `json:"name"`
	Selector  Selector  `json:"work"`
	Before    *Selector `json:"before,omitempty"`
	Rank      string    `json:"rank,omitempty"`  // a priority; either this or Before is set
	Condition Condition `json:"when,omitempty"`  // empty: always
	Floor     *float64  `json:"floor,omitempty"` // share of its fair share that the work of Before keeps in a shortage
}

// Validate checks a table. The error is a *RuleError.
func (t Rules) Validate() error {
	if len(t) > maxRules {
		return invalid(tableField, "more than %d rules", maxRules)
	}
	floors := 0.0
	names := map[string]int{}
	for i := range t {
		r, field := &t[i], ruleField(i)
		if r.Name == "" || len(r.Name) > maxPatternLength {
			return invalid(field+".name", "must be given, and %d bytes at most", maxPatternLength)
		}
		if k, twice := names[r.Name]; twice {
			return invalid(field+".name", "is that of rule %d too", k)
		}
		names[r.Name] = i
		if err := r.validate(field); err != nil {
			return err
		}
		if r.Floor != nil {
			floors += *r.Floor
		}
		for k := range i {
			if r.duplicates(&t[k]) {
				return invalid(field+".work", "is named by rule %d already", k)
			}
		}
	}
	if floors > 1 {
		return invalid(tableField, "floors of %.2f in all are more than there is", floors)
	}
	for i := range t {
		if cycle := t.findCycle(i, i, map[int]bool{}); cycle != nil {
			return invalid(ruleField(i)+".before", "goes round in a circle by way of %s", strings.Join(cycle, ", "))
		}
	}
	return nil
}

// validate checks a rule by itself, but for its name.
func (r *Rule) validate(field string) error {
	if err := r.Selector.validate(field + ".work"); err != nil {
		return err
	}
	switch {
	case (r.Before == nil) == (r.Rank == ""):
		return invalid(field+".before", "either other work or a rank must be named")
	case r.Rank != "" && !slices.Contains(priorities, r.Rank):
		return invalid(field+".rank", "%q is none of %s", r.Rank, strings.Join(priorities, ", "))
	case !slices.Contains([]Condition{"", Always, CapacityShort, ControllerDown, ZoneFailed}, r.Condition):
		return invalid(field+".when", "%q is none of always, short, controller-out, zone-lost", r.Condition)
	case r.Floor != nil && (r.Before == nil || *r.Floor < 0 || *r.Floor > 1):
		return invalid(field+".floor", "must be between 0 and 1, of the work that it goes before")
	}
	if r.Before == nil {
		return nil
	}
	if err := r.Before.validate(field + ".before"); err != nil {
		return err
	}
	if r.Selector.overlaps(r.Before) {
		return invalid(field+".before", "some work would go before itself")
	}
	return nil
}

// duplicates reports whether another rule says the same of the same work.
func (r *Rule) duplicates(other *Rule) bool {
	if r.Selector != other.Selector {
		return false
	}
	return other.Rank != "" && r.Rank != "" || other.Before != nil && r.Before != nil && *other.Before == *r.Before
}

// findCycle finds a path of rules from one to another: the work that a rule goes before may have a
// rule of its own. It returns the names of the rules on the path, nil if there is none.
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

// applies reports whether the condition of a rule holds for a workload.
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
