package tenancy

// This file limits tenants' submissions by the number of open jobs, by rate, and by the write budget
// of this controller.

import (
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/tenant"
)

// openJobLimitTTL is the time for which the result that a tenant is at its limit of open jobs is
// cached.
const openJobLimitTTL = 250 * time.Millisecond

// openJobLimitRetryAfter is the delay before a tenant at that limit should retry.
const openJobLimitRetryAfter = 2 * time.Second

// admission is the state of the limits on submissions at this controller.
type admission struct {
	rateBuckets           map[tenant.Name]*tenant.TokenBucket
	fairLimiter           tenant.FairLimiter
	pending               map[tenant.Name]map[api.JobID]bool // jobs whose write is in flight at this controller
	openJobLimitReachedAt map[tenant.Name]api.Time           // when the tenant was last found at its limit
}

func newAdmission() admission {
	return admission{
		rateBuckets:           map[tenant.Name]*tenant.TokenBucket{},
		pending:               map[tenant.Name]map[api.JobID]bool{},
		openJobLimitReachedAt: map[tenant.Name]api.Time{},
	}
}

// exceededLimit is a limit that refuses a submission for now.
type exceededLimit struct {
	field      string // name of the limit
	reason     string
	retryAfter time.Duration
}

// admit returns nil if a tenant may submit another job, otherwise the limit that the submission
// exceeds: the tenant's open jobs, its rate, or the write budget of this controller.
func (ts *Service) admit(entry *tenant.Entry) *exceededLimit {
	if ts.atOpenJobLimit(entry) {
		return &exceededLimit{field: "open_jobs", reason: "maximum number of unfinished jobs reached", retryAfter: openJobLimitRetryAfter}
	}
	members := len(ts.core.State.Members)
	if entry.Rate > 0 {
		bucket := ts.rateBucket(entry.Name)
		rate, burst := tenant.RateShare(entry.Rate, entry.Burst, members)
		if ok, wait := bucket.Take(ts.core.Now, rate, burst); !ok {
			return &exceededLimit{field: "rate", reason: "submission rate exceeds the tenant's limit", retryAfter: wait}
		}
	}
	writeRate := core.SubmissionWriteShare * ts.core.Config.Deployment.State.WriteRPS / float64(max(1, members))
	if ok, wait := ts.hosted.admission.fairLimiter.Take(ts.core.Now, entry.Name, writeRate); !ok {
		return &exceededLimit{field: "writes", reason: "submission rate exceeds this controller's share of the state service's write limit", retryAfter: wait}
	}
	return nil
}

// rateBucket returns the token bucket of a tenant's submissions at this controller.
func (ts *Service) rateBucket(name tenant.Name) *tenant.TokenBucket {
	buckets := ts.hosted.admission.rateBuckets
	if buckets[name] == nil {
		buckets[name] = &tenant.TokenBucket{}
	}
	return buckets[name]
}

// tenantCounts counts a tenant's jobs in the cluster state, the unfinished jobs among them, and the
// tasks that are placed on machines.
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

// atOpenJobLimit reports whether a tenant has reached its limit of open jobs. It counts the jobs in
// the cluster state, and each pending submission of this controller once for every controller, as
// the others may be writing as many. The limit can still be exceeded by less than the number of
// controllers, and by jobs that are written but not read yet. A positive result is cached, because
// the count of a tenant with very many jobs is costly.
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

// addPendingSubmission adds a job whose write is in flight.
func (ts *Service) addPendingSubmission(name tenant.Name, id api.JobID) {
	pending := ts.hosted.admission.pending
	if pending[name] == nil {
		pending[name] = map[api.JobID]bool{}
	}
	pending[name][id] = true
}

// removePendingSubmission removes a job that was not written, or that the cluster state now holds.
func (ts *Service) removePendingSubmission(name tenant.Name, id api.JobID) {
	pending := ts.hosted.admission.pending
	if jobs := pending[name]; jobs != nil {
		if delete(jobs, id); len(jobs) == 0 {
			delete(pending, name)
		}
	}
}
