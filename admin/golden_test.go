package admin

import (
	"fmt"
	"strings"
	"testing"

	"basaltwall/controller/message"
	"basaltwall/httpx"
	"basaltwall/internal/golden"
)

// TestGolden checks that the paths of the administration API keep the operations of earlier versions.
func TestGolden(t *testing.T) {
	f := golden.Open(t)
	var lines []string
	for _, path := range []string{"members", "parts", "machines", "teams", "metrics", "settings", "jobs", "jobs?team=red&limit=7", "jobs?limit=x", "jobs/run-1", "machines/i-1/drain", "machines/i-1/undrain",
		"skips", "skips/hof-nord?after=six-1&limit=9", "skips/hof-nord/offer", "skips/hof-nord/promise", "skips/hof-nord/release", "skips/hof-nord/deliver", "skips/hof-nord/return",
		"skips/hof-nord/out", "skips/hof-nord/in", "skips/hof-nord/import", "audit", "audit?after=a&limit=3", "tenants", "tenants/kipper", "tenants/kipper/usage", "tenants/kipper/suspend",
		"tenants/kipper/resume", "tenants/kipper/remove", "tenants/kipper/keys", "tenants/kipper/keys/laptop/revoke", "operators", "operators/keys", "operators/keys/desk/revoke",
		"teams/dispo", "teams/dispo/remove", "pools", "pools/routing", "pools/routing/remove", "other"} {
		for _, method := range []string{"GET", "PUT", "POST"} {
			path, query, _ := strings.Cut(path, "?")
			c, status := Command(3, httpx.Request{Method: method, Path: Prefix + path, Query: query, Body: []byte("b")})
			request, ok := c.(message.AdminRequest)
			line := fmt.Sprint(status)
			if ok {
				line = fmt.Sprintf("what=%s id=%s sub=%s team=%s limit=%d after=%s body=%s", request.What, request.ID, request.Sub, request.Team, request.Limit, request.After, request.Body)
			}
			lines = append(lines, fmt.Sprintf("%s %s%s?%s: %s", method, Prefix, path, query, line))
		}
	}
	f.Text("paths", strings.Join(lines, "\n"))
}
