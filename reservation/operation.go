// Operations: the changes that records hold, and how they apply to a skip.

package reservation

import (
	"slices"

	"basaltwall/api"
)

// RefusalReason is why a request is refused, as its client sees it; empty if it is not.
type RefusalReason string

// The reasons.
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

// OpType is the type of an operation.
type OpType string

// The types of operations.
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
	OpForget       OpType = "forget" // drops a booking that was closed long ago
)

// Op is an operation on one skip. An operation on a booking names it: if the booking is gone or closed,
// the operation changes nothing.
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

// Record is what one write appends to the log of a shard.
type Record struct {
	Seq      uint64 `json:"q"`
	WriterID string `json:"by"` // tells it from a record of another controller with the same Seq
	Ops      []Op   `json:"ops,omitempty"`
}

// Result is the outcome of an operation or a request.
type Result struct {
	Reason  RefusalReason // why it was refused; empty: it was applied, or had been before
	Skip    SkipID
	Booking Booking // as it is afterwards
}

// bookingID is the id of the booking that an operation of a record creates; op counts from 1.
func bookingID(seq uint64, op int) BookingID { return BookingID(seq*maxOps + uint64(op)) }

// maxOps bounds the operations of a record.
const maxOps = 256

// apply applies an operation. The operations of a record were composed when all records before it had been
// applied, so they are valid; they are checked again to guard against records that should not exist.
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

// refused is the result of an operation that is not applied.
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
	booking.Stage, booking.Site, booking.ConfirmationKey = Promised, op.Site, op.Key
	booking.ExpiresAt, booking.OfferedAt = 0, 0
	s.recordKey(sk, op.Key, booking.ID)
	return Result{Skip: sk.ID, Booking: *booking}
}

// addBooking offers or promises a skip that is free for the requested days.
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

// closeBooking moves a booking to its delivery or its end, or drops it.
func (s *Shard) closeBooking(sk *Skip, op *Op) Result {
	booking := sk.booking(op.Booking)
	if booking == nil {
		return refused(sk, ReasonNoSuchBooking)
	}
	if op.Type == OpForget {
		return s.forgetBooking(sk, booking)
	}
	to := stageAfter[op.Type]
	if booking.Stage == to {
		return Result{Skip: sk.ID, Booking: *booking} // a retry
	}
	if reason := checkClose(sk, booking, op.Type); reason != "" {
		return refused(sk, reason)
	}
	if booking.Stage = to; !booking.Active() {
		booking.ClosedAt, booking.ExpiresAt, booking.OfferedAt = op.At, 0, 0
	}
	return Result{Skip: sk.ID, Booking: *booking}
}

// stageAfter is the stage to which an operation moves a booking.
var stageAfter = map[OpType]Stage{OpRelease: Released, OpDeliver: Delivered, OpReturn: Returned, OpExpire: Expired}

// checkClose is why an operation can't move a booking on; empty if it can.
func checkClose(sk *Skip, booking *Booking, op OpType) RefusalReason {
	switch {
	case !booking.Active():
		return ReasonClosed
	case op == OpExpire && booking.Stage != Offered:
		return ReasonClosed
	case op == OpRelease && booking.Stage == Delivered:
		return ReasonDelivered
	case (op == OpDeliver || op == OpReturn) && booking.Stage == Offered:
		return ReasonNotPromised
	case op == OpReturn && booking.Stage == Promised:
		return ReasonNotDelivered
	case op == OpDeliver && sk.OutOfService:
		return ReasonOutOfService
	}
	return ""
}

// forgetBooking drops a closed booking with its keys.
func (s *Shard) forgetBooking(sk *Skip, booking *Booking) Result {
	if booking.Active() {
		return refused(sk, ReasonBooked)
	}
	id := booking.ID
	s.forgetKey(sk.Depot, booking.Key)
	s.forgetKey(sk.Depot, booking.ConfirmationKey)
	sk.Bookings = slices.DeleteFunc(sk.Bookings, func(b Booking) bool { return b.ID == id })
	return Result{Skip: sk.ID}
}
