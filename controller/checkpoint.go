package controller

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
)

// maybeCheckpoint writes the part's state when enough rounds have passed, so that
// recovery reads a bounded amount and the ring of records can go round.
func (rs *RoundScheduler) maybeCheckpoint(owned *ownedPartition) {
	ps := &rs.core.state.Partitions[owned.id]
	if owned.checkpointing || owned.handingOver || ps.RoundSeq < ps.CheckpointHead.Seq+clusterstate.RingSize/2 || rs.core.now < owned.nextArchive {
		return
	}
	writes, err := rs.core.state.CheckpointWrites(owned.id, int(rs.core.config.Deployment.State.ValueKB*1024)-64)
	if err != nil {
		slog.Error("checkpoint not encoded", "err", err)
		return
	}
	owned.checkpointing = true
	rs.writeCheckpointPieces(owned, writes)
}

// writeCheckpointPieces writes the next few pieces; the head, which makes them count, is in
// the last transaction. Each is conditional on the versions it replaces.
func (rs *RoundScheduler) writeCheckpointPieces(owned *ownedPartition, writes []api.Write) {
	k := min(len(writes), rs.core.config.Deployment.State.TxnOps, max(1, int(56/rs.core.config.Deployment.State.ValueKB)))
	tx := api.Txn{If: []api.Condition{owned.ownershipCondition()}, Writes: writes[:k]}
	for _, w := range writes[:k] {
		tx.If = append(tx.If, rs.core.state.VersionCondition(w.Put))
	}
	rs.core.CallStoreTxn(tx, func(a StoreResponse) {
		if rs.partitions[owned.id] != owned {
			return
		}
		if a.Status == 200 {
			for _, w := range writes[:k] {
				rs.core.state.SetVersion(w.Put, a.Txn.Revision)
			}
			if k < len(writes) {
				rs.writeCheckpointPieces(owned, writes[k:])
				return
			}
			var head clusterstate.CheckpointHeadValue
			if json.Unmarshal(writes[k-1].Value, &head) == nil {
				rs.core.state.Partitions[owned.id].CheckpointHead = head
			}
			owned.checkpointing, owned.dirty = false, true
			return
		}
		// Try afresh, with the versions as they are by then.
		owned.nextArchive = rs.core.now.Add(retryDelay)
		rs.c.follower.LinearizableRead(func() { owned.checkpointing = false }, func() { owned.checkpointing = false })
	})
}

// archiveJobs replaces the keys of jobs that are over by their final states. Only
// the owner of a job's first task does so, and only when no place of the job
// is left: every start is conditional on the job's key, so none can follow.
func (rs *RoundScheduler) archiveJobs(owned *ownedPartition) {
	if owned.archivingResults || owned.handingOver || rs.core.now < owned.nextArchive {
		return
	}
	var tx api.Txn
	for _, ref := range slices.Sorted(maps.Keys(rs.core.state.FinishedJobs)) {
		j := rs.core.state.FinishedJobs[ref]
		if len(j.Split) == 0 || j.Split[0].Partition != owned.id {
			continue
		}
		v, _ := json.Marshal(j.State())
		job, final := clusterstate.KeyJob+string(ref), clusterstate.KeyJobResult+string(ref)
		writes := []api.Write{{Drop: job}, {Put: final, Value: v}}
		if j.Tenant != "" {
			writes = append(writes, rs.c.tenancy.HistoryWrite(j))
		}
		if len(tx.Writes)+len(writes) > rs.core.config.Deployment.State.TxnOps {
			break
		}
		tx.If = append(tx.If, api.Condition{Key: job, Version: j.Version}, api.Condition{Key: final})
		tx.Writes = append(tx.Writes, writes...)
	}
	owned.nextArchive = rs.core.now.Add(2 * time.Second)
	if len(tx.Writes) == 0 {
		return
	}
	tx.If = append(tx.If, owned.ownershipCondition())
	owned.archivingResults = true
	rs.core.CallStoreTxn(tx, func(StoreResponse) { owned.archivingResults = false })
}
