// Package emulator emulates everything a controller meets (state
// service, cloud, workers, users and the network between them) on one virtual
// clock, and an independent checker of the rules. The controllers in it are the
// real owners behind the real message adapters.
package emulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"basaltwall/api"
	"basaltwall/cloud"
	"basaltwall/config"
	"basaltwall/controller"
	"basaltwall/controller/message"
	"basaltwall/httpx"
	"basaltwall/peer"
	"basaltwall/state"
	"basaltwall/worker"
)

type event struct {
	at       time.Duration
	seq      int
	callback func()
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// Endpoint is an end of a connection that a cut may part from another.
type Endpoint string

// The sides of a cut: a controller and what it is cut from.
const (
	EndpointStore   Endpoint = "state"
	EndpointWorkers Endpoint = "workers"
	EndpointPeers   Endpoint = "peers"
	EndpointCloud   Endpoint = "cloud"
	EndpointUsers   Endpoint = "users"
)

type linkKey struct {
	controllerName string
	endpoint       Endpoint
}

type networkCut struct {
	holdPackets bool
	heldPackets []func()
}

// Simulation is a deployment on a virtual clock.
type Simulation struct {
	Now     time.Duration
	Checker *Checker
	rand    *rand.Rand
	queue   eventQueue
	seq     int

	configs         map[string]*config.Config
	controllerNames []string
	controllers     map[string]*controllerHost
	linkCuts        map[linkKey]*networkCut
	zoneCuts        map[api.Zone]*networkCut // whose machines are cut off
	// regions are what the zones lie in; nil where all lie in one.
	regions *Regions

	Store              *Store
	Cloud              *Cloud
	workers            map[api.MachineID]*Worker
	workersByAddr      map[string]*Worker
	Users              *Users
	ReservationClients *ReservationClients
	Tenants            *Tenants // nil unless the service is hosted

	// ReplyLossRate makes that share of the key-value store's answers get lost
	// after the request was carried out; TransactionDelayRate that share of requests
	// arrive seconds late, after their sender has given up.
	ReplyLossRate, TransactionDelayRate float64

	// StaleHeartbeatRate is the share of workers' reports of which a copy arrives again.
	StaleHeartbeatRate float64

	// HeldHeartbeatRate is the share of workers' reports of which a copy is kept for the next owner of
	// any partition: it reaches all controllers once a partition has changed hands.
	HeldHeartbeatRate float64
	heldHeartbeats    [][]byte

	// ExtraLatency is what each passage over the network takes longer, by up to twice as much.
	ExtraLatency time.Duration

	// ClockSkew is by how much a controller's wall clock is ahead.
	ClockSkew map[string]time.Duration

	// DirectCommands counts direct calls that reached a worker.
	DirectCommands int

	// Deliver carries a user's request, or a copy of a worker's, to a controller; Report
	// carries a worker's report, whose answer counts. Address
	// names a new machine's address and OnWorker is told when it is up.
	Deliver       func(name, method, path string, caller message.Caller, body []byte, answer func(int, []byte))
	SendHeartbeat func(wk *Worker, name string, body []byte, answer func(int, []byte))
	Address       func(number int) string
	OnWorker      func(*Worker)

	// Stepped, if set, is told what each controller's Step returned, before it is carried out.
	Stepped func(name string, effects []message.Effect)

	gangs         map[gangKey]*gang
	savedProgress map[api.JobID]time.Duration
}

type controllerHost struct {
	name           string
	controller     *controller.Controller
	incarnation    int
	pendingReplies map[message.ReqID]func(message.Reply)
	lastRequest    message.ReqID
	inbox          []message.Command
	stepScheduled  bool
	startedAt      time.Duration

	frozenUntil time.Duration // stands still until then
}

// WallTime is the wall clock by true time; a controller's is off by what Skew says.
func (sim *Simulation) WallTime() api.WallTime {
	return api.WallTime(1_000_000 + sim.Now.Milliseconds())
}

// NewSimulation builds a deployment; StartControllers starts its controllers.
func NewSimulation(seed uint64, configs []*config.Config) *Simulation {
	sim := &Simulation{
		rand: rand.New(rand.NewPCG(seed, 7)), configs: map[string]*config.Config{}, controllers: map[string]*controllerHost{},
		linkCuts: map[linkKey]*networkCut{}, zoneCuts: map[api.Zone]*networkCut{}, workers: map[api.MachineID]*Worker{}, workersByAddr: map[string]*Worker{}, gangs: map[gangKey]*gang{},
		savedProgress: map[api.JobID]time.Duration{},
	}
	sim.Checker = NewChecker(configs[0])
	sim.Store = newStore(sim)
	sim.Cloud = newCloud(sim)
	sim.Users = newUsers(sim)
	sim.ReservationClients = newReservationClients(sim)
	for _, c := range configs {
		sim.configs[string(c.Label)] = c
		sim.controllerNames = append(sim.controllerNames, string(c.Label))
	}
	sim.Deliver = sim.deliverRequest
	sim.SendHeartbeat = func(_ *Worker, name string, body []byte, answer func(int, []byte)) {
		sim.Deliver(name, "POST", api.PathHeartbeat, message.Caller{}, body, answer)
	}
	sim.Address = func(number int) string { return fmt.Sprintf("10.1.0.%d:9000", number) }
	sim.OnWorker = func(*Worker) {}
	return sim
}

// StartControllers starts the controllers.
func (sim *Simulation) StartControllers() {
	for _, name := range sim.controllerNames {
		sim.StartController(name)
	}
}

// After schedules an event.
func (sim *Simulation) After(d time.Duration, callback func()) {
	sim.seq++
	heap.Push(&sim.queue, event{sim.Now + d, sim.seq, callback})
}

// Run plays until the given time.
func (sim *Simulation) Run(until time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		e := heap.Pop(&sim.queue).(event)
		sim.Now = e.at
		e.callback()
	}
	sim.Now = until
}

