package controller

import (
	"encoding/json"
	"log/slog"
	"reflect"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/tenant"
)

// What an operator of a hosted service sends and is shown.
type (
	// TenantView is a tenant as it is shown, with the revision that a change must name. Of
	// its keys only what is public is shown.
	TenantView struct {
		tenant.Tenant
		Keys     []KeyView    `json:"keys"`
		Jobs     int          `json:"jobs"` // that are not over
		Tasks    int          `json:"tasks"`
		Revision api.Revision `json:"revision"`
	}
	// KeyView is a key as it is shown.
	KeyView struct {
		ID       tenant.KeyID `json:"id"`
		Name     string       `json:"name"`
		Created  api.WallTime `json:"created"`
		Expires  api.WallTime `json:"expires,omitempty"`
		LastUsed api.WallTime `json:"used,omitempty"` // last, to the hour
	}
	// NewKeyView is a key when it is made: the only time that its secret is shown.
	NewKeyView struct {
		KeyView
		Secret   string       `json:"secret"`
		Revision api.Revision `json:"revision"`
	}
	// tenantRequest is what an act on a tenant may bring.
	tenantRequest struct {
		Revision  *api.Revision   `json:"revision"`
		Display   string          `json:"display"`
		Teams     []api.Team      `json:"teams"`
		Rate      float64         `json:"rate"`
		Burst     float64         `json:"burst"`
		OpenJobs  int             `json:"open_jobs"`
		Networks  tenant.Networks `json:"networks"`
		Retention float64         `json:"retention_s"`
		Why       string          `json:"why"`
		Drain     float64         `json:"drain_s"`
		Cancel    bool            `json:"cancel"`
		Name      string          `json:"name"`
		Expires   api.WallTime    `json:"expires"`
	}
)

func viewKey(k tenant.Key) KeyView {
	return KeyView{ID: k.ID, Name: k.Name, Created: k.Created, Expires: k.Expires}
}

func viewTenant(entry *tenant.Entry, counts tenantCounts) TenantView {
	v := TenantView{Tenant: entry.Tenant, Keys: []KeyView{}, Jobs: counts.open, Tasks: counts.tasks, Revision: entry.Revision}
	v.Tenant.Keys = nil
	for _, k := range entry.Keys {
		v.Keys = append(v.Keys, viewKey(k))
	}
	return v
}

func (ts *TenantService) HandleTenantRequest(c message.AdminRequest) error {
	if c.What == "tenants" {
		out := []TenantView{}
		for _, name := range ts.hosted.tenants.Names() {
			out = append(out, viewTenant(ts.hosted.tenants.Get(name), ts.countTenant(name)))
		}
		ts.core.Reply(c.Req, 200, out, 0)
		return nil
	}
	name := tenant.Name(c.ID)
	entry := ts.hosted.tenants.Get(name)
	if entry == nil && c.What != "tenant-put" {
		return &tenant.Error{Status: 404, Field: "name", Reason: "there is no tenant " + c.ID}
	}
	switch c.What {
	case "tenant":
		ts.readKeyUses(c, name, func(lastUsed map[tenant.KeyID]api.WallTime) {
			v := viewTenant(entry, ts.countTenant(name))
			for i := range v.Keys {
				v.Keys[i].LastUsed = lastUsed[v.Keys[i].ID]
			}
			ts.core.Reply(c.Req, 200, v, 0)
		})
		return nil
	case "usage":
		v := ts.viewUsage(entry)
		v.Controller, v.Submissions = ts.core.Config.Label, ts.hosted.submissions[name]
		ts.core.Reply(c.Req, 200, v, 0)
		return nil
	}
	var request tenantRequest
	if err := core.DecodeRequest(c.Body, &request); err != nil {
		return err
	}
	var old tenant.Tenant
	if entry != nil {
		old = entry.Tenant
	}
	updated, secret, err := ts.applyTenantChange(c, old, request, ts.countTenant(name).jobs)
	if err != nil {
		return err
	}
	if entry != nil && reflect.DeepEqual(updated, old) {
		ts.core.Reply(c.Req, 200, viewTenant(entry, ts.countTenant(name)), 0) // it is so already: asked again, perhaps
		return nil
	}
	var revision api.Revision
	if entry != nil {
		revision = entry.Revision
	}
	if err := core.CheckRevision(request.Revision, revision, "the tenant"); err != nil {
		return err
	}
	if err := updated.Check(); err != nil {
		return err
	}
	for _, team := range updated.Teams {
		if _, known := ts.core.Teams[team]; !known {
			return &tenant.Error{Status: 422, Field: "teams", Reason: "there is no team " + string(team)}
		}
	}
	ts.commitTenantChange(c, updated, entry, secret)
	return nil
}

