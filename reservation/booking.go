// Package reservation owns the ledger of promises: which skip is held, promised to which building
// site, delivered or back, for which days. It is pure: a shard of the ledger is folded from
// records in their order, composes the next one, and says which blocks of it are to be written
// with it. docs/skips.md gives the reasons.
package reservation

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"basaltwall/api"
)

// Small types of the ledger.
type (
	Depot          string
	SkipID         string // unique within its depot
	Kind           string
	Site           string // a building site
	IdempotencyKey string // of a request, chosen by who asks; its retries carry the same
	Day            int    // a calendar day of the depot, in days since 1 January 1970
	BookingID      uint64 // of an offer or a promise, never used twice
)

// ParseDay reads a day as 2026-12-01.
func ParseDay(s string) (Day, error) {
	t, err := time.Parse(time.DateOnly, s)
	if err != nil {
		return 0, fmt.Errorf("%q is no day: it must be like 2026-12-01", s)
	}
	return Day(t.Unix() / 86400), nil
}

// String writes a day as 2026-12-01.
func (d Day) String() string { return time.Unix(int64(d)*86400, 0).UTC().Format(time.DateOnly) }

// Stage is where an offer or a promise stands.
type Stage string

// The stages. Only the first three hold the skip for their days.
const (
	Offered   Stage = "offered" // held for one enquiry, until somebody writes that its time is over
	Promised  Stage = "promised"
	Delivered Stage = "delivered"
	Returned  Stage = "back"
	Released  Stage = "released"
	Expired   Stage = "expired"
)

// Booking is an offer or a promise of a skip, of the days from From up to but without To. It stays
// for a while after it is over, so that late repeats of its requests get its answer.
type Booking struct {
	ID              BookingID      `json:"n"`
	Key             IdempotencyKey `json:"w"`           // of the request that made it
	ConfirmationKey IdempotencyKey `json:"c,omitempty"` // of the request that made an offer a promise
	Site            Site           `json:"s,omitempty"`
	From            Day            `json:"f"`
	To              Day            `json:"t"`
	OfferedAt       api.WallTime   `json:"m,omitempty"` // of an offer: when it was made
	ExpiresAt       api.WallTime   `json:"u,omitempty"` // and when it may be ended
	Stage           Stage          `json:"g"`
	ClosedAt        api.WallTime   `json:"e,omitempty"` // when it was over, by the clock of who wrote that
}

// Active reports whether the item holds its skip.
func (i *Booking) Active() bool {
	return i.Stage == Offered || i.Stage == Promised || i.Stage == Delivered
}

// Skip is a skip and what is promised of it.
type Skip struct {
	Depot        Depot     `json:"d"`
	ID           SkipID    `json:"i"`
	Kind         Kind      `json:"k"`
	OutOfService bool      `json:"o,omitempty"` // of service: nothing new is promised of it
	Bookings     []Booking `json:"p,omitempty"`
}

// maxBookings bounds what is kept of a skip.
const maxBookings = 24

// CheckFree says why a skip can't be promised for some days, or nothing.
func (s *Skip) CheckFree(from, to Day) RefusalReason {
	if s.OutOfService {
		return ReasonOutOfService
	}
	for i := range s.Bookings {
		if x := &s.Bookings[i]; x.Active() && x.From < to && from < x.To {
			return ReasonBooked
		}
	}
	if len(s.Bookings) >= maxBookings {
		return ReasonTooManyBookings
	}
	return ""
}

func (s *Skip) booking(num BookingID) *Booking {
	for i := range s.Bookings {
		if s.Bookings[i].ID == num {
			return &s.Bookings[i]
		}
	}
	return nil
}

func (s *Skip) clone() *Skip {
	c := *s
	c.Bookings = slices.Clone(s.Bookings)
	return &c
}

// RefusalReason is why something is refused.
type RefusalReason string

// Reasons. The texts are what who asks is told.
const (
	ReasonBooked          RefusalReason = "it is promised or offered to somebody for some of these days"
	ReasonOutOfService    RefusalReason = "it is out of service"
	ReasonTooManyBookings RefusalReason = "too much is kept of it: release or return what is over"
	ReasonNoSuchSkip      RefusalReason = "there is no such skip"
	ReasonNoneFree        RefusalReason = "none of that kind is free there for these days"
	ReasonNoSuchBooking   RefusalReason = "there is no such offer or promise, or it is over for long"
	ReasonClosed          RefusalReason = "it is over: somebody released, returned or ended it"
	ReasonNotPromised     RefusalReason = "it is no promise, but an offer"
	ReasonNotDelivered    RefusalReason = "it was not delivered: release it"
	ReasonDelivered       RefusalReason = "it is delivered: it must come back first"
	ReasonKeyReused       RefusalReason = "the name was used for another request"
	ReasonSkipExists      RefusalReason = "there is such a skip already, of another kind"
	ReasonRecordTooLarge  RefusalReason = "more than a record holds"
)

