// Package message holds what a controller is told and what it wants done: commands (requests from
// outside and answers to its calls), effects (replies and calls), and the messages that controllers send
// each other. It holds no state. PeerMessage and PeerReply are sent as encoding/gob, and AdminRequest
// within a Forward as JSON, by the names of their fields: these names are the wire.
package message

// This file holds the commands that come as requests from outside.

import (
	"net/netip"
	"strings"

	"basaltwall/api"
	"basaltwall/tenant"
)

// ReqID names a request from outside that waits for a Reply.
type ReqID uint64

// Command is something the controller is told: a request from outside, the answer to a Call, or
// ResourceUsage.
type Command any

// Requests from users, workers, operators and other controllers.
type (
	// Submit is a user's submission.
	Submit struct {
		Req       ReqID
		Body      []byte
		Forwarded bool   // by another controller
		Caller    Caller // looked at by a hosted service only
	}
	// Poll asks for a job's state.
	Poll struct {
		Req       ReqID
		Ref       string
		Forwarded bool
		Caller    Caller
	}
	// Cancel asks for a job's end.
	Cancel struct {
		Req       ReqID
		Ref       string
		Forwarded bool
		Caller    Caller
	}
	// ReadinessProbe is the load balancer's probe.
	ReadinessProbe struct{ Req ReqID }
	// WorkerHeartbeat is a worker's heartbeat.
	WorkerHeartbeat struct {
		Req       ReqID
		Heartbeat *api.Heartbeat
		Body      []byte // as it came, for passing on
		Forwarded bool
	}
	// AdminRequest is an operator's question or order; What says which.
	AdminRequest struct {
		Req   ReqID
		What  AdminOperation
		ID    string
		Team  string // jobs: only this team's
		Limit int    // jobs: so many at most
		Body  []byte

		Sub    string // of ID, the name of a key
		After  string // audit: what comes after
		Caller Caller
		Random *[tenant.RandomBytes]byte // set if What.AddsKey

		Forwarded bool // by a peer, which has looked at the key

		KeyID tenant.KeyID `json:"-"` // never forwarded: the operators' key that came with it
	}
	// ListHistory asks for a page of the tenant's finished jobs.
	ListHistory struct {
		Req    ReqID
		After  string
		Limit  int
		Caller Caller
	}
	// TenantQuery asks for a tenant's own: a page of its jobs that are not over, or its usage.
	TenantQuery struct {
		Req    ReqID
		What   string // "jobs" or "usage"
		After  string
		Limit  int
		Caller Caller
	}
	// MalformedMessage is a message of another controller that can't be decoded.
	MalformedMessage struct {
		Req  ReqID
		From string
	}
	// PeerGossip is another controller's gossip.
	PeerGossip struct {
		Req    ReqID
		Gossip *Gossip
	}
	// ReadLog is another controller's request for what follows a revision of the log.
	ReadLog struct {
		Req     ReqID
		Request *ReadLogRequest
	}
)

// Caller is who sends a request, as far as the connection and the request say.
type Caller struct {
	Auth      string // the Authorization header
	From      netip.Addr
	Forwarded string // the X-Forwarded-For header
}

// BearerSecret reads a caller's key; the error is a *tenant.Error with status 401 if there is none.
func (c Caller) BearerSecret() (tenant.Secret, error) {
	text, ok := strings.CutPrefix(c.Auth, "Bearer ")
	if !ok {
		return tenant.Secret{}, &tenant.Error{Status: 401, Reason: "Authorization: a key is needed, as Bearer"}
	}
	return tenant.ParseSecret(strings.TrimSpace(text))
}
