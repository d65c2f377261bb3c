package emulator

import (
	"fmt"
	"time"

	"basaltwall/api"
	"basaltwall/cloud"
	"basaltwall/controller"
	"basaltwall/controller/message"
	"basaltwall/httpx"
	"basaltwall/peer"
	"basaltwall/state"
	"basaltwall/worker"
)

// This file steps the controllers and executes their effects through the real adapters.

type controllerHost struct {
	name           string
	controller     *controller.Controller
	incarnation    int
	pendingReplies map[message.ReqID]func(message.Reply)
	lastRequest    message.ReqID
	inbox          []message.Command
	stepScheduled  bool
	startedAt      time.Duration

	frozenUntil time.Duration // when the pause of the process ends
}

// StartControllers starts all controllers of the deployment.
func (sim *Simulation) StartControllers() {
	for _, name := range sim.controllerNames {
		sim.StartController(name)
	}
}

// StartController starts a controller as a new process, without in-memory state.
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

// CrashController crashes a controller and restarts it after the downtime.
func (sim *Simulation) CrashController(name string, downtime time.Duration) {
	h := sim.controllers[name]
	if h == nil || h.controller == nil {
		return
	}
	h.controller = nil
	sim.Checker.RecordFaultUntil(sim.Now + downtime)
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

// FreezeController pauses a controller's process. Its clocks advance, and incoming commands are queued.
func (sim *Simulation) FreezeController(name string, length time.Duration) {
	h := sim.controllers[name]
	if h == nil || h.controller == nil {
		return
	}
	h.frozenUntil = sim.Now + length
	sim.Checker.RecordFaultUntil(h.frozenUntil)
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
	if sim.OnStep != nil {
		sim.OnStep(h.name, effects)
	}
	for _, e := range effects {
		sim.performEffect(h, e)
	}
}

// performEffect executes an effect through the real adapters.
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
		repeated := sim.RepeatedCommandRate > 0 && sim.rand.Float64() < sim.RepeatedCommandRate
		if repeated {
			sim.delayCopy(h.name, e.Address, body)
		}
		sim.roundTrip(h, EndpointWorkers, 0, e.Timeout, func(answer func(int, []byte)) {
			sim.DirectCommands++
			if wk := sim.workersByAddr[e.Address]; wk != nil {
				sim.transmitToZone(h.name, wk.zone, func() {
					wk.handleCommands(body, func(status int, body []byte) { sim.transmitToZone(h.name, wk.zone, func() { answer(status, body) }) })
				})
			}
		}, func(r httpx.Response, err error) message.Command {
			r.Repeated = repeated
			return worker.ParseResponse(e, r, err)
		})
	case message.PeerCall:
		sim.callPeer(h, e)
	default:
		panic(fmt.Sprintf("emulator: unknown effect type %T", e))
	}
}

// maxCopyDelay bounds the delay after which the first copy of a repeated direct command arrives.
const maxCopyDelay = 20 * time.Second

// delayCopy delivers the first copy of a repeated direct command late. Nobody receives the response.
func (sim *Simulation) delayCopy(controllerName, address string, body []byte) {
	delay := time.Second + time.Duration(sim.rand.Int64N(int64(maxCopyDelay-time.Second)))
	sim.Checker.RecordFaultUntil(sim.Now + delay)
	sim.After(delay, func() {
		if wk := sim.workersByAddr[address]; wk != nil {
			sim.transmitToZone(controllerName, wk.zone, func() { wk.handleCommands(body, discardResponse) })
		}
	})
}

// callPeer sends a message to another controller and returns its reply to the sender.
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

// callController sends a command to a controller and calls answer with the status and body of its reply.
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
