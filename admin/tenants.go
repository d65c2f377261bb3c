package admin

// This file holds the subcommands for tenants.

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
	Change  tenantPutCmd  `cmd:"" help:"Change a tenant. Omitted values stay unchanged."`
	Suspend suspendCmd    `cmd:"" help:"Suspend a tenant: start no more of its tasks, and stop its running services after the drain time."`
	Resume  tenantNameCmd `cmd:"" help:"Resume a suspended tenant."`
	Remove  removeCmd     `cmd:"" help:"Remove a suspended tenant."`
	Usage   tenantNameCmd `cmd:"" help:"Show a tenant's unfinished jobs, pending and running tasks, and counts of accepted and refused submissions."`
	Key     keyCmd        `cmd:"" help:"Create and revoke a tenant's keys."`
}

type tenantNameCmd struct {
	Name string `arg:"" help:"The tenant's name."`
}

// tenantPutCmd holds the flags that set a tenant's attributes. A nil flag leaves the attribute unchanged; a
// list with only an empty string clears it.
type tenantPutCmd struct {
	Name      string         `arg:"" help:"The tenant's name: a to z, 0 to 9 and -."`
	Display   *string        `help:"The tenant's display name."`
	Team      []string       `help:"A team that belongs to the tenant; may be repeated."`
	Rate      *float64       `help:"Maximum submissions per second in the whole service (0: no limit)."`
	Burst     *float64       `help:"Maximum burst of submissions, if there is a rate."`
	OpenJobs  *int           `help:"Maximum unfinished jobs (0: 2000)."`
	Network   []string       `help:"A network from which the tenant may connect, for example 192.0.2.0/24; may be repeated. An empty value allows all networks."`
	Retention *time.Duration `help:"Retention of the tenant's history (default for a new tenant: 2160h)."`
}

type suspendCmd struct {
	Name  string        `arg:"" help:"The tenant's name."`
	Why   string        `required:"" help:"The reason, shown to the tenant's users."`
	Drain time.Duration `default:"10m" help:"Drain time: delay before the running services of the tenant are stopped."`
}

type removeCmd struct {
	Name   string `arg:"" help:"The tenant's name."`
	Cancel bool   `help:"Cancel the tenant's unfinished jobs. Without this flag there must be none."`
}

type keyCmd struct {
	Add    keyAddCmd    `cmd:"" help:"Create a key. Its secret is shown only once."`
	Revoke keyRevokeCmd `cmd:"" help:"Revoke a key."`
}

type keyAddCmd struct {
	Tenant  string        `arg:"" help:"The tenant's name."`
	Key     string        `arg:"" help:"The key's name."`
	Expires time.Duration `help:"Lifetime of the key (0: unlimited)."`
}

type keyRevokeCmd struct {
	Tenant string `arg:"" help:"The tenant's name."`
	Key    string `arg:"" help:"The key's name."`
}

// newTenantRetention is the default history retention of a new tenant.
const newTenantRetention = 90 * 24 * time.Hour

func tenantPath(name string) string { return "tenants/" + url.PathEscape(name) }

// tenant runs a subcommand for tenants.
func (c *OperatorCmd) tenant(command string) error {
	t := &c.Tenant
	switch command {
	case "list":
		return printTable(c, "tenants", tenantsTable)
	case "show <name>":
		return printTable(c, tenantPath(t.Show.Name), tenantTable)
	case "usage <name>":
		return printTable(c, tenantPath(t.Usage.Name)+"/usage", usageTable)
	case "add <name>":
		return c.putTenant(t.Add, tenancy.TenantView{Tenant: tenant.Tenant{RetentionSeconds: newTenantRetention.Seconds()}})
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

// revokeKey revokes a key of the tenant or of the operators, given by their path.
func (c *OperatorCmd) revokeKey(path, key string) error {
	return c.sendWithRevision(path, "keys/"+url.PathEscape(key)+"/revoke", &revision{})
}

// putTenant sends a tenant's current attributes, with those replaced whose flags are set.
func (c *OperatorCmd) putTenant(flags tenantPutCmd, current tenancy.TenantView) error {
	t := current.Tenant
	override(&t.DisplayName, flags.Display)
	override(&t.Rate, flags.Rate)
	override(&t.Burst, flags.Burst)
	override(&t.OpenJobs, flags.OpenJobs)
	if flags.Retention != nil {
		t.RetentionSeconds = flags.Retention.Seconds()
	}
	return c.send(api.MethodPut, tenantPath(flags.Name), tenantRequest{
		Burst:            t.Burst,
		Display:          t.DisplayName,
		Networks:         overrideList(flags.Network, prefixStrings(t.Networks)),
		OpenJobs:         t.OpenJobs,
		Rate:             t.Rate,
		RetentionSeconds: t.RetentionSeconds,
		revision:         revision{current.Revision},
		Teams:            overrideList(flags.Team, toStrings(t.Teams)),
	})
}

// override sets a field to a value, unless the value is nil.
func override[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

// overrideList returns the non-empty values, or the current list if values is nil.
func overrideList(values, current []string) []string {
	if values == nil {
		return current
	}
	return slices.DeleteFunc(slices.Clone(values), func(s string) bool { return s == "" })
}

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
