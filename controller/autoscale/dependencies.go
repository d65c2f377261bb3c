// This file declares the components that the autoscaler depends on.

package autoscale

import (
	"iter"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/sched"
	"basaltwall/zonehealth"
)

// Dependencies are the other components that the autoscaler depends on.
type Dependencies struct {
	Agents     Agents
	Backfiller Backfiller
	Balancer   Balancer
	Follower   Follower
	Gossip     Gossip
	Health     Health
	Capacity   Capacity
	Pools      Pools
	Preemptor  Preemptor
	Priorities Priorities
	Scheduler  Scheduler
	Tenancy    Tenancy
}

// Agents is the interface to the agent manager.
type Agents interface {
	MachinesOf(api.PartitionID) []*core.Machine
	EnsureMachine(api.MachineID) *core.Machine
	ForgetMachine(api.MachineID)
	// LoanedMachines returns the machines on loan, in no particular order.
	LoanedMachines() iter.Seq[api.MachineID]
	// LoanInTransit reports whether a machine was loaned recently and has not sent a
	// heartbeat to its new owner yet.
	LoanInTransit(api.MachineID) bool
}

// Backfiller is the interface to the backfiller.
type Backfiller interface {
	AgingStage(*core.Job, api.PartitionID) sched.AgingStage
}

// Balancer is the interface to the balancer.
type Balancer interface {
	// DropLoanRecord removes the record of a deleted machine's loan.
	DropLoanRecord(*core.OwnedPartition, api.MachineID)
}

// Follower is the interface to the log follower.
type Follower interface {
	// LinearizableRead calls onRead once all earlier writes are applied.
	LinearizableRead(onRead, onFailure func())
}

// Gossip is the interface to the gossiper, which knows other controllers' machines.
type Gossip interface {
	EachFreeCapacity(visit func(api.PartitionID, message.MachineClass, message.FreeCapacity))
	EachUnreportedMachine(visit func(api.PartitionID, api.Instance))
	PeerPartitionStatuses() []message.PartitionStatus
}

// Health is the interface to the zone health monitor.
type Health interface {
	Assessment(api.Zone) zonehealth.Assessment
	RecordedState(api.Zone) zonehealth.State
	ZoneState(api.Zone) zonehealth.State
	ZoneUnavailable(api.Zone) bool
	// ReplacementDemand returns, by job, the number of tasks that need replacements for
	// machines of a lost zone.
	ReplacementDemand() map[api.JobID]int
}

// Capacity is the interface to the counter of capacity.
type Capacity interface {
	// TotalSlotsByPartition counts the tasks that each partition's machines would hold if
	// they were empty.
	TotalSlotsByPartition(*api.JobSpec) []int
}

// Pools is the interface to the pool manager.
type Pools interface {
	FreePoolUnits() map[api.PoolName]int
}

// Preemptor is the interface to the preemption planner.
type Preemptor interface {
	ReservedFor(*core.Machine) api.JobID
}

// Priorities is the interface to the priority rules.
type Priorities interface {
	EffectivePriority(*api.JobSpec) float64
}

// Scheduler is the interface to the scheduler of rounds.
type Scheduler interface {
	FreeCapacityOn(*core.Machine, *core.OwnedPartition) api.Resources
	IsSchedulable(*core.Machine, *core.OwnedPartition) bool
	RecordTaskEnd(owned *core.OwnedPartition, p *core.Placement, done bool, reason string)
	SpotRisk(*core.Job) float64
	StopTask(*core.Placement)
	TaskZones(*core.Job) (zones map[api.Zone]int, known bool)
}

// Tenancy is the interface to the tenant service.
type Tenancy interface {
	StartsBlocked(*core.Job) bool
}
