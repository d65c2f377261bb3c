package clusterstate

import "errors"

// Errors of a record that can't be folded; the returned error names the key, and the field or
// value at fault.
var (
	// ErrNoSuchPartition is returned for a record of a partition that the cluster does not have.
	ErrNoSuchPartition = errors.New("no such partition")
	// ErrNoJobSpec is returned for a job's record without the job's specification.
	ErrNoJobSpec = errors.New("job record without a specification")
)
