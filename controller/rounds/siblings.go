package rounds

// This file declares what the scheduler asks of the other components.

import (
	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/fragmentation"
	"basaltwall/sched"
)

// Siblings are the other components that the scheduler asks.
type Siblings struct {
	Agents      Agents
	Autoscaler  Autoscaler
	Backfiller  Backfiller
	Balancer    Balancer
	Eligibility Eligibility
	Follower    Follower
	Health      Health
	Jobs        Jobs
	Pools       Pools
	Preemptor   Preemptor
	Priorities  Priorities
	Tenancy     Tenancy
}

// Eligibility is what rounds need of the component that decides which machines get new tasks.
type Eligibility interface {
	// UnschedulableReason is why a machine may get no new tasks, core.Schedulable if it may.
	UnschedulableReason(m *core.Machine, owned *core.OwnedPartition) core.UnschedulableReason
}

// Agents is what rounds need of the component that commands machines.
type Agents interface {
	EnsureMachine(id api.MachineID) *core.Machine
	MachinesOf(p api.PartitionID) []*core.Machine
	// ContactNow has a machine called in this step.
	ContactNow(m *core.Machine)
}

// Autoscaler is what rounds need of the component that requests and deletes machines.
type Autoscaler interface {
	IsDeleted(id api.MachineID) bool
	// ReconcileMachineList applies the cloud's latest list of machines.
	ReconcileMachineList()
	// ListedZone is a machine's zone by that list, or "".
	ListedZone(id api.MachineID) api.Zone
	// IncomingMachines counts the machines that were requested and are not ready yet.
	IncomingMachines() map[core.MachineOffer]int
	// SpotLossRate is how often a spot machine is reclaimed, per second, as lately seen.
	SpotLossRate() float64
	IsLatencySensitive(spec *api.JobSpec) bool
	// SuitsLatencySensitive reports whether latency-sensitive jobs should start on a machine.
	SuitsLatencySensitive(m *core.Machine) bool
}

// Backfiller is what rounds need of the component that keeps machines and quota for jobs that
// have waited for too long.
type Backfiller interface {
	Backfill(owned *core.OwnedPartition)
	RestoreReservations(owned *core.OwnedPartition)
	ReservationChanges(owned *core.OwnedPartition) []clusterstate.Reservation
	// QuotaReservedForOthers is the quota, by partition and team, that is left to other
	// partitions' jobs that must start.
	QuotaReservedForOthers(owned *core.OwnedPartition) map[api.PartitionID]map[api.Team]api.Resources
	TypicalDemands() []fragmentation.Demand
	// RoundStage is how far a job has aged, and for how many seconds it has waited.
	RoundStage(owned *core.OwnedPartition, j *core.Job) (sched.AgingStage, float64)
	// FitsAttainableQuota reports whether so many tasks of a job fit into its team's quota once
	// all has ended that ends by itself.
	FitsAttainableQuota(j *core.Job, tasks int) bool
	// ChargeMustStartCredit accounts for a start: jobs that must start may take no more than a
	// share of what the partition starts before others.
	ChargeMustStartCredit(owned *core.OwnedPartition, j *core.Job, stage sched.AgingStage)
}

// Balancer is what rounds need of the component that moves tasks, quota and machines between
// partitions.
type Balancer interface {
	RebalancePending(owned *core.OwnedPartition)
	LendMachines(owned *core.OwnedPartition)
	SpareQuotaTransfers(owned *core.OwnedPartition) []clusterstate.QuotaTransfer
	UnmetDemandOf(owned *core.OwnedPartition, j *core.Job, request *sched.Job) message.UnmetDemand
}

// Follower is what rounds need of the component that follows the state service's log.
type Follower interface {
	// LinearizableRead calls onRead once the cluster state has everything that was written
	// before the call, or onFailure if that can't be told.
	LinearizableRead(onRead, onFailure func())
}

// Health is what rounds need of the component that watches zones. While one is lost, classes and
// teams have floors of CPUs that others' starts must leave them.
type Health interface {
	// StartAllowance is how many more tasks of a job may start beside the floors of others.
	StartAllowance(j *core.Job) int
	// AdjustFloors notes that a job's class and team have so many CPUs more, or less.
	AdjustFloors(spec *api.JobSpec, cpus float64)
}

// Jobs is what rounds need of the component that accepts and cancels jobs.
type Jobs interface {
	StopCancelledTasks(owned *core.OwnedPartition, j *core.Job)
	CanAcknowledgeCancellation(owned *core.OwnedPartition, j *core.Job) bool
}

// Pools is what rounds need of the component that hands out pool units.
type Pools interface {
	// Count is the number of pools.
	Count() int
	// AllocatePoolUnits is the units that the partition may hand out, and the jobs that a round
	// can start tasks of with them.
	AllocatePoolUnits(owned *core.OwnedPartition, jobs []*core.Job) (map[api.PoolName]int, []*core.Job)
}

// Preemptor is what rounds need of the component that preempts tasks.
type Preemptor interface {
	// ReservedFor is the job that a machine is reserved for, or "".
	ReservedFor(m *core.Machine) api.JobID
	RunsLowerPriority(p api.PartitionID, rank int) bool
	// StartDelay is for how many seconds a job's tasks have been due to start.
	StartDelay(j *core.Job) float64
	PreemptForFastStart(owned *core.OwnedPartition, input *sched.Input, request *sched.Job, j *core.Job)
	PreemptFor(owned *core.OwnedPartition, request *sched.Job, j *core.Job, need int, maxFetch float64) int
}

// Priorities is what rounds need of the component that applies the operators' priority rules.
type Priorities interface {
	PriorityBoost(spec *api.JobSpec) float64
	RecordShortage(owned *core.OwnedPartition, spec *api.JobSpec)
	ContactPriorityMachines(owned *core.OwnedPartition)
}

// Tenancy is what rounds need of the component that serves tenants.
type Tenancy interface {
	// Enabled reports whether the service has tenants.
	Enabled() bool
	// StartsBlocked reports whether pending tasks of a job may not start.
	StartsBlocked(j *core.Job) bool
	// LimitTenantJobs leaves out of a round the jobs of a tenant that are too many for it.
	LimitTenantJobs(owned *core.OwnedPartition, jobs []*core.Job) []*core.Job
	// HistoryWrite adds a finished job to its tenant's history.
	HistoryWrite(j *core.Job) api.Write
}
