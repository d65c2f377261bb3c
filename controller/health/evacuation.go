// When the machines of failed zones are evacuated; evacuationinput.go gathers what the plan looks at.

package health

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/zonehealth"
)

// evacuationInterval is how often the plan is made anew.
const evacuationInterval = 500 * time.Millisecond

// EvacuateZones deletes machines of failed zones by a plan, once their leases are over: by then their
// tasks are lost unless a controller inside keeps them. It also computes the floors that hold meanwhile.
func (mon *Monitor) EvacuateZones() {
	if mon.core.Now.Sub(mon.evacuationPlannedAt) < evacuationInterval {
		return
	}
	mon.evacuationPlannedAt = mon.core.Now
	capacityReduced := mon.AnyZoneFailedOrRecovering()
	mon.replacementDemand, mon.unreachableTasks, mon.expiredLeaseTasks = nil, nil, map[api.Zone]int{}
	if !capacityReduced && mon.core.Now.Sub(mon.floorsComputedAt) < floorInterval {
		return
	}
	mon.Floors, mon.floorsComputedAt = Floors{}, mon.core.Now
	if !capacityReduced {
		mon.computeFloors(false)
		return
	}
	if mon.inboundCutOff() {
		return
	}
	mon.countUnreachableTasks()
	mon.computeFloors(true)
	if !mon.anyZoneFailed() {
		return
	}
	for _, p := range slices.Sorted(maps.Keys(mon.core.Partitions)) {
		mon.evacuatePartition(mon.core.Partitions[p])
	}
}

// anyZoneFailed reports whether some zone is recorded as failed.
func (mon *Monitor) anyZoneFailed() bool {
	for _, r := range mon.records {
		if r.State == zonehealth.Failed {
			return true
		}
	}
	return false
}

// evacuatePartition has the machines of a partition deleted that a plan evacuates. While deletions are
// not possible nothing is decided: until then a machine may come back.
func (mon *Monitor) evacuatePartition(owned *core.OwnedPartition) {
	maxMachines := core.MaxDeletionBatch - mon.siblings.Autoscaler.PendingDeletionCount()
	if maxMachines <= 0 || mon.siblings.Autoscaler.DeletionsBackingOff() {
		return
	}
	lost := mon.lostMachines(owned)
	if len(lost) == 0 {
		return
	}
	for _, evacuation := range zonehealth.PlanEvacuation(mon.evacuationInput(owned, lost, maxMachines)) {
		m := lost[evacuation.Machine]
		slog.Debug("machine evacuated with its zone", "machine", m.ID, "zone", m.Zone,
			"tasks", len(mon.core.State.PlacementsOn(m.ID)), "placeable", len(evacuation.Placements))
		mon.siblings.Autoscaler.ScheduleDeletion(m, owned, core.DeletionReasonZoneLost)
	}
}

// lostMachines are a partition's machines in failed zones whose leases are over, or will be before their
// deletion.
func (mon *Monitor) lostMachines(owned *core.OwnedPartition) map[api.MachineID]*core.Machine {
	lost := map[api.MachineID]*core.Machine{}
	for _, m := range mon.siblings.Agents.MachinesOf(owned.ID) {
		if m.Deleting || mon.records[m.Zone].State != zonehealth.Failed || mon.core.MachineTypes[m.MachineType] == nil {
			continue
		}
		if mon.silentFor(m, owned)+evacuationInterval >= mon.core.Config.WorkerLease() {
			lost[m.ID] = m
		}
	}
	return lost
}
