// Record types: the values of the keys, with the JSON names in which they are stored.

package clusterstate

import (
	"encoding/json"

	"basaltwall/api"
)

// TaskRange is a range of a job's tasks, from From up to but without To, that a partition starts.
type TaskRange struct {
	From, To  int
	Partition api.PartitionID
}

// MarshalJSON writes a range as three numbers.
func (r TaskRange) MarshalJSON() ([]byte, error) {
	return json.Marshal([3]int{r.From, r.To, int(r.Partition)})
}

// UnmarshalJSON reads three numbers.
func (r *TaskRange) UnmarshalJSON(data []byte) error {
	var v [3]int
	if err := json.Unmarshal(data, &v); err != nil {
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
	Tenant      string       `json:"n,omitempty"` // its tenant, in a hosted service
	TenantJobID api.JobID    `json:"u,omitempty"` // its id as the tenant chose it
}

// MemberValue is the value of the key of a live controller.
type MemberValue struct {
	Incarnation int64 `json:"born"` // identifies a run of the process
	// Format is the newest format of records that the process understands, see Format.
	Format int `json:"format,omitempty"`
}

// Format is the format of records of this version. A record of a newer format is written only
// once every member understands it.
const Format = FormatRelays

const (
	// FormatTransfers is the format in which a loan may transfer the tasks on its machine.
	FormatTransfers = 1
	// FormatRelays is the format of processes that relay the log to others. No record differs.
	FormatRelays = 2
)

// PartitionValue is the value of a partition's key. Its revision is the term of the owner.
type PartitionValue struct {
	Owner api.ControllerID `json:"owner"`
}

// CheckpointHeadValue is the value of the key that makes the chunks of a checkpoint valid.
type CheckpointHeadValue struct {
	Seq        uint64       `json:"seq"`
	Generation uint64       `json:"gen"`
	Chunks     int          `json:"chunks"`
	Revision   api.Revision `json:"rev,omitempty"` // as in the checkpoint, see Record
}

// TaskStart is a durable start: the task, its machine and the machine's epoch.
type TaskStart struct {
	Task    int           `json:"i"`
	Machine api.MachineID `json:"m"`
	Epoch   api.Epoch     `json:"s"`
	Attempt api.Attempt   `json:"a,omitempty"` // in checkpoints only
}

// JobDelta is the changes of a job in a record, or its whole state in a checkpoint.
type JobDelta struct {
	Job                      api.JobID   `json:"j"`
	Starts                   []TaskStart `json:"+,omitempty"`
	Completed                []int       `json:"d,omitempty"` // ended by completing
	Terminated               []int       `json:"l,omitempty"` // ended otherwise
	CancellationAcknowledged bool        `json:"x,omitempty"` // its owner acknowledges the cancellation, see Job.CancellationConfirmed
	CompletedBits            []byte      `json:"b,omitempty"` // in checkpoints: all that this partition completed
}

// QuotaTransfer moves a share of a team's limit to another partition.
type QuotaTransfer struct {
	To     api.PartitionID `json:"to"`
	Team   api.Team        `json:"team"`
	Amount api.Resources   `json:"n"`
}

// Reservation reserves a machine of the partition for a job, so that the whole machine becomes free, or,
// without a job, ends the reservation. It affects choices only, never safety.
type Reservation struct {
	Machine api.MachineID `json:"m"`
	Job     api.JobID     `json:"r,omitempty"`
	Since   api.WallTime  `json:"t,omitempty"`
}

// Record is a partition's round. A checkpoint is a partition's whole state in the same form:
// placements as starts, completions as bits, quota transfers as totals since the beginning.
type Record struct {
	Seq uint64 `json:"q"`
	// Revision, in a checkpoint, is the revision up to which its writer had applied the log.
	Revision       api.Revision    `json:"rev,omitempty"`
	Jobs           []JobDelta      `json:"j,omitempty"`
	QuotaTransfers []QuotaTransfer `json:"g,omitempty"`
	Reservations   []Reservation   `json:"k,omitempty"`
}
