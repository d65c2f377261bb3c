// Errors of operations, with the HTTP status of their answer.

package tenant

import "fmt"

// HTTP statuses of an Error.
const (
	StatusInvalid       = 400 // the request or a record is not valid
	StatusUnauthorized  = 401 // the key opens nothing
	StatusConflict      = 409 // the state of the tenant, team or key does not allow it
	StatusUnprocessable = 422 // valid by itself, but not with the rest of the record
)

// Error is why an operation is refused.
type Error struct {
	Status int    // HTTP status
	Field  string // the field at fault; empty: none is
	Reason string
}

func (e *Error) Error() string {
	if e.Field == "" {
		return e.Reason
	}
	return e.Field + ": " + e.Reason
}

// invalid is the error of a field that is not acceptable.
func invalid(field, format string, args ...any) *Error {
	return &Error{Status: StatusInvalid, Field: field, Reason: fmt.Sprintf(format, args...)}
}

// conflict is the error of an operation that the state does not allow.
func conflict(format string, args ...any) *Error {
	return &Error{Status: StatusConflict, Reason: fmt.Sprintf(format, args...)}
}
