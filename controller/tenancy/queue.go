package tenancy

// This file lists a tenant's unfinished jobs with the reasons why they are pending.

import (
	"maps"
	"slices"
	"strings"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/tenant"
)

type (
	// UnfinishedJob is an unfinished job as shown to its tenant.
	UnfinishedJob struct {
		Ref      api.JobID    `json:"ref"`
		State    api.JobState `json:"stato"`
		Class    api.Class    `json:"mestiere"`
		Team     api.Team     `json:"bottega"`
		Tasks    int          `json:"pezzi"`
		Done     int          `json:"done"`
		Running  int          `json:"running"`
		Accepted api.WallTime `json:"accepted"` // in milliseconds since 1970
		Reason   string       `json:"why,omitempty"`
	}
	// QueueView is a page of a tenant's unfinished jobs, the oldest first. After is the cursor of
	// the next page, empty on the last one.
	QueueView struct {
		Open  int             `json:"open"`
		Jobs  []UnfinishedJob `json:"jobs"`
		After string          `json:"after,omitempty"`
	}
)

// queuePosition returns the sort key of a job in its tenant's list.
func queuePosition(j *core.Job) string {
	return core.TimeKey(j.AcceptedAt) + "-" + string(j.TenantJobID)
}

// viewQueue returns a page of a tenant's unfinished jobs, from the first one after a position.
func (ts *Service) viewQueue(entry *tenant.Entry, after string, limit int) QueueView {
	v := QueueView{Jobs: []UnfinishedJob{}}
	jobs := slices.DeleteFunc(slices.Collect(maps.Values(ts.core.State.JobsByTenant[string(entry.Name)])), (*core.Job).Terminal)
	v.Open = len(jobs)
	slices.SortFunc(jobs, func(a, b *core.Job) int { return strings.Compare(queuePosition(a), queuePosition(b)) })
	total := ts.core.TeamUsage()
	from, found := slices.BinarySearchFunc(jobs, after, func(j *core.Job, at string) int { return strings.Compare(queuePosition(j), at) })
	if found {
		from++
	}
	jobs = jobs[from:]
	if len(jobs) > limit {
		jobs = jobs[:limit]
		v.After = queuePosition(jobs[limit-1])
	}
	for _, j := range jobs {
		v.Jobs = append(v.Jobs, UnfinishedJob{Ref: j.TenantJobID, State: j.State(), Class: j.Spec.Class, Team: j.Spec.Team, Tasks: j.Spec.Tasks, Done: j.CompletedCount,
			Running: len(j.Placements), Accepted: j.AcceptedAt, Reason: ts.pendingReason(entry, j, total)})
	}
	return v
}

// pendingReason explains why a tenant's job is pending. It is empty if the reason is not the
// tenant's own, as it must not reveal the use of machines by others.
func (ts *Service) pendingReason(entry *tenant.Entry, j *core.Job, usage map[api.Team]api.Resources) string {
	need := j.Demand
	need.Mem = 0
	switch {
	case !j.HasPendingTasks():
		return ""
	case !entry.MayStartTasks():
		return "suspended: " + entry.SuspendReason
	case j.OwnerState.BackoffUntil > ts.core.Now:
		return "retry backoff after task failures"
	case !need.Fits(core.QuotaLimit(ts.core.Teams[j.Spec.Team]).Minus(usage[j.Spec.Team])):
		return "quota limit of team " + string(j.Spec.Team)
	}
	for p := range ts.core.State.Partitions {
		if j.PendingTasks(api.PartitionID(p)) > 0 && ts.deps.Pools.PoolPendingReason(j, api.PartitionID(p)) != "" {
			return "pool units not available"
		}
	}
	return ""
}
