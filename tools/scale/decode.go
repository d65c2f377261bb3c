package main

import (
	"fmt"

	"github.com/BurntSushi/toml"
)

// decodeTOML decodes a file and refuses fields that are not known.
func decodeTOML(path string, into any) error {
	meta, err := toml.DecodeFile(path, into)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return fmt.Errorf("%s: %w", path, &fieldError{unknown[0].String(), "no such field"})
	}
	return nil
}

// fieldError is returned for a field of a file that is not valid.
type fieldError struct {
	field   string
	problem string
}

// Error names the field and what is wrong with it.
func (e *fieldError) Error() string { return e.field + ": " + e.problem }

// newFieldError makes an error of a field; the problem is formatted.
func newFieldError(field, problem string, args ...any) *fieldError {
	return &fieldError{field, fmt.Sprintf(problem, args...)}
}
