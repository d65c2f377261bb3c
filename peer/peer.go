// Package peer owns the messages between controllers, in encoding/gob inside
// HTTP bodies.
package peer

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"

	"basaltwall/controller/message"
	"basaltwall/controller/tenancy"
	"basaltwall/httpx"
)

// Path is where controllers listen for each other.
const Path = "/peer/v1"

// Encode writes a message or a reply.
func Encode(v any) ([]byte, error) {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		return nil, fmt.Errorf("peer message: %w", err)
	}
	return b.Bytes(), nil
}

// ParseMessage reads a message.
func ParseMessage(body []byte) (message.PeerMessage, error) {
	var m message.PeerMessage
	if err := gob.NewDecoder(bytes.NewReader(body)).Decode(&m); err != nil {
		return m, fmt.Errorf("peer message: %w", err)
	}
	return m, nil
}

// Request is the HTTP request for a call.
func Request(c message.PeerCall) (method, target string, body []byte, err error) {
	body, err = Encode(c.Message)
	return "POST", Path, body, err
}

// Encoder writes requests. News that goes to many is written once.
type Encoder struct {
	lastGossip *message.Gossip
	lastBody   []byte
}

// Request is the HTTP request for a call.
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
	return "POST", Path, e.lastBody, nil
}

// ParseReply is the owner's answer for a response.
func ParseReply(c message.PeerCall, r httpx.Response, callErr error) message.PeerResponse {
	a := message.PeerResponse{ID: c.ID}
	if callErr != nil || r.Status != 200 {
		return a
	}
	if err := gob.NewDecoder(bytes.NewReader(r.Body)).Decode(&a.Reply); err != nil {
		return a
	}
	a.OK = true
	return a
}

// Command is what a message asks of the owner, as request req.
func Command(m message.PeerMessage, req message.ReqID, parseHeartbeat func([]byte) message.Command) message.Command {
	switch {
	case m.Gossip != nil:
		return message.PeerGossip{Req: req, Gossip: m.Gossip}
	case m.ReadLog != nil:
		return message.ReadLog{Req: req, Request: m.ReadLog}
	case m.Forward != nil:
		switch f := m.Forward; f.Kind {
		case message.ForwardSubmit:
			return message.Submit{Req: req, Body: f.Body, Forwarded: true}
		case message.ForwardPoll:
			return message.Poll{Req: req, Ref: f.Ref, Forwarded: true}
		case message.ForwardCancel:
			return message.Cancel{Req: req, Ref: f.Ref, Forwarded: true}
		case message.ForwardHeartbeat:
			return parseHeartbeat(f.Body)
		case message.ForwardSkips:
			var ask message.AdminRequest
			if json.Unmarshal(f.Body, &ask) != nil {
				return nil
			}
			ask.Req, ask.Forwarded = req, true
			return ask
		case tenancy.ForwardKind:
			return tenancy.DecodeForward(f.Body, req)
		}
	}
	return nil
}
