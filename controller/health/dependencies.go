// Interfaces of the components that the monitor calls.

package health

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// Dependencies holds the other components that the monitor calls.
type Dependencies struct {
	Agents     Agents
	Autoscaler Autoscaler
	Follower   Follower
	Gossiper   Gossiper
	Preemptor  Preemptor
	Priorities Priorities
	Scheduler  Scheduler
	Tenancy    Tenancy
}

// Agents is the component that manages machines through their agents.
type Agents interface {
	// MachinesOf returns the known machines of a partition, ordered by ID.
	MachinesOf(api.PartitionID) []*core.Machine
}

// Autoscaler is the part of the autoscaler that the monitor calls: the cloud's list of machines, and
// deletions.
type Autoscaler interface {
	// DeletionsBackingOff reports whether deletions failed and the next attempt is not due yet.
	DeletionsBackingOff() bool
	// IsListedRunning reports whether the cloud lists the machine as running.
	IsListedRunning(*core.Machine) bool
	// ListedAt returns the time of the cloud's latest list of machines, 0 if there is none.
	ListedAt() api.Time
	// ListedMachine returns a machine as last listed by the cloud.
	ListedMachine(api.MachineID) (api.Instance, bool)
	// ListedMachineIDs returns the machines that the cloud last listed, ordered by ID.
	ListedMachineIDs() []api.MachineID
	// PendingDeletionCount returns the number of machines with a pending deletion.
	PendingDeletionCount() int
	// ScheduleDeletion schedules the deletion of a machine by the cloud.
	ScheduleDeletion(m *core.Machine, owned *core.OwnedPartition, reason core.DeletionReason)
}

// Follower is the component that follows the log of the key-value store.
type Follower interface {
	// LinearizableRead calls onRead once all changes that are durable at the time of the call are
	// applied, or onFailure if they can't be read.
	LinearizableRead(onRead, onFailure func())
}

// Gossiper is the component that exchanges partition status with other controllers.
type Gossiper interface {
	// EachFreeCapacity calls visit with the free capacity of the machines of all partitions.
	EachFreeCapacity(visit func(p api.PartitionID, class message.MachineClass, capacity message.FreeCapacity))
	// PartitionStatusesOf returns the recent statuses of the partitions that a peer owns.
	PartitionStatusesOf(api.ControllerID) []message.PartitionStatus
	// Peers returns the other controllers, ordered by ID.
	Peers() []api.ControllerID
	// PreemptibleCapacity returns a machine's free capacity if all preemptible tasks were preempted.
	PreemptibleCapacity(*core.Machine, *core.OwnedPartition) api.Resources
}

// Preemptor is the component that reserves machines for jobs.
type Preemptor interface {
	// ReservedFor returns the job that a machine is reserved for, "" if none.
	ReservedFor(*core.Machine) api.JobID
}

// Priorities is the component that applies the operators' priority rules.
type Priorities interface {
	// FairShareFloor returns the floor that rules set for a job's class, as a fraction of its fair
	// share; 0 if no rule sets one.
	FairShareFloor(*api.JobSpec) float64
	// PriorityBoost returns the number of ranks by which rules raise a job's priority; negative if they
	// lower it.
	PriorityBoost(*api.JobSpec) float64
}

// Scheduler is the component that plans scheduling rounds.
type Scheduler interface {
	// FreeCapacityOn returns the free capacity of a machine.
	FreeCapacityOn(*core.Machine, *core.OwnedPartition) api.Resources
	// IsSchedulable reports whether tasks may be placed on the machine.
	IsSchedulable(*core.Machine, *core.OwnedPartition) bool
	// MachineZone returns the zone of a machine, "" if it is unknown.
	MachineZone(api.MachineID) api.Zone
}

// Tenancy is the component that administers tenants.
type Tenancy interface {
	// StartsBlocked reports whether no task of a job may start because its tenant is suspended.
	StartsBlocked(*core.Job) bool
}
