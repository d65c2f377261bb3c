// This file tracks the machine types without free capacity, for rules that depend on a shortage.

package priority

import (
	"maps"
	"slices"
	"time"

	"basaltwall/api"
)

// Shortage is the record of machine types without free capacity, shared by all controllers.
type Shortage struct {
	Types []api.MachineTypeName `json:"types"` // sorted
	Since api.WallTime          `json:"since"` // time of the latest change of Types
}

// Includes reports whether a type is short of capacity.
func (s Shortage) Includes(t api.MachineTypeName) bool { return slices.Contains(s.Types, t) }

// Equal reports whether two shortages have the same types, regardless of Since.
func (s Shortage) Equal(o Shortage) bool { return slices.Equal(s.Types, o.Types) }

// Hysteresis of a shortage. It begins when some partition has had unmet demand for ShortageOnset,
// longer than tasks wait for the next round, and ends when no partition has had unmet demand for
// ShortageHold.
const (
	ShortageOnset = time.Second
	ShortageHold  = 20 * time.Second
)

// ShortageTracker holds the observations of the writer of the shortage record. The zero value is ready
// to use.
type ShortageTracker struct {
	shortSince map[api.MachineTypeName]api.Time // start of the present unmet demand
	lastShort  map[api.MachineTypeName]api.Time // time of the latest unmet demand
}

// Observe records the machine types for which some partition has unmet demand now.
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

// Next returns the record that replaces the previous one, or the previous one if nothing changes.
// startedAt is the time of the tracker's first observation: earlier unmet demand is unknown to it.
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
