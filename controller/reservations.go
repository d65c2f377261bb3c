package controller

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"
	"unicode"
	"unicode/utf8"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/reservation"
	"basaltwall/tenant"
)

// ReservationService keeps the ledger of reservations.
type ReservationService struct {
	core *core.Core
	c    *Controller

	reservationLedger reservationLedger
}

// What the ledger of skips may use, so that scheduling never waits for it: a fifth of the
// writes, which submissions leave while it is used, and a sixth of the requests (lookGap).
const (
	ledgerWriteShare   = 0.2
	ledgerActiveWindow = 10 * time.Second
	// ledgerRequestTimeout is how long a request waits for its outcome: less than who asks does.
	ledgerRequestTimeout = 4 * time.Second
	// ledgerMaxReadAge is how old a read may be that an answer rests on: whoever stood still since
	// then has to read again.
	ledgerMaxReadAge = 2 * time.Second
	// ledgerReadInterval keeps a ledger that nobody asks for within what the log reaches back.
	ledgerReadInterval    = 20 * time.Second
	ledgerCompactInterval = 5 * time.Second

	ledgerSweepInterval = 10 * time.Minute
)

// reservationLedger is what a controller has of the skips; nothing before somebody asks for one.
type reservationLedger struct {
	replica         *reservation.Ledger // nil: not read
	requested       bool
	loadedPairs     []api.KeyValue // while it is being read
	resumeLoad      func()         // goes on with that; nil: from the beginning
	busy            bool           // a read is under way
	nextReadAt      api.Time       // no read before
	readAt          api.Time
	compactedAt     api.Time
	wroteAt         api.Time
	writeTokens     float64 // writes
	writeTokensAt   api.Time
	pendingRequests []*reservation.PendingRequest // until it is read
	pendingLists    []readWaiter                  // that wait for a current read
	staleShards     []bool                        // by shard: its record's condition failed, and the log has to be read
	sweptAt         api.Time
	sweeping        bool
}

// Skips asks, as the administration API has them.
type (
	// SkipView is a skip with what holds it; SkipItem an offer or a promise.
	SkipView struct {
		Depot        reservation.Depot  `json:"depot"`
		Skip         reservation.SkipID `json:"skip"`
		Kind         reservation.Kind   `json:"kind"`
		OutOfService bool               `json:"out_of_service,omitempty"`
		Items        []SkipItem         `json:"items"`
	}
	SkipItem struct {
		Number    reservation.BookingID      `json:"number"`
		Name      reservation.IdempotencyKey `json:"name"`
		Stage     reservation.Stage          `json:"state"`
		Site      reservation.Site           `json:"site,omitempty"`
		From      string                     `json:"from"`
		To        string                     `json:"to"`
		ExpiresAt api.WallTime               `json:"until,omitempty"` // of an offer, in milliseconds since 1970
	}
	// SkipResult is what became of a request: the skip and, if it is about one, the offer or
	// promise.
	SkipResult struct {
		Depot reservation.Depot  `json:"depot"`
		Skip  reservation.SkipID `json:"skip,omitempty"`
		*SkipItem
	}
	// SkipsView is a page of a depot's skips. After is what to ask for next, empty at the end.
	SkipsView struct {
		Skips []SkipView         `json:"skips"`
		After reservation.SkipID `json:"after,omitempty"`
	}
	// SkipCountsView counts skips by depot and kind, for today: about, as it may be old.
	SkipCountsView struct {
		Kinds      []reservation.Counts `json:"kinds"`
		AgeSeconds float64              `json:"about_s_old"`
	}
	skipRequestBody struct {
		Name   reservation.IdempotencyKey `json:"name"`
		Skip   reservation.SkipID         `json:"skip"`
		Kind   reservation.Kind           `json:"kind"`
		Number reservation.BookingID      `json:"number"`
		Site   reservation.Site           `json:"site"`
		From   string                     `json:"from"`
		To     string                     `json:"to"`
		For    *float64                   `json:"for_s"`
		Skips  []struct {
			Skip reservation.SkipID `json:"skip"`
			Kind reservation.Kind   `json:"kind"`
		} `json:"skips"`
	}
)

// Bounds of what may be asked.
const (
	maxSkipText         = 40
	maxSkipDays         = 400
	maxSkipsPerImport   = 60
	defaultOfferSeconds = 300.0
	maxOfferSeconds     = 3600.0
)

