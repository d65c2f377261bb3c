package emulator

import (
	"encoding/json"
	"time"

	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/internal/exactjson"
)

// This file implements the worker's side of the protocol: heartbeats, their responses and direct commands.

func (wk *Worker) heartbeat() api.Heartbeat {
	wk.sequence++
	r := api.Heartbeat{Machine: wk.id, Address: wk.addr, Type: wk.machineType, Zone: wk.zone, Spot: wk.spot, Epoch: wk.incarnation,
		Seq: wk.sequence, Token: wk.fencingToken, Tasks: []api.TaskStatus{}}
	for _, t := range wk.allTasks() {
		r.Tasks = append(r.Tasks, api.TaskStatus{Task: t.name, Attempt: t.attempt, State: t.state, Reason: t.reason, Checkpointed: t.checkpointed})
	}
	return r
}

// sendHeartbeat sends a heartbeat to the worker's controller, and switches to the next controller if there is no
// usable response.
func (wk *Worker) sendHeartbeat() {
	sim := wk.sim
	wk.heartbeatPending, wk.statusChanged = true, false
	wk.nextHeartbeat = sim.Now + time.Duration(float64(sim.configs[sim.controllerNames[0]].HeartbeatInterval())*(0.75+0.5*sim.rand.Float64()))
	sent, incarnation := sim.Now, wk.incarnation
	name := sim.controllerNames[wk.controllerIndex]
	body, err := json.Marshal(wk.heartbeat())
	sim.must(err)
	settled := false
	switchController := func() {
		wk.controllerIndex = (wk.controllerIndex + 1) % len(sim.controllerNames)
		sim.After(time.Second, func() { wk.heartbeatPending = false; wk.nextHeartbeat = 0 })
	}
	if wk.outboundCutUntil > sim.Now {
		switchController()
		return
	}
	sim.After(4*time.Second, func() {
		if !settled {
			settled = true
			switchController()
		}
	})
	if sim.HeldHeartbeatRate > 0 && sim.rand.Float64() < sim.HeldHeartbeatRate {
		sim.heldHeartbeats = append(sim.heldHeartbeats, body)
	}
	transmit := func(callback func()) {
		sim.transmitToZone(name, wk.zone, func() { sim.transmit(name, EndpointWorkers, callback) })
	}
	if sim.StaleHeartbeatRate > 0 && sim.rand.Float64() < sim.StaleHeartbeatRate {
		// A random controller receives a duplicate, up to two leases late.
		delay := 2*time.Second + time.Duration(sim.rand.Int64N(int64(2*sim.configs[name].WorkerLease())))
		to := sim.controllerNames[sim.rand.IntN(len(sim.controllerNames))]
		sim.After(delay, func() { sim.Deliver(to, "POST", api.PathHeartbeat, message.Caller{}, body, discardResponse) })
	}
	transmit(func() {
		sim.SendHeartbeat(wk, name, body, func(status int, answer []byte) {
			wk.transmitReply(answer, transmit, func() {
				if wk.inboundCutUntil > sim.Now {
					return
				}
				if settled || wk.dead || wk.hungUntil > sim.Now {
					return
				}
				settled = true
				switch {
				case status == 200:
					wk.heartbeatPending = false
					wk.applyHeartbeatReply(answer, sent, incarnation)
				case status != 421 || !wk.followRedirect(answer):
					switchController()
				}
			})
		})
	})
}

// transmitReply sends the reply to a heartbeat over the network, late while replies are delayed.
func (wk *Worker) transmitReply(body []byte, transmit func(func()), callback func()) {
	if wk.repliesDelayedUntil > wk.sim.Now {
		wk.failLateLaunch(body)
		wk.sim.After(lateReplyDelay, func() { transmit(callback) })
		return
	}
	transmit(callback)
}

// followRedirect switches to the controller that a redirect names, and reports whether it is another one.
func (wk *Worker) followRedirect(answer []byte) bool {
	var r api.Redirect
	wk.sim.must(exactjson.Decode(answer, &r))
	for i, name := range wk.sim.controllerNames {
		if name == string(r.Owner) && i != wk.controllerIndex {
			wk.controllerIndex, wk.heartbeatPending, wk.nextHeartbeat = i, false, 0
			return true
		}
	}
	return false
}

// applyHeartbeatReply executes the commands in the response to a heartbeat, unless its epoch or fencing token is
// stale.
func (wk *Worker) applyHeartbeatReply(body []byte, sent time.Duration, incarnation api.Epoch) {
	var o api.CommandBatch
	wk.sim.must(exactjson.Decode(body, &o))
	if incarnation != wk.incarnation || o.Token < wk.fencingToken {
		return
	}
	wk.raiseToken(o.Token)
	wk.leaseStart = sent
	wk.executeCommands(o.Commands)
}

// raiseToken records a higher token. It counts as a change at most once per half of the lease.
func (wk *Worker) raiseToken(t api.FencingToken) {
	if t <= wk.fencingToken {
		return
	}
	wk.fencingToken = t
	if wk.sim.Now >= wk.nextTokenChange {
		wk.nextTokenChange = wk.sim.Now + wk.sim.configs[wk.sim.controllerNames[0]].WorkerLease()/2
		wk.statusChanged = true
	}
}

// handleCommands handles a request with direct commands to the worker.
func (wk *Worker) handleCommands(body []byte, answer func(int, []byte)) {
	if wk.dead || wk.inboundCutUntil > wk.sim.Now {
		return
	}
	if wk.commandsDelayedUntil > wk.sim.Now {
		wk.delayedCommands = append(wk.delayedCommands, func() { wk.handleCommands(body, answer) })
		return
	}
	if wk.hungUntil > wk.sim.Now {
		wk.heldCalls = append(wk.heldCalls, func() { wk.handleCommands(body, answer) })
		return
	}
	var o api.CommandBatch
	if exactjson.Decode(body, &o) != nil {
		answer(400, nil)
		return
	}
	status := 409
	if o.Token >= wk.fencingToken && o.Epoch == wk.incarnation {
		status = 200
		wk.raiseToken(o.Token)
		wk.executeCommands(o.Commands)
	}
	writeJSON(answer, status, wk.heartbeat())
}
