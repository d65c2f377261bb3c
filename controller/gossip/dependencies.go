package gossip

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/relay"
	"basaltwall/zonehealth"
)

// Dependencies holds the other components that an Exchange calls.
type Dependencies struct {
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
	// UsesRelays reports whether relays are in use.
	UsesRelays() bool
	// CurrentRelays returns the controllers that are relays.
	CurrentRelays() []relay.Member
	// NextRelay returns the relay that this controller reads through, empty if none.
	NextRelay() api.ControllerID
	// MarkRelayFailed records that a relay failed, so that other relays are used for a while.
	MarkRelayFailed(id api.ControllerID)
	// ZoneOfController returns the zone of a controller.
	ZoneOfController(id api.ControllerID) api.Zone
}

// Agents is the component that manages machines through their agents.
type Agents interface {
	// MachinesOf returns the known machines of a partition, ordered by ID.
	MachinesOf(p api.PartitionID) []*core.Machine
	// ExpireRedirects removes expired redirects of heartbeats.
	ExpireRedirects()
}

// Inventory is the cloud's list of machines.
type Inventory interface {
	// ListedMachineIDs returns the machines that the cloud last listed, ordered by ID.
	ListedMachineIDs() []api.MachineID
	// ListedMachine returns a machine as last listed by the cloud.
	ListedMachine(id api.MachineID) (api.Instance, bool)
	// IsDeleted reports whether the cloud has confirmed a machine's deletion.
	IsDeleted(id api.MachineID) bool
	// ProvisionedNotListed returns the recently created machines that are not listed yet.
	ProvisionedNotListed() []message.RecentScaleOut
	// RecordProvisioned records a recently created machine.
	RecordProvisioned(id api.MachineID, typ api.MachineTypeName, zone api.Zone, spot bool)
}

// Autoscaler is the component that scales the number of machines.
type Autoscaler interface {
	// CountAccelerators counts a partition's accelerators by kind.
	CountAccelerators(p api.PartitionID) map[message.AcceleratorKind]message.AcceleratorCount
}

// Scheduler is the component that places tasks.
type Scheduler interface {
	// FreeCapacityOn returns the free capacity of a machine.
	FreeCapacityOn(m *core.Machine, owned *core.OwnedPartition) api.Resources
}

// Health is the component that monitors zones and machines.
type Health interface {
	// IsPreemptible reports whether a task may be preempted by work of a higher rank.
	IsPreemptible(p *core.Placement) bool
	// CountMachinesByZone counts a partition's machines, and the unreachable ones, by zone.
	CountMachinesByZone(owned *core.OwnedPartition) map[api.Zone]zonehealth.MachineCount
}

// Eligibility is the component that decides which machines accept new tasks.
type Eligibility interface {
	// UnschedulableReason returns the reason why a machine accepts no new tasks, empty if it does.
	UnschedulableReason(m *core.Machine, owned *core.OwnedPartition) core.UnschedulableReason
}

// Preemptor is the component that reserves machines for jobs.
type Preemptor interface {
	// ReservedFor returns the job that a machine is reserved for, empty if none.
	ReservedFor(m *core.Machine) api.JobID
}
