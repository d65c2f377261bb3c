// Shortages: which machine types have no free capacity, for rules that apply only then.

package priority

import (
	"maps"
	"slices"
	"time"

	"basaltwall/api"
)

// Shortage is the machine types without free capacity, in one record that all controllers follow.
type Shortage struct {
	Types []api.MachineTypeName `json:"types"` // sorted
	Since api.WallTime          `json:"since"` // of the latest change of Types
}

// Includes reports whether a type is short of capacity.
func (s Shortage) Includes(t api.MachineTypeName) bool { return slices.Contains(s.Types, t) }

// Equal reports whether two name the same types, whatever their times.
func (s Shortage) Equal(o Shortage) bool { return slices.Equal(s.Types, o.Types) }

// Times of a shortage. It begins once the owner of a partition has had unmet demand for
// ShortageOnset, long enough to tell it from tasks that are about to be placed, and ends once none
// has had any for ShortageHold, so that an intermittent shortage counts as one.
const (
	ShortageOnset = time.Second
	ShortageHold  = 20 * time.Second
)

// ShortageTracker is what the writer of the record has observed. The zero value is ready to use.
type ShortageTracker struct {
	shortSince map[api.MachineTypeName]api.Time // when the current unmet demand began
	lastShort  map[api.MachineTypeName]api.Time // when demand was last unmet
}

// Observe notes the machine types for which some partition has unmet demand now.
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

// Next is the record that should replace the previous one, or the previous one if nothing changes.
// startedAt is when this tracker began to observe: it can't know of earlier unmet demand.
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
