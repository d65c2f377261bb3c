// Which silent machines are deleted one by one.

package health

import (
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/zonehealth"
)

// minMissedCalls is how many direct calls in a row must go unanswered before a machine is deleted.
const minMissedCalls = 3

// Leases for which a machine is given time to come back before it is deleted all the same.
const (
	unhealthyZoneLeases = 3 // while its zone is not healthy, or was not until just now
	cutOffLeases        = 2 // while it seems to be this controller that receives nothing
)

// silentFor is for how long a machine has been silent, as far as is known.
func (mon *Monitor) silentFor(m *core.Machine, owned *core.OwnedPartition) time.Duration {
	last := max(m.LastHeartbeat, owned.OwnedSince)
	if m.LastHeartbeat == 0 {
		last = max(last, m.DiscoveredAt)
		if r := mon.records[m.Zone]; r.LastHeartbeat != 0 && mon.ZoneUnavailable(m.Zone) {
			last = min(last, mon.core.FromWallClock(r.LastHeartbeat)) // it was silent before the takeover, as its zone was
		}
	}
	return mon.core.Now.Sub(last)
}

// CheckLiveness deletes a machine that can't be reached: only the cloud's word that it is gone proves
// its tasks over. Where its whole zone has failed, EvacuateZones decides.
func (mon *Monitor) CheckLiveness(m *core.Machine, owned *core.OwnedPartition) {
	silence := mon.silentFor(m, owned)
	if silence <= mon.livenessTimeout(m) {
		return
	}
	if mon.cancellationOverdue(m) {
		// However likely it is that the network is at fault: a controller that is cut off from this
		// one may keep its lease alive. With very many silent machines the calls that would have to
		// fail first take longer than the cancellation has.
		mon.siblings.Autoscaler.ScheduleDeletion(m, owned, core.DeletionReasonCancelled)
		return
	}
	if mon.mayComeBack(m, silence) || mon.hardlyCalled(m, owned) {
		return
	}
	if m.LastHeartbeat == 0 && mon.seemsBooting(m) {
		return
	}
	if mon.recentlySilent(mon.inboundCutOff(), allZones) && silence < cutOffLeases*mon.core.Config.WorkerLease() {
		return
	}
	mon.siblings.Autoscaler.ScheduleDeletion(m, owned, core.DeletionReasonUnreachable)
}

// livenessTimeout is how long a machine may be silent before it is checked.
func (mon *Monitor) livenessTimeout(m *core.Machine) time.Duration {
	timeout := mon.core.LivenessTimeout
	if m.ReclaimNotice {
		timeout = mon.lateHeartbeatTimeout()
	}
	if m.LastHeartbeat == 0 && m.Address != "" {
		// Since a takeover it has been called rather than waited for: its heartbeats need not come
		// to this controller.
		timeout /= 2
	}
	return timeout
}

// mayComeBack reports whether a machine may come back with its tasks, together with its zone, or is
// just coming. Of a failed zone the evacuation decides.
func (mon *Monitor) mayComeBack(m *core.Machine, silence time.Duration) bool {
	state := mon.ZoneState(m.Zone)
	if state == zonehealth.Failed {
		return true
	}
	unsettled := state != zonehealth.Healthy || mon.recentlySilent(false, m.Zone)
	return unsettled && silence < unhealthyZoneLeases*mon.core.Config.WorkerLease()
}

// hardlyCalled reports whether too few direct calls to a machine have failed to judge by. One without
// an address has not been called for want of a list from the cloud that shows it.
func (mon *Monitor) hardlyCalled(m *core.Machine, owned *core.OwnedPartition) bool {
	if m.Address != "" {
		return m.MissedCalls < minMissedCalls
	}
	listedAt := mon.siblings.Autoscaler.ListedAt()
	listLag := api.Seconds(mon.core.Config.Deployment.Cloud.ListLag)
	return listedAt == 0 || listedAt.Sub(owned.OwnedSince) < 2*listLag
}

// cancellationOverdue reports whether a machine holds a task whose cancellation was recorded so long
// ago that only the machine's deletion can still end it in time.
func (mon *Monitor) cancellationOverdue(m *core.Machine) bool {
	return slices.ContainsFunc(mon.core.State.PlacementsOn(m.ID), func(p *core.Placement) bool {
		if p.Finishing || !p.Job.Cancelled {
			return false
		}
		return mon.sinceWallClock(p.Job.CancelledAt) >= mon.core.CancellationTimeout
	})
}

// sinceWallClock is how long ago a time of day was.
func (mon *Monitor) sinceWallClock(at api.WallTime) time.Duration {
	return time.Duration(mon.core.WallClock-at) * time.Millisecond
}
