package core

// This file holds the outbox: the effects of the current step, replies to requests, and callbacks
// that wait for an answer or for their time.

import (
	"encoding/json"
	"log/slog"
	"time"

	"basaltwall/api"
	"basaltwall/controller/message"
)

// Outbox holds what the controller wants done and what it does once that is done.
type Outbox struct {
	Effects      []message.Effect                      // of the current step, in order
	PendingCalls map[message.CallID]func(response any) // callbacks of the calls that have no response yet
	StoreHealthy bool                                  // the state service's last response was not a failure

	lastCallID        message.CallID
	pendingStoreCalls map[message.CallID]api.Time      // when calls to the state service were made that do not wait for changes
	pendingRequests   map[message.ReqID]pendingRequest // requests whose latency is measured
	deferredCalls     []deferredCall                   // in order of time
	clock             *Clock
	metrics           *Metrics
}

// pendingRequest is a request that has not been answered yet.
type pendingRequest struct {
	Kind      string // the name of its latency in Metrics
	StartedAt api.Time
}

// deferredCall is a callback that is called once its time has come.
type deferredCall struct {
	At       api.Time
	Callback func()
}

// newOutbox returns an empty outbox that tells the time by clock and counts in metrics.
func newOutbox(clock *Clock, metrics *Metrics) Outbox {
	return Outbox{
		PendingCalls:      map[message.CallID]func(any){},
		pendingRequests:   map[message.ReqID]pendingRequest{},
		pendingStoreCalls: map[message.CallID]api.Time{},
		clock:             clock,
		metrics:           metrics,
	}
}

// TrackRequest begins to measure how long a request waits for its reply. The kind is the name of
// the latency in Metrics.
func (o *Outbox) TrackRequest(req message.ReqID, kind string) {
	o.pendingRequests[req] = pendingRequest{Kind: kind, StartedAt: o.clock.Now}
}

// Emit adds an effect to those of the current step. A reply ends the measurement of its request.
func (o *Outbox) Emit(e message.Effect) {
	if reply, ok := e.(message.Reply); ok {
		if pending, ok := o.pendingRequests[reply.Req]; ok {
			delete(o.pendingRequests, reply.Req)
			o.metrics.ObserveLatency(pending.Kind, o.clock.Now.Sub(pending.StartedAt))
		}
	}
	o.Effects = append(o.Effects, e)
}

// TakeEffects returns the effects since it was last called.
func (o *Outbox) TakeEffects() []message.Effect {
	effects := o.Effects
	o.Effects = nil
	return effects
}

// statusInternalError is the status of a reply whose body can't be encoded.
const statusInternalError = 500

// Reply answers a request with a body as JSON. Clients are asked to retry after retryAfter
// seconds, unless it is 0.
func (o *Outbox) Reply(req message.ReqID, status int, body any, retryAfter int) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = statusInternalError, []byte(`{"error":"internal"}`)
	}
	o.Emit(message.Reply{Req: req, Status: status, Body: data, RetryAfter: retryAfter})
}

// ReplyFromPeer answers a request as a peer has answered it.
func (o *Outbox) ReplyFromPeer(req message.ReqID, r message.PeerReply) {
	o.Emit(message.Reply{Req: req, Status: r.Status, Body: r.Body, RetryAfter: r.RetryAfter})
}

// unavailableRetrySeconds is after how many seconds clients are asked to retry what can't be
// answered for the time being.
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

// DeferCall calls back after RetryDelay.
func (o *Outbox) DeferCall(callback func()) {
	o.deferredCalls = append(o.deferredCalls, deferredCall{At: o.clock.Now.Add(RetryDelay), Callback: callback})
}

// RunDeferredCalls calls back what has been deferred until now or earlier. All are deferred by the
// same delay, so the first is always the next.
func (o *Outbox) RunDeferredCalls() {
	for len(o.deferredCalls) > 0 && o.deferredCalls[0].At <= o.clock.Now {
		callback := o.deferredCalls[0].Callback
		o.deferredCalls = o.deferredCalls[1:]
		callback()
	}
}

// CompleteCall hands the response to a call to its callback. A response to a call that is not
// pending is ignored.
func (o *Outbox) CompleteCall(id message.CallID, response any) {
	callback := o.PendingCalls[id]
	if callback == nil {
		return
	}
	delete(o.PendingCalls, id)
	callback(response)
}

// registerCall gives a call its ID and keeps the callback for its response.
func (o *Outbox) registerCall(callback func(response any)) message.CallID {
	o.lastCallID++
	o.PendingCalls[o.lastCallID] = callback
	return o.lastCallID
}

// CallWorker sends commands to the agent at an address, without waiting for its heartbeat.
func (o *Outbox) CallWorker(address string, commands api.CommandBatch, callback func(message.WorkerResponse)) {
	o.metrics.WorkerCalls++
	id := o.registerCall(func(response any) { callback(response.(message.WorkerResponse)) })
	o.Emit(message.WorkerCall{ID: id, Address: address, Commands: commands, Timeout: WorkerTimeout})
}

// CallCloud calls the cloud. The call's ID and timeout are filled in.
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
