// Evidence of which zones are unreachable.

package health

import (
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/zonehealth"
)

// lateHeartbeatMargin is how late a heartbeat may be before its machine counts as silent.
const lateHeartbeatMargin = 2 * time.Second

// observeZones counts anew, now and then, what all controllers see of the zones.
func (mon *Monitor) observeZones() {
	if mon.observations != nil && mon.core.Now.Sub(mon.observedAt) <= core.SweepInterval/2 {
		return
	}
	mon.observedAt = mon.core.Now
	mon.observations = map[api.Zone]zonehealth.Assessment{}
	mon.localObservation = zonehealth.Observation{}
	for _, p := range slices.Sorted(maps.Keys(mon.core.Partitions)) {
		mergeCounts(mon.localObservation, mon.SilentByZone(mon.core.Partitions[p]))
	}
	witnesses := []zonehealth.Observation{mon.localObservation}
	for _, peer := range mon.siblings.Gossiper.Peers() {
		witness := zonehealth.Observation{}
		for _, status := range mon.siblings.Gossiper.PartitionStatusesOf(peer) {
			mergeCounts(witness, status.Zones)
		}
		witnesses = append(witnesses, witness)
	}
	for _, name := range mon.core.Config.Deployment.Zones {
		assessment := zonehealth.Assess(witnesses, name)
		mon.observations[name] = assessment
		if assessment.Unreachable {
			mon.lastSilentAt[name] = mon.core.Now
		}
	}
}

// mergeCounts adds the counts of one partition's machines to an observation.
func mergeCounts(observation zonehealth.Observation, counts map[api.Zone]zonehealth.MachineCount) {
	for name, c := range counts {
		o := observation[name]
		observation[name] = zonehealth.MachineCount{All: o.All + c.All, Silent: o.Silent + c.Silent, Heard: max(o.Heard, c.Heard)}
	}
}

// SilentByZone counts a partition's machines, and the silent ones among them, by zone. What boots, as
// far as is known, and what a new owner has neither called nor had a heartbeat of yet, says nothing.
func (mon *Monitor) SilentByZone(owned *core.OwnedPartition) map[api.Zone]zonehealth.MachineCount {
	counts := map[api.Zone]zonehealth.MachineCount{}
	for _, m := range mon.siblings.Agents.MachinesOf(owned.ID) {
		if !mon.isEvidence(m) {
			continue
		}
		c := counts[m.Zone]
		c.All++
		if mon.isSilent(m, owned) {
			c.Silent++
			if m.LastHeartbeat != 0 {
				c.Heard = max(c.Heard, mon.core.ToWallClock(m.LastHeartbeat))
			}
		}
		counts[m.Zone] = c
	}
	return counts
}

// isEvidence reports whether a machine's silence says anything of its zone.
func (mon *Monitor) isEvidence(m *core.Machine) bool {
	if m.Deleting && !m.Unreachable {
		return false // it is this controller that does not answer it
	}
	if m.LastHeartbeat != 0 {
		return true
	}
	return m.MissedCalls > 0 && !mon.seemsBooting(m)
}

// seemsBooting reports whether a machine without a heartbeat so far may not be up yet, as far as is known.
func (mon *Monitor) seemsBooting(m *core.Machine) bool {
	return !mon.siblings.Autoscaler.IsListedRunning(m) && len(mon.core.State.PlacementsOn(m.ID)) == 0
}

// isSilent reports whether a machine is not reached. One whose heartbeats come by way of peers alone
// speaks for a network partition as well; one that sends them here again is back, though no call has
// been made to it yet.
func (mon *Monitor) isSilent(m *core.Machine, owned *core.OwnedPartition) bool {
	if m.MissedCalls > 0 && (m.LastHeartbeat == 0 || m.HeartbeatForwarded) {
		return true
	}
	return mon.core.Now.Sub(max(m.LastHeartbeat, owned.OwnedSince)) > mon.lateHeartbeatTimeout()
}

// lateHeartbeatTimeout is how long after the last heartbeat the next one is late.
func (mon *Monitor) lateHeartbeatTimeout() time.Duration {
	return mon.core.Config.HeartbeatInterval() + lateHeartbeatMargin
}

// Observation is what all controllers together last saw of a zone.
func (mon *Monitor) Observation(name api.Zone) zonehealth.Assessment {
	return mon.observations[name]
}

// ZoneState is a zone's state: what is recorded or, before that, what is seen.
func (mon *Monitor) ZoneState(name api.Zone) zonehealth.State {
	if !mon.comparesZones() {
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

// comparesZones reports whether there are several zones: a single one can't be compared with another,
// and its work has nowhere else to go.
func (mon *Monitor) comparesZones() bool { return len(mon.core.Config.Deployment.Zones) >= 2 }

// ZoneUnavailable reports whether nothing is to be started or provisioned in a zone.
func (mon *Monitor) ZoneUnavailable(name api.Zone) bool {
	s := mon.ZoneState(name)
	return s == zonehealth.Suspect || s == zonehealth.Failed
}

// inboundCutOff reports whether it is this controller that receives nothing, as it seems: next to no
// machine of any zone that is not known to have failed is heard of.
func (mon *Monitor) inboundCutOff() bool {
	mon.observeZones()
	witness := zonehealth.Observation{}
	for name, c := range mon.localObservation {
		if mon.records[name].State != zonehealth.Failed {
			witness[name] = c
		}
	}
	return witness.ObserverIsolated()
}

// allZones stands for everything that this controller receives among the zones last seen silent.
const allZones api.Zone = ""

// recentlySilent reports whether a zone, or allZones, was silent until just now: when a network
// partition ends, the last machines must have time for their heartbeats.
func (mon *Monitor) recentlySilent(silent bool, name api.Zone) bool {
	if silent {
		mon.lastSilentAt[name] = mon.core.Now
	}
	at, seen := mon.lastSilentAt[name]
	return seen && mon.core.Now.Sub(at) < mon.settlingTime()
}

// settlingTime is how long after a network partition every machine has had time to be heard of.
func (mon *Monitor) settlingTime() time.Duration {
	return mon.core.HeartbeatTimeout + core.WorkerTimeout
}
