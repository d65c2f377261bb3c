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

// hostedService is a hosted service on real sockets, with the state that the steps of its test share.
type hostedService struct {
	root   string            // the operators' first key
	keys   map[string]string // by tenant
	call   callFunc
	expect expectFunc
}

// shortJob is a job of tenant kipper with a short run time.
var shortJob = fmt.Sprintf(jobTemplate, "run-1", "sweep", 4, 1)

// TestHostedOnLoopback runs a hosted service on real sockets and checks the access rights of tenants,
// operators and unauthenticated clients.
func TestHostedOnLoopback(t *testing.T) {
	_, admin, err := tenant.NewKey([tenant.KeyRandomBytes]byte{9}, "admin", 0, 0)
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
	eventually(t, "both controllers accept the operators' key", func() bool {
		code, _ := h.call(0, h.root, "GET", "/admin/v1/tenants", "")
		other, _ := h.call(1, h.root, "GET", "/admin/v1/tenants", "")
		return code == 200 && other == 200
	})
	h.checkRefusals(t)
	h.createTenants(t)
	h.runJob(t)
	h.readHistory(t)
	h.readQueueAndUsage(t)
	exerciseHostedAdminAPI(t, h.root, h.call, h.expect)
	h.useAndRemovePool(t)
	h.suspendTenant(t)
	h.removeTenant(t)
	rotateAdminKey(t, h.root, h.call, h.expect)
}

// revision returns the revision of a tenant.
func (h *hostedService) revision(t *testing.T, name string) string {
	t.Helper()
	var at tenancy.TenantView
	if _, body := h.call(0, h.root, "GET", "/admin/v1/tenants/"+name, ""); json.Unmarshal([]byte(body), &at) != nil {
		t.Fatalf("tenant %s: %s", name, body)
	}
	return fmt.Sprint(at.Revision)
}

// poolRevision returns the revision of pool routing.
func (h *hostedService) poolRevision(t *testing.T) string {
	t.Helper()
	var v pools.View
	if _, body := h.call(0, h.root, "GET", "/admin/v1/pools/routing", ""); json.Unmarshal([]byte(body), &v) != nil {
		t.Fatalf("pool: %s", body)
	}
	return fmt.Sprint(v.Revision)
}

// checkRefusals sends invalid and unauthenticated requests to the administration API.
func (h *hostedService) checkRefusals(t *testing.T) {
	t.Helper()
	h.expect("administration API without a key", 401, "Authorization")(h.call(0, "", "GET", "/admin/v1/tenants", ""))
	h.expect("metrics without a key", 401, "")(h.call(0, "", "GET", "/admin/v1/metrics", ""))
	h.expect("invalid tenant name", 400, "name:")(h.call(0, h.root, "PUT", "/admin/v1/tenants/Kipper", `{"revision":0,"teams":["red"]}`))
	h.expect("tenant with an unknown team", 422, "teams:")(h.call(0, h.root, "PUT", "/admin/v1/tenants/kipper", `{"revision":0,"teams":["green"]}`))
	h.expect("unknown JSON field", 400, "colour")(h.call(0, h.root, "PUT", "/admin/v1/tenants/kipper", `{"revision":0,"colour":1}`))
	h.expect("invalid network", 400, "networks")(h.call(0, h.root, "PUT", "/admin/v1/tenants/kipper", `{"revision":0,"networks":["10.0.0.1/8"]}`))
	h.expect("missing revision", 409, "revision")(h.call(0, h.root, "PUT", "/admin/v1/tenants/kipper", `{"teams":["red"]}`))
	h.expect("tenant name too long", 400, "name:")(h.call(0, h.root, "PUT", "/admin/v1/tenants/"+strings.Repeat("k", 41), `{"revision":0}`))
	h.expect("tenant name with path traversal", 400, "name:")(h.call(0, h.root, "PUT", "/admin/v1/tenants/%2e%2e", `{"revision":0}`))
	h.expect("wrong type of a JSON field", 400, "rate: wrong type")(h.call(0, h.root, "PUT", "/admin/v1/tenants/kipper", `{"revision":0,"rate":"much"}`))
	h.expect("malformed JSON", 400, "")(h.call(0, h.root, "PUT", "/admin/v1/tenants/kipper", `{"revision":0`))
	h.expect("rate without a burst", 400, "burst:")(h.call(0, h.root, "PUT", "/admin/v1/tenants/kipper", `{"revision":0,"rate":1}`))
	many := make([]string, 1000)
	for i := range many {
		many[i] = fmt.Sprintf(`"10.%d.%d.0/24"`, i/250, i%250)
	}
	h.expect("too many networks for a record", 400, "networks:")(h.call(0, h.root, "PUT", "/admin/v1/tenants/kipper", `{"revision":0,"networks":[`+strings.Join(many, ",")+`]}`))
	h.expect("request body too large", 413, "")(h.call(0, h.root, "PUT", "/admin/v1/tenants/kipper", strings.Repeat(" ", 70_000)))
}

