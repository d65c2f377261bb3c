// Deletion of individual unreachable machines.

package health

import (
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/zonehealth"
)

// minMissedCalls is the number of consecutive unanswered direct calls before a machine is deleted.
const minMissedCalls = 3

// Timeouts, in lease durations, after which an unreachable machine is deleted although it may recover.
const (
	unhealthyZoneLeases      = 3 // if its zone is unhealthy or has just recovered
	isolatedControllerLeases = 2 // if this controller itself is probably isolated
)

// unreachableDuration returns the time since a machine's last heartbeat or the takeover of its partition,
// whichever is later. Without a heartbeat it counts from the discovery of the machine, or from the last
// heartbeat of its zone if the zone is unavailable.
func (mon *Monitor) unreachableDuration(m *core.Machine, owned *core.OwnedPartition) time.Duration {
	last := max(m.LastHeartbeat, owned.OwnedSince)
	if m.LastHeartbeat == 0 {
		last = max(last, m.DiscoveredAt)
		if r := mon.records[m.Zone]; r.LastHeartbeat != 0 && mon.ZoneUnavailable(m.Zone) {
			last = min(last, mon.core.FromWallClock(r.LastHeartbeat)) // the zone was unreachable before the takeover
		}
	}
	return mon.core.Now.Sub(last)
}

// CheckLiveness deletes a machine that has been unreachable for too long, since only the cloud's
// confirmation of the deletion proves that its tasks have ended. Machines of a failed zone are left to
// EvacuateZones.
func (mon *Monitor) CheckLiveness(m *core.Machine, owned *core.OwnedPartition) {
	unreachable := mon.unreachableDuration(m, owned)
	if unreachable <= mon.livenessTimeout(m) {
		return
	}
	if mon.cancellationOverdue(m) {
		// Applies also if the network is probably at fault, since a controller that is partitioned from
		// this one may renew the machine's lease. Waiting for minMissedCalls could exceed the
		// cancellation timeout if many machines are unreachable.
		mon.deps.Autoscaler.ScheduleDeletion(m, owned, core.DeletionReasonCancelled)
		return
	}
	if mon.mayRecover(m, unreachable) || mon.tooFewCalls(m, owned) {
		return
	}
	if m.LastHeartbeat == 0 && mon.mayBeBooting(m) {
		return
	}
	if mon.recentlyUnreachable(mon.controllerIsolated(), allZones) && unreachable < isolatedControllerLeases*mon.core.Config.WorkerLease() {
		return
	}
	mon.deps.Autoscaler.ScheduleDeletion(m, owned, core.DeletionReasonUnreachable)
}

// livenessTimeout returns the time without a heartbeat after which a machine's liveness is checked.
func (mon *Monitor) livenessTimeout(m *core.Machine) time.Duration {
	timeout := mon.core.LivenessTimeout
	if m.ReclaimNotice {
		timeout = mon.lateHeartbeatTimeout()
	}
	if m.LastHeartbeat == 0 && m.Address != "" {
		// After a takeover this controller calls the machine directly, since its heartbeats may still go
		// to another controller. An unreachable machine is thus detected earlier.
		timeout /= 2
	}
	return timeout
}

// mayRecover reports whether a machine may recover, with its tasks, together with its zone. It is
// always true for machines of a failed zone, which are left to the evacuation.
func (mon *Monitor) mayRecover(m *core.Machine, unreachable time.Duration) bool {
	state := mon.ZoneState(m.Zone)
	if state == zonehealth.Failed {
		return true
	}
	unstable := state != zonehealth.Healthy || mon.recentlyUnreachable(false, m.Zone)
	return unstable && unreachable < unhealthyZoneLeases*mon.core.Config.WorkerLease()
}

// tooFewCalls reports whether too few direct calls to a machine have failed to consider it unreachable.
// A machine without an address can't be called. It is considered unreachable once the cloud's list is
// recent enough to contain the address.
func (mon *Monitor) tooFewCalls(m *core.Machine, owned *core.OwnedPartition) bool {
	if m.Address != "" {
		return m.UnansweredCalls < minMissedCalls
	}
	listedAt := mon.deps.Autoscaler.ListedAt()
	listLag := api.Seconds(mon.core.Config.Deployment.Cloud.ListLag)
	return listedAt == 0 || listedAt.Sub(owned.OwnedSince) < 2*listLag
}

// cancellationOverdue reports whether a machine has a task of a cancelled job that can be ended in time
// only by deleting the machine.
func (mon *Monitor) cancellationOverdue(m *core.Machine) bool {
	return slices.ContainsFunc(mon.core.State.PlacementsOn(m.ID), func(p *core.Placement) bool {
		if p.Finishing || !p.Job.Cancelled {
			return false
		}
		return mon.sinceWallClock(p.Job.CancelledAt) >= mon.core.CancellationTimeout
	})
}

// sinceWallClock returns the time elapsed since a wall-clock time.
func (mon *Monitor) sinceWallClock(at api.WallTime) time.Duration {
	return time.Duration(mon.core.WallClock-at) * time.Millisecond
}
