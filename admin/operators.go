package admin

// This file holds the subcommands on operators and on the teams that they make.

import (
	"fmt"
	"net/url"
	"time"

	"basaltwall/api"
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
		request := operatorKeyRequest{keyRequest: newKeyRequest(o.Key.Add.Key, o.Key.Add.Expires), Role: o.Key.Add.Role}
		return c.sendWithRevision("operators", "keys", &request)
	case "key revoke <key>":
		return c.revokeKey("operators", o.Key.Revoke.Key)
	}
	return fmt.Errorf("operators %s: %w", command, errUnknownCommand)
}

// putOperators changes what is named of the operators' record.
func (c *Cmd) putOperators(named operatorsPutCmd) error {
	current, err := fetch[tenancy.OperatorsView](c, "operators")
	if err != nil {
		return err
	}
	override(&current.CPUs, named.CPUs)
	override(&current.GPUs, named.GPUs)
	return c.send(api.MethodPut, "operators", operatorsRequest{
		CPUs:     current.CPUs,
		GPUs:     current.GPUs,
		Networks: overrideList(named.Network, prefixStrings(current.Networks)),
		Proxies:  overrideList(named.Proxy, prefixStrings(current.Proxies)),
		revision: revision{current.Revision},
	})
}

// team runs a subcommand on teams that operators make.
func (c *Cmd) team(command string) error {
	if command == "put <name>" {
		return c.putTeam(c.Team.Put)
	}
	return c.removeTeam(c.Team.Remove.Name)
}

// putTeam makes a team, or replaces its guarantee and limit.
func (c *Cmd) putTeam(p teamPutCmd) error {
	current, err := c.teamRevision(p.Name)
	if err != nil {
		return err
	}
	return c.send(api.MethodPut, teamPath(p.Name), teamRequest{CPUs: p.CPUs, CPUsMax: p.CPUsMax, GPUs: p.GPUs, GPUsMax: p.GPUsMax, revision: revision{current}})
}

// removeTeam removes a team.
func (c *Cmd) removeTeam(name string) error {
	current, err := c.teamRevision(name)
	if err != nil {
		return err
	}
	return c.send(api.MethodPost, teamPath(name)+"/remove", revision{current})
}

// teamPath returns the path of a team.
func teamPath(name string) string { return "teams/" + url.PathEscape(name) }

// teamRevision returns the revision of a team, or 0 if there is none of that name.
func (c *Cmd) teamRevision(name string) (api.Revision, error) {
	teams, err := fetch[[]operations.TeamView](c, "teams")
	if err != nil {
		return 0, err
	}
	var found api.Revision
	for _, t := range teams {
		if string(t.Team) == name {
			found = t.Revision
		}
	}
	return found, nil
}
