package core

// This file holds what every component needs that answers an operator's request: reading its body,
// comparing revisions and records, and refusing with a typed error.

import (
	"bytes"
	"encoding/json"
	"errors"

	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/tenant"
)

// DecodeRequest reads the body of an operator's request into target; an empty body leaves it as
// it is. Unknown fields are refused. Errors are of type *tenant.Error and name the field.
func DecodeRequest(body []byte, target any) error {
	if len(body) == 0 {
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		return nil
	}
	// Only an error of the decoder itself names the field. One that a type wraps when it decodes
	// itself is shown by its text, which says more.
	if typeError, ok := err.(*json.UnmarshalTypeError); ok { //nolint:errorlint // must not look into wrapped errors
		return &tenant.Error{Status: api.StatusBadRequest, Field: typeError.Field, Reason: "wrong type"}
	}
	return &tenant.Error{Status: api.StatusBadRequest, Reason: err.Error()}
}

// CheckRevision refuses a change that names another revision than the current one of the record
// that it would replace, or none. The error is of type *tenant.Error; what names the record.
func CheckRevision(expected *api.Revision, current api.Revision, what string) error {
	if expected == nil || *expected != current {
		return &tenant.Error{Status: api.StatusConflict, Field: "revision", Reason: what + " changed since, or no revision is named"}
	}
	return nil
}

// EqualJSON reports whether two values have the same encoding as JSON.
func EqualJSON(a, b any) bool {
	encodedA, errA := json.Marshal(a)
	encodedB, errB := json.Marshal(b)
	return errA == nil && errB == nil && bytes.Equal(encodedA, encodedB)
}

// RefuseError answers a request with an error's text, under the status of a *tenant.Error, or
// api.StatusBadRequest for any other error.
func (o *Outbox) RefuseError(req message.ReqID, err error) {
	status := api.StatusBadRequest
	var refusal *tenant.Error
	if errors.As(err, &refusal) {
		status = refusal.Status
	}
	o.ReplyError(req, status, err.Error())
}
