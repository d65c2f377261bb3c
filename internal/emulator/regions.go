package emulator

import (
	"time"

	"basaltwall/api"
)

// Regions are groups of zones with latency between them. Key-value store, cloud and users are in
// the home region.
type Regions struct {
	// ByZone is the region of each zone, Home that of what belongs to no zone.
	ByZone map[api.Zone]string
	Home   string
	// Latency is the additional latency from one region to another.
	Latency time.Duration

	cuts map[string]*networkCut // regions whose links to the others are cut
}

// regionOf is a zone's region; a zone without a name stands for what belongs to none.
func (r *Regions) regionOf(z api.Zone) string {
	if z == "" {
		return r.Home
	}
	return r.ByZone[z]
}

// extraLatency is the additional latency between two zones because of their regions.
func (r *Regions) extraLatency(a, b api.Zone) time.Duration {
	if r == nil || r.regionOf(a) == r.regionOf(b) {
		return 0
	}
	return r.Latency
}

// cutBetween is the cut between the regions of two zones, nil if there is none.
func (r *Regions) cutBetween(a, b api.Zone) *networkCut {
	if r == nil || r.regionOf(a) == r.regionOf(b) {
		return nil
	}
	if c := r.cuts[r.regionOf(a)]; c != nil {
		return c
	}
	return r.cuts[r.regionOf(b)]
}

// SetRegions groups the zones.
func (sim *Simulation) SetRegions(r *Regions) {
	r.cuts = map[string]*networkCut{}
	sim.regions = r
}

// CutRegion cuts a region's links to the others for a while; with hold, packets are delivered when
// it ends.
func (sim *Simulation) CutRegion(region string, length time.Duration, hold bool) {
	if sim.regions == nil || sim.regions.cuts[region] != nil {
		return
	}
	sim.regions.cuts[region] = sim.startCut(length, hold, func() { delete(sim.regions.cuts, region) })
}