// skipOperations are the changes by the last word of their path.
var skipOperations = map[string]reservation.OpType{"offer": reservation.OpOffer, "promise": reservation.OpPromise, "release": reservation.OpRelease, "deliver": reservation.OpDeliver,
	"return": reservation.OpReturn, "out": reservation.OpOutOfService, "in": reservation.OpInService, "import": reservation.OpAdd}

// parseSkipRequest reads a change; the error names the field.
func parseSkipRequest(c message.AdminRequest) (*reservation.Request, error) {
	invalidField := func(field, why string) error { return &tenant.Error{Status: 400, Field: field, Reason: why} }
	checkText := func(field, s string, most int) error {
		if s == "" || len(s) > most || !utf8.ValidString(s) {
			return invalidField(field, fmt.Sprintf("must be given, and %d bytes at most", most))
		}
		for _, request := range s {
			if !unicode.IsPrint(request) {
				return invalidField(field, "must be printable")
			}
		}
		return nil
	}
	var body skipRequestBody
	if err := decodeRequest(c.Body, &body); err != nil {
		return nil, err
	}
	request := &reservation.Request{Type: skipOperations[c.Sub], Depot: reservation.Depot(c.ID), Key: body.Name, Skip: body.Skip, Kind: body.Kind, Booking: body.Number, Site: body.Site}
	if err := checkText("depot", c.ID, maxSkipText); err != nil {
		return nil, err
	}
	switch request.Type {
	case reservation.OpAdd:
		if len(body.Skips) == 0 || len(body.Skips) > maxSkipsPerImport {
			return nil, invalidField("skips", fmt.Sprintf("1 to %d at a time", maxSkipsPerImport))
		}
		for i, s := range body.Skips {
			if err := checkText(fmt.Sprintf("skips[%d].skip", i), string(s.Skip), maxSkipText); err != nil {
				return nil, err
			}
			if err := checkText(fmt.Sprintf("skips[%d].kind", i), string(s.Kind), maxSkipText); err != nil {
				return nil, err
			}
			request.Skips = append(request.Skips, reservation.Skip{ID: s.Skip, Kind: s.Kind})
		}
		return request, nil
	case reservation.OpOffer, reservation.OpPromise:
		if err := checkText("name", string(body.Name), maxSkipText); err != nil {
			return nil, err
		}
		if request.Type == reservation.OpPromise {
			if err := checkText("site", string(body.Site), maxSkipText); err != nil {
				return nil, err
			}
		} else if body.Site != "" || body.Number != 0 {
			return nil, invalidField("site", "an offer is for no site and of no number yet")
		}
	}
	if request.Type != reservation.OpOffer && request.Type != reservation.OpPromise || request.Booking != 0 {
		if err := checkText("skip", string(body.Skip), maxSkipText); err != nil {
			return nil, err
		}
		if request.Booking == 0 && request.Type != reservation.OpOutOfService && request.Type != reservation.OpInService {
			return nil, invalidField("number", "must name the offer or promise that is changed")
		}
		return request, nil
	}
	if (body.Skip == "") == (body.Kind == "") {
		return nil, invalidField("kind", "either a kind or a skip must be given")
	}
	if len(body.Skip) > maxSkipText || len(body.Kind) > maxSkipText {
		return nil, invalidField("kind", "too long")
	}
	var err error
	if request.From, err = reservation.ParseDay(body.From); err != nil {
		return nil, invalidField("from", err.Error())
	}
	if request.To, err = reservation.ParseDay(body.To); err != nil {
		return nil, invalidField("to", err.Error())
	}
	if request.To <= request.From || request.To > request.From+maxSkipDays {
		return nil, invalidField("to", fmt.Sprintf("must be after from, by %d days at most", maxSkipDays))
	}
	seconds := defaultOfferSeconds
	if body.For != nil {
		seconds = *body.For
	}
	if seconds < 1 || seconds > maxOfferSeconds {
		return nil, invalidField("for_s", fmt.Sprintf("must be between 1 and %.0f", maxOfferSeconds))
	}
	request.OfferDuration = api.Seconds(seconds)
	return request, nil
}

