// This file computes counts and ages of bookings for reports.

package skipledger

import (
	"cmp"
	"slices"

	"basaltwall/api"
)

// OldestOfferTime returns the time of the oldest open offer, or 0 if there is none.
func (s *Shard) OldestOfferTime() api.WallTime {
	oldest := api.WallTime(0)
	for _, b := range s.blocks {
		for _, sk := range b.Skips {
			for i := range sk.Bookings {
				if booking := &sk.Bookings[i]; booking.Stage == Offered && (oldest == 0 || booking.OfferedAt < oldest) {
					oldest = booking.OfferedAt
				}
			}
		}
	}
	return oldest
}

// Counts holds the numbers of skips of a kind at a depot, for a range of days.
type Counts struct {
	Depot        Depot `json:"depot"`
	Kind         Kind  `json:"kind"`
	Skips        int   `json:"skips"`
	Free         int   `json:"free"`
	Offered      int   `json:"offered"`
	Promised     int   `json:"promised"` // including those delivered
	OutOfService int   `json:"out_of_service"`
}

// Count counts skips by depot and kind, for the days [from, to).
func (s *Shard) Count(from, to Day) []Counts {
	counts := map[kindKey]*Counts{}
	for _, blockID := range s.blockIDs() {
		for _, sk := range s.block(blockID).Skips {
			key := kindKey{depot: sk.Depot, kind: sk.Kind}
			if counts[key] == nil {
				counts[key] = &Counts{Depot: sk.Depot, Kind: sk.Kind}
			}
			counts[key].add(sk, from, to)
		}
	}
	out := make([]Counts, 0, len(counts))
	for _, c := range counts {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b Counts) int { return cmp.Or(cmp.Compare(a.Depot, b.Depot), cmp.Compare(a.Kind, b.Kind)) })
	return out
}

// add counts a skip for the days [from, to).
func (c *Counts) add(sk *Skip, from, to Day) {
	c.Skips++
	if sk.OutOfService {
		c.OutOfService++
	}
	if sk.CheckFree(from, to) == "" {
		c.Free++
	}
	for i := range sk.Bookings {
		switch b := &sk.Bookings[i]; {
		case !b.overlaps(from, to) || !b.Active():
		case b.Stage == Offered:
			c.Offered++
		default:
			c.Promised++
		}
	}
}
