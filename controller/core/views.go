package core

// This file defines views for operators that several components compute or show.

import (
	"basaltwall/api"
	"basaltwall/skipledger"
)

// FragmentationView is the number of free accelerators on a partition's machines of one type and
// zone, and how many of them are unusable for typical demands. Demands are weighted by their
// frequency.
type FragmentationView struct {
	Partition api.PartitionID     `json:"part"`
	Type      api.MachineTypeName `json:"type"`
	Zone      api.Zone            `json:"zone"`
	Free      float64             `json:"free"`
	Unusable  float64             `json:"lost"`
}

// SkipMetrics summarizes the ledger of skips as read by this controller.
type SkipMetrics struct {
	Kinds       []skipledger.Counts                 `json:"kinds"` // today, over all depots
	Refused     map[skipledger.RefusalReason]uint64 `json:"refused"`
	Records     uint64                              `json:"records_written"`
	Conflicts   uint64                              `json:"conflicts"`
	OldestOffer float64                             `json:"oldest_offer_s"` // its age in seconds
}
