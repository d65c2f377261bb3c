package emulator

import (
	"strings"

	"basaltwall/api"
	"basaltwall/internal/exactjson"
	"basaltwall/peer"
)

// This file classifies messages and requests for the traffic counts.

// peerMessageKind returns the kind of a message between controllers. The kinds are keys of the traffic counts.
func peerMessageKind(body []byte) string {
	m, err := peer.ParseMessage(body)
	switch {
	case err != nil:
		return "garbled"
	case m.Gossip != nil:
		return "news"
	case m.Forward != nil:
		return "forward " + m.Forward.Kind
	case m.ReadLog != nil:
		return "read log"
	}
	return "other"
}

// storeRequestKind returns the kind of a request to the key-value store. The kind of a transaction depends on the
// first key that it writes.
func storeRequestKind(method, target string, body []byte) string {
	path, query, _ := strings.Cut(target, "?")
	switch {
	case method == "POST" && path == api.PathTxn:
		var t api.Txn
		if exactjson.Decode(body, &t) != nil || len(t.Writes) == 0 {
			return "compare"
		}
		key := strings.TrimPrefix(t.Writes[0].Put+t.Writes[0].Drop, "b/")
		kind, _, _ := strings.Cut(key, "/")
		return "write " + kind
	case strings.HasPrefix(path, api.PathLeases):
		return "lease"
	case path == api.PathChanges && strings.Contains(query, "wait_ms=") && !strings.Contains(query, "wait_ms=0"):
		return "watch"
	case path == api.PathChanges:
		return "read changes"
	case path == api.PathKeys:
		return "read page"
	}
	return "read key"
}
