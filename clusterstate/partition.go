// Partitions: owner and term, checkpoint, reservations and transferred quota.

package clusterstate

import (
	"encoding/json"

	"basaltwall/api"
	"basaltwall/internal/exactjson"
)

// priorityRanks is the number of priority ranks (api.Priority.Rank).
const priorityRanks = 4

// Partition is the replicated state of a partition of the machines.
type Partition struct {
	TeamUsage        map[api.Team]api.Resources // resources of placements that are not finishing
	PoolUsage        map[api.PoolName]int       // pool units of placements that are not finishing
	CountByRank      [priorityRanks]int         // number of placements by priority rank, without gangs
	Owner            api.ControllerID
	Term             api.Revision
	RoundSeq         uint64 // sequence number of the latest round
	CheckpointHead   CheckpointHeadValue
	Reservations     map[api.MachineID]Reservation
	quotaTransferred map[api.PartitionID]map[api.Team]api.Resources // total quota transferred to each other partition
}

// putPartition applies the value of a partition's key: a new owner, or a new term of the same owner.
func (s *State[J, P]) putPartition(name string, value json.RawMessage, version api.Revision) error {
	partition, err := parsePartition(name, len(s.Partitions))
	if err != nil {
		return err
	}
	var v PartitionValue
	if err := exactjson.Decode(value, &v); err != nil {
		return err
	}
	s.Partitions[partition].Owner, s.Partitions[partition].Term = v.Owner, version
	return nil
}

// putCheckpointHead applies the head of a checkpoint, which makes the checkpoint valid.
func (s *State[J, P]) putCheckpointHead(name string, value json.RawMessage, _ api.Revision) error {
	partition, err := parsePartition(name, len(s.Partitions))
	if err != nil {
		return err
	}
	var v CheckpointHeadValue
	if err := exactjson.Decode(value, &v); err != nil {
		return err
	}
	s.Partitions[partition].CheckpointHead = v
	return nil
}

// addQuotaTransfers adds quota transfers from a partition to its totals.
func (s *State[J, P]) addQuotaTransfers(partition api.PartitionID, transfers []QuotaTransfer) {
	for _, g := range transfers {
		m := s.Partitions[partition].quotaTransferred[g.To]
		if m == nil {
			m = map[api.Team]api.Resources{}
			s.Partitions[partition].quotaTransferred[g.To] = m
		}
		m[g.Team] = m[g.Team].Plus(g.Amount)
	}
}

// QuotaShare returns a partition's share of a team's limit, including quota transfers.
func (s *State[J, P]) QuotaShare(partition api.PartitionID, team api.Team, limit api.Resources) api.Resources {
	n := api.Quantity(len(s.Partitions))
	share := api.Resources{CPU: limit.CPU / n, GPU: limit.GPU / n}
	if partition == 0 { // the remainder of the division
		share.CPU += limit.CPU % n
		share.GPU += limit.GPU % n
	}
	for i := range s.Partitions {
		if api.PartitionID(i) != partition {
			share = share.Plus(s.Partitions[i].quotaTransferred[partition][team])
		}
	}
	for _, teams := range s.Partitions[partition].quotaTransferred {
		share = share.Minus(teams[team])
	}
	return share
}
