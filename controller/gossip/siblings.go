package gossip

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/relay"
	"basaltwall/zonehealth"
)

// Siblings are the other components that an Exchange asks.
type Siblings struct {
	Log         Log
	Agents      Agents
	Inventory   Inventory
	Autoscaler  Autoscaler
	Scheduler   Scheduler
	Health      Health
	Eligibility Eligibility
	Preemptor   Preemptor
}

// Log is the component that follows the log of the key-value store, through relays or directly.
type Log interface {
	// UsesRelays reports whether most controllers read through relays.
	UsesRelays() bool
	// CurrentRelays are the controllers that are relays.
	CurrentRelays() []relay.Member
	// NextRelay is the relay that this controller reads through, or none.
	NextRelay() api.ControllerID
	// MarkRelayFailed has other relays preferred for a while.
	MarkRelayFailed(id api.ControllerID)
	// ZoneOfController is the zone that a controller is in.
	ZoneOfController(id api.ControllerID) api.Zone
}

// Agents is the component that talks with the agents on the machines.
type Agents interface {
	// MachinesOf are the known machines of a partition, in order.
	MachinesOf(p api.PartitionID) []*core.Machine
	// ExpireRedirects forgets to which controllers agents were redirected long ago.
	ExpireRedirects()
}

// Inventory is what is known from the cloud of the machines that there are.
type Inventory interface {
	// ListedMachineIDs are the machines of the last list, in order.
	ListedMachineIDs() []api.MachineID
	// ListedMachine is a machine as last listed.
	ListedMachine(id api.MachineID) (api.Instance, bool)
	// IsDeleted reports whether the cloud has confirmed a machine's deletion.
	IsDeleted(id api.MachineID) bool
	// ProvisionedNotListed are the machines that were created lately and are not listed yet.
	ProvisionedNotListed() []message.RecentScaleOut
	// NoteProvisioned takes note of a machine that was created lately.
	NoteProvisioned(id api.MachineID, typ api.MachineTypeName, zone api.Zone, spot bool)
}

// Autoscaler is the component that decides how many machines there should be.
type Autoscaler interface {
	// CountAccelerators counts a partition's accelerators by kind.
	CountAccelerators(p api.PartitionID) map[message.AcceleratorKind]message.AcceleratorCount
}

// Scheduler is the component that places tasks.
type Scheduler interface {
	// FreeCapacityOn is what is free on a machine.
	FreeCapacityOn(m *core.Machine, owned *core.OwnedPartition) api.Resources
}

// Health is the component that tells lost zones from lost machines.
type Health interface {
	// IsPreemptible reports whether a task may be stopped for work of a higher rank.
	IsPreemptible(p *core.Placement) bool
	// SilentByZone counts a partition's machines, and the silent ones, by zone.
	SilentByZone(owned *core.OwnedPartition) map[api.Zone]zonehealth.MachineCount
}

// Eligibility is the component that decides which machines get new tasks.
type Eligibility interface {
	// UnschedulableReason is why a machine gets no new tasks, empty if it does.
	UnschedulableReason(m *core.Machine, owned *core.OwnedPartition) core.UnschedulableReason
}

// Preemptor is the component that reserves machines for jobs.
type Preemptor interface {
	// ReservedFor is the job that a machine is reserved for, empty if none.
	ReservedFor(m *core.Machine) api.JobID
}
