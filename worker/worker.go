// Package worker encodes the controller's calls to workers as HTTP requests, and decodes workers'
// heartbeats and responses. Its functions are stateless.
package worker

import (
	"encoding/json"
	"errors"
	"fmt"

	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/httpx"
	"basaltwall/internal/exactjson"
)

// ErrIncompleteHeartbeat is returned for a heartbeat without the JSON field tornio or turno, which identify
// the machine and its epoch.
var ErrIncompleteHeartbeat = errors.New("machine (tornio) or epoch (turno) is missing")

// ParseHeartbeat decodes a heartbeat. The error wraps ErrIncompleteHeartbeat if the machine or the epoch is
// missing.
func ParseHeartbeat(body []byte) (*api.Heartbeat, error) {
	heartbeat := &api.Heartbeat{}
	if err := exactjson.Decode(body, heartbeat); err != nil {
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

// ParseResponse returns the command for the outcome of a call. A worker responds with a heartbeat, even if
// it refuses the call with status 409; without a valid heartbeat the command's status is 0.
func ParseResponse(c message.WorkerCall, r httpx.Response, callErr error) message.WorkerResponse {
	response := message.WorkerResponse{ID: c.ID, Repeated: r.Repeated}
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
