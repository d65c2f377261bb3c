// Observations of zones, used to detect unreachable ones.

package health

import (
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/zonehealth"
)

// lateHeartbeatMargin is the delay of a heartbeat after which its machine counts as unreachable.
const lateHeartbeatMargin = 2 * time.Second

// observeZones combines the observations of all controllers into an assessment of each zone, at most
// once per half MachineInspectionInterval.
func (mon *Monitor) observeZones() {
	if mon.observations != nil && mon.core.Now.Sub(mon.observedAt) <= core.MachineInspectionInterval/2 {
		return
	}
	mon.observedAt = mon.core.Now
	mon.observations = map[api.Zone]zonehealth.Assessment{}
	mon.localObservation = zonehealth.Observation{}
	for _, p := range slices.Sorted(maps.Keys(mon.core.Partitions)) {
		mergeCounts(mon.localObservation, mon.CountMachinesByZone(mon.core.Partitions[p]))
	}
	allObservations := []zonehealth.Observation{mon.localObservation}
	for _, peer := range mon.deps.Gossiper.Peers() {
		observation := zonehealth.Observation{}
		for _, status := range mon.deps.Gossiper.PartitionStatusesOf(peer) {
			mergeCounts(observation, status.Zones)
		}
		allObservations = append(allObservations, observation)
	}
	for _, name := range mon.core.Config.Deployment.Zones {
		assessment := zonehealth.Assess(allObservations, name)
		mon.observations[name] = assessment
		if assessment.Unreachable {
			mon.lastUnreachableAt[name] = mon.core.Now
		}
	}
}

// mergeCounts adds the machine counts of one partition to an observation.
func mergeCounts(observation zonehealth.Observation, counts map[api.Zone]zonehealth.MachineCount) {
	for name, c := range counts {
		o := observation[name]
		observation[name] = zonehealth.MachineCount{All: o.All + c.All, Silent: o.Silent + c.Silent, Heard: max(o.Heard, c.Heard)}
	}
}

// CountMachinesByZone counts a partition's machines, and the unreachable ones among them, by zone. Machines
// that may be booting, or that a new owner has neither called nor received a heartbeat from, are left
// out.
func (mon *Monitor) CountMachinesByZone(owned *core.OwnedPartition) map[api.Zone]zonehealth.MachineCount {
	counts := map[api.Zone]zonehealth.MachineCount{}
	for _, m := range mon.deps.Agents.MachinesOf(owned.ID) {
		if !mon.isEvidence(m) {
			continue
		}
		c := counts[m.Zone]
		c.All++
		if mon.isUnreachable(m, owned) {
			c.Silent++
			if m.LastHeartbeat != 0 {
				c.Heard = max(c.Heard, mon.core.ToWallClock(m.LastHeartbeat))
			}
		}
		counts[m.Zone] = c
	}
	return counts
}

// isEvidence reports whether a machine's reachability is evidence of its zone's.
func (mon *Monitor) isEvidence(m *core.Machine) bool {
	if m.Deleting && !m.Unreachable {
		return false // this controller rejects its heartbeats
	}
	if m.LastHeartbeat != 0 {
		return true
	}
	return m.UnansweredCalls > 0 && !mon.mayBeBooting(m)
}

// mayBeBooting reports whether a machine that has never sent a heartbeat may still be booting: the
// cloud does not list it as running, and it has no placements.
func (mon *Monitor) mayBeBooting(m *core.Machine) bool {
	return !mon.deps.Autoscaler.IsListedRunning(m) && len(mon.core.State.PlacementsOn(m.ID)) == 0
}

// isUnreachable reports whether a machine is unreachable for this controller. A machine with unanswered
// calls whose heartbeats arrive only through peers counts as unreachable, since this is evidence of a
// network partition. One that sends them here directly counts as reachable.
func (mon *Monitor) isUnreachable(m *core.Machine, owned *core.OwnedPartition) bool {
	if m.UnansweredCalls > 0 && (m.LastHeartbeat == 0 || m.HeartbeatForwarded) {
		return true
	}
	return mon.core.Now.Sub(max(m.LastHeartbeat, owned.OwnedSince)) > mon.lateHeartbeatTimeout()
}

// lateHeartbeatTimeout returns the time after a heartbeat at which the next one is overdue.
func (mon *Monitor) lateHeartbeatTimeout() time.Duration {
	return mon.core.Config.HeartbeatInterval() + lateHeartbeatMargin
}

// Assessment returns the latest assessment of a zone by all controllers together.
func (mon *Monitor) Assessment(name api.Zone) zonehealth.Assessment {
	return mon.observations[name]
}

// ZoneState returns a zone's recorded state, or Suspect if it is recorded as healthy but is observed as
// unreachable.
func (mon *Monitor) ZoneState(name api.Zone) zonehealth.State {
	if !mon.hasMultipleZones() {
		return zonehealth.Healthy
	}
	mon.observeZones()
	if r := mon.records[name]; r.State != zonehealth.Healthy {
		return r.State
	}
	if mon.observations[name].Unreachable {
		return zonehealth.Suspect
	}
	return zonehealth.Healthy
}

// hasMultipleZones reports whether there are several zones. The health of a single zone is not tracked:
// it can't be compared with other zones, and its tasks can't run elsewhere.
func (mon *Monitor) hasMultipleZones() bool { return len(mon.core.Config.Deployment.Zones) >= 2 }

// ZoneUnavailable reports whether no tasks may start and no machines may be provisioned in a zone.
func (mon *Monitor) ZoneUnavailable(name api.Zone) bool {
	s := mon.ZoneState(name)
	return s == zonehealth.Suspect || s == zonehealth.Failed
}

// controllerIsolated reports whether this controller itself is probably isolated: at least half of the
// machines in every zone that is not recorded as failed are unreachable.
func (mon *Monitor) controllerIsolated() bool {
	mon.observeZones()
	observation := zonehealth.Observation{}
	for name, c := range mon.localObservation {
		if mon.records[name].State != zonehealth.Failed {
			observation[name] = c
		}
	}
	return observation.ObserverIsolated()
}

// allZones is the key in lastUnreachableAt for the isolation of this controller from all zones.
const allZones api.Zone = ""

// recentlyUnreachable reports whether a zone, or allZones, was unreachable within the stabilization
// time; unreachable says that it is so now. After a network partition ends, the machines need that time
// to send their heartbeats.
func (mon *Monitor) recentlyUnreachable(unreachable bool, name api.Zone) bool {
	if unreachable {
		mon.lastUnreachableAt[name] = mon.core.Now
	}
	at, seen := mon.lastUnreachableAt[name]
	return seen && mon.core.Now.Sub(at) < mon.stabilizationTime()
}

// stabilizationTime returns the time after the end of a network partition within which every machine
// should have sent a heartbeat.
func (mon *Monitor) stabilizationTime() time.Duration {
	return mon.core.HeartbeatTimeout + core.WorkerTimeout
}
