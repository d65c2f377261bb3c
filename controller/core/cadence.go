// Durations and names that several components of a controller must agree on.

package core

import (
	"time"

	"basaltwall/api"
)

const (
	// DemandSampleInterval is how often the demand for machines with accelerators is
	// measured.
	DemandSampleInterval = time.Second
	// MinServiceRuntime is how long a service's replica must have run before it is moved.
	MinServiceRuntime = time.Minute
)

// AllPartitions stands for all partitions together where one is asked for.
const AllPartitions = api.PartitionID(-1)
