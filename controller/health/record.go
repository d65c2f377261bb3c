// Durable records of the zones' states.

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
	"basaltwall/internal/exactjson"
	"basaltwall/zonehealth"
)

// RecordKeyPrefix is the key prefix of zone records. The zone's name follows it, and the value is a
// zonehealth.Record.
const RecordKeyPrefix = clusterstate.Root + "zone/"

// RecordKind returns the record kind that applies zone records to the monitor.
func (mon *Monitor) RecordKind() clusterstate.RecordKind {
	return clusterstate.RecordKind{
		Prefix: RecordKeyPrefix,
		Put: func(name string, value json.RawMessage, _ api.Revision) error {
			var r zonehealth.Record
			if err := exactjson.Decode(value, &r); err != nil {
				return err
			}
			mon.records[api.Zone(name)] = r
			return nil
		},
		Delete: func(name string) { delete(mon.records, api.Zone(name)) },
	}
}

// ResetRecords clears the zone records before the cluster state is reloaded.
func (mon *Monitor) ResetRecords() { mon.records = map[api.Zone]zonehealth.Record{} }

// Record returns a zone's record; the zero record means that the zone was always healthy.
func (mon *Monitor) Record(name api.Zone) zonehealth.Record { return mon.records[name] }

// RecordedState returns a zone's state according to its record alone.
func (mon *Monitor) RecordedState(name api.Zone) zonehealth.State {
	return mon.records[name].State
}

// IsolatedPartitions returns the partitions whose owners were lost with a zone and may still be running
// inside it.
func (mon *Monitor) IsolatedPartitions(name api.Zone) []api.PartitionID {
	return mon.records[name].IsolatedPartitions
}

// AnyZoneFailedOrRecovering reports whether a zone is recorded as failed or recovering.
func (mon *Monitor) AnyZoneFailedOrRecovering() bool {
	for _, r := range mon.records {
		if r.State == zonehealth.Failed || r.State == zonehealth.Recovering {
			return true
		}
	}
	return false
}

// OutageSeconds returns the duration of a failed zone's outage so far, in seconds.
func (mon *Monitor) OutageSeconds(name api.Zone) float64 {
	r := mon.records[name]
	return max(0, float64(mon.core.WallClock-cmp.Or(r.LastHeartbeat, r.Since))/1000)
}

// writerPartition returns the partition whose owner writes the zone records; nil if another controller
// owns it.
func (mon *Monitor) writerPartition() *core.OwnedPartition { return mon.core.Partitions[0] }

// ReconcileZones updates the zone records if this controller is their writer.
func (mon *Monitor) ReconcileZones() {
	mon.observeControllers()
	mon.observeStore()
	owned := mon.writerPartition()
	// After an isolation of this controller its observations are outdated, so machines get time to
	// send heartbeats first.
	if mon.storeUnhealthyAt != 0 && mon.core.Now.Sub(mon.storeUnhealthyAt) < mon.stabilizationTime() {
		return
	}
	if owned == nil || mon.recordWriteInFlight || !mon.hasMultipleZones() {
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
			return // one write at a time
		}
	}
}

// observeControllers records when peers lost their membership.
func (mon *Monitor) observeControllers() {
	for _, peer := range mon.deps.Gossiper.Peers() {
		if mon.core.IsLive(peer) {
			delete(mon.controllerLostAt, peer)
		} else if mon.controllerLostAt[peer] == 0 {
			mon.controllerLostAt[peer] = mon.core.Now
		}
	}
}

// observeStore records when the key-value store was last reachable, and when it was last unreachable for
// core.StoreTimeout.
func (mon *Monitor) observeStore() {
	if mon.core.StoreHealthy {
		mon.storeHealthyAt = mon.core.Now
	} else if mon.core.Now.Sub(mon.storeHealthyAt) > core.StoreTimeout {
		mon.storeUnhealthyAt = mon.core.Now
	}
}

// nextRecord returns a zone's record after the current observation.
func (mon *Monitor) nextRecord(name api.Zone, previous zonehealth.Record, owned *core.OwnedPartition) zonehealth.Record {
	healthyFor := mon.core.Now.Sub(max(mon.lastUnreachableAt[name], owned.OwnedSince))
	thresholds := zonehealth.Thresholds{
		FailAfter:                 mon.core.LivenessTimeout,
		HealthyAfter:              mon.stabilizationTime(),
		RetryWithoutMachinesAfter: 2 * mon.core.Config.WorkerLease(),
	}
	return previous.Next(mon.core.WallClock, mon.observations[name], healthyFor, thresholds, mon.partitionsInside(name))
}

// writeRecord writes a zone's record on condition that the previous one is unchanged and that this
// controller still owns the writer partition. It reports whether the write was sent.
func (mon *Monitor) writeRecord(name api.Zone, previous, record zonehealth.Record, owned *core.OwnedPartition) bool {
	value, err := json.Marshal(record)
	if err != nil {
		slog.Error("zone record could not be encoded", "err", err)
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
				"machines", assessment.All, "unreachable", assessment.Silent,
				"heartbeat_age_s", float64(record.Since-max(previous.LastHeartbeat, record.LastHeartbeat))/1000,
				"partitions_inside", len(record.IsolatedPartitions))
		}
		mon.deps.Follower.LinearizableRead(finish, finish)
	})
	return true
}

// statusOK is the key-value store's status of a committed transaction.
const statusOK = 200

// stateName returns a zone's state as logged.
func stateName(s zonehealth.State) string {
	if s == zonehealth.Healthy {
		return "healthy"
	}
	return string(s)
}

// partitionsInside returns the partitions whose preferred owner is in a zone and was lost with it: the
// owner lost its membership after the zone's last heartbeat, or before this controller started.
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

// controllerZone returns the zone of a controller.
func (mon *Monitor) controllerZone(id api.ControllerID) api.Zone {
	i := slices.IndexFunc(mon.core.Config.Peers, func(p config.Peer) bool { return p.Label == id })
	if i < 0 {
		return mon.core.Config.Zone
	}
	return mon.core.Config.Peers[i].Zone
}
