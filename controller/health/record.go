// The zones' durable records.

package health

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/zonehealth"
)

// RecordKeyPrefix is before a zone's name in the key of its record, a zonehealth.Record.
const RecordKeyPrefix = clusterstate.Root + "zone/"

// RecordKind returns how the zones' records are applied to the monitor.
func (mon *Monitor) RecordKind() clusterstate.RecordKind {
	return clusterstate.RecordKind{
		Prefix: RecordKeyPrefix,
		Put: func(name string, value json.RawMessage, _ api.Revision) error {
			var r zonehealth.Record
			if err := json.Unmarshal(value, &r); err != nil {
				return err
			}
			mon.records[api.Zone(name)] = r
			return nil
		},
		Delete: func(name string) { delete(mon.records, api.Zone(name)) },
	}
}

// ResetRecords forgets the records, before the cluster state is read anew.
func (mon *Monitor) ResetRecords() { mon.records = map[api.Zone]zonehealth.Record{} }

// Record is a zone's record; the zero record is that of a zone that was always healthy.
func (mon *Monitor) Record(name api.Zone) zonehealth.Record { return mon.records[name] }

// RecordedState is a zone's state by its record alone.
func (mon *Monitor) RecordedState(name api.Zone) zonehealth.State {
	return mon.records[name].State
}

// PartitionsInside are the partitions whose owners were lost with a zone and may go on inside.
func (mon *Monitor) PartitionsInside(name api.Zone) []api.PartitionID {
	return mon.records[name].PartitionsInside
}

// AnyZoneFailedOrRecovering reports whether some zone is recorded as failed or recovering.
func (mon *Monitor) AnyZoneFailedOrRecovering() bool {
	for _, r := range mon.records {
		if r.State == zonehealth.Failed || r.State == zonehealth.Recovering {
			return true
		}
	}
	return false
}

// ZoneSilenceSeconds is for how long a failed zone has been silent, in seconds.
func (mon *Monitor) ZoneSilenceSeconds(name api.Zone) float64 {
	r := mon.records[name]
	return max(0, float64(mon.core.WallClock-cmp.Or(r.LastHeartbeat, r.Since))/1000)
}

// writerPartition is the partition whose owner writes the zones' records; nil if that is another
// controller.
func (mon *Monitor) writerPartition() *core.OwnedPartition { return mon.core.Partitions[0] }

// ReconcileZones keeps the zones' records, if this controller is the one that writes them.
func (mon *Monitor) ReconcileZones() {
	mon.observeControllers()
	mon.observeStore()
	owned := mon.writerPartition()
	// A controller that was cut off until just now has old evidence: what is silent must have the
	// time to be heard of first.
	if mon.storeUnhealthyAt != 0 && mon.core.Now.Sub(mon.storeUnhealthyAt) < mon.settlingTime() {
		return
	}
	if owned == nil || mon.recordWriteInFlight || !mon.comparesZones() {
		return
	}
	mon.observeZones()
	for _, name := range mon.core.Config.Deployment.Zones {
		previous := mon.records[name]
		record := mon.nextRecord(name, previous, owned)
		if record.SameState(previous) {
			continue
		}
		if mon.writeRecord(name, previous, record, owned) {
			return // one at a time
		}
	}
}

// observeControllers notes which peers have lost their membership since when.
func (mon *Monitor) observeControllers() {
	for _, peer := range mon.siblings.Gossiper.Peers() {
		if mon.core.IsLive(peer) {
			delete(mon.controllerLostAt, peer)
		} else if mon.controllerLostAt[peer] == 0 {
			mon.controllerLostAt[peer] = mon.core.Now
		}
	}
}

// observeStore notes when the state service last answered and when it last had not for a while.
func (mon *Monitor) observeStore() {
	if mon.core.StoreHealthy {
		mon.storeHealthyAt = mon.core.Now
	} else if mon.core.Now.Sub(mon.storeHealthyAt) > core.StoreTimeout {
		mon.storeUnhealthyAt = mon.core.Now
	}
}

// nextRecord is a zone's record after what is observed now.
func (mon *Monitor) nextRecord(name api.Zone, previous zonehealth.Record, owned *core.OwnedPartition) zonehealth.Record {
	healthyFor := mon.core.Now.Sub(max(mon.lastSilentAt[name], owned.OwnedSince))
	thresholds := zonehealth.Thresholds{
		FailAfter:       mon.core.LivenessTimeout,
		HealthyAfter:    mon.settlingTime(),
		RetryEmptyAfter: 2 * mon.core.Config.WorkerLease(),
	}
	return previous.Next(mon.core.WallClock, mon.observations[name], healthyFor, thresholds, mon.partitionsInside(name))
}

// writeRecord writes a zone's record, on the condition that the previous one still stands and that the
// partition is still owned. It reports whether it was sent.
func (mon *Monitor) writeRecord(name api.Zone, previous, record zonehealth.Record, owned *core.OwnedPartition) bool {
	value, err := json.Marshal(record)
	if err != nil {
		slog.Error("zone record not encoded", "err", err)
		return false
	}
	key := RecordKeyPrefix + string(name)
	txn := api.Txn{
		If:     []api.Condition{owned.OwnershipCondition(), mon.core.State.VersionCondition(key)},
		Writes: []api.Write{{Put: key, Value: value}},
	}
	mon.recordWriteInFlight = true
	finish := func() { mon.recordWriteInFlight = false }
	assessment := mon.observations[name]
	mon.core.CallStoreTxn(txn, func(a message.StoreResponse) {
		if a.Status == statusOK {
			slog.Info("zone state changed", "zone", name, "state", stateName(record.State), "term", owned.Term,
				"machines", assessment.All, "silent", assessment.Silent,
				"for", float64(record.Since-max(previous.LastHeartbeat, record.LastHeartbeat))/1000,
				"partitions_inside", len(record.PartitionsInside))
		}
		mon.siblings.Follower.LinearizableRead(finish, finish)
	})
	return true
}

// statusOK is the state service's status of a transaction that was committed.
const statusOK = 200

// stateName is a zone's state in the log.
func stateName(s zonehealth.State) string {
	if s == zonehealth.Healthy {
		return "whole"
	}
	return string(s)
}

// partitionsInside lists the partitions whose preferred owner is in a zone and was lost with it: when
// that controller was last live, the zone was still heard of.
func (mon *Monitor) partitionsInside(name api.Zone) []api.PartitionID {
	lastHeard := cmp.Or(mon.observations[name].Heard, mon.records[name].LastHeartbeat)
	var out []api.PartitionID
	for i := range mon.core.State.Partitions {
		owner := mon.core.PreferredOwner(api.PartitionID(i))
		lostAt, lost := mon.controllerLostAt[owner]
		if !lost || mon.controllerZone(owner) != name {
			continue
		}
		lostBeforeStart := lostAt <= mon.core.StartedAt.Add(time.Second)
		if lostBeforeStart || mon.core.ToWallClock(lostAt) >= lastHeard {
			out = append(out, api.PartitionID(i))
		}
	}
	return out
}

// controllerZone is the zone that a controller runs in.
func (mon *Monitor) controllerZone(id api.ControllerID) api.Zone {
	i := slices.IndexFunc(mon.core.Config.Peers, func(p config.Peer) bool { return p.Label == id })
	if i < 0 {
		return mon.core.Config.Zone
	}
	return mon.core.Config.Peers[i].Zone
}
