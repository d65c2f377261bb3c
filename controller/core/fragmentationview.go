package core

import "basaltwall/api"

// FragmentationView is what an operator is shown of free accelerators of a partition that typical demands can't
// use: weighted by how typical each demand is, so what a rare one can't use counts for little.
type FragmentationView struct {
	Partition api.PartitionID     `json:"part"`
	Type      api.MachineTypeName `json:"type"`
	Zone      api.Zone            `json:"zone"`
	Free      float64             `json:"free"`
	Unusable  float64             `json:"lost"`
}
