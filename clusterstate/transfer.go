// Loans of machines, with and without the tasks that run there.

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
)

// A machine that is lent while tasks run on it takes them along: from the loan's revision on
// they are placements of the partition that borrows the machine, whose owner alone records their ends.
//
// A controller that follows the log moves the placements when it folds the loan. One that reads
// the state anew finds only the machine's latest loan, and checkpoints that may be older. So
// a loan lists all tasks that the machine has at its revision, and what an older checkpoint
// or round says was started on the machine no longer counts.

// LoanValue is the value of the key of a machine that is on loan to another partition.
type LoanValue struct {
	Partition api.PartitionID
	Job       api.JobID
	// Transferred says that this loan of the machine or an earlier one carried tasks. Then
	// Tasks are all that were on the machine by the record at this revision.
	Transferred bool
	Tasks       []JobDelta
}

// Loan is a machine that is on loan to another partition.
type Loan struct {
	LoanValue
	Revision api.Revision
}

// loanJSON is a loan as it is written. Once tasks were transferred, the partition is a string:
// a process of a version that does not know transfers refuses the state rather than command a
// machine by a record that it misreads.
type loanJSON struct {
	Partition   json.RawMessage `json:"part"`
	Job         api.JobID       `json:"for,omitempty"`
	Transferred bool            `json:"transferred,omitempty"`
	Tasks       []JobDelta      `json:"tasks,omitempty"`
}

// MarshalJSON writes a loan, see loanJSON.
func (v LoanValue) MarshalJSON() ([]byte, error) {
	partition := strconv.Itoa(int(v.Partition))
	if v.Transferred {
		partition = strconv.Quote(partition)
	}
	return json.Marshal(loanJSON{json.RawMessage(partition), v.Job, v.Transferred, v.Tasks})
}

// UnmarshalJSON reads a loan, see loanJSON.
func (v *LoanValue) UnmarshalJSON(data []byte) error {
	var w loanJSON
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	partition, err := strconv.Atoi(strings.Trim(string(w.Partition), `"`))
	if err != nil {
		return fmt.Errorf("part: %s: %w", w.Partition, ErrNoSuchPartition)
	}
	*v = LoanValue{api.PartitionID(partition), w.Job, w.Transferred, w.Tasks}
	return nil
}

func (s *State[J, P]) putLoan(name string, value json.RawMessage, version api.Revision) error {
	var v LoanValue
	if err := json.Unmarshal(value, &v); err != nil {
		return err
	}
	if v.Partition < 0 || int(v.Partition) >= len(s.Partitions) {
		return fmt.Errorf("part: %d: %w", v.Partition, ErrNoSuchPartition)
	}
	id := api.MachineID(name)
	s.Loans[id] = Loan{v, version}
	s.LoanGeneration++
	if v.Transferred { // of what is being read anew no placement is folded yet, see restorePartition
		for _, p := range slices.Clone(s.PlacementsOn(id)) {
			s.transfer(p, v.Partition)
		}
	}
	return nil
}

// transfer moves a placement to another partition. What the former owner tracked of it without
// recording it does not count: the new owner learns it from the machine.
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

// countPlacement adds a placement to its partition's counts (n is 1) or removes it (-1).
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

// transferAdjustment is how many more of a partition's own tasks are unplaced than its count of placements tells:
// that counts placements that came with their machines, and lacks those that went.
func (j *Job[J, P]) transferAdjustment(partition api.PartitionID) int {
	if j.transferredCount == 0 {
		return 0
	}
	more := 0
	for i, p := range j.Placements {
		if !p.transferred {
			continue
		}
		if p.Partition == partition {
			more++
		}
		if j.partitionOf(i) == partition {
			more--
		}
	}
	return more
}

// partitionOf is the partition that starts a task.
func (j *Job[J, P]) partitionOf(task int) api.PartitionID {
	for _, r := range j.Split {
		if r.From <= task && task < r.To {
			return r.Partition
		}
	}
	return -1
}

// transferredSince reports whether a machine was lent with its tasks after a revision, so that
// the loan says what is on it; not for 0, which is now.
func (s *State[J, P]) transferredSince(id api.MachineID, revision api.Revision) bool {
	l, ok := s.Loans[id]
	return revision != 0 && ok && l.Transferred && l.Revision > revision
}

// incomingTransfer is a machine that came to a partition with its tasks.
type incomingTransfer struct {
	Loan
	machine api.MachineID
}

// incomingTransfers are the machines that came to a partition after a revision, in that order.
func (s *State[J, P]) incomingTransfers(partition api.PartitionID, revision api.Revision) []incomingTransfer {
	var out []incomingTransfer
	for _, id := range slices.Sorted(maps.Keys(s.Loans)) {
		if l := s.Loans[id]; l.Transferred && l.Partition == partition && l.Revision > revision {
			out = append(out, incomingTransfer{l, id})
		}
	}
	slices.SortStableFunc(out, func(x, y incomingTransfer) int { return cmp.Compare(x.Revision, y.Revision) })
	return out
}

// StartsOn are a machine's placements as a loan lists them.
func (s *State[J, P]) StartsOn(id api.MachineID) []JobDelta {
	var out []JobDelta
	for _, p := range s.PlacementsOn(id) {
		if len(out) == 0 || out[len(out)-1].Job != p.Task.Job {
			out = append(out, JobDelta{Job: p.Task.Job})
		}
		d := &out[len(out)-1]
		d.Starts = append(d.Starts, TaskStart{p.Task.Index, p.Machine, p.Epoch, p.Attempt})
	}
	return out
}

// LoanCheckpointed reports whether every partition's checkpoint was written after a machine's last loan, so
// that none names tasks that were transferred with it.
func (s *State[J, P]) LoanCheckpointed(id api.MachineID) bool {
	l := s.Loans[id]
	return !l.Transferred || !slices.ContainsFunc(s.Partitions, func(p Partition) bool { return p.CheckpointHead.Revision < l.Revision })
}
