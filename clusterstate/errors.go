// Errors of records that can't be applied.

package clusterstate

import (
	"errors"
	"fmt"

	"basaltwall/api"
)

// Sentinel errors of a record that can't be applied; the returned error names the key, and the field
// or value at fault.
var (
	// ErrNoSuchPartition is returned for a record of a partition that the cluster does not have.
	ErrNoSuchPartition = errors.New("no such partition")
	// ErrNoJobSpec is returned for a job's record without the job's specification.
	ErrNoJobSpec = errors.New("job record without a specification")
)

// RoundGapError is the error of a partition whose rounds after its checkpoint have a gap.
type RoundGapError struct {
	Partition api.PartitionID
	Seq       uint64 // the round found
	Latest    uint64 // the round before it
}

func (e *RoundGapError) Error() string {
	return fmt.Sprintf("part %d: round %d follows %d", e.Partition, e.Seq, e.Latest)
}
