package tenancy

// This file declares the interfaces of the other components that the service needs.

import (
	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/tenant"
)

// Dependencies are the other components that a Service calls.
type Dependencies struct {
	Follower  Follower
	Jobs      Jobs
	Pools     Pools
	Scheduler Scheduler
}

// Follower is what a Service needs of the log follower.
type Follower interface {
	LinearizableRead(onRead, onFailure func())
	// LastReadAt returns the time of the last read of the log, 0 before the first one.
	LastReadAt() api.Time
}

// Jobs is what a Service needs of the service for jobs.
type Jobs interface {
	FindJob(id api.JobID, found func(api.JobStatus), notFound, fail func())
	LookupJob(id api.JobID, found func(api.JobStatus), notFound, fail func())
	JobStatus(id api.JobID) (api.JobStatus, bool)
	Forward(req message.ReqID, f message.Forward, forwarded bool)
	ShouldForward(forwarded bool) bool
	InfeasibleReason(s *api.JobSpec) string
	SplitAcrossPartitions(s *api.JobSpec) []clusterstate.TaskRange
	RecordCancellation(id api.JobID, tries int, respond func(api.JobStatus), notFound, fail func())
	RespondWhenAcknowledged(forwarded bool, respond func(api.JobStatus), retryLater func()) func(api.JobStatus)
}

// Pools is what a Service needs of the pool manager.
type Pools interface {
	CheckPoolRequests(s *api.JobSpec, name tenant.Name) string
	PoolPendingReason(j *core.Job, p api.PartitionID) string
	ReconcilePools()
}

// Scheduler is what a Service needs of the scheduler to drain tenants.
type Scheduler interface {
	StopTask(*core.Placement)
}
