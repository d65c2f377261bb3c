package admin

// This file holds the tenants' command line.

import (
	"fmt"
	"net/url"
	"os"

	"basaltwall/api"
)

// JobCmd is the command line of a hosted service's tenants. Like Cmd, it is read by Kong by reflection.
type JobCmd struct {
	Addr    string `required:"" placeholder:"IP:PORT" help:"The api_addr of a controller, or the address of a load balancer."`
	KeyFile string `required:"" type:"existingfile" env:"BASALTWALL_KEY_FILE" placeholder:"FILE" help:"A file with your key."`

	Submit struct {
		File string `arg:"" type:"existingfile" help:"A file with the job in JSON."`
	} `cmd:"" help:"Submit a job."`
	Show    jobCmd  `cmd:"" help:"Show a job's state."`
	List    pageCmd `cmd:"" help:"List your unfinished jobs, oldest first."`
	Usage   showCmd `cmd:"" help:"Show your unfinished jobs, pending and running tasks, and the usage, guarantees and limits of your teams."`
	History pageCmd `cmd:"" help:"List your finished jobs, oldest first."`
	Cancel  jobCmd  `cmd:"" help:"Cancel a job."`

	JSON bool `help:"Print JSON instead of tables."`
}

// Do runs a subcommand. command is its path in kong's notation, for example "cancel <ref>".
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
		return printResponse(answer, c.JSON, queueTable)
	case "usage":
		return printResponse(answer, c.JSON, usageTable)
	case "history":
		return printResponse(answer, c.JSON, historyTable)
	}
	return printJSON(answer)
}
