package core

// This file holds what several components compute or show for operators.

import (
	"basaltwall/api"
	"basaltwall/reservation"
)

// FragmentationView is the free accelerators of a partition's machines of one type and zone that
// typical demands can't use. They are weighted by how typical each demand is, so what a rare one
// can't use counts for little.
type FragmentationView struct {
	Partition api.PartitionID     `json:"part"`
	Type      api.MachineTypeName `json:"type"`
	Zone      api.Zone            `json:"zone"`
	Free      float64             `json:"free"`
	Unusable  float64             `json:"lost"`
}

// ReservationMetrics is what a controller knows of the reservation ledger that it has read.
type ReservationMetrics struct {
	Kinds       []reservation.Counts                 `json:"kinds"` // today, of all depots together
	Refused     map[reservation.RefusalReason]uint64 `json:"refused"`
	Records     uint64                               `json:"records_written"`
	Conflicts   uint64                               `json:"conflicts"`
	OldestOffer float64                              `json:"oldest_offer_s"` // its age in seconds
}
