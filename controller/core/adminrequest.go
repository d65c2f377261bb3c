package core

// This file contains helpers for handlers of operators' requests: decoding bodies, checking
// revisions, and replying with typed errors.

import (
	"bytes"
	"encoding/json"
	"errors"

	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/internal/exactjson"
	"basaltwall/tenant"
)

// DecodeRequest decodes the JSON body of an operator's request into target; an empty body leaves
// target unchanged. Unknown fields are errors. Errors have type *tenant.Error and name the field.
func DecodeRequest(body []byte, target any) error {
	if len(body) == 0 {
		return nil
	}
	err := exactjson.DecodeStrict(body, target)
	if err == nil {
		return nil
	}
	// Only errors of this decoder have a usable field. An error wrapped by a type's own UnmarshalJSON
	// is reported by its text, which is more specific.
	if typeError, ok := err.(*json.UnmarshalTypeError); ok { //nolint:errorlint // must not match wrapped errors
		return &tenant.Error{Status: api.StatusBadRequest, Field: typeError.Field, Reason: "wrong type"}
	}
	return &tenant.Error{Status: api.StatusBadRequest, Reason: err.Error()}
}

// CheckRevision returns a conflict error unless expected is the current revision of the record to
// be replaced. The error has type *tenant.Error; what names the record.
func CheckRevision(expected *api.Revision, current api.Revision, what string) error {
	if expected == nil || *expected != current {
		return &tenant.Error{Status: api.StatusConflict, Field: "revision", Reason: what + " changed since, or no revision is named"}
	}
	return nil
}

// EqualJSON reports whether two values have the same JSON encoding.
func EqualJSON(a, b any) bool {
	encodedA, errA := json.Marshal(a)
	encodedB, errB := json.Marshal(b)
	return errA == nil && errB == nil && bytes.Equal(encodedA, encodedB)
}

// RefuseError answers a request with the text of an error. The status is that of a *tenant.Error,
// or api.StatusBadRequest for any other error.
func (o *Outbox) RefuseError(req message.ReqID, err error) {
	status := api.StatusBadRequest
	var refusal *tenant.Error
	if errors.As(err, &refusal) {
		status = refusal.Status
	}
	o.ReplyError(req, status, err.Error())
}
