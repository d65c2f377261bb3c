package admin

import (
	"slices"
	"strings"

	"basaltwall/controller/message"
)

// hostedRoutes are the requests of a hosted service alone. In a path ID stands for what is asked
// about, and SUB for the name of one of its keys.
var hostedRoutes = []struct{ method, path, what string }{
	{"GET", "audit", "audit"},
	{"GET", "tenants", "tenants"},
	{"GET", "tenants/ID", "tenant"},
	{"PUT", "tenants/ID", "tenant-put"},
	{"GET", "tenants/ID/usage", "usage"},
	{"POST", "tenants/ID/suspend", "suspend"},
	{"POST", "tenants/ID/resume", "resume"},
	{"POST", "tenants/ID/remove", "remove"},
	{"POST", "tenants/ID/keys", "key-add"},
	{"POST", "tenants/ID/keys/SUB/revoke", "key-revoke"},
	{"GET", "operators", "operators"},
	{"PUT", "operators", "operators-put"},
	{"POST", "operators/keys", "operators-key-add"},
	{"POST", "operators/keys/SUB/revoke", "operators-key-revoke"},
	{"PUT", "teams/ID", "team-put"},
	{"POST", "teams/ID/remove", "team-remove"},
	{"GET", "pools", "pools"},
	{"GET", "pools/ID", "pool"},
	{"PUT", "pools/ID", "pool-put"},
	{"POST", "pools/ID/remove", "pool-remove"},
}

// matchPath reports whether a path is of a form, and reads what it names.
func matchPath(parts []string, pattern string) (id, sub string, ok bool) {
	ok = slices.EqualFunc(parts, strings.Split(pattern, "/"), func(part, want string) bool {
		switch want {
		case "ID":
			id = part
			return part != ""
		case "SUB":
			sub = part
			return part != ""
		}
		return part == want
	})
	return id, sub, ok
}

// IsHostedPath reports whether a path is of a hosted service only.
func IsHostedPath(path string) bool {
	first, rest, _ := strings.Cut(strings.TrimPrefix(path, Prefix), "/")
	return slices.Contains([]string{"tenants", "operators", "audit", "pools"}, first) || first == "teams" && rest != ""
}

// hostedCommand is what a request of a hosted service asks of the owner, or the status that
// refuses it.
func hostedCommand(ask message.AdminRequest, parts []string, method string) (message.Command, int) {
	status := 404
	for _, r := range hostedRoutes {
		id, sub, ok := matchPath(parts, r.path)
		if !ok {
			continue
		}
		if r.method == method {
			ask.What, ask.ID, ask.Sub = r.what, id, sub
			return ask, 0
		}
		status = 405
	}
	return nil, status
}
