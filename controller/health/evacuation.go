// Evacuation of machines in failed zones. The input of the plan is built in evacuationinput.go.

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

// evacuationInterval is the time between two evacuation plans.
const evacuationInterval = 500 * time.Millisecond

// EvacuateZones deletes machines of failed zones according to an evacuation plan once their leases have
// expired. Their tasks have ended by then unless a controller inside the zone renews the leases. It also
// computes the capacity floors.
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
	if mon.controllerIsolated() {
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

// anyZoneFailed reports whether a zone is recorded as failed.
func (mon *Monitor) anyZoneFailed() bool {
	for _, r := range mon.records {
		if r.State == zonehealth.Failed {
			return true
		}
	}
	return false
}

// evacuatePartition plans the evacuation of a partition's lost machines and schedules their deletion.
// No plan is made while deletions are not possible, since machines may recover until then.
func (mon *Monitor) evacuatePartition(owned *core.OwnedPartition) {
	maxMachines := core.MaxDeletionBatch - mon.deps.Autoscaler.PendingDeletionCount()
	if maxMachines <= 0 || mon.deps.Autoscaler.DeletionsBackingOff() {
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
		mon.deps.Autoscaler.ScheduleDeletion(m, owned, core.DeletionReasonZoneLost)
	}
}

// lostMachines returns a partition's machines in failed zones whose leases have expired, or will expire
// before their deletion.
func (mon *Monitor) lostMachines(owned *core.OwnedPartition) map[api.MachineID]*core.Machine {
	lost := map[api.MachineID]*core.Machine{}
	for _, m := range mon.deps.Agents.MachinesOf(owned.ID) {
		if m.Deleting || mon.records[m.Zone].State != zonehealth.Failed || mon.core.MachineTypes[m.MachineType] == nil {
			continue
		}
		if mon.unreachableDuration(m, owned)+evacuationInterval >= mon.core.Config.WorkerLease() {
			lost[m.ID] = m
		}
	}
	return lost
}
