package admin

import (
	"fmt"
	"net/url"
	"time"

	"basaltwall/controller/operations"
	"basaltwall/controller/tenancy"
)

type operatorsCmd struct {
	Show   struct{}        `cmd:"" help:"Show the operators' keys, networks, proxies and what is set aside for teams."`
	Change operatorsPutCmd `cmd:"" help:"Replace networks, proxies and what is set aside; what is not named stays."`
	Key    struct {
		Add    operatorKeyCmd `cmd:"" help:"Make a key; its secret is shown this once."`
		Revoke struct {
			Key string `arg:"" help:"The key's name; first is the one of the file."`
		} `cmd:"" help:"Make a key open nothing any more."`
	} `cmd:"" help:"Make and revoke operators' keys."`
}

type operatorsPutCmd struct {
	Network []string `help:"A network from which operators may come, as 192.0.2.0/24; may be repeated. An empty one stands for anywhere."`
	Proxy   []string `help:"A network of proxies whose X-Forwarded-For is believed; may be repeated. An empty one stands for none."`
	CPUs    *float64 `name:"cpus" help:"What teams made here may be guaranteed together."`
	GPUs    *float64 `name:"gpus" help:"The same of accelerators."`
}

type operatorKeyCmd struct {
	Key     string        `arg:"" help:"The key's name."`
	Role    string        `required:"" enum:"read,change" help:"What it opens: read or change."`
	Expires time.Duration `help:"After how long it opens nothing any more (0: never)."`
}

type teamCmd struct {
	Put    teamPutCmd `cmd:"" help:"Make a team, or change one that was made so."`
	Remove struct {
		Name string `arg:"" help:"The team's name."`
	} `cmd:"" help:"Remove a team that belongs to no tenant and has no jobs."`
}

type teamPutCmd struct {
	Name    string  `arg:"" help:"The team's name: a to z, 0 to 9 and -."`
	CPUs    float64 `name:"cpus" help:"Guaranteed."`
	GPUs    float64 `name:"gpus" help:"Guaranteed accelerators."`
	CPUsMax float64 `name:"cpus-max" help:"Limit (0: none); it can't be lowered later."`
	GPUsMax float64 `name:"gpus-max" help:"Limit of accelerators (0: none)."`
}

// operators runs a subcommand on the operators' record.
func (c *Cmd) operators(command string) error {
	o := &c.Operators
	switch command {
	case "show":
		return printTable(c, "operators", operatorsTable)
	case "change":
		return c.putOperators(o.Change)
	case "key add <key>":
		body := keyRequest(o.Key.Add.Key, o.Key.Add.Expires)
		body["role"] = o.Key.Add.Role
		return c.postWithRevision("operators", "keys", body)
	case "key revoke <key>":
		return c.postWithRevision("operators", "keys/"+url.PathEscape(o.Key.Revoke.Key)+"/revoke", map[string]any{})
	}
	return fmt.Errorf("operators %s: no such command", command)
}

func (c *Cmd) putOperators(p operatorsPutCmd) error {
	at, err := fetch[tenancy.OperatorsView](c, "operators")
	if err != nil {
		return err
	}
	override(&at.CPUs, p.CPUs)
	override(&at.GPUs, p.GPUs)
	return c.send("PUT", "operators", map[string]any{"revision": at.Revision, "networks": overrideList(p.Network, prefixStrings(at.Networks)),
		"proxies": overrideList(p.Proxy, prefixStrings(at.Proxies)), "cpus": at.CPUs, "gpus": at.GPUs})
}

// team runs a subcommand on teams that operators make.
func (c *Cmd) team(command string) error {
	name := c.Team.Put.Name
	if command == "remove <name>" {
		name = c.Team.Remove.Name
	}
	all, err := fetch[[]operations.TeamView](c, "teams")
	if err != nil {
		return err
	}
	body := map[string]any{"revision": 0}
	for _, t := range all {
		if string(t.Team) == name {
			body["revision"] = t.Revision
		}
	}
	method, path := "POST", "teams/"+url.PathEscape(name)+"/remove"
	if command == "put <name>" {
		p := c.Team.Put
		method, path = "PUT", "teams/"+url.PathEscape(name)
		body["cpus"], body["gpus"], body["cpus_max"], body["gpus_max"] = p.CPUs, p.GPUs, p.CPUsMax, p.GPUsMax
	}
	return c.send(method, path, body)
}
