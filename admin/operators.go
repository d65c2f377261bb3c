package admin

// This file holds the subcommands for operators and for the teams that operators create.

import (
	"fmt"
	"net/url"
	"time"

	"basaltwall/api"
	"basaltwall/controller/operations"
	"basaltwall/controller/tenancy"
)

type operatorsCmd struct {
	Show   struct{}        `cmd:"" help:"Show the operators' keys, networks and proxies, and the resources reserved for teams."`
	Change operatorsPutCmd `cmd:"" help:"Change networks, proxies and the resources reserved for teams. Omitted values stay unchanged."`
	Key    struct {
		Add    operatorKeyCmd `cmd:"" help:"Create a key. Its secret is shown only once."`
		Revoke struct {
			Key string `arg:"" help:"The key's name; first is the key of --admin-key-file."`
		} `cmd:"" help:"Revoke a key."`
	} `cmd:"" help:"Create and revoke operators' keys."`
}

type operatorsPutCmd struct {
	Network []string `help:"A network from which operators may connect, for example 192.0.2.0/24; may be repeated. An empty value allows all networks."`
	Proxy   []string `help:"A network of proxies whose X-Forwarded-For header is trusted; may be repeated. An empty value means no proxies."`
	CPUs    *float64 `name:"cpus" help:"Total CPUs that may be guaranteed to teams created by operators."`
	GPUs    *float64 `name:"gpus" help:"Total accelerators that may be guaranteed to teams created by operators."`
}

type operatorKeyCmd struct {
	Key     string        `arg:"" help:"The key's name."`
	Role    string        `required:"" enum:"read,change" help:"The key's role: read or change."`
	Expires time.Duration `help:"Lifetime of the key (0: unlimited)."`
}

type teamCmd struct {
	Put    teamPutCmd `cmd:"" help:"Create a team, or change a team created by operators."`
	Remove struct {
		Name string `arg:"" help:"The team's name."`
	} `cmd:"" help:"Remove a team that belongs to no tenant and has no jobs."`
}

type teamPutCmd struct {
	Name    string  `arg:"" help:"The team's name: a to z, 0 to 9 and -."`
	CPUs    float64 `name:"cpus" help:"Guaranteed CPUs."`
	GPUs    float64 `name:"gpus" help:"Guaranteed accelerators."`
	CPUsMax float64 `name:"cpus-max" help:"Maximum CPUs (0: no limit); cannot be lowered later."`
	GPUsMax float64 `name:"gpus-max" help:"Maximum accelerators (0: no limit); cannot be lowered later."`
}

// operators runs a subcommand for the operators' record.
func (c *OperatorCmd) operators(command string) error {
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

// putOperators changes the fields of the operators' record whose flags are set.
func (c *OperatorCmd) putOperators(flags operatorsPutCmd) error {
	current, err := fetch[tenancy.OperatorsView](c, "operators")
	if err != nil {
		return err
	}
	override(&current.TeamCPUBudget, flags.CPUs)
	override(&current.TeamGPUBudget, flags.GPUs)
	return c.send(api.MethodPut, "operators", operatorsRequest{
		CPUs:     current.TeamCPUBudget,
		GPUs:     current.TeamGPUBudget,
		Networks: overrideList(flags.Network, prefixStrings(current.Networks)),
		Proxies:  overrideList(flags.Proxy, prefixStrings(current.Proxies)),
		revision: revision{current.Revision},
	})
}

// team runs a subcommand for teams created by operators.
func (c *OperatorCmd) team(command string) error {
	if command == "put <name>" {
		return c.putTeam(c.Team.Put)
	}
	return c.removeTeam(c.Team.Remove.Name)
}

// putTeam creates a team, or replaces its guarantee and limit.
func (c *OperatorCmd) putTeam(p teamPutCmd) error {
	current, err := c.teamRevision(p.Name)
	if err != nil {
		return err
	}
	return c.send(api.MethodPut, teamPath(p.Name), teamRequest{CPUs: p.CPUs, CPUsMax: p.CPUsMax, GPUs: p.GPUs, GPUsMax: p.GPUsMax, revision: revision{current}})
}

func (c *OperatorCmd) removeTeam(name string) error {
	current, err := c.teamRevision(name)
	if err != nil {
		return err
	}
	return c.send(api.MethodPost, teamPath(name)+"/remove", revision{current})
}

func teamPath(name string) string { return "teams/" + url.PathEscape(name) }

// teamRevision returns the revision of a team, or 0 if the team does not exist.
func (c *OperatorCmd) teamRevision(name string) (api.Revision, error) {
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
