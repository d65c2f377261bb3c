// Keys of the records in the key-value store.

package clusterstate

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"basaltwall/api"
	"basaltwall/internal/exactjson"
)

// Keys in the key-value store. Controllers follow all keys under Root. Results of finished jobs are
// stored outside of it, so that the state loaded at a restart stays bounded.
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

// RingSize is the number of round records of a partition before their keys are reused. A checkpoint must
// cover a record by then. A checkpoint grows with the running tasks, a record only with those that start or
// end, so checkpoints must be much rarer than rounds, or they would use up the write limit. A larger ring
// saves writes, but a load reads more records, about a hundred with this one.
const RingSize = 128

// PartitionKey returns the key of a partition under a prefix.
func PartitionKey(prefix string, partition api.PartitionID) string {
	return prefix + strconv.Itoa(int(partition))
}

// RoundKey returns the key of a partition's round. Keys are reused after RingSize rounds.
func RoundKey(partition api.PartitionID, seq uint64) string {
	return fmt.Sprintf("%s%d/%d", KeyRound, partition, seq%RingSize)
}

// checkpointGenerations is the number of checkpoints stored for each partition.
const checkpointGenerations = 2

// CheckpointChunkKey returns the key of a chunk of a partition's checkpoint. Generations alternate, so
// that a new checkpoint never overwrites the current one.
func CheckpointChunkKey(partition api.PartitionID, gen uint64, i int) string {
	return fmt.Sprintf("%s%d/%d/%d", KeyCheckpointChunk, partition, gen%checkpointGenerations, i)
}

// RecordKind is a kind of durable record: all keys with a prefix that ends in a slash, or the single key
// equal to the prefix. Each key stores the whole record, so checkpoints do not contain it. A write must be
// conditional on VersionCondition and on the key of the partition or member that may write the record.
type RecordKind struct {
	Prefix string
	// Put applies a value; name is the key without the prefix. On error it changes nothing.
	Put func(name string, value json.RawMessage, ver api.Revision) error
	// Delete applies a deletion; nil if deletions have no effect.
	Delete func(name string)
}

// SingleKey returns the record kind of a single key whose value is decoded into target.
func SingleKey[T any](key string, target *T) RecordKind {
	return RecordKind{Prefix: key, Put: func(_ string, value json.RawMessage, _ api.Revision) error {
		var v T
		if err := exactjson.Decode(value, &v); err != nil {
			return err
		}
		*target = v
		return nil
	}}
}

// parsePartition parses the partition number at the start of a key without its prefix. The error wraps
// ErrNoSuchPartition.
func parsePartition(name string, partitions int) (api.PartitionID, error) {
	num, _, _ := strings.Cut(name, "/")
	n, err := strconv.Atoi(num)
	if err != nil || n < 0 || n >= partitions {
		return 0, fmt.Errorf("%q: %w", num, ErrNoSuchPartition)
	}
	return api.PartitionID(n), nil
}
