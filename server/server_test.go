package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/config"
	"basaltwall/controller/core"
	"basaltwall/controller/pools"
	"basaltwall/controller/tenancy"
	"basaltwall/internal/emulator"
	"basaltwall/tenant"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	os.Exit(m.Run())
}

func doRequest(t *testing.T, method, url string, body []byte) (int, api.JobStatus) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, api.JobStatus{}
	}
	defer func() { _ = res.Body.Close() }()
	var s api.JobStatus
	if data, err := io.ReadAll(res.Body); err == nil && res.StatusCode < 300 {
		if err := json.Unmarshal(data, &s); err != nil {
			t.Fatalf("%s: %v", data, err)
		}
	}
	return res.StatusCode, s
}

// eventually tries until it works; the bound only ends a test that hangs.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1200 {
		if ok() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("%s: never", what)
}

const jobTemplate = `{"ref":"%s","mestiere":"try","bottega":"red","forma":"%s","urgenza":"normal","pezzi":%d,"cores":1,"gpus":0,
"ram_gb":1,"stampo":"img","image_gb":1,"together":false,"scatter":false,"avanzi":false,"stima_s":%d,"tappa_s":0,"salvo_s":0}`

// Real controllers on real sockets: jobs are accepted, run, polled, cancelled,
// and survive a controller's end.
func TestControllersOnLoopback(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := emulator.StartLive(ctx, 3, 4)
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	start := func(i int) context.CancelFunc {
		ctx, stop := context.WithCancel(ctx)
		wg.Go(func() {
			if err := New(l.Configs[i]).Run(ctx); err != nil {
				t.Errorf("controller %d: %v", i, err)
			}
		})
		return stop
	}
	stop := start(0)
	start(1)
	start(2)
	base := "http://" + l.LoadBalancerAddr + api.PathJobs
	eventually(t, "an array accepted", func() bool {
		code, _ := doRequest(t, "POST", base, fmt.Appendf(nil, jobTemplate, "run-1", "sweep", 6, 1))
		return code == 201 || code == 200
	})
	eventually(t, "a service accepted", func() bool {
		code, _ := doRequest(t, "POST", base, fmt.Appendf(nil, jobTemplate, "run-2", "daemon", 2, 0))
		return code == 201 || code == 200
	})
	eventually(t, "the array done", func() bool {
		_, s := doRequest(t, "GET", base+"/run-1", nil)
		return s.State == api.JobDone
	})
	stop()
	eventually(t, "a gang done without the first controller", func() bool {
		doRequest(t, "POST", base, fmt.Appendf(nil, jobTemplate, "run-3", "ensemble", 2, 1))
		_, s := doRequest(t, "GET", base+"/run-3", nil)
		return s.State == api.JobDone
	})
	eventually(t, "the service cancelled", func() bool {
		code, s := doRequest(t, "POST", base+"/run-2/"+api.PathSuffixCancel, nil)
		return code == 200 && s.State == api.JobCancelled
	})
	for url, want := range map[string]int{base + "/run-77": 404, base + "/x": 404, base: 405, "http://" + l.LoadBalancerAddr + "/nothing": 404} {
		if code, _ := doRequest(t, "GET", url, nil); code != want {
			t.Errorf("GET %s: %d, expected %d", url, code, want)
		}
	}
	if code, _ := doRequest(t, "POST", base, []byte(`{"ref":"run-9"}`)); code != 400 {
		t.Errorf("a malformed job gets %d", code)
	}
	if code, _ := doRequest(t, "POST", base, bytes.Repeat([]byte(" "), 70_000)); code != 413 {
		t.Errorf("an over-long body gets %d", code)
	}
	exerciseAdminAPI(t, "http://"+l.Configs[1].APIAddr+"/admin/v1/", "http://"+l.Configs[2].APIAddr+"/admin/v1/")
	for _, b := range l.Violations() {
		t.Error(b)
	}
	cancel()
	wg.Wait()
}

