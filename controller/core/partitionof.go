package core

// This file determines the partition of a machine and the lowest valid fencing token for it.

import (
	"hash/fnv"
	"strconv"
	"strings"

	"basaltwall/api"
)

// AllPartitions selects all partitions together where a function takes a partition.
const AllPartitions = api.PartitionID(-1)

// HashPartition returns the partition of a machine that is not on loan. Machine names are numbered
// in order of creation, so the number spreads machines that were requested together evenly over the
// partitions. The offset grows by one after each pass over them, so that zones requested in
// rotation don't coincide with partitions.
func HashPartition(id api.MachineID, partitions int) api.PartitionID {
	s := string(id)
	digits := s[strings.LastIndexByte(s, '-')+1:]
	if number, err := strconv.ParseUint(digits, 10, 64); err == nil {
		return api.PartitionID((number + number/uint64(partitions)) % uint64(partitions))
	}
	hash := fnv.New32a()
	hash.Write([]byte(s))
	return api.PartitionID(hash.Sum32() % uint32(partitions))
}

// PartitionOf returns the partition of a machine, including loans.
func (k *Core) PartitionOf(id api.MachineID) api.PartitionID {
	if loan, ok := k.State.Loans[id]; ok {
		return loan.Partition
	}
	return HashPartition(id, len(k.State.Partitions))
}

// MinToken returns the lowest token with which the owner of a partition may command a machine: the
// term or, for a machine lent to the partition during the term, the revision of the loan.
func (k *Core) MinToken(owned *OwnedPartition, id api.MachineID) api.FencingToken {
	return api.FencingToken(max(owned.Term, k.State.Loans[id].Revision))
}
