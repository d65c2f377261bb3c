package admin

// This file holds the paths that exist only in a hosted service.

import (
	"basaltwall/api"

	"slices"
	"strings"

	"basaltwall/controller/message"
	"basaltwall/httpx"
)

// Placeholders in the path of a route.
const (
	placeholderID  = "ID"  // name of the tenant, team or pool
	placeholderSub = "SUB" // name of a key
)

// hostedRoutes are the requests that only a hosted service supports.
var hostedRoutes = []struct {
	method, path string
	operation    message.AdminOperation
}{
	{api.MethodGet, "audit", message.AdminAudit},
	{api.MethodGet, "tenants", message.AdminTenants},
	{api.MethodGet, "tenants/ID", message.AdminTenant},
	{api.MethodPut, "tenants/ID", message.AdminPutTenant},
	{api.MethodGet, "tenants/ID/usage", message.AdminUsage},
	{api.MethodPost, "tenants/ID/suspend", message.AdminSuspendTenant},
	{api.MethodPost, "tenants/ID/resume", message.AdminResumeTenant},
	{api.MethodPost, "tenants/ID/remove", message.AdminRemoveTenant},
	{api.MethodPost, "tenants/ID/keys", message.AdminAddKey},
	{api.MethodPost, "tenants/ID/keys/SUB/revoke", message.AdminRevokeKey},
	{api.MethodGet, "operators", message.AdminOperators},
	{api.MethodPut, "operators", message.AdminPutOperators},
	{api.MethodPost, "operators/keys", message.AdminAddOperatorKey},
	{api.MethodPost, "operators/keys/SUB/revoke", message.AdminRevokeOperatorKey},
	{api.MethodPut, "teams/ID", message.AdminPutTeam},
	{api.MethodPost, "teams/ID/remove", message.AdminRemoveTeam},
	{api.MethodGet, "pools", message.AdminPools},
	{api.MethodGet, "pools/ID", message.AdminPool},
	{api.MethodPut, "pools/ID", message.AdminPutPool},
	{api.MethodPost, "pools/ID/remove", message.AdminRemovePool},
}

// matchPath reports whether a path matches the pattern of a route, and returns the values of the
// placeholders.
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

// hostedCollections are the first elements of the paths that exist only in a hosted service.
var hostedCollections = []message.AdminOperation{message.AdminTenants, message.AdminOperators, message.AdminAudit, message.AdminPools}

// IsHostedPath reports whether a path exists only in a hosted service. The list of teams exists in every
// service.
func IsHostedPath(path string) bool {
	first, rest, _ := strings.Cut(strings.TrimPrefix(path, Prefix), "/")
	collection := message.AdminOperation(first)
	return slices.Contains(hostedCollections, collection) || collection == message.AdminTeams && rest != ""
}

// hostedCommand returns the command for a request that only a hosted service supports. For a refused
// request it returns nil and the HTTP status of the refusal.
func hostedCommand(request message.AdminRequest, parts []string, r httpx.Request) (message.Command, int) {
	if request.What == message.AdminAudit {
		var ok bool
		if request.After, request.Limit, ok = ParsePage(r); !ok {
			return nil, api.StatusBadRequest
		}
	}
	status := api.StatusNotFound
	for _, route := range hostedRoutes {
		id, sub, ok := matchPath(parts, route.path)
		if !ok {
			continue
		}
		if route.method == r.Method {
			request.What, request.ID, request.Sub = route.operation, id, sub
			return request, 0
		}
		status = api.StatusMethodNotAllowed
	}
	return nil, status
}
