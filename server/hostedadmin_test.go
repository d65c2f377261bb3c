package server

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"basaltwall/controller/core"
	"basaltwall/controller/pools"
	"basaltwall/controller/tenancy"
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
	expect("the only key that changes", 409, "must remain")(call(0, root, "POST", "/admin/v1/operators/keys/first/revoke", at()+`}`))
	next := createdSecret(t, expect("another", 200, `"secret"`)(call(0, root, "POST", "/admin/v1/operators/keys", at()+`,"name":"next","role":"change"}`)))
	expect("the first retired", 200, `"first_retired":true`)(call(1, next, "POST", "/admin/v1/operators/keys/first/revoke", at()+`}`))
	expect("it opens nothing", 401, "")(call(0, root, "GET", "/admin/v1/tenants", ""))
	expect("the other does", 200, "")(call(0, next, "GET", "/admin/v1/tenants", ""))
	root = next // for at
	expect("which is the last now", 409, "must remain")(call(1, next, "POST", "/admin/v1/operators/keys/next/revoke", at()+`}`))
}
