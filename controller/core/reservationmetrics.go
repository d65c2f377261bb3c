package core

import "basaltwall/reservation"

// ReservationMetrics is what a controller knows of the reservation ledger that it has read, as metrics show it.
type ReservationMetrics struct {
	Kinds       []reservation.Counts                 `json:"kinds"` // of all depots together, today
	Refused     map[reservation.RefusalReason]uint64 `json:"refused"`
	Records     uint64                               `json:"records_written"`
	Conflicts   uint64                               `json:"conflicts"`
	OldestOffer float64                              `json:"oldest_offer_s"`
}
