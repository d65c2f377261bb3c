package zonehealth

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Usage is what the work of a class or team holds on machines that can be used, and what it
// holds and wants together, in CPUs. Patient is one that its floor is not kept for.
type Usage struct {
	Allocated, Demand float64
	NoFloor           bool
	FloorShare        float64 // of its fair part that is its floor; 0: as usual
}

// DefaultFloorShare is the share of its fair part of the room that is left for a class or team while a
// zone is lost, or once it has lacked that for long, whatever more urgent work there is.
const DefaultFloorShare = 0.5

// Allowance is what a class or team may give way by, and what it may still take (infinite: all it
// finds), in CPUs.
// Lacks is what it has less than its floor.
type Allowance struct{ Preemptible, Headroom, Shortfall float64 }

// Allowances reckons for each class or team what it may give way by while a zone is lost, and
// what it may take of the room that is left. Its fair share of that is as large as its share
// of all that is wanted; half of it is its floor. While some lack to their floors, none of
// the others takes what comes free and they lack: work that never ends would else take all
// of it, and can't be made to give it back to less urgent work. That is what the floors cost.
// What may be given way by is a share of it: the rest is other owners'.
func Allowances[K cmp.Ordered](usage map[K]Usage, capacity, share float64) map[K]Allowance {
	totalDemand, totalAllocated, totalShortfall := 0.0, 0.0, 0.0
	keys := slices.Sorted(maps.Keys(usage)) // sums depend on the order
	for _, k := range keys {
		totalDemand += max(usage[k].Allocated, usage[k].Demand)
		totalAllocated += usage[k].Allocated
	}
	floor := func(h Usage) float64 {
		if totalDemand <= 0 {
			return 0
		}
		share := DefaultFloorShare
		if h.FloorShare > 0 {
			share = h.FloorShare
		}
		return share * min(capacity, totalDemand) * max(h.Allocated, h.Demand) / totalDemand
	}
	shortfall := func(h Usage) float64 {
		if h.NoFloor {
			return 0
		}
		return max(0, floor(h)-h.Allocated)
	}
	for _, k := range keys {
		totalShortfall += shortfall(usage[k])
	}
	out := make(map[K]Allowance, len(usage))
	for k, h := range usage {
		d := Allowance{Preemptible: share * max(0, h.Allocated-floor(h)), Headroom: math.Inf(1), Shortfall: max(0, floor(h)-h.Allocated)}
		if h.NoFloor {
			d.Preemptible = math.Inf(1)
		}
		if others := totalShortfall - shortfall(h); others > 1e-9 {
			d.Headroom = max(0, capacity-totalAllocated-others)
		}
		out[k] = d
	}
	return out
}

// StarvationThreshold is how long work may wait before a floor is kept for its class and team while no
// zone is out.
const StarvationThreshold = 2 * time.Minute

// Starving reports whether a floor is kept for work of which some has waited so long: after some
// patience three quarters of the time, as what is kept from others may be of no use to it for a
// reason that nobody counts. It follows from ages, so all controllers agree, and whoever begins
// anew does too.
func Starving(waited time.Duration) bool {
	kept := waited - StarvationThreshold
	return kept >= 0 && kept%StarvationThreshold < StarvationThreshold*3/4
}
