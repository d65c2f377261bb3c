package rounds

// This file declares the interfaces of the other components that the scheduler uses.

import (
	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/fragmentation"
	"basaltwall/sched"
)

// Dependencies contains the other components that the scheduler uses.
type Dependencies struct {
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

// Eligibility decides which machines get new tasks.
type Eligibility interface {
	// UnschedulableReason returns the reason why a machine gets no new tasks, or core.Schedulable.
	UnschedulableReason(m *core.Machine, owned *core.OwnedPartition) core.UnschedulableReason
}

// Agents sends commands to machines.
type Agents interface {
	EnsureMachine(id api.MachineID) *core.Machine
	MachinesOf(p api.PartitionID) []*core.Machine
	// ScheduleDirectCall calls a machine's agent in this step.
	ScheduleDirectCall(m *core.Machine)
}

// Autoscaler requests and deletes machines.
type Autoscaler interface {
	IsDeleted(id api.MachineID) bool
	// ReconcileMachineList applies the cloud's latest list of machines.
	ReconcileMachineList()
	// ListedZone returns a machine's zone in that list, or "".
	ListedZone(id api.MachineID) api.Zone
	// IncomingMachines counts the requested machines that are not ready yet.
	IncomingMachines() map[core.MachineOffer]int
	// SpotLossRate returns the recent rate at which a spot machine is reclaimed, per second.
	SpotLossRate() float64
	IsLatencySensitive(spec *api.JobSpec) bool
	// SuitsLatencySensitive reports whether latency-sensitive jobs should start on a machine.
	SuitsLatencySensitive(m *core.Machine) bool
}

// Backfiller reserves machines and quota for jobs that have waited too long.
type Backfiller interface {
	ReserveForAgedJobs(owned *core.OwnedPartition)
	RestoreReservations(owned *core.OwnedPartition)
	ReservationChanges(owned *core.OwnedPartition) []clusterstate.Reservation
	// QuotaReservedForOthers returns the quota, by partition and team, that is left to aged jobs of
	// other partitions.
	QuotaReservedForOthers(owned *core.OwnedPartition) map[api.PartitionID]map[api.Team]api.Resources
	TypicalDemands() []fragmentation.Demand
	// RoundAgingStage returns the aging stage of a job and its waiting time in seconds.
	RoundAgingStage(owned *core.OwnedPartition, j *core.Job) (sched.AgingStage, float64)
	// FitsAttainableQuota reports whether a number of a job's tasks fit into its team's quota once all
	// other tasks have ended, except those of services.
	FitsAttainableQuota(j *core.Job, tasks int) bool
	// ChargeAgedStartCredit accounts for a start. It limits the share of starts for which aged jobs
	// have precedence over others.
	ChargeAgedStartCredit(owned *core.OwnedPartition, j *core.Job, stage sched.AgingStage)
}

// Balancer moves jobs, quota and machines between partitions.
type Balancer interface {
	RebalancePending(owned *core.OwnedPartition)
	LendMachines(owned *core.OwnedPartition)
	SpareQuotaTransfers(owned *core.OwnedPartition) []clusterstate.QuotaTransfer
	// AllSupportFormat reports whether every controller supports a record format.
	AllSupportFormat(format int) bool
	UnmetDemandOf(owned *core.OwnedPartition, j *core.Job, request *sched.Job) message.UnmetDemand
}

// Follower reads the state service's log.
type Follower interface {
	// LinearizableRead calls onRead once the cluster state contains everything that was written before
	// the call, or onFailure if the log could not be read.
	LinearizableRead(onRead, onFailure func())
}

// Health monitors zones. While a zone is lost, classes and teams have floors of CPUs that starts of
// others must leave free.
type Health interface {
	// StartAllowance returns the number of a job's tasks that may start without using the floors of
	// others.
	StartAllowance(j *core.Job) int
	// AdjustFloors adds CPUs, negative when they are released, to the usage of a job's class and team.
	AdjustFloors(spec *api.JobSpec, cpus float64)
}

// Jobs accepts and cancels jobs.
type Jobs interface {
	StopCancelledTasks(owned *core.OwnedPartition, j *core.Job)
	CanAcknowledgeCancellation(owned *core.OwnedPartition, j *core.Job) bool
}

// Pools allocates pool units.
type Pools interface {
	// Count returns the number of pools.
	Count() int
	// AllocatePoolUnits returns the units that the partition may allocate, and the jobs whose tasks a
	// round can start with them.
	AllocatePoolUnits(owned *core.OwnedPartition, jobs []*core.Job) (map[api.PoolName]int, []*core.Job)
}

// Preemptor preempts tasks.
type Preemptor interface {
	// ReservedFor returns the job that a machine is reserved for, or "".
	ReservedFor(m *core.Machine) api.JobID
	RunsLowerPriority(p api.PartitionID, rank int) bool
	// StartDelay returns the time since a job's tasks were due to start, in seconds.
	StartDelay(j *core.Job) float64
	PreemptForFastStart(owned *core.OwnedPartition, input *sched.Input, request *sched.Job, j *core.Job)
	PreemptFor(owned *core.OwnedPartition, request *sched.Job, j *core.Job, need int, maxFetch float64) int
}

// Priorities applies the operators' priority rules.
type Priorities interface {
	PriorityBoost(spec *api.JobSpec) float64
	ObserveShortage(owned *core.OwnedPartition, spec *api.JobSpec)
	ContactPriorityMachines(owned *core.OwnedPartition)
}

// Tenancy serves tenants.
type Tenancy interface {
	// Hosted reports whether the service has tenants.
	Hosted() bool
	// StartsBlocked reports whether pending tasks of a job may not start.
	StartsBlocked(j *core.Job) bool
	// LimitTenantJobs removes the jobs of a tenant that exceed its limit for a round.
	LimitTenantJobs(owned *core.OwnedPartition, jobs []*core.Job) []*core.Job
	// NewHistoryWrite returns the write that adds a finished job to its tenant's history.
	NewHistoryWrite(j *core.Job) api.Write
}