// exerciseAdminAPI uses the administration API of two controllers as an operator would.
func exerciseAdminAPI(t *testing.T, one, other string) {
	t.Helper()
	call := func(method, url, body string) (int, string) {
		req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = res.Body.Close() }()
		data, err := io.ReadAll(res.Body)
		if err != nil {
			t.Fatal(err)
		}
		return res.StatusCode, string(data)
	}
	for what, part := range map[string]string{"members": `"label":"stone-2"`, "parts": `"owner":"stone-1"`, "machines": `"type":"small"`,
		"teams": `"team":"red"`, "jobs": `"open":`, "jobs?team=red&limit=5": `"jobs":[`, "settings": `"drained"`, "metrics": `"round":{"count":`} {
		if code, got := call("GET", one+what, ""); code != 200 || !strings.Contains(got, part) {
			t.Errorf("%s: %d %s lacks %s", what, code, got, part)
		}
	}
	for body, field := range map[string]string{`{"idle_hold_s":-1}`: "idle_hold_s", `{"drained":[""]}`: "drained", `{"color":1}`: "color",
		`{"no_rent":"yes"}`: "no_rent"} {
		if code, got := call("PUT", one+"settings", body); code != 400 || !strings.Contains(got, field) {
			t.Errorf("%s: %d %s", body, code, got)
		}
	}
	for query, code := range map[string]int{"team=nobody": 404, "limit=0": 400, "limit=x": 400, "limit=1001": 400, "team=%zz": 400} {
		if got, body := call("GET", one+"jobs?"+query, ""); got != code {
			t.Errorf("jobs?%s: %d %s, expected %d", query, got, body, code)
		}
	}
	if code, got := call("PUT", one+"settings", `{"revision":1}`); code != 409 {
		t.Errorf("a change of an old revision: %d %s", code, got)
	}
	if code, got := call("POST", one+"machines/i-000001/drain", ""); code != 200 {
		t.Errorf("drain: %d %s", code, got)
	}
	eventually(t, "the other controller hears of the drain", func() bool {
		_, got := call("GET", other+"settings", "")
		return strings.Contains(got, "i-000001")
	})
	if code, _ := call("GET", one+"machines/i-000001/drain", ""); code != 405 {
		t.Errorf("a drain by GET: %d", code)
	}
	if code, _ := call("GET", one+"secrets", ""); code != 404 {
		t.Errorf("an unknown path: %d", code)
	}
}

