package tenancy

// This file records and lists the history of tenants' finished jobs, and deletes expired history and
// audit entries.

import (
	"encoding/json"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/tenant"
)

// KeyHistory is the prefix of tenants' finished jobs; a key ends in TENANT/TIME-REF. The prefix is
// outside the root, so that a controller does not read it at startup.
const KeyHistory = "history/"

// reasonStoreUnreachable refuses a request that needs the state service.
const reasonStoreUnreachable = "state service not reachable"

type (
	// FinishedJob is a job in a tenant's history.
	FinishedJob struct {
		JobID      api.JobID    `json:"ref"`
		State      api.JobState `json:"stato"`
		Class      api.Class    `json:"mestiere"`
		Team       api.Team     `json:"bottega"`
		Tasks      int          `json:"pezzi"`
		AcceptedAt api.WallTime `json:"accepted"` // in milliseconds since 1970
		EndedAt    api.WallTime `json:"ended"`    // time of archiving, some seconds after the end of the last task
	}
	// HistoryView is a page of a tenant's history, the oldest job first. After is the cursor of
	// the next page, empty on the last one.
	HistoryView struct {
		Jobs  []FinishedJob `json:"jobs"`
		After string        `json:"after,omitempty"`
	}
)

// historyPrefix returns the key prefix of a tenant's history.
func historyPrefix(name tenant.Name) string { return KeyHistory + string(name) + "/" }

// NewHistoryWrite returns the write of a tenant's archived job to its history.
func (ts *Service) NewHistoryWrite(j *core.Job) api.Write {
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

// historySweepInterval is the interval between sweeps, each of one prefix: the audit log and the
// tenants' histories in rotation.
const historySweepInterval = 10 * time.Second

// historySweep is the progress of the deletion of expired history.
type historySweep struct {
	nextTenant int // index of the tenant whose history is swept next
	startedAt  api.Time
	inProgress bool
}

// sweepHistory deletes history and audit entries whose retention has expired, the oldest first. Only
// the owner of partition 0 does so.
func (ts *Service) sweepHistory() {
	hostedState, owned := ts.hosted, ts.core.Partitions[0]
	if hostedState == nil || owned == nil || hostedState.sweep.inProgress || ts.core.Now.Sub(hostedState.sweep.startedAt) < historySweepInterval || ts.core.Overloaded() {
		return
	}
	hostedState.sweep.startedAt, hostedState.sweep.inProgress = ts.core.Now, true
	prefix, retention := KeyAudit, auditRetention
	if names := hostedState.tenants.Names(); hostedState.sweep.nextTenant < len(names) {
		entry := hostedState.tenants.Get(names[hostedState.sweep.nextTenant])
		prefix, retention = historyPrefix(entry.Name), api.Seconds(entry.RetentionSeconds)
		hostedState.sweep.nextTenant++
	} else {
		hostedState.sweep.nextTenant = 0
	}
	ts.core.DeleteExpiredRecords(owned, prefix, retention, func() { hostedState.sweep.inProgress = false })
}
