// This file finds the cheapest of the cloud's offers for a job.

package autoscale

import (
	"cmp"
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/sched"
	"basaltwall/zonehealth"
)

const (
	// probeMachines is the number of machines requested in a zone to test whether it has
	// recovered. One machine would not suffice as evidence of an outage.
	probeMachines = 2

	// repeatPenalty is added to an offer's price for each machine that is planned from it,
	// so that requests alternate between offers of equal price.
	repeatPenalty = 1e-6
)

// cheapestOffer finds the offer with the lowest price per task of a job, in the zones for which
// open returns true.
func (plan *scaleOutPlan) cheapestOffer(s *api.JobSpec, open func(api.Zone) bool) (core.MachineOffer, bool) {
	shared := plan.manager.core
	demand, cpuOnly := s.Demand(), shared.IsCPUOnly(s)
	var best core.MachineOffer
	bestPrice := 0.0
	for _, name := range slices.Sorted(maps.Keys(shared.MachineTypes)) {
		typ := shared.MachineTypes[name]
		slots := demand.Slots(typ.Capacity())
		if slots == 0 || cpuOnly && typ.GPUs > 0 {
			continue
		}
		for _, offer := range plan.manager.offersOf(typ) {
			if !open(offer.Zone) || !sched.Feasible(s, name, offer.Zone, offer.Spot) || !plan.available(offer) {
				continue
			}
			price := priceOf(typ, offer.Spot)/float64(slots) + repeatPenalty*float64(plan.requests[offer])
			if bestPrice == 0 || price < bestPrice {
				best, bestPrice = offer, price
			}
		}
	}
	return best, bestPrice > 0
}

// compareOffers orders offers by type, zone, and on-demand before spot.
func compareOffers(a, b core.MachineOffer) int {
	return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone), compareBools(a.Spot, b.Spot))
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// offersOf returns the offers of a machine type in all of its zones.
func (as *Manager) offersOf(typ *api.MachineType) []core.MachineOffer {
	zones := typ.Zones
	if len(zones) == 0 {
		zones = as.core.Config.Deployment.Zones
	}
	var offers []core.MachineOffer
	for _, zone := range zones {
		for _, spot := range []bool{true, false} {
			offers = append(offers, core.MachineOffer{Type: typ.Name, Zone: zone, Spot: spot})
		}
	}
	return offers
}

func priceOf(typ *api.MachineType, spot bool) float64 {
	if spot {
		return typ.SpotPrice
	}
	return typ.Price
}

// available reports whether an offer may be requested now.
func (plan *scaleOutPlan) available(offer core.MachineOffer) bool {
	as := plan.manager
	return as.scaleOuts.backoffUntil[offer] <= as.core.Now &&
		!as.deps.Health.ZoneUnavailable(offer.Zone) &&
		plan.mayProbeZone(offer.Zone)
}

// mayProbeZone reports whether one more machine may be requested in a zone. In a recovering
// zone without machines, at most probeMachines are requested.
func (plan *scaleOutPlan) mayProbeZone(zone api.Zone) bool {
	health := plan.manager.deps.Health
	observed := health.Assessment(zone) // must be read before ZoneState, which may update it
	if health.ZoneState(zone) != zonehealth.Recovering || observed.All > 0 {
		return true
	}
	count := 0
	for _, byOffer := range []map[core.MachineOffer]int{plan.requests, plan.incoming} {
		for offer, k := range byOffer {
			if offer.Zone == zone {
				count += k
			}
		}
	}
	return count < probeMachines
}
