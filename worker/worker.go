// Package worker owns the messages to and from workers.
package worker

import (
	"encoding/json"
	"errors"
	"fmt"

	"basaltwall/api"
	"basaltwall/control"
	"basaltwall/httpx"
)

// ParseReport reads a report and checks what the owner relies on.
func ParseReport(body []byte) (*api.Report, error) {
	r := &api.Report{}
	if err := json.Unmarshal(body, r); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if r.Machine == "" || r.Session == 0 {
		return nil, errors.New("report: tornio or turno is missing")
	}
	return r, nil
}

// Request is the HTTP request for a call.
func Request(c control.WorkerCall) (method, target string, body []byte, err error) {
	body, err = json.Marshal(c.Orders)
	return "POST", api.PathCommands, body, err
}

// Answer is the owner's answer for a response.
func Answer(c control.WorkerCall, r httpx.Response, failed error) control.WorkerAnswer {
	a := control.WorkerAnswer{ID: c.ID}
	if failed != nil || r.Status != 200 && r.Status != 409 {
		return a
	}
	rep, err := ParseReport(r.Body)
	if err != nil {
		return a
	}
	a.Status, a.Report = r.Status, rep
	return a
}
