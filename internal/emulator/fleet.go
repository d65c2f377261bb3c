package emulator

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/peer"
)

// FleetConfig describes a large deployment whose controllers are real processes.
type FleetConfig struct {
	Controllers []FleetController
	// Deployment is the part of the settings file that all controllers share.
	Deployment map[string]any
	Types      []api.MachineType
	// Machines are up at the start, of the first type, in the zones by turns.
	Machines int
	Regions  *Regions
	Seed     uint64
	// ClockInterval is how often the world's clock is brought up to date; 0: every millisecond.
	ClockInterval time.Duration
}

// FleetController is a controller and the zone it is in.
type FleetController struct {
	Label string
	Zone  api.Zone
}

// Fleet runs the emulators of a large deployment in real time on loopback: thousands of hollow
// workers, each at an address of its own, hollow users, key-value store and cloud, and relays
// between the controllers. All that passes between controllers and anything else goes through
// it, so that it can be delayed, cut and counted.
//
// A worker listens at one port for each controller, and each controller is told its own port:
// that is how a direct command's sender is known.
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

// workerPort stands for the port in a worker's address, which differs by who is told of it.
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

// Connections that are kept open: to a controller by all users, and by a relay.
const (
	userIdleConns  = 64
	relayIdleConns = 8
)

// Do has the world looked at or changed.
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

// newSimulation builds the world for the settings that were made.
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

// openListeners opens what each controller needs to reach, and writes the settings files. What it
// returns begins to serve that.
func (f *Fleet) openListeners() ([]func(), error) {
	var starters []func()
	type place struct{ api, peer, state, cloud string }
	endpoints := map[string]place{}
	for _, c := range f.config.Controllers {
		var p place
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
			return nil, fmt.Errorf("stand-in: %w", err)
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

// listenAllLoopback listens at one port of all addresses of the loopback interface, and of no other.
func listenAllLoopback() (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if e := raw.Control(func(fd uintptr) { err = syscall.BindToDevice(int(fd), "lo") }); e != nil {
			return e
		}
		return err
	}}
	ln, err := c.Listen(context.Background(), "tcp4", "0.0.0.0:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	return ln, nil
}

// meteredClient is a client whose connections count what passes.
func (f *Fleet) meteredClient(flow FlowName, idle int) *http.Client {
	d := net.Dialer{Timeout: 4 * time.Second}
	return &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: idle, DisableCompression: true,
		MaxIdleConns: maxIdleConns(idle),
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return f.Traffic.meter(c, flow), nil
		}}}
}

// maxIdleConns is how many idle connections a client keeps to all controllers together: a worker one.
func maxIdleConns(each int) int {
	if each == 1 {
		return 1
	}
	return 0 // as many as each may have
}

// deliver carries a user's request to a controller.
func (f *Fleet) deliver(name, method, path string, _ message.Caller, body []byte, answer func(int, []byte)) {
	addr := f.sim.configs[name].APIAddr
	f.Traffic.countMessage(FlowUsers)
	go f.forward(f.userClient, method, addr, path, body, answer)
}

// sendHeartbeat carries a worker's report, over a connection of its own.
func (f *Fleet) sendHeartbeat(wk *Worker, name string, body []byte, answer func(int, []byte)) {
	addr := f.sim.configs[name].APIAddr
	client := f.workerClients[wk.id]
	if client == nil {
		client = f.meteredClient(FlowHeartbeats, 1) // it closes the connection to the node that sends it on
		f.workerClients[wk.id] = client
	}
	f.Traffic.countMessage(FlowHeartbeats)
	body = f.rewriteWorkerPorts(body, name)
	go f.forward(client, "POST", addr, api.PathHeartbeat, body, answer)
}

// rewriteWorkerPorts gives a controller the workers' addresses that it is to use.
func (f *Fleet) rewriteWorkerPorts(body []byte, name string) []byte {
	return bytes.ReplaceAll(body, []byte(":"+workerPort+`"`), []byte(":"+f.workerPorts[name]+`"`))
}

// serveController serves requests of one controller: each crosses the network, is handled in the world,
// and its answer crosses the network.
func (f *Fleet) serveController(ln net.Listener, flow FlowName, name string, side Endpoint, handle func(r *http.Request, body []byte, answer func(int, []byte))) {
	f.serveHTTP(&meteredListener{ln, f.Traffic, flow}, func(rw http.ResponseWriter, r *http.Request, body []byte) {
		done := make(chan response, 1)
		f.mu.Lock()
		f.sim.transmit(name, side, func() {
			handle(r, body, func(status int, b []byte) {
				f.sim.transmit(name, side, func() { done <- response{status, b} })
			})
		})
		f.mu.Unlock()
		f.writeResponse(rw, r, done)
	})
}

