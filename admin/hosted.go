package admin

// This file holds the paths that only a hosted service has.

import (
	"net/http"
	"slices"
	"strings"

	"basaltwall/controller/message"
	"basaltwall/httpx"
)

// Placeholders in the path of a route.
const (
	placeholderID  = "ID"  // what is asked about
	placeholderSub = "SUB" // the name of one of its keys
)

// hostedRoutes are the requests that only a hosted service answers.
var hostedRoutes = []struct {
	method, path string
	operation    message.AdminOperation
}{
	{http.MethodGet, "audit", message.AdminAudit},
	{http.MethodGet, "tenants", message.AdminTenants},
	{http.MethodGet, "tenants/ID", message.AdminTenant},
	{http.MethodPut, "tenants/ID", message.AdminPutTenant},
	{http.MethodGet, "tenants/ID/usage", message.AdminUsage},
	{http.MethodPost, "tenants/ID/suspend", message.AdminSuspendTenant},
	{http.MethodPost, "tenants/ID/resume", message.AdminResumeTenant},
	{http.MethodPost, "tenants/ID/remove", message.AdminRemoveTenant},
	{http.MethodPost, "tenants/ID/keys", message.AdminAddKey},
	{http.MethodPost, "tenants/ID/keys/SUB/revoke", message.AdminRevokeKey},
	{http.MethodGet, "operators", message.AdminOperators},
	{http.MethodPut, "operators", message.AdminPutOperators},
	{http.MethodPost, "operators/keys", message.AdminAddOperatorKey},
	{http.MethodPost, "operators/keys/SUB/revoke", message.AdminRevokeOperatorKey},
	{http.MethodPut, "teams/ID", message.AdminPutTeam},
	{http.MethodPost, "teams/ID/remove", message.AdminRemoveTeam},
	{http.MethodGet, "pools", message.AdminPools},
	{http.MethodGet, "pools/ID", message.AdminPool},
	{http.MethodPut, "pools/ID", message.AdminPutPool},
	{http.MethodPost, "pools/ID/remove", message.AdminRemovePool},
}

// matchPath reports whether a path matches a route's, and returns what stands at its placeholders.
func matchPath(parts []string, pattern string) (id, sub string, ok bool) {
	ok = slices.EqualFunc(parts, strings.Split(pattern, "/"), func(part, want string) bool {
		switch want {
		case placeholderID:
			id = part
			return part != ""
		case placeholderSub:
			sub = part
			return part != ""
		}
		return part == want
	})
	return id, sub, ok
}

// hostedCollections are the first words of paths that only a hosted service has.
var hostedCollections = []message.AdminOperation{message.AdminTenants, message.AdminOperators, message.AdminAudit, message.AdminPools}

// IsHostedPath reports whether only a hosted service has a path. The list of teams any service has.
func IsHostedPath(path string) bool {
	first, rest, _ := strings.Cut(strings.TrimPrefix(path, Prefix), "/")
	collection := message.AdminOperation(first)
	return slices.Contains(hostedCollections, collection) || collection == message.AdminTeams && rest != ""
}

// hostedCommand returns the command of a request that only a hosted service answers, or nil and the
// HTTP status that refuses it.
func hostedCommand(request message.AdminRequest, parts []string, r httpx.Request) (message.Command, int) {
	if request.What == message.AdminAudit {
		var ok bool
		if request.After, request.Limit, ok = ParsePage(r); !ok {
			return nil, http.StatusBadRequest
		}
	}
	status := http.StatusNotFound
	for _, route := range hostedRoutes {
		id, sub, ok := matchPath(parts, route.path)
		if !ok {
			continue
		}
		if route.method == r.Method {
			request.What, request.ID, request.Sub = route.operation, id, sub
			return request, 0
		}
		status = http.StatusMethodNotAllowed
	}
	return nil, status
}
