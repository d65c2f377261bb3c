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
	"io"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/httpx"
)

// Prefix is where the API lies.
const Prefix = "/admin/v1/"

// How much of a list is shown when nothing else is asked for, and at most.
const (
	defaultLimit = 100
	maxJobs      = 1000
	maxPage      = 500
)

// Command is what a request asks of the owner, or the status that refuses it.
func Command(req message.ReqID, r httpx.Request) (message.Command, int) {
	parts := strings.Split(strings.TrimPrefix(r.Path, Prefix), "/")
	ask := message.AdminRequest{Req: req, What: message.AdminOperation(parts[0]), Body: r.Body}
	method := "GET"
	switch {
	case len(parts) == 1 && parts[0] == "settings":
		if r.Method == "PUT" {
			ask.What, method = message.AdminChangeSettings, "PUT"
		}
	case len(parts) == 1 && parts[0] == "jobs":
		q, err := url.ParseQuery(r.Query)
		if err != nil {
			return nil, 400
		}
		ask.Team = q.Get("team")
		var ok bool
		if ask.Limit, ok = parseLimit(q, maxJobs); !ok {
			return nil, 400
		}
	case len(parts) == 1 && slices.Contains([]string{"members", "parts", "machines", "teams", "metrics"}, parts[0]):
	case len(parts) == 2 && parts[0] == "jobs" && parts[1] != "":
		ask.What, ask.ID = message.AdminJob, parts[1]
	case len(parts) == 3 && parts[0] == "machines" && parts[1] != "" && (parts[2] == "drain" || parts[2] == "undrain"):
		ask.What, ask.ID, method = message.AdminOperation(parts[2]), parts[1], "POST"
	case parts[0] == "skips":
		return skipsCommand(ask, parts, r)
	case IsHostedPath(r.Path):
		if parts[0] == "audit" {
			var ok bool
			if ask.After, ask.Limit, ok = ParsePage(r); !ok {
				return nil, 400
			}
		}
		return hostedCommand(ask, parts, r.Method)
	default:
		return nil, 404
	}
	if r.Method != method {
		return nil, 405
	}
	return ask, 0
}

// parseLimit reads how many are asked for.
func parseLimit(q url.Values, maxItems int) (int, bool) {
	text := q.Get("limit")
	if text == "" {
		return defaultLimit, true
	}
	n, err := strconv.Atoi(text)
	return n, err == nil && n >= 1 && n <= maxItems
}

// ParsePage reads which page of a list is asked for: what it comes after, and how long it may be.
func ParsePage(r httpx.Request) (after string, maxItems int, ok bool) {
	q, err := url.ParseQuery(r.Query)
	if err != nil {
		return "", 0, false
	}
	after = q.Get("after")
	maxItems, ok = parseLimit(q, maxPage)
	// It becomes part of a key.
	return after, maxItems, ok && len(after) <= 100 && !strings.ContainsFunc(after, func(c rune) bool { return c <= ' ' || c > '~' || c == '/' })
}

// Cmd is the client's subcommands.
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

func (c pageCmd) query() string {
	return url.Values{"after": {c.After}, "limit": {strconv.Itoa(c.Limit)}}.Encode()
}

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
func (c *Cmd) Do(command string) error {
	switch command {
	case "jobs":
		q := url.Values{"limit": {strconv.Itoa(c.Jobs.Limit)}}
		if c.Jobs.Team != "" {
			q.Set("team", c.Jobs.Team)
		}
		return c.callAndPrint("GET", "jobs?"+q.Encode(), nil)
	case "job <ref>":
		return c.callAndPrint("GET", "jobs/"+c.Job.Ref, nil)
	case "drain <machine>":
		return c.callAndPrint("POST", "machines/"+c.Drain.Machine+"/drain", nil)
	case "undrain <machine>":
		return c.callAndPrint("POST", "machines/"+c.Undrain.Machine+"/undrain", nil)
	}
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
	case "audit":
		return printTable(c, "audit?"+c.Audit.query(), auditTable)
	case "set <file>":
		body, err := os.ReadFile(c.Set.File)
		if err != nil {
			return fmt.Errorf("settings: %w", err)
		}
		return c.callAndPrint("PUT", "settings", body)
	}
	return c.callAndPrint("GET", command, nil)
}

func (c *Cmd) callAndPrint(method, path string, body []byte) error {
	answer, err := doRequest(c.Addr, c.KeyFile, method, Prefix+path, body)
	if err != nil {
		return err
	}
	return printJSON(answer)
}

// sendQuiet asks for a change and shows no answer.
func (c *Cmd) sendQuiet(method, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	_, err = doRequest(c.Addr, c.KeyFile, method, Prefix+path, data)
	return err
}

// send asks for a change with a body in JSON.
func (c *Cmd) send(method, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return c.callAndPrint(method, path, data)
}

// fetch is what lies at a path.
func fetch[T any](c *Cmd, path string) (T, error) {
	var value T
	data, err := doRequest(c.Addr, c.KeyFile, "GET", Prefix+path, nil)
	if err != nil {
		return value, err
	}
	if err := json.Unmarshal(data, &value); err != nil {
		return value, fmt.Errorf("%s: %w", path, err)
	}
	return value, nil
}

// printTable shows what lies at a path as a table.
func printTable[T any](c *Cmd, path string, table func(io.Writer, T)) error {
	body, err := doRequest(c.Addr, c.KeyFile, "GET", Prefix+path, nil)
	if err != nil {
		return err
	}
	return printAnswer(body, c.JSON, table)
}

// doRequest sends a request and returns the body of its answer, which must be 200 or 201.
func doRequest(addr, keyFile, method, path string, body []byte) ([]byte, error) {
	client := httpx.NewClient(16<<20, 1, 1)
	if keyFile != "" {
		key, err := os.ReadFile(keyFile)
		if err != nil {
			return nil, fmt.Errorf("key file: %w", err)
		}
		client.Auth = "Bearer " + strings.TrimSpace(string(key))
	}
	r, err := client.Do(context.Background(), addr, method, path, body, 10*time.Second)
	if err != nil {
		return nil, &RequestError{Path: path, Reason: err.Error()}
	}
	if r.Status != 200 && r.Status != 201 {
		var refusal api.ErrorBody
		if json.Unmarshal(r.Body, &refusal) != nil {
			refusal.Error = string(bytes.TrimSpace(r.Body))
		}
		return nil, &RequestError{path, r.Status, refusal.Error, r.RetryAfter}
	}
	return r.Body, nil
}

// printJSON prints an answer as it came, indented.
func printJSON(body []byte) error {
	var out bytes.Buffer
	if json.Indent(&out, body, "", "  ") != nil {
		out.Write(body)
	}
	fmt.Println(out.String())
	return nil
}
