// Package tenancy serves a hosted cluster: its tenants, whose keys, limits and teams it keeps, and
// its operators, who change them. A Service owns the tenants', teams' and operators' records, as
// far as this controller has read them, the admission state of submissions, the uses of keys that
// are not written yet, and the progress of suspensions, removals and history sweeps. A controller
// that is not hosted has a Service too, which serves nobody; see docs/tenants.md.
package tenancy

import (
	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/tenant"
)

// Keys of a hosted service's records.
const (
	// KeyTenant holds a tenant's record.
	KeyTenant = clusterstate.Root + "tenant/"
	// KeyTeamOf claims a team for one tenant.
	KeyTeamOf = clusterstate.Root + "teamof/"
	// KeyOperators holds what the operators decide for all tenants, and their keys.
	KeyOperators = clusterstate.Root + "operators"
	// KeyTeam holds a team that operators made, beside the platform's.
	KeyTeam = clusterstate.Root + "team/"
	// KeyGuaranteedTotal is what those teams are guaranteed together. It is written with each change
	// of one and with what is set aside for them, so that their sum stays within that.
	KeyGuaranteedTotal = clusterstate.Root + "given"
)

// Service serves the tenants and operators of a hosted cluster.
type Service struct {
	core     *core.Core
	siblings Siblings
	hosted   *hostedService // nil: one operator's own service
}

// hostedService is what a controller of a hosted service keeps of its tenants.
type hostedService struct {
	adminKey   tenant.Key
	tenants    *tenant.Table
	operators  tenant.Operators
	teams      map[api.Team]core.TeamRecord // that operators made
	guaranteed tenant.GuaranteedTotal

	admission   admission
	keyUses     keyUses
	submissions map[tenant.Name]*SubmissionCounts
	roundTurns  map[tenantPartition]int // how often a tenant's jobs took turns in a partition's rounds

	reconciledAt     api.Time
	finishingRemoval bool // the end of a removal is being written
	auditSequence    int  // of operators' changes, by this process
	sweep            historySweep
}

// New returns the service of a controller, hosted if its configuration says so; Connect completes it.
func New(k *core.Core) *Service {
	ts := &Service{core: k}
	ts.ResetPlatformTeams()
	ts.InitHosted()
	return ts
}

// Connect names the components that the service asks.
func (ts *Service) Connect(siblings Siblings) { ts.siblings = siblings }

// InitHosted begins to serve tenants if the configuration has the service hosted.
func (ts *Service) InitHosted() {
	hosted := ts.core.Config.Hosted
	if hosted == nil {
		return
	}
	ts.hosted = &hostedService{
		adminKey:    hosted.AdminKey,
		admission:   newAdmission(),
		submissions: map[tenant.Name]*SubmissionCounts{},
		roundTurns:  map[tenantPartition]int{},
	}
}

// RecordKinds are the kinds of records that a hosted service keeps beside the others. It forgets
// all of them, as they are read anew.
func (ts *Service) RecordKinds() []clusterstate.RecordKind {
	if ts.hosted == nil {
		return nil
	}
	tenants, service := tenant.NewTable(), ts.hosted
	service.tenants, service.operators, service.teams, service.guaranteed = tenants, tenant.Operators{}, map[api.Team]core.TeamRecord{}, tenant.GuaranteedTotal{}
	ts.ResetPlatformTeams()
	return []clusterstate.RecordKind{
		{Prefix: KeyTenant, Put: tenants.Put, Delete: tenants.Drop},
		{Prefix: KeyTeam, Put: ts.applyTeam},
		clusterstate.SingleKey(KeyOperators, &service.operators),
		clusterstate.SingleKey(KeyGuaranteedTotal, &service.guaranteed),
	}
}

// Enabled reports whether the service is hosted: it has tenants.
func (ts *Service) Enabled() bool { return ts.hosted != nil }

// Tenants are the tenants' records. The service must be hosted.
func (ts *Service) Tenants() *tenant.Table { return ts.hosted.tenants }

// HasTenant reports whether there is a record of a tenant. The service must be hosted.
func (ts *Service) HasTenant(name tenant.Name) bool { return ts.hosted.tenants.Get(name) != nil }

// Operators is the operators' record as it was last read. The service must be hosted.
func (ts *Service) Operators() *tenant.Operators { return &ts.hosted.operators }

// Guaranteed is what the teams that operators made are guaranteed together. The service must be
// hosted.
func (ts *Service) Guaranteed() tenant.GuaranteedTotal { return ts.hosted.guaranteed }

// TeamRecord is a team that operators made, if it is one. The service must be hosted.
func (ts *Service) TeamRecord(name api.Team) (core.TeamRecord, bool) {
	record, ok := ts.hosted.teams[name]
	return record, ok
}
