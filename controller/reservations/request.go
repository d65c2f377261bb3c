package reservations

// This file answers requests, or passes them on to the controller that answers them best.

import (
	"encoding/json"
	"log/slog"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/reservation"
)

// HandleRequest answers a message.AdminReservations or message.AdminChangeReservation.
func (s *Service) HandleRequest(c message.AdminRequest) {
	s.requested = true
	if c.What == message.AdminChangeReservation {
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
	s.whereReachable(c, func() { s.replySkips(c) })
}

// handleChange has a change written. One controller writes for a depot in usual times, so that what is asked at
// once shares a write. It may be any: the ledger's rules rest on the writes' conditions.
func (s *Service) handleChange(c message.AdminRequest, request *reservation.Request) {
	s.whereReachable(c, func() {
		s.forward(c, s.writerOf(request.Depot), func() { s.enqueue(c, request) })
	})
}

// whereReachable goes on here if the state service is reachable from here, and otherwise has another controller
// answer.
func (s *Service) whereReachable(c message.AdminRequest, proceed func()) {
	if !s.core.StoreUnreachable() {
		proceed()
		return
	}
	s.forward(c, s.siblings.Jobs.ForwardTargets(), func() { s.refuseUnreachable(c) })
}

func (s *Service) refuseUnreachable(c message.AdminRequest) {
	s.core.ReplyError(c.Req, 503, "state service not reachable")
}

// writerOf is the controller that writes for a depot: the owner of its shard's partition, if that is another and
// seems to live.
func (s *Service) writerOf(depot reservation.Depot) []api.ControllerID {
	owner := s.core.State.Partitions[s.shardOf(depot)].Owner
	if owner == s.core.Config.Label || !s.core.IsLive(owner) || !s.siblings.Gossip.HeardRecently(owner) {
		return nil
	}
	return []api.ControllerID{owner}
}

// forward has the first of some controllers answer a request. If there is none, if the request was passed on
// already or if that controller has no answer, it goes on otherwise.
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

// enqueue has a change wait for the next write, or for the replica.
func (s *Service) enqueue(c message.AdminRequest, request *reservation.Request) {
	pending := &reservation.PendingRequest{
		Request:   request,
		ArrivedAt: s.core.Now,
		Respond:   func(result reservation.Result) { s.ReplyResult(c.Req, request, result) },
	}
	if s.replica == nil {
		s.pendingRequests = append(s.pendingRequests, pending)
		return
	}
	s.replica.Enqueue(pending)
}

// ReplyResult answers a change with what became of it.
func (s *Service) ReplyResult(req message.ReqID, request *reservation.Request, result reservation.Result) {
	switch result.Reason {
	case "":
		if request.Type != reservation.OpOffer && request.Type != reservation.OpAdd {
			slog.Info("skip reservation changed", "what", request.Type, "depot", request.Depot, "skip", result.Skip, "number", result.Booking.ID,
				"state", result.Booking.Stage, "site", result.Booking.Site)
		}
		v := ChangeView{Depot: request.Depot, Skip: result.Skip}
		if result.Booking.ID != 0 {
			booking := viewBooking(&result.Booking)
			v.BookingView = &booking
		}
		s.core.Reply(req, 200, v, 0)
	case reservation.ReasonNoSuchSkip, reservation.ReasonNoSuchBooking:
		s.core.ReplyError(req, 404, string(result.Reason))
	case reservation.ReasonRecordTooLarge:
		s.core.ReplyError(req, 400, string(result.Reason))
	case reservation.ReasonBusy:
		s.core.ReplyError(req, 503, string(result.Reason))
	default:
		s.core.ReplyError(req, 409, string(result.Reason))
	}
}

// replyCounts counts skips by what was last read.
func (s *Service) replyCounts(c message.AdminRequest) {
	if s.replica == nil {
		s.core.ReplyError(c.Req, 503, "the ledger of skips is being read")
		return
	}
	v := CountsView{Kinds: []reservation.Counts{}, AgeSeconds: core.RoundToTenth(s.core.Now.Sub(s.readAt).Seconds())}
	for i := range s.core.State.Partitions {
		v.Kinds = append(v.Kinds, s.replica.Shard(i).Count(s.today(), s.today()+1)...)
	}
	s.core.Reply(c.Req, 200, v, 0)
}

// replySkips shows a page of a depot's skips, by a read that begins after the question came.
func (s *Service) replySkips(c message.AdminRequest) {
	s.pendingReads = append(s.pendingReads, ReadWaiter{
		OnRead: func() {
			s.core.Reply(c.Req, 200, s.viewSkips(reservation.Depot(c.ID), reservation.SkipID(c.After), max(1, c.Limit)), 0)
		},
		OnFailure: func() { s.refuseUnreachable(c) },
	})
}

// viewSkips is a page of at most limit skips of a depot that come after one.
func (s *Service) viewSkips(depot reservation.Depot, after reservation.SkipID, limit int) SkipsView {
	list, more := s.replica.Shard(s.shardOf(depot)).List(depot, after, limit)
	v := SkipsView{Skips: []SkipView{}}
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
