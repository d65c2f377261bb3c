// Package priority defines the operators' rules for the precedence of workloads. It computes a level
// for each workload, by which the scheduler orders jobs, and tracks shortages of capacity, on which
// rules may depend. It does no input or output and reads no clock.
package priority

import (
	"slices"
	"strings"
)

// Rules is the operators' table of rules.
type Rules []Rule

// maxRules bounds a table, which is stored in one record with other settings.
const maxRules = 32

// Condition is the condition under which a rule applies.
type Condition string

// Conditions of rules.
const (
	Always         Condition = "always"
	CapacityShort  Condition = "short"          // while no machine type that the workload may use has free capacity
	ControllerDown Condition = "controller-out" // while a controller is down
	ZoneFailed     Condition = "zone-lost"      // while a zone has failed or is recovering
)

// Rule gives workloads precedence over other workloads, or raises them to the rank of a priority.
type Rule struct {
	Name      string    `json:"name"`
	Selector  Selector  `json:"work"`
	Before    *Selector `json:"before,omitempty"` // the workloads that Selector takes precedence over
	Rank      string    `json:"rank,omitempty"`   // a priority; exactly one of Rank and Before is set
	Condition Condition `json:"when,omitempty"`   // empty: always
	Floor     *float64  `json:"floor,omitempty"`  // fraction of its fair share that Before keeps in a shortage
}

// Validate checks a table of rules. The error is a *RuleError.
func (t Rules) Validate() error {
	if len(t) > maxRules {
		return invalid(tableField, "more than %d rules", maxRules)
	}
	floors := 0.0
	names := map[string]int{}
	for i := range t {
		r, field := &t[i], ruleField(i)
		if r.Name == "" || len(r.Name) > maxPatternLength {
			return invalid(field+".name", "is required and may have at most %d bytes", maxPatternLength)
		}
		if k, duplicate := names[r.Name]; duplicate {
			return invalid(field+".name", "is also the name of rule %d", k)
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
				return invalid(field+".work", "is already selected by rule %d", k)
			}
		}
	}
	if floors > 1 {
		return invalid(tableField, "the floors of all rules add up to %.2f, the maximum is 1", floors)
	}
	for i := range t {
		if cycle := t.findCycle(i, i, map[int]bool{}); cycle != nil {
			return invalid(ruleField(i)+".before", "is part of a cycle through the rules %s", strings.Join(cycle, ", "))
		}
	}
	return nil
}

// validate checks a single rule except its name.
func (r *Rule) validate(field string) error {
	if err := r.Selector.validate(field + ".work"); err != nil {
		return err
	}
	switch {
	case (r.Before == nil) == (r.Rank == ""):
		return invalid(field+".before", "exactly one of before and rank must be set")
	case r.Rank != "" && !slices.Contains(priorities, r.Rank):
		return invalid(field+".rank", "%q is not one of %s", r.Rank, strings.Join(priorities, ", "))
	case !slices.Contains([]Condition{"", Always, CapacityShort, ControllerDown, ZoneFailed}, r.Condition):
		return invalid(field+".when", "%q is not one of always, short, controller-out, zone-lost", r.Condition)
	case r.Floor != nil && (r.Before == nil || *r.Floor < 0 || *r.Floor > 1):
		return invalid(field+".floor", "must be between 0 and 1 and is allowed only together with before")
	}
	if r.Before == nil {
		return nil
	}
	if err := r.Before.validate(field + ".before"); err != nil {
		return err
	}
	if r.Selector.overlaps(r.Before) {
		return invalid(field+".before", "overlaps with work: some jobs would take precedence over themselves")
	}
	return nil
}

// duplicates reports whether another rule has the same selector and also sets a rank, or has the same
// Before.
func (r *Rule) duplicates(other *Rule) bool {
	if r.Selector != other.Selector {
		return false
	}
	return other.Rank != "" && r.Rank != "" || other.Before != nil && r.Before != nil && *other.Before == *r.Before
}

// findCycle finds a path of rules from one rule to another, in which the work selected by the Before of
// each rule overlaps with the selector of the next. It returns the names of the rules on the path, or
// nil if there is none.
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

// applies reports whether a rule's condition holds for a workload.
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
