package admin

import (
	"fmt"
	"net/url"
	"os"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/control"
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
func (c *Cmd) tenant(chosen string) error {
	t := &c.Tenant
	switch chosen {
	case "list":
		return ofPath(c, "tenants", tenantsTable)
	case "show <name>":
		return ofPath(c, "tenants/"+url.PathEscape(t.Show.Name), tenantTable)
	case "usage <name>":
		return ofPath(c, "tenants/"+url.PathEscape(t.Usage.Name)+"/usage", usageTable)
	case "add <name>":
		return c.putTenant(t.Add, control.TenantAt{Tenant: tenant.Tenant{Retention: (90 * 24 * time.Hour).Seconds()}})
	case "change <name>":
		at, err := read[control.TenantAt](c, "tenants/"+url.PathEscape(t.Change.Name))
		if err != nil {
			return err
		}
		return c.putTenant(t.Change, at)
	case "suspend <name>":
		return c.act("tenants/"+url.PathEscape(t.Suspend.Name), "suspend", map[string]any{"why": t.Suspend.Why, "drain_s": t.Suspend.Drain.Seconds()})
	case "resume <name>":
		return c.act("tenants/"+url.PathEscape(t.Resume.Name), "resume", map[string]any{})
	case "remove <name>":
		return c.act("tenants/"+url.PathEscape(t.Remove.Name), "remove", map[string]any{"cancel": t.Remove.Cancel})
	case "key add <tenant> <key>":
		return c.act("tenants/"+url.PathEscape(t.Key.Add.Tenant), "keys", newKey(t.Key.Add.Key, t.Key.Add.Expires))
	case "key revoke <tenant> <key>":
		return c.act("tenants/"+url.PathEscape(t.Key.Revoke.Tenant), "keys/"+url.PathEscape(t.Key.Revoke.Key)+"/revoke", map[string]any{})
	}
	return fmt.Errorf("tenant %s: no such command", chosen)
}

// putTenant sends what is agreed: what is there already, but for what is named.
func (c *Cmd) putTenant(p tenantPutCmd, at control.TenantAt) error {
	t := at.Tenant
	set(&t.Display, p.Display)
	set(&t.Rate, p.Rate)
	set(&t.Burst, p.Burst)
	set(&t.OpenJobs, p.OpenJobs)
	if p.Retention != nil {
		t.Retention = p.Retention.Seconds()
	}
	return c.send("PUT", "tenants/"+url.PathEscape(p.Name), map[string]any{"revision": at.Revision, "display": t.Display, "teams": named(p.Team, plain(t.Teams)), "rate": t.Rate, "burst": t.Burst,
		"open_jobs": t.OpenJobs, "networks": named(p.Network, texts(t.Networks)), "retention_s": t.Retention})
}

// set changes what is named.
func set[T any](to, named *T) {
	if named != nil {
		*to = *named
	}
}

// named is a list as it is named, without empty texts, or as it is there if it is not.
func named(list, there []string) []string {
	if list == nil {
		return there
	}
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == "" })
}

// plain are names as texts.
func plain[T ~string](list []T) []string {
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = string(s)
	}
	return out
}

// texts are networks as texts.
func texts(n tenant.Networks) []string {
	out := []string{}
	for _, p := range n.Prefixes() {
		out = append(out, p.String())
	}
	return out
}

// act asks for a change of what lies at a path, naming the revision that is read there.
func (c *Cmd) act(path, what string, body map[string]any) error {
	at, err := read[struct {
		Revision api.Revision `json:"revision"`
	}](c, path)
	if err != nil {
		return err
	}
	body["revision"] = at.Revision
	return c.send("POST", path+"/"+what, body)
}

// newKey is what is asked for a key that lasts so long, for ever if 0.
func newKey(name string, lasts time.Duration) map[string]any {
	body := map[string]any{"name": name}
	if lasts > 0 {
		body["expires"] = time.Now().Add(lasts).UnixMilli()
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
func (c *JobCmd) Do(chosen string) error {
	method, path := "GET", api.PathJobs+"/"+url.PathEscape(c.Show.Ref)
	var body []byte
	switch chosen {
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
		method, path = "POST", api.PathJobs+"/"+url.PathEscape(c.Cancel.Ref)+"/"+api.EndCancel
	}
	answer, err := ask(c.Addr, c.KeyFile, method, path, body)
	if err != nil {
		return err
	}
	switch chosen {
	case "list":
		return present(answer, c.JSON, queueTable)
	case "usage":
		return present(answer, c.JSON, usageTable)
	case "history":
		return present(answer, c.JSON, historyTable)
	}
	return show(answer)
}