// createTenants creates two tenants, each with a team and a key.
func (h *hostedService) createTenants(t *testing.T) {
	t.Helper()
	for name, team := range map[string]string{"kipper": "red", "lopresti": "blue"} {
		put := `{"revision":0,"teams":["` + team + `"],"retention_s":60}`
		h.expect("create tenant", 200, `"state":"active"`)(h.call(0, h.root, "PUT", "/admin/v1/tenants/"+name, put))
		h.expect("repeated creation of the tenant", 200, `"state":"active"`)(h.call(1, h.root, "PUT", "/admin/v1/tenants/"+name, put))
		var k tenancy.NewKeyView
		body := h.expect("create key", 200, `"secret"`)(h.call(1, h.root, "POST", "/admin/v1/tenants/"+name+"/keys", `{"revision":`+h.revision(t, name)+`,"name":"first"}`))
		if err := json.Unmarshal([]byte(body), &k); err != nil {
			t.Fatal(err)
		}
		h.keys[name] = k.Secret
		h.expect("repeated creation of the key", 409, "shown again")(h.call(0, h.root, "POST", "/admin/v1/tenants/"+name+"/keys", `{"revision":`+h.revision(t, name)+`,"name":"first"}`))
	}
	h.expect("team of another tenant", 422, "another tenant")(h.call(0, h.root, "PUT", "/admin/v1/tenants/lopresti", `{"revision":`+h.revision(t, "lopresti")+`,"teams":["blue","red"]}`))
	h.expect("tenant key at the administration API", 401, "")(h.call(0, h.keys["kipper"], "GET", "/admin/v1/tenants", ""))
}

// runJob runs a job of tenant kipper and checks that other tenants cannot access it.
func (h *hostedService) runJob(t *testing.T) {
	t.Helper()
	eventually(t, "submission accepted", func() bool {
		code, _ := h.call(0, h.keys["kipper"], "POST", api.PathJobs, shortJob)
		return code == 201 || code == 200
	})
	h.expect("submission without a key", 401, "")(h.call(0, "", "POST", api.PathJobs, shortJob))
	h.expect("submission for another tenant's team", 422, "unknown team")(h.call(0, h.keys["lopresti"], "POST", api.PathJobs, shortJob))
	h.expect("poll of another tenant's job", 404, "no such job")(h.call(1, h.keys["lopresti"], "GET", api.PathJobs+"/run-1", ""))
	h.expect("cancellation of another tenant's job", 404, "no such job")(h.call(1, h.keys["lopresti"], "POST", api.PathJobs+"/run-1/"+api.PathSuffixCancel, ""))
	eventually(t, "job run-1 done", func() bool {
		_, body := h.call(1, h.keys["kipper"], "GET", api.PathJobs+"/run-1", "")
		return strings.Contains(body, `"ref":"run-1","stato":"done"`)
	})
}

