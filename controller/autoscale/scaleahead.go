// This file scales out ahead of demand, by the capacity targets of machine types with
// accelerators.

package autoscale

import (
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
)

// addCapacityTargets plans the machines that are missing to reach the capacity targets.
func (plan *scaleOutPlan) addCapacityTargets() {
	counts := plan.manager.acceleratorsByPartition()
	for _, name := range slices.Sorted(maps.Keys(plan.manager.targets)) {
		target := plan.manager.targets[name]
		if target.latencySensitiveSpec == nil {
			continue
		}
		suitable := plan.countMachines(name, counts, target.suits)
		plan.requestAhead(target.latencySensitiveSpec, target.latencySensitive-suitable)
		if target.batchSpec != nil {
			all := plan.countMachines(name, counts, func(bool) bool { return true })
			plan.requestAhead(target.batchSpec, target.total-all)
		}
	}
}

// countMachines counts the machines of a type that are up, incoming or planned, and match.
func (plan *scaleOutPlan) countMachines(name api.MachineTypeName, counts map[api.PartitionID]acceleratorCounts, matches func(spot bool) bool) int {
	sum := 0
	for _, ofPartition := range counts {
		for kind, count := range ofPartition {
			if kind.Type == name && matches(kind.Spot) {
				sum += count.Up
			}
		}
	}
	for _, byOffer := range []map[core.MachineOffer]int{plan.requests, plan.incoming} {
		for offer, count := range byOffer {
			if offer.Type == name && matches(offer.Spot) {
				sum += count
			}
		}
	}
	return sum
}

// requestAhead plans requests of machines for an example job, as long as there are offers.
func (plan *scaleOutPlan) requestAhead(s *api.JobSpec, missing int) {
	anyZone := func(api.Zone) bool { return true }
	for range missing {
		offer, ok := plan.cheapestOffer(s, anyZone)
		if !ok {
			return
		}
		plan.requests[offer]++
	}
}
