// This file holds the messages between controllers and the key-value store: pages of keys, transactions,
// changes and leases.

package api

import "encoding/json"

// Paths of the key-value store's protocol.
const (
	PathKeys        = "/keys"
	PathTxn         = "/multi"
	PathLeases      = "/leases"
	PathChanges     = "/changes"
	PathSuffixRenew = "extend"
)

// KeyValue is a key with its value and its version, which is the revision of its latest change.
type KeyValue struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"data"`
	Version Revision        `json:"ritocco"`
}

// KeyPage is a page of keys at a revision.
type KeyPage struct {
	Pairs    []KeyValue `json:"pairs"`
	More     bool       `json:"more"`
	Revision Revision   `json:"registro"`
}

// Condition is a compare-and-swap condition on the version of a key. Version 0 requires that the key does
// not exist.
type Condition struct {
	Key     string   `json:"k"`
	Version Revision `json:"ritocco"`
}

// Write is a put, or a delete of key Drop if that is set.
type Write struct {
	Put   string          `json:"write,omitempty"`
	Value json.RawMessage `json:"data,omitempty"`
	Lease LeaseID         `json:"affitto,omitempty"`
	Drop  string          `json:"drop,omitempty"`
}

// Txn is a transaction: all its writes are applied if every condition holds, else none.
type Txn struct {
	If     []Condition `json:"if"`
	Writes []Write     `json:"writes"`
}

// MaxTxnBytes is the state service's limit on the size of the request of a Txn.
const MaxTxnBytes = 64 << 10

// TxnResponse is the result of a Txn: the keys whose conditions failed, and the revision.
type TxnResponse struct {
	Failed   []string `json:"failed,omitempty"`
	Revision Revision `json:"registro"`
}

// Change is a put, or a delete of key Drop if that is set, in the change log.
type Change struct {
	Put     string          `json:"write,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	Drop    string          `json:"drop,omitempty"`
	Version Revision        `json:"ritocco"`
}

// Changes is the response to a watch: the changes after the requested revision, up to Revision.
type Changes struct {
	Revision Revision `json:"registro"`
	Log      []Change `json:"log"`
}

// LeaseRequest requests a lease with a time to live.
type LeaseRequest struct {
	TTL int64 `json:"life_ms"` // milliseconds
}

// LeaseResponse contains the id of the granted lease.
type LeaseResponse struct {
	Lease LeaseID `json:"affitto"`
}
