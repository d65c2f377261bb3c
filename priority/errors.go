// Errors of tables of rules.

package priority

import "fmt"

// RuleError is why a table of rules is not valid.
type RuleError struct {
	Field  string // the field at fault, such as precedence[0].work
	Reason string
}

func (e *RuleError) Error() string { return e.Field + ": " + e.Reason }

// tableField is the name of the table among the settings.
const tableField = "precedence"

// ruleField names the rule with an index.
func ruleField(i int) string { return fmt.Sprintf("%s[%d]", tableField, i) }

// invalid is the error of a field that is not acceptable.
func invalid(field, format string, args ...any) error {
	return &RuleError{Field: field, Reason: fmt.Sprintf(format, args...)}
}
