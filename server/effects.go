package server

// This file performs the controller's effects: replies to requests, and calls to the key-value store,
// workers, the cloud and other controllers.

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"basaltwall/api"
	"basaltwall/cloud"
	"basaltwall/controller/message"
	"basaltwall/httpx"
	"basaltwall/peer"
	"basaltwall/state"
	"basaltwall/worker"
)

// execute performs an effect. Each outgoing call runs in its own goroutine, and its outcome is queued as
// one command.
func (s *Server) execute(ctx context.Context, effect message.Effect) {
	switch e := effect.(type) {
	case message.Reply:
		s.reply(e)
	case message.StoreCall:
		method, target, body, err := state.Request(e)
		go s.call(ctx, s.config.External.State, method, target, body, err, e.Timeout, func(r httpx.Response, err error) message.Command {
			return state.ParseResponse(e, r, err)
		})
	case message.WorkerCall:
		method, target, body, err := worker.Request(e)
		go s.call(ctx, e.Address, method, target, body, err, e.Timeout, func(r httpx.Response, err error) message.Command {
			return worker.ParseResponse(e, r, err)
		})
	case message.CloudCall:
		method, target, body, err := cloud.Request(e)
		go s.call(ctx, s.config.External.Cloud, method, target, body, err, e.Timeout, func(r httpx.Response, err error) message.Command {
			return cloud.ParseResponse(e, r, err)
		})
	case message.PeerCall:
		method, target, body, err := s.peerEncoder.Request(e)
		go s.call(ctx, s.peerAddress(e.To), method, target, body, err, e.Timeout, func(r httpx.Response, err error) message.Command {
			return peer.ParseReply(e, r, err)
		})
	default:
		slog.Error("unknown effect", "effect", fmt.Sprintf("%T", e))
	}
}

// peerAddress returns the address of another controller, or "" if it is not in the settings.
func (s *Server) peerAddress(label api.ControllerID) string {
	address := ""
	for _, p := range s.config.Peers {
		if p.Label == label {
			address = p.Addr
		}
	}
	return address
}

// call sends a request and queues its outcome as a command. A non-nil err means that the request could
// not be encoded: it is not sent and has the outcome of a request without a response.
func (s *Server) call(ctx context.Context, address, method, target string, body []byte, err error, timeout time.Duration,
	toCommand func(httpx.Response, error) message.Command) {
	var response httpx.Response
	if err == nil {
		response, err = s.httpClient.Do(ctx, address, method, target, body, timeout)
	}
	if err != nil {
		slog.Debug("outgoing call failed", "to", address, "err", err)
	}
	select {
	case s.commands <- toCommand(response, err):
	case <-ctx.Done():
	}
}

// reply sends the response to a pending request; a second reply to the same request is dropped. It may be
// called from any goroutine.
func (s *Server) reply(response message.Reply) {
	origin, ok := s.takePendingRequest(response.Req)
	if !ok {
		return
	}
	if origin.listener != listenPeer {
		s.httpServer.Answer(origin.conn, response.Status, response.Body, response.RetryAfter)
		return
	}
	body, err := peer.Encode(message.PeerReply{Status: response.Status, Body: response.Body, RetryAfter: response.RetryAfter, Log: response.Log})
	if err != nil {
		slog.Error("peer reply could not be encoded", "err", err)
		return
	}
	s.httpServer.Answer(origin.conn, api.StatusOK, body, 0)
}

// addPendingRequest registers a request that awaits its reply and returns the identifier assigned to it.
func (s *Server) addPendingRequest(origin requestOrigin) message.ReqID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReqID++
	s.pendingRequests[s.lastReqID] = origin
	return s.lastReqID
}

// takePendingRequest removes a pending request and returns its origin. It reports false if no such
// request is pending.
func (s *Server) takePendingRequest(id message.ReqID) (requestOrigin, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	origin, ok := s.pendingRequests[id]
	delete(s.pendingRequests, id)
	return origin, ok
}
