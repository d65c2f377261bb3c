package control

import (
	"encoding/json"
	"log/slog"
	"reflect"
	"slices"

	"basaltwall/api"
	"basaltwall/tenant"
)

// What an operator of a hosted service sends and is shown.
type (
	// TenantAt is a tenant as it is shown, with the revision that a change must name. Of
	// its keys only what is public is shown.
	TenantAt struct {
		tenant.Tenant
		Keys     []KeyView    `json:"keys"`
		Jobs     int          `json:"jobs"` // that are not over
		Tasks    int          `json:"tasks"`
		Revision api.Revision `json:"revision"`
	}
	// KeyView is a key as it is shown.
	KeyView struct {
		ID      tenant.KeyID `json:"id"`
		Name    string       `json:"name"`
		Created api.Wall     `json:"created"`
		Expires api.Wall     `json:"expires,omitempty"`
		Used    api.Wall     `json:"used,omitempty"` // last, to the hour
	}
	// NewKeyView is a key when it is made: the only time that its secret is shown.
	NewKeyView struct {
		KeyView
		Secret   string       `json:"secret"`
		Revision api.Revision `json:"revision"`
	}
	// tenantAsk is what an act on a tenant may bring.
	tenantAsk struct {
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
		Expires   api.Wall        `json:"expires"`
	}
)

func viewKey(k tenant.Key) KeyView {
	return KeyView{ID: k.ID, Name: k.Name, Created: k.Created, Expires: k.Expires}
}

func viewTenant(e *tenant.Entry, w work) TenantAt {
	v := TenantAt{Tenant: e.Tenant, Keys: []KeyView{}, Jobs: w.open, Tasks: w.tasks, Revision: e.Revision}
	v.Tenant.Keys = nil
	for _, k := range e.Keys {
		v.Keys = append(v.Keys, viewKey(k))
	}
	return v
}

func (n *Node) actOnTenant(c Ask) error {
	if c.What == "tenants" {
		out := []TenantAt{}
		for _, name := range n.hosted.table.Names() {
			out = append(out, viewTenant(n.hosted.table.Get(name), n.workOf(name)))
		}
		n.reply(c.Req, 200, out, 0)
		return nil
	}
	name := tenant.Name(c.ID)
	e := n.hosted.table.Get(name)
	if e == nil && c.What != "tenant-put" {
		return &tenant.Error{Status: 404, Field: "name", Why: "there is no tenant " + c.ID}
	}
	switch c.What {
	case "tenant":
		n.withUse(c, name, func(used map[tenant.KeyID]api.Wall) {
			v := viewTenant(e, n.workOf(name))
			for i := range v.Keys {
				v.Keys[i].Used = used[v.Keys[i].ID]
			}
			n.reply(c.Req, 200, v, 0)
		})
		return nil
	case "usage":
		v := n.viewUsage(e)
		v.Controller, v.Submissions = n.cfg.Label, n.hosted.taken[name]
		n.reply(c.Req, 200, v, 0)
		return nil
	}
	var ask tenantAsk
	if err := parseAsk(c.Body, &ask); err != nil {
		return err
	}
	var was tenant.Tenant
	if e != nil {
		was = e.Tenant
	}
	now, secret, err := n.changed(c, was, ask, n.workOf(name).jobs)
	if err != nil {
		return err
	}
	if e != nil && reflect.DeepEqual(now, was) {
		n.reply(c.Req, 200, viewTenant(e, n.workOf(name)), 0) // it is so already: asked again, perhaps
		return nil
	}
	var read api.Revision
	if e != nil {
		read = e.Revision
	}
	if err := as(ask.Revision, read, "the tenant"); err != nil {
		return err
	}
	if err := now.Check(); err != nil {
		return err
	}
	for _, team := range now.Teams {
		if _, known := n.teams[team]; !known {
			return &tenant.Error{Status: 422, Field: "teams", Why: "there is no team " + string(team)}
		}
	}
	n.settleTenant(c, now, e, secret)
	return nil
}

// changed is a tenant, who has so many jobs, after an act.
func (n *Node) changed(c Ask, t tenant.Tenant, ask tenantAsk, jobs int) (tenant.Tenant, *NewKeyView, error) {
	var err error
	switch c.What {
	case "tenant-put":
		if t.State == tenant.Removed || t.State == tenant.Removing {
			return t, nil, &tenant.Error{Status: 409, Field: "name", Why: c.ID + " is " + string(t.State)}
		}
		if t.State == "" {
			t.Name, t.State = tenant.Name(c.ID), tenant.Active
		}
		t.Display, t.Teams, t.Rate, t.Burst = ask.Display, ask.Teams, ask.Rate, ask.Burst
		t.OpenJobs, t.Networks, t.Retention = ask.OpenJobs, ask.Networks, ask.Retention
	case "suspend":
		t, err = t.Suspend(ask.Why, ask.Drain, n.wall)
	case "resume":
		t, err = t.Resume()
	case "remove":
		t, err = t.Remove(jobs, ask.Cancel)
	case "key-add":
		if slices.ContainsFunc(t.Keys, func(k tenant.Key) bool { return k.Name == ask.Name }) {
			return t, nil, &tenant.Error{Status: 409, Field: "name", Why: "there is a key of that name; its secret is not shown again"}
		}
		k, secret, err := n.newKey(c, ask.Name, ask.Expires)
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

// settleTenant writes a change and answers. With what holds a tenant's work the gate is
// written, at the version that was read with it.
func (n *Node) settleTenant(c Ask, now tenant.Tenant, old *tenant.Entry, secret *NewKeyView) {
	var was tenant.Tenant
	if old != nil {
		was = old.Tenant
	}
	more := []api.Write{n.auditWrite(c, "tenant "+string(now.Name), shownTenant(was), shownTenant(now))}
	if c.What == "suspend" {
		v, _ := json.Marshal(now.Name)
		more = append(more, api.Write{Put: keyGate, Value: v})
	}
	n.writeTenant(now, old, more, func(status int, rev api.Revision) {
		switch status {
		case 200:
			slog.Info("tenant changed", "tenant", now.Name, "by", c.What, "key", c.by, "from", n.origin(c.Caller), "state", now.State, "revision", rev)
		case 400:
			n.refuse(c.Req, 400, "networks: the record is too large")
			return
		case 413:
			n.refuse(c.Req, 400, "teams: too many at once for one transaction")
			return
		case 422:
			n.refuse(c.Req, 422, "teams: one belongs to another tenant")
			return
		}
		n.answerChange(c.Req, status, rev, "the tenant has", func(rev api.Revision) any {
			if secret != nil {
				secret.Revision = rev
				return secret
			}
			return viewTenant(&tenant.Entry{Tenant: now, Revision: rev}, n.workOf(now.Name))
		})
	})
}

// shownTenant is a record as the audit shows it: networks counted, keys by their names.
func shownTenant(t tenant.Tenant) any {
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
