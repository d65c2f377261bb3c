// Record types: the values of the keys, with the JSON names in which they are stored.

package clusterstate

import (
	"encoding/json"

	"basaltwall/api"
)

// TaskRange is a run of a job's tasks, From included and To not, held by a partition.
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
	*r = TaskRange{v[0], v[1], api.PartitionID(v[2])}
	return nil
}

// JobValue is a job's key.
type JobValue struct {
	Spec        *api.JobSpec `json:"s"`
	Split       []TaskRange  `json:"p"`
	Cancelled   bool         `json:"x,omitempty"`
	CancelledAt api.WallTime `json:"c,omitempty"`
	AcceptedAt  api.WallTime `json:"t"`
	Tenant      string       `json:"n,omitempty"` // whose it is, in a hosted service
	TenantJobID api.JobID    `json:"u,omitempty"` // its reference as the tenant chose it
}

// MemberValue is the key of a living controller.
type MemberValue struct {
	Incarnation int64 `json:"born"` // tells one run of a process from the next
	// Format is the newest form of records that the process understands, see Format.
	Format int `json:"format,omitempty"`
}

// Format is the form of records of this version. A record of a newer form is written only
// once every member understands it.
const Format = FormatRelays

const (
	// FormatTransfers is the form in which a loan may carry the tasks that run on the machine.
	FormatTransfers = 1
	// FormatRelays is that of processes that answer questions for the log and pass on news. No
	// record differs.
	FormatRelays = 2
)

// PartitionValue is a partition's key, whose revision is the term.
type PartitionValue struct {
	Owner api.ControllerID `json:"owner"`
}

// CheckpointHeadValue is the key that makes a checkpoint's pieces count.
type CheckpointHeadValue struct {
	Seq        uint64       `json:"seq"`
	Generation uint64       `json:"gen"`
	Chunks     int          `json:"chunks"`
	Revision   api.Revision `json:"rev,omitempty"` // up to which the log was folded, as in the checkpoint
}

// TaskStart is a durable start: the task, its machine and that machine's session.
type TaskStart struct {
	Task    int           `json:"i"`
	Machine api.MachineID `json:"m"`
	Epoch   api.Epoch     `json:"s"`
	Attempt api.Attempt   `json:"a,omitempty"` // in checkpoints only
}

// JobDelta is what a record or a checkpoint says of a job.
type JobDelta struct {
	Job                      api.JobID   `json:"j"`
	Starts                   []TaskStart `json:"+,omitempty"`
	Completed                []int       `json:"d,omitempty"` // ended and done
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

// Reservation reserves a machine of the partition for a job, so that it becomes free as a whole, or,
// without a job, ends the reservation. It bears on choices only, never on a rule.
type Reservation struct {
	Machine api.MachineID `json:"m"`
	Job     api.JobID     `json:"r,omitempty"`
	Since   api.WallTime  `json:"t,omitempty"`
}

// Record is a partition's round. A checkpoint is a partition's whole state in the same form:
// placements as starts, completions as bits, quota transfers as totals since the beginning.
type Record struct {
	Seq uint64 `json:"q"`
	// Revision, of a checkpoint, is the revision up to which its writer had folded the log.
	Revision       api.Revision    `json:"rev,omitempty"`
	Jobs           []JobDelta      `json:"j,omitempty"`
	QuotaTransfers []QuotaTransfer `json:"g,omitempty"`
	Reservations   []Reservation   `json:"k,omitempty"`
}
