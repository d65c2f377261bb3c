// Package skipledger implements the ledger of bookings of skips. Skips are containers that depots lend
// to building sites; the ledger stores for which days each of them is offered, promised, delivered or
// returned. A shard of the ledger is built by applying its records in order; it composes the next record
// and determines the blocks to be written with it. The package does no I/O. docs/skips.md gives the
// reasons for the design.
package skipledger

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"basaltwall/api"
)

type (
	// Depot is the name of a depot, which owns skips.
	Depot string
	// SkipID identifies a skip within its depot.
	SkipID string
	// Kind is the name of a kind of skip, such as a size.
	Kind string
	// Site is the name of a building site.
	Site string
	// IdempotencyKey identifies a request. The client chooses it and sends the same one in retries.
	IdempotencyKey string
	// Day is a calendar day of a depot, in days since 1 January 1970.
	Day int
	// BookingID identifies an offer or a promise. It is never reused.
	BookingID uint64
)

// ErrInvalidDay is the error for text that is not a valid day.
var ErrInvalidDay = errors.New("is not a valid day; the format is 2026-12-01")

const secondsPerDay = 24 * 60 * 60

// ParseDay parses a day such as 2026-12-01. The error wraps ErrInvalidDay.
func ParseDay(s string) (Day, error) {
	t, err := time.Parse(time.DateOnly, s)
	if err != nil {
		return 0, fmt.Errorf("%q %w", s, ErrInvalidDay)
	}
	return Day(t.Unix() / secondsPerDay), nil
}

// String formats the day as 2026-12-01.
func (d Day) String() string { return time.Unix(int64(d)*secondsPerDay, 0).UTC().Format(time.DateOnly) }

// Stage is the stage of a booking.
type Stage string

// Stages of a booking. The first three reserve the skip for the days of the booking.
const (
	Offered   Stage = "offered"   // reserved for an enquiry, until a record expires the offer
	Promised  Stage = "promised"  // reserved for a building site
	Delivered Stage = "delivered" // on the building site
	Returned  Stage = "back"
	Released  Stage = "released"
	Expired   Stage = "expired"
)

// Booking is an offer or a promise of a skip for the days [From, To). A closed booking is retained for a
// while, so that late retries of its requests get the same answer.
type Booking struct {
	ID              BookingID      `json:"n"`
	Key             IdempotencyKey `json:"w"`           // key of the request that created it
	ConfirmationKey IdempotencyKey `json:"c,omitempty"` // key of the request that confirmed the offer
	Site            Site           `json:"s,omitempty"`
	From            Day            `json:"f"`
	To              Day            `json:"t"`
	OfferedAt       api.WallTime   `json:"m,omitempty"` // time of an open offer
	ExpiresAt       api.WallTime   `json:"u,omitempty"` // earliest expiry of an open offer
	Stage           Stage          `json:"g"`
	ClosedAt        api.WallTime   `json:"e,omitempty"` // by the writer's clock
}

// Active reports whether the booking reserves its skip.
func (b *Booking) Active() bool {
	return b.Stage == Offered || b.Stage == Promised || b.Stage == Delivered
}

// overlaps reports whether the booking includes any of the days [from, to).
func (b *Booking) overlaps(from, to Day) bool { return b.From < to && from < b.To }

// Skip is a skip with its bookings.
type Skip struct {
	Depot        Depot     `json:"d"`
	ID           SkipID    `json:"i"`
	Kind         Kind      `json:"k"`
	OutOfService bool      `json:"o,omitempty"` // no new bookings
	Bookings     []Booking `json:"p,omitempty"`
}

// maxBookings is the maximum number of bookings of a skip, including closed ones.
const maxBookings = 24

// CheckFree returns the reason why a skip can't be booked for the days [from, to), or an empty one if it
// can.
func (s *Skip) CheckFree(from, to Day) RefusalReason {
	if s.OutOfService {
		return ReasonOutOfService
	}
	for i := range s.Bookings {
		if b := &s.Bookings[i]; b.Active() && b.overlaps(from, to) {
			return ReasonBooked
		}
	}
	if len(s.Bookings) >= maxBookings {
		return ReasonTooManyBookings
	}
	return ""
}

// booking returns the booking with an id, or nil if there is none.
func (s *Skip) booking(id BookingID) *Booking {
	for i := range s.Bookings {
		if s.Bookings[i].ID == id {
			return &s.Bookings[i]
		}
	}
	return nil
}

// clone returns a deep copy of the skip.
func (s *Skip) clone() *Skip {
	c := *s
	c.Bookings = slices.Clone(s.Bookings)
	return &c
}