// applyTenantChange is a tenant, who has so many jobs, after an act.
func (ts *TenantService) applyTenantChange(c message.AdminRequest, t tenant.Tenant, request tenantRequest, openJobs int) (tenant.Tenant, *NewKeyView, error) {
	var err error
	switch c.What {
	case "tenant-put":
		if t.State == tenant.Removed || t.State == tenant.Removing {
			return t, nil, &tenant.Error{Status: 409, Field: "name", Reason: c.ID + " is " + string(t.State)}
		}
		if t.State == "" {
			t.Name, t.State = tenant.Name(c.ID), tenant.Active
		}
		t.Display, t.Teams, t.Rate, t.Burst = request.Display, request.Teams, request.Rate, request.Burst
		t.OpenJobs, t.Networks, t.Retention = request.OpenJobs, request.Networks, request.Retention
	case "suspend":
		t, err = t.Suspend(request.Why, request.Drain, ts.core.WallClock)
	case "resume":
		t, err = t.Resume()
	case "remove":
		t, err = t.Remove(openJobs, request.Cancel)
	case "key-add":
		if slices.ContainsFunc(t.Keys, func(k tenant.Key) bool { return k.Name == request.Name }) {
			return t, nil, &tenant.Error{Status: 409, Field: "name", Reason: "there is a key of that name; its secret is not shown again"}
		}
		k, secret, err := ts.newKey(c, request.Name, request.Expires)
		if err != nil {
			return t, nil, err
		}
		t.Keys = append(slices.Clone(t.Keys), k)
		return t, secret, nil
	case "key-revoke":
		t.Keys = slices.DeleteFunc(slices.Clone(t.Keys), func(k tenant.Key) bool { return k.Name == c.Sub })
		if len(t.Keys) == 0 {
			t.Keys = nil
		}
	}
	return t, nil, err
}

// commitTenantChange writes a change and answers. With what holds a tenant's work the gate is
// written, at the version that was read with it.
func (ts *TenantService) commitTenantChange(c message.AdminRequest, updated tenant.Tenant, old *tenant.Entry, secret *NewKeyView) {
	var previous tenant.Tenant
	if old != nil {
		previous = old.Tenant
	}
	extraWrites := []api.Write{ts.AuditWrite(c, "tenant "+string(updated.Name), tenantAuditView(previous), tenantAuditView(updated))}
	if c.What == "suspend" {
		v, _ := json.Marshal(updated.Name)
		extraWrites = append(extraWrites, api.Write{Put: core.KeyGate, Value: v})
	}
	ts.writeTenant(updated, old, extraWrites, func(status int, rev api.Revision) {
		switch status {
		case 200:
			slog.Info("tenant changed", "tenant", updated.Name, "by", c.What, "key", c.KeyID, "from", ts.clientAddr(c.Caller), "state", updated.State, "revision", rev)
		case 400:
			ts.core.ReplyError(c.Req, 400, "networks: the record is too large")
			return
		case 413:
			ts.core.ReplyError(c.Req, 400, "teams: too many at once for one transaction")
			return
		case 422:
			ts.core.ReplyError(c.Req, 422, "teams: one belongs to another tenant")
			return
		}
		ts.ReplyChange(c.Req, status, rev, "the tenant has", func(rev api.Revision) any {
			if secret != nil {
				secret.Revision = rev
				return secret
			}
			return viewTenant(&tenant.Entry{Tenant: updated, Revision: rev}, ts.countTenant(updated.Name))
		})
	})
}

// tenantAuditView is a record as the audit shows it: networks counted, keys by their names.
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
