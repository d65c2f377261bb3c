package tenancy

// This file records and lists the audit log of operators' changes.

import (
	"encoding/json"
	"fmt"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/tenant"
)

// KeyAudit is the prefix of the audit log; a key ends in TIME-CONTROLLER-NUMBER. The prefix is outside
// the root, so that a controller does not read it at startup.
const KeyAudit = "audit/"

// auditRetention is the retention period of the audit log.
const auditRetention = 90 * 24 * time.Hour

type (
	// AuditEntry is the record of one change by an operator.
	AuditEntry struct {
		Time    api.WallTime    `json:"at"` // in milliseconds since 1970
		Key     tenant.KeyID    `json:"key"`
		From    string          `json:"from,omitempty"`
		Action  string          `json:"what"`
		KeyName string          `json:"sub,omitempty"` // the access key that was added or revoked
		Subject string          `json:"about"`         // "tenant NAME", "team NAME", "operators", "settings"
		Before  json.RawMessage `json:"before,omitempty"`
		After   json.RawMessage `json:"after"`
	}
	// AuditView is a page of the audit log, the oldest entry first.
	AuditView struct {
		Entries []AuditEntry `json:"changes"`
		After   string       `json:"after,omitempty"`
	}
)

// NewAuditWrite returns the write of an audit entry, for the transaction of the change. before and
// after must not contain secrets.
func (ts *Service) NewAuditWrite(c message.AdminRequest, subject string, before, after any) api.Write {
	entry := AuditEntry{Time: ts.core.WallClock, Key: c.KeyID, Action: string(c.What), KeyName: c.Sub, Subject: subject}
	if from := ts.clientAddr(c.Caller); from.IsValid() {
		entry.From = from.String()
	}
	if before != nil {
		entry.Before, _ = json.Marshal(before)
	}
	entry.After, _ = json.Marshal(after)
	value := ts.encodeAuditEntry(entry)
	ts.hosted.auditSequence++
	return api.Write{Put: fmt.Sprintf("%s%s-%s-%d", KeyAudit, core.TimeKey(ts.core.WallClock), ts.core.Config.Label, ts.hosted.auditSequence), Value: value}
}

// omittedRecord replaces a record in an audit entry that is too large for a value.
type omittedRecord struct {
	OmittedBytes int `json:"omitted_bytes"`
}

// encodeAuditEntry encodes an audit entry. If it is too large for a value, the record before the change,
// and if necessary the one after it, are replaced by their sizes: otherwise the change could never be made.
func (ts *Service) encodeAuditEntry(entry AuditEntry) []byte {
	value, _ := json.Marshal(entry)
	for _, record := range []*json.RawMessage{&entry.Before, &entry.After} {
		if !ts.core.ExceedsValueSize(value) {
			break
		}
		*record, _ = json.Marshal(omittedRecord{OmittedBytes: len(*record)})
		value, _ = json.Marshal(entry)
	}
	return value
}

// ListAudit answers an operator with a page of the audit log.
func (ts *Service) ListAudit(c message.AdminRequest) {
	core.ReadPage(ts.core, KeyAudit, c.After, c.Limit, func(entries []AuditEntry, next string) {
		ts.core.Reply(c.Req, 200, AuditView{Entries: entries, After: next}, 0)
	}, func() { ts.core.ReplyError(c.Req, 503, reasonStoreUnreachable) })
}
