package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/getkin/kin-openapi/openapi3"

	"basaltwall/api"
	"basaltwall/controller/tenancy"
	"basaltwall/tenant"
)

// commands has the subcommands of the program's client.
type commands struct {
	Admin OperatorCmd `cmd:""`
	Job   JobCmd      `cmd:""`
}

// runCommand parses and runs a command line.
func runCommand(t *testing.T, line ...string) error {
	t.Helper()
	var c commands
	parser, err := kong.New(&c)
	if err != nil {
		t.Fatal(err)
	}
	ctx, err := parser.Parse(line)
	if err != nil {
		t.Fatalf("%v: %v", line, err)
	}
	if command, ok := strings.CutPrefix(ctx.Command(), "admin "); ok {
		return c.Admin.Do(command)
	}
	return c.Job.Do(strings.TrimPrefix(ctx.Command(), "job "))
}

func writeKeyFile(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(file, []byte("bw1.x.y\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// jobFile is replaced by the path of a file with a job.
const jobFile = "JOBFILE"

// documentedCommands are the subcommands for a hosted service, with the method and path of the last request
// that each sends.
var documentedCommands = []struct{ line, want string }{
	{"admin tenant list", "GET /admin/v1/tenants"},
	{"admin tenant show kipper", "GET /admin/v1/tenants/kipper"},
	{"admin tenant add kipper --team dispo --team red --rate 2 --burst 4 --network 10.0.0.0/8 --network 192.0.2.1", "PUT /admin/v1/tenants/kipper"},
	{"admin tenant change kipper --open-jobs 5", "PUT /admin/v1/tenants/kipper"},
	{"admin tenant suspend kipper --why unpaid", "POST /admin/v1/tenants/kipper/suspend"},
	{"admin tenant resume kipper", "POST /admin/v1/tenants/kipper/resume"},
	{"admin tenant remove kipper --cancel", "POST /admin/v1/tenants/kipper/remove"},
	{"admin tenant usage kipper", "GET /admin/v1/tenants/kipper/usage"},
	{"admin tenant key add kipper laptop --expires 1h", "POST /admin/v1/tenants/kipper/keys"},
	{"admin tenant key revoke kipper laptop", "POST /admin/v1/tenants/kipper/keys/laptop/revoke"},
	{"admin operators show", "GET /admin/v1/operators"},
	{"admin operators change --cpus 4 --network=", "PUT /admin/v1/operators"},
	{"admin operators key add watch --role read", "POST /admin/v1/operators/keys"},
	{"admin operators key revoke first", "POST /admin/v1/operators/keys/first/revoke"},
	{"admin team put dispo --cpus 3 --cpus-max 4", "PUT /admin/v1/teams/dispo"},
	{"admin team remove dispo", "POST /admin/v1/teams/dispo/remove"},
	{"admin pool list", "GET /admin/v1/pools"},
	{"admin pool show routing", "GET /admin/v1/pools/routing"},
	{"admin pool put routing --size 3 --team dispo --frozen --guarantee dispo=2", "PUT /admin/v1/pools/routing"},
	{"admin pool remove routing", "POST /admin/v1/pools/routing/remove"},
	{"admin audit --limit 5", "GET /admin/v1/audit"},
	{"job submit " + jobFile, "POST /v1/jobs"},
	{"job show run-1", "GET /v1/jobs/run-1"},
	{"job list", "GET /v1/jobs"},
	{"job usage", "GET /v1/usage"},
	{"job history --after x", "GET /v1/history"},
	{"job cancel run-1", "POST /v1/jobs/run-1/withdraw"},
}

// findOperation returns the document's operation for a method and a path, or nil.
func findOperation(doc *openapi3.T, method, path string) *openapi3.Operation {
	var found *openapi3.Operation
	for template, item := range doc.Paths.Map() {
		parts := strings.Split(template, "/")
		for i, part := range strings.Split(path, "/") {
			if i < len(parts) && strings.HasPrefix(parts[i], "{") {
				parts[i] = part
			}
		}
		if strings.Join(parts, "/") == path && item.GetOperation(method) != nil {
			found = item.GetOperation(method)
		}
	}
	return found
}

// checkBody checks the body sent by a command line for rules that the document does not express.
func checkBody(t *testing.T, line string, sent []byte, body map[string]any) {
	t.Helper()
	// All values of a repeated flag are sent.
	if teams, _ := json.Marshal(body["teams"]); strings.Contains(line, " --team dispo --team red ") && (string(teams) != `["dispo","red"]` || len(body["networks"].([]any)) != 2) {
		t.Errorf("%s sends %s", line, sent)
	}
	if list, ok := body["networks"].([]any); strings.Contains(line, "--network=") && (!ok || len(list) != 0) {
		t.Errorf("%s sends %s", line, sent)
	}
	if body["open_jobs"] == 5.0 && (body["rate"] != 2.0 || len(body["teams"].([]any)) != 1 || body["retention_s"] != 60.0) {
		t.Errorf("%s changes fields without a flag: %s", line, sent)
	}
	if rev, present := body["revision"]; present && rev != 7.0 && !strings.Contains(line, " add kipper --team") {
		t.Errorf("%s sends revision %v, expected 7", line, rev)
	}
}

// TestCommandsMatchOpenAPI checks that each subcommand for a hosted service sends a documented request with
// a valid body, the key, and the current revision.
func TestCommandsMatchOpenAPI(t *testing.T) {
	doc, err := openapi3.NewLoader().LoadFromFile("../docs/openapi.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var last *http.Request
	var sent []byte
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		last = r
		sent, _ = io.ReadAll(r.Body)
		switch {
		case r.Header.Get("Authorization") != "Bearer bw1.x.y":
			t.Errorf("%s %s with key %q", r.Method, r.URL, r.Header.Get("Authorization"))
		case r.URL.Path == "/admin/v1/teams":
			_, _ = io.WriteString(w, `[{"team":"dispo","revision":7}]`)
		case r.URL.Path == "/admin/v1/tenants" || r.URL.Path == "/admin/v1/pools":
			_, _ = io.WriteString(w, `[]`)
		case strings.HasSuffix(r.URL.Path, "/usage"):
			_, _ = io.WriteString(w, `{"open":1}`)
		default:
			_, _ = io.WriteString(w, `{"revision":7,"rate":2,"burst":4,"teams":["dispo"],"networks":["10.0.0.0/8"],"retention_s":60}`)
		}
	}))
	t.Cleanup(s.Close)
	job := filepath.Join(t.TempDir(), "job.json")
	if err := os.WriteFile(job, []byte(`{"ref":"run-1","mestiere":"try","bottega":"red","forma":"sweep","urgenza":"normal","pezzi":8,"cores":1,"gpus":0,
"ram_gb":1,"stampo":"img","image_gb":1,"together":false,"scatter":false,"avanzi":false,"stima_s":20,"tappa_s":0,"salvo_s":0}`), 0o600); err != nil {
		t.Fatal(err)
	}
	addr, key := strings.TrimPrefix(s.URL, "http://"), writeKeyFile(t)
	for _, c := range documentedCommands {
		line, want := strings.Replace(c.line, jobFile, job, 1), c.want
		words := strings.Fields(line)
		if err := runCommand(t, append([]string{words[0], "--addr", addr, "--key-file", key}, words[1:]...)...); err != nil {
			t.Errorf("%s: %v", line, err)
			continue
		}
		if got := last.Method + " " + last.URL.Path; got != want {
			t.Errorf("%s sends %s, expected %s", line, got, want)
			continue
		}
		op := findOperation(doc, last.Method, last.URL.Path)
		if op == nil {
			t.Errorf("%s sends %s, which is missing in the document", line, want)
			continue
		}
		if op.RequestBody == nil {
			continue
		}
		var body map[string]any
		if err := json.Unmarshal(sent, &body); err != nil {
			t.Errorf("%s sends %s: %v", line, sent, err)
			continue
		}
		if err := op.RequestBody.Value.Content["application/json"].Schema.Value.VisitJSON(body); err != nil {
			t.Errorf("%s sends %s: %v", line, sent, err)
		}
		checkBody(t, line, sent, body)
	}
}

// TestExitCodes checks that the exit code of a failed command shows whether a retry may succeed.
func TestExitCodes(t *testing.T) {
	status, retry := 200, ""
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if retry != "" {
			w.Header().Set("Retry-After", retry)
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, `{"error":"name: is taken"}`)
	}))
	addr, key := strings.TrimPrefix(s.URL, "http://"), writeKeyFile(t)
	for _, c := range []struct {
		status, code int
		retry, part  string
	}{
		{200, 0, "", ""},
		{409, 1, "", "name: is taken"},
		{403, 1, "", "403"},
		{429, 75, "3", "retry after 3 s"},
		{503, 75, "1", "503"},
		{0, 75, "", ""},
	} {
		if status, retry = c.status, c.retry; status == 0 {
			s.Close() // no server is listening
		}
		err := runCommand(t, "job", "--addr", addr, "--key-file", key, "usage")
		code := 0
		if e := kong.ExitCoder(nil); errors.As(err, &e) {
			code = e.ExitCode()
		} else if err != nil {
			t.Errorf("%d: %T %v", c.status, err, err)
		}
		if code != c.code || err != nil && !strings.Contains(err.Error(), c.part) {
			t.Errorf("status %d: %v, exit code %d, expected %d and %q", c.status, err, code, c.code, c.part)
		}
	}
}

