package ordering

// This file tracks the machine types that are short of capacity: partitions observe them, and the owner
// of partition 0 records them for all controllers.

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/priority"
)

// KeyShortage is the key of the record of machine types that are short of capacity, a priority.Shortage.
const KeyShortage = clusterstate.Root + "short"

// shortageWriterPartition is the partition whose owner writes the shortage record.
const shortageWriterPartition = api.PartitionID(0)

// shortageState is the recorded and observed shortage of machine types.
type shortageState struct {
	recorded      priority.Shortage // from the state service
	tracker       priority.ShortageTracker
	writeInFlight bool
	checkedAt     api.Time
}

// ShortageRecordKind resets the recorded shortage and returns the kind of record that sets it when the
// cluster state is read.
func (po *Priorities) ShortageRecordKind() clusterstate.RecordKind {
	po.shortage.recorded = priority.Shortage{}
	return clusterstate.SingleKey(KeyShortage, &po.shortage.recorded)
}

// RecordedShortage returns the shortage as recorded in the state service.
func (po *Priorities) RecordedShortage() priority.Shortage { return po.shortage.recorded }

// isCapacityShort reports whether all machine types that a job may use are short of capacity.
func (po *Priorities) isCapacityShort(s *api.JobSpec) bool {
	recorded := po.shortage.recorded
	if len(recorded.Types) == 0 {
		return false
	}
	eligible := po.EligibleTypes(s)
	return len(eligible) > 0 && !slices.ContainsFunc(eligible, func(t api.MachineTypeName) bool { return !recorded.Includes(t) })
}

// EligibleTypes returns the machine types that a job's tasks may use and fit, sorted by name.
func (po *Priorities) EligibleTypes(s *api.JobSpec) []api.MachineTypeName {
	var out []api.MachineTypeName
	demand, cpuOnly := s.Demand(), po.core.IsCPUOnly(s)
	for _, name := range slices.Sorted(maps.Keys(po.core.MachineTypes)) {
		t := po.core.MachineTypes[name]
		allowed := len(s.Types) == 0 || slices.Contains(s.Types, name)
		if allowed && demand.Fits(t.Capacity()) && !(cpuOnly && t.GPUs > 0) {
			out = append(out, name)
		}
	}
	return out
}

// ObserveShortage records that a job's pending tasks find no free capacity in a partition.
func (po *Priorities) ObserveShortage(owned *core.OwnedPartition, s *api.JobSpec) {
	if !po.HasShortageRule() {
		return
	}
	if owned.ShortTypes == nil {
		owned.ShortTypes = map[api.MachineTypeName]bool{}
	}
	for _, name := range po.EligibleTypes(s) {
		owned.ShortTypes[name] = true
	}
}

// HasShortageRule reports whether any rule depends on a shortage of capacity. Without such a rule
// shortages are not recorded.
func (po *Priorities) HasShortageRule() bool {
	return slices.ContainsFunc(po.core.Settings.Priority, func(r priority.Rule) bool { return r.Condition == priority.CapacityShort })
}

// UpdateShortage tracks the types that are short of capacity and, on the owner of partition 0, writes
// the record when they change. A controller that can't read the record uses the last one it has read.
func (po *Priorities) UpdateShortage() {
	state := &po.shortage
	if !po.HasShortageRule() || po.core.Now.Sub(state.checkedAt) < priority.ShortageOnset/4 {
		return
	}
	state.checkedAt = po.core.Now
	state.tracker.Observe(po.observedShortTypes(), po.core.Now)
	owned := po.core.Partitions[shortageWriterPartition]
	if owned == nil || state.writeInFlight {
		return
	}
	next := state.tracker.Next(state.recorded, po.core.Now, owned.OwnedSince, po.core.WallClock)
	if !next.Equal(state.recorded) {
		po.writeShortage(owned, next)
	}
}

// observedShortTypes returns the types without free capacity for pending tasks in any partition.
func (po *Priorities) observedShortTypes() map[api.MachineTypeName]bool {
	short := map[api.MachineTypeName]bool{}
	for _, owned := range po.core.Partitions {
		for name := range owned.ShortTypes {
			short[name] = true
		}
	}
	for _, status := range po.deps.Gossip.PeerPartitionStatuses() {
		for _, name := range status.Short {
			short[name] = true
		}
	}
	return short
}

// writeShortage writes the record, on condition that this controller still owns the writer partition and
// that the record has not changed.
func (po *Priorities) writeShortage(owned *core.OwnedPartition, next priority.Shortage) {
	value, err := json.Marshal(next)
	if err != nil {
		slog.Error("failed to encode shortage record", "err", err)
		return
	}
	state := &po.shortage
	state.writeInFlight = true
	txn := api.Txn{
		If:     []api.Condition{owned.OwnershipCondition(), po.core.State.VersionCondition(KeyShortage)},
		Writes: []api.Write{{Put: KeyShortage, Value: value}},
	}
	settle := func() { state.writeInFlight = false }
	po.core.CallStoreTxn(txn, func(response message.StoreResponse) {
		if response.Status == 200 {
			slog.Info("capacity shortage changed", "types", next.Types, "term", owned.Term)
		}
		po.deps.Log.LinearizableRead(settle, settle)
	})
}