// HandleSkipsRequest answers what is asked of the skips.
func (rv *ReservationService) HandleSkipsRequest(c message.AdminRequest) {
	l := &rv.reservationLedger
	l.requested = true
	if c.What == "skips" && c.ID == "" {
		rv.countSkips(c)
		return
	}
	var request *reservation.Request
	if c.What == "skips-do" {
		var err error
		if request, err = parseSkipRequest(c); err != nil {
			rv.c.tenancy.RefuseError(c.Req, err)
			return
		}
	}
	forwardTo := func(to []api.ControllerID, then func()) {
		body, err := json.Marshal(message.AdminRequest{What: c.What, ID: c.ID, Sub: c.Sub, After: c.After, Limit: c.Limit, Body: c.Body})
		if c.Forwarded || len(to) == 0 || err != nil {
			then()
			return
		}
		rv.core.CallPeer(to[0], forwardTimeout, message.PeerMessage{Forward: &message.Forward{Kind: message.ForwardSkips, Body: body}}, func(a message.PeerResponse) {
			if a.OK && a.Reply.Status != 0 && a.Reply.Status != 503 {
				rv.core.ReplyFromPeer(c.Req, a.Reply)
				return
			}
			then()
		})
	}
	refuseUnreachable := func() { rv.core.ReplyError(c.Req, 503, "state service not reachable") }
	if rv.core.StoreUnreachable() {
		forwardTo(rv.c.jobs.ForwardTargets(), refuseUnreachable)
		return
	}
	// One controller writes for a depot in usual times, so that what is asked at once shares a
	// write. It may be any: the ledger's rules rest on the writes' conditions.
	var writer []api.ControllerID
	if request != nil {
		p := api.PartitionID(rv.depotShard(request.Depot))
		if owner := rv.core.State.Partitions[p].Owner; owner != rv.core.Config.Label && rv.core.IsLive(owner) && rv.c.gossiper.HeardRecently(owner) {
			writer = append(writer, owner)
		}
	}
	forwardTo(writer, func() {
		if request == nil {
			rv.listSkips(c)
			return
		}
		pending := &reservation.PendingRequest{Request: request, ArrivedAt: rv.core.Now, Respond: func(res reservation.Result) { rv.replySkips(c.Req, request, res) }}
		if l.replica == nil {
			l.pendingRequests = append(l.pendingRequests, pending)
		} else {
			l.replica.Enqueue(pending)
		}
	})
}

// depotShard is the shard of a depot, of which there are as many as parts.
func (rv *ReservationService) depotShard(d reservation.Depot) int {
	return reservation.ShardOf(d, len(rv.core.State.Partitions))
}

func (rv *ReservationService) replySkips(req message.ReqID, request *reservation.Request, result reservation.Result) {
	switch result.Reason {
	case "":
		if request.Type != reservation.OpOffer && request.Type != reservation.OpAdd {
			slog.Info("skip reservation changed", "what", request.Type, "depot", request.Depot, "skip", result.Skip, "number", result.Booking.ID, "state", result.Booking.Stage, "site", result.Booking.Site)
		}
		a := SkipResult{Depot: request.Depot, Skip: result.Skip}
		if result.Booking.ID != 0 {
			v := viewSkipItem(&result.Booking)
			a.SkipItem = &v
		}
		rv.core.Reply(req, 200, a, 0)
	case reservation.ReasonNoSuchSkip, reservation.ReasonNoSuchBooking:
		rv.core.ReplyError(req, 404, string(result.Reason))
	case reservation.ReasonRecordTooLarge:
		rv.core.ReplyError(req, 400, string(result.Reason))
	case reservation.ReasonBusy:
		rv.core.ReplyError(req, 503, string(result.Reason))
	default:
		rv.core.ReplyError(req, 409, string(result.Reason))
	}
}

func viewSkipItem(item *reservation.Booking) SkipItem {
	return SkipItem{Number: item.ID, Name: item.Key, Stage: item.Stage, Site: item.Site, From: item.From.String(), To: item.To.String(), ExpiresAt: item.ExpiresAt}
}

// today is the day by our clock; only counts that say that they are about rest on it.
func (rv *ReservationService) today() reservation.Day {
	return reservation.Day(rv.core.WallClock / 86_400_000)
}

