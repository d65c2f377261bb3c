package emulator

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"time"

	"basaltwall/api"
	"basaltwall/internal/exactjson"
)

type instance struct {
	api.Instance
	createdAt time.Duration
	listedAt  time.Duration // when the list of machines begins to include it
}

// Cloud emulates the cloud's API: machine types, launched machines and faults.
type Cloud struct {
	sim   *Simulation
	Types []api.MachineType
	// Capacity is the maximum number of machines.
	Capacity int
	// ZoneCapacity is the maximum number of machines by zone; a zone without an entry is unlimited.
	ZoneCapacity     map[api.Zone]int
	instances        map[api.MachineID]*instance
	launchesByName   map[string][]api.MachineID
	lastNumber       int
	Down             bool
	Calls            int // requests received
	DeletedMachines  int
	LaunchCalls      int // requests that launched machines
	LaunchedMachines int // machines launched by requests
	// ListLag is the delay until the list of machines includes a new machine.
	ListLag time.Duration
}

func newCloud(sim *Simulation) *Cloud {
	return &Cloud{sim: sim, instances: map[api.MachineID]*instance{}, launchesByName: map[string][]api.MachineID{}, Capacity: 8, ListLag: 5 * time.Second}
}

// Launch creates a machine, whose worker starts after bootTime.
func (c *Cloud) Launch(typ api.MachineTypeName, zone api.Zone, spot bool, bootTime time.Duration) api.MachineID {
	id := api.MachineID(fmt.Sprintf("i-%06d", c.lastNumber))
	c.lastNumber++
	h := &instance{Instance: api.Instance{ID: id, Address: c.sim.Address(c.lastNumber), Type: typ, Zone: zone, Spot: spot,
		State: api.MachineBooting}, createdAt: c.sim.Now, listedAt: c.sim.Now + c.ListLag}
	c.instances[id] = h
	c.sim.After(bootTime, func() {
		if c.instances[id] == h {
			h.State = api.MachineRunning
			c.sim.startWorker(h)
		}
	})
	return id
}

// hasZoneCapacity reports whether a zone has capacity for another machine.
func (c *Cloud) hasZoneCapacity(zone api.Zone) bool {
	remaining, limited := c.ZoneCapacity[zone]
	if !limited {
		return true
	}
	for _, h := range c.instances {
		if h.Zone == zone {
			remaining--
		}
	}
	return remaining > 0
}

// SpotMachines returns the running spot machines, sorted.
func (c *Cloud) SpotMachines() []api.MachineID {
	var out []api.MachineID
	for id, h := range c.instances {
		if h.Spot && h.State == api.MachineRunning {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// The cloud's limits per request.
const (
	maxInstancePage  = 500
	maxLaunchCount   = 50
	maxDeletionCount = 100
)

// defaultBootTime applies to machine types that the cloud does not list.
const defaultBootTime = 20 * time.Second

var (
	errBadCloudRequest = errors.New("malformed request")
	errNoCapacity      = errors.New("no capacity")
)

// Serve returns the status and body of the response to a request.
func (c *Cloud) Serve(method, target string, body []byte) (int, []byte) {
	c.Calls++
	if c.Down {
		return http.StatusServiceUnavailable, []byte(`{"error":"trouble"}`)
	}
	out, err := c.handle(method, target, body)
	switch {
	case errors.Is(err, errNoCapacity):
		return http.StatusServiceUnavailable, []byte(`{"error":"no capacity"}`)
	case err != nil:
		return http.StatusBadRequest, nil
	}
	b, err := json.Marshal(out)
	c.sim.must(err)
	return http.StatusOK, b
}

// handle executes a request and returns the value to encode in the response.
func (c *Cloud) handle(method, target string, body []byte) (any, error) {
	u, err := url.Parse(target)
	if err != nil {
		return nil, errBadCloudRequest
	}
	switch {
	case method == http.MethodGet && u.Path == api.PathMachineTypes:
		return api.MachineTypes{Types: c.Types}, nil
	case method == http.MethodGet && u.Path == api.PathInstances:
		return c.listInstances(u.Query())
	case method == http.MethodPost && u.Path == api.PathInstances:
		return c.scaleOut(body)
	case method == http.MethodPost && u.Path == api.PathDeleteInstances:
		return c.deleteInstances(body)
	}
	return nil, errBadCloudRequest
}

// listInstances returns a page of the machines whose ListLag has passed.
func (c *Cloud) listInstances(query url.Values) (any, error) {
	list := api.InstanceList{Machines: []api.Instance{}}
	for _, h := range c.instances {
		if string(h.ID) > query.Get("since") && h.listedAt <= c.sim.Now {
			listed := h.Instance
			listed.AgeSeconds = (c.sim.Now - h.createdAt).Seconds()
			list.Machines = append(list.Machines, listed)
		}
	}
	sort.Slice(list.Machines, func(i, j int) bool { return list.Machines[i].ID < list.Machines[j].ID })
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > maxInstancePage {
		return nil, errBadCloudRequest
	}
	if list.More = len(list.Machines) > limit; list.More {
		list.Machines = list.Machines[:limit]
	}
	return list, nil
}

// scaleOut launches up to the requested number of machines, limited by capacity. A repeated request,
// identified by its name, returns the machines of the first one.
func (c *Cloud) scaleOut(body []byte) (any, error) {
	var request api.ScaleOutRequest
	if exactjson.Decode(body, &request) != nil || request.Count < 1 || request.Count > maxLaunchCount {
		return nil, errBadCloudRequest
	}
	launched, repeated := c.launchesByName[request.Name]
	if repeated {
		return api.MachineIDList{Machines: launched}, nil
	}
	for len(launched) < request.Count && len(c.instances) < c.Capacity && c.hasZoneCapacity(request.Zone) {
		launched = append(launched, c.Launch(request.Type, request.Zone, request.Spot, c.bootTime(request.Type)))
	}
	if len(launched) == 0 {
		return nil, errNoCapacity
	}
	c.launchesByName[request.Name] = launched
	c.LaunchCalls++
	c.LaunchedMachines += len(launched)
	return api.MachineIDList{Machines: launched}, nil
}

func (c *Cloud) bootTime(machineType api.MachineTypeName) time.Duration {
	bootTime := defaultBootTime
	for _, t := range c.Types {
		if t.Name == machineType {
			bootTime = api.Seconds(t.BootSeconds)
		}
	}
	return bootTime
}

// deleteInstances deletes machines and ignores unknown ids.
func (c *Cloud) deleteInstances(body []byte) (any, error) {
	var request api.MachineIDList
	if exactjson.Decode(body, &request) != nil || len(request.Machines) > maxDeletionCount {
		return nil, errBadCloudRequest
	}
	for _, id := range request.Machines {
		if c.instances[id] != nil {
			c.DeletedMachines++
		}
		delete(c.instances, id)
		c.sim.killWorker(id)
	}
	return struct{}{}, nil
}
