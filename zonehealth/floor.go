// Floors: the capacity that is kept for each class and team while more urgent work is short of it.

package zonehealth

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Usage is what the work of a class or team uses and requests, in CPUs.
type Usage struct {
	Allocated  float64 // on machines that can be used
	Demand     float64 // allocated and pending together
	NoFloor    bool    // no floor is kept for it
	FloorShare float64 // its floor, as a share of its fair share; 0: DefaultFloorShare
}

// DefaultFloorShare is the floor of a class or team as a share of its fair share of the capacity: it
// is kept, whatever more urgent work there is, while a zone has failed or once work has starved.
const DefaultFloorShare = 0.5

// Allowance is what a class or team may lose and take, in CPUs.
type Allowance struct {
	Preemptible float64 // may be preempted of it; infinite: all
	Headroom    float64 // it may still take; infinite: all it finds
	Shortfall   float64 // missing to its floor
}

// Allowances computes for each class or team how much of it may be preempted while a zone has
// failed, and how much of the remaining capacity it may take. Its fair share of the capacity is
// proportional to its share of the total demand; a part of that is its floor. While some are below
// their floors, none of the others takes the capacity that becomes free and is missing there: work
// that never ends would otherwise take all of it for good, as less urgent work can't preempt it.
// This is what the floors cost. share is the part of the preemptible amounts that the caller may
// use; the rest is for the owners of other partitions.
func Allowances[K cmp.Ordered](usage map[K]Usage, capacity, share float64) map[K]Allowance {
	totalDemand, totalAllocated, totalShortfall := 0.0, 0.0, 0.0
	keys := slices.Sorted(maps.Keys(usage)) // the sums depend on the order
	for _, k := range keys {
		totalDemand += max(usage[k].Allocated, usage[k].Demand)
		totalAllocated += usage[k].Allocated
	}
	for _, k := range keys {
		if !usage[k].NoFloor {
			totalShortfall += usage[k].shortfall(capacity, totalDemand)
		}
	}
	out := make(map[K]Allowance, len(usage))
	for k, u := range usage {
		own := u.shortfall(capacity, totalDemand)
		allowance := Allowance{Preemptible: share * max(0, u.Allocated-u.floor(capacity, totalDemand)), Headroom: math.Inf(1), Shortfall: own}
		if u.NoFloor {
			allowance.Preemptible = math.Inf(1)
			own = 0
		}
		if others := totalShortfall - own; others > minShortfall {
			allowance.Headroom = max(0, capacity-totalAllocated-others)
		}
		out[k] = allowance
	}
	return out
}

// minShortfall is the least sum of shortfalls, in CPUs, that is not a rounding error.
const minShortfall = 1e-9

// floor is the capacity that is kept for the work, of a total capacity and demand.
func (u Usage) floor(capacity, totalDemand float64) float64 {
	if totalDemand <= 0 {
		return 0
	}
	share := DefaultFloorShare
	if u.FloorShare > 0 {
		share = u.FloorShare
	}
	return share * min(capacity, totalDemand) * max(u.Allocated, u.Demand) / totalDemand
}

// shortfall is what the work is missing to its floor.
func (u Usage) shortfall(capacity, totalDemand float64) float64 {
	return max(0, u.floor(capacity, totalDemand)-u.Allocated)
}

// StarvationThreshold is how long work may wait before a floor is kept for its class and team while no
// zone has failed.
const StarvationThreshold = 2 * time.Minute

// Starving reports whether a floor is kept for work that has waited so long: beyond the threshold, three
// quarters of the time, since the capacity that is kept may be of no use to the work for a reason
// that is not counted here. The result follows from the age alone, so that all controllers agree,
// also after a restart.
func Starving(waited time.Duration) bool {
	kept := waited - StarvationThreshold
	return kept >= 0 && kept%StarvationThreshold < StarvationThreshold*3/4
}