// TestTables checks that the tables show the data of the responses.
func TestTables(t *testing.T) {
	var out bytes.Buffer
	networks, err := tenant.ParseNetworks([]string{"10.0.0.0/8", "2001:db8::/32"})
	if err != nil {
		t.Fatal(err)
	}
	tenantTable(&out, tenancy.TenantView{Tenant: tenant.Tenant{Name: "kipper", State: tenant.Suspended, SuspendReason: "unpaid", Teams: []api.Team{"dispo", "red"}, Networks: networks, RetentionSeconds: 3600},
		Keys: []tenancy.KeyView{{ID: "00aa", Name: "laptop", Created: 1}}, Jobs: 3, Tasks: 9, Revision: 12})
	operatorsTable(&out, tenancy.OperatorsView{AdminKey: "11bb", AdminKeyRevoked: true, Keys: []tenancy.OperatorKeyView{{KeyView: tenancy.KeyView{Name: "watch"}, Role: tenant.RoleRead}}, TeamCPUBudget: 4, Guaranteed: tenant.GuaranteedTotal{CPUs: 3}})
	queueTable(&out, tenancy.QueueView{Open: 2, Jobs: []tenancy.UnfinishedJob{{Ref: "run-7", State: api.JobPending, Reason: "suspended: unpaid"}}, After: "x-run-7"})
	usageTable(&out, tenancy.UsageView{Open: 2, OpenJobs: 2000, Teams: []tenancy.TeamUsage{{Team: "dispo", UsedCPUs: 2, MaxCPUs: 6}}})
	for _, part := range []string{"suspended\tunpaid", "dispo,red", "3\tof 2000", "10.0.0.0/8,2001:db8::/32", "laptop\t00aa", "1h0m0s", "rate\tnone",
		"11bb\tretired", "4 CPUs, 3 guaranteed", "\tread", "run-7\tpending", "2 open jobs", "next page: --after x-run-7", "2 of 2000", "dispo\t2\t0\t6\t0\t0\tnone"} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("%q is missing in\n%s", part, out.String())
		}
	}
}
