package core

// This file holds which partition a machine belongs to, and under which token it is commanded.

import (
	"hash/fnv"
	"strconv"
	"strings"

	"basaltwall/api"
)

// AllPartitions stands for all partitions together where one is asked for.
const AllPartitions = api.PartitionID(-1)

// HashPartition is the partition that a machine belongs to unless it is on loan. Names are numbered
// in order of creation, so the number spreads machines that were requested together evenly over the
// partitions. The offset grows by one after each pass over them, so that zones which are requested
// in rotation don't coincide with partitions.
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

// PartitionOf is the partition that a machine belongs to.
func (k *Core) PartitionOf(id api.MachineID) api.PartitionID {
	if loan, ok := k.State.Loans[id]; ok {
		return loan.Partition
	}
	return HashPartition(id, len(k.State.Partitions))
}

// MinToken is the lowest token under which the owner of a partition may command a machine: its
// term or, for a machine on loan to the partition since, the loan's revision.
func (k *Core) MinToken(owned *OwnedPartition, id api.MachineID) api.FencingToken {
	return api.FencingToken(max(owned.Term, k.State.Loans[id].Revision))
}
