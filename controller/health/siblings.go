// What the monitor needs of other components.

package health

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// Siblings are the other components that the monitor asks.
type Siblings struct {
	Agents     Agents
	Autoscaler Autoscaler
	Follower   Follower
	Gossiper   Gossiper
	Preemptor  Preemptor
	Priorities Priorities
	Scheduler  Scheduler
	Tenancy    Tenancy
}

// Agents is what the monitor needs of the agent manager.
type Agents interface {
	// MachinesOf lists a partition's known machines in order.
	MachinesOf(api.PartitionID) []*core.Machine
}

// Autoscaler is what the monitor needs of the autoscaler: the cloud's list of machines and deletions.
type Autoscaler interface {
	// DeletionsBackingOff reports whether deletions failed and the next is not due yet.
	DeletionsBackingOff() bool
	// IsListedRunning reports whether the cloud's list has the machine as running.
	IsListedRunning(*core.Machine) bool
	// ListedAt is when the cloud last listed the machines, 0 if it never did.
	ListedAt() api.Time
	// ListedMachine is a machine as the cloud last listed it.
	ListedMachine(api.MachineID) (api.Instance, bool)
	// ListedMachineIDs are the machines that the cloud listed, in order.
	ListedMachineIDs() []api.MachineID
	// PendingDeletionCount is how many machines wait for their deletion.
	PendingDeletionCount() int
	// ScheduleDeletion has the cloud delete a machine.
	ScheduleDeletion(m *core.Machine, owned *core.OwnedPartition, reason core.DeletionReason)
}

// Follower is what the monitor needs of the component that follows the state service's log.
type Follower interface {
	// LinearizableRead calls back once everything durable at this moment is applied, or cannot be read.
	LinearizableRead(onRead, onFailure func())
}

// Gossiper is what the monitor needs of the exchange with other controllers.
type Gossiper interface {
	// EachFreeCapacity visits the free capacity of all partitions.
	EachFreeCapacity(visit func(p api.PartitionID, class message.MachineClass, capacity message.FreeCapacity))
	// PartitionStatusesOf is what a peer has lately told of the partitions that it owns.
	PartitionStatusesOf(api.ControllerID) []message.PartitionStatus
	// Peers are the other controllers, in order.
	Peers() []api.ControllerID
	// PreemptibleCapacity is what would be free on a machine if all work of low ranks were preempted.
	PreemptibleCapacity(*core.Machine, *core.OwnedPartition) api.Resources
}

// Preemptor is what the monitor needs of the component that reserves machines for jobs.
type Preemptor interface {
	// ReservedFor is the job that a machine is reserved for, "" for none.
	ReservedFor(*core.Machine) api.JobID
}

// Priorities is what the monitor needs of the operators' priority rules.
type Priorities interface {
	// FairShareFloor is the share of its fair part that rules leave a job's class, 0 where none says.
	FairShareFloor(*api.JobSpec) float64
	// PriorityBoost is by how much rules put a job above its priority.
	PriorityBoost(*api.JobSpec) float64
}

// Scheduler is what the monitor needs of the component that plans rounds.
type Scheduler interface {
	// FreeCapacityOn is what is free on a machine.
	FreeCapacityOn(*core.Machine, *core.OwnedPartition) api.Resources
	// IsSchedulable reports whether tasks may be placed on the machine.
	IsSchedulable(*core.Machine, *core.OwnedPartition) bool
	// MachineZone is the zone of a machine, "" if it is not known.
	MachineZone(api.MachineID) api.Zone
}

// Tenancy is what the monitor needs of the tenants' administration.
type Tenancy interface {
	// StartsBlocked reports whether nothing of a job may start, as its tenant is suspended.
	StartsBlocked(*core.Job) bool
}
