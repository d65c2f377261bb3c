// Package autoscale sizes the cluster: it requests machines from the cloud for pending tasks
// and deletes machines that are no longer needed or have failed.
//
// It owns the inventory (the cloud's machine list, recent scale-outs and deletions), the
// capacity targets of machine types with accelerators, the observed loss rate of spot
// machines, and the deletion queue. Every owner of a partition reads the machine list and
// deletes its own machines; only the owner of partition 0 scales out.
package autoscale

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// statusOK is the status of a successful cloud call.
const statusOK = 200

// Manager sizes the cluster. Its exported fields are for tests of the whole controller; no
// other component changes them.
type Manager struct {
	Inventory

	// NextDemandSample is when the capacity targets are computed next.
	NextDemandSample api.Time

	core *core.Core
	deps Dependencies

	types     typeRefresh
	targets   map[api.MachineTypeName]*capacityTarget
	spot      spotHistory
	scaleOuts scaleOutCalls
	deletions deletionQueue
}

// New returns the autoscaler of a controller. Connect must be called before any other method.
func New(shared *core.Core) *Manager {
	return &Manager{
		Inventory: newInventory(shared),
		core:      shared,
		targets:   map[api.MachineTypeName]*capacityTarget{},
		scaleOuts: scaleOutCalls{backoffUntil: map[core.MachineOffer]api.Time{}},
		deletions: newDeletionQueue(shared),
	}
}

// Connect sets the components that the autoscaler depends on.
func (as *Manager) Connect(deps Dependencies) { as.deps = deps }

// Reconcile reads the machine types and the machine list, computes the capacity targets and
// scales out, each when it is due. It is called at every step.
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

// offerOf returns the offer under which a listed machine was requested.
func offerOf(listed api.Instance) core.MachineOffer {
	return core.MachineOffer{Type: listed.Type, Zone: listed.Zone, Spot: listed.Spot}
}

// kindOf returns the kind under which machines with accelerators are counted.
func kindOf(typ api.MachineTypeName, spot bool) message.AcceleratorKind {
	return message.AcceleratorKind{Type: typ, Spot: spot}
}
