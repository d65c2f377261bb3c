package admin

import (
	"slices"
	"strings"

	"basaltwall/controller/message"
)

// hostedRoutes are the requests of a hosted service alone. In a path ID stands for what is asked
// about, and SUB for the name of one of its keys.
var hostedRoutes = []struct {
	method, path string
	what         message.AdminOperation
}{
	{"GET", "audit", message.AdminAudit},
	{"GET", "tenants", message.AdminTenants},
	{"GET", "tenants/ID", message.AdminTenant},
	{"PUT", "tenants/ID", message.AdminPutTenant},
	{"GET", "tenants/ID/usage", message.AdminUsage},
	{"POST", "tenants/ID/suspend", message.AdminSuspendTenant},
	{"POST", "tenants/ID/resume", message.AdminResumeTenant},
	{"POST", "tenants/ID/remove", message.AdminRemoveTenant},
	{"POST", "tenants/ID/keys", message.AdminAddKey},
	{"POST", "tenants/ID/keys/SUB/revoke", message.AdminRevokeKey},
	{"GET", "operators", message.AdminOperators},
	{"PUT", "operators", message.AdminPutOperators},
	{"POST", "operators/keys", message.AdminAddOperatorKey},
	{"POST", "operators/keys/SUB/revoke", message.AdminRevokeOperatorKey},
	{"PUT", "teams/ID", message.AdminPutTeam},
	{"POST", "teams/ID/remove", message.AdminRemoveTeam},
	{"GET", "pools", message.AdminPools},
	{"GET", "pools/ID", message.AdminPool},
	{"PUT", "pools/ID", message.AdminPutPool},
	{"POST", "pools/ID/remove", message.AdminRemovePool},
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
