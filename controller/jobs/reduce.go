package jobs

import (
	"encoding/json"
	"log/slog"
	"slices"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// This file corrects the number of tasks of a job whose record has more than its user submitted.

// ReduceTasks writes a job's record with fewer tasks. The write is conditional on the version of the record, so
// that no cancellation, move or start that is recorded at the same time is lost. A job that is over, or that
// has completed a task with a higher index, stays as it is.
func (s *Service) ReduceTasks(owned *core.OwnedPartition, j *core.Job, tasks int) {
	before := j.Spec.Tasks
	if tasks < 1 || tasks >= before || j.Terminal() || j.Completed.Count(tasks, before) > 0 {
		return
	}
	spec, value := *j.Spec, j.JobValue
	spec.Tasks = tasks
	value.Spec, value.Split = &spec, limitSplit(j.Split, tasks)
	data, err := json.Marshal(value)
	if err != nil || s.core.JobExceedsValueSize(data) {
		return
	}
	id, key := j.ID, clusterstate.KeyJob+string(j.ID)
	txn := api.Txn{
		If:     []api.Condition{{Key: key, Version: j.Version}, owned.OwnershipCondition()},
		Writes: []api.Write{{Put: key, Value: data}},
	}
	s.core.CallStoreTxn(txn, func(response message.StoreResponse) {
		slog.Warn("job's number of tasks reduced: no worker knows the others", "job", id, "from", before, "to", tasks, "status", response.Status)
		s.deps.Log.LinearizableRead(func() {}, func() {})
	})
}

// limitSplit returns a split without the tasks from an index on.
func limitSplit(split []clusterstate.TaskRange, tasks int) []clusterstate.TaskRange {
	limited := slices.Clone(split)
	for i := range limited {
		limited[i].To = min(limited[i].To, tasks)
	}
	return slices.DeleteFunc(limited, func(r clusterstate.TaskRange) bool { return r.From >= r.To })
}
