// Package peer encodes the messages between controllers with encoding/gob in HTTP bodies. Gob transmits the
// field names, so they must not change: controllers of different versions run together during an upgrade.
package peer

import (
	"basaltwall/api"
	"basaltwall/internal/exactjson"

	"bytes"
	"encoding/gob"
	"fmt"

	"basaltwall/controller/message"
	"basaltwall/controller/tenancy"
	"basaltwall/httpx"
)

// Path is the HTTP path for messages between controllers.
const Path = "/peer/v1"

// Encode encodes a message.PeerMessage or a message.PeerReply.
func Encode(v any) ([]byte, error) {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		return nil, fmt.Errorf("peer message: %w", err)
	}
	return b.Bytes(), nil
}

// ParseMessage decodes a message from another controller.
func ParseMessage(body []byte) (message.PeerMessage, error) {
	var m message.PeerMessage
	if err := gob.NewDecoder(bytes.NewReader(body)).Decode(&m); err != nil {
		return m, fmt.Errorf("peer message: %w", err)
	}
	return m, nil
}

// Request returns the HTTP request for a call.
func Request(c message.PeerCall) (method, target string, body []byte, err error) {
	body, err = Encode(c.Message)
	return api.MethodPost, Path, body, err
}

// Encoder encodes calls. It encodes gossip for several controllers only once: consecutive calls with the
// same *message.Gossip share a body. The zero value is ready to use. An Encoder is not safe for concurrent
// use.
type Encoder struct {
	lastGossip *message.Gossip
	lastBody   []byte
}

// Request returns the HTTP request for a call. The body must not be changed.
func (e *Encoder) Request(c message.PeerCall) (method, target string, body []byte, err error) {
	if c.Message.Gossip == nil {
		return Request(c)
	}
	if c.Message.Gossip != e.lastGossip {
		if e.lastBody, err = Encode(c.Message); err != nil {
			e.lastGossip = nil
			return "", "", nil, err
		}
		e.lastGossip = c.Message.Gossip
	}
	return api.MethodPost, Path, e.lastBody, nil
}

// ParseReply returns the command for the outcome of a call. Its OK is false if callErr is not nil, the
// status is not 200, or the body is malformed.
func ParseReply(c message.PeerCall, r httpx.Response, callErr error) message.PeerResponse {
	response := message.PeerResponse{ID: c.ID}
	if callErr != nil || r.Status != api.StatusOK {
		return response
	}
	if err := gob.NewDecoder(bytes.NewReader(r.Body)).Decode(&response.Reply); err != nil {
		return response
	}
	response.OK = true
	return response
}

// Command returns the command for a message received as request req, or nil if the message is malformed or
// its kind is unknown to this version. Heartbeats are decoded by parseHeartbeat.
func Command(m message.PeerMessage, req message.ReqID, parseHeartbeat func([]byte) message.Command) message.Command {
	switch {
	case m.Gossip != nil:
		return message.PeerGossip{Req: req, Gossip: m.Gossip}
	case m.ReadLog != nil:
		return message.ReadLog{Req: req, Request: m.ReadLog}
	case m.Forward != nil:
		return forwardedCommand(m.Forward, req, parseHeartbeat)
	}
	return nil
}

// forwardedCommand returns the command for a request that another controller forwarded, or nil if the
// request is malformed or of an unknown kind.
func forwardedCommand(f *message.Forward, req message.ReqID, parseHeartbeat func([]byte) message.Command) message.Command {
	switch f.Kind {
	case message.ForwardSubmit:
		return message.Submit{Req: req, Body: f.Body, Forwarded: true}
	case message.ForwardPoll:
		return message.Poll{Req: req, Ref: f.Ref, Forwarded: true}
	case message.ForwardCancel:
		return message.Cancel{Req: req, Ref: f.Ref, Forwarded: true}
	case message.ForwardHeartbeat:
		return parseHeartbeat(f.Body)
	case message.ForwardSkips:
		var request message.AdminRequest
		if exactjson.Decode(f.Body, &request) != nil {
			return nil
		}
		request.Req, request.Forwarded = req, true
		return request
	case tenancy.ForwardKind:
		return tenancy.DecodeForward(f.Body, req)
	}
	return nil
}