func (sim *Simulation) latency() time.Duration {
	d := time.Duration(500+sim.rand.IntN(1500)) * time.Microsecond
	if sim.ExtraLatency > 0 {
		d += time.Duration(sim.rand.Int64N(2 * int64(sim.ExtraLatency)))
	}
	return d
}

// StartController starts a controller with nothing in its memory.
func (sim *Simulation) StartController(name string) {
	incarnation := 1
	if old := sim.controllers[name]; old != nil {
		incarnation = old.incarnation + 1
	}
	h := &controllerHost{name: name, incarnation: incarnation, pendingReplies: map[message.ReqID]func(message.Reply){}, startedAt: sim.Now,
		controller: controller.New(sim.configs[name], int64(sim.Now)+int64(incarnation))}
	sim.controllers[name] = h
	sim.tickController(h)
}

// CrashController ends a controller and starts it again later.
func (sim *Simulation) CrashController(name string, downtime time.Duration) {
	h := sim.controllers[name]
	if h == nil || h.controller == nil {
		return
	}
	h.controller = nil
	sim.Checker.FaultUntil(sim.Now + downtime)
	sim.After(downtime, func() { sim.StartController(name) })
}

func (sim *Simulation) tickController(h *controllerHost) {
	if h.controller == nil || sim.controllers[h.name] != h {
		return
	}
	sim.stepController(h)
	sim.After(controller.TickInterval, func() { sim.tickController(h) })
}

func (sim *Simulation) enqueueCommand(h *controllerHost, c message.Command) {
	if h.controller == nil || sim.controllers[h.name] != h {
		return
	}
	h.inbox = append(h.inbox, c)
	if !h.stepScheduled {
		h.stepScheduled = true
		sim.After(0, func() { sim.stepController(h) })
	}
}

// FreezeController makes a controller stand still while its clocks run on: what reaches it waits.
func (sim *Simulation) FreezeController(name string, length time.Duration) {
	h := sim.controllers[name]
	if h == nil || h.controller == nil {
		return
	}
	h.frozenUntil = sim.Now + length
	sim.Checker.FaultUntil(h.frozenUntil)
	sim.After(length, func() { sim.stepController(h) })
}

func (sim *Simulation) stepController(h *controllerHost) {
	if h.controller == nil || sim.controllers[h.name] != h {
		return
	}
	if sim.Now < h.frozenUntil {
		h.stepScheduled = false
		return
	}
	cmds := h.inbox
	h.inbox, h.stepScheduled = nil, false
	effects := h.controller.Step(api.Time(sim.Now-h.startedAt)+1, sim.WallTime()+api.WallTime(sim.ClockSkew[h.name].Milliseconds()), cmds)
	if sim.Stepped != nil {
		sim.Stepped(h.name, effects)
	}
	for _, e := range effects {
		sim.performEffect(h, e)
	}
}

