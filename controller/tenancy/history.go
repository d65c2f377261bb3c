package tenancy

// This file keeps the history of tenants' finished jobs, and deletes it and the audit in time.

import (
	"encoding/json"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/tenant"
)

// KeyHistory holds a tenant's finished jobs: TENANT/TIME-REF. It lies outside the root, so that
// what a restart reads does not grow with it.
const KeyHistory = "history/"

// reasonStoreUnreachable is why a request is refused that needs the state service.
const reasonStoreUnreachable = "state service not reachable"

type (
	// FinishedJob is a job of a tenant's history.
	FinishedJob struct {
		JobID      api.JobID    `json:"ref"`
		State      api.JobState `json:"stato"`
		Class      api.Class    `json:"mestiere"`
		Team       api.Team     `json:"bottega"`
		Tasks      int          `json:"pezzi"`
		AcceptedAt api.WallTime `json:"accepted"` // in milliseconds since 1970
		EndedAt    api.WallTime `json:"ended"`    // archived, some seconds after its last task
	}
	// HistoryView is a page of a tenant's history, the oldest first. After is what to ask
	// for next, empty at the end.
	HistoryView struct {
		Jobs  []FinishedJob `json:"jobs"`
		After string        `json:"after,omitempty"`
	}
)

// historyPrefix is what the keys of a tenant's history begin with.
func historyPrefix(name tenant.Name) string { return KeyHistory + string(name) + "/" }

// HistoryWrite is the record of a tenant's job that is archived.
func (ts *Service) HistoryWrite(j *core.Job) api.Write {
	value, _ := json.Marshal(FinishedJob{JobID: j.TenantJobID, State: j.State(), Class: j.Spec.Class, Team: j.Spec.Team, Tasks: j.Spec.Tasks, AcceptedAt: j.AcceptedAt, EndedAt: ts.core.WallClock})
	return api.Write{Put: historyPrefix(tenant.Name(j.Tenant)) + core.TimeKey(ts.core.WallClock) + "-" + string(j.TenantJobID), Value: value}
}

// ListHistory answers a tenant with a page of its history.
func (ts *Service) ListHistory(c message.ListHistory) {
	fail := func() { ts.core.ReplyError(c.Req, 503, reasonStoreUnreachable) }
	ts.withTenant(c.Req, c.Caller, func(entry *tenant.Entry) {
		core.ReadPage(ts.core, historyPrefix(entry.Name), c.After, c.Limit, func(jobs []FinishedJob, next string) {
			ts.core.Reply(c.Req, 200, HistoryView{Jobs: jobs, After: next}, 0)
		}, fail)
	}, fail)
}

// historySweepInterval is how often one prefix is looked through for what is old: the audit and
// the tenants' histories by turns.
const historySweepInterval = 10 * time.Second

// historySweep is how far the deletion of old history has come.
type historySweep struct {
	nextTenant int // whose history is looked through next
	startedAt  api.Time
	inProgress bool
}

// sweepHistory deletes what has been kept for long enough, the oldest first, a transaction
// at a time. The owner of partition 0 does.
func (ts *Service) sweepHistory() {
	service, owned := ts.hosted, ts.core.Partitions[0]
	if service == nil || owned == nil || service.sweep.inProgress || ts.core.Now.Sub(service.sweep.startedAt) < historySweepInterval || ts.core.Overloaded() {
		return
	}
	service.sweep.startedAt, service.sweep.inProgress = ts.core.Now, true
	prefix, retention := KeyAudit, auditRetention
	if names := service.tenants.Names(); service.sweep.nextTenant < len(names) {
		entry := service.tenants.Get(names[service.sweep.nextTenant])
		prefix, retention = historyPrefix(entry.Name), api.Seconds(entry.Retention)
		service.sweep.nextTenant++
	} else {
		service.sweep.nextTenant = 0
	}
	ts.core.SweepPrefix(owned, prefix, retention, func() { service.sweep.inProgress = false })
}
