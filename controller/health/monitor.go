// Package health monitors zones and their machines. It detects unreachable zones, writes the durable
// records of their states, deletes unreachable machines and evacuates failed zones.
//
// It owns the zones' records as last read, the observations of zones, the floors below which tasks of a
// class or team are not preempted, and the counts of tasks on lost machines. Decisions based on these
// are made in package zonehealth.
package health

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/zonehealth"
)

// Monitor monitors zones and machines.
type Monitor struct {
	// Floors limits the preemption of the tasks of a class or team, and the capacity that they may use.
	Floors Floors

	core *core.Core
	deps Dependencies

	records             map[api.Zone]zonehealth.Record
	recordWriteInFlight bool

	observations     map[api.Zone]zonehealth.Assessment // combined from all controllers
	localObservation zonehealth.Observation             // of this controller alone
	observedAt       api.Time

	lastUnreachableAt map[api.Zone]api.Time         // latest time at which a zone, or allZones, was unreachable
	controllerLostAt  map[api.ControllerID]api.Time // time at which a peer was found to have lost its membership
	storeHealthyAt    api.Time                      // latest time at which the key-value store was reachable
	storeUnhealthyAt  api.Time                      // latest time at which it had been unreachable for core.StoreTimeout

	evacuationPlannedAt api.Time
	floorsComputedAt    api.Time
	replacementDemand   map[api.JobID]int // tasks on lost machines that need replacement machines
	unreachableTasks    map[api.JobID]int // all tasks on lost machines
	expiredLeaseTasks   map[api.Zone]int  // tasks on lost machines with expired leases
}

// New returns a monitor without zone records. Connect must be called before it is used.
func New(shared *core.Core) *Monitor {
	return &Monitor{
		core:              shared,
		records:           map[api.Zone]zonehealth.Record{},
		lastUnreachableAt: map[api.Zone]api.Time{},
		controllerLostAt:  map[api.ControllerID]api.Time{},
	}
}

// Connect sets the components that the monitor calls.
func (mon *Monitor) Connect(deps Dependencies) { mon.deps = deps }
