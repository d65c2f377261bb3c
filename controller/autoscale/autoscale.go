// Package autoscale sizes the cluster: it asks the cloud for machines that waiting tasks
// need and deletes those that are not needed any more or have failed.
//
// It owns what is known from the cloud (the machine list, recent scale-outs and
// deletions), the capacity targets of machine types with accelerators, the observed loss
// rate of spot machines, and the queue of deletions. Every owner of a partition reads the
// machine list and deletes its own machines; only the owner of partition 0 scales out.
package autoscale

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// statusOK is the status of a cloud call that was carried out.
const statusOK = 200

// Manager sizes the cluster. The state of the machine list and of the demand samples is
// exported for tests of the whole controller; no other component changes it.
type Manager struct {
	Inventory

	// NextDemandSample is when the capacity targets are computed again.
	NextDemandSample api.Time

	core     *core.Core
	siblings Siblings

	types     typeRefresh
	targets   map[api.MachineTypeName]*capacityTarget
	spot      spotHistory
	scaleOuts scaleOutCalls
	deletions deletionQueue
}

// New returns the autoscaler of a controller. Connect must be called before it is used.
func New(shared *core.Core) *Manager {
	return &Manager{
		Inventory: newInventory(shared),
		core:      shared,
		targets:   map[api.MachineTypeName]*capacityTarget{},
		scaleOuts: scaleOutCalls{backoffUntil: map[core.MachineOffer]api.Time{}},
		deletions: newDeletionQueue(shared),
	}
}

// Connect gives the autoscaler the components that it asks.
func (as *Manager) Connect(siblings Siblings) { as.siblings = siblings }

// Reconcile does what is due: it reads the machine types and the machine list, computes
// the capacity targets and scales out. It is called at every step.
func (as *Manager) Reconcile() {
	as.refreshMachineTypes()
	if len(as.core.Partitions) == 0 || len(as.core.MachineTypes) == 0 {
		return
	}
	as.refreshMachineList()
	if as.core.Now >= as.NextDemandSample && !as.core.Overloaded() {
		as.updateCapacityTargets()
	}
	if owned := as.core.Partitions[0]; owned != nil {
		as.scaleOut(owned)
	}
}

// offerOf is the offer that a listed machine came from.
func offerOf(listed api.Instance) core.MachineOffer {
	return core.MachineOffer{Type: listed.Type, Zone: listed.Zone, Spot: listed.Spot}
}

// kindOf is the kind under which machines with accelerators are counted.
func kindOf(typ api.MachineTypeName, spot bool) message.AcceleratorKind {
	return message.AcceleratorKind{Type: typ, Spot: spot}
}
