// Messages between controllers and the key-value store: pages of keys, transactions, changes and
// leases. Themed protocol names live only in the tags and constants here.

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

// KeyValue is a key with its value and version, the revision of its latest change.
type KeyValue struct {
	Key     string          `json:"k"`
	Value   json.RawMessage `json:"data"`
	Version Revision        `json:"ritocco"`
}

// KeyPage is a page of keys, as of a revision.
type KeyPage struct {
	Pairs    []KeyValue `json:"pairs"`
	More     bool       `json:"more"`
	Revision Revision   `json:"registro"`
}

// Condition is a compare-and-swap condition: it requires a key's version; 0 requires its absence.
type Condition struct {
	Key     string   `json:"k"`
	Version Revision `json:"ritocco"`
}

// Write is a put or, with Drop set, a delete.
type Write struct {
	Put   string          `json:"write,omitempty"`
	Value json.RawMessage `json:"data,omitempty"`
	Lease LeaseID         `json:"affitto,omitempty"`
	Drop  string          `json:"drop,omitempty"`
}

// Txn is a transaction: its writes are made together if every condition holds, else none is.
type Txn struct {
	If     []Condition `json:"if"`
	Writes []Write     `json:"writes"`
}

// TxnResponse is the outcome of a Txn: the keys whose condition failed, and the revision.
type TxnResponse struct {
	Failed   []string `json:"failed,omitempty"`
	Revision Revision `json:"registro"`
}

// Change is one change of a key.
type Change struct {
	Put     string          `json:"write,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	Drop    string          `json:"drop,omitempty"`
	Version Revision        `json:"ritocco"`
}

// Changes answers a watch: the changes after a revision, and the revision up to which they reach.
type Changes struct {
	Revision Revision `json:"registro"`
	Log      []Change `json:"log"`
}

// LeaseRequest requests a lease; its time to live is in milliseconds.
type LeaseRequest struct {
	TTL int64 `json:"life_ms"`
}

// LeaseResponse names the lease that was granted.
type LeaseResponse struct {
	Lease LeaseID `json:"affitto"`
}
