package emulator

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"basaltwall/api"
	"basaltwall/controller/message"
)

// This file carries messages between a fleet's controllers and the emulators.

// Connections that are kept open: to a controller by all users, and by a relay.
const (
	userIdleConns  = 64
	relayIdleConns = 8
)

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
		return nil, fmt.Errorf("emulator: %w", err)
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

// sendHeartbeat carries a worker's heartbeat, over a connection of its own.
func (f *Fleet) sendHeartbeat(wk *Worker, name string, body []byte, answer func(int, []byte)) {
	addr := f.sim.configs[name].APIAddr
	client := f.workerClients[wk.id]
	if client == nil {
		client = f.meteredClient(FlowHeartbeats, 1) // it closes the connection to a controller that redirects it
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

// serveController serves requests of one controller: each passes the emulated network, is handled in the simulation,
// and its answer passes the network back.
func (f *Fleet) serveController(ln net.Listener, flow FlowName, name string, endpoint Endpoint, handle func(r *http.Request, body []byte, answer func(int, []byte))) {
	f.serveHTTP(&meteredListener{ln, f.Traffic, flow}, func(rw http.ResponseWriter, r *http.Request, body []byte) {
		done := make(chan response, 1)
		f.mu.Lock()
		f.sim.transmit(name, endpoint, func() {
			handle(r, body, func(status int, b []byte) {
				f.sim.transmit(name, endpoint, func() { done <- response{status, b} })
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
