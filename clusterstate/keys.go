// Keys: under which key of the key-value store each kind of record is stored.

package clusterstate

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"basaltwall/api"
)

// Keys in the key-value store. Controllers follow all keys under Root; the results of
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

// RingSize is how many round records a partition keeps before their keys are reused;
// a checkpoint must have covered a record by then. A checkpoint grows with
// the running tasks, a record with those that start or end, so checkpoints must
// be much rarer than rounds, or they would use up the write limit; a restart reads
// a hundred records or so.
const RingSize = 128

// PartitionKey is the key of a partition under a prefix.
func PartitionKey(prefix string, partition api.PartitionID) string {
	return prefix + strconv.Itoa(int(partition))
}

// RoundKey is the key of the record of a partition's round in its ring.
func RoundKey(partition api.PartitionID, seq uint64) string {
	return fmt.Sprintf("%s%d/%d", KeyRound, partition, seq%RingSize)
}

// checkpointGenerations is how many checkpoints of a partition are stored.
const checkpointGenerations = 2

// CheckpointChunkKey is the key of a chunk of a partition's checkpoint. Two generations alternate, so that
// a checkpoint being written never overwrites the current one.
func CheckpointChunkKey(partition api.PartitionID, gen uint64, i int) string {
	return fmt.Sprintf("%s%d/%d/%d", KeyCheckpointChunk, partition, gen%checkpointGenerations, i)
}

// RecordKind is a kind of durable record: all keys with a prefix that ends with a slash, or the key
// that is the prefix. The value of a key is the record's whole state, so checkpoints need not contain
// it, and a restart reads it from its keys. A write is conditional on VersionCondition, and on the key
// of the partition or member that is entitled to write.
type RecordKind struct {
	Prefix string
	// Put applies a value; name is what follows the prefix. On error everything stays as it was.
	Put func(name string, value json.RawMessage, ver api.Revision) error
	// Delete applies a deletion; nil if nothing is kept of the key.
	Delete func(name string)
}

// SingleKey is the kind of a single key whose value is decoded into target.
func SingleKey[T any](key string, target *T) RecordKind {
	return RecordKind{Prefix: key, Put: func(_ string, value json.RawMessage, _ api.Revision) error {
		var v T
		if err := json.Unmarshal(value, &v); err != nil {
			return err
		}
		*target = v
		return nil
	}}
}

// parsePartition parses the number of a partition from what follows a prefix. The error wraps
// ErrNoSuchPartition.
func parsePartition(name string, partitions int) (api.PartitionID, error) {
	num, _, _ := strings.Cut(name, "/")
	n, err := strconv.Atoi(num)
	if err != nil || n < 0 || n >= partitions {
		return 0, fmt.Errorf("%q: %w", num, ErrNoSuchPartition)
	}
	return api.PartitionID(n), nil
}
