// Package tenant owns what a hosted service knows of those it serves: their records and
// what may become of them, keys, networks, and whose submission is taken when not all
// can be. It is pure: time and random bytes are passed in, and it stores nothing.
package tenant

import (
	"crypto/sha256"
	"fmt"
	"math/big"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"basaltwall/api"
)

// Name names a tenant for ever: one that was removed is not used again.
type Name string

// State is what a tenant may do.
type State string

// A tenant's states. What waits of a suspended tenant is not started and what runs
// drains; a tenant that is being removed is suspended for good.
const (
	Active    State = "active"
	Suspended State = "suspended"
	Removing  State = "removing"
	Removed   State = "removed"
)

// Tenant is a tenant's record.
type Tenant struct {
	Name      Name       `json:"name"`
	Display   string     `json:"display,omitempty"`
	Teams     []api.Team `json:"teams,omitempty"`
	State     State      `json:"state"`
	Rate      float64    `json:"rate,omitempty"`      // submissions a second, of the whole service; 0: no bound
	Burst     float64    `json:"burst,omitempty"`     // submissions at once, of the whole service
	OpenJobs  int        `json:"open_jobs,omitempty"` // jobs that are not over, at most; 0: DefaultOpenJobs
	Networks  Networks   `json:"networks,omitzero"`   // from where it may come; none: from anywhere
	Retention float64    `json:"retention_s"`         // for how long its history is kept, in seconds

	SuspendReason string       `json:"why,omitempty"`          // it is suspended
	SuspendedAt   api.WallTime `json:"suspended_at,omitempty"` // in milliseconds since 1970
	Drain         float64      `json:"drain_s,omitempty"`      // its services go on for so many seconds then
	CancelJobs    bool         `json:"cancel_jobs,omitempty"`  // removal does not wait for its jobs

	Keys []Key `json:"keys,omitempty"`
}

// Bounds on what a record holds.
const (
	maxName      = 40
	maxText      = 200
	maxTeams     = 64
	maxKeys      = 16
	maxRate      = 1e4
	maxOpenJobs  = 100_000
	maxDrain     = 24 * time.Hour
	maxRetention = 10 * 365 * 24 * time.Hour
)

// Error is why an act is refused, with the HTTP status that says so.
type Error struct {
	Status int
	Field  string // at fault, if one is
	Reason string
}

func (e *Error) Error() string {
	if e.Field == "" {
		return e.Reason
	}
	return e.Field + ": " + e.Reason
}

func invalid(field, format string, args ...any) *Error {
	return &Error{Status: 400, Field: field, Reason: fmt.Sprintf(format, args...)}
}

func conflict(format string, args ...any) *Error {
	return &Error{Status: 409, Reason: fmt.Sprintf(format, args...)}
}

// CheckName accepts lower-case letters, digits and hyphens, beginning with a letter: what
// may be part of a key of the key-value store and of a command line.
func CheckName(field, s string) *Error {
	if s == "" || len(s) > maxName {
		return invalid(field, "must have 1 to %d characters", maxName)
	}
	for i, c := range s {
		letter := c >= 'a' && c <= 'z'
		if !letter && (i == 0 || c != '-' && (c < '0' || c > '9')) {
			return invalid(field, "may hold a to z, 0 to 9 and -, and begins with a letter")
		}
	}
	return nil
}

func checkText(field, s string) *Error {
	if len(s) > maxText || !utf8.ValidString(s) || strings.ContainsFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return invalid(field, "must be printable and at most %d bytes", maxText)
	}
	return nil
}

// inRange reports whether a number lies between two; not a number does not.
func inRange(v, low, high float64) bool { return v >= low && v <= high }

