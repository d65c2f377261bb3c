// Package cloud owns the messages to and from the cloud's interface.
package cloud

import (
	"encoding/json"
	"fmt"

	"basaltwall/api"
	"basaltwall/control"
	"basaltwall/httpx"
)

// pageSize is the most machines a list response may hold.
const pageSize = 500

// Request is the HTTP request for a call.
func Request(c control.CloudCall) (method, target string, body []byte, err error) {
	switch {
	case c.Types:
		return "GET", api.PathTypes, nil, nil
	case c.List != nil:
		target = fmt.Sprintf("%s?limit=%d", api.PathHosts, pageSize)
		if c.List.Since != "" {
			target += "&since=" + string(c.List.Since)
		}
		return "GET", target, nil, nil
	case c.Rent != nil:
		body, err = json.Marshal(c.Rent)
		return "POST", api.PathHosts, body, err
	case len(c.Delete) > 0:
		body, err = json.Marshal(api.MachineNames{Machines: c.Delete})
		return "POST", api.PathDelete, body, err
	}
	return "", "", nil, fmt.Errorf("cloud call %d asks for nothing", c.ID)
}

// Answer is the owner's answer for a response.
func Answer(c control.CloudCall, r httpx.Response, failed error) control.CloudAnswer {
	a := control.CloudAnswer{ID: c.ID}
	if failed != nil {
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
	case c.Rent != nil:
		var m api.MachineNames
		err = json.Unmarshal(r.Body, &m)
		a.Machines = m.Machines
	}
	if err != nil {
		a.Status = 0
	}
	return a
}
