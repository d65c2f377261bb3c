// Package state owns the messages to and from the state service: it turns the
// owner's calls into requests and responses into answers.
package state

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"

	"basaltwall/api"
	"basaltwall/control"
	"basaltwall/httpx"
)

// root is the prefix that controllers follow.
const root = "b/"

// Request is the HTTP request for a call.
func Request(c control.StateCall) (method, target string, body []byte, err error) {
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
		return "POST", api.PathMulti, body, err
	case c.Changes != nil:
		q := url.Values{"under": {root}, "since": {strconv.FormatUint(uint64(c.Changes.Since), 10)},
			"wait_ms": {strconv.FormatInt(c.Changes.Wait.Milliseconds(), 10)}}
		if c.Changes.Under != "" {
			q.Set("under", c.Changes.Under)
		}
		return "GET", api.PathChanges + "?" + query(q), nil, nil
	case c.Page != nil:
		q := url.Values{"under": {root}, "limit": {"500"}}
		if c.Page.Under != "" {
			q.Set("under", c.Page.Under)
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
	case c.Lease > 0:
		body, err = json.Marshal(api.LeaseAsk{TTL: c.Lease.Milliseconds()})
		return "POST", api.PathLeases, body, err
	case c.Renew != 0:
		return "POST", fmt.Sprintf("%s/%d/%s", api.PathLeases, c.Renew, api.EndRenew), nil, nil
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

// Answer is the owner's answer for a response; a failed exchange or a body
// that makes no sense is no answer.
func Answer(c control.StateCall, r httpx.Response, failed error) control.StateAnswer {
	a := control.StateAnswer{ID: c.ID}
	if failed != nil {
		return a
	}
	a.Status = r.Status
	var into any
	switch {
	case c.Txn != nil && (r.Status == 200 || r.Status == 409):
		into = &a.Txn
	case r.Status != 200:
		return a
	case c.Changes != nil:
		into = &a.Changes
	case c.Page != nil:
		into = &a.Page
	case c.Get != "":
		into = &a.Pair
	case c.Lease > 0:
		var l api.LeaseAnswer
		if json.Unmarshal(r.Body, &l) != nil || l.Lease == 0 {
			a.Status = 0
		}
		a.Lease = l.Lease
		return a
	default:
		return a
	}
	if json.Unmarshal(r.Body, into) != nil {
		a.Status = 0
	}
	return a
}
