package tenancy

// This file lists a tenant's jobs that are not over, and says why they wait.

import (
	"maps"
	"slices"
	"strings"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/tenant"
)

type (
	// UnfinishedJob is a job of a tenant that is not over.
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
	// QueueView is a page of a tenant's jobs that are not over, the oldest first. After is
	// what to ask for next, empty at the end.
	QueueView struct {
		Open  int             `json:"open"`
		Jobs  []UnfinishedJob `json:"jobs"`
		After string          `json:"after,omitempty"`
	}
)

// queuePosition is a job's position in its tenant's list.
func queuePosition(j *core.Job) string {
	return core.TimeKey(j.AcceptedAt) + "-" + string(j.TenantJobID)
}

// viewQueue is a page of a tenant's jobs that are not over, after a position in the list.
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

// pendingReason is why a job of a tenant waits, as far as it lies with the tenant itself: what
// else there is on the machines is nobody's business. It is empty for other reasons.
func (ts *Service) pendingReason(entry *tenant.Entry, j *core.Job, usage map[api.Team]api.Resources) string {
	need := j.Demand
	need.Mem = 0
	switch {
	case !j.HasPendingTasks():
		return ""
	case !entry.MayStartTasks():
		return "suspended: " + entry.SuspendReason
	case j.OwnerState.BackoffUntil > ts.core.Now:
		return "its tasks failed: it is tried again later"
	case !need.Fits(core.QuotaLimit(ts.core.Teams[j.Spec.Team]).Minus(usage[j.Spec.Team])):
		return "the limit of team " + string(j.Spec.Team)
	}
	for p := range ts.core.State.Partitions {
		if j.PendingTasks(api.PartitionID(p)) > 0 && ts.siblings.Pools.PendingReasonPool(j, api.PartitionID(p)) != "" {
			return "units of a pool"
		}
	}
	return ""
}
