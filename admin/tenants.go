package admin

import (
	"fmt"
	"net/url"
	"os"
	"slices"
	"time"

	"basaltwall/api"
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

// tenantPutCmd names what is agreed with a tenant; what is nil is not named, and a list that
// holds an empty text alone is an empty one.
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

// tenant runs a subcommand on tenants. Changes name the revision that is read just before.
func (c *Cmd) tenant(command string) error {
	t := &c.Tenant
	switch command {
	case "list":
		return printTable(c, "tenants", tenantsTable)
	case "show <name>":
		return printTable(c, "tenants/"+url.PathEscape(t.Show.Name), tenantTable)
	case "usage <name>":
		return printTable(c, "tenants/"+url.PathEscape(t.Usage.Name)+"/usage", usageTable)
	case "add <name>":
		return c.putTenant(t.Add, tenancy.TenantView{Tenant: tenant.Tenant{Retention: (90 * 24 * time.Hour).Seconds()}})
	case "change <name>":
		at, err := fetch[tenancy.TenantView](c, "tenants/"+url.PathEscape(t.Change.Name))
		if err != nil {
			return err
		}
		return c.putTenant(t.Change, at)
	case "suspend <name>":
		return c.postWithRevision("tenants/"+url.PathEscape(t.Suspend.Name), "suspend", map[string]any{"why": t.Suspend.Why, "drain_s": t.Suspend.Drain.Seconds()})
	case "resume <name>":
		return c.postWithRevision("tenants/"+url.PathEscape(t.Resume.Name), "resume", map[string]any{})
	case "remove <name>":
		return c.postWithRevision("tenants/"+url.PathEscape(t.Remove.Name), "remove", map[string]any{"cancel": t.Remove.Cancel})
	case "key add <tenant> <key>":
		return c.postWithRevision("tenants/"+url.PathEscape(t.Key.Add.Tenant), "keys", keyRequest(t.Key.Add.Key, t.Key.Add.Expires))
	case "key revoke <tenant> <key>":
		return c.postWithRevision("tenants/"+url.PathEscape(t.Key.Revoke.Tenant), "keys/"+url.PathEscape(t.Key.Revoke.Key)+"/revoke", map[string]any{})
	}
	return fmt.Errorf("tenant %s: no such command", command)
}

// putTenant sends what is agreed: what is there already, but for what is named.
func (c *Cmd) putTenant(p tenantPutCmd, at tenancy.TenantView) error {
	t := at.Tenant
	override(&t.Display, p.Display)
	override(&t.Rate, p.Rate)
	override(&t.Burst, p.Burst)
	override(&t.OpenJobs, p.OpenJobs)
	if p.Retention != nil {
		t.Retention = p.Retention.Seconds()
	}
	return c.send("PUT", "tenants/"+url.PathEscape(p.Name), map[string]any{"revision": at.Revision, "display": t.Display, "teams": overrideList(p.Team, toStrings(t.Teams)), "rate": t.Rate, "burst": t.Burst,
		"open_jobs": t.OpenJobs, "networks": overrideList(p.Network, prefixStrings(t.Networks)), "retention_s": t.Retention})
}

// override changes what is named.
func override[T any](to, value *T) {
	if value != nil {
		*to = *value
	}
}

// overrideList is a list as it is named, without empty texts, or as it is there if it is not.
func overrideList(values, current []string) []string {
	if values == nil {
		return current
	}
	return slices.DeleteFunc(slices.Clone(values), func(s string) bool { return s == "" })
}

// toStrings are names as texts.
func toStrings[T ~string](list []T) []string {
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = string(s)
	}
	return out
}

// prefixStrings are networks as texts.
func prefixStrings(n tenant.Networks) []string {
	out := []string{}
	for _, p := range n.Prefixes() {
		out = append(out, p.String())
	}
	return out
}

// postWithRevision asks for a change of what lies at a path, naming the revision that is read there.
func (c *Cmd) postWithRevision(path, what string, body map[string]any) error {
	at, err := fetch[struct {
		Revision api.Revision `json:"revision"`
	}](c, path)
	if err != nil {
		return err
	}
	body["revision"] = at.Revision
	return c.send("POST", path+"/"+what, body)
}

// keyRequest is what is asked for a key that lasts so long, for ever if 0.
func keyRequest(name string, lifetime time.Duration) map[string]any {
	body := map[string]any{"name": name}
	if lifetime > 0 {
		body["expires"] = time.Now().Add(lifetime).UnixMilli()
	}
	return body
}

// JobCmd is the client of a hosted service's tenants.
type JobCmd struct {
	Addr    string `required:"" placeholder:"IP:PORT" help:"A controller's api_addr, or a balancer's."`
	KeyFile string `required:"" type:"existingfile" env:"BASALTWALL_KEY_FILE" placeholder:"FILE" help:"A file with your key."`

	Submit struct {
		File string `arg:"" type:"existingfile" help:"A file with the job in JSON."`
	} `cmd:"" help:"Submit a job."`
	Show    jobCmd  `cmd:"" help:"Show a job's state."`
	List    pageCmd `cmd:"" help:"List your jobs that are not over, the oldest first."`
	Usage   showCmd `cmd:"" help:"Show what you have open, waiting and running, and what your teams may hold."`
	History pageCmd `cmd:"" help:"List your jobs that are over, the oldest first."`
	Cancel  jobCmd  `cmd:"" help:"Cancel a job."`

	JSON bool `help:"Print JSON, for programs, where there is a table."`
}

// Do runs the subcommand that was chosen.
func (c *JobCmd) Do(command string) error {
	method, path := "GET", api.PathJobs+"/"+url.PathEscape(c.Show.Ref)
	var body []byte
	switch command {
	case "submit <file>":
		var err error
		if body, err = os.ReadFile(c.Submit.File); err != nil {
			return fmt.Errorf("job: %w", err)
		}
		method, path = "POST", api.PathJobs
	case "list":
		path = api.PathJobs + "?" + c.List.query()
	case "usage":
		path = api.PathUsage
	case "history":
		path = api.PathHistory + "?" + c.History.query()
	case "cancel <ref>":
		method, path = "POST", api.PathJobs+"/"+url.PathEscape(c.Cancel.Ref)+"/"+api.PathSuffixCancel
	}
	answer, err := doRequest(c.Addr, c.KeyFile, method, path, body)
	if err != nil {
		return err
	}
	switch command {
	case "list":
		return printAnswer(answer, c.JSON, queueTable)
	case "usage":
		return printAnswer(answer, c.JSON, usageTable)
	case "history":
		return printAnswer(answer, c.JSON, historyTable)
	}
	return printJSON(answer)
}
