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
	// Deployment is the section of the settings file that all controllers share.
	Deployment map[string]any
	Types      []api.MachineType
	// Machines is the number of machines at the start. They are of the first type, spread round-robin over
	// its zones.
	Machines int
	Regions  *Regions
	Seed     uint64
	// ClockInterval is the interval at which the simulation's clock is advanced to real time; 0 means 1 ms.
	ClockInterval time.Duration
}

// FleetController is the label and zone of a controller.
type FleetController struct {
	Label string
	Zone  api.Zone
}

// Fleet runs the emulators of a large deployment in real time on loopback: thousands of workers, each
// with its own address, users, the key-value store, the cloud and relays between the controllers. All
// messages to and from controllers pass through it, so that they can be delayed, dropped and counted.
//
// Each controller reaches the workers at a port of its own, which identifies the sender of a direct
// command.
type Fleet struct {
	*Live
	Traffic *Traffic

	config        FleetConfig
	workerPorts   map[string]string // port for direct commands to workers, by controller
	peerAddrs     map[string]string // listen address for messages between controllers, by controller
	workerClients map[api.MachineID]*http.Client
	userClient    *http.Client
	relayClient   *http.Client
}

// workerPort is the placeholder for the port in a worker's address. rewriteWorkerPorts replaces it with the
// port for a controller.
const workerPort = "9000"

// StartFleet starts the emulators of a large deployment.
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

// WithSimulation calls callback with the simulation locked. callback may read and change it.
func (f *Fleet) WithSimulation(callback func(sim *Simulation)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	callback(f.sim)
}

// zone returns the zone of the i-th machine.
func (f *Fleet) zone(i int) api.Zone {
	zones := f.config.Types[0].Zones
	return zones[i%len(zones)]
}

// newSimulation creates the simulation from the controllers' settings files.
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

// openListeners opens the listeners for the controllers' requests and creates the settings files. The returned
// functions start serving on the listeners.
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

// APIAddr returns the API address of the i-th controller.
func (f *Fleet) APIAddr(i int) string { return f.Configs[i].APIAddr }

// StoredByKind returns the number and total size of the entries in the key-value store, by kind of key.
func (f *Fleet) StoredByKind() map[string]StoredSize {
	out := map[string]StoredSize{}
	f.WithSimulation(func(sim *Simulation) {
		for k, e := range sim.Store.entries {
			kind, _, _ := strings.Cut(strings.TrimPrefix(k, "b/"), "/")
			s := out[kind]
			out[kind] = StoredSize{s.Keys + 1, s.Bytes + len(k) + len(e.value)}
		}
	})
	return out
}

// StoredSize is the number of keys of a kind and the total size of the keys and values.
type StoredSize struct {
	Keys  int `json:"keys"`
	Bytes int `json:"bytes"`
}

// StoreCounts counts requests to the key-value store. Over counts the requests refused by its rate limits.
type StoreCounts struct {
	Requests, Writes, Over int
}

// StoreCounts returns the counts of requests to the key-value store.
func (f *Fleet) StoreCounts() (c StoreCounts) {
	f.WithSimulation(func(sim *Simulation) {
		c = StoreCounts{sim.Store.Requests, sim.Store.Writes, sim.Store.ThrottledRequests}
	})
	return c
}
