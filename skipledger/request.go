// This file determines the operations for client requests and the due cleanup operations.

package skipledger

import (
	"time"

	"basaltwall/api"
)

// Request is a client's request concerning skips of a depot.
type Request struct {
	Type          OpType
	Depot         Depot
	Key           IdempotencyKey
	Skip          SkipID // empty: any free skip of the kind
	Kind          Kind   // kind of skip if none is named
	Booking       BookingID
	Site          Site
	From          Day
	To            Day
	OfferDuration time.Duration
	Skips         []Skip // to add
}

// Retention of closed bookings, which is longer than clients retry their requests.
const (
	ExpiredOfferRetention  = time.Hour
	ClosedBookingRetention = 7 * 24 * time.Hour
)

// Duplicate returns the answer to a repeated request, or a refusal if the key was used for a different
// request. It returns false if the key is new.
func (s *Shard) Duplicate(r *Request) (Result, bool) {
	if r.Key == "" || r.Type != OpOffer && r.Type != OpPromise {
		return Result{}, false
	}
	ref, ok := s.lookupKey(r.Depot, r.Key)
	if !ok {
		return Result{}, false
	}
	sk := s.Get(r.Depot, ref.skip)
	booking := sk.booking(ref.booking)
	if !r.matchesBooking(sk, booking) {
		return Result{Reason: ReasonKeyReused}, true
	}
	return Result{Skip: sk.ID, Booking: *booking}, true
}

// matchesBooking reports whether the request created or confirmed a booking that has its key.
func (r *Request) matchesBooking(sk *Skip, b *Booking) bool {
	if r.Type == OpPromise && r.Booking != 0 {
		return b.ConfirmationKey == r.Key && b.ID == r.Booking && b.Site == r.Site
	}
	if b.Key != r.Key || b.From != r.From || b.To != r.To || r.Skip != "" && r.Skip != sk.ID || r.Kind != "" && r.Kind != sk.Kind {
		return false
	}
	if r.Type == OpOffer {
		return b.Site == "" || b.ConfirmationKey != ""
	}
	return b.ConfirmationKey == "" && b.Site == r.Site
}

// operations returns the operations that a request needs, or the reason of its refusal.
func (s *Shard) operations(r *Request, now api.WallTime, clockError time.Duration) ([]Op, RefusalReason) {
	if r.Type == OpAdd {
		return s.addSkipOperations(r)
	}
	op := Op{Type: r.Type, Depot: r.Depot, Skip: r.Skip, Booking: r.Booking, Key: r.Key, Site: r.Site, From: r.From, To: r.To, At: now}
	if r.Type == OpOffer {
		op.ExpiresAt = now + api.WallTime(r.OfferDuration.Milliseconds())
	}
	if r.Booking != 0 || r.Type == OpOutOfService || r.Type == OpInService {
		if s.Get(r.Depot, r.Skip) == nil {
			return nil, ReasonNoSuchSkip
		}
		if op.Type == OpPromise && r.Booking != 0 {
			op.From, op.To = 0, 0
		}
		return []Op{op}, ""
	}
	if r.Skip != "" {
		sk := s.Get(r.Depot, r.Skip)
		if sk == nil {
			return nil, ReasonNoSuchSkip
		}
		return s.bookingOperations(sk, op, clockError)
	}
	for _, id := range s.skipsOfKind(r.Depot, r.Kind) {
		s.SkipsExamined++
		if ops, reason := s.bookingOperations(s.Get(r.Depot, id), op, clockError); reason == "" {
			return ops, ""
		}
	}
	return nil, ReasonNoneFree
}

// addSkipOperations returns the operations that add those of the requested skips that do not exist yet.
func (s *Shard) addSkipOperations(r *Request) ([]Op, RefusalReason) {
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
}

// bookingOperations returns the operations that book a skip, preceded by the expiry of overlapping offers
// that are due, or the reason why the skip can't be booked.
func (s *Shard) bookingOperations(sk *Skip, booking Op, clockError time.Duration) ([]Op, RefusalReason) {
	var ops []Op
	after := sk.clone()
	for i := range after.Bookings {
		b := &after.Bookings[i]
		if b.Stage == Offered && b.overlaps(booking.From, booking.To) && offerExpired(b, booking.At, clockError) {
			ops = append(ops, Op{Type: OpExpire, Depot: sk.Depot, Skip: sk.ID, Booking: b.ID, At: booking.At})
			b.Stage = Expired
		}
	}
	if reason := after.CheckFree(booking.From, booking.To); reason != "" {
		return nil, reason
	}
	booking.Skip = sk.ID
	return append(ops, booking), ""
}

// offerExpired reports whether an offer has expired by every controller's clock.
func offerExpired(b *Booking, now api.WallTime, clockError time.Duration) bool {
	return now > b.ExpiresAt+api.WallTime(clockError.Milliseconds())
}

// cleanupOps returns at most limit due operations, which expire offers and drop closed bookings.
func (s *Shard) cleanupOps(now api.WallTime, clockError time.Duration, limit int) []Op {
	var out []Op
	for _, blockID := range s.blockIDs() {
		for _, sk := range s.block(blockID).Skips {
			for i := range sk.Bookings {
				op, due := cleanupOp(sk, &sk.Bookings[i], now, clockError)
				if !due {
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

// cleanupOp returns the due cleanup operation on a booking; due is false if there is none.
func cleanupOp(sk *Skip, b *Booking, now api.WallTime, clockError time.Duration) (op Op, due bool) {
	op = Op{Depot: sk.Depot, Skip: sk.ID, Booking: b.ID, At: now}
	retention := ClosedBookingRetention
	if b.Stage == Expired {
		retention = ExpiredOfferRetention
	}
	switch {
	case b.Stage == Offered && offerExpired(b, now, clockError):
		op.Type = OpExpire
	case !b.Active() && now > b.ClosedAt+api.WallTime(retention.Milliseconds()):
		op.Type = OpDrop
	default:
		return Op{}, false
	}
	return op, true
}
