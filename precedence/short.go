package precedence

import (
	"maps"
	"slices"
	"time"

	"basaltwall/api"
)

// Shortage is which machine types have no room, as all controllers have it: one record.
type Shortage struct {
	Types []api.TypeName `json:"types"` // in order
	Since api.Wall       `json:"since"` // of the last change
}

// Of reports whether a type is short.
func (s Shortage) Of(t api.TypeName) bool { return slices.Contains(s.Types, t) }

// Same reports whether two are the same but for their times.
func (s Shortage) Same(o Shortage) bool { return slices.Equal(s.Types, o.Types) }

// Times of a shortage: it begins when some owner has lacked room for as long as it takes to find
// out that what is about to be placed is not, and ends when none has for a while, so that one
// that comes and goes is one.
const (
	ShortAfter = time.Second
	ShortKept  = 20 * time.Second
)

// Watch is what the one who writes the record has seen. The zero value has seen nothing.
type Watch struct {
	since map[api.TypeName]api.Time // it has been lacked
	last  map[api.TypeName]api.Time // it was last lacked
}

// See notes which types some owner lacks room on now.
func (w *Watch) See(lacked map[api.TypeName]bool, now api.Time) {
	if w.since == nil {
		w.since, w.last = map[api.TypeName]api.Time{}, map[api.TypeName]api.Time{}
	}
	for t := range w.since {
		if !lacked[t] {
			delete(w.since, t)
		}
	}
	for t := range lacked {
		if _, known := w.since[t]; !known {
			w.since[t] = now
		}
		w.last[t] = now
	}
}

// Next is the record as it should be: begun is when this one began to watch, who can't know what
// was lacked before.
func (w *Watch) Next(old Shortage, now, begun api.Time, wall api.Wall) Shortage {
	next := Shortage{Since: wall}
	short := map[api.TypeName]bool{}
	for t, at := range w.since {
		if now.Sub(at) >= ShortAfter {
			short[t] = true
		}
	}
	for _, t := range old.Types {
		if now.Sub(max(w.last[t], begun)) < ShortKept {
			short[t] = true
		}
	}
	next.Types = slices.Sorted(maps.Keys(short))
	if next.Same(old) {
		return old
	}
	return next
}
