package emulator

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"basaltwall/api"
)

// FleetConfig describes a large deployment whose controllers are real processes.
type FleetConfig struct {
	Controllers []FleetController
	// Deployment is the part of the settings file that all controllers share.
	Deployment map[string]any
	Types      []api.MachineType
	// Machines are up at the start, of the first type, spread round-robin over the zones.
	Machines int
	Regions  *Regions
	Seed     uint64
	// ClockInterval is how often the simulation's clock is advanced to real time; 0: every millisecond.
	ClockInterval time.Duration
}

// FleetController is a controller and the zone it is in.
type FleetController struct {
	Label string
	Zone  api.Zone
}

// Fleet runs the emulators of a large deployment in real time on loopback: thousands of emulated
// workers, each at an address of its own, users, key-value store and cloud, and relays
// between the controllers. All that passes between controllers and anything else goes through
// it, so that it can be delayed, cut and counted.
//
// A worker listens at one port for each controller, and each controller is told its own port:
// that is how the sender of a direct command is known.
type Fleet struct {
	*Live
	Traffic *Traffic

	config        FleetConfig
	workerPorts   map[string]string // by controller, where it reaches the workers
	peerAddrs     map[string]string // by controller, where it listens for others
	workerClients map[api.MachineID]*http.Client
	userClient    *http.Client
	relayClient   *http.Client
}

// workerPort is the placeholder for the port in a worker's address; each controller gets its own, see
// rewriteWorkerPorts.
const workerPort = "9000"

// StartFleet starts the emulators of a plan.
func StartFleet(ctx context.Context, fleetConfig FleetConfig) (*Fleet, error) {
	f := &Fleet{Live: &Live{ctx: ctx, clockInterval: cmp.Or(fleetConfig.ClockInterval, time.Millisecond)}, Traffic: newTraffic(), config: fleetConfig, workerPorts: map[string]string{},
		peerAddrs: map[string]string{}, workerClients: map[api.MachineID]*http.Client{}}
	f.userClient = f.meteredClient(FlowUsers, userIdleConns)
	f.relayClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: relayIdleConns}}
	starters, err := f.openListeners()
	if err != nil {
		return nil, err
	}
	f.newSimulation()
	for _, startServing := range starters {
		startServing()
	}
	f.mu.Lock()
	for i := range fleetConfig.Machines {
		f.sim.Cloud.Launch(fleetConfig.Types[0].Name, f.zone(i), false, 100*time.Millisecond)
	}
	f.mu.Unlock()
	go f.followClock()
	return f, nil
}

// Do calls inspect with the simulation locked, to read or to change it.
func (f *Fleet) Do(inspect func(sim *Simulation)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	inspect(f.sim)
}

// zone is where the i-th machine is.
func (f *Fleet) zone(i int) api.Zone {
	zones := f.config.Types[0].Zones
	return zones[i%len(zones)]
}

// newSimulation builds the simulation for the settings files that were made.
func (f *Fleet) newSimulation() {
	sim := NewSimulation(f.config.Seed, f.Configs)
	f.sim = sim
	sim.Store.RateLimited, sim.Store.RetainedChanges = true, 10_000
	sim.Cloud.Types, sim.Cloud.Capacity = f.config.Types, f.config.Machines+f.config.Machines/20
	if f.config.Regions != nil {
		sim.SetRegions(f.config.Regions)
	}
	sim.Deliver, sim.SendHeartbeat = f.deliver, f.sendHeartbeat
	sim.Address = func(number int) string {
		return fmt.Sprintf("127.%d.%d.%d:%s", 1+number/62500, number/250%250, number%250+1, workerPort)
	}
}

// openListeners opens the listeners that each controller needs to reach, and makes the settings files. The
// functions it returns start to serve on them.
func (f *Fleet) openListeners() ([]func(), error) {
	var starters []func()
	type endpointAddrs struct{ api, peer, state, cloud string }
	endpoints := map[string]endpointAddrs{}
	for _, c := range f.config.Controllers {
		var p endpointAddrs
		for _, addr := range []*string{&p.api, &p.peer} {
			var err error
			if *addr, err = f.reserveAddr(); err != nil {
				return nil, err
			}
		}
		for _, x := range []struct {
			addr  *string
			serve func(net.Listener, string)
		}{{&p.state, f.serveStore}, {&p.cloud, f.serveCloud}} {
			ln, err := listenLocal()
			if err != nil {
				return nil, err
			}
			*x.addr = ln.Addr().String()
			starters = append(starters, func() { x.serve(ln, c.Label) })
		}
		ln, err := listenAllLoopback()
		if err != nil {
			return nil, err
		}
		_, port, err := net.SplitHostPort(ln.Addr().String())
		if err != nil {
			return nil, fmt.Errorf("emulator: %w", err)
		}
		f.workerPorts[c.Label], f.peerAddrs[c.Label] = port, p.peer
		endpoints[c.Label] = p
		starters = append(starters, func() { f.serveWorkers(ln, c.Label) })
	}
	for _, c := range f.config.Controllers {
		p := endpoints[c.Label]
		peers := []map[string]string{}
		for _, o := range f.config.Controllers {
			if o == c {
				continue
			}
			ln, err := listenLocal()
			if err != nil {
				return nil, err
			}
			starters = append(starters, func() { f.serveRelay(ln, c, o) })
			peers = append(peers, map[string]string{"label": o.Label, "domain": string(o.Zone), "peer_addr": ln.Addr().String()})
		}
		err := f.addSettings(map[string]any{"label": c.Label, "domain": c.Zone, "api_addr": p.api, "peer_listen": p.peer, "peers": peers,
			"external": map[string]string{"cloud": p.cloud, "state": p.state}, "deployment": f.config.Deployment})
		if err != nil {
			return nil, err
		}
	}
	return starters, nil
}

// APIAddr is where a controller is reached.
func (f *Fleet) APIAddr(i int) string { return f.Configs[i].APIAddr }

// StoredByKind is how many keys the key-value store holds, and how many bytes, by kind of key.
func (f *Fleet) StoredByKind() map[string]StoredSize {
	out := map[string]StoredSize{}
	f.Do(func(sim *Simulation) {
		for k, e := range sim.Store.entries {
			kind, _, _ := strings.Cut(strings.TrimPrefix(k, "b/"), "/")
			s := out[kind]
			out[kind] = StoredSize{s.Keys + 1, s.Bytes + len(k) + len(e.value)}
		}
	})
	return out
}

// StoredSize is what the key-value store holds of a kind.
type StoredSize struct {
	Keys  int `json:"keys"`
	Bytes int `json:"bytes"`
}

// StoreCounts are the key-value store's own counts.
type StoreCounts struct {
	Requests, Writes, Over int
}

// StoreCounts tells how much was asked of the key-value store, and refused for its limits.
func (f *Fleet) StoreCounts() (c StoreCounts) {
	f.Do(func(sim *Simulation) {
		c = StoreCounts{sim.Store.Requests, sim.Store.Writes, sim.Store.ThrottledRequests}
	})
	return c
}
