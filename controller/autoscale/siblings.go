// The components that the autoscaler asks, as it sees them.

package autoscale

import (
	"iter"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/sched"
	"basaltwall/zonehealth"
)

// Siblings are the other components that the autoscaler asks.
type Siblings struct {
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

// Agents is what the autoscaler needs of the agent manager.
type Agents interface {
	MachinesOf(api.PartitionID) []*core.Machine
	EnsureMachine(api.MachineID) *core.Machine
	ForgetMachine(api.MachineID)
	// LoanedMachines are the machines whose partition changed of late.
	LoanedMachines() iter.Seq[api.MachineID]
	// LoanInTransit reports whether a machine was loaned of late and has not sent a
	// heartbeat to its new owner yet.
	LoanInTransit(api.MachineID) bool
}

// Backfiller is what the autoscaler needs of the backfiller.
type Backfiller interface {
	WaitStage(*core.Job, api.PartitionID) sched.AgingStage
}

// Balancer is what the autoscaler needs of the balancer.
type Balancer interface {
	// DropLoanRecord removes the record of a deleted machine's loan.
	DropLoanRecord(*core.OwnedPartition, api.MachineID)
}

// Follower is what the autoscaler needs of the log follower.
type Follower interface {
	// LinearizableRead calls onRead once everything written before is applied.
	LinearizableRead(onRead, onFailure func())
}

// Gossip is what the autoscaler needs of the gossiper: other controllers' machines.
type Gossip interface {
	EachFreeCapacity(visit func(api.PartitionID, message.MachineClass, message.FreeCapacity))
	EachUnreportedMachine(visit func(api.PartitionID, api.Instance))
	PeerPartitionStatuses() []message.PartitionStatus
}

// Health is what the autoscaler needs of the zone health monitor.
type Health interface {
	Observation(api.Zone) zonehealth.Assessment
	RecordedState(api.Zone) zonehealth.State
	ZoneState(api.Zone) zonehealth.State
	ZoneUnavailable(api.Zone) bool
	// ReplacementDemand counts the tasks by job that need machines in place of those of
	// a lost zone.
	ReplacementDemand() map[api.JobID]int
}

// Capacity is what the autoscaler needs of the count of free capacity.
type Capacity interface {
	// TotalSlotsByPartition counts the tasks that the machines would hold when empty.
	TotalSlotsByPartition(*api.JobSpec) []int
}

// Pools is what the autoscaler needs of the pool manager.
type Pools interface {
	FreePoolUnits() map[api.PoolName]int
}

// Preemptor is what the autoscaler needs of the preemptor.
type Preemptor interface {
	ReservedFor(*core.Machine) api.JobID
}

// Priorities is what the autoscaler needs of the priorities.
type Priorities interface {
	EffectivePriority(*api.JobSpec) float64
}

// Scheduler is what the autoscaler needs of the round scheduler.
type Scheduler interface {
	FreeCapacityOn(*core.Machine, *core.OwnedPartition) api.Resources
	IsSchedulable(*core.Machine, *core.OwnedPartition) bool
	RecordTaskEnd(owned *core.OwnedPartition, p *core.Placement, done bool, reason string)
	SpotRisk(*core.Job) float64
	StopTask(*core.Placement)
	TaskZones(*core.Job) (zones map[api.Zone]int, known bool)
}

// Tenancy is what the autoscaler needs of the tenant service.
type Tenancy interface {
	StartsBlocked(*core.Job) bool
}
