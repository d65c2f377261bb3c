// This file estimates the rate at which the cloud reclaims spot machines.

package autoscale

import (
	"math"
	"time"

	"basaltwall/api"
)

const (
	// spotDecayTime is the time after which a past observation counts a third as much: the cloud
	// reclaims more machines at some times than at others.
	spotDecayTime = 2 * time.Minute

	// The prior loss rate is one loss per hour, with the weight of an hour of observation.
	priorSpotLosses        = 1
	priorSpotUptimeSeconds = 3600
)

// spotHistory is the observed uptime of spot machines and the number of reclaimed ones, both
// with exponential decay.
type spotHistory struct {
	uptimeSeconds float64
	reclaimed     float64
	sampledAt     api.Time
}

func (h *spotHistory) lossRate() float64 {
	return (h.reclaimed + priorSpotLosses) / (h.uptimeSeconds + priorSpotUptimeSeconds)
}

func (h *spotHistory) decay(elapsed time.Duration) {
	factor := math.Exp(-elapsed.Seconds() / spotDecayTime.Seconds())
	h.uptimeSeconds *= factor
	h.reclaimed *= factor
}

// SpotLossRate returns the recent rate at which a spot machine is reclaimed, per second.
func (as *Manager) SpotLossRate() float64 { return as.spot.lossRate() }

// recordSpotUptime adds the uptime of the owned partitions' spot machines since the last call.
func (as *Manager) recordSpotUptime() {
	h := &as.spot
	if elapsed := as.core.Now.Sub(h.sampledAt); h.sampledAt != 0 && elapsed > 0 {
		h.decay(elapsed)
		for p := range as.core.Partitions {
			for _, m := range as.deps.Agents.MachinesOf(p) {
				if m.Spot && m.LastHeartbeat != 0 {
					h.uptimeSeconds += elapsed.Seconds()
				}
			}
		}
	}
	h.sampledAt = as.core.Now
}
