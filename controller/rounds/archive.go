package rounds

// This file archives finished jobs: it replaces their records with their results.

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// archiveInterval is the time between two archivals of a partition's finished jobs.
const archiveInterval = 2 * time.Second

// archiveJobs replaces the records of finished jobs with their results. Only the owner of a job's
// first task does so, and only when no placement of the job is left. Every start is conditional on
// the job's key, so no start can follow.
func (s *Scheduler) archiveJobs(owned *core.OwnedPartition) {
	if owned.ArchivingResults || owned.HandingOver || s.core.Now < owned.NextArchive {
		return
	}
	txn := s.archiveTxn(owned)
	owned.NextArchive = s.core.Now.Add(archiveInterval)
	if len(txn.Writes) == 0 {
		return
	}
	owned.ArchivingResults = true
	s.core.CallStoreTxn(txn, func(response message.StoreResponse) {
		owned.ArchivingResults = false
		switch response.Status {
		case api.StatusOK:
			owned.ArchiveReduction.Accepted()
		case api.StatusBadRequest:
			owned.ArchiveReduction.Rejected()
		}
	})
}

// archiveTxn returns a transaction that archives as many finished jobs as fit into it.
func (s *Scheduler) archiveTxn(owned *core.OwnedPartition) api.Txn {
	var jobs []api.Txn
	for _, id := range slices.Sorted(maps.Keys(s.core.State.FinishedJobs)) {
		j := s.core.State.FinishedJobs[id]
		if !ownsFirstTask(owned.ID, j) {
			continue
		}
		if len(jobs) == s.core.Config.Deployment.State.TxnOps {
			break
		}
		conditions := []api.Condition{{Key: clusterstate.KeyJob + string(id), Version: j.Version}, {Key: clusterstate.KeyJobResult + string(id)}}
		jobs = append(jobs, api.Txn{If: conditions, Writes: s.archiveWrites(j)})
	}
	txn, _ := s.core.LargestFittingTxn([]api.Condition{owned.OwnershipCondition()}, jobs, owned.ArchiveReduction)
	return txn
}

// archiveWrites returns the writes that replace a job's record with its result and, for a tenant's
// job, add it to the tenant's history.
func (s *Scheduler) archiveWrites(j *core.Job) []api.Write {
	result, _ := json.Marshal(j.State()) // a string can always be encoded
	writes := []api.Write{{Drop: clusterstate.KeyJob + string(j.ID)}, {Put: clusterstate.KeyJobResult + string(j.ID), Value: result}}
	if j.Tenant != "" {
		writes = append(writes, s.deps.Tenancy.NewHistoryWrite(j))
	}
	return writes
}