// SkipMetrics is what a controller knows of the skips that it has read.
type SkipMetrics struct {
	Kinds       []reservation.Counts                 `json:"kinds"` // of all depots together, today
	Refused     map[reservation.RefusalReason]uint64 `json:"refused"`
	Records     uint64                               `json:"records_written"`
	Conflicts   uint64                               `json:"conflicts"`
	OldestOffer float64                              `json:"oldest_offer_s"`
}

func (rv *ReservationService) ViewSkips() *SkipMetrics {
	replica := rv.reservationLedger.replica
	if replica == nil {
		return nil
	}
	v := &SkipMetrics{Refused: replica.Refused, Records: replica.Records, Conflicts: replica.Conflicts, Kinds: []reservation.Counts{}}
	byKind := map[reservation.Kind]reservation.Counts{}
	for i := range rv.core.State.Partitions {
		s := replica.Shard(i)
		for _, c := range s.Count(rv.today(), rv.today()+1) {
			sum := byKind[c.Kind]
			byKind[c.Kind] = reservation.Counts{Kind: c.Kind, Skips: sum.Skips + c.Skips, Free: sum.Free + c.Free, Offered: sum.Offered + c.Offered, Promised: sum.Promised + c.Promised, OutOfService: sum.OutOfService + c.OutOfService}
		}
		if since := s.OldestOfferTime(); since != 0 {
			v.OldestOffer = max(v.OldestOffer, roundToTenth(float64(rv.core.WallClock-since)/1000))
		}
	}
	for _, k := range slices.Sorted(maps.Keys(byKind)) {
		v.Kinds = append(v.Kinds, byKind[k])
	}
	return v
}

// countSkips counts skips by what was last read.
func (rv *ReservationService) countSkips(c message.AdminRequest) {
	if rv.reservationLedger.replica == nil {
		rv.core.ReplyError(c.Req, 503, "the ledger of skips is being read")
		return
	}
	v := SkipCountsView{Kinds: []reservation.Counts{}, AgeSeconds: roundToTenth(rv.core.Now.Sub(rv.reservationLedger.readAt).Seconds())}
	for i := range rv.core.State.Partitions {
		v.Kinds = append(v.Kinds, rv.reservationLedger.replica.Shard(i).Count(rv.today(), rv.today()+1)...)
	}
	rv.core.Reply(c.Req, 200, v, 0)
}

// listSkips shows a depot's skips as they are now.
func (rv *ReservationService) listSkips(c message.AdminRequest) {
	rv.reservationLedger.pendingLists = append(rv.reservationLedger.pendingLists, readWaiter{onRead: func() {
		shard := rv.reservationLedger.replica.Shard(rv.depotShard(reservation.Depot(c.ID)))
		list, more := shard.List(reservation.Depot(c.ID), reservation.SkipID(c.After), max(1, c.Limit))
		v := SkipsView{Skips: []SkipView{}}
		for _, skip := range list {
			view := SkipView{Depot: skip.Depot, Skip: skip.ID, Kind: skip.Kind, OutOfService: skip.OutOfService, Items: []SkipItem{}}
			for i := range skip.Bookings {
				view.Items = append(view.Items, viewSkipItem(&skip.Bookings[i]))
			}
			v.Skips = append(v.Skips, view)
		}
		if more {
			v.After = list[len(list)-1].ID
		}
		rv.core.Reply(c.Req, 200, v, 0)
	}, onFailure: func() { rv.core.ReplyError(c.Req, 503, "state service not reachable") }})
}

