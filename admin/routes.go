// Package admin implements the routes of the administration API and its client, the command-line
// subcommands. The API has a versioned path prefix, separate from the paths of users and workers. The
// routes only map requests to commands; the controller executes them.
package admin

// This file holds the server's side, which maps requests to commands.

import (
	"basaltwall/api"

	"net/url"
	"slices"
	"strconv"
	"strings"

	"basaltwall/controller/message"
	"basaltwall/httpx"
)

// Prefix is the path prefix of the API.
const Prefix = "/admin/v1/"

// Limits of the items in a list: the default, and the maximum for jobs and for pages.
const (
	defaultLimit = 100
	maxJobs      = 1000
	maxPage      = 500
)

// maxCursorLength is the maximum length of a page cursor, in bytes.
const maxCursorLength = 100

// listOperations are the operations without parameters. Their path is their name.
var listOperations = []message.AdminOperation{message.AdminMembers, message.AdminPartitions, message.AdminMachines, message.AdminTeams, message.AdminMetrics}

// skipChanges are the last elements of the paths that change a depot's bookings.
var skipChanges = []string{"offer", "promise", "release", "deliver", "return", "out", "in", "import"}

// Command returns the command for a request. For a refused request it returns nil and the HTTP status of the
// refusal.
func Command(id message.ReqID, r httpx.Request) (message.Command, int) {
	parts := strings.Split(strings.TrimPrefix(r.Path, Prefix), "/")
	operation := message.AdminOperation(parts[0])
	request := message.AdminRequest{Req: id, What: operation, Body: r.Body}
	method := api.MethodGet
	switch {
	case len(parts) == 1 && operation == message.AdminSettings:
		if r.Method == api.MethodPut {
			request.What, method = message.AdminChangeSettings, api.MethodPut
		}
	case len(parts) == 1 && operation == message.AdminJobs:
		query, err := url.ParseQuery(r.Query)
		if err != nil {
			return nil, api.StatusBadRequest
		}
		request.Team = query.Get("team")
		var ok bool
		if request.Limit, ok = parseLimit(query, maxJobs); !ok {
			return nil, api.StatusBadRequest
		}
	case len(parts) == 1 && slices.Contains(listOperations, operation):
	case len(parts) == 2 && operation == message.AdminJobs && parts[1] != "":
		request.What, request.ID = message.AdminJob, parts[1]
	case isDrainPath(parts):
		request.What, request.ID, method = message.AdminOperation(parts[2]), parts[1], api.MethodPost
	case operation == message.AdminSkips:
		return skipCommand(request, parts, r)
	case IsHostedPath(r.Path):
		return hostedCommand(request, parts, r)
	default:
		return nil, api.StatusNotFound
	}
	if r.Method != method {
		return nil, api.StatusMethodNotAllowed
	}
	return request, 0
}

// isDrainPath reports whether a path is machines/ID/drain or machines/ID/undrain.
func isDrainPath(parts []string) bool {
	if len(parts) != 3 || parts[0] != string(message.AdminMachines) || parts[1] == "" {
		return false
	}
	operation := message.AdminOperation(parts[2])
	return operation == message.AdminDrain || operation == message.AdminUndrain
}

// skipCommand returns the command for a request about skips: GET skips counts skips, GET skips/DEPOT
// lists a depot's skips, and POST skips/DEPOT/CHANGE changes one.
func skipCommand(request message.AdminRequest, parts []string, r httpx.Request) (message.Command, int) {
	method := api.MethodGet
	switch {
	case len(parts) == 1:
	case len(parts) == 2 && parts[1] != "":
		var ok bool
		if request.After, request.Limit, ok = ParsePage(r); !ok {
			return nil, api.StatusBadRequest
		}
	case len(parts) == 3 && parts[1] != "" && slices.Contains(skipChanges, parts[2]):
		request.What, request.Sub, method = message.AdminChangeSkip, parts[2], api.MethodPost
	default:
		return nil, api.StatusNotFound
	}
	if len(parts) > 1 {
		depot, err := url.PathUnescape(parts[1])
		if err != nil {
			return nil, api.StatusBadRequest
		}
		request.ID = depot
	}
	if r.Method != method {
		return nil, api.StatusMethodNotAllowed
	}
	return request, 0
}

// parseLimit parses the limit parameter, from 1 to maxItems. Without it the limit is defaultLimit.
func parseLimit(query url.Values, maxItems int) (int, bool) {
	text := query.Get("limit")
	if text == "" {
		return defaultLimit, true
	}
	n, err := strconv.Atoi(text)
	return n, err == nil && n >= 1 && n <= maxItems
}

// ParsePage parses the query of a request for a page of a list: the cursor after which the page starts, and
// the maximum number of items. It reports false for a malformed query.
func ParsePage(r httpx.Request) (after string, maxItems int, ok bool) {
	query, err := url.ParseQuery(r.Query)
	if err != nil {
		return "", 0, false
	}
	after = query.Get("after")
	maxItems, ok = parseLimit(query, maxPage)
	return after, maxItems, ok && isCursor(after)
}

// isCursor reports whether a text is a valid cursor: printable ASCII without spaces and slashes. A cursor
// becomes part of a key of the key-value store.
func isCursor(text string) bool {
	return len(text) <= maxCursorLength && !strings.ContainsFunc(text, func(c rune) bool { return c <= ' ' || c > '~' || c == '/' })
}
