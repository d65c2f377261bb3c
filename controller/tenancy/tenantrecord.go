package tenancy

// This file writes tenants' records.

import (
	"encoding/json"
	"log/slog"
	"slices"
	"strings"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/tenant"
)

// Statuses that writeTenant reports in addition to those of the state service.
const (
	statusRecordTooLarge = 400 // the record exceeds the maximum size of a value
	statusTooManyWrites  = 413 // the claims of teams exceed the maximum size of a transaction
	statusTeamTaken      = 422 // a team belongs to another tenant
)

// commitTenantChange writes a change of a tenant and answers. A suspension also writes core.KeyGate, so
// that rounds composed before the suspension fail instead of starting tasks of the tenant.
func (ts *Service) commitTenantChange(c message.AdminRequest, updated tenant.Tenant, old *tenant.Entry, secret *NewKeyView) {
	var previous tenant.Tenant
	if old != nil {
		previous = old.Tenant
	}
	extraWrites := []api.Write{ts.NewAuditWrite(c, "tenant "+string(updated.Name), tenantAuditView(previous), tenantAuditView(updated))}
	if c.What == "suspend" {
		value, _ := json.Marshal(updated.Name)
		extraWrites = append(extraWrites, api.Write{Put: core.KeyGate, Value: value})
	}
	ts.writeTenant(updated, old, extraWrites, func(status int, revision api.Revision) {
		switch status {
		case 200:
			slog.Info("tenant changed", "tenant", updated.Name, "by", c.What, "key", c.KeyID, "from", ts.clientAddr(c.Caller), "state", updated.State, "revision", revision)
		case statusRecordTooLarge:
			ts.core.ReplyError(c.Req, 400, "networks: the record is too large")
			return
		case statusTooManyWrites:
			ts.core.ReplyError(c.Req, 400, "teams: too many changes for one transaction")
			return
		case statusTeamTaken:
			ts.core.ReplyError(c.Req, 422, "teams: a team belongs to another tenant")
			return
		}
		ts.ReplyChange(c.Req, status, revision, "the tenant has", func(revision api.Revision) any {
			if secret != nil {
				secret.Revision = revision
				return secret
			}
			return viewTenant(&tenant.Entry{Tenant: updated, Revision: revision}, ts.countTenant(updated.Name))
		})
	})
}

// writeTenant writes a tenant's record together with extraWrites, on the condition that the record is
// still old; old is nil for a new tenant. It claims added teams and releases removed ones.
func (ts *Service) writeTenant(t tenant.Tenant, old *tenant.Entry, extraWrites []api.Write, respond func(status int, revision api.Revision)) {
	key := KeyTenant + string(t.Name)
	data, err := json.Marshal(t)
	if err != nil || ts.core.ExceedsValueSize(data) {
		respond(statusRecordTooLarge, 0)
		return
	}
	condition := api.Condition{Key: key}
	var teams []api.Team
	if old != nil {
		condition.Version = old.Revision
		teams = old.Teams
	}
	txn := api.Txn{If: []api.Condition{condition}, Writes: append([]api.Write{{Put: key, Value: data}}, extraWrites...)}
	ts.claimTeams(&txn, t, teams)
	if !ts.core.TxnFits(txn) {
		respond(statusTooManyWrites, 0)
		return
	}
	ts.core.CallStoreTxn(txn, func(response message.StoreResponse) {
		status := response.Status
		if status == 409 && slices.ContainsFunc(response.Txn.Failed, func(k string) bool { return strings.HasPrefix(k, KeyTeamClaim) }) {
			status = statusTeamTaken
		}
		respond(status, response.Txn.Revision)
	})
}

// claimTeams adds to a transaction the claims of added teams and the releases of removed ones. A claim
// is conditional on the team's record, as the team may be removed concurrently.
func (ts *Service) claimTeams(txn *api.Txn, t tenant.Tenant, had []api.Team) {
	for _, team := range t.Teams {
		if !slices.Contains(had, team) {
			claim, _ := json.Marshal(t.Name)
			txn.If = append(txn.If, api.Condition{Key: KeyTeamClaim + string(team)}, ts.core.State.VersionCondition(KeyTeam+string(team)))
			txn.Writes = append(txn.Writes, api.Write{Put: KeyTeamClaim + string(team), Value: claim})
		}
	}
	for _, team := range had {
		if !slices.Contains(t.Teams, team) {
			txn.Writes = append(txn.Writes, api.Write{Drop: KeyTeamClaim + string(team)})
		}
	}
}

// tenantAuditView returns a tenant's record for the audit log, with the number of networks and the names
// of keys.
func tenantAuditView(t tenant.Tenant) any {
	if t.Name == "" {
		return nil
	}
	names := []string{}
	for _, k := range t.Keys {
		names = append(names, k.Name)
	}
	networks := t.Networks.Len()
	t.Networks, t.Keys = tenant.Networks{}, nil
	return struct {
		tenant.Tenant
		Keys     []string `json:"keys"`
		Networks int      `json:"networks"`
	}{t, names, networks}
}
