package controller

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
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

// timeKey is a time as part of a key, so that keys are in order of time.
func timeKey(at api.WallTime) string { return fmt.Sprintf("%013d", max(0, at)) }

// HistoryWrite is the record of a tenant's job that is put away.
func (ts *TenantService) HistoryWrite(j *core.Job) api.Write {
	v, _ := json.Marshal(FinishedJob{JobID: j.TenantJobID, State: j.State(), Class: j.Spec.Class, Team: j.Spec.Team, Tasks: j.Spec.Tasks, AcceptedAt: j.AcceptedAt, EndedAt: ts.core.WallClock})
	return api.Write{Put: keyHistory + j.Tenant + "/" + timeKey(ts.core.WallClock) + "-" + string(j.TenantJobID), Value: v}
}

// AuditWrite is the record of an operator's change, written with it: what was and is, as
// it may be shown.
func (ts *TenantService) AuditWrite(c message.AdminRequest, subject string, before, after any) api.Write {
	entry := AuditEntry{Time: ts.core.WallClock, Key: c.KeyID, Action: string(c.What), KeyName: c.Sub, Subject: subject}
	if from := ts.clientAddr(c.Caller); from.IsValid() {
		entry.From = from.String()
	}
	if before != nil {
		entry.Before, _ = json.Marshal(before)
	}
	entry.After, _ = json.Marshal(after)
	v, _ := json.Marshal(entry)
	ts.hosted.auditSequence++
	return api.Write{Put: fmt.Sprintf("%s%s-%s-%d", keyAudit, timeKey(ts.core.WallClock), ts.core.Config.Label, ts.hosted.auditSequence), Value: v}
}

// readPage reads a page of what is kept under a prefix, and what to ask for next.
func readPage[T any](n *Controller, prefix, after string, limit int, callback func(items []T, next string), fail func()) {
	start := ""
	if after != "" {
		start = prefix + after
	}
	n.core.CallStore(message.StoreCall{Page: &message.PageRequest{Prefix: prefix, After: start, Limit: limit}}, func(a message.StoreResponse) {
		if a.Status != 200 {
			fail()
			return
		}
		items, next := []T{}, ""
		for _, p := range a.Page.Pairs {
			var x T
			if err := json.Unmarshal(p.Value, &x); err != nil {
				slog.Error("record could not be decoded", "key", p.Key, "err", err)
			} else {
				items = append(items, x)
			}
			next = strings.TrimPrefix(p.Key, prefix)
		}
		if !a.Page.More {
			next = ""
		}
		callback(items, next)
	})
}

func (ts *TenantService) ListHistory(c message.ListHistory) {
	fail := func() { ts.core.ReplyError(c.Req, 503, "state service not reachable") }
	ts.withTenant(c.Req, c.Caller, func(e *tenant.Entry) {
		readPage(ts.c, keyHistory+string(e.Name)+"/", c.After, c.Limit, func(jobs []FinishedJob, next string) {
			ts.core.Reply(c.Req, 200, HistoryView{jobs, next}, 0)
		}, fail)
	}, fail)
}

func (ts *TenantService) ListAudit(c message.AdminRequest) {
	readPage(ts.c, keyAudit, c.After, c.Limit, func(entries []AuditEntry, next string) {
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
	ts.SweepPrefix(owned, prefix, retention, func() { service.sweeping = false })
}

// SweepPrefix deletes some of the keys under a prefix that have been kept for long enough; a time
// follows the prefix.
func (ts *TenantService) SweepPrefix(owned *core.OwnedPartition, prefix string, retention time.Duration, done func()) {
	cutoff := timeKey(ts.core.WallClock - api.WallTime(retention.Milliseconds()))
	ts.core.CallStore(message.StoreCall{Page: &message.PageRequest{Prefix: prefix, Limit: ts.core.Config.Deployment.State.TxnOps}}, func(a message.StoreResponse) {
		tx := api.Txn{If: []api.Condition{owned.OwnershipCondition()}}
		if a.Status == 200 {
			for _, p := range a.Page.Pairs {
				if strings.TrimPrefix(p.Key, prefix) < cutoff {
					tx.Writes = append(tx.Writes, api.Write{Drop: p.Key})
				}
			}
		}
		if len(tx.Writes) == 0 {
			done()
			return
		}
		ts.core.CallStoreTxn(tx, func(message.StoreResponse) { done() })
	})
}
