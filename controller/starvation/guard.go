// Package starvation keeps jobs from waiting without bound. A job that has waited for long goes
// before others, and machines and quota are reserved for it until it can start; which machines,
// and from when on, is decided by package backfill.
//
// It owns the profile of usual demands for accelerators. Reservations are in core.Machine and,
// for the partition's next owner, in the partition's record.
package starvation

// This file has the component and what it asks of others.

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/sched"
)

// Guard reserves machines and quota for the jobs that have waited longest.
type Guard struct {
	core     *core.Core
	siblings Siblings

	demandProfile demandProfile
}

// Siblings are the other components that the guard asks.
type Siblings struct {
	Agents     Agents
	Autoscaler Autoscaler
	Balancer   Balancer
	Gossip     Gossip
	Pools      Pools
	Preemptor  Preemptor
	Scheduler  Scheduler
	Tenancy    Tenancy
}

// Agents is what the guard needs of the agent manager.
type Agents interface {
	// MachinesOf are a partition's machines, in order.
	MachinesOf(api.PartitionID) []*core.Machine
	// EnsureMachine is the machine of that name, which is added if it was not known.
	EnsureMachine(api.MachineID) *core.Machine
	// LoanKnownAt is when this controller learnt of a machine's latest loan.
	LoanKnownAt(api.MachineID) api.Time
}

// Autoscaler is what the guard needs of the autoscaler.
type Autoscaler interface {
	// CheapestType is the cheapest machine type that a job's tasks fit; nil if there is none.
	CheapestType(*api.JobSpec) *api.MachineType
}

// Balancer is what the guard needs of the balancer.
type Balancer interface {
	// HasReservationFor reports whether a partition gathers machines for a job.
	HasReservationFor(*core.OwnedPartition, api.JobID) bool
}

// Gossip is what the guard needs of the gossiper.
type Gossip interface {
	// OtherPartitionStatuses are all partitions but this one, whoever owns them.
	OtherPartitionStatuses(*core.OwnedPartition) []message.PartitionStatus
	// PeerPartitionStatuses are the partitions of other controllers, as these last described them.
	PeerPartitionStatuses() []message.PartitionStatus
}

// Pools is what the guard needs of the pool manager.
type Pools interface {
	// PendingReasonPool names the pool that a job waits for in a partition; empty if there is none.
	PendingReasonPool(*core.Job, api.PartitionID) string
}

// Preemptor is what the guard needs of the preemptor.
type Preemptor interface {
	// ReservedFor is the job that a machine is reserved for; empty if there is none.
	ReservedFor(*core.Machine) api.JobID
}

// Scheduler is what the guard needs of the scheduler.
type Scheduler interface {
	// IsSchedulable reports whether a machine may get new tasks.
	IsSchedulable(*core.Machine, *core.OwnedPartition) bool
	FreeCapacityOn(*core.Machine, *core.OwnedPartition) api.Resources
	// PendingImageFetches are the images that a machine is about to fetch.
	PendingImageFetches(*core.Machine) []sched.ImageFetch
	// StopTask has a task stopped and started again elsewhere.
	StopTask(*core.Placement)
	// TaskZones counts a job's tasks by zone; known is false if a zone is not known.
	TaskZones(*core.Job) (zones map[api.Zone]int, known bool)
}

// Tenancy is what the guard needs of the tenants' service.
type Tenancy interface {
	// StartsBlocked reports whether a job may not start tasks now, whatever capacity is free.
	StartsBlocked(*core.Job) bool
}

// New returns a guard; Connect is to be called before use.
func New(k *core.Core) *Guard { return &Guard{core: k} }

// Connect names the components that the guard asks.
func (g *Guard) Connect(s Siblings) { g.siblings = s }
