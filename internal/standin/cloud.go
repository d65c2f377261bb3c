package standin

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

type rentedHost struct {
	api.Host
	born   time.Duration
	listed time.Duration // from when the list shows it
}

// Cloud stands in for the cloud.
type Cloud struct {
	w     *World
	Types []api.MachineType
	// Capacity is how many machines there may be in all.
	Capacity int
	// InZone is how many there may be in a zone; a zone that is not named has no bound.
	InZone  map[api.Zone]int
	hosts   map[api.MachineID]*rentedHost
	answers map[string][]api.MachineID
	last    int
	Down    bool
	Calls   int // requests so far
	Deleted int // machines
	Rentals int // calls that got some
	Rented  int // machines they got
	// Lag is how old the list is.
	Lag time.Duration
}

func newCloud(w *World) *Cloud {
	return &Cloud{w: w, hosts: map[api.MachineID]*rentedHost{}, answers: map[string][]api.MachineID{}, Capacity: 8, Lag: 5 * time.Second}
}

// Rent brings up a machine after its boot time.
func (c *Cloud) Rent(typ api.TypeName, zone api.Zone, spot bool, boot time.Duration) api.MachineID {
	id := api.MachineID(fmt.Sprintf("i-%06d", c.last))
	c.last++
	h := &rentedHost{Host: api.Host{ID: id, Address: c.w.Address(c.last), Type: typ, Zone: zone, Spot: spot,
		State: api.MachineBooting}, born: c.w.Now, listed: c.w.Now + c.Lag}
	c.hosts[id] = h
	c.w.After(boot, func() {
		if c.hosts[id] == h {
			h.State = api.MachineRunning
			c.w.startWorker(h)
		}
	})
	return id
}

// roomIn reports whether a zone may have one more machine.
func (c *Cloud) roomIn(zone api.Zone) bool {
	most, bound := c.InZone[zone]
	if !bound {
		return true
	}
	for _, h := range c.hosts {
		if h.Zone == zone {
			most--
		}
	}
	return most > 0
}

// SpotMachines lists the spot machines that are up, in order.
func (c *Cloud) SpotMachines() []api.MachineID {
	var out []api.MachineID
	for id, h := range c.hosts {
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
	case method == "GET" && u.Path == api.PathTypes:
		out = api.MachineTypes{Types: c.Types}
	case method == "GET" && u.Path == api.PathHosts:
		l := api.HostList{Machines: []api.Host{}}
		for _, h := range c.hosts {
			if string(h.ID) > u.Query().Get("since") && h.listed <= c.w.Now {
				x := h.Host
				x.Age = (c.w.Now - h.born).Seconds()
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
	case method == "POST" && u.Path == api.PathHosts:
		var r api.RentRequest
		if json.Unmarshal(body, &r) != nil || r.Count < 1 || r.Count > 50 {
			return 400, nil
		}
		got, known := c.answers[r.Name]
		if !known {
			for len(got) < r.Count && len(c.hosts) < c.Capacity && c.roomIn(r.Zone) {
				boot := 20 * time.Second
				for _, t := range c.Types {
					if t.Name == r.Type {
						boot = api.Seconds(t.Boot)
					}
				}
				got = append(got, c.Rent(r.Type, r.Zone, r.Spot, boot))
			}
			if len(got) == 0 {
				return 503, []byte(`{"error":"no capacity"}`)
			}
			c.answers[r.Name] = got
			c.Rentals++
			c.Rented += len(got)
		}
		out = api.MachineNames{Machines: got}
	case method == "POST" && u.Path == api.PathDelete:
		var m api.MachineNames
		if json.Unmarshal(body, &m) != nil || len(m.Machines) > 100 {
			return 400, nil
		}
		for _, id := range m.Machines {
			if c.hosts[id] != nil {
				c.Deleted++
			}
			delete(c.hosts, id)
			c.w.killWorker(id)
		}
		out = struct{}{}
	default:
		return 400, nil
	}
	b, err := json.Marshal(out)
	c.w.must(err)
	return 200, b
}
