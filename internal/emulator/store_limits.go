package emulator

import (
	"fmt"
	"strings"

	"basaltwall/api"
	"basaltwall/internal/exactjson"
)

// This file checks requests to the key-value store against the limits of its protocol.

const (
	maxStoreKeyBytes = 200
	minLeaseMillis   = 100
	maxLeaseMillis   = 600_000
	maxWatchMillis   = 60_000
	maxPageItems     = 1000
)

// storeLimits are the limits that a deployment sets.
type storeLimits struct {
	valueBytes, txnOps int
}

// validStoreKey reports whether a key has an allowed length and contains no spaces.
func validStoreKey(key string) bool {
	return len(key) >= 1 && len(key) <= maxStoreKeyBytes && !strings.Contains(key, " ")
}

// malformedTxn decodes a transaction into t and returns the reason why the store refuses it, empty if it
// does not.
func malformedTxn(body []byte, t *api.Txn, limits storeLimits) string {
	switch {
	case len(body) > api.MaxTxnBytes:
		return "transaction too large"
	case exactjson.Decode(body, t) != nil:
		return "malformed"
	case len(t.Writes) > limits.txnOps:
		return "too many writes"
	case len(t.If) > 4*limits.txnOps:
		return "too many conditions"
	}
	for _, c := range t.If {
		if !validStoreKey(c.Key) {
			return "malformed key in a condition"
		}
	}
	for _, w := range t.Writes {
		key := w.Put
		if w.Drop != "" {
			key = w.Drop
		}
		switch {
		case w.Put != "" && w.Drop != "" || !validStoreKey(key):
			return "malformed key in a write"
		case w.Put != "" && len(w.Value) == 0:
			return "write without a value"
		case len(w.Value) > limits.valueBytes:
			return fmt.Sprintf("value of %s too large, %d bytes", key, len(w.Value))
		}
	}
	return ""
}
