package skips

// This file holds the views of bookings. The JSON names of the fields are the wire format.

import (
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/skipledger"
)

type (
	// SkipView is a skip with its bookings.
	SkipView struct {
		Depot        skipledger.Depot  `json:"depot"`
		Skip         skipledger.SkipID `json:"skip"`
		Kind         skipledger.Kind   `json:"kind"`
		OutOfService bool              `json:"out_of_service,omitempty"`
		Items        []BookingView     `json:"items"`
	}
	// BookingView is an offer or a promise.
	BookingView struct {
		Number    skipledger.BookingID      `json:"number"`
		Name      skipledger.IdempotencyKey `json:"name"`
		Stage     skipledger.Stage          `json:"state"`
		Site      skipledger.Site           `json:"site,omitempty"`
		From      string                    `json:"from"`
		To        string                    `json:"to"`
		ExpiresAt api.WallTime              `json:"until,omitempty"` // of an offer, in milliseconds since 1970
	}
	// ChangeView is the result of a change: the skip and, if the change concerns one, the booking.
	ChangeView struct {
		Depot skipledger.Depot  `json:"depot"`
		Skip  skipledger.SkipID `json:"skip,omitempty"`
		*BookingView
	}
	// PageView is a page of a depot's skips. After is the cursor of the next page, empty on the last one.
	PageView struct {
		Skips []SkipView        `json:"skips"`
		After skipledger.SkipID `json:"after,omitempty"`
	}
	// CountsView counts today's skips by depot and kind, as of a read AgeSeconds ago.
	CountsView struct {
		Kinds      []skipledger.Counts `json:"kinds"`
		AgeSeconds float64             `json:"about_s_old"`
	}
)

func viewBooking(b *skipledger.Booking) BookingView {
	return BookingView{Number: b.ID, Name: b.Key, Stage: b.Stage, Site: b.Site, From: b.From.String(), To: b.To.String(), ExpiresAt: b.ExpiresAt}
}

// ViewMetrics returns metrics of the replica, nil if the ledger is not loaded.
func (s *Service) ViewMetrics() *core.SkipMetrics {
	if s.replica == nil {
		return nil
	}
	v := &core.SkipMetrics{Refused: s.replica.Refused, Records: s.replica.RecordCount, Conflicts: s.replica.ConflictCount, Kinds: []skipledger.Counts{}}
	byKind := map[skipledger.Kind]skipledger.Counts{}
	for i := range s.core.State.Partitions {
		shard := s.replica.Shard(i)
		for _, c := range shard.Count(s.today(), s.today()+1) {
			byKind[c.Kind] = addCounts(byKind[c.Kind], c)
		}
		if since := shard.OldestOfferTime(); since != 0 {
			v.OldestOffer = max(v.OldestOffer, core.RoundToTenth(float64(s.core.WallClock-since)/1000))
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(byKind)) {
		v.Kinds = append(v.Kinds, byKind[kind])
	}
	return v
}

// addCounts adds the counts of one depot to a sum over depots.
func addCounts(sum, c skipledger.Counts) skipledger.Counts {
	return skipledger.Counts{
		Kind:         c.Kind,
		Skips:        sum.Skips + c.Skips,
		Free:         sum.Free + c.Free,
		Offered:      sum.Offered + c.Offered,
		Promised:     sum.Promised + c.Promised,
		OutOfService: sum.OutOfService + c.OutOfService,
	}
}
