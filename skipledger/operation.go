// This file defines operations, the changes that a record contains, and applies them to skips.

package skipledger

import (
	"slices"

	"basaltwall/api"
)

// RefusalReason is the reason of a refusal, as sent to the client and used as a metric label. It is empty
// without one.
type RefusalReason string

// Reasons of refusals.
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

// Types of operations.
const (
	OpAdd          OpType = "add"
	OpOutOfService OpType = "out"
	OpInService    OpType = "in"
	OpOffer        OpType = "offer"
	OpPromise      OpType = "promise" // books free days, or confirms the offer that it names
	OpRelease      OpType = "release"
	OpDeliver      OpType = "deliver"
	OpReturn       OpType = "return"
	OpExpire       OpType = "expire"
	OpDrop         OpType = "forget" // drops a booking that was closed long ago
)

// Op is an operation on one skip. An operation on a booking names the booking. It changes nothing if the
// booking does not exist, and a closed booking can only be dropped.
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

// Record is an entry of a shard's log, written by one transaction.
type Record struct {
	Seq      uint64 `json:"q"`
	WriterID string `json:"by"` // distinguishes it from another controller's record with the same Seq
	Ops      []Op   `json:"ops,omitempty"`
}

// Result is the outcome of an operation or a request.
type Result struct {
	Reason  RefusalReason // reason of a refusal; empty: it was applied, now or earlier
	Skip    SkipID
	Booking Booking // state after the operation
}

// bookingID returns the id of the booking that an operation of a record creates; op counts from 1.
func bookingID(seq uint64, op int) BookingID { return BookingID(seq*maxOps + uint64(op)) }

// maxOps is an upper bound of the number of operations in a record.
const maxOps = 256

// apply applies an operation. Operations are valid when they are composed; apply checks them again to
// guard against invalid records.
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
	return s.changeStage(sk, op)
}

// refused returns the result of an operation that is not applied.
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
	s.indexKey(sk, op.Key, booking.ID)
	return Result{Skip: sk.ID, Booking: *booking}
}

// addBooking offers or promises a skip if it is free for the requested days.
func (s *Shard) addBooking(sk *Skip, op *Op, bookingID BookingID) Result {
	if reason := sk.CheckFree(op.From, op.To); reason != "" {
		return refused(sk, reason)
	}
	created := Booking{ID: bookingID, Key: op.Key, Site: op.Site, From: op.From, To: op.To, ExpiresAt: op.ExpiresAt, Stage: Promised}
	if op.Type == OpOffer {
		created.Stage, created.OfferedAt = Offered, op.At
	}
	sk.Bookings = append(sk.Bookings, created)
	s.indexKey(sk, op.Key, bookingID)
	return Result{Skip: sk.ID, Booking: created}
}

// changeStage moves a booking to its next stage, or drops it.
func (s *Shard) changeStage(sk *Skip, op *Op) Result {
	booking := sk.booking(op.Booking)
	if booking == nil {
		return refused(sk, ReasonNoSuchBooking)
	}
	if op.Type == OpDrop {
		return s.dropBooking(sk, booking)
	}
	to := stageAfter[op.Type]
	if booking.Stage == to {
		return Result{Skip: sk.ID, Booking: *booking} // a retry
	}
	if reason := checkTransition(sk, booking, op.Type); reason != "" {
		return refused(sk, reason)
	}
	if booking.Stage = to; !booking.Active() {
		booking.ClosedAt, booking.ExpiresAt, booking.OfferedAt = op.At, 0, 0
	}
	return Result{Skip: sk.ID, Booking: *booking}
}

// stageAfter is the stage to which an operation moves a booking.
var stageAfter = map[OpType]Stage{OpRelease: Released, OpDeliver: Delivered, OpReturn: Returned, OpExpire: Expired}

// checkTransition returns the reason why an operation can't change the stage of a booking, or an empty
// one if it can.
func checkTransition(sk *Skip, booking *Booking, op OpType) RefusalReason {
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

// dropBooking drops a closed booking with its keys.
func (s *Shard) dropBooking(sk *Skip, booking *Booking) Result {
	if booking.Active() {
		return refused(sk, ReasonBooked)
	}
	id := booking.ID
	s.unindexKey(sk.Depot, booking.Key)
	s.unindexKey(sk.Depot, booking.ConfirmationKey)
	sk.Bookings = slices.DeleteFunc(sk.Bookings, func(b Booking) bool { return b.ID == id })
	return Result{Skip: sk.ID}
}
