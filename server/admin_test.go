package server

import (
	"strings"
	"testing"
)

// exerciseAdminAPI tests the administration API of two controllers.
func exerciseAdminAPI(t *testing.T, one, other string) {
	t.Helper()
	call := func(method, url, body string) (int, string) {
		code, answer, ok := sendRequest(t, method, url, "", body)
		if !ok {
			t.Fatalf("%s %s: no response", method, url)
		}
		return code, answer
	}
	for path, part := range map[string]string{"members": `"label":"stone-2"`, "parts": `"owner":"stone-1"`, "machines": `"type":"small"`,
		"teams": `"team":"red"`, "jobs": `"open":`, "jobs?team=red&limit=5": `"jobs":[`, "settings": `"drained"`, "metrics": `"round":{"count":`} {
		if code, got := call("GET", one+path, ""); code != 200 || !strings.Contains(got, part) {
			t.Errorf("%s: %d %s lacks %s", path, code, got, part)
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
		t.Errorf("change of settings with an old revision: %d %s", code, got)
	}
	if code, got := call("POST", one+"machines/i-000001/drain", ""); code != 200 {
		t.Errorf("drain: %d %s", code, got)
	}
	eventually(t, "the other controller shows the drain", func() bool {
		_, got := call("GET", other+"settings", "")
		return strings.Contains(got, "i-000001")
	})
	if code, _ := call("GET", one+"machines/i-000001/drain", ""); code != 405 {
		t.Errorf("drain with method GET: %d", code)
	}
	if code, _ := call("GET", one+"secrets", ""); code != 404 {
		t.Errorf("unknown path: %d", code)
	}
}
