// Package balance evens out what the partitions of the cluster have: it moves pending tasks to
// partitions with free capacity, gives away quota that a partition does not use, and lends
// machines, empty or together with their tasks, to partitions whose jobs lack them.
//
// It owns no state. Records of loans are in the cluster state, and what is in flight for a
// partition is in core.OwnedPartition.
package balance

// This file has the component and what it asks of others.

import (
	"basaltwall/api"
	"basaltwall/backfill"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/sched"
)

// Balancer moves pending tasks, quota and machines between partitions.
type Balancer struct {
	core     *core.Core
	siblings Siblings
}

// Siblings are the other components that the balancer asks.
type Siblings struct {
	Agents     Agents
	Autoscaler Autoscaler
	Backfiller Backfiller
	Capacity   Capacity
	Gossip     Gossip
	Log        Log
	Membership Membership
	Preemptor  Preemptor
	Priorities Priorities
	Scheduler  Scheduler
	Tenancy    Tenancy
}

// Agents is what the balancer needs of the agent manager.
type Agents interface {
	// MachinesOf are a partition's machines, in order.
	MachinesOf(api.PartitionID) []*core.Machine
	// EnsureMachine is the machine of that name, which is added if it was not known.
	EnsureMachine(api.MachineID) *core.Machine
	// ContactNow has a machine called at once.
	ContactNow(*core.Machine)
}

// Autoscaler is what the balancer needs of the autoscaler.
type Autoscaler interface {
	// ListedMachine is a machine as the cloud last listed it.
	ListedMachine(api.MachineID) (api.Instance, bool)
}

// Backfiller is what the balancer needs of the component that reserves machines for the jobs that
// have waited longest.
type Backfiller interface {
	// WaitStage is how far a job has aged in a partition.
	WaitStage(*core.Job, api.PartitionID) sched.AgingStage
	// ReservableMachines are the candidates that may be reserved for a job, and what is and will be
	// free on each.
	ReservableMachines(*core.OwnedPartition, *api.JobSpec, []*core.Machine) ([]*core.Machine, []backfill.Machine)
	// Reserve reserves a machine for a job of that priority rank and stage.
	Reserve(owned *core.OwnedPartition, m *core.Machine, jobID api.JobID, rank int, stage sched.AgingStage)
}

// Capacity is what the balancer needs of the component that counts free capacity by partition.
type Capacity interface {
	// FreeSlotsByPartition counts the tasks of a job that could start at once.
	FreeSlotsByPartition(*api.JobSpec) []int
	// TotalSlotsByPartition counts the tasks of a job that fit the machines while these are empty.
	TotalSlotsByPartition(*api.JobSpec) []int
	// PendingTasksIn counts the pending tasks of a partition that go before a job's, or with them.
	PendingTasksIn(api.PartitionID, *api.JobSpec) int
}

// Gossip is what the balancer needs of the gossiper.
type Gossip interface {
	// OtherPartitionStatuses are all partitions but this one, whoever owns them.
	OtherPartitionStatuses(*core.OwnedPartition) []message.PartitionStatus
	// EachFreeCapacity visits the machines of all partitions, those that are alike together.
	EachFreeCapacity(visit func(api.PartitionID, message.MachineClass, message.FreeCapacity))
}

// Log is what the balancer needs of the follower of the state service's log.
type Log interface {
	// LinearizableRead calls onRead once everything that was written before is known.
	LinearizableRead(onRead, onFailure func())
}

// Membership is what the balancer needs of the membership.
type Membership interface {
	// Format is the newest format of records that a controller understands.
	Format(api.ControllerID) int
}

// Preemptor is what the balancer needs of the preemptor.
type Preemptor interface {
	// ReservedFor is the job that a machine is reserved for; empty if there is none.
	ReservedFor(*core.Machine) api.JobID
	// ReserveExclusively reserves a machine for a job for which tasks are preempted there.
	ReserveExclusively(*core.Machine, api.JobID)
	PlanPreemption(m *core.Machine, owned *core.OwnedPartition, s *api.JobSpec, maxTasks int, avoidLate bool) core.PreemptionPlan
	ExecutePreemption(core.PreemptionPlan, api.JobID)
}

// Priorities is what the balancer needs of the operators' rules.
type Priorities interface {
	// SortByPriority puts jobs that rules raise first.
	SortByPriority([]api.JobID) []api.JobID
}

// Scheduler is what the balancer needs of the scheduler.
type Scheduler interface {
	// IsSchedulable reports whether a machine may get new tasks.
	IsSchedulable(*core.Machine, *core.OwnedPartition) bool
	FreeCapacityOn(*core.Machine, *core.OwnedPartition) api.Resources
	// CommitRound writes a round's record.
	CommitRound(*core.OwnedPartition, *core.PendingRound)
	// IsRecordRingFull reports whether a partition has to write a checkpoint before its next record.
	IsRecordRingFull(*core.OwnedPartition) bool
	// RoundConditionBudget is how many conditions a round's transaction may have beside its own.
	RoundConditionBudget() int
}

// Tenancy is what the balancer needs of the tenants' service.
type Tenancy interface {
	// StartsBlocked reports whether a job may not start tasks now, whatever capacity is free.
	StartsBlocked(*core.Job) bool
}

// New returns a balancer; Connect is to be called before use.
func New(k *core.Core) *Balancer { return &Balancer{core: k} }

// Connect names the components that the balancer asks.
func (b *Balancer) Connect(s Siblings) { b.siblings = s }
