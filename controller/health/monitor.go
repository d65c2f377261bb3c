// Package health watches the zones and the machines in them: it gathers evidence of which zones are
// unreachable, keeps the durable records of their states, decides which silent machines are deleted,
// and evacuates zones that have failed.
//
// It owns the zones' records as they were last read, the observations made of zones, the floors below
// which the work of a class or team is not preempted, and the counts of tasks on lost machines. What
// follows from the evidence is decided in package zonehealth.
package health

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/zonehealth"
)

// Monitor watches zones and machines.
type Monitor struct {
	// Floors bound how far the work of a class or team is preempted, and what it may take.
	Floors Floors

	core     *core.Core
	siblings Siblings

	records             map[api.Zone]zonehealth.Record
	recordWriteInFlight bool

	observations     map[api.Zone]zonehealth.Assessment // by all controllers together
	localObservation zonehealth.Observation             // by this controller alone
	observedAt       api.Time

	lastSilentAt     map[api.Zone]api.Time         // when it was last seen unreachable; by "": all zones at once
	controllerLostAt map[api.ControllerID]api.Time // when a controller was last seen to lose its membership
	storeHealthyAt   api.Time                      // when the state service last answered
	storeUnhealthyAt api.Time                      // when it had last not answered for a while

	evacuationPlannedAt api.Time
	floorsComputedAt    api.Time
	replacementDemand   map[api.JobID]int // tasks on lost machines for which machines are provisioned
	unreachableTasks    map[api.JobID]int // all tasks on lost machines
	expiredLeaseTasks   map[api.Zone]int  // tasks on lost machines past their leases
}

// New returns a monitor that knows no zone. Connect must be called before it is used.
func New(shared *core.Core) *Monitor {
	return &Monitor{
		core:             shared,
		records:          map[api.Zone]zonehealth.Record{},
		lastSilentAt:     map[api.Zone]api.Time{},
		controllerLostAt: map[api.ControllerID]api.Time{},
	}
}

// Connect gives the monitor the components that it asks.
func (mon *Monitor) Connect(siblings Siblings) { mon.siblings = siblings }
