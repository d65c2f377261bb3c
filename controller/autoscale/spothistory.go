// Spot machines: how often they were reclaimed of late.

package autoscale

import (
	"math"
	"time"

	"basaltwall/api"
)

const (
	// spotDecayTime is the time in which past observations come to count a third as
	// much: the cloud reclaims more machines at some times than at others.
	spotDecayTime = 2 * time.Minute

	// The loss rate is assumed to be one in an hour to begin with, which counts as much
	// as an hour of observation.
	priorSpotLosses        = 1
	priorSpotUptimeSeconds = 3600
)

// spotHistory is how long spot machines were seen up and how many were reclaimed, with
// exponential decay.
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

// SpotLossRate is how often a spot machine is reclaimed, per second, as seen of late.
func (as *Manager) SpotLossRate() float64 { return as.spot.lossRate() }

// recordSpotUptime adds the uptime of our partitions' spot machines since the last call.
func (as *Manager) recordSpotUptime() {
	h := &as.spot
	if elapsed := as.core.Now.Sub(h.sampledAt); h.sampledAt != 0 && elapsed > 0 {
		h.decay(elapsed)
		for p := range as.core.Partitions {
			for _, m := range as.siblings.Agents.MachinesOf(p) {
				if m.Spot && m.LastHeartbeat != 0 {
					h.uptimeSeconds += elapsed.Seconds()
				}
			}
		}
	}
	h.sampledAt = as.core.Now
}
