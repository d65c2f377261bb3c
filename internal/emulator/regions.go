package emulator

import (
	"time"

	"basaltwall/api"
)

// Regions groups zones into regions with additional latency between them. The key-value store, the cloud
// and users are in the home region.
type Regions struct {
	// ByZone maps zones to regions. Home is the region of the key-value store, the cloud and users.
	ByZone map[api.Zone]string
	Home   string
	// Latency is the additional latency from one region to another.
	Latency time.Duration

	cuts map[string]*networkCut // by region that is cut off from the others
}

// regionOf returns a zone's region, or the home region for an empty zone.
func (r *Regions) regionOf(z api.Zone) string {
	if z == "" {
		return r.Home
	}
	return r.ByZone[z]
}

// extraLatency returns the additional latency between the regions of two zones.
func (r *Regions) extraLatency(a, b api.Zone) time.Duration {
	if r == nil || r.regionOf(a) == r.regionOf(b) {
		return 0
	}
	return r.Latency
}

// cutBetween returns the cut between the regions of two zones, nil if there is none.
func (r *Regions) cutBetween(a, b api.Zone) *networkCut {
	if r == nil || r.regionOf(a) == r.regionOf(b) {
		return nil
	}
	if c := r.cuts[r.regionOf(a)]; c != nil {
		return c
	}
	return r.cuts[r.regionOf(b)]
}

// SetRegions assigns the zones to regions.
func (sim *Simulation) SetRegions(r *Regions) {
	r.cuts = map[string]*networkCut{}
	sim.regions = r
}

// CutRegion cuts a region off from the others for the given time. With hold, packets are delivered when
// the partition heals; otherwise they are dropped.
func (sim *Simulation) CutRegion(region string, length time.Duration, hold bool) {
	if sim.regions == nil || sim.regions.cuts[region] != nil {
		return
	}
	sim.regions.cuts[region] = sim.startCut(length, hold, func() { delete(sim.regions.cuts, region) })
}
