package tenancy

import (
	"bytes"
	"encoding/gob"
	"net/netip"
	"testing"

	"basaltwall/controller/message"
	"basaltwall/internal/golden"
)

// oldHostedForward has the field names of hostedForward in messages of earlier versions
// (encoding/gob); see the golden test of package peer.
type oldHostedForward struct {
	Kind, Ref string
	Body      []byte
	Caller    struct {
		Auth      string
		From      netip.Addr
		Forwarded string
	}
}

// Requests that earlier versions forwarded can be decoded, and the other way round.
func TestGoldenHostedForward(t *testing.T) {
	f := golden.Open(t)
	golden.Gob[hostedForward, oldHostedForward](f, "forward", golden.Filled[hostedForward](t))
	caller := message.Caller{Auth: "Bearer x", From: netip.MustParseAddr("2001:db8::7"), Forwarded: "192.0.2.7"}
	for _, x := range []struct {
		kind string
		want message.Command
	}{
		{"submit", message.Submit{Req: 3, Body: []byte("{}"), Forwarded: true, Caller: caller}},
		{"poll", message.Poll{Req: 3, Ref: "run-1", Forwarded: true, Caller: caller}},
		{"cancel", message.Cancel{Req: 3, Ref: "run-1", Forwarded: true, Caller: caller}},
	} {
		data := golden.Gob[hostedForward, oldHostedForward](f, x.kind, hostedForward{Kind: x.kind, Ref: "run-1", Body: []byte("{}"), Caller: caller})
		golden.Same(t, x.kind, DecodeForward(data, 3), x.want)
		w, err := encodeHostedForward(hostedForward{Kind: x.kind, Ref: "run-1", Body: []byte("{}"), Caller: caller})
		if err != nil || w.Kind != "hosted" {
			t.Errorf("%s: %v, kind %q", x.kind, err, w.Kind)
		}
		var old oldHostedForward
		if err := gob.NewDecoder(bytes.NewReader(w.Body)).Decode(&old); err != nil {
			t.Errorf("%s: %v", x.kind, err)
		}
		golden.Same(t, x.kind+" decoded by the old type", old, hostedForward{x.kind, "run-1", []byte("{}"), caller})
	}
}
