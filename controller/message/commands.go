// Package message defines the input and output of a controller: commands (requests from outside and
// responses to its calls), effects (replies and calls), and the messages that controllers send each
// other. PeerMessage and PeerReply are sent as encoding/gob, and an AdminRequest in a Forward as JSON:
// the names of their fields are part of the protocol and must not change.
package message

// This file holds the commands that are requests from outside.

import (
	"net/netip"
	"strings"

	"basaltwall/api"
	"basaltwall/tenant"
)

// ReqID identifies a request from outside that waits for a Reply.
type ReqID uint64

// Command is an input of the controller: a request from outside, the response to a call, or
// ResourceUsage.
type Command any

// Requests from users, workers, operators and other controllers.
type (
	// Submit submits a job.
	Submit struct {
		Req       ReqID
		Body      []byte
		Forwarded bool   // by another controller
		Caller    Caller // checked only by a hosted service
	}
	// Poll requests a job's state.
	Poll struct {
		Req       ReqID
		Ref       string
		Forwarded bool
		Caller    Caller
	}
	// Cancel requests the cancellation of a job.
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
		Body      []byte // the encoded heartbeat, for forwarding
		Forwarded bool
	}
	// AdminRequest is an operator's request for the operation What.
	AdminRequest struct {
		Req   ReqID
		What  AdminOperation
		ID    string // name of the object of the operation, such as a machine, job, tenant, pool or depot
		Team  string // for AdminJobs: only jobs of this team
		Limit int    // maximum number of entries of a page
		Body  []byte

		Sub    string // within ID: the name of a key or, for AdminChangeSkip, the kind of change
		After  string // the entry after which a page begins
		Caller Caller
		Random *[tenant.KeyRandomBytes]byte // set if What.AddsKey

		Forwarded bool // by a peer, which has checked the key

		KeyID tenant.KeyID `json:"-"` // the operators' key of the request; never forwarded
	}
	// ListHistory requests a page of the tenant's finished jobs.
	ListHistory struct {
		Req    ReqID
		After  string
		Limit  int
		Caller Caller
	}
	// TenantQuery requests a page of the tenant's unfinished jobs, or its usage.
	TenantQuery struct {
		Req    ReqID
		What   string // "jobs" or "usage"
		After  string
		Limit  int
		Caller Caller
	}
	// MalformedMessage is a message from another controller that can't be decoded.
	MalformedMessage struct {
		Req  ReqID
		From string
	}
	// PeerGossip is another controller's gossip.
	PeerGossip struct {
		Req    ReqID
		Gossip *Gossip
	}
	// ReadLog is another controller's request for the log after a revision.
	ReadLog struct {
		Req     ReqID
		Request *ReadLogRequest
	}
)

// Caller is the sender of a request, as given by the connection and the request's headers.
type Caller struct {
	Auth      string // the Authorization header
	From      netip.Addr
	Forwarded string // the X-Forwarded-For header
}

// BearerSecret parses the caller's key from the Authorization header. Without a bearer token the
// error is a *tenant.Error with status 401.
func (c Caller) BearerSecret() (tenant.Secret, error) {
	text, ok := strings.CutPrefix(c.Auth, "Bearer ")
	if !ok {
		return tenant.Secret{}, &tenant.Error{Status: 401, Reason: "Authorization: a key is required as bearer token"}
	}
	return tenant.ParseSecret(strings.TrimSpace(text))
}
