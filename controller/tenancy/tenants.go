package tenancy

// This file answers operators' requests about tenants.

import (
	"reflect"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/tenant"
)

type (
	// TenantView is a tenant as shown to operators, without the secrets of its keys. A change must
	// name the revision.
	TenantView struct {
		tenant.Tenant
		Keys     []KeyView    `json:"keys"`
		Jobs     int          `json:"jobs"` // unfinished
		Tasks    int          `json:"tasks"`
		Revision api.Revision `json:"revision"`
	}
	// KeyView is a key without its secret.
	KeyView struct {
		ID       tenant.KeyID `json:"id"`
		Name     string       `json:"name"`
		Created  api.WallTime `json:"created"`
		Expires  api.WallTime `json:"expires,omitempty"`
		LastUsed api.WallTime `json:"used,omitempty"` // rounded down to the hour
	}
	// NewKeyView is a new key with its secret, which is not shown again.
	NewKeyView struct {
		KeyView
		Secret   string       `json:"secret"`
		Revision api.Revision `json:"revision"`
	}
	// TenantRequest is the body of a request that changes a tenant; the operation determines which
	// fields are used.
	TenantRequest struct {
		Revision         *api.Revision   `json:"revision"`
		DisplayName      string          `json:"display"`
		Teams            []api.Team      `json:"teams"`
		Rate             float64         `json:"rate"`
		Burst            float64         `json:"burst"`
		OpenJobs         int             `json:"open_jobs"`
		Networks         tenant.Networks `json:"networks"`
		RetentionSeconds float64         `json:"retention_s"`
		SuspendReason    string          `json:"why"`
		DrainSeconds     float64         `json:"drain_s"`
		Cancel           bool            `json:"cancel"`
		Name             string          `json:"name"`
		Expires          api.WallTime    `json:"expires"`
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

// HandleTenantRequest serves an operator's query about tenants or a change of one. The caller must
// answer a returned error as a refusal.
func (ts *Service) HandleTenantRequest(c message.AdminRequest) error {
	if c.What == "tenants" {
		ts.listTenants(c)
		return nil
	}
	name := tenant.Name(c.ID)
	entry := ts.hosted.tenants.Get(name)
	if entry == nil && c.What != "tenant-put" {
		return &tenant.Error{Status: 404, Field: "name", Reason: "there is no tenant " + c.ID}
	}
	switch c.What {
	case "tenant":
		ts.showTenant(c, entry)
		return nil
	case "usage":
		v := ts.viewUsage(entry)
		v.Controller, v.Submissions = ts.core.Config.Label, ts.hosted.submissions[name]
		ts.core.Reply(c.Req, 200, v, 0)
		return nil
	}
	return ts.changeTenant(c, entry)
}

func (ts *Service) listTenants(c message.AdminRequest) {
	views := []TenantView{}
	for _, name := range ts.hosted.tenants.Names() {
		views = append(views, viewTenant(ts.hosted.tenants.Get(name), ts.countTenant(name)))
	}
	ts.core.Reply(c.Req, 200, views, 0)
}

// showTenant answers with a tenant and when its keys were last used.
func (ts *Service) showTenant(c message.AdminRequest, entry *tenant.Entry) {
	name := tenant.Name(c.ID)
	ts.readKeyUses(c, name, func(lastUsed map[tenant.KeyID]api.WallTime) {
		v := viewTenant(entry, ts.countTenant(name))
		for i := range v.Keys {
			v.Keys[i].LastUsed = lastUsed[v.Keys[i].ID]
		}
		ts.core.Reply(c.Req, 200, v, 0)
	})
}

// changeTenant creates or changes a tenant; entry is nil for a new one.
func (ts *Service) changeTenant(c message.AdminRequest, entry *tenant.Entry) error {
	var request TenantRequest
	if err := core.DecodeRequest(c.Body, &request); err != nil {
		return err
	}
	name := tenant.Name(c.ID)
	var old tenant.Tenant
	var revision api.Revision
	if entry != nil {
		old, revision = entry.Tenant, entry.Revision
	}
	updated, secret, err := ts.applyTenantChange(c, old, request, ts.countTenant(name).jobs)
	if err != nil {
		return err
	}
	if entry != nil && reflect.DeepEqual(updated, old) {
		ts.core.Reply(c.Req, 200, viewTenant(entry, ts.countTenant(name)), 0) // no change, for instance a retry
		return nil
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

// applyTenantChange returns a tenant after a change, and the key if one is created; jobs is the number
// of the tenant's jobs.
func (ts *Service) applyTenantChange(c message.AdminRequest, t tenant.Tenant, request TenantRequest, jobs int) (tenant.Tenant, *NewKeyView, error) {
	var err error
	switch c.What {
	case "tenant-put":
		if t.State == tenant.Removed || t.State == tenant.Removing {
			return t, nil, &tenant.Error{Status: 409, Field: "name", Reason: c.ID + " is " + string(t.State)}
		}
		if t.State == "" {
			t.Name, t.State = tenant.Name(c.ID), tenant.Active
		}
		t.DisplayName, t.Teams, t.Rate, t.Burst = request.DisplayName, request.Teams, request.Rate, request.Burst
		t.OpenJobs, t.Networks, t.RetentionSeconds = request.OpenJobs, request.Networks, request.RetentionSeconds
	case "suspend":
		t, err = t.Suspend(request.SuspendReason, request.DrainSeconds, ts.core.WallClock)
	case "resume":
		t, err = t.Resume()
	case "remove":
		t, err = t.Remove(jobs, request.Cancel)
	case "key-add":
		return ts.addTenantKey(c, t, request)
	case "key-revoke":
		t.Keys = slices.DeleteFunc(slices.Clone(t.Keys), func(k tenant.Key) bool { return k.Name == c.Sub })
		if len(t.Keys) == 0 {
			t.Keys = nil
		}
	}
	return t, nil, err
}

// addTenantKey returns a tenant with an additional key, and that key.
func (ts *Service) addTenantKey(c message.AdminRequest, t tenant.Tenant, request TenantRequest) (tenant.Tenant, *NewKeyView, error) {
	if slices.ContainsFunc(t.Keys, func(k tenant.Key) bool { return k.Name == request.Name }) {
		return t, nil, &tenant.Error{Status: 409, Field: "name", Reason: "there is a key of that name; its secret is not shown again"}
	}
	k, secret, err := ts.newKey(c, request.Name, request.Expires)
	if err != nil {
		return t, nil, err
	}
	t.Keys = append(slices.Clone(t.Keys), k)
	return t, secret, nil
}
