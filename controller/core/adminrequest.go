package core

// This file has what every component needs that answers an operator's request: reading its
// body, comparing revisions and records, and refusing with a typed error.

import (
	"encoding/json"
	"errors"
	"strings"

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
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		if typeErr, ok := err.(*json.UnmarshalTypeError); ok {
			return &tenant.Error{Status: 400, Field: typeErr.Field, Reason: "wrong type"}
		}
		return &tenant.Error{Status: 400, Reason: err.Error()}
	}
	return nil
}

// CheckRevision refuses a change that names another revision than the current one of the record
// that it would replace, or none.
func CheckRevision(expected *api.Revision, current api.Revision, what string) error {
	if expected == nil || *expected != current {
		return &tenant.Error{Status: 409, Field: "revision", Reason: what + " changed since, or no revision is named"}
	}
	return nil
}

// EqualJSON reports whether two values have the same encoding as JSON.
func EqualJSON(a, b any) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}

// RefuseError answers a request with an error's text, under the status of a *tenant.Error, or
// 400 for any other error.
func (k *Core) RefuseError(req message.ReqID, err error) {
	status := 400
	var refusal *tenant.Error
	if errors.As(err, &refusal) {
		status = refusal.Status
	}
	k.ReplyError(req, status, err.Error())
}
