// This file defines the errors of tenant operations and their HTTP statuses.

package tenant

import "fmt"

// HTTP statuses of an Error.
const (
	StatusInvalid       = 400 // the request or a record is invalid
	StatusUnauthorized  = 401 // the API key is invalid
	StatusConflict      = 409 // the current state does not allow the operation
	StatusUnprocessable = 422 // the value is inconsistent with other data
)

// Error describes why an operation is refused.
type Error struct {
	Status int    // HTTP status
	Field  string // name of the invalid field; empty if the error concerns no field
	Reason string
}

func (e *Error) Error() string {
	if e.Field == "" {
		return e.Reason
	}
	return e.Field + ": " + e.Reason
}

// invalid returns the error for an invalid field.
func invalid(field, format string, args ...any) *Error {
	return &Error{Status: StatusInvalid, Field: field, Reason: fmt.Sprintf(format, args...)}
}

// conflict returns the error for an operation that the current state does not allow.
func conflict(format string, args ...any) *Error {
	return &Error{Status: StatusConflict, Reason: fmt.Sprintf(format, args...)}
}
