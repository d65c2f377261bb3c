// Package state owns the messages to and from the key-value store: it turns the
// owner's calls into requests and responses into answers.
package state

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"

	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/httpx"
)

// watchedPrefix is the prefix that controllers follow.
const watchedPrefix = "b/"

// Request is the HTTP request for a call.
func Request(c message.StoreCall) (method, target string, body []byte, err error) {
	switch {
	case c.Txn != nil:
		t := *c.Txn
		if t.If == nil {
			t.If = []api.Condition{}
		}
		if t.Writes == nil {
			t.Writes = []api.Write{}
		}
		body, err = json.Marshal(t)
		return "POST", api.PathTxn, body, err
	case c.Changes != nil:
		q := url.Values{"under": {watchedPrefix}, "since": {strconv.FormatUint(uint64(c.Changes.Since), 10)},
			"wait_ms": {strconv.FormatInt(c.Changes.Wait.Milliseconds(), 10)}}
		if c.Changes.Prefix != "" {
			q.Set("under", c.Changes.Prefix)
		}
		return "GET", api.PathChanges + "?" + query(q), nil, nil
	case c.Page != nil:
		q := url.Values{"under": {watchedPrefix}, "limit": {"500"}}
		if c.Page.Prefix != "" {
			q.Set("under", c.Page.Prefix)
		}
		if c.Page.Limit > 0 {
			q.Set("limit", strconv.Itoa(min(500, c.Page.Limit)))
		}
		if c.Page.After != "" {
			q.Set("since", c.Page.After)
		}
		return "GET", api.PathKeys + "?" + query(q), nil, nil
	case c.Get != "":
		return "GET", api.PathKeys + "/" + c.Get, nil, nil
	case c.GrantLease > 0:
		body, err = json.Marshal(api.LeaseRequest{TTL: c.GrantLease.Milliseconds()})
		return "POST", api.PathLeases, body, err
	case c.RenewLease != 0:
		return "POST", fmt.Sprintf("%s/%d/%s", api.PathLeases, c.RenewLease, api.PathSuffixRenew), nil, nil
	}
	return "", "", nil, fmt.Errorf("state call %d asks for nothing", c.ID)
}

// query encodes parameters with slashes as they are.
func query(v url.Values) string {
	s, err := url.PathUnescape(v.Encode())
	if err != nil {
		return v.Encode()
	}
	return s
}

// ParseResponse is the owner's answer for a response; a failed exchange or a body
// that makes no sense is no answer.
func ParseResponse(c message.StoreCall, r httpx.Response, callErr error) message.StoreResponse {
	a := message.StoreResponse{ID: c.ID}
	if callErr != nil {
		return a
	}
	a.Status = r.Status
	var target any
	switch {
	case c.Txn != nil && (r.Status == 200 || r.Status == 409):
		target = &a.Txn
	case r.Status != 200:
		return a
	case c.Changes != nil:
		target = &a.Changes
	case c.Page != nil:
		target = &a.Page
	case c.Get != "":
		target = &a.Pair
	case c.GrantLease > 0:
		var l api.LeaseResponse
		if json.Unmarshal(r.Body, &l) != nil || l.Lease == 0 {
			a.Status = 0
		}
		a.Lease = l.Lease
		return a
	default:
		return a
	}
	if json.Unmarshal(r.Body, target) != nil {
		a.Status = 0
	}
	return a
}
