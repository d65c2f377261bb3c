// Package reservation owns the ledger of skip reservations: which skip is offered, promised to which
// building site, delivered or returned, for which days. It is pure: a shard of the ledger is folded from
// records in their order, composes the next one, and says which blocks of it must be written
// with it. docs/skips.md gives the reasons.
package reservation

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"basaltwall/api"
)

type (
	// Depot names a depot, to which skips belong.
	Depot string
	// SkipID names a skip; it is unique within its depot.
	SkipID string
	// Kind names a kind of skips, such as a size.
	Kind string
	// Site names a building site.
	Site string
	// IdempotencyKey identifies a request: its client chooses it, and retries carry the same.
	IdempotencyKey string
	// Day is a calendar day of a depot, in days since 1 January 1970.
	Day int
	// BookingID numbers an offer or a promise. It is never used twice.
	BookingID uint64
)

// ErrInvalidDay is the error of a text that is not a day.
var ErrInvalidDay = errors.New("is no day: it must be like 2026-12-01")

const secondsPerDay = 24 * 60 * 60

// ParseDay parses a day such as 2026-12-01. The error wraps ErrInvalidDay.
func ParseDay(s string) (Day, error) {
	t, err := time.Parse(time.DateOnly, s)
	if err != nil {
		return 0, fmt.Errorf("%q %w", s, ErrInvalidDay)
	}
	return Day(t.Unix() / secondsPerDay), nil
}

// String formats a day as 2026-12-01.
func (d Day) String() string { return time.Unix(int64(d)*secondsPerDay, 0).UTC().Format(time.DateOnly) }

// Stage is the stage of a booking.
type Stage string

// The stages. Only the first three hold the skip for their days.
const (
	Offered   Stage = "offered"   // held for one enquiry until it is recorded as expired
	Promised  Stage = "promised"  // held for a building site
	Delivered Stage = "delivered" // on the building site
	Returned  Stage = "back"
	Released  Stage = "released"
	Expired   Stage = "expired"
)

// Booking is an offer or a promise of a skip, of the days from From up to, but without, To. It is kept
// for a while after it is closed, so that late retries of its requests get the same answer.
type Booking struct {
	ID              BookingID      `json:"n"`
	Key             IdempotencyKey `json:"w"`           // of the request that created it
	ConfirmationKey IdempotencyKey `json:"c,omitempty"` // of the request that made an offer a promise
	Site            Site           `json:"s,omitempty"`
	From            Day            `json:"f"`
	To              Day            `json:"t"`
	OfferedAt       api.WallTime   `json:"m,omitempty"` // when an offer was made
	ExpiresAt       api.WallTime   `json:"u,omitempty"` // when an offer may expire
	Stage           Stage          `json:"g"`
	ClosedAt        api.WallTime   `json:"e,omitempty"` // when it was closed, by the clock of the writer
}

// Active reports whether the booking holds its skip.
func (b *Booking) Active() bool {
	return b.Stage == Offered || b.Stage == Promised || b.Stage == Delivered
}

// overlaps reports whether the booking includes some of the days from one up to, but without, another.
func (b *Booking) overlaps(from, to Day) bool { return b.From < to && from < b.To }

// Skip is a skip with its bookings.
type Skip struct {
	Depot        Depot     `json:"d"`
	ID           SkipID    `json:"i"`
	Kind         Kind      `json:"k"`
	OutOfService bool      `json:"o,omitempty"` // no new bookings
	Bookings     []Booking `json:"p,omitempty"`
}

// maxBookings bounds the bookings of a skip, closed ones included.
const maxBookings = 24

// CheckFree is why a skip can't be booked for the days from one up to, but without, another; empty if it can.
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

// booking finds a booking, nil if there is none.
func (s *Skip) booking(id BookingID) *Booking {
	for i := range s.Bookings {
		if s.Bookings[i].ID == id {
			return &s.Bookings[i]
		}
	}
	return nil
}

// clone is a copy that shares nothing with the skip.
func (s *Skip) clone() *Skip {
	c := *s
	c.Bookings = slices.Clone(s.Bookings)
	return &c
}
