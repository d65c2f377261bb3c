// Observations of a zone's machines by controllers, and their combined assessment.

package zonehealth

import "basaltwall/api"

// MachineCount counts a zone's machines as observed by the owner of their partitions.
type MachineCount struct {
	All    int
	Silent int          // machines without a recent heartbeat (unreachable)
	Heard  api.WallTime // latest heartbeat of the unreachable machines; 0 if none has sent one
}

// minUnreachableMachines is the minimum number of unreachable machines for a zone to be unreachable or
// an observer to be isolated.
const minUnreachableMachines = 2

// Unreachable reports whether at least a third of the machines is unreachable, so that a network failure
// is more likely than failures of single machines.
func (c MachineCount) Unreachable() bool {
	return c.Silent >= minUnreachableMachines && c.Silent*3 >= c.All
}

// Observation is one controller's machine counts by zone.
type Observation map[api.Zone]MachineCount

// ObserverIsolated reports whether at least half of the machines in every zone are unreachable. Then
// the observer itself is probably isolated, and its observation is no evidence of any zone's state.
func (o Observation) ObserverIsolated() bool {
	unreachable := 0
	for _, c := range o {
		if c.Silent*2 < c.All {
			return false
		}
		unreachable += c.Silent
	}
	return unreachable >= minUnreachableMachines
}

// Assessment is the combined observation of a zone by all observers.
type Assessment struct {
	MachineCount
	Observed    bool // whether an observer that is not isolated has machines in the zone
	Unreachable bool
}

// Assess combines the observations of a zone, except those of isolated observers. The zone is
// unreachable if it is so by the summed counts and for at least half of the observers with several
// machines there. A zone that is unreachable for a single controller counts as healthy.
func Assess(observations []Observation, zone api.Zone) Assessment {
	var a Assessment
	voters, unreachable := 0, 0
	for _, o := range observations {
		c, ok := o[zone]
		if !ok || o.ObserverIsolated() {
			continue
		}
		a.Observed = true
		a.All += c.All
		a.Silent += c.Silent
		a.Heard = max(a.Heard, c.Heard)
		if c.All >= minObservedMachines {
			voters++
			if c.Unreachable() {
				unreachable++
			}
		}
	}
	a.Unreachable = a.MachineCount.Unreachable() && unreachable*2 >= voters
	return a
}

// minObservedMachines is the minimum number of machines in a zone for an observer's vote to count.
const minObservedMachines = 3
