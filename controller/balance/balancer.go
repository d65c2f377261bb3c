// Package balance rebalances work and capacity between partitions: it moves pending tasks to
// partitions with free capacity, transfers unused quota, and lends machines, empty or together
// with their tasks, to partitions whose jobs lack them.
//
// It owns no state. Records of loans are in the cluster state, and the state of calls in flight
// for a partition is in core.OwnedPartition.
package balance

// This file holds the component and the interfaces to the components that it depends on.

import (
	"basaltwall/api"
	"basaltwall/backfill"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/sched"
)

// Balancer moves pending tasks, quota and machines between partitions.
type Balancer struct {
	core *core.Core
	deps Dependencies
}

// Dependencies are the other components that the balancer depends on.
type Dependencies struct {
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

// Agents is the interface to the agent manager.
type Agents interface {
	// MachinesOf returns a partition's machines, sorted by ID.
	MachinesOf(api.PartitionID) []*core.Machine
	// EnsureMachine returns a machine, and adds it if it is unknown.
	EnsureMachine(api.MachineID) *core.Machine
	// ScheduleDirectCall schedules an immediate call to a machine.
	ScheduleDirectCall(*core.Machine)
}

// Autoscaler is the interface to the autoscaler.
type Autoscaler interface {
	// ListedMachine returns a machine's entry in the cloud's list.
	ListedMachine(api.MachineID) (api.Instance, bool)
}

// Backfiller is the interface to the component that reserves machines for aged jobs.
type Backfiller interface {
	// AgingStage returns the aging stage of a job in a partition.
	AgingStage(*core.Job, api.PartitionID) sched.AgingStage
	// ReservableMachines returns the candidates that may be reserved for a job, and the present
	// and future free capacity of each.
	ReservableMachines(*core.OwnedPartition, *api.JobSpec, []*core.Machine) ([]*core.Machine, []backfill.Machine)
	// Reserve reserves a machine for a job with the given priority rank and aging stage.
	Reserve(owned *core.OwnedPartition, m *core.Machine, jobID api.JobID, rank int, stage sched.AgingStage)
}

// Capacity is the interface to the component that counts capacity by partition.
type Capacity interface {
	// FreeSlotsByPartition counts the tasks of a job that could start now.
	FreeSlotsByPartition(*api.JobSpec) []int
	// TotalSlotsByPartition counts the tasks of a job that the machines would hold if they were
	// empty.
	TotalSlotsByPartition(*api.JobSpec) []int
	// CompetingTasksIn counts the pending tasks of a partition that compete with a job.
	CompetingTasksIn(api.PartitionID, *api.JobSpec) int
}

// Gossip is the interface to the gossiper.
type Gossip interface {
	// OtherPartitionStatuses returns the statuses of all other partitions, whoever owns them.
	OtherPartitionStatuses(*core.OwnedPartition) []message.PartitionStatus
	// EachFreeCapacity visits the machines of all partitions in groups of equal machines.
	EachFreeCapacity(visit func(api.PartitionID, message.MachineClass, message.FreeCapacity))
}

// Log is the interface to the follower of the state service's log.
type Log interface {
	// LinearizableRead calls onRead once all earlier writes are applied.
	LinearizableRead(onRead, onFailure func())
}

// Membership is the interface to the membership of controllers.
type Membership interface {
	// Format returns the newest record format that a controller supports.
	Format(api.ControllerID) int
}

// Preemptor is the interface to the preemption planner.
type Preemptor interface {
	// ReservedFor returns the job that a machine is reserved for, or "".
	ReservedFor(*core.Machine) api.JobID
	// ReserveExclusively reserves a machine for a job for which tasks are preempted there.
	ReserveExclusively(*core.Machine, api.JobID)
	PlanPreemption(m *core.Machine, owned *core.OwnedPartition, s *api.JobSpec, maxTasks int, avoidLate bool) core.PreemptionPlan
	ExecutePreemption(core.PreemptionPlan, api.JobID)
}

// Priorities is the interface to the operators' priority rules.
type Priorities interface {
	// SortByPriority moves the jobs to the front that rules raise.
	SortByPriority([]api.JobID) []api.JobID
}

// Scheduler is the interface to the scheduler of rounds.
type Scheduler interface {
	// IsSchedulable reports whether a machine may get new tasks.
	IsSchedulable(*core.Machine, *core.OwnedPartition) bool
	FreeCapacityOn(*core.Machine, *core.OwnedPartition) api.Resources
	// CommitRound writes a round's record.
	CommitRound(*core.OwnedPartition, *core.PendingRound)
	// RoundFits reports whether a round is within the limits of the state service.
	RoundFits(*core.OwnedPartition, *core.PendingRound) bool
	// IsRecordRingFull reports whether a partition must write a checkpoint before its next record.
	IsRecordRingFull(*core.OwnedPartition) bool
	// RoundConditionBudget returns the number of conditions that a round's transaction may have in
	// addition to the standard ones.
	RoundConditionBudget() int
}

// Tenancy is the interface to the tenant service.
type Tenancy interface {
	// StartsBlocked reports whether a job may not start tasks now, regardless of free capacity.
	StartsBlocked(*core.Job) bool
}

// New returns a balancer. Connect must be called before any other method.
func New(k *core.Core) *Balancer { return &Balancer{core: k} }

// Connect sets the components that the balancer depends on.
func (b *Balancer) Connect(s Dependencies) { b.deps = s }
