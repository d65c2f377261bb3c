package skips

// This file serves requests, or forwards them to a more suitable controller.

import (
	"encoding/json"
	"log/slog"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/skipledger"
)

// HandleRequest answers a message.AdminSkips or message.AdminChangeSkip.
func (s *Service) HandleRequest(c message.AdminRequest) {
	s.requested = true
	if c.What == message.AdminChangeSkip {
		request, err := parseRequest(c)
		if err != nil {
			s.core.RefuseError(c.Req, err)
			return
		}
		s.handleChange(c, request)
		return
	}
	if c.ID == "" {
		s.replyCounts(c)
		return
	}
	s.serveOrForward(c, func() { s.replySkips(c) })
}

// handleChange enqueues a change at the controller that preferably writes for the depot, so that concurrent
// requests share a write. Any controller may write: the conditions of the writes enforce the ledger's rules.
func (s *Service) handleChange(c message.AdminRequest, request *skipledger.Request) {
	s.serveOrForward(c, func() {
		s.forward(c, s.preferredWriter(request.Depot), func() { s.enqueue(c, request) })
	})
}

// serveOrForward calls proceed if this controller reaches the state service, and otherwise forwards the request to
// a controller that does.
func (s *Service) serveOrForward(c message.AdminRequest, proceed func()) {
	if !s.core.StoreUnreachable() {
		proceed()
		return
	}
	s.forward(c, s.deps.Jobs.ForwardTargets(), func() { s.refuseUnreachable(c) })
}

func (s *Service) refuseUnreachable(c message.AdminRequest) {
	s.core.ReplyError(c.Req, 503, "state service not reachable")
}

// preferredWriter returns the owner of the partition of a depot's shard, or none if the owner is this controller or
// seems unreachable.
func (s *Service) preferredWriter(depot skipledger.Depot) []api.ControllerID {
	owner := s.core.State.Partitions[s.shardOf(depot)].Owner
	if owner == s.core.Config.Label || !s.core.IsLive(owner) || !s.deps.Gossip.HasRecentGossip(owner) {
		return nil
	}
	return []api.ControllerID{owner}
}

// forward forwards a request to the first of the given controllers. It calls otherwise if there is none, if the
// request was already forwarded, or if that controller does not answer.
func (s *Service) forward(c message.AdminRequest, to []api.ControllerID, otherwise func()) {
	body, err := json.Marshal(message.AdminRequest{What: c.What, ID: c.ID, Sub: c.Sub, After: c.After, Limit: c.Limit, Body: c.Body})
	if c.Forwarded || len(to) == 0 || err != nil {
		otherwise()
		return
	}
	forward := message.PeerMessage{Forward: &message.Forward{Kind: message.ForwardSkips, Body: body}}
	s.core.CallPeer(to[0], core.PeerForwardTimeout, forward, func(a message.PeerResponse) {
		if a.OK && a.Reply.Status != 0 && a.Reply.Status != 503 {
			s.core.ReplyFromPeer(c.Req, a.Reply)
			return
		}
		otherwise()
	})
}

// enqueue adds a change to the replica's pending requests, or to those that wait for the replica.
func (s *Service) enqueue(c message.AdminRequest, request *skipledger.Request) {
	pending := &skipledger.PendingRequest{
		Request:   request,
		ArrivedAt: s.core.Now,
		Respond:   func(result skipledger.Result) { s.ReplyResult(c.Req, request, result) },
	}
	if s.replica == nil {
		s.pendingRequests = append(s.pendingRequests, pending)
		return
	}
	s.replica.Enqueue(pending)
}

// ReplyResult answers a change with its result.
func (s *Service) ReplyResult(req message.ReqID, request *skipledger.Request, result skipledger.Result) {
	switch result.Reason {
	case "":
		if request.Type != skipledger.OpOffer && request.Type != skipledger.OpAdd {
			slog.Info("skip reservation changed", "what", request.Type, "depot", request.Depot, "skip", result.Skip, "number", result.Booking.ID,
				"state", result.Booking.Stage, "site", result.Booking.Site)
		}
		v := ChangeView{Depot: request.Depot, Skip: result.Skip}
		if result.Booking.ID != 0 {
			booking := viewBooking(&result.Booking)
			v.BookingView = &booking
		}
		s.core.Reply(req, 200, v, 0)
	case skipledger.ReasonNoSuchSkip, skipledger.ReasonNoSuchBooking:
		s.core.ReplyError(req, 404, string(result.Reason))
	case skipledger.ReasonRecordTooLarge:
		s.core.ReplyError(req, 400, string(result.Reason))
	case skipledger.ReasonBusy:
		s.core.ReplyError(req, 503, string(result.Reason))
	default:
		s.core.ReplyError(req, 409, string(result.Reason))
	}
}

// replyCounts answers with the counts of skips in the replica, without a new read.
func (s *Service) replyCounts(c message.AdminRequest) {
	if s.replica == nil {
		s.core.ReplyError(c.Req, 503, "the ledger of skips is being read")
		return
	}
	v := CountsView{Kinds: []skipledger.Counts{}, AgeSeconds: core.RoundToTenth(s.core.Now.Sub(s.readAt).Seconds())}
	for i := range s.core.State.Partitions {
		v.Kinds = append(v.Kinds, s.replica.Shard(i).Count(s.today(), s.today()+1)...)
	}
	s.core.Reply(c.Req, 200, v, 0)
}

// replySkips answers with a page of a depot's skips after a linearizable read.
func (s *Service) replySkips(c message.AdminRequest) {
	s.pendingReads = append(s.pendingReads, ReadWaiter{
		OnRead: func() {
			s.core.Reply(c.Req, 200, s.viewSkips(skipledger.Depot(c.ID), skipledger.SkipID(c.After), max(1, c.Limit)), 0)
		},
		OnFailure: func() { s.refuseUnreachable(c) },
	})
}

// viewSkips returns a page of at most limit skips of a depot, from the first one after a skip.
func (s *Service) viewSkips(depot skipledger.Depot, after skipledger.SkipID, limit int) PageView {
	list, more := s.replica.Shard(s.shardOf(depot)).List(depot, after, limit)
	v := PageView{Skips: []SkipView{}}
	for _, skip := range list {
		view := SkipView{Depot: skip.Depot, Skip: skip.ID, Kind: skip.Kind, OutOfService: skip.OutOfService, Items: []BookingView{}}
		for i := range skip.Bookings {
			view.Items = append(view.Items, viewBooking(&skip.Bookings[i]))
		}
		v.Skips = append(v.Skips, view)
	}
	if more {
		v.After = list[len(list)-1].ID
	}
	return v
}
