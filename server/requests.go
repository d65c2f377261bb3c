package server

// This file converts incoming requests to commands for the controller.

import (
	"crypto/rand"
	"strings"

	"basaltwall/admin"
	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/httpx"
	"basaltwall/peer"
	"basaltwall/tenant"
	"basaltwall/worker"
)

// Values of message.TenantQuery.What.
const (
	tenantJobs  = "jobs"
	tenantUsage = "usage"
)

// overloadedRetryAfter is the Retry-After value, in seconds, for requests refused because the queue is full.
const overloadedRetryAfter = 2

// refusalReasons holds the error texts of requests that the router refuses, by HTTP status.
var refusalReasons = map[int]string{
	api.StatusBadRequest:         "malformed",
	api.StatusNotFound:           "no such path",
	api.StatusMethodNotAllowed:   "wrong method",
	api.StatusServiceUnavailable: "no random bytes",
}

// handleRequest converts a request to a command and queues it, or refuses the request. It runs on the
// event loop of the HTTP server and must not block.
func (s *Server) handleRequest(conn httpx.ConnID, listener int, r httpx.Request) {
	id := s.addPendingRequest(requestOrigin{conn: conn, listener: listener})
	if listener == listenPeer {
		s.enqueue(id, peerCommand(id, r))
		return
	}
	command, status := s.route(id, r)
	if command == nil {
		s.refuse(id, status, refusalReasons[status], 0)
		return
	}
	s.enqueue(id, command)
}

// enqueue queues a command for the controller, or refuses the request if the queue is full.
func (s *Server) enqueue(id message.ReqID, command message.Command) {
	queue := s.commands
	if _, ok := command.(message.WorkerHeartbeat); ok {
		queue = s.heartbeats
	}
	select {
	case queue <- command:
	default:
		s.refuse(id, api.StatusServiceUnavailable, "overloaded", overloadedRetryAfter)
	}
}

// refuse answers a request with an error; retryAfter is in seconds, 0 for none.
func (s *Server) refuse(id message.ReqID, status int, reason string, retryAfter int) {
	s.reply(message.Reply{Req: id, Status: status, Body: []byte(`{"error":"` + reason + `"}`), RetryAfter: retryAfter})
}

// peerCommand returns the command for a message from another controller.
func peerCommand(id message.ReqID, r httpx.Request) message.Command {
	if m, err := peer.ParseMessage(r.Body); err == nil {
		command := peer.Command(m, id, func(body []byte) message.Command { return heartbeatCommand(id, body, true) })
		if command != nil {
			return command
		}
	}
	return message.MalformedMessage{Req: id, From: r.RemoteAddr.String()}
}

// heartbeatCommand returns the command for a worker's heartbeat, or nil if it is malformed.
func heartbeatCommand(id message.ReqID, body []byte, forwarded bool) message.Command {
	heartbeat, err := worker.ParseHeartbeat(body)
	if err != nil {
		return nil
	}
	return message.WorkerHeartbeat{Req: id, Heartbeat: heartbeat, Body: body, Forwarded: forwarded}
}

// route returns the command for a request from a user, a worker, an operator or the load balancer. For a
// refused request it returns nil and the HTTP status of the refusal.
func (s *Server) route(id message.ReqID, r httpx.Request) (message.Command, int) {
	var caller message.Caller
	if s.config.Hosted != nil {
		caller = message.Caller{Auth: r.Auth, From: r.RemoteAddr, Forwarded: r.ForwardedFor}
		if command, status, ok := routeTenant(id, r, caller); ok {
			return command, status
		}
	}
	switch r.Path {
	case api.PathReady:
		return requireMethod(r, api.MethodGet, message.ReadinessProbe{Req: id})
	case api.PathHeartbeat:
		return requireMethod(r, api.MethodPost, heartbeatCommand(id, r.Body, false))
	case api.PathJobs:
		return requireMethod(r, api.MethodPost, message.Submit{Req: id, Body: r.Body, Caller: caller})
	}
	if strings.HasPrefix(r.Path, admin.Prefix) {
		return s.routeAdmin(id, r, caller)
	}
	return routeJob(id, r, caller)
}

// requireMethod returns the command if the request uses the given method, else nil and the HTTP status of
// the refusal. A nil command means that the request is malformed.
func requireMethod(r httpx.Request, method string, command message.Command) (message.Command, int) {
	if r.Method != method {
		return nil, api.StatusMethodNotAllowed
	}
	if command == nil {
		return nil, api.StatusBadRequest
	}
	return command, 0
}

// routeTenant returns the command for a request that only tenants of a hosted service may send. For a
// refused request it returns nil and the HTTP status of the refusal. It reports false for requests that
// are not specific to tenants.
func routeTenant(id message.ReqID, r httpx.Request, caller message.Caller) (command message.Command, status int, ok bool) {
	switch {
	case r.Path == api.PathJobs && r.Method == api.MethodGet:
		command, status = tenantQuery(id, tenantJobs, r, caller)
	case r.Path == api.PathUsage && r.Method != api.MethodGet:
		status = api.StatusMethodNotAllowed
	case r.Path == api.PathUsage:
		command, status = tenantQuery(id, tenantUsage, r, caller)
	case r.Path == api.PathHistory:
		after, limit, valid := admin.ParsePage(r)
		if !valid {
			return nil, api.StatusBadRequest, true
		}
		command, status = requireMethod(r, api.MethodGet, message.ListHistory{Req: id, After: after, Limit: limit, Caller: caller})
	default:
		return nil, 0, false
	}
	return command, status, true
}

// tenantQuery returns the command that queries a tenant's unfinished jobs or its usage.
func tenantQuery(id message.ReqID, what string, r httpx.Request, caller message.Caller) (message.Command, int) {
	after, limit, ok := admin.ParsePage(r)
	if !ok {
		return nil, api.StatusBadRequest
	}
	return message.TenantQuery{Req: id, What: what, After: after, Limit: limit, Caller: caller}, 0
}

// routeJob returns the command for a request about one job.
func routeJob(id message.ReqID, r httpx.Request, caller message.Caller) (message.Command, int) {
	rest, ok := strings.CutPrefix(r.Path, api.PathJobs+"/")
	if !ok || rest == "" {
		return nil, api.StatusNotFound
	}
	jobID, action, hasAction := strings.Cut(rest, "/")
	switch {
	case !hasAction:
		return requireMethod(r, api.MethodGet, message.Poll{Req: id, Ref: jobID, Caller: caller})
	case action == api.PathSuffixCancel:
		return requireMethod(r, api.MethodPost, message.Cancel{Req: id, Ref: jobID, Caller: caller})
	}
	return nil, api.StatusNotFound
}

// routeAdmin returns the command for an operator's request. It adds random bytes to a request for a new
// key, because the controller is deterministic and does not read a random source.
func (s *Server) routeAdmin(id message.ReqID, r httpx.Request, caller message.Caller) (message.Command, int) {
	if s.config.Hosted == nil && admin.IsHostedPath(r.Path) {
		return nil, api.StatusNotFound
	}
	command, status := admin.Command(id, r)
	request, ok := command.(message.AdminRequest)
	if !ok {
		return command, status
	}
	request.Caller = caller
	if request.What.AddsKey() {
		request.Random = new([tenant.KeyRandomBytes]byte)
		if _, err := rand.Read(request.Random[:]); err != nil {
			return nil, api.StatusServiceUnavailable
		}
	}
	return request, status
}
