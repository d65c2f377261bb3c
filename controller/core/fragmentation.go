package core

import "basaltwall/api"

// FragmentationView is what operators are shown of the free accelerators of a partition's
// machines of one type and zone. Capacity counts as unusable by how usual the demands are that
// don't fit it: what only a rare demand can't use counts for little.
type FragmentationView struct {
	Partition api.PartitionID     `json:"part"`
	Type      api.MachineTypeName `json:"type"`
	Zone      api.Zone            `json:"zone"`
	Free      float64             `json:"free"`
	Unusable  float64             `json:"lost"`
}
