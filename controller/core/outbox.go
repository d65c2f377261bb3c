package core

// This file implements the outbox: the effects of the current step, replies to requests, and the
// callbacks of pending and deferred calls.

import (
	"encoding/json"
	"log/slog"
	"time"

	"basaltwall/api"
	"basaltwall/controller/message"
)

// Outbox collects the effects of a controller's steps and keeps the callbacks of its calls.
type Outbox struct {
	Effects      []message.Effect                      // of the current step, in order
	PendingCalls map[message.CallID]func(response any) // callbacks of calls without a response yet
	StoreHealthy bool                                  // the state service's last response was not a failure

	lastCallID        message.CallID
	pendingStoreCalls map[message.CallID]api.Time      // start times of calls to the state service, except watches
	pendingRequests   map[message.ReqID]pendingRequest // requests whose latency is measured
	deferredCalls     []deferredCall                   // in order of time
	clock             *Clock
	metrics           *Metrics
}

// pendingRequest is an unanswered request.
type pendingRequest struct {
	Kind      string // the name of its latency in Metrics
	StartedAt api.Time
}

// deferredCall is a callback with the time at which it is due.
type deferredCall struct {
	At       api.Time
	Callback func()
}

func newOutbox(clock *Clock, metrics *Metrics) Outbox {
	return Outbox{
		PendingCalls:      map[message.CallID]func(any){},
		pendingRequests:   map[message.ReqID]pendingRequest{},
		pendingStoreCalls: map[message.CallID]api.Time{},
		clock:             clock,
		metrics:           metrics,
	}
}

// TrackRequest starts to measure the latency of the reply to a request. The kind is the name of the
// latency in Metrics.
func (o *Outbox) TrackRequest(req message.ReqID, kind string) {
	o.pendingRequests[req] = pendingRequest{Kind: kind, StartedAt: o.clock.Now}
}

// Emit adds an effect to the current step. A reply ends the latency measurement of its request.
func (o *Outbox) Emit(e message.Effect) {
	if reply, ok := e.(message.Reply); ok {
		if pending, ok := o.pendingRequests[reply.Req]; ok {
			delete(o.pendingRequests, reply.Req)
			o.metrics.ObserveLatency(pending.Kind, o.clock.Now.Sub(pending.StartedAt))
		}
	}
	o.Effects = append(o.Effects, e)
}

// TakeEffects returns the effects since the last call and clears them.
func (o *Outbox) TakeEffects() []message.Effect {
	effects := o.Effects
	o.Effects = nil
	return effects
}

// statusInternalError is the status of a reply whose body can't be encoded.
const statusInternalError = 500

// Reply answers a request with a JSON body. Clients are asked to retry after retryAfter seconds,
// unless it is 0.
func (o *Outbox) Reply(req message.ReqID, status int, body any, retryAfter int) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = statusInternalError, []byte(`{"error":"internal"}`)
	}
	o.Emit(message.Reply{Req: req, Status: status, Body: data, RetryAfter: retryAfter})
}

// ReplyFromPeer answers a request with a peer's reply.
func (o *Outbox) ReplyFromPeer(req message.ReqID, r message.PeerReply) {
	o.Emit(message.Reply{Req: req, Status: r.Status, Body: r.Body, RetryAfter: r.RetryAfter})
}

// unavailableRetrySeconds is the delay after which clients are asked to retry a request that is
// refused as temporarily unavailable.
const unavailableRetrySeconds = 1

// ReplyError refuses a request with a reason. Clients are asked to retry soon if the status is
// api.StatusServiceUnavailable.
func (o *Outbox) ReplyError(req message.ReqID, status int, reason string) {
	retryAfter := 0
	if status == api.StatusServiceUnavailable {
		retryAfter = unavailableRetrySeconds
		slog.Debug("request refused, retry later", "reason", reason)
	}
	o.Reply(req, status, api.ErrorBody{Error: reason}, retryAfter)
}

// DeferCall runs a callback after RetryDelay.
func (o *Outbox) DeferCall(callback func()) {
	o.deferredCalls = append(o.deferredCalls, deferredCall{At: o.clock.Now.Add(RetryDelay), Callback: callback})
}

// RepeatRead calls onRead after a linearizable read of the log. A failed read is repeated after RetryDelay
// while needed reports true.
func (o *Outbox) RepeatRead(read func(onRead, onFailure func()), needed func() bool, onRead func()) {
	read(onRead, func() {
		o.DeferCall(func() {
			if needed() {
				o.RepeatRead(read, needed, onRead)
			}
		})
	})
}

// RunDeferredCalls runs the deferred callbacks that are due. All have the same delay, so the first
// is always the next.
func (o *Outbox) RunDeferredCalls() {
	for len(o.deferredCalls) > 0 && o.deferredCalls[0].At <= o.clock.Now {
		callback := o.deferredCalls[0].Callback
		o.deferredCalls = o.deferredCalls[1:]
		callback()
	}
}

// CompleteCall passes the response of a call to its callback. A response to a call that is not
// pending is ignored.
func (o *Outbox) CompleteCall(id message.CallID, response any) {
	callback := o.PendingCalls[id]
	if callback == nil {
		return
	}
	delete(o.PendingCalls, id)
	callback(response)
}

// registerCall assigns an ID to a call and stores the callback for its response.
func (o *Outbox) registerCall(callback func(response any)) message.CallID {
	o.lastCallID++
	o.PendingCalls[o.lastCallID] = callback
	return o.lastCallID
}

// CallWorker sends commands to the agent at an address without waiting for its heartbeat.
func (o *Outbox) CallWorker(address string, commands api.CommandBatch, callback func(message.WorkerResponse)) {
	o.metrics.WorkerCalls++
	id := o.registerCall(func(response any) { callback(response.(message.WorkerResponse)) })
	o.Emit(message.WorkerCall{ID: id, Address: address, Commands: commands, Timeout: WorkerTimeout})
}

// CallCloud calls the cloud. It sets the ID and the timeout of the call.
func (o *Outbox) CallCloud(call message.CloudCall, callback func(message.CloudResponse)) {
	call.ID = o.registerCall(func(response any) { callback(response.(message.CloudResponse)) })
	call.Timeout = CloudTimeout
	o.metrics.CloudRequests++
	o.Emit(call)
}

// CallPeer sends a message to another controller.
func (o *Outbox) CallPeer(to api.ControllerID, timeout time.Duration, m message.PeerMessage, callback func(message.PeerResponse)) {
	id := o.registerCall(func(response any) { callback(response.(message.PeerResponse)) })
	o.Emit(message.PeerCall{ID: id, To: to, Message: m, Timeout: timeout})
}
