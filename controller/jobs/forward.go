package jobs

import (
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// This file forwards requests to peers that reach the state service when this controller does
// not.

// Kinds of forwarded requests on the wire.
const (
	forwardSubmit = "submit"
	forwardPoll   = "poll"
	forwardCancel = "cancel"
)

// maxForwardAttempts is the maximum number of peers that are tried for a request, in sequence.
const maxForwardAttempts = 2

// ForwardTargets returns the peers that reach the state service. It rotates them, so that a retry
// of a request does not go to the same slow peer again.
func (s *Service) ForwardTargets() []api.ControllerID {
	peers := s.deps.Gossip.PeersThatReachStore()
	if len(peers) == 0 {
		return peers
	}
	first := s.forwardedRequests % len(peers)
	return slices.Concat(peers[first:], peers[:first])
}

// Forward forwards a request to a peer that reaches the state service, and to a second peer if the
// first one does not answer. A request that was already forwarded is refused.
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
			s.refuseWithoutRead(req, "state service not reachable, and no peer answered")
		}
	})
}

// refuseWithoutRead refuses a request that neither this controller nor a peer can answer.
func (s *Service) refuseWithoutRead(req message.ReqID, reason string) {
	s.core.Metrics.RequestsWithoutRead++
	s.core.ReplyError(req, api.StatusServiceUnavailable, reason)
}

// ShouldForward reports whether to forward a request to a peer without an attempt to serve it here.
func (s *Service) ShouldForward(forwarded bool) bool {
	return !s.core.Loaded || s.core.StoreUnreachable() && !forwarded && len(s.ForwardTargets()) > 0
}
