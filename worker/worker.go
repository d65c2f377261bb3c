// Package worker owns the messages to and from workers.
package worker

import (
	"encoding/json"
	"errors"
	"fmt"

	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/httpx"
)

// ParseHeartbeat reads a report and checks what the owner relies on.
func ParseHeartbeat(body []byte) (*api.Heartbeat, error) {
	r := &api.Heartbeat{}
	if err := json.Unmarshal(body, r); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	if r.Machine == "" || r.Epoch == 0 {
		return nil, errors.New("report: tornio or turno is missing")
	}
	return r, nil
}

// Request is the HTTP request for a call.
func Request(c message.WorkerCall) (method, target string, body []byte, err error) {
	body, err = json.Marshal(c.Commands)
	return "POST", api.PathCommands, body, err
}

// ParseResponse is the owner's answer for a response.
func ParseResponse(c message.WorkerCall, r httpx.Response, callErr error) message.WorkerResponse {
	a := message.WorkerResponse{ID: c.ID}
	if callErr != nil || r.Status != 200 && r.Status != 409 {
		return a
	}
	heartbeat, err := ParseHeartbeat(r.Body)
	if err != nil {
		return a
	}
	a.Status, a.Heartbeat = r.Status, heartbeat
	return a
}