// OpType is a change that a record may hold.
type OpType string

// Changes.
const (
	OpAdd          OpType = "add"
	OpOutOfService OpType = "out"
	OpInService    OpType = "in"
	OpOffer        OpType = "offer"
	OpPromise      OpType = "promise" // of free days, or of an offer if it names one
	OpRelease      OpType = "release"
	OpDeliver      OpType = "deliver"
	OpReturn       OpType = "return"
	OpExpire       OpType = "expire"
	OpForget       OpType = "forget" // what is over for long
)

// Op is a change of one skip. A change of an offer or promise names its number: made for an
// older one it changes nothing.
type Op struct {
	Type      OpType         `json:"o"`
	Depot     Depot          `json:"d"`
	Skip      SkipID         `json:"i"`
	Kind      Kind           `json:"k,omitempty"`
	Booking   BookingID      `json:"n,omitempty"`
	Key       IdempotencyKey `json:"w,omitempty"`
	Site      Site           `json:"s,omitempty"`
	From      Day            `json:"f,omitempty"`
	To        Day            `json:"t,omitempty"`
	ExpiresAt api.WallTime   `json:"u,omitempty"`
	At        api.WallTime   `json:"a,omitempty"`
}

// Record is what one write adds to a shard.
type Record struct {
	Seq      uint64 `json:"q"`
	WriterID string `json:"by"` // tells it from one that another controller wrote in its place
	Ops      []Op   `json:"ops,omitempty"`
}

// Result is what became of a change.
type Result struct {
	Reason  RefusalReason // why nothing changed; empty: it did, or had before
	Skip    SkipID
	Booking Booking // as it is after it
}

// bookingID is that of the item which an op of a record makes.
func bookingID(seq uint64, op int) BookingID { return BookingID(seq*maxOps + uint64(op)) }

// maxOps bounds the changes of a record.
const maxOps = 256

// apply makes a change. What a record holds was composed when all before it had been folded, so
// it is valid; that it is checked again is for records that nobody should have written.
func (s *Shard) apply(op *Op, bookingID BookingID) Result {
	if op.Type == OpAdd {
		return s.addSkip(op)
	}
	sk := s.mutableSkip(op.Depot, op.Skip)
	if sk == nil {
		return Result{Reason: ReasonNoSuchSkip}
	}
	switch op.Type {
	case OpOutOfService, OpInService:
		sk.OutOfService = op.Type == OpOutOfService
		return Result{Skip: sk.ID}
	case OpOffer, OpPromise:
		if op.Booking != 0 {
			return s.confirmOffer(sk, op)
		}
		return s.addBooking(sk, op, bookingID)
	}
	return s.closeBooking(sk, op)
}

// refused is the result of a change that is not made.
func refused(sk *Skip, reason RefusalReason) Result { return Result{Reason: reason, Skip: sk.ID} }

// confirmOffer turns an offer into a promise.
func (s *Shard) confirmOffer(sk *Skip, op *Op) Result {
	booking := sk.booking(op.Booking)
	switch {
	case booking == nil:
		return refused(sk, ReasonNoSuchBooking)
	case booking.Stage != Offered:
		return refused(sk, ReasonClosed)
	}
	booking.Stage, booking.Site, booking.ConfirmationKey, booking.ExpiresAt, booking.OfferedAt = Promised, op.Site, op.Key, 0, 0
	s.recordKey(sk, op.Key, booking.ID)
	return Result{Skip: sk.ID, Booking: *booking}
}

// addBooking offers or promises a skip that is free on the days in question.
func (s *Shard) addBooking(sk *Skip, op *Op, bookingID BookingID) Result {
	if reason := sk.CheckFree(op.From, op.To); reason != "" {
		return refused(sk, reason)
	}
	created := Booking{ID: bookingID, Key: op.Key, Site: op.Site, From: op.From, To: op.To, ExpiresAt: op.ExpiresAt, Stage: Promised}
	if op.Type == OpOffer {
		created.Stage, created.OfferedAt = Offered, op.At
	}
	sk.Bookings = append(sk.Bookings, created)
	s.recordKey(sk, op.Key, bookingID)
	return Result{Skip: sk.ID, Booking: created}
}

