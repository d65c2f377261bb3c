package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"basaltwall/api"
	"basaltwall/config"
	"basaltwall/controller/message"
	"basaltwall/internal/testport"
)

// Live runs the emulators in real time on loopback, for controllers that are
// real processes. Its load balancer forwards users' requests to the controllers and
// registers the submitted jobs with the workers and the checker.
type Live struct {
	Configs          []*config.Config
	SettingsFiles    [][]byte // contents of the controllers' settings files
	LoadBalancerAddr string   // address for users' requests

	mu            sync.Mutex
	sim           *Simulation
	client        http.Client
	roundRobin    int
	clockInterval time.Duration // between updates of the simulation's clock
	ctx           context.Context
}

// clockInterval is the interval at which StartLive's clock is advanced to real time.
const clockInterval = 5 * time.Millisecond

// listenLocal listens on a free port on loopback.
func listenLocal() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("emulator: %w", err)
	}
	return l, nil
}

// smallMachineTypes returns a list with one small machine type.
func smallMachineTypes() []api.MachineType {
	return []api.MachineType{{Name: "small", CPUs: 4, MemGB: 16, CacheGB: 20, FetchRate: 1, Price: 1, SpotPrice: 0.4, BootSeconds: 5, Zones: []api.Zone{"a", "b"}}}
}

// StartLive starts the emulators with machines of one small type.
func StartLive(ctx context.Context, controllers, machines int) (*Live, error) {
	l := &Live{ctx: ctx, clockInterval: clockInterval, client: http.Client{Timeout: 4 * time.Second}}
	var listeners []net.Listener
	for range 3 {
		ln, err := listenLocal()
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, ln)
	}
	if err := l.writeSettings(controllers, listeners[0].Addr().String(), listeners[1].Addr().String()); err != nil {
		return nil, err
	}
	l.LoadBalancerAddr = listeners[2].Addr().String()
	sim := NewSimulation(1, l.Configs)
	l.sim = sim
	sim.Cloud.Types = smallMachineTypes()
	sim.Cloud.Capacity = 2 * machines
	sim.Deliver = l.deliver
	workers := map[int]net.Listener{}
	sim.Address = func(number int) string {
		ln, err := listenLocal()
		if err != nil {
			return "127.0.0.1:1" // nothing listens there, so the machine is unreachable
		}
		workers[number] = ln
		return ln.Addr().String()
	}
	sim.OnWorker = func(wk *Worker) {
		for n, ln := range workers {
			if ln.Addr().String() == wk.addr {
				delete(workers, n)
				l.serveWithCopies(ln, EndpointWorkers, func(_, _, _ string, body []byte, answer func(int, []byte)) { wk.handleCommands(body, answer) })
			}
		}
	}
	for i := range machines {
		sim.Cloud.Launch("small", api.Zone([]string{"a", "b"}[i%2]), false, time.Second)
	}
	l.serveWithCopies(listeners[0], EndpointStore, sim.Store.Serve)
	l.serveWithCopies(listeners[1], EndpointCloud, func(_, method, target string, body []byte, answer func(int, []byte)) {
		answer(sim.Cloud.Serve(method, target, body))
	})
	l.serveLoadBalancer(listeners[2])
	go l.followClock()
	return l, nil
}

// reserveAddr reserves a loopback address until the emulators end.
func (l *Live) reserveAddr() (string, error) {
	addr, release, err := testport.Reserve()
	if err != nil {
		return "", fmt.Errorf("emulator: %w", err)
	}
	context.AfterFunc(l.ctx, release)
	return addr, nil
}

// addSettings encodes a controller's settings file and adds it to Configs and SettingsFiles.
func (l *Live) addSettings(file map[string]any) error {
	data, err := json.MarshalIndent(file, "", "  ")
	if err != nil {
		return fmt.Errorf("emulator: %w", err)
	}
	c, err := config.Parse(data)
	if err != nil {
		return fmt.Errorf("emulator: %w", err)
	}
	l.Configs, l.SettingsFiles = append(l.Configs, c), append(l.SettingsFiles, data)
	return nil
}

