package controller

import (
	"encoding/json"
	"fmt"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/tenant"
)

// Keys of what a hosted service keeps for looking up. They lie outside the root, so that
// what a restart reads does not grow with them.
const (
	keyHistory = "history/" // TENANT/TIME-REF
	keyAudit   = "audit/"   // TIME-CONTROLLER-NUMBER
)

// auditRetention is for how long operators' changes are kept.
const auditRetention = 90 * 24 * time.Hour

type (
	// FinishedJob is a job of a tenant's history.
	FinishedJob struct {
		JobID      api.JobID    `json:"ref"`
		State      api.JobState `json:"stato"`
		Class      api.Class    `json:"mestiere"`
		Team       api.Team     `json:"bottega"`
		Tasks      int          `json:"pezzi"`
		AcceptedAt api.WallTime `json:"accepted"` // in milliseconds since 1970
		EndedAt    api.WallTime `json:"ended"`    // put away, some seconds after its last task
	}
	// HistoryView is a page of a tenant's history, the oldest first. After is what to ask
	// for next, empty at the end.
	HistoryView struct {
		Jobs  []FinishedJob `json:"jobs"`
		After string        `json:"after,omitempty"`
	}
	// AuditEntry is an operator's change.
	AuditEntry struct {
		Time    api.WallTime    `json:"at"` // in milliseconds since 1970
		Key     tenant.KeyID    `json:"key"`
		From    string          `json:"from,omitempty"`
		Action  string          `json:"what"`
		KeyName string          `json:"sub,omitempty"` // the key it is about
		Subject string          `json:"about"`         // "tenant NAME", "team NAME", "operators", "settings"
		Before  json.RawMessage `json:"before,omitempty"`
		After   json.RawMessage `json:"after"`
	}
	// AuditView is a page of the operators' changes, the oldest first.
	AuditView struct {
		Entries []AuditEntry `json:"changes"`
		After   string       `json:"after,omitempty"`
	}
)

// HistoryWrite is the record of a tenant's job that is put away.
func (ts *TenantService) HistoryWrite(j *core.Job) api.Write {
	v, _ := json.Marshal(FinishedJob{JobID: j.TenantJobID, State: j.State(), Class: j.Spec.Class, Team: j.Spec.Team, Tasks: j.Spec.Tasks, AcceptedAt: j.AcceptedAt, EndedAt: ts.core.WallClock})
	return api.Write{Put: keyHistory + j.Tenant + "/" + core.TimeKey(ts.core.WallClock) + "-" + string(j.TenantJobID), Value: v}
}

// AuditWrite is the record of an operator's change, written with it: what was and is, as
// it may be shown.
func (ts *TenantService) AuditWrite(c message.AdminRequest, subject string, before, after any) api.Write {
	entry := AuditEntry{Time: ts.core.WallClock, Key: c.KeyID, Action: c.What, KeyName: c.Sub, Subject: subject}
	if from := ts.clientAddr(c.Caller); from.IsValid() {
		entry.From = from.String()
	}
	if before != nil {
		entry.Before, _ = json.Marshal(before)
	}
	entry.After, _ = json.Marshal(after)
	v, _ := json.Marshal(entry)
	ts.hosted.auditSequence++
	return api.Write{Put: fmt.Sprintf("%s%s-%s-%d", keyAudit, core.TimeKey(ts.core.WallClock), ts.core.Config.Label, ts.hosted.auditSequence), Value: v}
}

func (ts *TenantService) ListHistory(c message.ListHistory) {
	fail := func() { ts.core.ReplyError(c.Req, 503, "state service not reachable") }
	ts.withTenant(c.Req, c.Caller, func(e *tenant.Entry) {
		core.ReadPage(ts.core, keyHistory+string(e.Name)+"/", c.After, c.Limit, func(jobs []FinishedJob, next string) {
			ts.core.Reply(c.Req, 200, HistoryView{jobs, next}, 0)
		}, fail)
	}, fail)
}

func (ts *TenantService) ListAudit(c message.AdminRequest) {
	core.ReadPage(ts.core, keyAudit, c.After, c.Limit, func(entries []AuditEntry, next string) {
		ts.core.Reply(c.Req, 200, AuditView{entries, next}, 0)
	}, func() { ts.core.ReplyError(c.Req, 503, "state service not reachable") })
}

// historySweepInterval is how often one list of what is kept is looked through for what is old:
// the audit and the tenants' histories by turns.
const historySweepInterval = 10 * time.Second

// sweepHistory deletes what has been kept for long enough, the oldest first, a transaction
// at a time. The owner of part 0 does.
func (ts *TenantService) sweepHistory() {
	service, owned := ts.hosted, ts.core.Partitions[0]
	if service == nil || owned == nil || service.sweeping || ts.core.Now.Sub(service.sweptAt) < historySweepInterval || ts.core.Overloaded() {
		return
	}
	service.sweptAt, service.sweeping = ts.core.Now, true
	prefix, retention := keyAudit, auditRetention
	if names := service.tenants.Names(); service.sweepNext < len(names) {
		e := service.tenants.Get(names[service.sweepNext])
		prefix, retention = keyHistory+string(e.Name)+"/", api.Seconds(e.Retention)
		service.sweepNext++
	} else {
		service.sweepNext = 0
	}
	ts.core.SweepPrefix(owned, prefix, retention, func() { service.sweeping = false })
}
