// Loans of machines to other partitions, with or without their running tasks.

package clusterstate

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"basaltwall/api"
	"basaltwall/internal/exactjson"
)

// A loan of a machine with running tasks transfers their placements to the borrowing partition at the
// loan's revision. From then on only that partition's owner records their ends.
//
// A controller that follows the log transfers the placements when it applies the loan. A controller that
// loads the state finds only the machine's latest loan, and possibly older checkpoints. So a loan lists
// all tasks on the machine at its revision, and older starts on the machine are ignored.

// LoanValue is the stored value of a loan of a machine to another partition.
type LoanValue struct {
	Partition api.PartitionID
	Job       api.JobID
	// Transferred is set if this loan of the machine or an earlier one transferred tasks. Tasks then
	// lists all placements on the machine at this revision.
	Transferred bool
	Tasks       []JobDelta
}

// Loan is a loan of a machine to another partition, with the revision of its key.
type Loan struct {
	LoanValue
	Revision api.Revision
}

// loanJSON is the stored form of a loan. If tasks were transferred, the partition is stored as a string,
// so that versions without support for transfers fail to load the state instead of misinterpreting it.
type loanJSON struct {
	Partition   json.RawMessage `json:"part"`
	Job         api.JobID       `json:"for,omitempty"`
	Transferred bool            `json:"transferred,omitempty"`
	Tasks       []JobDelta      `json:"tasks,omitempty"`
}

// MarshalJSON encodes a loan, see loanJSON.
func (v LoanValue) MarshalJSON() ([]byte, error) {
	partition := strconv.Itoa(int(v.Partition))
	if v.Transferred {
		partition = strconv.Quote(partition)
	}
	return json.Marshal(loanJSON{Partition: json.RawMessage(partition), Job: v.Job, Transferred: v.Transferred, Tasks: v.Tasks})
}

// UnmarshalJSON decodes a loan, see loanJSON.
func (v *LoanValue) UnmarshalJSON(data []byte) error {
	var w loanJSON
	if err := exactjson.Decode(data, &w); err != nil {
		return err
	}
	partition, err := strconv.Atoi(strings.Trim(string(w.Partition), `"`))
	if err != nil {
		return fmt.Errorf("partition %s: %w", w.Partition, ErrNoSuchPartition)
	}
	*v = LoanValue{Partition: api.PartitionID(partition), Job: w.Job, Transferred: w.Transferred, Tasks: w.Tasks}
	return nil
}

// putLoan applies the value of a loan's key and transfers the placements on the machine.
func (s *State[J, P]) putLoan(name string, value json.RawMessage, version api.Revision) error {
	var v LoanValue
	if err := exactjson.Decode(value, &v); err != nil {
		return err
	}
	if v.Partition < 0 || int(v.Partition) >= len(s.Partitions) {
		return fmt.Errorf("partition %d: %w", v.Partition, ErrNoSuchPartition)
	}
	id := api.MachineID(name)
	s.Loans[id] = Loan{LoanValue: v, Revision: version}
	s.LoanGeneration++
	if v.Transferred { // during a load there are no placements yet, see restorePartition
		for _, p := range slices.Clone(s.PlacementsOn(id)) {
			s.transfer(p, v.Partition)
		}
	}
	return nil
}

// deleteLoan applies the end of a loan.
func (s *State[J, P]) deleteLoan(name string) {
	delete(s.Loans, api.MachineID(name))
	s.LoanGeneration++
}

// transfer moves a placement to another partition and clears its OwnerState, which the new owner restores
// from the machine's heartbeats.
func (s *State[J, P]) transfer(p *Placement[J, P], to api.PartitionID) {
	if p.Partition == to {
		return
	}
	var none P
	s.SetFinishing(p, false)
	p.OwnerState = none
	s.countPlacement(p, -1)
	s.addUsage(p, -1)
	p.Partition = to
	s.addUsage(p, 1)
	s.countPlacement(p, 1)
}

// countPlacement adds a placement to its partition's counts (n is 1) or removes it from them (n is -1).
func (s *State[J, P]) countPlacement(p *Placement[J, P], n int) {
	p.Job.PlacementCounts[p.Partition] += n
	if n > 0 {
		s.PlacementsByPartition[p.Partition][p] = true
	} else {
		delete(s.PlacementsByPartition[p.Partition], p)
	}
	if p.Job.Spec.Kind != api.Gang {
		s.Partitions[p.Partition].CountByRank[p.Job.Spec.Priority.Rank()] += n
	}
	if n > 0 {
		p.transferred = p.Job.partitionOf(p.Task.Index) != p.Partition
	}
	if p.transferred {
		p.Job.transferredCount += n
	}
}

// transferAdjustment returns the correction for transfers to a partition's number of pending tasks. The
// placement count includes placements transferred to the partition, and lacks those of its own tasks that
// were transferred away.
func (j *Job[J, P]) transferAdjustment(partition api.PartitionID) int {
	if j.transferredCount == 0 {
		return 0
	}
	adjustment := 0
	for i, p := range j.Placements {
		if !p.transferred {
			continue
		}
		if p.Partition == partition {
			adjustment++
		}
		if j.partitionOf(i) == partition {
			adjustment--
		}
	}
	return adjustment
}

// partitionOf returns the partition that starts a task according to the job's split, -1 if none does.
func (j *Job[J, P]) partitionOf(task int) api.PartitionID {
	for _, r := range j.Split {
		if r.From <= task && task < r.To {
			return r.Partition
		}
	}
	return -1
}

// transferredSince reports whether a machine was lent with its tasks after a revision, so that the loan
// lists its tasks. It is false for revision 0, which means the current revision.
func (s *State[J, P]) transferredSince(id api.MachineID, revision api.Revision) bool {
	l, ok := s.Loans[id]
	return revision != 0 && ok && l.Transferred && l.Revision > revision
}

// incomingTransfer is a machine that was lent with its tasks to a partition.
type incomingTransfer struct {
	Loan
	machine api.MachineID
}

// incomingTransfers returns the machines lent with their tasks to a partition after a revision, ordered by
// revision.
func (s *State[J, P]) incomingTransfers(partition api.PartitionID, revision api.Revision) []incomingTransfer {
	var out []incomingTransfer
	for _, id := range slices.Sorted(maps.Keys(s.Loans)) {
		if l := s.Loans[id]; l.Transferred && l.Partition == partition && l.Revision > revision {
			out = append(out, incomingTransfer{Loan: l, machine: id})
		}
	}
	slices.SortStableFunc(out, func(x, y incomingTransfer) int { return cmp.Compare(x.Revision, y.Revision) })
	return out
}

// StartsOn returns the placements on a machine in the form in which a loan stores them.
func (s *State[J, P]) StartsOn(id api.MachineID) []JobDelta {
	var out []JobDelta
	for _, p := range s.PlacementsOn(id) {
		if len(out) == 0 || out[len(out)-1].Job != p.Task.Job {
			out = append(out, JobDelta{Job: p.Task.Job})
		}
		d := &out[len(out)-1]
		d.Starts = append(d.Starts, TaskStart{Task: p.Task.Index, Machine: p.Machine, Epoch: p.Epoch, Attempt: p.Attempt})
	}
	return out
}

// LoanCheckpointed reports whether every partition's checkpoint is newer than a machine's latest loan, so
// that no checkpoint contains starts of tasks that were transferred since.
func (s *State[J, P]) LoanCheckpointed(id api.MachineID) bool {
	l := s.Loans[id]
	return !l.Transferred || !slices.ContainsFunc(s.Partitions, func(p Partition) bool { return p.CheckpointHead.Revision < l.Revision })
}