func (l *Live) writeSettings(controllers int, state, cloud string) error {
	type peer struct{ label, api, peer string }
	var all []peer
	for i := range controllers {
		p := peer{label: "stone-" + strconv.Itoa(i)}
		for _, addr := range []*string{&p.api, &p.peer} {
			var err error
			if *addr, err = l.reserveAddr(); err != nil {
				return err
			}
		}
		all = append(all, p)
	}
	for _, p := range all {
		peers := []map[string]string{}
		for _, o := range all {
			if o != p {
				peers = append(peers, map[string]string{"label": o.label, "domain": "a", "peer_addr": o.peer})
			}
		}
		err := l.addSettings(map[string]any{
			"label": p.label, "domain": "a", "api_addr": p.api, "peer_listen": p.peer, "peers": peers,
			"external": map[string]string{"cloud": cloud, "state": state},
			"deployment": map[string]any{"initial_size": controllers, "zones": []string{"a", "b"},
				"teams": []map[string]any{{"name": "red", "cpus": 8, "cpus_max": 0, "gpus": 0, "gpus_max": 0},
					{"name": "blue", "cpus": 4, "cpus_max": 0, "gpus": 0, "gpus_max": 0}},
				"workers": map[string]float64{"report_s": 3, "lease_s": 30, "gang_wait_s": 30, "gang_peer_s": 5, "cancel_s": 60},
				"state":   map[string]float64{"rps": 500, "write_rps": 200, "value_kb": 8, "txn_ops": 12},
				"cloud":   map[string]float64{"rps": 10, "list_lag_s": 5},
				"limits":  map[string]float64{"cpu_share": 1, "memory_mb": 300, "fd_limit": 1000}},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// followClock advances the simulation's clock to real time until the emulators end.
func (l *Live) followClock() {
	start := time.Now()
	tick := time.NewTicker(l.clockInterval)
	defer tick.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-tick.C:
			l.mu.Lock()
			l.sim.Run(time.Since(start))
			l.mu.Unlock()
		}
	}
}

// InjectFaults calls inject while the simulation does not advance.
func (l *Live) InjectFaults(inject func(*Simulation)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	inject(l.sim)
}

// Violations returns the rule violations that the checker has recorded.
func (l *Live) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.sim.Checker.Violations...)
}

type response struct {
	status int
	body   []byte
}

// requestHandler handles a request in the simulation.
type requestHandler func(controllerName, method, target string, body []byte, answer func(int, []byte))

// serveWithCopies serves requests to an endpoint of the controllers, and copies of them.
func (l *Live) serveWithCopies(ln net.Listener, endpoint Endpoint, handle requestHandler) {
	l.serve(ln, func(controllerName, method, target string, body []byte, answer func(int, []byte)) {
		l.sim.scheduleCopies(endpoint, func() { handle(controllerName, method, target, body, discardResponse) })
		handle(controllerName, method, target, body, answer)
	})
}

// serve serves requests on a listener with a handler that runs in the simulation.
func (l *Live) serve(ln net.Listener, handle requestHandler) {
	l.serveHTTP(ln, func(rw http.ResponseWriter, r *http.Request, body []byte) {
		c := make(chan response, 1)
		l.mu.Lock()
		handle("", r.Method, r.URL.RequestURI(), body, func(status int, b []byte) { c <- response{status, b} })
		l.mu.Unlock()
		l.writeResponse(rw, r, c)
	})
}

// writeResponse waits for a response and writes it, unless the request or the emulators are cancelled first.
func (l *Live) writeResponse(rw http.ResponseWriter, r *http.Request, answer <-chan response) {
	select {
	case a := <-answer:
		rw.WriteHeader(a.status)
		_, _ = rw.Write(a.body)
	case <-r.Context().Done():
	case <-l.ctx.Done():
	}
}

func (l *Live) serveHTTP(ln net.Listener, handle func(http.ResponseWriter, *http.Request, []byte)) {
	s := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
		if err != nil {
			return
		}
		handle(rw, r, body)
	})}
	go func() { _ = s.Serve(ln) }()
	context.AfterFunc(l.ctx, func() { _ = s.Close() })
}

// deliver sends a request to a controller.
func (l *Live) deliver(name, method, path string, _ message.Caller, body []byte, answer func(int, []byte)) {
	go l.forward(&l.client, method, l.sim.configs[name].APIAddr, path, body, answer)
}

// forward sends a request and passes the response, if any, to the simulation.
func (l *Live) forward(client *http.Client, method, addr, path string, body []byte, answer func(int, []byte)) {
	status, b := l.send(client, method, addr, path, "", body)
	if status == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	answer(status, b)
}

// send sends a request. The status is 0 if there is no response.
func (l *Live) send(client *http.Client, method, addr, path, auth string, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(l.ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if auth != "" {
		req.Header.Set("Authorization", auth)
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, b
}

// serveLoadBalancer forwards users' requests to the controllers round-robin, and to the next one if there is no
// response. It registers submitted jobs that carry no credentials.
func (l *Live) serveLoadBalancer(ln net.Listener) {
	l.serveHTTP(ln, func(rw http.ResponseWriter, r *http.Request, body []byte) {
		l.mu.Lock()
		l.roundRobin++
		first := l.roundRobin
		if r.Method == "POST" && r.URL.Path == api.PathJobs && r.Header.Get("Authorization") == "" {
			if s, err := api.ParseJob(body); err == nil && l.sim.Users.specs[s.Ref] == nil {
				l.sim.Users.specs[s.Ref], l.sim.Users.runTimes[s.Ref] = s, api.Seconds(s.Estimate)
				l.sim.Checker.JobSubmitted(l.sim.Now, s, api.Seconds(s.Estimate))
			}
		}
		l.mu.Unlock()
		for i := range l.Configs {
			c := l.Configs[(first+i)%len(l.Configs)]
			if status, b := l.send(&l.client, r.Method, c.APIAddr, r.URL.RequestURI(), r.Header.Get("Authorization"), body); status != 0 {
				rw.Header().Set("Content-Type", "application/json")
				rw.WriteHeader(status)
				_, _ = rw.Write(b)
				return
			}
		}
		rw.WriteHeader(http.StatusBadGateway)
	})
}
