// Package exactjson decodes JSON with exact field names. encoding/json also takes another spelling of a
// field's name, such as REF for ref, although it is the name of an unknown field.
//
// An unknown field is ignored whatever its value. If a name occurs several times in an object, the last
// occurrence counts, so that every version decodes a repeated request alike.
package exactjson

import (
	"bytes"
	"encoding/json"
	"fmt"

	exact "sigs.k8s.io/json"
)

// Decode decodes a JSON value into target. Errors other than syntax errors have the types of encoding/json.
func Decode(data []byte, target any) error {
	err := exact.UnmarshalCaseSensitivePreserveInts(data, target)
	if isSyntaxError, _ := exact.SyntaxErrorOffset(err); !isSyntaxError {
		return err
	}
	// The library refuses deep nesting, which an unknown field may have.
	if shallow, ok := limitDepth(data); ok {
		return exact.UnmarshalCaseSensitivePreserveInts(shallow, target)
	}
	return err
}

// DecodeStrict decodes the first JSON value in data into target. An unknown field is an error that names
// the field.
func DecodeStrict(data []byte, target any) error {
	var value json.RawMessage
	if err := exact.NewDecoderCaseSensitivePreserveInts(bytes.NewReader(data)).Decode(&value); err != nil {
		return err
	}
	unknownFields, err := exact.UnmarshalStrict(value, target, exact.DisallowUnknownFields)
	if err != nil {
		return err
	}
	if len(unknownFields) > 0 {
		return fmt.Errorf("json: %w", unknownFields[0])
	}
	return nil
}
