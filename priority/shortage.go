package priority

import (
	"maps"
	"slices"
	"time"

	"basaltwall/api"
)

// Shortage is which machine types have no room, as all controllers have it: one record.
type Shortage struct {
	Types []api.MachineTypeName `json:"types"` // in order
	Since api.WallTime          `json:"since"` // of the last change
}

// Includes reports whether a type is short.
func (s Shortage) Includes(t api.MachineTypeName) bool { return slices.Contains(s.Types, t) }

// Equal reports whether two are the same but for their times.
func (s Shortage) Equal(o Shortage) bool { return slices.Equal(s.Types, o.Types) }

// Times of a shortage: it begins when some owner has lacked room for as long as it takes to find
// out that what is about to be placed is not, and ends when none has for a while, so that one
// that comes and goes is one.
const (
	ShortageOnset = time.Second
	ShortageHold  = 20 * time.Second
)

// ShortageTracker is what the one who writes the record has seen. The zero value has seen nothing.
type ShortageTracker struct {
	shortSince map[api.MachineTypeName]api.Time // it has been lacked
	lastShort  map[api.MachineTypeName]api.Time // it was last lacked
}

// Observe notes which types some owner lacks room on now.
func (w *ShortageTracker) Observe(unmet map[api.MachineTypeName]bool, now api.Time) {
	if w.shortSince == nil {
		w.shortSince, w.lastShort = map[api.MachineTypeName]api.Time{}, map[api.MachineTypeName]api.Time{}
	}
	for t := range w.shortSince {
		if !unmet[t] {
			delete(w.shortSince, t)
		}
	}
	for t := range unmet {
		if _, known := w.shortSince[t]; !known {
			w.shortSince[t] = now
		}
		w.lastShort[t] = now
	}
}

// Next is the record as it should be: begun is when this one began to watch, who can't know what
// was lacked before.
func (w *ShortageTracker) Next(previous Shortage, now, startedAt api.Time, wallTime api.WallTime) Shortage {
	next := Shortage{Since: wallTime}
	short := map[api.MachineTypeName]bool{}
	for t, at := range w.shortSince {
		if now.Sub(at) >= ShortageOnset {
			short[t] = true
		}
	}
	for _, t := range previous.Types {
		if now.Sub(max(w.lastShort[t], startedAt)) < ShortageHold {
			short[t] = true
		}
	}
	next.Types = slices.Sorted(maps.Keys(short))
	if next.Equal(previous) {
		return previous
	}
	return next
}
