package admin

// This file holds the operators' command line and the subcommands without a file of their own.

import (
	"basaltwall/api"

	"errors"
	"fmt"
	"net/url"
	"os"
	"strconv"
	"strings"
)

// errUnknownCommand is returned by Do for an unknown subcommand.
var errUnknownCommand = errors.New("unknown subcommand")

// OperatorCmd is the operators' command line. Kong reads it by reflection: the fields and their tags define the
// flags and subcommands.
type OperatorCmd struct {
	Addr    string `required:"" placeholder:"IP:PORT" help:"The api_addr of a controller."`
	KeyFile string `type:"existingfile" env:"BASALTWALL_KEY_FILE" placeholder:"FILE" help:"A file with an operator's key, for a hosted service."`

	Members  showCmd            `cmd:"" help:"Show the controllers and their partitions."`
	Parts    showCmd            `cmd:"" help:"Show the partitions, their owners and terms."`
	Machines showCmd            `cmd:"" help:"Show the machines, their tasks, and the reasons why machines get no new tasks."`
	Teams    showCmd            `cmd:"" help:"Show the teams, their guarantees and fair shares."`
	Jobs     jobsCmd            `cmd:"" help:"Show the unfinished jobs with team, lateness and its reason, late jobs first."`
	Metrics  showCmd            `cmd:"" help:"Show the metrics of a controller."`
	Job      jobCmd             `cmd:"" help:"Show one job."`
	Drain    drainCmd           `cmd:"" help:"Start no more tasks on a machine."`
	Undrain  drainCmd           `cmd:"" help:"Allow new tasks on a drained machine."`
	Settings showCmd            `cmd:"" help:"Show the operators' settings."`
	Set      replaceSettingsCmd `cmd:"" help:"Replace the operators' settings."`
	Audit    pageCmd            `cmd:"" help:"Show the audit log of a hosted service."`
	Tenant   tenantCmd          `cmd:"" help:"Show and change the tenants of a hosted service."`

	JSON bool `help:"Print JSON instead of tables."`

	Operators operatorsCmd `cmd:"" help:"Show and change the operators' keys, networks and proxies in a hosted service."`
	Pool      poolCmd      `cmd:"" help:"Show, create, resize, freeze and remove pools of counted resources."`
	Skips     skipsCmd     `cmd:"" help:"Show, offer, promise, release, deliver and return skips."`
	Team      teamCmd      `cmd:"" help:"Create, change and remove teams of a hosted service, in addition to those of the settings file."`
}

type showCmd struct{}

type pageCmd struct {
	After string `help:"Cursor of the page: the --after value shown below the previous page."`
	Limit int    `default:"100" help:"Maximum number of entries (1 to 500)."`
}

// query returns the query parameters that select the page.
func (c pageCmd) query() string {
	return url.Values{"after": {c.After}, "limit": {strconv.Itoa(c.Limit)}}.Encode()
}

type jobsCmd struct {
	Team  string `placeholder:"TEAM" help:"Show only the jobs of this team."`
	Limit int    `default:"100" help:"Maximum number of jobs (1 to 1000)."`
}

// query returns the query parameters that select the jobs.
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

type replaceSettingsCmd struct {
	File string `arg:"" help:"A file with the settings in the format of the settings command, including the revision."`
}

// Do runs a subcommand. command is its path in kong's notation, for example "job <ref>".
func (c *OperatorCmd) Do(command string) error {
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

// replaceSettings replaces the operators' settings by the content of a file.
func (c *OperatorCmd) replaceSettings(file string) error {
	body, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return c.callAndPrint(api.MethodPut, "settings", body)
}
