package emulator

import (
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"time"

	"basaltwall/api"
)

type instance struct {
	api.Instance
	createdAt time.Duration
	listedAt  time.Duration // from when the list shows it
}

// Cloud stands in for the cloud.
type Cloud struct {
	sim   *Simulation
	Types []api.MachineType
	// Capacity is how many machines there may be in all.
	Capacity int
	// ZoneCapacity is how many there may be in a zone; a zone that is not named has no bound.
	ZoneCapacity     map[api.Zone]int
	instances        map[api.MachineID]*instance
	launchesByName   map[string][]api.MachineID
	lastNumber       int
	Down             bool
	Calls            int // requests so far
	DeletedMachines  int // machines
	LaunchCalls      int // calls that got some
	LaunchedMachines int // machines they got
	// ListLag is how old the list is.
	ListLag time.Duration
}

func newCloud(sim *Simulation) *Cloud {
	return &Cloud{sim: sim, instances: map[api.MachineID]*instance{}, launchesByName: map[string][]api.MachineID{}, Capacity: 8, ListLag: 5 * time.Second}
}

// Launch brings up a machine after its boot time.
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

// hasZoneCapacity reports whether a zone may have one more machine.
func (c *Cloud) hasZoneCapacity(zone api.Zone) bool {
	remaining, bound := c.ZoneCapacity[zone]
	if !bound {
		return true
	}
	for _, h := range c.instances {
		if h.Zone == zone {
			remaining--
		}
	}
	return remaining > 0
}

// SpotMachines lists the spot machines that are up, in order.
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

// Serve answers a request.
func (c *Cloud) Serve(method, target string, body []byte) (int, []byte) {
	c.Calls++
	if c.Down {
		return 503, []byte(`{"error":"trouble"}`)
	}
	u, err := url.Parse(target)
	if err != nil {
		return 400, nil
	}
	var out any
	switch {
	case method == "GET" && u.Path == api.PathMachineTypes:
		out = api.MachineTypes{Types: c.Types}
	case method == "GET" && u.Path == api.PathInstances:
		l := api.InstanceList{Machines: []api.Instance{}}
		for _, h := range c.instances {
			if string(h.ID) > u.Query().Get("since") && h.listedAt <= c.sim.Now {
				x := h.Instance
				x.AgeSeconds = (c.sim.Now - h.createdAt).Seconds()
				l.Machines = append(l.Machines, x)
			}
		}
		sort.Slice(l.Machines, func(i, j int) bool { return l.Machines[i].ID < l.Machines[j].ID })
		limit, err := strconv.Atoi(u.Query().Get("limit"))
		if err != nil || limit > 500 {
			return 400, nil
		}
		if l.More = len(l.Machines) > limit; l.More {
			l.Machines = l.Machines[:limit]
		}
		out = l
	case method == "POST" && u.Path == api.PathInstances:
		var r api.ScaleOutRequest
		if json.Unmarshal(body, &r) != nil || r.Count < 1 || r.Count > 50 {
			return 400, nil
		}
		launched, known := c.launchesByName[r.Name]
		if !known {
			for len(launched) < r.Count && len(c.instances) < c.Capacity && c.hasZoneCapacity(r.Zone) {
				bootTime := 20 * time.Second
				for _, t := range c.Types {
					if t.Name == r.Type {
						bootTime = api.Seconds(t.BootSeconds)
					}
				}
				launched = append(launched, c.Launch(r.Type, r.Zone, r.Spot, bootTime))
			}
			if len(launched) == 0 {
				return 503, []byte(`{"error":"no capacity"}`)
			}
			c.launchesByName[r.Name] = launched
			c.LaunchCalls++
			c.LaunchedMachines += len(launched)
		}
		out = api.MachineIDList{Machines: launched}
	case method == "POST" && u.Path == api.PathDeleteInstances:
		var m api.MachineIDList
		if json.Unmarshal(body, &m) != nil || len(m.Machines) > 100 {
			return 400, nil
		}
		for _, id := range m.Machines {
			if c.instances[id] != nil {
				c.DeletedMachines++
			}
			delete(c.instances, id)
			c.sim.killWorker(id)
		}
		out = struct{}{}
	default:
		return 400, nil
	}
	b, err := json.Marshal(out)
	c.sim.must(err)
	return 200, b
}
