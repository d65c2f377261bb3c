package server

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/getkin/kin-openapi/openapi3"

	"basaltwall/config"
	"basaltwall/httpx"
)

// document is the OpenAPI description of the hosted service, docs/openapi.yaml.
type document struct{ doc *openapi3.T }

func readDocument(t *testing.T) document {
	t.Helper()
	doc, err := openapi3.NewLoader().LoadFromFile("../docs/openapi.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if err := doc.Validate(t.Context()); err != nil {
		t.Fatal(err)
	}
	return document{doc}
}

// find returns the document's entry for a path, or nil.
func (d document) find(path string) *openapi3.PathItem {
	path, _, _ = strings.Cut(path, "?")
	parts := strings.Split(path, "/")
	for template, item := range d.doc.Paths.Map() {
		if slices.EqualFunc(strings.Split(template, "/"), parts, func(a, b string) bool { return a == b || strings.HasPrefix(a, "{") }) {
			return item
		}
	}
	return nil
}

// check checks that a response matches the document.
func (d document) check(t *testing.T, method, path string, code int, body string) {
	t.Helper()
	item := d.find(path)
	if item == nil || item.GetOperation(method) == nil {
		return // the document describes only the hosted service
	}
	res := item.GetOperation(method).Responses.Status(code)
	if res == nil {
		t.Errorf("%s %s: %d %s: status is missing in the document", method, path, code, body)
		return
	}
	var v any
	if err := json.Unmarshal([]byte(body), &v); err != nil {
		t.Errorf("%s %s: %s: %v", method, path, body, err)
		return
	}
	if err := res.Value.Content["application/json"].Schema.Value.VisitJSON(v); err != nil {
		t.Errorf("%s %s: %d %s: %v", method, path, code, body, err)
	}
}

// TestRequestsMatchOpenAPI checks that the router accepts every method and path of the document, and
// refuses other methods and paths.
func TestRequestsMatchOpenAPI(t *testing.T) {
	d := readDocument(t)
	s := &Server{config: &config.Config{Hosted: &config.Hosted{}}}
	for template, item := range d.doc.Paths.Map() {
		path := strings.NewReplacer("{ref}", "run-1", "{name}", "kipper", "{key}", "first", "{team}", "dispo", "{depot}", "hof-nord").Replace(template)
		for _, method := range []string{"GET", "PUT", "POST", "DELETE", "PATCH"} {
			c, status := s.route(1, httpx.Request{Method: method, Path: path, Body: []byte("{}")})
			if documented := item.GetOperation(method) != nil; documented != (c != nil) {
				t.Errorf("%s %s: documented %v, accepted %v (%d)", method, path, documented, c != nil, status)
			} else if !documented && status != 405 {
				t.Errorf("%s %s: %d, expected 405", method, path, status)
			}
		}
	}
	for _, path := range []string{"/admin/v1/tenants/kipper/forget", "/admin/v1/tenants/", "/admin/v1/audit/x", "/v1/history/x", "/v1/usage/x",
		"/admin/v1/operators/x", "/admin/v1/operators/keys/a/b", "/admin/v1/teams/dispo/x", "/admin/v1/teams/"} {
		if c, status := s.route(1, httpx.Request{Method: "GET", Path: path}); c != nil || status != 404 {
			t.Errorf("%s: %d", path, status)
		}
	}
}

// TestTenantPathsAbsentWithoutHosting checks that a service without tenants answers the hosted service's
// paths with status 404.
func TestTenantPathsAbsentWithoutHosting(t *testing.T) {
	s := &Server{config: &config.Config{}}
	for _, method := range []string{"GET", "PUT", "POST"} {
		for _, path := range []string{"/admin/v1/tenants", "/admin/v1/tenants/kipper", "/admin/v1/tenants/kipper/suspend", "/admin/v1/audit", "/v1/history", "/v1/usage",
			"/admin/v1/operators", "/admin/v1/operators/keys", "/admin/v1/teams/red", "/admin/v1/pools", "/admin/v1/pools/x"} {
			if c, status := s.route(1, httpx.Request{Method: method, Path: path, Body: []byte("{}")}); c != nil || status != 404 {
				t.Errorf("%s %s: %d", method, path, status)
			}
		}
	}
}