// SyncLedger reads the ledger once it is wanted, and writes what was asked.
func (rv *ReservationService) SyncLedger() {
	l := &rv.reservationLedger
	if !l.requested {
		return
	}
	l.expireRequests(rv.c)
	rv.sweepReservationArchive()
	if l.busy || rv.core.Now < l.nextReadAt {
		return
	}
	if l.replica == nil {
		l.busy = true
		if l.resumeLoad != nil {
			l.resumeLoad()
			return
		}
		l.loadedPairs = nil
		rv.loadLedgerPage("", 0)
		return
	}
	readNeeded := len(l.pendingLists) > 0 || rv.core.Now.Sub(l.readAt) > ledgerReadInterval
	for i := range rv.core.State.Partitions {
		readNeeded = readNeeded || l.staleShards[i] || l.replica.Idle(i) && l.replica.HasPending(i)
	}
	if rv.core.Now.Sub(l.compactedAt) > ledgerCompactInterval {
		l.compactedAt = rv.core.Now
		for i := range rv.core.State.Partitions {
			readNeeded = readNeeded || rv.core.Partitions[api.PartitionID(i)] != nil && l.replica.Idle(i) && l.replica.NeedsCleanup(i, rv.core.WallClock)
		}
	}
	if !readNeeded {
		return
	}
	l.busy, l.nextReadAt = true, rv.core.Now.Add(rv.core.LookupInterval)
	readStarted, lists := rv.core.Now, l.pendingLists
	l.pendingLists = nil
	rv.core.CallStore(message.StoreCall{Changes: &message.ChangesRequest{Since: l.replica.Revision(), Prefix: reservation.Root}}, func(a message.StoreResponse) {
		l.busy = false
		ok := a.Status == 200 && rv.core.Now.Sub(readStarted) < ledgerMaxReadAge
		if a.Status == 410 {
			l.reset()
		} else if a.Status == 200 {
			if err := l.replica.ApplyChanges(a.Changes); err != nil {
				slog.Error("reservation ledger reload", "err", err)
				l.reset()
				ok = false
			}
		}
		for _, w := range lists {
			if ok && l.replica != nil {
				w.onRead()
			} else {
				w.onFailure()
			}
		}
		if !ok || l.replica == nil {
			return
		}
		l.readAt = rv.core.Now
		for i := range rv.core.State.Partitions {
			if l.staleShards[i] {
				l.staleShards[i] = false
				l.replica.ResolveConflict(i)
			}
			rv.writeLedgerShard(i, readStarted)
		}
	})
}

// reset has the ledger read anew; what waits stays.
func (l *reservationLedger) reset() {
	l.pendingRequests = append(l.pendingRequests, l.replica.RemoveTimedOut(1<<62)...)
	l.replica, l.resumeLoad = nil, nil
}

// expireRequests tells who has waited for too long.
func (l *reservationLedger) expireRequests(n *Controller) {
	deadline := n.core.Now.Add(-ledgerRequestTimeout)
	var expired []*reservation.PendingRequest
	if l.replica != nil {
		expired = l.replica.RemoveTimedOut(deadline)
	}
	for len(l.pendingRequests) > 0 && l.pendingRequests[0].ArrivedAt < deadline {
		expired, l.pendingRequests = append(expired, l.pendingRequests[0]), l.pendingRequests[1:]
	}
	for _, a := range expired {
		a.Respond(reservation.Result{Reason: reservation.ReasonBusy})
	}
}

// resumeAfter has the reading go on after a pause.
func (l *reservationLedger) resumeAfter(n *Controller, pause time.Duration, next func()) {
	l.busy, l.resumeLoad, l.nextReadAt = false, next, n.core.Now.Add(pause)
}

// loadLedgerPage reads all of the ledger, page by page, then what changed since the first: pages are
// of different revisions.
func (rv *ReservationService) loadLedgerPage(start string, from api.Revision) {
	l := &rv.reservationLedger
	rv.core.CallStore(message.StoreCall{Page: &message.PageRequest{Prefix: reservation.Root, After: start}}, func(a message.StoreResponse) {
		if a.Status != 200 {
			l.resumeAfter(rv.c, core.RetryDelay, func() { rv.loadLedgerPage(start, from) })
			return
		}
		if from == 0 {
			from = a.Page.Revision
		}
		l.loadedPairs = append(l.loadedPairs, a.Page.Pairs...)
		if k := len(a.Page.Pairs); a.Page.More && k > 0 {
			l.resumeAfter(rv.c, rv.c.follower.PageReadInterval(), func() { rv.loadLedgerPage(a.Page.Pairs[k-1].Key, from) })
			return
		}
		rv.finishLedgerLoad(from)
	})
}

