package server

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"basaltwall/api"
	"basaltwall/config"
	"basaltwall/controller/pools"
	"basaltwall/controller/tenancy"
	"basaltwall/tenant"
)

// hostedService is a hosted service that runs on real sockets, and what the steps of its test share.
type hostedService struct {
	root   string            // the operators' first key
	keys   map[string]string // by tenant
	call   callFunc
	expect expectFunc
}

// shortJob is a job of the tenant kipper that is soon done.
var shortJob = fmt.Sprintf(jobTemplate, "run-1", "sweep", 4, 1)

// A hosted service on real sockets: what a tenant and an operator see and may do, and what
// anybody else may not.
func TestHostedOnLoopback(t *testing.T) {
	_, admin, err := tenant.NewKey([tenant.RandomBytes]byte{9}, "admin", 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	live := startControllers(t, 2, 4, &config.Hosted{AdminKey: admin.Key("admin")})
	document := readDocument(t)
	h := &hostedService{root: admin.String(), keys: map[string]string{}, expect: newExpect(t)}
	h.call = func(node int, key, method, path, body string) (int, string) {
		code, answer, ok := sendRequest(t, method, "http://"+live.Configs[node].APIAddr+path, key, body)
		if ok {
			document.check(t, method, path, code, answer)
		}
		return code, answer
	}
	eventually(t, "an operator is answered", func() bool {
		code, _ := h.call(0, h.root, "GET", "/admin/v1/tenants", "")
		other, _ := h.call(1, h.root, "GET", "/admin/v1/tenants", "")
		return code == 200 && other == 200
	})
	h.checkRefusals(t)
	h.makeTenants(t)
	h.runJob(t)
	h.readHistory(t)
	h.readQueueAndUsage(t)
	exerciseHostedAdminAPI(t, h.root, h.call, h.expect)
	h.useAndRemovePool(t)
	h.suspendTenant(t)
	h.removeTenant(t)
	rotateAdminKey(t, h.root, h.call, h.expect)
}

// revision is the revision of a tenant.
func (h *hostedService) revision(t *testing.T, name string) string {
	t.Helper()
	var at tenancy.TenantView
	if _, body := h.call(0, h.root, "GET", "/admin/v1/tenants/"+name, ""); json.Unmarshal([]byte(body), &at) != nil {
		t.Fatalf("tenant %s: %s", name, body)
	}
	return fmt.Sprint(at.Revision)
}

// poolRevision is the revision of the pool routing.
func (h *hostedService) poolRevision(t *testing.T) string {
	t.Helper()
	var v pools.View
	if _, body := h.call(0, h.root, "GET", "/admin/v1/pools/routing", ""); json.Unmarshal([]byte(body), &v) != nil {
		t.Fatalf("pool: %s", body)
	}
	return fmt.Sprint(v.Revision)
}

// checkRefusals sends what an operator is refused.
func (h *hostedService) checkRefusals(t *testing.T) {
	t.Helper()
	h.expect("no key", 401, "Authorization")(h.call(0, "", "GET", "/admin/v1/tenants", ""))
	h.expect("no key for metrics", 401, "")(h.call(0, "", "GET", "/admin/v1/metrics", ""))
	h.expect("a bad name", 400, "name:")(h.call(0, h.root, "PUT", "/admin/v1/tenants/Kipper", `{"revision":0,"teams":["red"]}`))
	h.expect("an unknown team", 422, "teams:")(h.call(0, h.root, "PUT", "/admin/v1/tenants/kipper", `{"revision":0,"teams":["green"]}`))
	h.expect("an unknown field", 400, "colour")(h.call(0, h.root, "PUT", "/admin/v1/tenants/kipper", `{"revision":0,"colour":1}`))
	h.expect("a bad network", 400, "networks")(h.call(0, h.root, "PUT", "/admin/v1/tenants/kipper", `{"revision":0,"networks":["10.0.0.1/8"]}`))
	h.expect("no revision", 409, "revision")(h.call(0, h.root, "PUT", "/admin/v1/tenants/kipper", `{"teams":["red"]}`))
	h.expect("a name too long", 400, "name:")(h.call(0, h.root, "PUT", "/admin/v1/tenants/"+strings.Repeat("k", 41), `{"revision":0}`))
	h.expect("a name with a way out", 400, "name:")(h.call(0, h.root, "PUT", "/admin/v1/tenants/%2e%2e", `{"revision":0}`))
	h.expect("a wrong type", 400, "rate: wrong type")(h.call(0, h.root, "PUT", "/admin/v1/tenants/kipper", `{"revision":0,"rate":"much"}`))
	h.expect("no JSON", 400, "")(h.call(0, h.root, "PUT", "/admin/v1/tenants/kipper", `{"revision":0`))
	h.expect("a rate without a burst", 400, "burst:")(h.call(0, h.root, "PUT", "/admin/v1/tenants/kipper", `{"revision":0,"rate":1}`))
	many := make([]string, 1000)
	for i := range many {
		many[i] = fmt.Sprintf(`"10.%d.%d.0/24"`, i/250, i%250)
	}
	h.expect("more networks than a record holds", 400, "networks:")(h.call(0, h.root, "PUT", "/admin/v1/tenants/kipper", `{"revision":0,"networks":[`+strings.Join(many, ",")+`]}`))
	h.expect("a body too long", 413, "")(h.call(0, h.root, "PUT", "/admin/v1/tenants/kipper", strings.Repeat(" ", 70_000)))
}

// makeTenants makes two tenants, each with a team and a key.
func (h *hostedService) makeTenants(t *testing.T) {
	t.Helper()
	for name, team := range map[string]string{"kipper": "red", "lopresti": "blue"} {
		put := `{"revision":0,"teams":["` + team + `"],"retention_s":60}`
		h.expect("a tenant", 200, `"state":"active"`)(h.call(0, h.root, "PUT", "/admin/v1/tenants/"+name, put))
		h.expect("the same again", 200, `"state":"active"`)(h.call(1, h.root, "PUT", "/admin/v1/tenants/"+name, put))
		var k tenancy.NewKeyView
		body := h.expect("a key", 200, `"secret"`)(h.call(1, h.root, "POST", "/admin/v1/tenants/"+name+"/keys", `{"revision":`+h.revision(t, name)+`,"name":"first"}`))
		if err := json.Unmarshal([]byte(body), &k); err != nil {
			t.Fatal(err)
		}
		h.keys[name] = k.Secret
		h.expect("its secret again", 409, "shown again")(h.call(0, h.root, "POST", "/admin/v1/tenants/"+name+"/keys", `{"revision":`+h.revision(t, name)+`,"name":"first"}`))
	}
	h.expect("another's team", 422, "another tenant")(h.call(0, h.root, "PUT", "/admin/v1/tenants/lopresti", `{"revision":`+h.revision(t, "lopresti")+`,"teams":["blue","red"]}`))
	h.expect("a tenant's key for operators", 401, "")(h.call(0, h.keys["kipper"], "GET", "/admin/v1/tenants", ""))
}

// runJob has kipper run a job, which nobody else sees.
func (h *hostedService) runJob(t *testing.T) {
	t.Helper()
	eventually(t, "a submission accepted", func() bool {
		code, _ := h.call(0, h.keys["kipper"], "POST", api.PathJobs, shortJob)
		return code == 201 || code == 200
	})
	h.expect("no key", 401, "")(h.call(0, "", "POST", api.PathJobs, shortJob))
	h.expect("not its team", 422, "unknown team")(h.call(0, h.keys["lopresti"], "POST", api.PathJobs, shortJob))
	h.expect("another's job", 404, "no such job")(h.call(1, h.keys["lopresti"], "GET", api.PathJobs+"/run-1", ""))
	h.expect("another's job, cancelled", 404, "no such job")(h.call(1, h.keys["lopresti"], "POST", api.PathJobs+"/run-1/"+api.PathSuffixCancel, ""))
	eventually(t, "its own job done", func() bool {
		_, body := h.call(1, h.keys["kipper"], "GET", api.PathJobs+"/run-1", "")
		return strings.Contains(body, `"ref":"run-1","stato":"done"`)
	})
}

// readHistory reads what kipper's job left in the history.
func (h *hostedService) readHistory(t *testing.T) {
	t.Helper()
	eventually(t, "it is in the history", func() bool {
		_, body := h.call(0, h.keys["kipper"], "GET", api.PathHistory, "")
		return strings.Contains(body, `"ref":"run-1","stato":"done"`)
	})
	h.expect("another's history", 200, `"jobs":[]`)(h.call(0, h.keys["lopresti"], "GET", api.PathHistory+"?limit=5", ""))
	h.expect("history without a key", 401, "")(h.call(0, "", "GET", api.PathHistory, ""))
	h.expect("a cursor out of it", 400, "")(h.call(0, h.keys["lopresti"], "GET", api.PathHistory+"?after=../kipper/", ""))
}

// readQueueAndUsage reads the list of a tenant's jobs that are not over, and its usage.
func (h *hostedService) readQueueAndUsage(t *testing.T) {
	t.Helper()
	// A long job of kipper's stays in its list, and in nobody else's.
	eventually(t, "a long job accepted", func() bool {
		code, _ := h.call(0, h.keys["kipper"], "POST", api.PathJobs, fmt.Sprintf(jobTemplate, "run-7", "sweep", 40, 60))
		return code == 201 || code == 200
	})
	h.expect("the list", 200, `"open":1,"jobs":[{"ref":"run-7"`)(h.call(1, h.keys["kipper"], "GET", api.PathJobs, ""))
	h.expect("another's list", 200, `"open":0,"jobs":[]`)(h.call(1, h.keys["lopresti"], "GET", api.PathJobs, ""))
	h.expect("a list without a key", 401, "")(h.call(1, "", "GET", api.PathJobs, ""))
	h.expect("a list too long", 400, "")(h.call(1, h.keys["kipper"], "GET", api.PathJobs+"?limit=501", ""))
	h.expect("usage", 200, `"open":1,"open_jobs":2000`)(h.call(1, h.keys["kipper"], "GET", api.PathUsage, ""))
	if _, body := h.call(1, h.keys["lopresti"], "GET", api.PathUsage, ""); !strings.Contains(body, `"open":0`) || strings.Contains(body, "red") || strings.Contains(body, "submissions") {
		t.Errorf("usage of another: %s", body)
	}
	h.expect("usage for operators", 200, `"submissions":{"accepted":2`)(h.call(0, h.root, "GET", "/admin/v1/tenants/kipper/usage", ""))
	h.expect("the job cancelled", 200, `"run-7"`)(h.call(0, h.keys["kipper"], "POST", api.PathJobs+"/run-7/"+api.PathSuffixCancel, ""))
	eventually(t, "the key's last use is shown", func() bool {
		_, body := h.call(1, h.root, "GET", "/admin/v1/tenants/kipper", "")
		return strings.Contains(body, `"used":`)
	})
}

// licensedJob is a job of kipper's whose tasks take so many units of the pool routing.
func licensedJob(ref string, units int) string {
	return strings.TrimSuffix(fmt.Sprintf(jobTemplate, ref, "sweep", 3, 1), "}") + fmt.Sprintf(`,"gettoni":[{"nome":"routing","a_pezzo":%d}]}`, units)
}

// useAndRemovePool has kipper run a job that takes units of a pool, and removes the pool.
func (h *hostedService) useAndRemovePool(t *testing.T) {
	t.Helper()
	h.expect("more units than there may be", 422, "never has more than 2")(h.call(0, h.keys["kipper"], "POST", api.PathJobs, licensedJob("run-8", 3)))
	h.expect("units of no pool of its", 422, "no pool")(h.call(0, h.keys["lopresti"], "POST", api.PathJobs, strings.Replace(licensedJob("run-8", 1), `"red"`, `"blue"`, 1)))
	h.expect("half a unit", 400, "gettoni")(h.call(0, h.keys["kipper"], "POST", api.PathJobs, strings.Replace(licensedJob("run-8", 1), `"a_pezzo":1`, `"a_pezzo":0.5`, 1)))
	eventually(t, "a job that takes units accepted", func() bool {
		code, _ := h.call(0, h.keys["kipper"], "POST", api.PathJobs, licensedJob("run-8", 1))
		return code == 201 || code == 200
	})
	eventually(t, "it is done", func() bool {
		_, body := h.call(1, h.keys["kipper"], "GET", api.PathJobs+"/run-8", "")
		return strings.Contains(body, `"stato":"done"`)
	})
	eventually(t, "the pool removed", func() bool {
		code, _ := h.call(0, h.root, "POST", "/admin/v1/pools/routing/remove", `{"revision":`+h.poolRevision(t)+`}`)
		return code == 200
	})
	h.expect("units of a removed pool", 422, "no pool")(h.call(1, h.keys["kipper"], "POST", api.PathJobs, licensedJob("run-9", 1)))
}

// suspendTenant suspends kipper and revokes the key of the other tenant.
func (h *hostedService) suspendTenant(t *testing.T) {
	t.Helper()
	h.expect("suspended", 200, `"state":"suspended"`)(h.call(0, h.root, "POST", "/admin/v1/tenants/kipper/suspend", `{"revision":`+h.revision(t, "kipper")+`,"why":"unpaid"}`))
	h.expect("a submission then", 403, "unpaid")(h.call(1, h.keys["kipper"], "POST", api.PathJobs, fmt.Sprintf(jobTemplate, "run-2", "sweep", 1, 1)))
	h.expect("a job done before", 200, `"done"`)(h.call(1, h.keys["kipper"], "POST", api.PathJobs, shortJob))
	h.expect("a poll then", 200, `"done"`)(h.call(0, h.keys["kipper"], "GET", api.PathJobs+"/run-1", ""))
	h.expect("a key revoked", 200, `"keys":[]`)(h.call(0, h.root, "POST", "/admin/v1/tenants/lopresti/keys/first/revoke", `{"revision":`+h.revision(t, "lopresti")+`}`))
	h.expect("the key at the other controller", 401, "")(h.call(1, h.keys["lopresti"], "GET", api.PathJobs+"/run-1", ""))
}

// removeTenant removes kipper and reads the audit.
func (h *hostedService) removeTenant(t *testing.T) {
	t.Helper()
	eventually(t, "removed", func() bool {
		h.call(1, h.root, "POST", "/admin/v1/tenants/kipper/remove", `{"revision":`+h.revision(t, "kipper")+`}`)
		_, body := h.call(0, h.root, "GET", "/admin/v1/tenants/kipper", "")
		return strings.Contains(body, `"state":"removed"`)
	})
	audit := h.expect("the audit", 200, `"what":"suspend"`)(h.call(0, h.root, "GET", "/admin/v1/audit", ""))
	if strings.Contains(audit, "hash") || !strings.Contains(audit, `"from":"127.0.0.1"`) || !strings.Contains(audit, `"what":"key-revoke","sub":"first"`) {
		t.Errorf("audit: %s", audit)
	}
	h.expect("a page of it", 200, `"after":"`)(h.call(0, h.root, "GET", "/admin/v1/audit?limit=1", ""))
	h.expect("the name again", 409, "removed")(h.call(0, h.root, "PUT", "/admin/v1/tenants/kipper", `{"revision":`+h.revision(t, "kipper")+`,"teams":["red"]}`))
	h.expect("the key of a removed tenant", 401, "")(h.call(0, h.keys["kipper"], "GET", api.PathJobs+"/run-1", ""))
}
