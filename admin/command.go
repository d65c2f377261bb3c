package admin

// This file holds the operators' command line and its simple subcommands.

import (
	"basaltwall/api"

	"errors"
	"fmt"
	"net/url"
	"os"
	"strconv"
	"strings"
)

// errUnknownCommand is returned for a subcommand that Do does not know.
var errUnknownCommand = errors.New("no such command")

// Cmd is the command line of an operator. Kong reads it by reflection: fields and tags are the flags
// and subcommands.
type Cmd struct {
	Addr    string `required:"" placeholder:"IP:PORT" help:"A controller's api_addr."`
	KeyFile string `type:"existingfile" env:"BASALTWALL_KEY_FILE" placeholder:"FILE" help:"A file with an operators' key, for a hosted service."`

	Members  showCmd   `cmd:"" help:"Show the controllers and their parts."`
	Parts    showCmd   `cmd:"" help:"Show the parts, their owners and terms."`
	Machines showCmd   `cmd:"" help:"Show the machines, their tasks, and why one is avoided."`
	Teams    showCmd   `cmd:"" help:"Show the teams, their guarantees and shares."`
	Jobs     jobsCmd   `cmd:"" help:"Show the jobs that are not over, late ones first: whose, how late, and why."`
	Metrics  showCmd   `cmd:"" help:"Show what a controller has done and how long it took."`
	Job      jobCmd    `cmd:"" help:"Show one job."`
	Drain    drainCmd  `cmd:"" help:"Start no more tasks on a machine."`
	Undrain  drainCmd  `cmd:"" help:"Use a machine again."`
	Settings showCmd   `cmd:"" help:"Show the operators' settings."`
	Set      changeCmd `cmd:"" help:"Replace the operators' settings."`
	Audit    pageCmd   `cmd:"" help:"Show the operators' changes in a hosted service."`
	Tenant   tenantCmd `cmd:"" help:"Show and change the tenants of a hosted service."`

	JSON bool `help:"Print JSON, for programs, where there is a table."`

	Operators operatorsCmd `cmd:"" help:"Show and change who operates a hosted service, and from where."`
	Pool      poolCmd      `cmd:"" help:"Show, make, resize, freeze and remove pools of counted resources."`
	Skips     skipsCmd     `cmd:"" help:"Show, offer, promise, release, deliver and return skips."`
	Team      teamCmd      `cmd:"" help:"Make, change and remove teams of a hosted service, beside the platform's."`
}

type showCmd struct{}

type pageCmd struct {
	After string `help:"What was given as after with the page before."`
	Limit int    `default:"100" help:"So many at most (1 to 500)."`
}

// query returns the parameters that ask for the page.
func (c pageCmd) query() string {
	return url.Values{"after": {c.After}, "limit": {strconv.Itoa(c.Limit)}}.Encode()
}

type jobsCmd struct {
	Team  string `placeholder:"TEAM" help:"Only this team's."`
	Limit int    `default:"100" help:"So many at most (1 to 1000)."`
}

// query returns the parameters that select the jobs.
func (c jobsCmd) query() string {
	query := url.Values{"limit": {strconv.Itoa(c.Limit)}}
	if c.Team != "" {
		query.Set("team", c.Team)
	}
	return query.Encode()
}

type jobCmd struct {
	Ref string `arg:"" help:"The job's id."`
}

type drainCmd struct {
	Machine string `arg:"" help:"The machine's name."`
}

type changeCmd struct {
	File string `arg:"" help:"A file with the settings as the settings command shows them, the revision included."`
}

// Do runs a subcommand; command is its path as kong names it, as "job <ref>".
func (c *Cmd) Do(command string) error {
	group, rest, _ := strings.Cut(command, " ")
	switch group {
	case "tenant":
		return c.tenant(rest)
	case "operators":
		return c.operators(rest)
	case "pool":
		return c.pool(rest)
	case "team":
		return c.team(rest)
	case "skips":
		return c.skips(rest)
	}
	switch command {
	case "jobs":
		return c.callAndPrint(api.MethodGet, "jobs?"+c.Jobs.query(), nil)
	case "job <ref>":
		return c.callAndPrint(api.MethodGet, "jobs/"+c.Job.Ref, nil)
	case "drain <machine>":
		return c.callAndPrint(api.MethodPost, "machines/"+c.Drain.Machine+"/drain", nil)
	case "undrain <machine>":
		return c.callAndPrint(api.MethodPost, "machines/"+c.Undrain.Machine+"/undrain", nil)
	case "audit":
		return printTable(c, "audit?"+c.Audit.query(), auditTable)
	case "set <file>":
		return c.replaceSettings(c.Set.File)
	}
	return c.callAndPrint(api.MethodGet, command, nil)
}

// replaceSettings sends the operators' settings that a file holds.
func (c *Cmd) replaceSettings(file string) error {
	body, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return c.callAndPrint(api.MethodPut, "settings", body)
}