// A hosted service on real sockets: what a tenant and an operator see and may do, and what
// anybody else may not.
func TestHostedOnLoopback(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := emulator.StartLive(ctx, 2, 4)
	if err != nil {
		t.Fatal(err)
	}
	_, admin, err := tenant.NewKey([tenant.RandomBytes]byte{9}, "admin", 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	for _, c := range l.Configs {
		c.Hosted = &config.Hosted{AdminKey: admin.Key("admin")}
		wg.Go(func() {
			if err := New(c).Run(ctx); err != nil {
				t.Errorf("controller: %v", err)
			}
		})
	}
	doc := readDocument(t)
	call := func(node int, key, method, path, body string) (int, string) {
		req, err := http.NewRequestWithContext(t.Context(), method, "http://"+l.Configs[node].APIAddr+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		if key != "" {
			req.Header.Set("Authorization", "Bearer "+key)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, ""
		}
		defer func() { _ = res.Body.Close() }()
		data, err := io.ReadAll(res.Body)
		if err != nil {
			return 0, ""
		}
		doc.check(t, method, path, res.StatusCode, string(data))
		return res.StatusCode, string(data)
	}
	expect := newExpect(t)
	revision := func(name string) string {
		var at tenancy.TenantView
		if _, body := call(0, admin.String(), "GET", "/admin/v1/tenants/"+name, ""); json.Unmarshal([]byte(body), &at) != nil {
			t.Fatalf("tenant %s: %s", name, body)
		}
		return fmt.Sprint(at.Revision)
	}
	root := admin.String()
	eventually(t, "an operator is answered", func() bool {
		code, _ := call(0, root, "GET", "/admin/v1/tenants", "")
		other, _ := call(1, root, "GET", "/admin/v1/tenants", "")
		return code == 200 && other == 200
	})
	expect("no key", 401, "Authorization")(call(0, "", "GET", "/admin/v1/tenants", ""))
	expect("no key for metrics", 401, "")(call(0, "", "GET", "/admin/v1/metrics", ""))
	expect("a bad name", 400, "name:")(call(0, root, "PUT", "/admin/v1/tenants/Kipper", `{"revision":0,"teams":["red"]}`))
	expect("an unknown team", 422, "teams:")(call(0, root, "PUT", "/admin/v1/tenants/kipper", `{"revision":0,"teams":["green"]}`))
	expect("an unknown field", 400, "colour")(call(0, root, "PUT", "/admin/v1/tenants/kipper", `{"revision":0,"colour":1}`))
	expect("a bad network", 400, "networks")(call(0, root, "PUT", "/admin/v1/tenants/kipper", `{"revision":0,"networks":["10.0.0.1/8"]}`))
	expect("no revision", 409, "revision")(call(0, root, "PUT", "/admin/v1/tenants/kipper", `{"teams":["red"]}`))
	expect("a name too long", 400, "name:")(call(0, root, "PUT", "/admin/v1/tenants/"+strings.Repeat("k", 41), `{"revision":0}`))
	expect("a name with a way out", 400, "name:")(call(0, root, "PUT", "/admin/v1/tenants/%2e%2e", `{"revision":0}`))
	expect("a wrong type", 400, "rate: wrong type")(call(0, root, "PUT", "/admin/v1/tenants/kipper", `{"revision":0,"rate":"much"}`))
	expect("no JSON", 400, "")(call(0, root, "PUT", "/admin/v1/tenants/kipper", `{"revision":0`))
	expect("a rate without a burst", 400, "burst:")(call(0, root, "PUT", "/admin/v1/tenants/kipper", `{"revision":0,"rate":1}`))
	many := make([]string, 1000)
	for i := range many {
		many[i] = fmt.Sprintf(`"10.%d.%d.0/24"`, i/250, i%250)
	}
	expect("more networks than a record holds", 400, "networks:")(call(0, root, "PUT", "/admin/v1/tenants/kipper", `{"revision":0,"networks":[`+strings.Join(many, ",")+`]}`))
	expect("a body too long", 413, "")(call(0, root, "PUT", "/admin/v1/tenants/kipper", strings.Repeat(" ", 70_000)))
	keys := map[string]string{}
	for name, team := range map[string]string{"kipper": "red", "lopresti": "blue"} {
		put := `{"revision":0,"teams":["` + team + `"],"retention_s":60}`
		expect("a tenant", 200, `"state":"active"`)(call(0, root, "PUT", "/admin/v1/tenants/"+name, put))
		expect("the same again", 200, `"state":"active"`)(call(1, root, "PUT", "/admin/v1/tenants/"+name, put))
		var k tenancy.NewKeyView
		body := expect("a key", 200, `"secret"`)(call(1, root, "POST", "/admin/v1/tenants/"+name+"/keys", `{"revision":`+revision(name)+`,"name":"first"}`))
		if err := json.Unmarshal([]byte(body), &k); err != nil {
			t.Fatal(err)
		}
		keys[name] = k.Secret
		expect("its secret again", 409, "shown again")(call(0, root, "POST", "/admin/v1/tenants/"+name+"/keys", `{"revision":`+revision(name)+`,"name":"first"}`))
	}
	expect("another's team", 422, "another tenant")(call(0, root, "PUT", "/admin/v1/tenants/lopresti", `{"revision":`+revision("lopresti")+`,"teams":["blue","red"]}`))
	expect("a tenant's key for operators", 401, "")(call(0, keys["kipper"], "GET", "/admin/v1/tenants", ""))
	run := fmt.Sprintf(jobTemplate, "run-1", "sweep", 4, 1)
	eventually(t, "a submission accepted", func() bool {
		code, _ := call(0, keys["kipper"], "POST", api.PathJobs, run)
		return code == 201 || code == 200
	})
	expect("no key", 401, "")(call(0, "", "POST", api.PathJobs, run))
	expect("not its team", 422, "unknown team")(call(0, keys["lopresti"], "POST", api.PathJobs, run))
	expect("another's job", 404, "no such job")(call(1, keys["lopresti"], "GET", api.PathJobs+"/run-1", ""))
	expect("another's job, cancelled", 404, "no such job")(call(1, keys["lopresti"], "POST", api.PathJobs+"/run-1/"+api.PathSuffixCancel, ""))
	eventually(t, "its own job done", func() bool {
		_, body := call(1, keys["kipper"], "GET", api.PathJobs+"/run-1", "")
		return strings.Contains(body, `"ref":"run-1","stato":"done"`)
	})
	eventually(t, "it is in the history", func() bool {
		_, body := call(0, keys["kipper"], "GET", api.PathHistory, "")
		return strings.Contains(body, `"ref":"run-1","stato":"done"`)
	})
	expect("another's history", 200, `"jobs":[]`)(call(0, keys["lopresti"], "GET", api.PathHistory+"?limit=5", ""))
	expect("history without a key", 401, "")(call(0, "", "GET", api.PathHistory, ""))
	expect("a cursor out of it", 400, "")(call(0, keys["lopresti"], "GET", api.PathHistory+"?after=../kipper/", ""))
	// A long job of kipper's stays in its list, and in nobody else's.
	eventually(t, "a long job accepted", func() bool {
		code, _ := call(0, keys["kipper"], "POST", api.PathJobs, fmt.Sprintf(jobTemplate, "run-7", "sweep", 40, 60))
		return code == 201 || code == 200
	})
	expect("the list", 200, `"open":1,"jobs":[{"ref":"run-7"`)(call(1, keys["kipper"], "GET", api.PathJobs, ""))
	expect("another's list", 200, `"open":0,"jobs":[]`)(call(1, keys["lopresti"], "GET", api.PathJobs, ""))
	expect("a list without a key", 401, "")(call(1, "", "GET", api.PathJobs, ""))
	expect("a list too long", 400, "")(call(1, keys["kipper"], "GET", api.PathJobs+"?limit=501", ""))
	expect("usage", 200, `"open":1,"open_jobs":2000`)(call(1, keys["kipper"], "GET", api.PathUsage, ""))
	if _, body := call(1, keys["lopresti"], "GET", api.PathUsage, ""); !strings.Contains(body, `"open":0`) || strings.Contains(body, "red") || strings.Contains(body, "submissions") {
		t.Errorf("usage of another: %s", body)
	}
	expect("usage for operators", 200, `"submissions":{"accepted":2`)(call(0, root, "GET", "/admin/v1/tenants/kipper/usage", ""))
	expect("the job cancelled", 200, `"run-7"`)(call(0, keys["kipper"], "POST", api.PathJobs+"/run-7/"+api.PathSuffixCancel, ""))
	eventually(t, "the key's last use is shown", func() bool {
		_, body := call(1, root, "GET", "/admin/v1/tenants/kipper", "")
		return strings.Contains(body, `"used":`)
	})
	exerciseHostedAdminAPI(t, root, call, expect)
	licensed := func(ref string, units int) string {
		return strings.TrimSuffix(fmt.Sprintf(jobTemplate, ref, "sweep", 3, 1), "}") + fmt.Sprintf(`,"gettoni":[{"nome":"routing","a_pezzo":%d}]}`, units)
	}
	expect("more units than there may be", 422, "never more than 2")(call(0, keys["kipper"], "POST", api.PathJobs, licensed("run-8", 3)))
	expect("units of no pool of its", 422, "no pool")(call(0, keys["lopresti"], "POST", api.PathJobs, strings.Replace(licensed("run-8", 1), `"red"`, `"blue"`, 1)))
	expect("half a unit", 400, "gettoni")(call(0, keys["kipper"], "POST", api.PathJobs, strings.Replace(licensed("run-8", 1), `"a_pezzo":1`, `"a_pezzo":0.5`, 1)))
	eventually(t, "a job that takes units accepted", func() bool {
		code, _ := call(0, keys["kipper"], "POST", api.PathJobs, licensed("run-8", 1))
		return code == 201 || code == 200
	})
	eventually(t, "it is done", func() bool {
		_, body := call(1, keys["kipper"], "GET", api.PathJobs+"/run-8", "")
		return strings.Contains(body, `"stato":"done"`)
	})
	poolAt := func() string {
		var v pools.View
		if _, body := call(0, root, "GET", "/admin/v1/pools/routing", ""); json.Unmarshal([]byte(body), &v) != nil {
			t.Fatalf("pool: %s", body)
		}
		return fmt.Sprint(v.Revision)
	}
	eventually(t, "the pool removed", func() bool {
		code, _ := call(0, root, "POST", "/admin/v1/pools/routing/remove", `{"revision":`+poolAt()+`}`)
		return code == 200
	})
	expect("units of a removed pool", 422, "no pool")(call(1, keys["kipper"], "POST", api.PathJobs, licensed("run-9", 1)))
	expect("suspended", 200, `"state":"suspended"`)(call(0, root, "POST", "/admin/v1/tenants/kipper/suspend", `{"revision":`+revision("kipper")+`,"why":"unpaid"}`))
	expect("a submission then", 403, "unpaid")(call(1, keys["kipper"], "POST", api.PathJobs, fmt.Sprintf(jobTemplate, "run-2", "sweep", 1, 1)))
	expect("a job done before", 200, `"done"`)(call(1, keys["kipper"], "POST", api.PathJobs, run))
	expect("a poll then", 200, `"done"`)(call(0, keys["kipper"], "GET", api.PathJobs+"/run-1", ""))
	expect("a key revoked", 200, `"keys":[]`)(call(0, root, "POST", "/admin/v1/tenants/lopresti/keys/first/revoke", `{"revision":`+revision("lopresti")+`}`))
	expect("the key at the other controller", 401, "")(call(1, keys["lopresti"], "GET", api.PathJobs+"/run-1", ""))
	eventually(t, "removed", func() bool {
		call(1, root, "POST", "/admin/v1/tenants/kipper/remove", `{"revision":`+revision("kipper")+`}`)
		_, body := call(0, root, "GET", "/admin/v1/tenants/kipper", "")
		return strings.Contains(body, `"state":"removed"`)
	})
	audit := expect("the audit", 200, `"what":"suspend"`)(call(0, root, "GET", "/admin/v1/audit", ""))
	if strings.Contains(audit, "hash") || !strings.Contains(audit, `"from":"127.0.0.1"`) || !strings.Contains(audit, `"what":"key-revoke","sub":"first"`) {
		t.Errorf("audit: %s", audit)
	}
	expect("a page of it", 200, `"after":"`)(call(0, root, "GET", "/admin/v1/audit?limit=1", ""))
	expect("the name again", 409, "removed")(call(0, root, "PUT", "/admin/v1/tenants/kipper", `{"revision":`+revision("kipper")+`,"teams":["red"]}`))
	expect("the key of a removed tenant", 401, "")(call(0, keys["kipper"], "GET", api.PathJobs+"/run-1", ""))
	rotateAdminKey(t, root, call, expect)
	cancel()
	wg.Wait()
}

type (
	callFunc   func(node int, key, method, path, body string) (int, string)
	expectFunc func(what string, code int, part string) func(int, string) string
)

// createdSecret reads a key's secret from the answer that makes it.
func createdSecret(t *testing.T, body string) string {
	t.Helper()
	var k tenancy.NewKeyView
	if err := json.Unmarshal([]byte(body), &k); err != nil {
		t.Fatalf("%s: %v", body, err)
	}
	return k.Secret
}

// operatorsRevision is the revision of the operators' record.
func operatorsRevision(t *testing.T, key string, call callFunc) string {
	t.Helper()
	var at tenancy.OperatorsView
	if _, body := call(0, key, "GET", "/admin/v1/operators", ""); json.Unmarshal([]byte(body), &at) != nil {
		t.Fatalf("operators: %s", body)
	}
	return fmt.Sprint(at.Revision)
}

// exerciseHostedAdminAPI uses what operators of a hosted service have for themselves: keys of two
// roles, networks and proxies, and teams beside the platform's.
func exerciseHostedAdminAPI(t *testing.T, root string, call callFunc, expect expectFunc) {
	t.Helper()
	at := func() string { return `{"revision":` + operatorsRevision(t, root, call) + "," }
	reader := createdSecret(t, expect("a key to read", 200, `"secret"`)(call(0, root, "POST", "/admin/v1/operators/keys", at()+`"name":"watch","role":"read"}`)))
	expect("no role", 400, "role:")(call(0, root, "POST", "/admin/v1/operators/keys", at()+`"name":"other","role":"all"}`))
	expect("its name again", 409, "name:")(call(0, root, "POST", "/admin/v1/operators/keys", at()+`"name":"watch","role":"read"}`))
	expect("it reads at the other controller", 200, "")(call(1, reader, "GET", "/admin/v1/tenants", ""))
	expect("it does not change", 403, "may not")(call(1, reader, "POST", "/admin/v1/tenants/kipper/suspend", `{"revision":1,"why":"x"}`))
	expect("nor what is no tenant's", 403, "may not")(call(1, reader, "POST", "/admin/v1/machines/i-000000/drain", ""))
	expect("nor itself", 403, "may not")(call(1, reader, "PUT", "/admin/v1/operators", at()+`"cpus":1}`))
	expect("operators shut out", 422, "networks:")(call(0, root, "PUT", "/admin/v1/operators", at()+`"networks":["192.0.2.0/24"]}`))
	expect("a bad proxy", 400, "networks")(call(0, root, "PUT", "/admin/v1/operators", at()+`"proxies":["x"]}`))
	expect("no revision", 409, "revision:")(call(0, root, "PUT", "/admin/v1/operators", `{"cpus":4}`))
	put := at() + `"networks":["127.0.0.0/8"],"cpus":4}`
	expect("networks and room for teams", 200, `"networks":["127.0.0.0/8"],"proxies":[],"cpus":4`)(call(1, root, "PUT", "/admin/v1/operators", put))
	expect("the same again", 200, `"cpus":4`)(call(0, root, "PUT", "/admin/v1/operators", put))
	expect("more than there is", 422, "cpus:")(call(0, root, "PUT", "/admin/v1/teams/dispo", `{"revision":0,"cpus":5}`))
	expect("a limit below", 400, "cpus_max:")(call(0, root, "PUT", "/admin/v1/teams/dispo", `{"revision":0,"cpus":3,"cpus_max":2}`))
	expect("the platform's", 409, "name:")(call(0, root, "PUT", "/admin/v1/teams/red", `{"revision":0,"cpus":1}`))
	expect("no such team", 404, "name:")(call(0, root, "POST", "/admin/v1/teams/dispo/remove", `{"revision":0}`))
	var team core.TeamRecord
	body := expect("a team", 200, `"name":"dispo"`)(call(0, root, "PUT", "/admin/v1/teams/dispo", `{"revision":0,"cpus":3,"cpus_max":6}`))
	if err := json.Unmarshal([]byte(body), &team); err != nil {
		t.Fatal(err)
	}
	expect("the rest is too little", 422, "cpus:")(call(1, root, "PUT", "/admin/v1/teams/fuhrpark", `{"revision":0,"cpus":2}`))
	expect("less set aside than given", 422, "cpus:")(call(1, root, "PUT", "/admin/v1/operators", at()+`"networks":["127.0.0.0/8"],"cpus":2}`))
	expect("a limit lowered", 409, "cpus_max:")(call(1, root, "PUT", "/admin/v1/teams/dispo", fmt.Sprintf(`{"revision":%d,"cpus":3,"cpus_max":5}`, team.Revision)))
	expect("listed", 200, `"team":"dispo"`)(call(1, reader, "GET", "/admin/v1/teams", ""))
	expect("a tenant has it", 200, `"teams":["dispo"]`)(call(1, root, "PUT", "/admin/v1/tenants/sortier", `{"revision":0,"teams":["dispo"],"networks":["192.0.2.0/24"]}`))
	expect("it is not removed then", 409, "belongs to sortier")(call(0, root, "POST", "/admin/v1/teams/dispo/remove", fmt.Sprintf(`{"revision":%d}`, team.Revision)))
	expect("a pool of nothing", 400, "size:")(call(0, root, "PUT", "/admin/v1/pools/routing", `{"revision":0,"size":-1}`))
	expect("a pool of a team that is not there", 422, "teams:")(call(0, root, "PUT", "/admin/v1/pools/routing", `{"revision":0,"size":2,"teams":["green"]}`))
	var view pools.View
	body = expect("a pool", 200, `"size":2`)(call(0, root, "PUT", "/admin/v1/pools/routing", `{"revision":0,"size":2,"unit":"licences","tenants":["kipper"]}`))
	if err := json.Unmarshal([]byte(body), &view); err != nil {
		t.Fatal(err)
	}
	expect("it is not changed by nobody's revision", 409, "revision:")(call(1, root, "PUT", "/admin/v1/pools/routing", `{"revision":0,"size":3}`))
	expect("nor by a key to read", 403, "may not")(call(1, reader, "POST", "/admin/v1/pools/routing/remove", fmt.Sprintf(`{"revision":%d}`, view.Revision)))
	expect("it is shown", 200, `"free":[1,1]`)(call(1, reader, "GET", "/admin/v1/pools/routing", ""))
	expect("listed", 200, `"waiting_units":0`)(call(1, reader, "GET", "/admin/v1/pools", ""))
	audit := expect("the audit tells", 200, `"about":"team dispo"`)(call(0, reader, "GET", "/admin/v1/audit", ""))
	if !strings.Contains(audit, `"about":"operators"`) || strings.Contains(audit, "hash") {
		t.Errorf("audit: %s", audit)
	}
}

// rotateAdminKey replaces the operators' first key by another and checks that nobody is shut out
// by a mistake.
func rotateAdminKey(t *testing.T, root string, call callFunc, expect expectFunc) {
	t.Helper()
	at := func() string { return `{"revision":` + operatorsRevision(t, root, call) }
	expect("the only key that changes", 409, "must be left")(call(0, root, "POST", "/admin/v1/operators/keys/first/revoke", at()+`}`))
	next := createdSecret(t, expect("another", 200, `"secret"`)(call(0, root, "POST", "/admin/v1/operators/keys", at()+`,"name":"next","role":"change"}`)))
	expect("the first retired", 200, `"first_retired":true`)(call(1, next, "POST", "/admin/v1/operators/keys/first/revoke", at()+`}`))
	expect("it opens nothing", 401, "")(call(0, root, "GET", "/admin/v1/tenants", ""))
	expect("the other does", 200, "")(call(0, next, "GET", "/admin/v1/tenants", ""))
	root = next // for at
	expect("which is the last now", 409, "must be left")(call(1, next, "POST", "/admin/v1/operators/keys/next/revoke", at()+`}`))
}

// Skips are promised over the administration API of any controller: what one has answered the
// other knows, a repeated request gets its answer, and bad input names its field.
func TestSkipsOnLoopback(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := emulator.StartLive(ctx, 2, 2)
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	for _, c := range l.Configs {
		wg.Go(func() {
			if err := New(c).Run(ctx); err != nil {
				t.Errorf("controller: %v", err)
			}
		})
	}
	call := func(node int, method, path, body string) (int, string) {
		req, err := http.NewRequestWithContext(t.Context(), method, "http://"+l.Configs[node].APIAddr+"/admin/v1/skips"+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0, ""
		}
		defer func() { _ = res.Body.Close() }()
		data, _ := io.ReadAll(res.Body)
		return res.StatusCode, string(data)
	}
	expect := newExpect(t)
	for node := range l.Configs {
		eventually(t, "skips are imported", func() bool {
			code, _ := call(node, "POST", "/hof/import", `{"skips":[{"skip":"six-1","kind":"six"},{"skip":"six-2","kind":"six"}]}`)
			return code == 200
		})
	}
	for what, bad := range map[string][2]string{"an unknown field": {`{"colour":1}`, "colour"}, "no name": {`{"kind":"six"}`, "name:"}, "no site": {`{"name":"a","kind":"six","from":"2026-12-01","to":"2026-12-02"}`, "site:"},
		"no day": {`{"name":"a","site":"s","kind":"six","from":"1.12.","to":"2026-12-02"}`, "from:"}, "backwards": {`{"name":"a","site":"s","kind":"six","from":"2026-12-02","to":"2026-12-02"}`, "to:"},
		"neither kind nor skip": {`{"name":"a","site":"s","from":"2026-12-01","to":"2026-12-02"}`, "kind:"}, "a wrong type": {`{"name":1}`, "name"}, "too long": {`{"name":"` + strings.Repeat("n", 41) + `"}`, "name:"}} {
		expect(what, 400, bad[1])(call(0, "POST", "/hof/promise", bad[0]))
	}
	expect("a number missing", 400, "number:")(call(0, "POST", "/hof/release", `{"skip":"six-1"}`))
	expect("an unknown skip", 404, "no such skip")(call(0, "POST", "/hof/release", `{"skip":"six-9","number":3}`))
	expect("no such change", 404, "")(call(0, "POST", "/hof/paint", `{}`))
	days := `"from":"2026-12-01","to":"2026-12-04"`
	first := expect("a promise", 200, `"promised"`)(call(0, "POST", "/hof/promise", `{"name":"a","site":"s1","kind":"six",`+days+`}`))
	if again := expect("the same once more, elsewhere", 200, `"promised"`)(call(1, "POST", "/hof/promise", `{"name":"a","site":"s1","kind":"six",`+days+`}`)); again != first {
		t.Errorf("%s, then %s", first, again)
	}
	expect("the name for another", 409, "name")(call(1, "POST", "/hof/promise", `{"name":"a","site":"s2","kind":"six",`+days+`}`))
	var offer struct {
		Skip   string `json:"skip"`
		Number uint64 `json:"number"`
	}
	if err := json.Unmarshal([]byte(expect("an offer", 200, `"offered"`)(call(1, "POST", "/hof/offer", `{"name":"b","kind":"six",`+days+`}`))), &offer); err != nil {
		t.Fatal(err)
	}
	expect("a third", 409, "none of that kind")(call(0, "POST", "/hof/offer", `{"name":"c","kind":"six",`+days+`}`))
	expect("days that do not meet", 200, "")(call(0, "POST", "/hof/offer", `{"name":"d","kind":"six","from":"2026-12-04","to":"2026-12-05"}`))
	expect("the offer is taken", 200, `"promised"`)(call(0, "POST", "/hof/promise", fmt.Sprintf(`{"name":"e","site":"s2","skip":%q,"number":%d}`, offer.Skip, offer.Number)))
	expect("delivered", 200, `"delivered"`)(call(1, "POST", "/hof/deliver", fmt.Sprintf(`{"skip":%q,"number":%d}`, offer.Skip, offer.Number)))
	expect("released while it is out", 409, "delivered")(call(1, "POST", "/hof/release", fmt.Sprintf(`{"skip":%q,"number":%d}`, offer.Skip, offer.Number)))
	expect("back", 200, `"back"`)(call(0, "POST", "/hof/return", fmt.Sprintf(`{"skip":%q,"number":%d}`, offer.Skip, offer.Number)))
	expect("the list", 200, `"site":"s1"`)(call(1, "GET", "/hof", ""))
	expect("the counts", 200, `"about_s_old"`)(call(1, "GET", "", ""))
	cancel()
	wg.Wait()
}

// newExpect makes the check of an answer: its status, and what its body holds.
func newExpect(t *testing.T) func(what string, code int, part string) func(int, string) string {
	return func(what string, code int, part string) func(int, string) string {
		return func(got int, body string) string {
			t.Helper()
			if got != code || !strings.Contains(body, part) {
				t.Errorf("%s: %d %s, expected %d with %q", what, got, body, code, part)
			}
			return body
		}
	}
}
