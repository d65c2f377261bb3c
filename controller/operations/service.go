// Package operations serves operators' requests: it shows the controllers, partitions, machines and teams, changes
// the settings, and dispatches all other requests to their components. It owns no state: the settings are in the
// core.
package operations

// This file dispatches operations to the components that serve them.

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/tenant"
)

// Service serves operators' requests.
type Service struct {
	core *core.Core
	deps Dependencies
}

// Dependencies are the other components that the service calls.
type Dependencies struct {
	Tenants     Tenants
	Pools       Pools
	Skips       Skips
	Metrics     Metrics
	Jobs        Jobs
	Agents      Agents
	Eligibility Eligibility
}

// Tenants is what the service needs of the tenant service.
type Tenants interface {
	// Hosted reports whether the service is hosted.
	Hosted() bool
	// WithOperator calls back with a request if its key authorizes it, and refuses it otherwise.
	WithOperator(message.AdminRequest, func(message.AdminRequest))

	HandleTenantRequest(message.AdminRequest) error
	HandleOperatorsRequest(message.AdminRequest) error
	HandleTeamRequest(message.AdminRequest) error
	ListAudit(message.AdminRequest)

	// NewAuditWrite returns the write of an audit entry, for the transaction of the change.
	NewAuditWrite(c message.AdminRequest, subject string, before, after any) api.Write
	// ReplyChange answers a change by the status of its transaction.
	ReplyChange(req message.ReqID, status int, revision api.Revision, what string, view func(api.Revision) any)

	TeamOwners() map[api.Team]tenant.Name
	TeamRecord(api.Team) (core.TeamRecord, bool)
}

// Pools is what the service needs of the pool manager.
type Pools interface {
	HandlePoolRequest(message.AdminRequest) error
}

// Skips is what the service needs of the service for skips.
type Skips interface {
	HandleRequest(message.AdminRequest)
}

// Metrics is what the service needs of the metrics reporter.
type Metrics interface {
	HandleRequest(message.AdminRequest)
}

// Jobs is what the service needs of the service for jobs.
type Jobs interface {
	HandleAdminRequest(message.AdminRequest)
}

// Agents is what the service needs of the agent manager.
type Agents interface {
	MachinesOf(api.PartitionID) []*core.Machine
}

// Eligibility is what the service needs of the eligibility checker.
type Eligibility interface {
	UnschedulableReason(*core.Machine, *core.OwnedPartition) core.UnschedulableReason
}

// New returns a service; Connect must be called before any other method.
func New(k *core.Core) *Service { return &Service{core: k} }

// Connect sets the components that the service calls.
func (s *Service) Connect(deps Dependencies) { s.deps = deps }

// HandleAdmin serves an operator's request. A hosted service first authorizes the request by its key, except for a
// forwarded request, which the forwarding controller has authorized.
func (s *Service) HandleAdmin(c message.AdminRequest) {
	if !s.core.Loaded {
		s.core.ReplyError(c.Req, 503, "starting")
		return
	}
	if s.deps.Tenants.Hosted() && !c.Forwarded {
		s.deps.Tenants.WithOperator(c, s.HandleAuthorized)
		return
	}
	s.handleCommon(c)
}

// HandleAuthorized serves an authorized request to a hosted service.
func (s *Service) HandleAuthorized(c message.AdminRequest) {
	var err error
	switch c.What {
	case message.AdminTenants, message.AdminTenant, message.AdminUsage, message.AdminPutTenant, message.AdminSuspendTenant, message.AdminResumeTenant,
		message.AdminRemoveTenant, message.AdminAddKey, message.AdminRevokeKey:
		err = s.deps.Tenants.HandleTenantRequest(c)
	case message.AdminOperators, message.AdminPutOperators, message.AdminAddOperatorKey, message.AdminRevokeOperatorKey:
		err = s.deps.Tenants.HandleOperatorsRequest(c)
	case message.AdminPutTeam, message.AdminRemoveTeam:
		err = s.deps.Tenants.HandleTeamRequest(c)
	case message.AdminPools, message.AdminPool, message.AdminPutPool, message.AdminRemovePool:
		err = s.deps.Pools.HandlePoolRequest(c)
	case message.AdminAudit:
		s.deps.Tenants.ListAudit(c)
	default:
		s.handleCommon(c)
	}
	if err != nil {
		s.core.RefuseError(c.Req, err)
	}
}

// handleCommon serves the requests that do not require a hosted service.
func (s *Service) handleCommon(c message.AdminRequest) {
	switch c.What {
	case message.AdminMetrics:
		s.deps.Metrics.HandleRequest(c)
	case message.AdminMembers:
		s.core.Reply(c.Req, 200, s.viewMembers(), 0)
	case message.AdminPartitions:
		s.core.Reply(c.Req, 200, s.viewPartitions(), 0)
	case message.AdminMachines:
		s.core.Reply(c.Req, 200, s.viewMachines(), 0)
	case message.AdminTeams:
		s.core.Reply(c.Req, 200, s.viewTeams(), 0)
	case message.AdminJobs, message.AdminJob:
		s.deps.Jobs.HandleAdminRequest(c)
	case message.AdminSkips, message.AdminChangeSkip:
		s.deps.Skips.HandleRequest(c)
	case message.AdminSettings:
		s.core.Reply(c.Req, 200, s.currentSettings(), 0)
	case message.AdminChangeSettings:
		s.replaceSettings(c)
	case message.AdminDrain, message.AdminUndrain:
		s.changeDrained(c)
	default:
		s.core.ReplyError(c.Req, 404, "no such path")
	}
}
