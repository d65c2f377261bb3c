package main

import (
	"fmt"

	"github.com/BurntSushi/toml"
)

// decodeTOML decodes a file and rejects unknown fields.
func decodeTOML(path string, into any) error {
	meta, err := toml.DecodeFile(path, into)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return fmt.Errorf("%s: %w", path, &fieldError{unknown[0].String(), "unknown field"})
	}
	return nil
}

// fieldError is returned for an invalid field of a file.
type fieldError struct {
	field   string
	problem string
}

// Error returns the field and its problem.
func (e *fieldError) Error() string { return e.field + ": " + e.problem }

// newFieldError returns an error for a field, with a formatted problem.
func newFieldError(field, problem string, args ...any) *fieldError {
	return &fieldError{field, fmt.Sprintf(problem, args...)}
}
