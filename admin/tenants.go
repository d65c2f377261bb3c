package admin

// This file holds the subcommands on tenants.

import (
	"basaltwall/api"

	"fmt"
	"net/url"
	"slices"
	"time"

	"basaltwall/controller/tenancy"
	"basaltwall/tenant"
)

type tenantCmd struct {
	List    struct{}      `cmd:"" help:"List the tenants."`
	Show    tenantNameCmd `cmd:"" help:"Show a tenant with its keys."`
	Add     tenantPutCmd  `cmd:"" help:"Add a tenant."`
	Change  tenantPutCmd  `cmd:"" help:"Change what is agreed with a tenant; what is not named stays."`
	Suspend suspendCmd    `cmd:"" help:"Start nothing more of a tenant and let drain what runs."`
	Resume  tenantNameCmd `cmd:"" help:"Let a suspended tenant go on."`
	Remove  removeCmd     `cmd:"" help:"Remove a suspended tenant."`
	Usage   tenantNameCmd `cmd:"" help:"Show what a tenant has open, waiting and running, and what became of its submissions."`
	Key     keyCmd        `cmd:"" help:"Make and revoke a tenant's keys."`
}

type tenantNameCmd struct {
	Name string `arg:"" help:"The tenant's name."`
}

// tenantPutCmd names what is agreed with a tenant. What is nil is not named; a list with only an empty
// text is an empty list.
type tenantPutCmd struct {
	Name      string         `arg:"" help:"The tenant's name: a to z, 0 to 9 and -."`
	Display   *string        `help:"How it is called."`
	Team      []string       `help:"A team that belongs to it; may be repeated."`
	Rate      *float64       `help:"Submissions a second, of the whole service (0: no bound)."`
	Burst     *float64       `help:"Submissions at once, where there is a rate."`
	OpenJobs  *int           `help:"Jobs that are not over, at most (0: 2000)."`
	Network   []string       `help:"A network from which it may come, as 192.0.2.0/24; may be repeated. An empty one stands for anywhere."`
	Retention *time.Duration `help:"For how long its history is kept (a new tenant's: 2160h)."`
}

type suspendCmd struct {
	Name  string        `arg:"" help:"The tenant's name."`
	Why   string        `required:"" help:"What its users are told."`
	Drain time.Duration `default:"10m" help:"For how long its services go on."`
}

type removeCmd struct {
	Name   string `arg:"" help:"The tenant's name."`
	Cancel bool   `help:"Cancel its jobs; without, there must be none."`
}

type keyCmd struct {
	Add    keyAddCmd    `cmd:"" help:"Make a key; its secret is shown this once."`
	Revoke keyRevokeCmd `cmd:"" help:"Make a key open nothing any more."`
}

type keyAddCmd struct {
	Tenant  string        `arg:"" help:"The tenant's name."`
	Key     string        `arg:"" help:"The key's name."`
	Expires time.Duration `help:"After how long it opens nothing any more (0: never)."`
}

type keyRevokeCmd struct {
	Tenant string `arg:"" help:"The tenant's name."`
	Key    string `arg:"" help:"The key's name."`
}

// newTenantRetention is how long the history of a new tenant is kept where nothing else is named.
const newTenantRetention = 90 * 24 * time.Hour

// tenantPath returns the path of a tenant.
func tenantPath(name string) string { return "tenants/" + url.PathEscape(name) }

// tenant runs a subcommand on tenants.
func (c *Cmd) tenant(command string) error {
	t := &c.Tenant
	switch command {
	case "list":
		return printTable(c, "tenants", tenantsTable)
	case "show <name>":
		return printTable(c, tenantPath(t.Show.Name), tenantTable)
	case "usage <name>":
		return printTable(c, tenantPath(t.Usage.Name)+"/usage", usageTable)
	case "add <name>":
		return c.putTenant(t.Add, tenancy.TenantView{Tenant: tenant.Tenant{Retention: newTenantRetention.Seconds()}})
	case "change <name>":
		current, err := fetch[tenancy.TenantView](c, tenantPath(t.Change.Name))
		if err != nil {
			return err
		}
		return c.putTenant(t.Change, current)
	case "suspend <name>":
		return c.sendWithRevision(tenantPath(t.Suspend.Name), "suspend", &suspendRequest{DrainSeconds: t.Suspend.Drain.Seconds(), Reason: t.Suspend.Why})
	case "resume <name>":
		return c.sendWithRevision(tenantPath(t.Resume.Name), "resume", &revision{})
	case "remove <name>":
		return c.sendWithRevision(tenantPath(t.Remove.Name), "remove", &removeTenantRequest{CancelJobs: t.Remove.Cancel})
	case "key add <tenant> <key>":
		request := newKeyRequest(t.Key.Add.Key, t.Key.Add.Expires)
		return c.sendWithRevision(tenantPath(t.Key.Add.Tenant), "keys", &request)
	case "key revoke <tenant> <key>":
		return c.revokeKey(tenantPath(t.Key.Revoke.Tenant), t.Key.Revoke.Key)
	}
	return fmt.Errorf("tenant %s: %w", command, errUnknownCommand)
}

// revokeKey revokes a key of the tenant, or of the operators, at a path.
func (c *Cmd) revokeKey(path, key string) error {
	return c.sendWithRevision(path, "keys/"+url.PathEscape(key)+"/revoke", &revision{})
}

// putTenant sends what is agreed with a tenant: as it is currently, except for what is named.
func (c *Cmd) putTenant(named tenantPutCmd, current tenancy.TenantView) error {
	t := current.Tenant
	override(&t.Display, named.Display)
	override(&t.Rate, named.Rate)
	override(&t.Burst, named.Burst)
	override(&t.OpenJobs, named.OpenJobs)
	if named.Retention != nil {
		t.Retention = named.Retention.Seconds()
	}
	return c.send(api.MethodPut, tenantPath(named.Name), tenantRequest{
		Burst:            t.Burst,
		Display:          t.Display,
		Networks:         overrideList(named.Network, prefixStrings(t.Networks)),
		OpenJobs:         t.OpenJobs,
		Rate:             t.Rate,
		RetentionSeconds: t.Retention,
		revision:         revision{current.Revision},
		Teams:            overrideList(named.Team, toStrings(t.Teams)),
	})
}

// override sets a field to a value, unless that is nil.
func override[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

// overrideList returns the values without empty texts, or the current list if values is nil.
func overrideList(values, current []string) []string {
	if values == nil {
		return current
	}
	return slices.DeleteFunc(slices.Clone(values), func(s string) bool { return s == "" })
}

// toStrings converts names to strings.
func toStrings[T ~string](list []T) []string {
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = string(s)
	}
	return out
}

// prefixStrings returns networks in CIDR notation.
func prefixStrings(n tenant.Networks) []string {
	out := []string{}
	for _, p := range n.Prefixes() {
		out = append(out, p.String())
	}
	return out
}
