package jobs

import (
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// This file forwards requests to peers that reach the state service while this controller
// does not.

// Kinds of forwarded requests, as they are on the wire.
const (
	forwardSubmit = "submit"
	forwardPoll   = "poll"
	forwardCancel = "cancel"
)

// maxForwardAttempts is how many peers a request is forwarded to, one after another.
const maxForwardAttempts = 2

// ForwardTargets are the peers that reach the state service, each time beginning with another
// one: a peer that is slow must not get the same user's request each time.
func (s *Service) ForwardTargets() []api.ControllerID {
	peers := s.siblings.Gossip.PeersThatReachStore()
	if len(peers) == 0 {
		return peers
	}
	first := s.forwardedRequests % len(peers)
	return slices.Concat(peers[first:], peers[:first])
}

// Forward forwards a request to a peer that reaches the state service, and to another if that
// does not answer. A request that was forwarded here is refused instead.
func (s *Service) Forward(req message.ReqID, f message.Forward, forwarded bool) {
	targets := s.ForwardTargets()
	if forwarded || len(targets) == 0 {
		s.refuseWithoutRead(req, "state service not reachable")
		return
	}
	s.forwardedRequests++
	s.forwardTo(req, f, targets[:min(len(targets), maxForwardAttempts)])
}

func (s *Service) forwardTo(req message.ReqID, f message.Forward, targets []api.ControllerID) {
	timeout := core.PeerTimeout
	if len(targets) > 1 {
		timeout = core.PeerForwardTimeout
	}
	s.core.CallPeer(targets[0], timeout, message.PeerMessage{Forward: &f}, func(response message.PeerResponse) {
		switch {
		case response.OK && response.Reply.Status != 0:
			s.core.ReplyFromPeer(req, response.Reply)
		case len(targets) > 1:
			s.forwardTo(req, f, targets[1:])
		default:
			s.refuseWithoutRead(req, "no peer answers")
		}
	})
}

// refuseWithoutRead refuses a request that neither this controller nor a peer can answer.
func (s *Service) refuseWithoutRead(req message.ReqID, reason string) {
	s.core.Metrics.RequestsWithoutRead++
	s.core.ReplyError(req, api.StatusServiceUnavailable, reason)
}

// ShouldForward reports whether a request is better forwarded to a peer at once.
func (s *Service) ShouldForward(forwarded bool) bool {
	return !s.core.Loaded || s.core.StoreUnreachable() && !forwarded && len(s.ForwardTargets()) > 0
}