// performEffect carries out an effect through the real adapters.
func (sim *Simulation) performEffect(h *controllerHost, e message.Effect) {
	switch e := e.(type) {
	case message.Reply:
		if answer := h.pendingReplies[e.Req]; answer != nil {
			delete(h.pendingReplies, e.Req)
			answer(e)
		}
	case message.StoreCall:
		method, target, body, err := state.Request(e)
		sim.must(err)
		loseReply := e.Txn != nil && sim.rand.Float64() < sim.ReplyLossRate
		var extraDelay time.Duration
		if e.Txn != nil && sim.rand.Float64() < sim.TransactionDelayRate {
			extraDelay = time.Duration(1+sim.rand.IntN(20)) * time.Second
		}
		sim.roundTrip(h, EndpointStore, extraDelay, e.Timeout, func(answer func(int, []byte)) {
			sim.Store.Serve(h.name, method, target, body, func(status int, body []byte) {
				if !loseReply {
					answer(status, body)
				}
			})
		}, func(r httpx.Response, err error) message.Command { return state.ParseResponse(e, r, err) })
	case message.CloudCall:
		method, target, body, err := cloud.Request(e)
		sim.must(err)
		sim.roundTrip(h, EndpointCloud, 100*time.Millisecond, e.Timeout, func(answer func(int, []byte)) {
			answer(sim.Cloud.Serve(method, target, body))
		}, func(r httpx.Response, err error) message.Command { return cloud.ParseResponse(e, r, err) })
	case message.WorkerCall:
		_, _, body, err := worker.Request(e)
		sim.must(err)
		sim.roundTrip(h, EndpointWorkers, 0, e.Timeout, func(answer func(int, []byte)) {
			sim.DirectCommands++
			if wk := sim.workersByAddr[e.Address]; wk != nil {
				sim.transmitToZone(h.name, wk.zone, func() {
					wk.handleCommands(body, func(status int, body []byte) { sim.transmitToZone(h.name, wk.zone, func() { answer(status, body) }) })
				})
			}
		}, func(r httpx.Response, err error) message.Command { return worker.ParseResponse(e, r, err) })
	case message.PeerCall:
		sim.callPeer(h, e)
	default:
		panic(fmt.Sprintf("emulator: effect %T", e))
	}
}

// callPeer carries a message to another controller and its reply back.
func (sim *Simulation) callPeer(h *controllerHost, e message.PeerCall) {
	_, _, body, err := peer.Request(e)
	sim.must(err)
	sim.roundTrip(h, EndpointPeers, 0, e.Timeout, func(answer func(int, []byte)) {
		to := sim.controllers[string(e.To)]
		if to.controller == nil || sim.linkCuts[linkKey{to.name, EndpointPeers}] != nil || sim.cutBetween(sim.configs[h.name].Zone, sim.configs[to.name].Zone) != nil {
			return
		}
		m, err := peer.ParseMessage(body)
		sim.must(err)
		sim.callControllerReply(to, func(req message.ReqID) message.Command {
			return peer.Command(m, req, func(b []byte) message.Command {
				r, err := worker.ParseHeartbeat(b)
				sim.must(err)
				return message.WorkerHeartbeat{Req: req, Heartbeat: r, Body: b, Forwarded: true}
			})
		}, func(e message.Reply) {
			data, err := peer.Encode(message.PeerReply{Status: e.Status, Body: e.Body, RetryAfter: e.RetryAfter, Log: e.Log})
			sim.must(err)
			answer(200, data)
		})
	}, func(r httpx.Response, err error) message.Command { return peer.ParseReply(e, r, err) })
}

func (sim *Simulation) must(err error) {
	if err != nil {
		panic(fmt.Sprintf("emulator: %v", err))
	}
}

// callController gives a controller a request and passes its answer on.
func (sim *Simulation) callController(h *controllerHost, command func(message.ReqID) message.Command, answer func(int, []byte)) {
	sim.callControllerReply(h, command, func(e message.Reply) { answer(e.Status, e.Body) })
}

func (sim *Simulation) callControllerReply(h *controllerHost, command func(message.ReqID) message.Command, answer func(message.Reply)) {
	if h.controller == nil {
		return
	}
	h.lastRequest++
	h.pendingReplies[h.lastRequest] = answer
	sim.enqueueCommand(h, command(h.lastRequest))
}

type timeoutError struct{}

func (timeoutError) Error() string { return "no answer" }

