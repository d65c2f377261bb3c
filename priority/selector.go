// Selectors: which work a rule is about.

package priority

import (
	"slices"
	"strings"

	"basaltwall/api"
)

// Selector selects work by attributes of its jobs. An empty field matches any value; one that ends
// with an asterisk matches all values with that prefix.
type Selector struct {
	Class    string `json:"class,omitempty"`
	Team     string `json:"team,omitempty"`
	Form     string `json:"form,omitempty"`
	Priority string `json:"priority,omitempty"`
}

// maxPatternLength bounds the names of rules and the fields of selectors, in bytes.
const maxPatternLength = 60

// selectorField is a field of a selector with its name in the record.
type selectorField struct{ name, pattern string }

// fields are the fields of a selector, in order.
func (w *Selector) fields() [4]selectorField {
	return [4]selectorField{{"class", w.Class}, {"team", w.Team}, {"form", w.Form}, {"priority", w.Priority}}
}

var (
	forms      = []string{string(api.Array), string(api.Gang), string(api.Service)}
	priorities = []string{string(api.Low), string(api.Normal), string(api.High), string(api.Production)}
)

// validate checks a selector; field is its name in the record.
func (w *Selector) validate(field string) error {
	if *w == (Selector{}) {
		return invalid(field, "names no work")
	}
	for _, f := range w.fields() {
		if i := strings.IndexByte(f.pattern, wildcard[0]); i >= 0 && i != len(f.pattern)-1 {
			return invalid(field+"."+f.name, "an asterisk may stand at the end alone")
		}
		if len(f.pattern) > maxPatternLength {
			return invalid(field+"."+f.name, "more than %d bytes", maxPatternLength)
		}
	}
	for pattern, known := range map[string][]string{w.Form: forms, w.Priority: priorities} {
		if pattern != "" && !slices.ContainsFunc(known, func(k string) bool { return matches(pattern, k) }) {
			return invalid(field, "%q is neither a form (%s) nor a priority (%s)", pattern, strings.Join(forms, ", "), strings.Join(priorities, ", "))
		}
	}
	return nil
}

// wildcard ends a pattern that matches all values with the prefix before it.
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

// overlaps reports whether some work may be selected by both selectors.
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
