// Loans of machines to other partitions, with and without the tasks that run there.

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

// A loan of a machine with running tasks transfers them: from the loan's revision on they are
// placements of the borrowing partition, whose owner alone records their ends.
//
// A controller that follows the log transfers the placements when it applies the loan. One that loads
// the state finds only the machine's latest loan, and checkpoints that may be older. So a loan lists
// all tasks that the machine has at its revision, and starts on the machine in older checkpoints and
// rounds are ignored.

// LoanValue is the value of the key of a machine that is on loan to another partition.
type LoanValue struct {
	Partition api.PartitionID
	Job       api.JobID
	// Transferred says that this loan of the machine or an earlier one transferred tasks. Then
	// Tasks are all placements on the machine at this revision.
	Transferred bool
	Tasks       []JobDelta
}

// Loan is a machine that is on loan to another partition.
type Loan struct {
	LoanValue
	Revision api.Revision
}

// loanJSON is a loan as stored. Once tasks were transferred, the partition is a string: a process
// of a version without transfers then refuses the state rather than command a machine by a record
// that it misreads.
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
	return json.Marshal(loanJSON{Partition: json.RawMessage(partition), Job: v.Job, Transferred: v.Transferred, Tasks: v.Tasks})
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
	*v = LoanValue{Partition: api.PartitionID(partition), Job: w.Job, Transferred: w.Transferred, Tasks: w.Tasks}
	return nil
}

// putLoan applies the key of a loan, and the transfer of the tasks on its machine.
func (s *State[J, P]) putLoan(name string, value json.RawMessage, version api.Revision) error {
	var v LoanValue
	if err := json.Unmarshal(value, &v); err != nil {
		return err
	}
	if v.Partition < 0 || int(v.Partition) >= len(s.Partitions) {
		return fmt.Errorf("part: %d: %w", v.Partition, ErrNoSuchPartition)
	}
	id := api.MachineID(name)
	s.Loans[id] = Loan{LoanValue: v, Revision: version}
	s.LoanGeneration++
	if v.Transferred { // while loading no placement is applied yet, see restorePartition
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

// transfer moves a placement to another partition. What the former owner tracked of it without
// recording it is dropped: the new owner learns it from the machine's heartbeats.
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

// transferAdjustment corrects a partition's number of pending tasks, as computed from its placement
// count, for transfers: the count includes placements that were transferred to the partition, and lacks
// those of its own tasks that were transferred away.
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

// partitionOf is the partition that starts a task, -1 if none does.
func (j *Job[J, P]) partitionOf(task int) api.PartitionID {
	for _, r := range j.Split {
		if r.From <= task && task < r.To {
			return r.Partition
		}
	}
	return -1
}

// transferredSince reports whether a machine was on loan with its tasks after a revision, so that
// the loan lists what is on it; never for revision 0, which stands for now.
func (s *State[J, P]) transferredSince(id api.MachineID, revision api.Revision) bool {
	l, ok := s.Loans[id]
	return revision != 0 && ok && l.Transferred && l.Revision > revision
}

// incomingTransfer is a machine that was transferred to a partition with its tasks.
type incomingTransfer struct {
	Loan
	machine api.MachineID
}

// incomingTransfers are the machines that were transferred to a partition after a revision, in order of
// their revisions.
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

// StartsOn lists the placements on a machine as a loan stores them.
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

// LoanCheckpointed reports whether every partition's checkpoint was written after a machine's latest
// loan, so that none lists tasks that were transferred with it.
func (s *State[J, P]) LoanCheckpointed(id api.MachineID) bool {
	l := s.Loans[id]
	return !l.Transferred || !slices.ContainsFunc(s.Partitions, func(p Partition) bool { return p.CheckpointHead.Revision < l.Revision })
}
