// The log that a relay retains for the controllers that read through it.

package relay

import (
	"errors"
	"slices"

	"basaltwall/api"
)

// Bounds on the changes that a relay retains.
const (
	maxChanges = 4096
	maxBytes   = 8 << 20
)

// ChangeLog is the latest part of the log of the key-value store, without gaps: all changes after
// startRevision up to endRevision. Not safe for concurrent use.
type ChangeLog struct {
	startRevision, endRevision api.Revision
	changes                    []api.Change
	bytes                      int // of keys and values
}

// Reset drops all changes; the log then starts after a revision.
func (l *ChangeLog) Reset(startRevision api.Revision) {
	*l = ChangeLog{startRevision: startRevision, endRevision: startRevision}
}

// Append adds all changes after the end of the log up to endRevision, in order. Changes that are in the
// log already are skipped.
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

// trim drops the oldest changes beyond the bounds, those of one revision together.
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

// changeSize is the size of a change in bytes.
func changeSize(c api.Change) int { return len(c.Put) + len(c.Drop) + len(c.Value) }

// Since returns all changes after a revision, and the revision up to which they reach; ok is false if
// the log does not reach back that far, or not up to there.
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

// errInvalidResponse is the error of a response that no correct relay gives.
var errInvalidResponse = errors.New("the relay's answer is not a part of the log after what was asked")

// Validate checks the response of a relay to a request for the changes after a revision.
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
