// This file holds the selectors of workloads in rules.

package priority

import (
	"slices"
	"strings"

	"basaltwall/api"
)

// Selector selects workloads by their attributes. An empty field matches any value; a field that ends
// with an asterisk matches all values with that prefix.
type Selector struct {
	Class    string `json:"class,omitempty"`
	Team     string `json:"team,omitempty"`
	Form     string `json:"form,omitempty"`
	Priority string `json:"priority,omitempty"`
}

// maxPatternLength is the maximum length of rule names and of selector fields, in bytes.
const maxPatternLength = 60

// selectorField is a field of a selector with its JSON name.
type selectorField struct{ name, pattern string }

// fields returns the fields of a selector in order.
func (w *Selector) fields() [4]selectorField {
	return [4]selectorField{{"class", w.Class}, {"team", w.Team}, {"form", w.Form}, {"priority", w.Priority}}
}

var (
	forms      = []string{string(api.Array), string(api.Gang), string(api.Service)}
	priorities = []string{string(api.Low), string(api.Normal), string(api.High), string(api.Production)}
)

// validate checks a selector; field is its name in errors.
func (w *Selector) validate(field string) error {
	if *w == (Selector{}) {
		return invalid(field, "at least one of class, team, form and priority must be set")
	}
	for _, f := range w.fields() {
		if i := strings.IndexByte(f.pattern, wildcard[0]); i >= 0 && i != len(f.pattern)-1 {
			return invalid(field+"."+f.name, "an asterisk is allowed only at the end")
		}
		if len(f.pattern) > maxPatternLength {
			return invalid(field+"."+f.name, "has more than %d bytes", maxPatternLength)
		}
	}
	for pattern, known := range map[string][]string{w.Form: forms, w.Priority: priorities} {
		if pattern != "" && !slices.ContainsFunc(known, func(k string) bool { return matches(pattern, k) }) {
			return invalid(field, "%q is neither a form (%s) nor a priority (%s)", pattern, strings.Join(forms, ", "), strings.Join(priorities, ", "))
		}
	}
	return nil
}

// wildcard at the end of a pattern matches any suffix.
const wildcard = "*"

// matches reports whether a pattern matches a value.
func matches(pattern, value string) bool {
	if prefix, isPrefix := strings.CutSuffix(pattern, wildcard); isPrefix {
		return strings.HasPrefix(value, prefix)
	}
	return pattern == "" || pattern == value
}

// patternsOverlap reports whether some value may match both patterns.
func patternsOverlap(a, b string) bool {
	prefixA, wildcardA := strings.CutSuffix(a, wildcard)
	prefixB, wildcardB := strings.CutSuffix(b, wildcard)
	switch {
	case a == "" || b == "":
		return true
	case wildcardA && wildcardB:
		return strings.HasPrefix(prefixA, prefixB) || strings.HasPrefix(prefixB, prefixA)
	case wildcardA:
		return strings.HasPrefix(b, prefixA)
	case wildcardB:
		return strings.HasPrefix(a, prefixB)
	}
	return a == b
}

// overlaps reports whether both selectors may select the same workload.
func (w *Selector) overlaps(o *Selector) bool {
	a, b := w.fields(), o.fields()
	for i := range a {
		if !patternsOverlap(a[i].pattern, b[i].pattern) {
			return false
		}
	}
	return true
}

// selects reports whether a selector matches a workload.
func (w *Selector) selects(k *Workload) bool {
	return matches(w.Class, string(k.Class)) && matches(w.Team, string(k.Team)) && matches(w.Form, string(k.Form)) && matches(w.Priority, string(k.Priority))
}