// closeBooking moves a booking on: to its delivery, its end, or out of the ledger.
func (s *Shard) closeBooking(sk *Skip, op *Op) Result {
	booking := sk.booking(op.Booking)
	refuse := func(reason RefusalReason) Result { return refused(sk, reason) }
	if booking == nil {
		return refuse(ReasonNoSuchBooking)
	}
	to := map[OpType]Stage{OpRelease: Released, OpDeliver: Delivered, OpReturn: Returned, OpExpire: Expired}[op.Type]
	switch {
	case op.Type == OpForget:
		if booking.Active() {
			return refuse(ReasonBooked)
		}
		s.forgetKey(sk.Depot, booking.Key)
		s.forgetKey(sk.Depot, booking.ConfirmationKey)
		sk.Bookings = slices.DeleteFunc(sk.Bookings, func(i Booking) bool { return i.ID == op.Booking })
		return Result{Skip: sk.ID}
	case booking.Stage == to:
		return Result{Skip: sk.ID, Booking: *booking} // as it was asked for before
	case !booking.Active():
		return refuse(ReasonClosed)
	case op.Type == OpExpire && booking.Stage != Offered:
		return refuse(ReasonClosed)
	case op.Type == OpRelease && booking.Stage == Delivered:
		return refuse(ReasonDelivered)
	case (op.Type == OpDeliver || op.Type == OpReturn) && booking.Stage == Offered:
		return refuse(ReasonNotPromised)
	case op.Type == OpReturn && booking.Stage == Promised:
		return refuse(ReasonNotDelivered)
	case op.Type == OpDeliver && sk.OutOfService:
		return refuse(ReasonOutOfService)
	}
	if booking.Stage = to; !booking.Active() {
		booking.ClosedAt, booking.ExpiresAt, booking.OfferedAt = op.At, 0, 0
	}
	return Result{Skip: sk.ID, Booking: *booking}
}

// Request is what somebody asks of a depot's skips.
type Request struct {
	Type          OpType
	Depot         Depot
	Key           IdempotencyKey
	Skip          SkipID // one, or else any that is free
	Kind          Kind   // of any
	Booking       BookingID
	Site          Site
	From          Day
	To            Day
	OfferDuration time.Duration // an offer's
	Skips         []Skip        // Add: these
}

// Ways to be out of time: an offer is ended no sooner than clocks can differ after its time,
// and what is over is forgotten long after anybody would repeat a request for it.
const (
	ExpiredOfferRetention  = time.Hour
	ClosedBookingRetention = 7 * 24 * time.Hour
)

// Duplicate answers a request from the ledger as it is, if nothing need be written for it: the same
// was asked before, or it can't be.
func (s *Shard) Duplicate(r *Request) (Result, bool) {
	if r.Key != "" && (r.Type == OpOffer || r.Type == OpPromise) {
		if at, ok := s.lookupKey(r.Depot, r.Key); ok {
			sk := s.Get(r.Depot, at.skip)
			x := sk.booking(at.booking)
			same := x.From == r.From && x.To == r.To && (r.Skip == "" || r.Skip == sk.ID) && (r.Kind == "" || r.Kind == sk.Kind)
			switch {
			case r.Type == OpOffer:
				same = same && x.Key == r.Key && (x.Site == "" || x.ConfirmationKey != "")
			case r.Booking != 0:
				same = x.ConfirmationKey == r.Key && x.ID == r.Booking && x.Site == r.Site
			default:
				same = same && x.Key == r.Key && x.ConfirmationKey == "" && x.Site == r.Site
			}
			if !same {
				return Result{Reason: ReasonKeyReused}, true
			}
			return Result{Skip: sk.ID, Booking: *x}, true
		}
	}
	return Result{}, false
}

