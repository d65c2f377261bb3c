// Package cloud owns the messages to and from the cloud's interface.
package cloud

import (
	"encoding/json"
	"fmt"

	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/httpx"
)

// listPageSize is the most machines a list response may hold.
const pageSize = 500

// Request is the HTTP request for a call.
func Request(c message.CloudCall) (method, target string, body []byte, err error) {
	switch {
	case c.Types:
		return "GET", api.PathMachineTypes, nil, nil
	case c.List != nil:
		target = fmt.Sprintf("%s?limit=%d", api.PathInstances, pageSize)
		if c.List.Since != "" {
			target += "&since=" + string(c.List.Since)
		}
		return "GET", target, nil, nil
	case c.Create != nil:
		body, err = json.Marshal(c.Create)
		return "POST", api.PathInstances, body, err
	case len(c.Delete) > 0:
		body, err = json.Marshal(api.MachineIDList{Machines: c.Delete})
		return "POST", api.PathDeleteInstances, body, err
	}
	return "", "", nil, fmt.Errorf("cloud call %d asks for nothing", c.ID)
}

// ParseResponse is the owner's answer for a response.
func ParseResponse(c message.CloudCall, r httpx.Response, callErr error) message.CloudResponse {
	a := message.CloudResponse{ID: c.ID}
	if callErr != nil {
		return a
	}
	a.Status = r.Status
	if r.Status != 200 {
		var refusal api.ErrorBody
		a.NoCapacity = json.Unmarshal(r.Body, &refusal) == nil && refusal.Error == api.NoCapacity
		return a
	}
	var err error
	switch {
	case c.Types:
		var t api.MachineTypes
		err = json.Unmarshal(r.Body, &t)
		a.Types = t.Types
	case c.List != nil:
		err = json.Unmarshal(r.Body, &a.Hosts)
	case c.Create != nil:
		var m api.MachineIDList
		err = json.Unmarshal(r.Body, &m)
		a.Machines = m.Machines
	}
	if err != nil {
		a.Status = 0
	}
	return a
}
