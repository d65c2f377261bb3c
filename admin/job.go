package admin

// This file holds the tenants' command line.

import (
	"fmt"
	"net/url"
	"os"

	"basaltwall/api"
)

// JobCmd is the command line of a hosted service's tenants. Kong reads it by reflection, as Cmd.
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

// Do runs a subcommand; command is its path as kong names it, as "cancel <ref>".
func (c *JobCmd) Do(command string) error {
	method, path := api.MethodGet, api.PathJobs+"/"+url.PathEscape(c.Show.Ref)
	var body []byte
	switch command {
	case "submit <file>":
		var err error
		if body, err = os.ReadFile(c.Submit.File); err != nil {
			return fmt.Errorf("job: %w", err)
		}
		method, path = api.MethodPost, api.PathJobs
	case "list":
		path = api.PathJobs + "?" + c.List.query()
	case "usage":
		path = api.PathUsage
	case "history":
		path = api.PathHistory + "?" + c.History.query()
	case "cancel <ref>":
		method, path = api.MethodPost, api.PathJobs+"/"+url.PathEscape(c.Cancel.Ref)+"/"+api.PathSuffixCancel
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