// operations are the changes that a request needs, or why it can't be.
func (s *Shard) operations(r *Request, now api.WallTime, clockError time.Duration) ([]Op, RefusalReason) {
	op := Op{Type: r.Type, Depot: r.Depot, Skip: r.Skip, Booking: r.Booking, Key: r.Key, Site: r.Site, From: r.From, To: r.To, At: now}
	switch r.Type {
	case OpAdd:
		var out []Op
		for i := range r.Skips {
			skip := &r.Skips[i]
			if old := s.Get(r.Depot, skip.ID); old != nil {
				if old.Kind != skip.Kind {
					return nil, ReasonSkipExists
				}
				continue
			}
			out = append(out, Op{Type: OpAdd, Depot: r.Depot, Skip: skip.ID, Kind: skip.Kind})
		}
		return out, ""
	case OpOffer:
		op.ExpiresAt = now + api.WallTime(r.OfferDuration.Milliseconds())
	}
	if r.Booking != 0 || r.Type == OpOutOfService || r.Type == OpInService {
		sk := s.Get(r.Depot, r.Skip)
		if sk == nil {
			return nil, ReasonNoSuchSkip
		}
		if op.Type == OpPromise && r.Booking != 0 {
			op.From, op.To = 0, 0
		}
		return []Op{op}, ""
	}
	// Of days: offers that are in the way and whose time is over are ended first.
	attempt := func(sk *Skip) ([]Op, RefusalReason) {
		var expired []Op
		free := sk.clone()
		for i := range free.Bookings {
			x := &free.Bookings[i]
			if x.Stage == Offered && x.From < r.To && r.From < x.To && s.offerExpired(x, now, clockError) {
				expired = append(expired, Op{Type: OpExpire, Depot: sk.Depot, Skip: sk.ID, Booking: x.ID, At: now})
				x.Stage = Expired
			}
		}
		if why := free.CheckFree(r.From, r.To); why != "" {
			return nil, why
		}
		o := op
		o.Skip = sk.ID
		return append(expired, o), ""
	}
	if r.Skip != "" {
		sk := s.Get(r.Depot, r.Skip)
		if sk == nil {
			return nil, ReasonNoSuchSkip
		}
		return attempt(sk)
	}
	for _, id := range s.skipsOfKind(r.Depot, r.Kind) {
		s.SkipsExamined++
		if ops, why := attempt(s.Get(r.Depot, id)); why == "" {
			return ops, ""
		}
	}
	return nil, ReasonNoneFree
}

func (s *Shard) offerExpired(x *Booking, now api.WallTime, clockError time.Duration) bool {
	return now > x.ExpiresAt+api.WallTime(clockError.Milliseconds())
}

// cleanupOps are changes that time has made due: offers to end and what is to be forgotten, so many
// at most.
func (s *Shard) cleanupOps(now api.WallTime, clockError time.Duration, limit int) []Op {
	var out []Op
	for _, blockID := range s.blockIDs() {
		for _, sk := range s.block(blockID).Skips {
			for i := range sk.Bookings {
				x := &sk.Bookings[i]
				op := Op{Depot: sk.Depot, Skip: sk.ID, Booking: x.ID, At: now}
				keep := ClosedBookingRetention
				if x.Stage == Expired {
					keep = ExpiredOfferRetention
				}
				switch {
				case x.Stage == Offered && s.offerExpired(x, now, clockError):
					op.Type = OpExpire
				case !x.Active() && now > x.ClosedAt+api.WallTime(keep.Milliseconds()):
					op.Type = OpForget
				default:
					continue
				}
				if out = append(out, op); len(out) == limit {
					return out
				}
			}
		}
	}
	return out
}

// OldestOfferTime is when the oldest offer was made that still holds its skip, 0 if none does.
func (s *Shard) OldestOfferTime() api.WallTime {
	oldest := api.WallTime(0)
	for _, b := range s.blocks {
		for _, sk := range b.Skips {
			for i := range sk.Bookings {
				if x := &sk.Bookings[i]; x.Stage == Offered && (oldest == 0 || x.OfferedAt < oldest) {
					oldest = x.OfferedAt
				}
			}
		}
	}
	return oldest
}

// Counts are what is there of a kind at a depot, for the days from one up to another.
type Counts struct {
	Depot        Depot `json:"depot"`
	Kind         Kind  `json:"kind"`
	Skips        int   `json:"skips"`
	Free         int   `json:"free"`
	Offered      int   `json:"offered"`
	Promised     int   `json:"promised"` // those delivered included
	OutOfService int   `json:"out_of_service"`
}

// Count counts skips by depot and kind.
func (s *Shard) Count(from, to Day) []Counts {
	type key struct {
		d Depot
		k Kind
	}
	by := map[key]*Counts{}
	for _, blockID := range s.blockIDs() {
		for _, sk := range s.block(blockID).Skips {
			c := by[key{sk.Depot, sk.Kind}]
			if c == nil {
				c = &Counts{Depot: sk.Depot, Kind: sk.Kind}
				by[key{sk.Depot, sk.Kind}] = c
			}
			c.Skips++
			if sk.OutOfService {
				c.OutOfService++
			}
			if sk.CheckFree(from, to) == "" {
				c.Free++
			}
			for i := range sk.Bookings {
				switch x := &sk.Bookings[i]; {
				case x.From >= to || from >= x.To || !x.Active():
				case x.Stage == Offered:
					c.Offered++
				default:
					c.Promised++
				}
			}
		}
	}
	out := make([]Counts, 0, len(by))
	for _, c := range by {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b Counts) int { return cmp.Or(cmp.Compare(a.Depot, b.Depot), cmp.Compare(a.Kind, b.Kind)) })
	return out
}
