// Log of recent changes that a relay retains for its clients.

package relay

import (
	"errors"
	"slices"

	"basaltwall/api"
)

// Limits on the changes retained by a relay.
const (
	maxChanges = 4096
	maxBytes   = 8 << 20
)

// ChangeLog is the end of the key-value store's log, without gaps: all changes after startRevision up to
// endRevision. It is not safe for concurrent use.
type ChangeLog struct {
	startRevision, endRevision api.Revision
	changes                    []api.Change
	bytes                      int // total size of keys and values
}

// Reset removes all changes, so that the log starts after the given revision.
func (l *ChangeLog) Reset(startRevision api.Revision) {
	*l = ChangeLog{startRevision: startRevision, endRevision: startRevision}
}

// Append appends the changes up to endRevision, in order, and skips those already in the log. The
// caller must pass all changes after the end of the log.
func (l *ChangeLog) Append(changes []api.Change, endRevision api.Revision) {
	for _, c := range changes {
		if c.Version <= l.endRevision {
			continue
		}
		l.changes = append(l.changes, c)
		l.bytes += changeSize(c)
	}
	l.endRevision = max(l.endRevision, endRevision)
	l.trim()
}

// trim removes the oldest changes beyond the limits. Changes of one revision are removed together.
func (l *ChangeLog) trim() {
	cut := 0
	for cut < len(l.changes) && (len(l.changes)-cut > maxChanges || l.bytes > maxBytes) {
		rev := l.changes[cut].Version
		for cut < len(l.changes) && l.changes[cut].Version == rev {
			l.bytes -= changeSize(l.changes[cut])
			cut++
		}
		l.startRevision = rev
	}
	if cut > 0 {
		l.changes = slices.Clone(l.changes[cut:])
	}
}

// changeSize returns the size of a change in bytes.
func changeSize(c api.Change) int { return len(c.Put) + len(c.Drop) + len(c.Value) }

// Since returns all changes after a revision, with the revision up to which they are complete. ok is
// false if the log starts after the requested revision or ends before it.
func (l *ChangeLog) Since(rev api.Revision) (changes api.Changes, ok bool) {
	if rev < l.startRevision || rev > l.endRevision {
		return api.Changes{}, false
	}
	from, _ := slices.BinarySearchFunc(l.changes, rev+1, func(c api.Change, rev api.Revision) int {
		switch {
		case c.Version < rev:
			return -1
		case c.Version > rev:
			return 1
		}
		return 0
	})
	return api.Changes{Revision: l.endRevision, Log: l.changes[from:len(l.changes):len(l.changes)]}, true
}

// errInvalidResponse is returned for a response that no correct relay sends.
var errInvalidResponse = errors.New("relay response is not a valid range of the log after the requested revision")

// Validate checks a relay's response to a request for the changes after a revision.
func Validate(since api.Revision, response *api.Changes) error {
	if response == nil || response.Revision < since {
		return errInvalidResponse
	}
	last := since + 1
	for _, c := range response.Log {
		if c.Version < last || c.Version > response.Revision || (c.Put == "") == (c.Drop == "") {
			return errInvalidResponse
		}
		last = c.Version
	}
	return nil
}
