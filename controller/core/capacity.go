package core

// This file holds the unit in which free capacity is counted.

import (
	"basaltwall/api"
	"basaltwall/controller/message"
)

// FreeCapacityGroup is a number of machines of one partition and class that have the same
// resources free. It is comparable, so that it can be a key.
type FreeCapacityGroup struct {
	Partition api.PartitionID
	Class     message.MachineClass
	message.FreeCapacity
}
