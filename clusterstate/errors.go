// Errors returned for records that can't be applied.

package clusterstate

import (
	"errors"
	"fmt"

	"basaltwall/api"
)

// Sentinel errors of records that can't be applied. The errors that wrap them contain the key and the
// invalid field or value.
var (
	// ErrNoSuchPartition is returned for a record of a partition that does not exist.
	ErrNoSuchPartition = errors.New("no such partition")
	// ErrNoJobSpec is returned for a job record without a specification.
	ErrNoJobSpec = errors.New("job record without a specification")
)

// RoundGapError is returned if the rounds after a partition's checkpoint have a gap.
type RoundGapError struct {
	Partition api.PartitionID
	Seq       uint64 // sequence number of the round after the gap
	Latest    uint64 // sequence number of the round before the gap
}

func (e *RoundGapError) Error() string {
	return fmt.Sprintf("partition %d: rounds missing: round %d follows round %d", e.Partition, e.Seq, e.Latest)
}
