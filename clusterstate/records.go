// Types of the stored values, with their JSON names.

package clusterstate

import (
	"encoding/json"

	"basaltwall/api"
	"basaltwall/internal/exactjson"
)

// TaskRange is the range [From, To) of a job's task indexes that a partition starts.
type TaskRange struct {
	From, To  int
	Partition api.PartitionID
}

// MarshalJSON encodes a range as a list of three numbers.
func (r TaskRange) MarshalJSON() ([]byte, error) {
	return json.Marshal([3]int{r.From, r.To, int(r.Partition)})
}

// UnmarshalJSON decodes a range from a list of three numbers.
func (r *TaskRange) UnmarshalJSON(data []byte) error {
	var v [3]int
	if err := exactjson.Decode(data, &v); err != nil {
		return err
	}
	*r = TaskRange{From: v[0], To: v[1], Partition: api.PartitionID(v[2])}
	return nil
}

// JobValue is the value of a job's key.
type JobValue struct {
	Spec        *api.JobSpec `json:"s"`
	Split       []TaskRange  `json:"p"`
	Cancelled   bool         `json:"x,omitempty"`
	CancelledAt api.WallTime `json:"c,omitempty"`
	AcceptedAt  api.WallTime `json:"t"`
	Tenant      string       `json:"n,omitempty"` // tenant of the hosted service, empty otherwise
	TenantJobID api.JobID    `json:"u,omitempty"` // job ID chosen by the tenant
}

// MemberValue is the value of a live controller's member key.
type MemberValue struct {
	Incarnation int64 `json:"born"` // identifies a run of the process
	// Format is the newest record format that the process supports, see the constant Format.
	Format int `json:"format,omitempty"`
}

// Format is the newest record format that this version supports. Records of a newer format are written
// only once every member supports it.
const Format = FormatPackedStarts

const (
	// FormatTransfers is the format with loans that transfer the tasks on the machine.
	FormatTransfers = 1
	// FormatRelays marks versions that can relay the log to other controllers. The records are the
	// same as in FormatTransfers.
	FormatRelays = 2
	// FormatPackedStarts is the format with packed starts of gangs in rounds, see TaskStarts.
	FormatPackedStarts = 3
)

// PartitionValue is the value of a partition's key. The key's revision is the owner's term.
type PartitionValue struct {
	Owner api.ControllerID `json:"owner"`
}

// CheckpointHeadValue is the value of the key that makes the chunks of a checkpoint valid.
type CheckpointHeadValue struct {
	Seq        uint64       `json:"seq"`
	Generation uint64       `json:"gen"`
	Chunks     int          `json:"chunks"`
	Revision   api.Revision `json:"rev,omitempty"` // revision of the checkpoint, see Record
}

// TaskStart is a durable start of a task on a machine in an epoch of its agent.
type TaskStart struct {
	Task    int           `json:"i"`
	Machine api.MachineID `json:"m"`
	Epoch   api.Epoch     `json:"s"`
	Attempt api.Attempt   `json:"a,omitempty"` // only in checkpoints and loans; computed by AttemptNumber in rounds
}

// JobDelta is the changes of a job in a round, or the job's whole state in a checkpoint.
type JobDelta struct {
	Job                      api.JobID  `json:"j"`
	Starts                   TaskStarts `json:"+,omitempty"`
	Completed                []int      `json:"d,omitempty"` // tasks that ended by completion
	EndedIncomplete          []int      `json:"l,omitempty"` // tasks that ended otherwise
	CancellationAcknowledged bool       `json:"x,omitempty"` // see Job.CancellationConfirmed
	CompletedBits            []byte     `json:"b,omitempty"` // only in checkpoints: bit set of completed tasks
}

// QuotaTransfer transfers a part of a team's quota to another partition.
type QuotaTransfer struct {
	To     api.PartitionID `json:"to"`
	Team   api.Team        `json:"team"`
	Amount api.Resources   `json:"n"`
}

// Reservation reserves a machine of the partition for a job, so that the whole machine becomes free.
// Without a job it ends the reservation. Reservations affect scheduling decisions only, never safety.
type Reservation struct {
	Machine api.MachineID `json:"m"`
	Job     api.JobID     `json:"r,omitempty"`
	Since   api.WallTime  `json:"t,omitempty"`
}

// RoundRecord is the changes of a partition's round. A checkpoint is a partition's whole state in the same form,
// with placements as starts, completions as bits and quota transfers as totals.
type RoundRecord struct {
	Seq uint64 `json:"q"`
	// Revision, set only in checkpoints, is the revision up to which the writer had applied the log.
	Revision       api.Revision    `json:"rev,omitempty"`
	Jobs           []JobDelta      `json:"j,omitempty"`
	QuotaTransfers []QuotaTransfer `json:"g,omitempty"`
	Reservations   []Reservation   `json:"k,omitempty"`
	// packed contains the packed form of the starts of jobs whose list would be too large, see SetPacked.
	packed map[api.JobID]PackedStarts
}
