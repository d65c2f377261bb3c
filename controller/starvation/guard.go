// Package starvation bounds the waiting time of jobs. Jobs that have waited too long go before
// others, and machines and quota are reserved for them until they can start. Package backfill
// selects the machines and the time from which they are reserved.
//
// It owns the profile of typical demands for accelerators. Reservations are in core.Machine and,
// for the partition's next owner, in the partition's record.
package starvation

// This file defines the component and the interfaces of the components that it uses.

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/sched"
)

// Guard reserves machines and quota for the jobs that have waited longest.
type Guard struct {
	core *core.Core
	deps Dependencies

	demandProfile demandProfile
}

// Dependencies contains the other components that the guard uses.
type Dependencies struct {
	Agents     Agents
	Autoscaler Autoscaler
	Balancer   Balancer
	Gossip     Gossip
	Pools      Pools
	Preemptor  Preemptor
	Scheduler  Scheduler
	Tenancy    Tenancy
}

// Agents manages machines and their agents.
type Agents interface {
	// MachinesOf returns a partition's machines, in order.
	MachinesOf(api.PartitionID) []*core.Machine
	// EnsureMachine returns a machine, which is added if it was not known.
	EnsureMachine(api.MachineID) *core.Machine
	// LoanKnownAt returns when this controller learned of a machine's latest loan.
	LoanKnownAt(api.MachineID) api.Time
}

// Autoscaler requests and deletes machines.
type Autoscaler interface {
	// CheapestType returns the cheapest machine type that fits a job's tasks; nil if there is none.
	CheapestType(*api.JobSpec) *api.MachineType
}

// Balancer moves jobs, quota and machines between partitions.
type Balancer interface {
	// HasReservationFor reports whether a partition reserves machines for a job.
	HasReservationFor(*core.OwnedPartition, api.JobID) bool
}

// Gossip exchanges the statuses of partitions with other controllers.
type Gossip interface {
	// OtherPartitionStatuses returns the statuses of all other partitions, whoever owns them.
	OtherPartitionStatuses(*core.OwnedPartition) []message.PartitionStatus
	// PeerPartitionStatuses returns the statuses of other controllers' partitions as last received.
	PeerPartitionStatuses() []message.PartitionStatus
}

// Pools allocates pool units.
type Pools interface {
	// PoolPendingReason returns the reason why a pool keeps a job from starting in a partition; empty
	// if none does.
	PoolPendingReason(*core.Job, api.PartitionID) string
}

// Preemptor preempts tasks and reserves machines for the jobs that need them.
type Preemptor interface {
	// ReservedFor returns the job that a machine is reserved for; empty if there is none.
	ReservedFor(*core.Machine) api.JobID
}

// Scheduler runs the rounds of partitions.
type Scheduler interface {
	// IsSchedulable reports whether a machine may get new tasks.
	IsSchedulable(*core.Machine, *core.OwnedPartition) bool
	FreeCapacityOn(*core.Machine, *core.OwnedPartition) api.Resources
	// PendingImageFetches returns the images that a machine has still to fetch.
	PendingImageFetches(*core.Machine) []sched.ImageFetch
	// StopTask requests the stop of a task, which becomes pending again.
	StopTask(*core.Placement)
	// TaskZones counts a job's tasks by zone; known is false if a zone is not known.
	TaskZones(*core.Job) (zones map[api.Zone]int, known bool)
}

// Tenancy serves tenants.
type Tenancy interface {
	// StartsBlocked reports whether a job may not start tasks now, whatever capacity is free.
	StartsBlocked(*core.Job) bool
}

// New returns a guard; Connect must be called before any other method.
func New(k *core.Core) *Guard { return &Guard{core: k} }

// Connect sets the other components that the guard uses.
func (g *Guard) Connect(s Dependencies) { g.deps = s }
