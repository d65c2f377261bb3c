package admin

import (
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"basaltwall/api"
	"basaltwall/control"
)

// OfHosted reports whether a path is of a hosted service only.
func OfHosted(path string) bool {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, Prefix), "/")
	return first == "tenants" || first == "audit"
}

// tenantCommand is what a request under tenants asks of the owner.
func tenantCommand(ask control.Ask, parts []string, method string) (control.Command, int) {
	acts := map[string]string{"suspend": "suspend", "resume": "resume", "remove": "remove", "keys": "key-add"}
	want := "GET"
	switch {
	case len(parts) == 0:
		ask.What = "tenants"
	case len(parts) == 1 && parts[0] != "":
		ask.What, ask.ID = "tenant", parts[0]
		if method == "PUT" {
			ask.What, want = "tenant-put", "PUT"
		}
	case len(parts) == 2 && acts[parts[1]] != "":
		ask.What, ask.ID, want = acts[parts[1]], parts[0], "POST"
	case len(parts) == 4 && parts[1] == "keys" && parts[3] == "revoke":
		ask.What, ask.ID, ask.Sub, want = "key-revoke", parts[0], parts[2], "POST"
	default:
		return nil, 404
	}
	if method != want {
		return nil, 405
	}
	return ask, 0
}

type tenantCmd struct {
	List    struct{}      `cmd:"" help:"List the tenants."`
	Show    tenantNameCmd `cmd:"" help:"Show a tenant with its keys."`
	Add     tenantPutCmd  `cmd:"" help:"Add a tenant."`
	Change  tenantPutCmd  `cmd:"" help:"Replace what is agreed with a tenant."`
	Suspend suspendCmd    `cmd:"" help:"Start nothing more of a tenant and let drain what runs."`
	Resume  tenantNameCmd `cmd:"" help:"Let a suspended tenant go on."`
	Remove  removeCmd     `cmd:"" help:"Remove a suspended tenant."`
	Key     keyCmd        `cmd:"" help:"Make and revoke a tenant's keys."`

	JSON bool `help:"Print JSON, for programs."`
}

type tenantNameCmd struct {
	Name string `arg:"" help:"The tenant's name."`
}

type tenantPutCmd struct {
	Name      string        `arg:"" help:"The tenant's name: a to z, 0 to 9 and -."`
	Display   string        `help:"How it is called."`
	Team      []string      `help:"A team that belongs to it; may be repeated."`
	Rate      float64       `help:"Submissions a second, of the whole service (0: no bound)."`
	Burst     float64       `help:"Submissions at once, where there is a rate."`
	OpenJobs  int           `help:"Jobs that are not over, at most (0: no bound)."`
	Network   []string      `help:"A network from which it may come, as 192.0.2.0/24; may be repeated (none: from anywhere)."`
	Retention time.Duration `default:"2160h" help:"For how long its history is kept."`
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
		return c.listTenants()
	case "show <name>":
		return c.call("GET", "tenants/"+url.PathEscape(t.Show.Name), nil)
	case "add <name>":
		return c.putTenant(t.Add, 0)
	case "change <name>":
		at, err := c.readTenant(t.Change.Name)
		if err != nil {
			return err
		}
		return c.putTenant(t.Change, at.Revision)
	case "suspend <name>":
		return c.act(t.Suspend.Name, "suspend", map[string]any{"why": t.Suspend.Why, "drain_s": t.Suspend.Drain.Seconds()})
	case "resume <name>":
		return c.act(t.Resume.Name, "resume", map[string]any{})
	case "remove <name>":
		return c.act(t.Remove.Name, "remove", map[string]any{"cancel": t.Remove.Cancel})
	case "key add <tenant> <key>":
		body := map[string]any{"name": t.Key.Add.Key}
		if d := t.Key.Add.Expires; d > 0 {
			body["expires"] = time.Now().Add(d).UnixMilli()
		}
		return c.act(t.Key.Add.Tenant, "keys", body)
	case "key revoke <tenant> <key>":
		return c.act(t.Key.Revoke.Tenant, "keys/"+url.PathEscape(t.Key.Revoke.Key)+"/revoke", map[string]any{})
	}
	return fmt.Errorf("tenant %s: no such command", chosen)
}

func (c *Cmd) readTenant(name string) (control.TenantAt, error) {
	var at control.TenantAt
	body, err := ask(c.Addr, c.KeyFile, "GET", Prefix+"tenants/"+url.PathEscape(name), nil)
	if err != nil {
		return at, err
	}
	if err := json.Unmarshal(body, &at); err != nil {
		return at, fmt.Errorf("tenant %s: %w", name, err)
	}
	return at, nil
}

func (c *Cmd) putTenant(p tenantPutCmd, revision api.Revision) error {
	body, err := json.Marshal(map[string]any{"revision": revision, "display": p.Display, "teams": p.Team, "rate": p.Rate, "burst": p.Burst,
		"open_jobs": p.OpenJobs, "networks": append([]string{}, p.Network...), "retention_s": p.Retention.Seconds()})
	if err != nil {
		return err
	}
	return c.call("PUT", "tenants/"+url.PathEscape(p.Name), body)
}

func (c *Cmd) act(name, what string, body map[string]any) error {
	at, err := c.readTenant(name)
	if err != nil {
		return err
	}
	body["revision"] = at.Revision
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return c.call("POST", "tenants/"+url.PathEscape(name)+"/"+what, data)
}

func (c *Cmd) listTenants() error {
	body, err := ask(c.Addr, c.KeyFile, "GET", Prefix+"tenants", nil)
	if err != nil {
		return err
	}
	if c.Tenant.JSON {
		return show(body)
	}
	var all []control.TenantAt
	if err := json.Unmarshal(body, &all); err != nil {
		return fmt.Errorf("tenants: %w", err)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "TENANT\tSTATE\tTEAMS\tOPEN JOBS\tTASKS\tKEYS\tWHY")
	for _, t := range all {
		teams := make([]string, len(t.Teams))
		for i, team := range t.Teams {
			teams[i] = string(team)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", t.Name, t.State, strings.Join(teams, ","), t.Jobs, t.Tasks, len(t.Keys), t.Why)
	}
	return w.Flush()
}

// JobCmd is the client of a hosted service's tenants.
type JobCmd struct {
	Addr    string `required:"" placeholder:"IP:PORT" help:"A controller's api_addr, or a balancer's."`
	KeyFile string `required:"" type:"existingfile" env:"BASALTWALL_KEY_FILE" placeholder:"FILE" help:"A file with your key."`

	Submit struct {
		File string `arg:"" type:"existingfile" help:"A file with the job in JSON."`
	} `cmd:"" help:"Submit a job."`
	Show    jobCmd  `cmd:"" help:"Show a job's state."`
	History pageCmd `cmd:"" help:"List your jobs that are over, the oldest first."`
	Cancel  jobCmd  `cmd:"" help:"Cancel a job."`
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
	case "history":
		path = api.PathHistory + "?" + c.History.query()
	case "cancel <ref>":
		method, path = "POST", api.PathJobs+"/"+url.PathEscape(c.Cancel.Ref)+"/"+api.EndCancel
	}
	answer, err := ask(c.Addr, c.KeyFile, method, path, body)
	if err != nil {
		return err
	}
	return show(answer)
}
