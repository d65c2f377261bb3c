// This file holds the inventory of machines as known from the cloud.

package autoscale

import (
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

const (
	deletedRetention     = 5 * time.Minute // for confirmed deletions
	provisionedRetention = time.Minute     // for created machines; the list may take this long to show one
)

// Inventory holds the machines that a controller knows from the cloud.
type Inventory struct {
	// Listed are the machines of the last complete list.
	Listed map[api.MachineID]api.Instance
	// Provisioned are recently created machines that are not listed yet.
	Provisioned map[api.MachineID]ProvisionedMachine

	core        *core.Core
	listedOrder []api.MachineID
	listedAt    api.Time                       // time of the last complete list
	deletedAt   map[api.MachineID]api.Time     // time of confirmed deletions
	partialList map[api.MachineID]api.Instance // machines of the pages read so far
	listing     bool
	nextListAt  api.Time
}

// ProvisionedMachine is a machine that the cloud has created.
type ProvisionedMachine struct {
	Offer         core.MachineOffer
	ProvisionedAt api.Time
}

func newInventory(shared *core.Core) Inventory {
	return Inventory{
		Listed:      map[api.MachineID]api.Instance{},
		Provisioned: map[api.MachineID]ProvisionedMachine{},
		core:        shared,
		deletedAt:   map[api.MachineID]api.Time{},
	}
}

// IsDeleted reports whether the cloud has confirmed a machine's deletion.
func (inv *Inventory) IsDeleted(id api.MachineID) bool { return inv.deletedAt[id] != 0 }

// IsListedRunning reports whether the list shows a machine as running.
func (inv *Inventory) IsListedRunning(m *core.Machine) bool {
	return inv.Listed[m.ID].State == api.MachineRunning
}

// ListedMachine returns a machine's entry in the cloud's list, and false if it is not listed.
func (inv *Inventory) ListedMachine(id api.MachineID) (api.Instance, bool) {
	listed, ok := inv.Listed[id]
	return listed, ok
}

// ListedZone returns a machine's zone in the cloud's list, or "" if it is not listed.
func (inv *Inventory) ListedZone(id api.MachineID) api.Zone { return inv.Listed[id].Zone }

// ListedMachineIDs returns the machines of the cloud's list, sorted by ID.
func (inv *Inventory) ListedMachineIDs() []api.MachineID { return inv.listedOrder }

// ListedAt returns when the last complete list was read, or 0.
func (inv *Inventory) ListedAt() api.Time { return inv.listedAt }

// ProvisionedNotListed returns the provisioned machines that the list does not show yet.
func (inv *Inventory) ProvisionedNotListed() []message.RecentScaleOut {
	byOffer := map[core.MachineOffer][]api.MachineID{}
	for _, id := range slices.Sorted(maps.Keys(inv.Provisioned)) {
		if inv.awaitsListing(id) {
			offer := inv.Provisioned[id].Offer
			byOffer[offer] = append(byOffer[offer], id)
		}
	}
	var out []message.RecentScaleOut
	for _, offer := range slices.SortedFunc(maps.Keys(byOffer), compareOffers) {
		out = append(out, message.RecentScaleOut{Type: offer.Type, Zone: offer.Zone, Spot: offer.Spot, Machines: byOffer[offer]})
	}
	return out
}

// awaitsListing reports whether a machine is neither listed nor deleted.
func (inv *Inventory) awaitsListing(id api.MachineID) bool {
	_, listed := inv.Listed[id]
	return !listed && !inv.IsDeleted(id)
}

// RecordProvisioned records a machine that another controller has provisioned.
func (inv *Inventory) RecordProvisioned(id api.MachineID, typ api.MachineTypeName, zone api.Zone, spot bool) {
	if _, known := inv.Provisioned[id]; !known {
		inv.noteProvisioned(id, core.MachineOffer{Type: typ, Zone: zone, Spot: spot})
	}
}

func (inv *Inventory) noteProvisioned(id api.MachineID, offer core.MachineOffer) {
	inv.Provisioned[id] = ProvisionedMachine{Offer: offer, ProvisionedAt: inv.core.Now}
}

// adoptList replaces the machine list by the pages that were read.
func (inv *Inventory) adoptList() {
	inv.Listed, inv.listing, inv.listedAt = inv.partialList, false, inv.core.Now
	inv.listedOrder = slices.Sorted(maps.Keys(inv.Listed))
}

// expire removes outdated records of deletions and of provisioned machines.
func (inv *Inventory) expire() {
	for id, at := range inv.deletedAt {
		if _, listed := inv.Listed[id]; !listed && inv.core.Now.Sub(at) > deletedRetention {
			delete(inv.deletedAt, id)
		}
	}
	for id, provisioned := range inv.Provisioned {
		if _, listed := inv.Listed[id]; listed || inv.core.Now.Sub(provisioned.ProvisionedAt) > provisionedRetention {
			delete(inv.Provisioned, id)
		}
	}
}