// roundTrip carries a request from a controller across the network and its answer
// back, exactly one command in the end. A cut may hold packets and deliver them
// when it ends, though the sender has given up.
func (sim *Simulation) roundTrip(h *controllerHost, side Endpoint, extraDelay, timeout time.Duration, serve func(answer func(int, []byte)),
	answer func(httpx.Response, error) message.Command) {
	settled := false
	settle := func(r httpx.Response, err error) {
		if !settled {
			settled = true
			sim.enqueueCommand(h, answer(r, err))
		}
	}
	sim.After(timeout, func() { settle(httpx.Response{}, timeoutError{}) })
	deliver := func() {
		serve(func(status int, body []byte) {
			sim.transmit(h.name, side, func() { settle(httpx.Response{Status: status, Body: body}, nil) })
		})
	}
	sim.After(extraDelay, func() { sim.transmit(h.name, side, deliver) })
}

// transmit does something one network latency later, unless a cut is in the way. State
// service, cloud and users belong to no zone: a controller whose zone is cut off reaches
// none of them.
func (sim *Simulation) transmit(controllerName string, side Endpoint, callback func()) {
	outside := side != EndpointWorkers && side != EndpointPeers // what belongs to no zone
	zone := sim.configs[controllerName].Zone
	delay := sim.latency()
	if outside {
		delay += sim.regions.extraLatency(zone, "")
	}
	sim.After(delay, func() {
		c := sim.linkCuts[linkKey{controllerName, side}]
		if c == nil && outside {
			if c = sim.zoneCuts[zone]; c == nil {
				c = sim.regions.cutBetween(zone, "")
			}
		}
		c.deliver(callback)
	})
}

// deliver does something, or keeps or drops it where there is a cut.
func (c *networkCut) deliver(callback func()) {
	switch {
	case c == nil:
		callback()
	case c.holdPackets:
		c.heldPackets = append(c.heldPackets, callback)
	}
}

// cutBetween is the cut between two zones, nil if there is none. A zone that is cut off
// goes on inside.
func (sim *Simulation) cutBetween(a, b api.Zone) *networkCut {
	if a == b {
		return nil
	}
	if c := sim.zoneCuts[a]; c != nil {
		return c
	}
	if c := sim.zoneCuts[b]; c != nil {
		return c
	}
	return sim.regions.cutBetween(a, b)
}

// transmitToZone does something that passes between a controller and a machine in a zone.
func (sim *Simulation) transmitToZone(controllerName string, zone api.Zone, callback func()) {
	pass := func() { sim.cutBetween(sim.configs[controllerName].Zone, zone).deliver(callback) }
	if d := sim.regions.extraLatency(sim.configs[controllerName].Zone, zone); d > 0 {
		sim.After(d, pass)
		return
	}
	pass()
}

// CutZone cuts a zone off for a while, its machines and the controllers in it; with
// hold, packets are delivered when it ends.
func (sim *Simulation) CutZone(zone api.Zone, length time.Duration, hold bool) {
	if sim.zoneCuts[zone] != nil {
		return
	}
	sim.zoneCuts[zone] = sim.startCut(length, hold, func() { delete(sim.zoneCuts, zone) })
}

// startCut is a cut that is mended after a while: then what it holds is delivered.
func (sim *Simulation) startCut(length time.Duration, hold bool, restore func()) *networkCut {
	c := &networkCut{holdPackets: hold}
	sim.Checker.FaultUntil(sim.Now + length)
	sim.After(length, func() {
		restore()
		for _, callback := range c.heldPackets {
			sim.After(sim.latency(), callback)
		}
	})
	return c
}

// deliverHeldHeartbeats has the reports that were kept reach all controllers, in the moment in which a
// part's new owner has its answer.
func (sim *Simulation) deliverHeldHeartbeats() {
	for i, body := range sim.heldHeartbeats {
		for _, name := range sim.controllerNames {
			sim.After(sim.latency()+time.Duration(i%3)*time.Millisecond, func() {
				sim.Deliver(name, "POST", api.PathHeartbeat, message.Caller{}, body, func(int, []byte) {})
			})
		}
	}
	sim.heldHeartbeats = nil
}

// CutLink partitions a controller from one side for a while; with hold, packets are
// delivered when it ends.
func (sim *Simulation) CutLink(controllerName string, side Endpoint, length time.Duration, hold bool) {
	k := linkKey{controllerName, side}
	if sim.linkCuts[k] != nil {
		return
	}
	sim.linkCuts[k] = sim.startCut(length, hold, func() { delete(sim.linkCuts, k) })
}

// MachinesAboveToken counts the machines that are up, and those that have seen a token above the given
// one; highest is the highest that any has seen.
func (sim *Simulation) MachinesAboveToken(since api.FencingToken) (above, total int, highest api.FencingToken) {
	for _, wk := range sim.workers {
		total++
		if wk.fencingToken > since {
			above++
		}
		highest = max(highest, wk.fencingToken)
	}
	return above, total, highest
}
