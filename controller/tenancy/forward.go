package tenancy

// This file forwards tenants' requests to other controllers, which authenticate them again.

import (
	"bytes"
	"encoding/gob"

	"basaltwall/controller/message"
)

// ForwardKind is the kind of a message.Forward with a request to a hosted service.
const ForwardKind = "hosted"

// Kinds of forwarded requests on the wire.
const (
	forwardSubmit = "submit"
	forwardPoll   = "poll"
	forwardCancel = "cancel"
)

// hostedForward is a request that is forwarded to a peer. The names of the type and its fields are
// on the wire (encoding/gob) and must not change.
type hostedForward struct {
	Kind, Ref string
	Body      []byte
	Caller    message.Caller
}

func encodeHostedForward(f hostedForward) (message.Forward, error) {
	var buf bytes.Buffer
	err := gob.NewEncoder(&buf).Encode(f)
	return message.Forward{Kind: ForwardKind, Body: buf.Bytes()}, err
}

// DecodeForward decodes the request in a message.Forward of kind ForwardKind. It returns nil if the
// request is invalid.
func DecodeForward(body []byte, req message.ReqID) message.Command {
	var f hostedForward
	if gob.NewDecoder(bytes.NewReader(body)).Decode(&f) != nil {
		return nil
	}
	switch f.Kind {
	case forwardSubmit:
		return message.Submit{Req: req, Body: f.Body, Forwarded: true, Caller: f.Caller}
	case forwardPoll:
		return message.Poll{Req: req, Ref: f.Ref, Forwarded: true, Caller: f.Caller}
	case forwardCancel:
		return message.Cancel{Req: req, Ref: f.Ref, Forwarded: true, Caller: f.Caller}
	}
	return nil
}

// forwardHosted forwards a request; forwarded reports whether it was already forwarded once.
func (ts *Service) forwardHosted(req message.ReqID, f hostedForward, forwarded bool) {
	wrapped, err := encodeHostedForward(f)
	if err != nil {
		ts.core.ReplyError(req, 503, "request could not be forwarded")
		return
	}
	ts.deps.Jobs.Forward(req, wrapped, forwarded)
}