func (rv *ReservationService) finishLedgerLoad(from api.Revision) {
	l := &rv.reservationLedger
	rv.core.CallStore(message.StoreCall{Changes: &message.ChangesRequest{Since: from, Prefix: reservation.Root}}, func(a message.StoreResponse) {
		if a.Status == 410 { // it took too long
			l.resumeAfter(rv.c, core.RetryDelay, nil)
			return
		}
		if a.Status != 200 {
			l.resumeAfter(rv.c, core.RetryDelay, func() { rv.finishLedgerLoad(from) })
			return
		}
		latest := map[string]api.KeyValue{}
		for _, p := range l.loadedPairs {
			latest[p.Key] = p
		}
		for _, ch := range a.Changes.Log {
			if ch.Put != "" && ch.Version > latest[ch.Put].Version {
				latest[ch.Put] = api.KeyValue{Key: ch.Put, Value: ch.Value, Version: ch.Version}
			}
		}
		pairs := make([]api.KeyValue, 0, len(latest))
		for _, key := range slices.Sorted(maps.Keys(latest)) {
			pairs = append(pairs, latest[key])
		}
		limits := rv.core.Config.Deployment.State
		replica := reservation.NewLedger(fmt.Sprintf("%s-%d", rv.core.Config.Label, rv.core.Incarnation), len(rv.core.State.Partitions), rv.c.tenancy.MaxClockError(),
			reservation.Limits{MaxValueBytes: int(limits.ValueKB*1024) - 512, MaxPuts: limits.TxnOps})
		if err := replica.Load(pairs, a.Changes.Revision); err != nil {
			slog.Error("reservation ledger load failed", "err", err)
			l.resumeAfter(rv.c, time.Second, nil)
			return
		}
		l.resumeAfter(rv.c, 0, nil)
		l.replica, l.loadedPairs, l.staleShards = replica, nil, make([]bool, len(rv.core.State.Partitions))
		for _, request := range l.pendingRequests {
			replica.Enqueue(request)
		}
		l.pendingRequests = nil
		slog.Info("reservation ledger loaded", "keys", len(pairs), "revision", a.Changes.Revision)
	})
}

// writeLedgerShard writes a shard's next record, if there is one and the writes for it.
func (rv *ReservationService) writeLedgerShard(shard int, readAt api.Time) {
	l := &rv.reservationLedger
	rate := ledgerWriteShare * rv.core.Config.Deployment.State.WriteRPS / float64(max(1, len(rv.core.State.Members)))
	l.writeTokens = min(max(rate, float64(rv.core.Config.Deployment.State.TxnOps)), l.writeTokens+rate*rv.core.Now.Sub(l.writeTokensAt).Seconds())
	l.writeTokensAt = rv.core.Now
	if l.writeTokens < 1 || !l.replica.Idle(shard) {
		return
	}
	tx := l.replica.Compose(shard, rv.core.WallClock, readAt)
	if tx == nil {
		return
	}
	l.writeTokens -= float64(len(tx.Writes))
	l.wroteAt = rv.core.Now
	rv.sendLedgerWrite(l.replica, shard, *tx)
}

// sweepReservationArchive deletes what has been kept in the archive for long enough, the oldest first. The
// owner of part 0 does.
func (rv *ReservationService) sweepReservationArchive() {
	l, owned := &rv.reservationLedger, rv.core.Partitions[0]
	if owned == nil || l.sweeping || rv.core.Now.Sub(l.sweptAt) < ledgerSweepInterval || rv.core.Overloaded() {
		return
	}
	l.sweptAt, l.sweeping = rv.core.Now, true
	rv.c.tenancy.SweepPrefix(owned, reservation.KeyArchive, reservation.ArchiveRetention, func() { l.sweeping = false })
}

// sendLedgerWrite sends a record until its outcome is known.
func (rv *ReservationService) sendLedgerWrite(replica *reservation.Ledger, shard int, tx api.Txn) {
	rv.core.CallStoreTxn(tx, func(a message.StoreResponse) {
		if rv.reservationLedger.replica != replica {
			return // read anew meanwhile: names tell what became of it
		}
		switch replica.HandleOutcome(shard, a.Status, a.Txn.Revision) {
		case reservation.StepRead:
			rv.reservationLedger.staleShards[shard] = true
		case reservation.StepRetry:
			rv.core.DeferCall(func() { rv.sendLedgerWrite(replica, shard, tx) })
		}
	})
}

// RecentlyWrote reports whether the ledger was written of late, so that it has a share of the writes.
func (rv *ReservationService) RecentlyWrote() bool {
	wroteAt := rv.reservationLedger.wroteAt
	return wroteAt != 0 && rv.core.Now.Sub(wroteAt) < ledgerActiveWindow
}
