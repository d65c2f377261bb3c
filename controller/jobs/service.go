// Package jobs serves requests about jobs: it accepts submissions, answers queries and
// cancellations, and lists jobs with the reasons why they are pending.
//
// It owns the state of requests in progress: the lookups of final states, the cancellations that
// are not acknowledged yet, and the write budget of submissions. The jobs themselves are in the
// core's cluster state; the owners of partitions decide on their starts and ends.
package jobs

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/tenant"
)

// Service serves requests about jobs.
type Service struct {
	core *core.Core
	deps Dependencies

	lookups              resultLookups
	pendingCancellations []pendingCancellation
	forwardedRequests    int // rotates the peers that requests are forwarded to
	submitTokens         float64
	submitTokensAt       api.Time
}

// Dependencies are the other components that the Service calls.
type Dependencies struct {
	Agents     Agents
	Balancer   Balancer
	Capacity   Capacity
	Gossip     Gossip
	Log        Log
	Pools      Pools
	Priorities Priorities
	Skips      Skips
	Tenants    Tenants
}

// Agents is what the Service needs of the agent manager.
type Agents interface {
	ScheduleDirectCall(m *core.Machine)
}

// Balancer is what the Service needs of the balancer.
type Balancer interface {
	PartitionsWithCapacity(spec *api.JobSpec) (now, afterPreemption map[api.PartitionID]bool)
	HasReservationFor(owned *core.OwnedPartition, id api.JobID) bool
}

// Capacity is what the Service needs of the capacity counts.
type Capacity interface {
	FreeSlotsByPartition(spec *api.JobSpec) []int
	TotalSlotsByPartition(spec *api.JobSpec) []int
	CompetingTasksIn(p api.PartitionID, spec *api.JobSpec) int
	FreeCapacityGroups() []core.FreeCapacityGroup
}

// Gossip is what the Service needs of the gossiper.
type Gossip interface {
	PeersThatReachStore() []api.ControllerID
}

// Log is what the Service needs of the log follower.
type Log interface {
	LinearizableRead(onRead, onFailure func())
}

// Pools is what the Service needs of the pool manager.
type Pools interface {
	CheckPoolRequests(spec *api.JobSpec, name tenant.Name) string
	PoolPendingReason(j *core.Job, p api.PartitionID) string
}

// Priorities is what the Service needs of the priority rules.
type Priorities interface {
	HigherPriorityRule(spec *api.JobSpec) string
}

// Skips is what the Service needs of the service for skips.
type Skips interface {
	RecentlyWrote() bool
}

// Tenants is what the Service needs of the tenant service, which serves users' requests if the
// service is hosted.
type Tenants interface {
	Hosted() bool
	SubmitHosted(c message.Submit, tries int)
	PollHosted(c message.Poll)
	CancelHosted(c message.Cancel)
}

// New returns a Service; Connect must be called before any other method.
func New(shared *core.Core) *Service {
	return &Service{core: shared, lookups: newResultLookups()}
}

// Connect sets the components that the Service calls.
func (s *Service) Connect(deps Dependencies) { s.deps = deps }

// Ready answers a readiness probe. A controller that has loaded the state stays ready while the
// state service is unreachable: it can forward requests to a peer, and an outage must not leave the
// load balancer without controllers.
func (s *Service) Ready(c message.ReadinessProbe) {
	if s.core.Loaded && len(s.core.MachineTypes) > 0 {
		s.core.Reply(c.Req, api.StatusOK, struct{}{}, 0)
		return
	}
	s.core.ReplyError(c.Req, api.StatusServiceUnavailable, "starting")
}
