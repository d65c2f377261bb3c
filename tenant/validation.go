// This file validates names, texts and the records of tenants.

package tenant

import (
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Limits on the contents of a record; lengths are in bytes.
const (
	maxName      = 40
	maxText      = 200
	maxTeams     = 64
	maxKeys      = 16
	maxRate      = 1e4 // submissions per second, or in a burst
	maxOpenJobs  = 100_000
	maxDrain     = 24 * time.Hour
	maxRetention = 10 * 365 * 24 * time.Hour
)

// CheckName accepts names of lower-case letters, digits and hyphens that begin with a letter, so that a
// name can be part of a key of the key-value store and of a command line. field is the field that the
// error names.
func CheckName(field, s string) *Error {
	if s == "" || len(s) > maxName {
		return invalid(field, "must have 1 to %d characters", maxName)
	}
	for i, c := range s {
		letter := c >= 'a' && c <= 'z'
		if !letter && (i == 0 || c != '-' && (c < '0' || c > '9')) {
			return invalid(field, "must consist of a to z, 0 to 9 and -, and begin with a letter")
		}
	}
	return nil
}

// checkText accepts printable text of at most maxText bytes.
func checkText(field, s string) *Error {
	if len(s) > maxText || !utf8.ValidString(s) || strings.ContainsFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return invalid(field, "must be printable and at most %d bytes", maxText)
	}
	return nil
}

// inRange reports whether v lies between two bounds; NaN does not.
func inRange(v, low, high float64) bool { return v >= low && v <= high }

// Check validates the record. The error is an *Error that names the invalid field.
func (t *Tenant) Check() error {
	if err := CheckName("name", string(t.Name)); err != nil {
		return err
	}
	for _, f := range []struct{ field, text string }{{"display", t.DisplayName}, {"why", t.SuspendReason}} {
		if err := checkText(f.field, f.text); err != nil {
			return err
		}
	}
	if len(t.Teams) > maxTeams {
		return invalid("teams", "at most %d", maxTeams)
	}
	for i, team := range t.Teams {
		if team == "" || len(team) > maxText {
			return invalid("teams", "%q is not a valid team name", team)
		}
		if slices.Contains(t.Teams[:i], team) {
			return invalid("teams", "%q is listed twice", team)
		}
	}
	if !slices.Contains([]State{Active, Suspended, Removing, Removed}, t.State) {
		return invalid("state", "%q is not a valid state", t.State)
	}
	switch {
	case !inRange(t.Rate, 0, maxRate):
		return invalid("rate", "must be between 0 and %v a second", maxRate)
	case !inRange(t.Burst, 0, maxRate) || t.Rate > 0 && t.Burst < 1:
		return invalid("burst", "must be between 1 and %v if there is a rate", maxRate)
	case t.OpenJobs < 0 || t.OpenJobs > maxOpenJobs:
		return invalid("open_jobs", "must be between 0 and %d", maxOpenJobs)
	case !inRange(t.DrainSeconds, 0, maxDrain.Seconds()):
		return invalid("drain_s", "must be between 0 and %v", maxDrain.Seconds())
	case !inRange(t.RetentionSeconds, 0, maxRetention.Seconds()):
		return invalid("retention_s", "must be between 0 and %v", maxRetention.Seconds())
	case len(t.Keys) > maxKeys:
		return invalid("keys", "at most %d", maxKeys)
	}
	for i, k := range t.Keys {
		if err := k.check(); err != nil {
			return err
		}
		if slices.ContainsFunc(t.Keys[:i], func(o Key) bool { return o.ID == k.ID || o.Name == k.Name }) {
			return invalid("keys", "%q has the same id or name as another key", k.Name)
		}
	}
	return nil
}
