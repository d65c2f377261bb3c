// Capacity floors: CPUs reserved for each class and team against more urgent work.

package zonehealth

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Usage is the CPUs allocated to and demanded by a class or team.
type Usage struct {
	Allocated  float64 // on usable machines
	Demand     float64 // allocated and pending
	NoFloor    bool    // whether it has no floor
	FloorShare float64 // its floor as a fraction of its fair share; 0 means DefaultFloorShare
}

// DefaultFloorShare is the default floor of a class or team, as a fraction of its fair share of the
// capacity. Floors apply while a zone has failed or work is starving.
const DefaultFloorShare = 0.5

// Allowance is the CPUs that a class or team may lose by preemption or gain by new starts.
type Allowance struct {
	Preemptible float64 // may be preempted; infinite if all of it may be
	Headroom    float64 // may still be allocated; infinite if not limited
	Shortfall   float64 // missing to reach its floor
}

// Allowances computes the allowance of each class or team. The fair share of the capacity is
// proportional to the demand, and the floor is a fraction of it. Capacity that is missing to reach a
// floor is reserved: otherwise long-running work of higher priority could occupy it permanently, since
// less urgent work can't preempt it. share is the fraction of the preemptible CPUs that the caller may
// preempt; the rest is for the owners of other partitions.
func Allowances[K cmp.Ordered](usage map[K]Usage, capacity, share float64) map[K]Allowance {
	totalDemand, totalAllocated, totalShortfall := 0.0, 0.0, 0.0
	keys := slices.Sorted(maps.Keys(usage)) // a fixed order makes the floating-point sums reproducible
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

// minShortfall is the smallest sum of shortfalls, in CPUs, that is not treated as a rounding error.
const minShortfall = 1e-9

// floor returns the floor of a class or team, given the total capacity and demand.
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

// shortfall returns the CPUs missing to reach the floor.
func (u Usage) shortfall(capacity, totalDemand float64) float64 {
	return max(0, u.floor(capacity, totalDemand)-u.Allocated)
}

// StarvationThreshold is the waiting time after which work gives its class and team a floor while no
// zone has failed.
const StarvationThreshold = 2 * time.Minute

// Starving reports whether work that has waited for the given time has a floor. Beyond the threshold it
// has one for three quarters of each StarvationThreshold, so that capacity that the work can't use is
// not reserved permanently. The result depends only on the waiting time, so that all controllers agree,
// also after a restart.
func Starving(waited time.Duration) bool {
	excess := waited - StarvationThreshold
	return excess >= 0 && excess%StarvationThreshold < StarvationThreshold*3/4
}
