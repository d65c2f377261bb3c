// Package cloud encodes the controller's calls to the cloud provider as HTTP requests, and decodes the
// responses. Its functions are stateless.
package cloud

import (
	"encoding/json"
	"errors"
	"fmt"

	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/httpx"
	"basaltwall/internal/exactjson"
)

// pageSize is the number of machines requested per page of a list.
const pageSize = 500

// ErrEmptyCall is returned for a call in which no operation is set.
var ErrEmptyCall = errors.New("no operation is set")

// Request returns the HTTP request for a call. The error wraps ErrEmptyCall if no operation is set.
func Request(c message.CloudCall) (method, target string, body []byte, err error) {
	switch {
	case c.Types:
		return api.MethodGet, api.PathMachineTypes, nil, nil
	case c.List != nil:
		target = fmt.Sprintf("%s?limit=%d", api.PathInstances, pageSize)
		if c.List.Since != "" {
			target += "&since=" + string(c.List.Since)
		}
		return api.MethodGet, target, nil, nil
	case c.Create != nil:
		body, err = json.Marshal(c.Create)
		return api.MethodPost, api.PathInstances, body, err
	case len(c.Delete) > 0:
		body, err = json.Marshal(api.MachineIDList{Machines: c.Delete})
		return api.MethodPost, api.PathDeleteInstances, body, err
	}
	return "", "", nil, fmt.Errorf("cloud call %d: %w", c.ID, ErrEmptyCall)
}

// ParseResponse returns the command for the outcome of a call. Its status is 0 if callErr is not nil or the
// body is malformed.
func ParseResponse(c message.CloudCall, r httpx.Response, callErr error) message.CloudResponse {
	response := message.CloudResponse{ID: c.ID}
	if callErr != nil {
		return response
	}
	response.Status = r.Status
	if r.Status != api.StatusOK {
		var refusal api.ErrorBody
		response.NoCapacity = exactjson.Decode(r.Body, &refusal) == nil && refusal.Error == api.NoCapacity
		return response
	}
	var err error
	switch {
	case c.Types:
		var offered api.MachineTypes
		err = exactjson.Decode(r.Body, &offered)
		response.Types = offered.Types
	case c.List != nil:
		err = exactjson.Decode(r.Body, &response.MachineList)
	case c.Create != nil:
		var created api.MachineIDList
		err = exactjson.Decode(r.Body, &created)
		response.Machines = created.Machines
	}
	if err != nil {
		response.Status = 0
	}
	return response
}
