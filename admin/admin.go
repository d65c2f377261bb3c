// Package admin owns the administration API: its paths, and the subcommands
// that are its client. It lies under a versioned prefix of its own, apart from
// the users' and workers' paths. What it answers and changes is the owner's
// business, in control.
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"basaltwall/control"
	"basaltwall/httpx"
)

// Prefix is where the API lies.
const Prefix = "/admin/v1/"

// How many jobs are shown when nothing else is asked for, and at most.
const (
	defaultJobs = 100
	maxJobs     = 1000
)

// Command is what a request asks of the owner, or the status that refuses it.
func Command(req control.ReqID, r httpx.Request) (control.Command, int) {
	parts := strings.Split(strings.TrimPrefix(r.Path, Prefix), "/")
	ask := control.Ask{Req: req, What: parts[0], Body: r.Body}
	want := "GET"
	switch {
	case len(parts) == 1 && parts[0] == "settings":
		if r.Method == "PUT" {
			ask.What, want = "set", "PUT"
		}
	case len(parts) == 1 && parts[0] == "jobs":
		q, err := url.ParseQuery(r.Query)
		if err != nil {
			return nil, 400
		}
		ask.Team, ask.Limit = q.Get("team"), defaultJobs
		if l := q.Get("limit"); l != "" {
			if ask.Limit, err = strconv.Atoi(l); err != nil || ask.Limit < 1 || ask.Limit > maxJobs {
				return nil, 400
			}
		}
	case len(parts) == 1 && slices.Contains([]string{"members", "parts", "machines", "teams", "metrics"}, parts[0]):
	case len(parts) == 2 && parts[0] == "jobs" && parts[1] != "":
		ask.What, ask.ID = "job", parts[1]
	case len(parts) == 3 && parts[0] == "machines" && parts[1] != "" && (parts[2] == "drain" || parts[2] == "undrain"):
		ask.What, ask.ID, want = parts[2], parts[1], "POST"
	default:
		return nil, 404
	}
	if r.Method != want {
		return nil, 405
	}
	return ask, 0
}

// Cmd is the client's subcommands.
type Cmd struct {
	Addr string `required:"" placeholder:"IP:PORT" help:"A controller's api_addr."`

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
}

type showCmd struct{}

type jobsCmd struct {
	Team  string `placeholder:"TEAM" help:"Only this team's."`
	Limit int    `default:"100" help:"So many at most (1 to 1000)."`
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

// Do runs the subcommand that was chosen.
func (c *Cmd) Do(chosen string) error {
	switch chosen {
	case "jobs":
		q := url.Values{"limit": {strconv.Itoa(c.Jobs.Limit)}}
		if c.Jobs.Team != "" {
			q.Set("team", c.Jobs.Team)
		}
		return c.call("GET", "jobs?"+q.Encode(), nil)
	case "job <ref>":
		return c.call("GET", "jobs/"+c.Job.Ref, nil)
	case "drain <machine>":
		return c.call("POST", "machines/"+c.Drain.Machine+"/drain", nil)
	case "undrain <machine>":
		return c.call("POST", "machines/"+c.Undrain.Machine+"/undrain", nil)
	case "set <file>":
		body, err := os.ReadFile(c.Set.File)
		if err != nil {
			return fmt.Errorf("settings: %w", err)
		}
		return c.call("PUT", "settings", body)
	}
	return c.call("GET", chosen, nil)
}

func (c *Cmd) call(method, path string, body []byte) error {
	r, err := httpx.NewClient(16<<20, 1, 1).Do(context.Background(), c.Addr, method, Prefix+path, body, 10*time.Second)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if json.Indent(&out, r.Body, "", "  ") != nil {
		out.Write(r.Body)
	}
	if r.Status != 200 {
		return fmt.Errorf("%s: %d: %s", path, r.Status, out.String())
	}
	fmt.Println(out.String())
	return nil
}