// readHistory checks the history of tenant kipper's finished job and the access to it.
func (h *hostedService) readHistory(t *testing.T) {
	t.Helper()
	eventually(t, "job run-1 in the history", func() bool {
		_, body := h.call(0, h.keys["kipper"], "GET", api.PathHistory, "")
		return strings.Contains(body, `"ref":"run-1","stato":"done"`)
	})
	h.expect("history of another tenant", 200, `"jobs":[]`)(h.call(0, h.keys["lopresti"], "GET", api.PathHistory+"?limit=5", ""))
	h.expect("history without a key", 401, "")(h.call(0, "", "GET", api.PathHistory, ""))
	h.expect("history cursor with path traversal", 400, "")(h.call(0, h.keys["lopresti"], "GET", api.PathHistory+"?after=../kipper/", ""))
}

// readQueueAndUsage reads the list of a tenant's unfinished jobs, and its usage.
func (h *hostedService) readQueueAndUsage(t *testing.T) {
	t.Helper()
	// A long job of tenant kipper is in kipper's list only.
	eventually(t, "long job accepted", func() bool {
		code, _ := h.call(0, h.keys["kipper"], "POST", api.PathJobs, fmt.Sprintf(jobTemplate, "run-7", "sweep", 40, 60))
		return code == 201 || code == 200
	})
	h.expect("list of unfinished jobs", 200, `"open":1,"jobs":[{"ref":"run-7"`)(h.call(1, h.keys["kipper"], "GET", api.PathJobs, ""))
	h.expect("list of another tenant's unfinished jobs", 200, `"open":0,"jobs":[]`)(h.call(1, h.keys["lopresti"], "GET", api.PathJobs, ""))
	h.expect("list of unfinished jobs without a key", 401, "")(h.call(1, "", "GET", api.PathJobs, ""))
	h.expect("limit of the list too large", 400, "")(h.call(1, h.keys["kipper"], "GET", api.PathJobs+"?limit=501", ""))
	h.expect("tenant usage", 200, `"open":1,"open_jobs":2000`)(h.call(1, h.keys["kipper"], "GET", api.PathUsage, ""))
	if _, body := h.call(1, h.keys["lopresti"], "GET", api.PathUsage, ""); !strings.Contains(body, `"open":0`) || strings.Contains(body, "red") || strings.Contains(body, "submissions") {
		t.Errorf("usage of tenant lopresti shows other data: %s", body)
	}
	h.expect("tenant usage at the administration API", 200, `"submissions":{"accepted":2`)(h.call(0, h.root, "GET", "/admin/v1/tenants/kipper/usage", ""))
	h.expect("cancel job", 200, `"run-7"`)(h.call(0, h.keys["kipper"], "POST", api.PathJobs+"/run-7/"+api.PathSuffixCancel, ""))
	eventually(t, "time of the key's last use is shown", func() bool {
		_, body := h.call(1, h.root, "GET", "/admin/v1/tenants/kipper", "")
		return strings.Contains(body, `"used":`)
	})
}

// licensedJob returns a job of tenant kipper whose tasks each request units of pool routing.
func licensedJob(ref string, units int) string {
	return strings.TrimSuffix(fmt.Sprintf(jobTemplate, ref, "sweep", 3, 1), "}") + fmt.Sprintf(`,"gettoni":[{"nome":"routing","a_pezzo":%d}]}`, units)
}

