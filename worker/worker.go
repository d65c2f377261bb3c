// Package worker encodes the controller's calls to workers as HTTP requests, and decodes workers'
// heartbeats and responses. It keeps no state.
package worker

import (
	"encoding/json"
	"errors"
	"fmt"

	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/httpx"
)

// ErrIncompleteHeartbeat is returned for a heartbeat that does not say which worker sent it. The names
// are those of the fields in JSON.
var ErrIncompleteHeartbeat = errors.New("tornio or turno is missing")

// ParseHeartbeat decodes a heartbeat and checks that it names its machine and its epoch, which the
// controller relies on.
func ParseHeartbeat(body []byte) (*api.Heartbeat, error) {
	heartbeat := &api.Heartbeat{}
	if err := json.Unmarshal(body, heartbeat); err != nil {
		return nil, fmt.Errorf("heartbeat: %w", err)
	}
	if heartbeat.Machine == "" || heartbeat.Epoch == 0 {
		return nil, fmt.Errorf("heartbeat: %w", ErrIncompleteHeartbeat)
	}
	return heartbeat, nil
}

// Request returns the HTTP request for a call.
func Request(c message.WorkerCall) (method, target string, body []byte, err error) {
	body, err = json.Marshal(c.Commands)
	return api.MethodPost, api.PathCommands, body, err
}

// ParseResponse returns the command for the outcome of a call. A worker answers with a heartbeat, also
// when it refuses the call (409); without one the status is 0.
func ParseResponse(c message.WorkerCall, r httpx.Response, callErr error) message.WorkerResponse {
	response := message.WorkerResponse{ID: c.ID}
	if callErr != nil || r.Status != api.StatusOK && r.Status != api.StatusConflict {
		return response
	}
	heartbeat, err := ParseHeartbeat(r.Body)
	if err != nil {
		return response
	}
	response.Status, response.Heartbeat = r.Status, heartbeat
	return response
}
