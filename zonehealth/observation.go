// Observations: what controllers see of a zone's machines, and what all together conclude.

package zonehealth

import "basaltwall/api"

// MachineCount is what the owner of partitions observes of a zone's machines.
type MachineCount struct {
	All    int
	Silent int          // without a recent heartbeat
	Heard  api.WallTime // latest heartbeat of the silent ones; 0: they never sent one
}

// minSilentMachines is how many machines must be silent before a zone or an observer counts as cut off.
const minSilentMachines = 2

// Unreachable reports whether so many machines are silent that the network is more likely at fault
// than the machines.
func (c MachineCount) Unreachable() bool { return c.Silent >= minSilentMachines && c.Silent*3 >= c.All }

// Observation is what one controller observes of the zones.
type Observation map[api.Zone]MachineCount

// ObserverIsolated reports whether the observer hears from next to no machine in any zone: then the
// observer itself is cut off, and its observation says nothing of any zone.
func (o Observation) ObserverIsolated() bool {
	silent := 0
	for _, c := range o {
		if c.Silent*2 < c.All {
			return false
		}
		silent += c.Silent
	}
	return silent >= minSilentMachines
}

// Assessment is what all observers together know of a zone.
type Assessment struct {
	MachineCount
	Observed    bool // some observer that is not isolated has machines there
	Unreachable bool
}

// Assess sums the observations of a zone, without those of isolated observers. Where observers
// disagree, the zone is unreachable if at least half of those with several machines there say so: a
// zone that a single controller can't reach is healthy.
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

// minObservedMachines is how many machines an observer must have in a zone for its vote to count.
const minObservedMachines = 3