// useAndRemovePool runs a job of tenant kipper that holds pool units, and removes the pool.
func (h *hostedService) useAndRemovePool(t *testing.T) {
	t.Helper()
	h.expect("request for more units than the pool's largest size", 422, "never has more than 2")(h.call(0, h.keys["kipper"], "POST", api.PathJobs, licensedJob("run-8", 3)))
	h.expect("request for units of another tenant's pool", 422, "no pool")(h.call(0, h.keys["lopresti"], "POST", api.PathJobs, strings.Replace(licensedJob("run-8", 1), `"red"`, `"blue"`, 1)))
	h.expect("request for a fraction of a unit", 400, "gettoni")(h.call(0, h.keys["kipper"], "POST", api.PathJobs, strings.Replace(licensedJob("run-8", 1), `"a_pezzo":1`, `"a_pezzo":0.5`, 1)))
	eventually(t, "job with pool units accepted", func() bool {
		code, _ := h.call(0, h.keys["kipper"], "POST", api.PathJobs, licensedJob("run-8", 1))
		return code == 201 || code == 200
	})
	eventually(t, "job with pool units done", func() bool {
		_, body := h.call(1, h.keys["kipper"], "GET", api.PathJobs+"/run-8", "")
		return strings.Contains(body, `"stato":"done"`)
	})
	eventually(t, "pool removed", func() bool {
		code, _ := h.call(0, h.root, "POST", "/admin/v1/pools/routing/remove", `{"revision":`+h.poolRevision(t)+`}`)
		return code == 200
	})
	h.expect("request for units of a removed pool", 422, "no pool")(h.call(1, h.keys["kipper"], "POST", api.PathJobs, licensedJob("run-9", 1)))
}

// suspendTenant suspends tenant kipper and revokes the key of the other tenant.
func (h *hostedService) suspendTenant(t *testing.T) {
	t.Helper()
	h.expect("suspend tenant", 200, `"state":"suspended"`)(h.call(0, h.root, "POST", "/admin/v1/tenants/kipper/suspend", `{"revision":`+h.revision(t, "kipper")+`,"why":"unpaid"}`))
	h.expect("submission by a suspended tenant", 403, "unpaid")(h.call(1, h.keys["kipper"], "POST", api.PathJobs, fmt.Sprintf(jobTemplate, "run-2", "sweep", 1, 1)))
	h.expect("repeated submission of a finished job by a suspended tenant", 200, `"done"`)(h.call(1, h.keys["kipper"], "POST", api.PathJobs, shortJob))
	h.expect("poll by a suspended tenant", 200, `"done"`)(h.call(0, h.keys["kipper"], "GET", api.PathJobs+"/run-1", ""))
	h.expect("revoke key", 200, `"keys":[]`)(h.call(0, h.root, "POST", "/admin/v1/tenants/lopresti/keys/first/revoke", `{"revision":`+h.revision(t, "lopresti")+`}`))
	h.expect("revoked key at the other controller", 401, "")(h.call(1, h.keys["lopresti"], "GET", api.PathJobs+"/run-1", ""))
}

// removeTenant removes tenant kipper and reads the audit log.
func (h *hostedService) removeTenant(t *testing.T) {
	t.Helper()
	eventually(t, "tenant removed", func() bool {
		h.call(1, h.root, "POST", "/admin/v1/tenants/kipper/remove", `{"revision":`+h.revision(t, "kipper")+`}`)
		_, body := h.call(0, h.root, "GET", "/admin/v1/tenants/kipper", "")
		return strings.Contains(body, `"state":"removed"`)
	})
	audit := h.expect("audit log", 200, `"what":"suspend"`)(h.call(0, h.root, "GET", "/admin/v1/audit", ""))
	if strings.Contains(audit, "hash") || !strings.Contains(audit, `"from":"127.0.0.1"`) || !strings.Contains(audit, `"what":"key-revoke","sub":"first"`) {
		t.Errorf("audit log: %s", audit)
	}
	h.expect("page of the audit log", 200, `"after":"`)(h.call(0, h.root, "GET", "/admin/v1/audit?limit=1", ""))
	h.expect("reuse of a removed tenant's name", 409, "removed")(h.call(0, h.root, "PUT", "/admin/v1/tenants/kipper", `{"revision":`+h.revision(t, "kipper")+`,"teams":["red"]}`))
	h.expect("key of a removed tenant", 401, "")(h.call(0, h.keys["kipper"], "GET", api.PathJobs+"/run-1", ""))
}
