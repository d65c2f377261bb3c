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

// This file transports messages between a fleet's controllers and the emulators.

// Maximum numbers of idle connections to one controller.
const (
	userIdleConns  = 64 // from all users
	relayIdleConns = 8  // from the relays
)

// listenAllLoopback listens on one port of all addresses of the loopback interface, and of no other interface.
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

// meteredClient returns a client that counts the bytes of its connections.
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

// maxIdleConns returns the limit on a client's idle connections to all controllers: one for a worker, unlimited
// for other clients.
func maxIdleConns(perController int) int {
	if perController == 1 {
		return 1
	}
	return 0 // unlimited
}

// deliver sends a user's request to a controller.
func (f *Fleet) deliver(name, method, path string, _ message.Caller, body []byte, answer func(int, []byte)) {
	addr := f.sim.configs[name].APIAddr
	f.Traffic.countMessage(FlowUsers)
	go f.forward(f.userClient, method, addr, path, body, answer)
}

// sendHeartbeat sends a worker's heartbeat over the worker's own connection.
func (f *Fleet) sendHeartbeat(wk *Worker, name string, body []byte, answer func(int, []byte)) {
	addr := f.sim.configs[name].APIAddr
	client := f.workerClients[wk.id]
	if client == nil {
		client = f.meteredClient(FlowHeartbeats, 1) // one idle connection, so that a redirect closes the previous one
		f.workerClients[wk.id] = client
	}
	f.Traffic.countMessage(FlowHeartbeats)
	body = f.rewriteWorkerPorts(body, name)
	go f.forward(client, "POST", addr, api.PathHeartbeat, body, answer)
}

// rewriteWorkerPorts replaces the placeholder port in workers' addresses with the port for a controller.
func (f *Fleet) rewriteWorkerPorts(body []byte, name string) []byte {
	return bytes.ReplaceAll(body, []byte(":"+workerPort+`"`), []byte(":"+f.workerPorts[name]+`"`))
}

// serveController serves one controller's requests to an endpoint. Requests and responses pass through the emulated
// network, and handle runs in the simulation.
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

// serveWorkers serves one controller's direct commands to all workers. The local address of a connection identifies
// the worker.
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

// deliverCommand sends a direct command over the emulated network to the worker at addr.
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

// serveRelay forwards messages from one controller to another over the emulated network.
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
