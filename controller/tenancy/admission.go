package tenancy

// This file limits tenants' submissions: by the number of their open jobs, by their rate, and by
// what this controller may write.

import (
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/tenant"
)

// openJobLimitTTL is for how long a tenant that was at its limit of open jobs is taken to be
// there without counting again.
const openJobLimitTTL = 250 * time.Millisecond

// openJobLimitRetryAfter is when a tenant at that limit is to try again.
const openJobLimitRetryAfter = 2 * time.Second

// admission is the state by which a controller limits submissions.
type admission struct {
	rateBuckets           map[tenant.Name]*tenant.TokenBucket
	fairLimiter           tenant.FairLimiter
	pending               map[tenant.Name]map[api.JobID]bool // jobs that this controller is writing
	openJobLimitReachedAt map[tenant.Name]api.Time           // when as many were open as may be
}

func newAdmission() admission {
	return admission{
		rateBuckets:           map[tenant.Name]*tenant.TokenBucket{},
		pending:               map[tenant.Name]map[api.JobID]bool{},
		openJobLimitReachedAt: map[tenant.Name]api.Time{},
	}
}

// limit is why a submission is not admitted for now.
type limit struct {
	field      string // which limit it is
	reason     string
	retryAfter time.Duration
}

// admit decides whether one more submission of a tenant is taken, and returns nil or the limit
// that it exceeds: the number of the tenant's jobs, its rate, or what this controller may write.
func (ts *Service) admit(entry *tenant.Entry) *limit {
	if ts.atOpenJobLimit(entry) {
		return &limit{field: "open_jobs", reason: "as many of your jobs are not over as may be", retryAfter: openJobLimitRetryAfter}
	}
	members := len(ts.core.State.Members)
	if entry.Rate > 0 {
		bucket := ts.rateBucket(entry.Name)
		rate, burst := tenant.RateShare(entry.Rate, entry.Burst, members)
		if ok, wait := bucket.Take(ts.core.Now, rate, burst); !ok {
			return &limit{field: "rate", reason: "more submissions than agreed", retryAfter: wait}
		}
	}
	writeRate := core.SubmissionWriteShare * ts.core.Config.Deployment.State.WriteRPS / float64(max(1, members))
	if ok, wait := ts.hosted.admission.fairLimiter.Take(ts.core.Now, entry.Name, writeRate); !ok {
		return &limit{field: "writes", reason: "more submissions at once than can be written", retryAfter: wait}
	}
	return nil
}

// rateBucket is the token bucket of a tenant's submissions at this controller.
func (ts *Service) rateBucket(name tenant.Name) *tenant.TokenBucket {
	buckets := ts.hosted.admission.rateBuckets
	if buckets[name] == nil {
		buckets[name] = &tenant.TokenBucket{}
	}
	return buckets[name]
}

// tenantCounts is what there is of a tenant: jobs whose keys are there, those of them that are not
// over, and tasks on machines.
type tenantCounts struct{ jobs, open, tasks int }

func (ts *Service) countTenant(name tenant.Name) tenantCounts {
	var counts tenantCounts
	for _, j := range ts.core.State.JobsByTenant[string(name)] {
		counts.jobs++
		if !j.Terminal() {
			counts.open++
		}
		counts.tasks += len(j.Placements)
	}
	return counts
}

// atOpenJobLimit is whether as many of a tenant's jobs are not over as may be: by the cluster
// state, and by what this controller is writing. The others may be writing as many, so each of
// them takes no more than its share of what the cluster state leaves: if all have the same state,
// they exceed the limit by less than their number together, and otherwise by the jobs that are
// not read yet. For a while a tenant that was at its limit is taken to be: it may ask often, and
// have very many jobs.
func (ts *Service) atOpenJobLimit(entry *tenant.Entry) bool {
	admission, jobs := &ts.hosted.admission, ts.core.State.JobsByTenant[string(entry.Name)]
	members := max(1, len(ts.core.State.Members))
	if len(jobs)+members*len(admission.pending[entry.Name]) < entry.OpenJobLimit() {
		return false
	}
	if reachedAt, ok := admission.openJobLimitReachedAt[entry.Name]; ok && ts.core.Now.Sub(reachedAt) < openJobLimitTTL {
		return true
	}
	open := ts.countTenant(entry.Name).open
	for id := range admission.pending[entry.Name] {
		if jobs[id] == nil {
			open += members
		}
	}
	if open < entry.OpenJobLimit() {
		return false
	}
	admission.openJobLimitReachedAt[entry.Name] = ts.core.Now
	return true
}

// addPendingSubmission adds a job that is being written.
func (ts *Service) addPendingSubmission(name tenant.Name, id api.JobID) {
	pending := ts.hosted.admission.pending
	if pending[name] == nil {
		pending[name] = map[api.JobID]bool{}
	}
	pending[name][id] = true
}

// removePendingSubmission removes a job that was not written, or that the cluster state has.
func (ts *Service) removePendingSubmission(name tenant.Name, id api.JobID) {
	pending := ts.hosted.admission.pending
	if jobs := pending[name]; jobs != nil {
		if delete(jobs, id); len(jobs) == 0 {
			delete(pending, name)
		}
	}
}
