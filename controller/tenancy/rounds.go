package tenancy

// This file says which tenants' jobs a partition's round looks at.

import (
	"cmp"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/tenant"
)

// MaxJobsPerRound is how many of a tenant's jobs a partition's round looks at, so that nobody's
// queue makes the rounds of the others longer.
const MaxJobsPerRound = 200

// tenantPartition is a tenant's queue in a partition.
type tenantPartition struct {
	tenant    string
	partition api.PartitionID
}

// LimitTenantJobs leaves out of a round what is more than MaxJobsPerRound jobs of one tenant: half
// of those that stay are its most urgent ones, the others take turns. The order of the rest
// is kept.
func (ts *Service) LimitTenantJobs(owned *core.OwnedPartition, jobs []*core.Job) []*core.Job {
	owned.UnexaminedJobs = 0
	if ts.hosted == nil || len(jobs) <= MaxJobsPerRound {
		return jobs
	}
	byTenant := map[string][]*core.Job{}
	for _, j := range jobs {
		byTenant[j.Tenant] = append(byTenant[j.Tenant], j)
	}
	deferred := map[*core.Job]bool{}
	for name, tenantJobs := range byTenant {
		if len(tenantJobs) <= MaxJobsPerRound {
			continue
		}
		slices.SortFunc(tenantJobs, compareUrgency)
		for _, j := range tenantJobs {
			deferred[j] = true
		}
		queue := tenantPartition{tenant: name, partition: owned.ID}
		for _, i := range tenant.Window(len(tenantJobs), MaxJobsPerRound, ts.hosted.roundTurns[queue]) {
			delete(deferred, tenantJobs[i])
		}
		ts.hosted.roundTurns[queue]++
	}
	owned.UnexaminedJobs = len(deferred)
	return slices.DeleteFunc(jobs, func(j *core.Job) bool { return deferred[j] })
}

// compareUrgency orders jobs by priority, the highest first, and then by age.
func compareUrgency(a, b *core.Job) int {
	return cmp.Or(b.Spec.Priority.Rank()-a.Spec.Priority.Rank(), cmp.Compare(a.AcceptedAt, b.AcceptedAt), cmp.Compare(a.ID, b.ID))
}

// RoundTurns is how often a tenant's jobs took turns in a partition's rounds. The service must be
// hosted.
func (ts *Service) RoundTurns(name tenant.Name, p api.PartitionID) int {
	return ts.hosted.roundTurns[tenantPartition{tenant: string(name), partition: p}]
}

// StartsBlocked reports whether what waits of a job may not be started.
func (ts *Service) StartsBlocked(j *core.Job) bool {
	return ts.hosted != nil && j.Tenant != "" && !ts.hosted.tenants.MayStartTasks(tenant.Name(j.Tenant))
}
