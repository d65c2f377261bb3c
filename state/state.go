// Package state encodes the controller's calls to the key-value store as HTTP requests, and decodes the
// responses. Its functions are stateless.
package state

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/httpx"
	"basaltwall/internal/exactjson"
)

const (
	// watchedPrefix is the prefix of the keys that controllers watch.
	watchedPrefix = "b/"
	// maxPageSize is the maximum number of keys in a page.
	maxPageSize = 500
)

// ErrEmptyCall is returned for a call in which no operation is set.
var ErrEmptyCall = errors.New("no operation is set")

// Request returns the HTTP request for a call. The error wraps ErrEmptyCall if no operation is set.
func Request(c message.StoreCall) (method, target string, body []byte, err error) {
	switch {
	case c.Txn != nil:
		txn := *c.Txn
		if txn.If == nil { // encodes an empty list instead of null
			txn.If = []api.Condition{}
		}
		if txn.Writes == nil {
			txn.Writes = []api.Write{}
		}
		body, err = json.Marshal(txn)
		return api.MethodPost, api.PathTxn, body, err
	case c.Changes != nil:
		q := url.Values{"under": {watchedPrefix}, "since": {strconv.FormatUint(uint64(c.Changes.Since), 10)},
			"wait_ms": {strconv.FormatInt(c.Changes.Wait.Milliseconds(), 10)}}
		if c.Changes.Prefix != "" {
			q.Set("under", c.Changes.Prefix)
		}
		return api.MethodGet, api.PathChanges + "?" + query(q), nil, nil
	case c.Page != nil:
		q := url.Values{"under": {watchedPrefix}, "limit": {strconv.Itoa(maxPageSize)}}
		if c.Page.Prefix != "" {
			q.Set("under", c.Page.Prefix)
		}
		if c.Page.Limit > 0 {
			q.Set("limit", strconv.Itoa(min(maxPageSize, c.Page.Limit)))
		}
		if c.Page.After != "" {
			q.Set("since", c.Page.After)
		}
		return api.MethodGet, api.PathKeys + "?" + query(q), nil, nil
	case c.Get != "":
		return api.MethodGet, api.PathKeys + "/" + c.Get, nil, nil
	case c.GrantLease > 0:
		body, err = json.Marshal(api.LeaseRequest{TTL: c.GrantLease.Milliseconds()})
		return api.MethodPost, api.PathLeases, body, err
	case c.RenewLease != 0:
		return api.MethodPost, fmt.Sprintf("%s/%d/%s", api.PathLeases, c.RenewLease, api.PathSuffixRenew), nil, nil
	}
	return "", "", nil, fmt.Errorf("key-value store call %d: %w", c.ID, ErrEmptyCall)
}

// query encodes query parameters. Only the slashes in keys stay as they are.
func query(v url.Values) string {
	return strings.ReplaceAll(v.Encode(), "%2F", "/")
}

// ParseResponse returns the command for the outcome of a call. Its status is 0 if callErr is not nil or the
// body is malformed.
func ParseResponse(c message.StoreCall, r httpx.Response, callErr error) message.StoreResponse {
	response := message.StoreResponse{ID: c.ID}
	if callErr != nil {
		return response
	}
	response.Status = r.Status
	var target any
	switch {
	case c.Txn != nil && (r.Status == api.StatusOK || r.Status == api.StatusConflict):
		target = &response.Txn
	case r.Status != api.StatusOK:
		return response
	case c.Changes != nil:
		target = &response.Changes
	case c.Page != nil:
		target = &response.Page
	case c.Get != "":
		target = &response.Pair
	case c.GrantLease > 0:
		var granted api.LeaseResponse
		if exactjson.Decode(r.Body, &granted) != nil || granted.Lease == 0 {
			response.Status = 0
		}
		response.Lease = granted.Lease
		return response
	default:
		return response
	}
	if exactjson.Decode(r.Body, target) != nil {
		response.Status = 0
	}
	return response
}
