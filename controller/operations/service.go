// Package operations answers operators: it shows the controllers, partitions, machines and teams, changes the
// settings, and passes on what other components answer. It owns no state: settings lie in the core, as the log
// has them.
package operations

// This file has the service, and which component answers which operation.

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/tenant"
)

// Service answers operators' requests.
type Service struct {
	core     *core.Core
	siblings Siblings
}

// Siblings are the other components that this one asks.
type Siblings struct {
	Tenants      Tenants
	Pools        Pools
	Reservations Reservations
	Metrics      Metrics
	Jobs         Jobs
	Agents       Agents
	Eligibility  Eligibility
}

// Tenants is what the service needs of the tenants' service.
type Tenants interface {
	// Enabled reports whether this is a hosted service.
	Enabled() bool
	// WithOperator goes on with a request once its key is found to allow it, or refuses it.
	WithOperator(message.AdminRequest, func(message.AdminRequest))

	HandleTenantRequest(message.AdminRequest) error
	HandleOperatorsRequest(message.AdminRequest) error
	HandleTeamRequest(message.AdminRequest) error
	ListAudit(message.AdminRequest)

	// AuditWrite is the record of a change, to be written with it.
	AuditWrite(c message.AdminRequest, subject string, before, after any) api.Write
	// ReplyChange answers a change by the status of its transaction.
	ReplyChange(req message.ReqID, status int, revision api.Revision, what string, view func(api.Revision) any)

	TeamOwners() map[api.Team]tenant.Name
	TeamRecord(api.Team) (core.TeamRecord, bool)
}

// Pools is what the service needs of the pools of a hosted service.
type Pools interface {
	HandlePoolRequest(message.AdminRequest) error
}

// Reservations is what the service needs of the reservations' service.
type Reservations interface {
	HandleRequest(message.AdminRequest)
}

// Metrics is what the service needs of the metrics' reporter.
type Metrics interface {
	HandleRequest(message.AdminRequest)
}

// Jobs is what the service needs of the jobs' service.
type Jobs interface {
	HandleAdminRequest(message.AdminRequest)
}

// Agents is what the service needs of the agent manager.
type Agents interface {
	MachinesOf(api.PartitionID) []*core.Machine
}

// Eligibility is what the service needs of the check whether machines get tasks.
type Eligibility interface {
	UnschedulableReason(*core.Machine, *core.OwnedPartition) core.UnschedulableReason
}

// New returns a service; Connect is to be called before it is asked.
func New(k *core.Core) *Service { return &Service{core: k} }

// Connect names the components that the service asks.
func (s *Service) Connect(siblings Siblings) { s.siblings = siblings }

// HandleAdmin answers an operator; of a hosted service, only one whose key allows it. A forwarded request's key
// was looked at by the controller that forwards it.
func (s *Service) HandleAdmin(c message.AdminRequest) {
	if !s.core.Loaded {
		s.core.ReplyError(c.Req, 503, "starting")
		return
	}
	if s.siblings.Tenants.Enabled() && !c.Forwarded {
		s.siblings.Tenants.WithOperator(c, s.HandleAuthorized)
		return
	}
	s.handleCommon(c)
}

// HandleAuthorized answers an operator of a hosted service whose key allows the request.
func (s *Service) HandleAuthorized(c message.AdminRequest) {
	var err error
	switch c.What {
	case message.AdminTenants, message.AdminTenant, message.AdminUsage, message.AdminPutTenant, message.AdminSuspendTenant, message.AdminResumeTenant,
		message.AdminRemoveTenant, message.AdminAddKey, message.AdminRevokeKey:
		err = s.siblings.Tenants.HandleTenantRequest(c)
	case message.AdminOperators, message.AdminPutOperators, message.AdminAddOperatorKey, message.AdminRevokeOperatorKey:
		err = s.siblings.Tenants.HandleOperatorsRequest(c)
	case message.AdminPutTeam, message.AdminRemoveTeam:
		err = s.siblings.Tenants.HandleTeamRequest(c)
	case message.AdminPools, message.AdminPool, message.AdminPutPool, message.AdminRemovePool:
		err = s.siblings.Pools.HandlePoolRequest(c)
	case message.AdminAudit:
		s.siblings.Tenants.ListAudit(c)
	default:
		s.handleCommon(c)
	}
	if err != nil {
		s.core.RefuseError(c.Req, err)
	}
}

// handleCommon answers an operator of any service.
func (s *Service) handleCommon(c message.AdminRequest) {
	switch c.What {
	case message.AdminMetrics:
		s.siblings.Metrics.HandleRequest(c)
	case message.AdminMembers:
		s.core.Reply(c.Req, 200, s.viewMembers(), 0)
	case message.AdminPartitions:
		s.core.Reply(c.Req, 200, s.viewPartitions(), 0)
	case message.AdminMachines:
		s.core.Reply(c.Req, 200, s.viewMachines(), 0)
	case message.AdminTeams:
		s.core.Reply(c.Req, 200, s.viewTeams(), 0)
	case message.AdminJobs, message.AdminJob:
		s.siblings.Jobs.HandleAdminRequest(c)
	case message.AdminReservations, message.AdminChangeReservation:
		s.siblings.Reservations.HandleRequest(c)
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
