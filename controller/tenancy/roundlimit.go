package tenancy

// This file selects the tenants' jobs that a partition's round considers.

import (
	"cmp"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/tenant"
)

// MaxJobsPerRound is the maximum number of a tenant's jobs in a partition's round, so that the queue
// of one tenant does not slow down the rounds for others.
const MaxJobsPerRound = 200

// tenantPartition identifies a tenant's queue in a partition.
type tenantPartition struct {
	tenant    string
	partition api.PartitionID
}

// LimitTenantJobs limits a round to MaxJobsPerRound jobs of each tenant: half of them are the most
// urgent ones, the others rotate. The order of jobs is preserved.
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
		for _, i := range tenant.SelectRoundJobs(len(tenantJobs), MaxJobsPerRound, ts.hosted.roundRotations[queue]) {
			delete(deferred, tenantJobs[i])
		}
		ts.hosted.roundRotations[queue]++
	}
	owned.UnexaminedJobs = len(deferred)
	return slices.DeleteFunc(jobs, func(j *core.Job) bool { return deferred[j] })
}

// compareUrgency orders jobs by priority, the highest first, and then by age.
func compareUrgency(a, b *core.Job) int {
	return cmp.Or(b.Spec.Priority.Rank()-a.Spec.Priority.Rank(), cmp.Compare(a.AcceptedAt, b.AcceptedAt), cmp.Compare(a.ID, b.ID))
}

// RoundRotations returns the number of rotations of a tenant's jobs in a partition's rounds. The service
// must be hosted.
func (ts *Service) RoundRotations(name tenant.Name, p api.PartitionID) int {
	return ts.hosted.roundRotations[tenantPartition{tenant: string(name), partition: p}]
}

// StartsBlocked reports whether a job's pending tasks must not start because of its tenant's state.
func (ts *Service) StartsBlocked(j *core.Job) bool {
	return ts.hosted != nil && j.Tenant != "" && !ts.hosted.tenants.MayStartTasks(tenant.Name(j.Tenant))
}
