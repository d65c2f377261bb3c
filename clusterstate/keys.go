// Package clusterstate owns the replicated state as a controller knows it: the fold of every key
// under Root in the consensus-backed key-value store, in the order of their revisions. Two states
// at the same revision agree. It decides nothing; what the owner of a partition tracks of jobs and
// placements beyond their records is of the type parameters J and P.
//
// Not safe for concurrent use: the controller's single owner goroutine holds it.
package clusterstate

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"basaltwall/api"
)

// Keys in the key-value store. Everything a controller follows lies under Root; the results of
// finished jobs lie outside, so that what a restart reads stays bounded.
const (
	Root               = "b/"
	KeyMember          = Root + "member/"
	KeyPartition       = Root + "part/"
	KeyCheckpointHead  = Root + "head/"
	KeyCheckpointChunk = Root + "snap/"
	KeyRound           = Root + "round/"
	KeyJob             = Root + "job/"
	KeyLoan            = Root + "lend/"
	KeyJobResult       = "final/"
)

// RingSize is how many round records a partition keeps before their keys are used
// again; a checkpoint must have covered a record by then. A checkpoint grows with
// the tasks that run, a record with those that start or end, so checkpoints must
// be much rarer than rounds, or they would use up the writes; what is read after
// a crash stays some hundred records.
const RingSize = 128

// PartitionKey is the key of a partition under a prefix.
func PartitionKey(prefix string, partition api.PartitionID) string {
	return prefix + strconv.Itoa(int(partition))
}

// RoundKey is the key of a partition's round in its ring.
func RoundKey(partition api.PartitionID, seq uint64) string {
	return fmt.Sprintf("%s%d/%d", KeyRound, partition, seq%RingSize)
}

// CheckpointChunkKey is the key of a piece of a partition's checkpoint; two generations take turns.
func CheckpointChunkKey(partition api.PartitionID, gen uint64, i int) string {
	return fmt.Sprintf("%s%d/%d/%d", KeyCheckpointChunk, partition, gen%2, i)
}

// RecordKind is a kind of durable record: all keys that begin with a prefix, or the key that
// is the prefix. A key's value is the record's whole state, so checkpoints need not contain it,
// and a restart reads it from its keys.
// A write of it is conditional on VersionCondition, and on the key of the partition or member
// that is entitled to it.
type RecordKind struct {
	Prefix string
	// Put takes in a value; name is what follows the prefix. It leaves all as it was
	// when it returns an error.
	Put func(name string, value json.RawMessage, ver api.Revision) error
	// Delete takes in a deletion; nil where nothing is kept of the key.
	Delete func(name string)
}

// SingleKey is the kind of a single key whose value is read into to.
func SingleKey[T any](key string, to *T) RecordKind {
	return RecordKind{Prefix: key, Put: func(_ string, value json.RawMessage, _ api.Revision) error {
		var v T
		if err := json.Unmarshal(value, &v); err != nil {
			return err
		}
		*to = v
		return nil
	}}
}

// parsePartition reads the partition's number from what follows a prefix.
func parsePartition(name string, partitions int) (api.PartitionID, error) {
	num, _, _ := strings.Cut(name, "/")
	n, err := strconv.Atoi(num)
	if err != nil || n < 0 || n >= partitions {
		return 0, fmt.Errorf("%q: %w", num, ErrNoSuchPartition)
	}
	return api.PartitionID(n), nil
}
