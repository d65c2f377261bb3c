package controller

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// maybeCheckpoint writes the part's state when enough rounds have passed, so that
// recovery reads a bounded amount and the ring of records can go round.
func (rs *RoundScheduler) maybeCheckpoint(owned *core.OwnedPartition) {
	ps := &rs.core.State.Partitions[owned.ID]
	if owned.Checkpointing || owned.HandingOver || ps.RoundSeq < ps.CheckpointHead.Seq+clusterstate.RingSize/2 || rs.core.Now < owned.NextArchive {
		return
	}
	writes, err := rs.core.State.CheckpointWrites(owned.ID, int(rs.core.Config.Deployment.State.ValueKB*1024)-64)
	if err != nil {
		slog.Error("checkpoint not encoded", "err", err)
		return
	}
	owned.Checkpointing = true
	rs.writeCheckpointPieces(owned, writes)
}

// writeCheckpointPieces writes the next few pieces; the head, which makes them count, is in
// the last transaction. Each is conditional on the versions it replaces.
func (rs *RoundScheduler) writeCheckpointPieces(owned *core.OwnedPartition, writes []api.Write) {
	k := min(len(writes), rs.core.Config.Deployment.State.TxnOps, max(1, int(56/rs.core.Config.Deployment.State.ValueKB)))
	tx := api.Txn{If: []api.Condition{owned.OwnershipCondition()}, Writes: writes[:k]}
	for _, w := range writes[:k] {
		tx.If = append(tx.If, rs.core.State.VersionCondition(w.Put))
	}
	rs.core.CallStoreTxn(tx, func(a message.StoreResponse) {
		if rs.core.Partitions[owned.ID] != owned {
			return
		}
		if a.Status == 200 {
			for _, w := range writes[:k] {
				rs.core.State.SetVersion(w.Put, a.Txn.Revision)
			}
			if k < len(writes) {
				rs.writeCheckpointPieces(owned, writes[k:])
				return
			}
			var head clusterstate.CheckpointHeadValue
			if json.Unmarshal(writes[k-1].Value, &head) == nil {
				rs.core.State.Partitions[owned.ID].CheckpointHead = head
			}
			owned.Checkpointing, owned.Dirty = false, true
			return
		}
		// Try afresh, with the versions as they are by then.
		owned.NextArchive = rs.core.Now.Add(core.RetryDelay)
		rs.c.follower.LinearizableRead(func() { owned.Checkpointing = false }, func() { owned.Checkpointing = false })
	})
}

// archiveJobs replaces the keys of jobs that are over by their final states. Only
// the owner of a job's first task does so, and only when no place of the job
// is left: every start is conditional on the job's key, so none can follow.
func (rs *RoundScheduler) archiveJobs(owned *core.OwnedPartition) {
	if owned.ArchivingResults || owned.HandingOver || rs.core.Now < owned.NextArchive {
		return
	}
	var tx api.Txn
	for _, ref := range slices.Sorted(maps.Keys(rs.core.State.FinishedJobs)) {
		j := rs.core.State.FinishedJobs[ref]
		if len(j.Split) == 0 || j.Split[0].Partition != owned.ID {
			continue
		}
		v, _ := json.Marshal(j.State())
		job, final := clusterstate.KeyJob+string(ref), clusterstate.KeyJobResult+string(ref)
		writes := []api.Write{{Drop: job}, {Put: final, Value: v}}
		if j.Tenant != "" {
			writes = append(writes, rs.c.tenancy.HistoryWrite(j))
		}
		if len(tx.Writes)+len(writes) > rs.core.Config.Deployment.State.TxnOps {
			break
		}
		tx.If = append(tx.If, api.Condition{Key: job, Version: j.Version}, api.Condition{Key: final})
		tx.Writes = append(tx.Writes, writes...)
	}
	owned.NextArchive = rs.core.Now.Add(2 * time.Second)
	if len(tx.Writes) == 0 {
		return
	}
	tx.If = append(tx.If, owned.OwnershipCondition())
	owned.ArchivingResults = true
	rs.core.CallStoreTxn(tx, func(message.StoreResponse) { owned.ArchivingResults = false })
}
