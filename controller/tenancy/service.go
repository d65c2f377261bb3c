// Package tenancy serves the tenants and operators of a hosted service. A Service owns the replicas
// of the tenants', teams' and operators' records, the admission state of submissions, the unwritten
// uses of keys, and the progress of suspensions, removals and history sweeps. If the service is not
// hosted, a Service has no tenants; see docs/tenants.md.
package tenancy

import (
	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/tenant"
)

// Keys of the records of a hosted service.
const (
	// KeyTenant is the prefix of tenants' records.
	KeyTenant = clusterstate.Root + "tenant/"
	// KeyTeamClaim is the prefix of claims, each of a team for one tenant.
	KeyTeamClaim = clusterstate.Root + "teamof/"
	// KeyOperators is the key of the operators' record.
	KeyOperators = clusterstate.Root + "operators"
	// KeyTeam is the prefix of teams that operators defined in addition to those of the settings
	// file.
	KeyTeam = clusterstate.Root + "team/"
	// KeyGuaranteedTotal is the key of the sum of the guarantees of operator-defined teams. Each
	// change of a team writes it, so that the sum stays within the operators' budget.
	KeyGuaranteedTotal = clusterstate.Root + "given"
)

// Service serves the tenants and operators of a hosted service.
type Service struct {
	core   *core.Core
	deps   Dependencies
	hosted *hostedService // nil if the service is not hosted
}

// hostedService is the state of a controller of a hosted service.
type hostedService struct {
	adminKey   tenant.Key
	tenants    *tenant.Table
	operators  tenant.Operators
	teams      map[api.Team]core.TeamRecord // defined by operators
	guaranteed tenant.GuaranteedTotal

	admission      admission
	keyUses        keyUses
	submissions    map[tenant.Name]*SubmissionCounts
	roundRotations map[tenantPartition]int // rotations of a tenant's jobs in a partition's rounds

	reconciledAt     api.Time
	finishingRemoval bool // the write that completes a removal is in flight
	auditSequence    int  // number of audit entries of this process
	sweep            historySweep
}

// New returns a Service, hosted if the configuration says so; Connect must be called before it serves
// requests.
func New(k *core.Core) *Service {
	ts := &Service{core: k}
	ts.ResetPlatformTeams()
	ts.InitHosted()
	return ts
}

// Connect sets the components that the Service calls.
func (ts *Service) Connect(deps Dependencies) { ts.deps = deps }

// InitHosted initializes the state of a hosted service if the configuration has one.
func (ts *Service) InitHosted() {
	hosted := ts.core.Config.Hosted
	if hosted == nil {
		return
	}
	ts.hosted = &hostedService{
		adminKey:       hosted.AdminKey,
		admission:      newAdmission(),
		submissions:    map[tenant.Name]*SubmissionCounts{},
		roundRotations: map[tenantPartition]int{},
	}
}

// RecordKinds returns the kinds of records of a hosted service, and resets the replicas of these
// records for a new load.
func (ts *Service) RecordKinds() []clusterstate.RecordKind {
	if ts.hosted == nil {
		return nil
	}
	tenants, hostedState := tenant.NewTable(), ts.hosted
	hostedState.tenants, hostedState.operators, hostedState.teams, hostedState.guaranteed = tenants, tenant.Operators{}, map[api.Team]core.TeamRecord{}, tenant.GuaranteedTotal{}
	ts.ResetPlatformTeams()
	return []clusterstate.RecordKind{
		{Prefix: KeyTenant, Put: tenants.Put, Delete: tenants.Drop},
		{Prefix: KeyTeam, Put: ts.applyTeam},
		clusterstate.SingleKey(KeyOperators, &hostedState.operators),
		clusterstate.SingleKey(KeyGuaranteedTotal, &hostedState.guaranteed),
	}
}

// Hosted reports whether the service is hosted.
func (ts *Service) Hosted() bool { return ts.hosted != nil }

// Tenants returns the tenants' records. The service must be hosted.
func (ts *Service) Tenants() *tenant.Table { return ts.hosted.tenants }

// HasTenant reports whether there is a record of a tenant. The service must be hosted.
func (ts *Service) HasTenant(name tenant.Name) bool { return ts.hosted.tenants.Get(name) != nil }

// Operators returns the operators' record. The service must be hosted.
func (ts *Service) Operators() *tenant.Operators { return &ts.hosted.operators }

// Guaranteed returns the sum of the guarantees of operator-defined teams. The service must be hosted.
func (ts *Service) Guaranteed() tenant.GuaranteedTotal { return ts.hosted.guaranteed }

// TeamRecord returns the record of an operator-defined team. The service must be hosted.
func (ts *Service) TeamRecord(name api.Team) (core.TeamRecord, bool) {
	record, ok := ts.hosted.teams[name]
	return record, ok
}
