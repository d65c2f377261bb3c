package tenancy

// This file passes tenants' requests on to other controllers, which ask for the key again.

import (
	"bytes"
	"encoding/gob"

	"basaltwall/controller/message"
)

// ForwardKind is the kind of a message.Forward that holds a request of a hosted service.
const ForwardKind = "hosted"

// Kinds of requests that are passed on.
const (
	forwardSubmit = "submit"
	forwardPoll   = "poll"
	forwardCancel = "cancel"
)

// hostedForward is a request as it is passed on to a peer. Its name and those of its fields are
// on the wire, by encoding/gob.
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

// DecodeForward is the request within a message.Forward of kind ForwardKind, nil if it makes no
// sense.
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

// forwardHosted passes a request on; forwarded is whether it was passed on to us already.
func (ts *Service) forwardHosted(req message.ReqID, f hostedForward, forwarded bool) {
	wrapped, err := encodeHostedForward(f)
	if err != nil {
		ts.core.ReplyError(req, 503, "not passed on")
		return
	}
	ts.siblings.Jobs.Forward(req, wrapped, forwarded)
}
