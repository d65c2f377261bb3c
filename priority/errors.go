// This file holds the validation errors of rules.

package priority

import "fmt"

// RuleError is the validation error of a table of rules.
type RuleError struct {
	Field  string // the invalid field, such as precedence[0].work
	Reason string
}

func (e *RuleError) Error() string { return e.Field + ": " + e.Reason }

// tableField is the name of the table in the settings.
const tableField = "precedence"

// ruleField returns the field name of a rule.
func ruleField(i int) string { return fmt.Sprintf("%s[%d]", tableField, i) }

// invalid returns the error for an invalid field.
func invalid(field, format string, args ...any) error {
	return &RuleError{Field: field, Reason: fmt.Sprintf(format, args...)}
}