func (f *Fleet) serveStore(ln net.Listener, name string) {
	f.serveController(ln, FlowStore, name, EndpointStore, func(r *http.Request, body []byte, answer func(int, []byte)) {
		kind := storeRequestKind(r.Method, r.URL.RequestURI(), body)
		f.sim.Store.Serve(name, r.Method, r.URL.RequestURI(), body, func(status int, b []byte) {
			f.Traffic.countStoreRequest(name, kind, status, len(body), len(b))
			answer(status, b)
		})
	})
}

func (f *Fleet) serveCloud(ln net.Listener, name string) {
	f.serveController(ln, FlowCloud, name, EndpointCloud, func(r *http.Request, body []byte, answer func(int, []byte)) {
		f.Traffic.countMessage(FlowCloud)
		status, b := f.sim.Cloud.Serve(r.Method, r.URL.RequestURI(), body)
		answer(status, f.rewriteWorkerPorts(b, name))
	})
}

// serveWorkers takes a controller's direct commands to all workers.
func (f *Fleet) serveWorkers(ln net.Listener, name string) {
	f.serveHTTP(&meteredListener{ln, f.Traffic, FlowCommands}, func(rw http.ResponseWriter, r *http.Request, body []byte) {
		at, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
		if !ok {
			return
		}
		host, _, _ := strings.Cut(at.String(), ":")
		done := make(chan response, 1)
		f.mu.Lock()
		f.deliverCommand(name, host+":"+workerPort, body, done)
		f.mu.Unlock()
		f.writeResponse(rw, r, done)
	})
}

// deliverCommand takes a direct command over the network to its worker.
func (f *Fleet) deliverCommand(name, addr string, body []byte, done chan response) {
	sim := f.sim
	f.Traffic.countMessage(FlowCommands)
	sim.transmit(name, EndpointWorkers, func() {
		wk := sim.workersByAddr[addr]
		if wk == nil {
			return
		}
		sim.DirectCommands++
		sim.transmitToZone(name, wk.zone, func() {
			wk.handleCommands(body, func(status int, b []byte) {
				sim.transmitToZone(name, wk.zone, func() {
					sim.transmit(name, EndpointWorkers, func() { done <- response{status, f.rewriteWorkerPorts(b, name)} })
				})
			})
		})
	})
}

// serveRelay passes one controller's messages on to another.
func (f *Fleet) serveRelay(ln net.Listener, from, to FleetController) {
	f.serveHTTP(ln, func(rw http.ResponseWriter, r *http.Request, body []byte) {
		done := make(chan response, 1)
		across := func(callback func()) {
			f.sim.transmit(from.Label, EndpointPeers, func() { f.sim.transmitToZone(from.Label, to.Zone, callback) })
		}
		kind := peerMessageKind(body)
		f.mu.Lock()
		across(func() {
			go f.forward(f.relayClient, r.Method, f.peerAddrs[to.Label], r.URL.RequestURI(), body, func(status int, b []byte) {
				f.Traffic.countPeerMessage(kind, len(body), len(b))
				across(func() { done <- response{status, b} })
			})
		})
		f.mu.Unlock()
		f.writeResponse(rw, r, done)
	})
}

// peerMessageKind tells what a message between controllers is about.
func peerMessageKind(body []byte) string {
	m, err := peer.ParseMessage(body)
	switch {
	case err != nil:
		return "garbled"
	case m.Gossip != nil:
		return "news"
	case m.Forward != nil:
		return "forward " + m.Forward.Kind
	case m.ReadLog != nil:
		return "read log"
	}
	return "other"
}

// storeRequestKind tells what a request to the key-value store is for: of a transaction by the key that
// it writes first.
func storeRequestKind(method, target string, body []byte) string {
	path, query, _ := strings.Cut(target, "?")
	switch {
	case method == "POST" && path == api.PathTxn:
		var t api.Txn
		if json.Unmarshal(body, &t) != nil || len(t.Writes) == 0 {
			return "compare"
		}
		key := strings.TrimPrefix(t.Writes[0].Put+t.Writes[0].Drop, "b/")
		kind, _, _ := strings.Cut(key, "/")
		return "write " + kind
	case strings.HasPrefix(path, api.PathLeases):
		return "lease"
	case path == api.PathChanges && strings.Contains(query, "wait_ms=") && !strings.Contains(query, "wait_ms=0"):
		return "watch"
	case path == api.PathChanges:
		return "read changes"
	case path == api.PathKeys:
		return "read page"
	}
	return "read key"
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
