// Package jobs answers users and operators about jobs: it accepts submissions, answers queries
// and cancellations, and lists jobs with what keeps them from starting.
//
// Its state is what concerns requests under way: the lookups of final states, the
// cancellations that wait until they are acknowledged, and the budget for submissions. The
// jobs themselves are in the core's cluster state, and their starts and ends are decided by
// the owners of partitions.
package jobs

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/tenant"
)

// Service is the component that answers requests about jobs.
type Service struct {
	core     *core.Core
	siblings Siblings

	lookups              resultLookups
	pendingCancellations []pendingCancellation
	forwardedRequests    int // so that peers take turns
	submitTokens         float64
	submitTokensAt       api.Time
}

// Siblings are the other components that the Service asks.
type Siblings struct {
	Agents       Agents
	Balancer     Balancer
	Capacity     Capacity
	Gossip       Gossip
	Log          Log
	Pools        Pools
	Priorities   Priorities
	Reservations Reservations
	Tenants      Tenants
}

// Agents is what the Service needs of the agent manager.
type Agents interface {
	ContactNow(m *core.Machine)
}

// Balancer is what the Service needs of the balancer.
type Balancer interface {
	PartitionsWithCapacity(spec *api.JobSpec) (now, afterPreemption map[api.PartitionID]bool)
	HasReservationFor(owned *core.OwnedPartition, id api.JobID) bool
}

// Capacity is what the Service needs of the counts of capacity.
type Capacity interface {
	FreeSlotsByPartition(spec *api.JobSpec) []int
	TotalSlotsByPartition(spec *api.JobSpec) []int
	PendingTasksIn(p api.PartitionID, spec *api.JobSpec) int
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
	CheckPoolNeeds(spec *api.JobSpec, name tenant.Name) string
	PendingReasonPool(j *core.Job, p api.PartitionID) string
}

// Priorities is what the Service needs of the priority rules.
type Priorities interface {
	PendingReasonPriority(spec *api.JobSpec) string
}

// Reservations is what the Service needs of the reservation service.
type Reservations interface {
	RecentlyWrote() bool
}

// Tenants is what the Service needs of the tenant service, which takes users' requests where
// the service is hosted.
type Tenants interface {
	Enabled() bool
	SubmitHosted(c message.Submit, tries int)
	PollHosted(c message.Poll)
	CancelHosted(c message.Cancel)
}

// New returns a Service, to be connected before it is asked.
func New(shared *core.Core) *Service {
	return &Service{core: shared, lookups: newResultLookups()}
}

// Connect gives the Service the components that it asks.
func (s *Service) Connect(siblings Siblings) { s.siblings = siblings }

// Ready answers a readiness probe. Once the state has been read this controller can serve, if
// need be through a peer: if all controllers called themselves unready in an outage of the
// state service, the load balancer would have none left.
func (s *Service) Ready(c message.ReadinessProbe) {
	if s.core.Loaded && len(s.core.MachineTypes) > 0 {
		s.core.Reply(c.Req, api.StatusOK, struct{}{}, 0)
		return
	}
	s.core.ReplyError(c.Req, api.StatusServiceUnavailable, "starting")
}