// Check says what is wrong with a record, naming the field.
func (t *Tenant) Check() error {
	if err := CheckName("name", string(t.Name)); err != nil {
		return err
	}
	for _, f := range []struct{ field, text string }{{"display", t.Display}, {"why", t.SuspendReason}} {
		if err := checkText(f.field, f.text); err != nil {
			return err
		}
	}
	if len(t.Teams) > maxTeams {
		return invalid("teams", "at most %d", maxTeams)
	}
	for i, team := range t.Teams {
		if team == "" || len(team) > maxText {
			return invalid("teams", "%q is no team's name", team)
		}
		if slices.Contains(t.Teams[:i], team) {
			return invalid("teams", "%q is named twice", team)
		}
	}
	if !slices.Contains([]State{Active, Suspended, Removing, Removed}, t.State) {
		return invalid("state", "%q is none", t.State)
	}
	switch {
	case !inRange(t.Rate, 0, maxRate):
		return invalid("rate", "must be between 0 and %v a second", maxRate)
	case !inRange(t.Burst, 0, maxRate) || t.Rate > 0 && t.Burst < 1:
		return invalid("burst", "must be between 1 and %v where there is a rate", maxRate)
	case t.OpenJobs < 0 || t.OpenJobs > maxOpenJobs:
		return invalid("open_jobs", "must be between 0 and %d", maxOpenJobs)
	case !inRange(t.Drain, 0, maxDrain.Seconds()):
		return invalid("drain_s", "must be between 0 and %v", maxDrain.Seconds())
	case !inRange(t.Retention, 0, maxRetention.Seconds()):
		return invalid("retention_s", "must be between 0 and %v", maxRetention.Seconds())
	case len(t.Keys) > maxKeys:
		return invalid("keys", "at most %d", maxKeys)
	}
	for i, k := range t.Keys {
		if err := k.check(); err != nil {
			return err
		}
		if slices.ContainsFunc(t.Keys[:i], func(o Key) bool { return o.ID == k.ID || o.Name == k.Name }) {
			return invalid("keys", "%q is there twice", k.Name)
		}
	}
	return nil
}

// DefaultOpenJobs bounds a tenant with which no other bound was agreed: what is open of one
// is read at every failover and looked at in every round.
const DefaultOpenJobs = 2000

// OpenJobLimit is how many of its jobs may be open.
func (t *Tenant) OpenJobLimit() int {
	if t.OpenJobs > 0 {
		return t.OpenJobs
	}
	return DefaultOpenJobs
}

// MayStartTasks reports whether tasks of the tenant that wait may be started.
func (t *Tenant) MayStartTasks() bool { return t.State == Active }

// Suspend has what waits wait, and what runs drain. A repetition changes nothing.
func (t Tenant) Suspend(reason string, drain float64, now api.WallTime) (Tenant, error) {
	switch t.State {
	case Suspended:
		return t, nil
	case Active:
	default:
		return t, conflict("%s is %s", t.Name, t.State)
	}
	t.State, t.SuspendReason, t.Drain, t.SuspendedAt = Suspended, reason, drain, now
	return t, t.Check()
}

// Resume lets a suspended tenant go on.
func (t Tenant) Resume() (Tenant, error) {
	switch t.State {
	case Active:
		return t, nil
	case Suspended:
	default:
		return t, conflict("%s is %s", t.Name, t.State)
	}
	t.State, t.SuspendReason, t.Drain, t.SuspendedAt = Active, "", 0, 0
	return t, nil
}

// Remove begins the end of a suspended tenant of which so many jobs are not over; with
// cancel they are cancelled, without there must be none.
func (t Tenant) Remove(open int, cancel bool) (Tenant, error) {
	switch {
	case t.State == Removing || t.State == Removed:
		return t, nil
	case t.State != Suspended:
		return t, conflict("%s is %s: suspend it first", t.Name, t.State)
	case open > 0 && !cancel:
		return t, conflict("%d jobs of %s are not over: wait, or cancel them", open, t.Name)
	}
	t.State, t.CancelJobs = Removing, cancel
	return t, nil
}

// FinishRemoval ends the removal once no job is left. The name stays taken, and the history as
// long as it was to be kept; keys open nothing any more.
func (t Tenant) FinishRemoval(open int) (Tenant, error) {
	switch {
	case t.State == Removed:
		return t, nil
	case t.State != Removing:
		return t, conflict("%s is %s", t.Name, t.State)
	case open > 0:
		return t, conflict("%d jobs of %s are not over", open, t.Name)
	}
	t.State, t.Keys, t.Teams = Removed, nil, nil
	return t, nil
}

// jobIDDigits is how long a job's id is that is made of its tenant's: some 119 bits.
const jobIDDigits = 36

// JobID is the id under which a tenant's job is kept and known to workers. It has the
// protocol's form; equal references of two tenants are different jobs, and neither tells
// of the other.
func JobID(name Name, tenantJobID api.JobID) api.JobID {
	sum := sha256.Sum256([]byte(string(name) + "\x00" + string(tenantJobID)))
	digits := new(big.Int).SetBytes(sum[:]).String()
	digits = strings.Repeat("0", max(0, jobIDDigits-len(digits))) + digits
	return api.JobID("run-" + digits[len(digits)-jobIDDigits:])
}
