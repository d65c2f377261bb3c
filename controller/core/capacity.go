package core

// This file defines the unit in which free capacity is counted.

import (
	"basaltwall/api"
	"basaltwall/controller/message"
)

// FreeCapacityGroup counts machines of one partition and class that have the same free resources.
// It is comparable, so it can be a map key.
type FreeCapacityGroup struct {
	Partition api.PartitionID
	Class     message.MachineClass
	message.FreeCapacity
}
