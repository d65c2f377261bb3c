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

// createdSecret reads a key's secret from the response to its creation.
func createdSecret(t *testing.T, body string) string {
	t.Helper()
	var k tenancy.NewKeyView
	if err := json.Unmarshal([]byte(body), &k); err != nil {
		t.Fatalf("%s: %v", body, err)
	}
	return k.Secret
}

// operatorsRevision returns the revision of the operators' record.
func operatorsRevision(t *testing.T, key string, call callFunc) string {
	t.Helper()
	var at tenancy.OperatorsView
	if _, body := call(0, key, "GET", "/admin/v1/operators", ""); json.Unmarshal([]byte(body), &at) != nil {
		t.Fatalf("operators: %s", body)
	}
	return fmt.Sprint(at.Revision)
}

// exerciseHostedAdminAPI tests the operators' keys with both roles, the operators' networks and proxies,
// pools, and teams in addition to those of the settings file.
func exerciseHostedAdminAPI(t *testing.T, root string, call callFunc, expect expectFunc) {
	t.Helper()
	at := func() string { return `{"revision":` + operatorsRevision(t, root, call) + "," }
	reader := createdSecret(t, expect("create read key", 200, `"secret"`)(call(0, root, "POST", "/admin/v1/operators/keys", at()+`"name":"watch","role":"read"}`)))
	expect("invalid role", 400, "role:")(call(0, root, "POST", "/admin/v1/operators/keys", at()+`"name":"other","role":"all"}`))
	expect("duplicate key name", 409, "name:")(call(0, root, "POST", "/admin/v1/operators/keys", at()+`"name":"watch","role":"read"}`))
	expect("read key at the other controller", 200, "")(call(1, reader, "GET", "/admin/v1/tenants", ""))
	expect("suspension with the read key", 403, "may not")(call(1, reader, "POST", "/admin/v1/tenants/kipper/suspend", `{"revision":1,"why":"x"}`))
	expect("drain with the read key", 403, "may not")(call(1, reader, "POST", "/admin/v1/machines/i-000000/drain", ""))
	expect("change of the operators' record with the read key", 403, "may not")(call(1, reader, "PUT", "/admin/v1/operators", at()+`"cpus":1}`))
	expect("networks that exclude the caller", 422, "networks:")(call(0, root, "PUT", "/admin/v1/operators", at()+`"networks":["192.0.2.0/24"]}`))
	expect("invalid proxy network", 400, "networks")(call(0, root, "PUT", "/admin/v1/operators", at()+`"proxies":["x"]}`))
	expect("missing revision", 409, "revision:")(call(0, root, "PUT", "/admin/v1/operators", `{"cpus":4}`))
	put := at() + `"networks":["127.0.0.0/8"],"cpus":4}`
	expect("set networks and CPUs for teams", 200, `"networks":["127.0.0.0/8"],"proxies":[],"cpus":4`)(call(1, root, "PUT", "/admin/v1/operators", put))
	expect("repeated change of the operators' record", 200, `"cpus":4`)(call(0, root, "PUT", "/admin/v1/operators", put))
	expect("team guarantee above the operators' amount", 422, "cpus:")(call(0, root, "PUT", "/admin/v1/teams/dispo", `{"revision":0,"cpus":5}`))
	expect("team limit below its guarantee", 400, "cpus_max:")(call(0, root, "PUT", "/admin/v1/teams/dispo", `{"revision":0,"cpus":3,"cpus_max":2}`))
	expect("change of a team of the settings file", 409, "name:")(call(0, root, "PUT", "/admin/v1/teams/red", `{"revision":0,"cpus":1}`))
	expect("removal of an unknown team", 404, "name:")(call(0, root, "POST", "/admin/v1/teams/dispo/remove", `{"revision":0}`))
	var team core.TeamRecord
	body := expect("create team", 200, `"name":"dispo"`)(call(0, root, "PUT", "/admin/v1/teams/dispo", `{"revision":0,"cpus":3,"cpus_max":6}`))
	if err := json.Unmarshal([]byte(body), &team); err != nil {
		t.Fatal(err)
	}
	expect("second team above the remaining amount", 422, "cpus:")(call(1, root, "PUT", "/admin/v1/teams/fuhrpark", `{"revision":0,"cpus":2}`))
	expect("operators' amount below the teams' guarantees", 422, "cpus:")(call(1, root, "PUT", "/admin/v1/operators", at()+`"networks":["127.0.0.0/8"],"cpus":2}`))
	expect("lowered team limit", 409, "cpus_max:")(call(1, root, "PUT", "/admin/v1/teams/dispo", fmt.Sprintf(`{"revision":%d,"cpus":3,"cpus_max":5}`, team.Revision)))
	expect("list teams", 200, `"team":"dispo"`)(call(1, reader, "GET", "/admin/v1/teams", ""))
	expect("assign the team to a tenant", 200, `"teams":["dispo"]`)(call(1, root, "PUT", "/admin/v1/tenants/sortier", `{"revision":0,"teams":["dispo"],"networks":["192.0.2.0/24"]}`))
	expect("removal of an assigned team", 409, "belongs to sortier")(call(0, root, "POST", "/admin/v1/teams/dispo/remove", fmt.Sprintf(`{"revision":%d}`, team.Revision)))
	expect("negative pool size", 400, "size:")(call(0, root, "PUT", "/admin/v1/pools/routing", `{"revision":0,"size":-1}`))
	expect("pool with an unknown team", 422, "teams:")(call(0, root, "PUT", "/admin/v1/pools/routing", `{"revision":0,"size":2,"teams":["green"]}`))
	var view pools.View
	body = expect("create pool", 200, `"size":2`)(call(0, root, "PUT", "/admin/v1/pools/routing", `{"revision":0,"size":2,"unit":"licences","tenants":["kipper"]}`))
	if err := json.Unmarshal([]byte(body), &view); err != nil {
		t.Fatal(err)
	}
	expect("pool change with revision 0", 409, "revision:")(call(1, root, "PUT", "/admin/v1/pools/routing", `{"revision":0,"size":3}`))
	expect("pool removal with the read key", 403, "may not")(call(1, reader, "POST", "/admin/v1/pools/routing/remove", fmt.Sprintf(`{"revision":%d}`, view.Revision)))
	expect("show pool", 200, `"free":[1,1]`)(call(1, reader, "GET", "/admin/v1/pools/routing", ""))
	expect("list pools", 200, `"waiting_units":0`)(call(1, reader, "GET", "/admin/v1/pools", ""))
	audit := expect("audit log", 200, `"about":"team dispo"`)(call(0, reader, "GET", "/admin/v1/audit", ""))
	if !strings.Contains(audit, `"about":"operators"`) || strings.Contains(audit, "hash") {
		t.Errorf("audit log: %s", audit)
	}
}

// rotateAdminKey replaces the operators' first key and checks that the last key with role change cannot
// be revoked.
func rotateAdminKey(t *testing.T, root string, call callFunc, expect expectFunc) {
	t.Helper()
	at := func() string { return `{"revision":` + operatorsRevision(t, root, call) }
	expect("revocation of the last key with role change", 409, "must remain")(call(0, root, "POST", "/admin/v1/operators/keys/first/revoke", at()+`}`))
	next := createdSecret(t, expect("create second key", 200, `"secret"`)(call(0, root, "POST", "/admin/v1/operators/keys", at()+`,"name":"next","role":"change"}`)))
	expect("retire the first key", 200, `"first_retired":true`)(call(1, next, "POST", "/admin/v1/operators/keys/first/revoke", at()+`}`))
	expect("retired key", 401, "")(call(0, root, "GET", "/admin/v1/tenants", ""))
	expect("second key after retirement of the first", 200, "")(call(0, next, "GET", "/admin/v1/tenants", ""))
	root = next // used by at to read the revision
	expect("revocation of the new last key with role change", 409, "must remain")(call(1, next, "POST", "/admin/v1/operators/keys/next/revoke", at()+`}`))
}
