// Package admin is the administration API: which operation of the controller each of its paths
// asks for, and the command-line subcommands that are its client. The API lies under a versioned
// prefix, apart from the paths of users and workers. The package keeps no state and decides
// nothing: what is answered and changed is the controller's business.
package admin

// This file holds the server's side: the operation that a request asks for.

import (
	"basaltwall/api"

	"net/url"
	"slices"
	"strconv"
	"strings"

	"basaltwall/controller/message"
	"basaltwall/httpx"
)

// Prefix is the path below which the API lies.
const Prefix = "/admin/v1/"

// Bounds on how many items of a list are shown: without a limit in the request, and at most.
const (
	defaultLimit = 100
	maxJobs      = 1000
	maxPage      = 500
)

// maxCursorLength bounds the cursor of a page, in bytes.
const maxCursorLength = 100

// listOperations are the operations whose path is their name and which take no parameters.
var listOperations = []message.AdminOperation{message.AdminMembers, message.AdminPartitions, message.AdminMachines, message.AdminTeams, message.AdminMetrics}

// reservationChanges are the last words of the paths that change a depot's reservations.
var reservationChanges = []string{"offer", "promise", "release", "deliver", "return", "out", "in", "import"}

// Command returns the command that a request stands for, or nil and the HTTP status that refuses it.
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
	case operation == message.AdminReservations:
		return reservationCommand(request, parts, r)
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

// reservationCommand returns the command of a request about skips: GET skips counts them, GET
// skips/DEPOT lists a depot's, POST skips/DEPOT/CHANGE changes one.
func reservationCommand(request message.AdminRequest, parts []string, r httpx.Request) (message.Command, int) {
	method := api.MethodGet
	switch {
	case len(parts) == 1:
	case len(parts) == 2 && parts[1] != "":
		var ok bool
		if request.After, request.Limit, ok = ParsePage(r); !ok {
			return nil, api.StatusBadRequest
		}
	case len(parts) == 3 && parts[1] != "" && slices.Contains(reservationChanges, parts[2]):
		request.What, request.Sub, method = message.AdminChangeReservation, parts[2], api.MethodPost
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

// parseLimit reads how many items are asked for, from 1 to maxItems.
func parseLimit(query url.Values, maxItems int) (int, bool) {
	text := query.Get("limit")
	if text == "" {
		return defaultLimit, true
	}
	n, err := strconv.Atoi(text)
	return n, err == nil && n >= 1 && n <= maxItems
}

// ParsePage reads which page of a list a request asks for: the cursor that it comes after, and how
// many items it may hold. It reports false for a malformed query.
func ParsePage(r httpx.Request) (after string, maxItems int, ok bool) {
	query, err := url.ParseQuery(r.Query)
	if err != nil {
		return "", 0, false
	}
	after = query.Get("after")
	maxItems, ok = parseLimit(query, maxPage)
	return after, maxItems, ok && isCursor(after)
}

// isCursor reports whether a text may be a cursor, which becomes part of a key of the key-value
// store: printable ASCII without spaces and slashes.
func isCursor(text string) bool {
	return len(text) <= maxCursorLength && !strings.ContainsFunc(text, func(c rune) bool { return c <= ' ' || c > '~' || c == '/' })
}
