// Application of rounds and checkpoints to the state.

package clusterstate

import (
	"encoding/json"
	"slices"

	"basaltwall/api"
	"basaltwall/internal/exactjson"
)

// putRound applies the value of a round's key.
func (s *State[J, P]) putRound(name string, value json.RawMessage, _ api.Revision) error {
	partition, err := parsePartition(name, len(s.Partitions))
	if err != nil {
		return err
	}
	var r RoundRecord
	if err := exactjson.Decode(value, &r); err != nil {
		return err
	}
	s.ApplyRecord(partition, &r)
	return nil
}

// applyDeltas applies a partition's job deltas of round seq. at is the revision at which they were
// written, 0 for the current one; starts on machines transferred since then are ignored.
func (s *State[J, P]) applyDeltas(partition api.PartitionID, seq uint64, deltas []JobDelta, at api.Revision) {
	for _, d := range deltas {
		j := s.Jobs[d.Job]
		if j == nil {
			continue
		}
		for _, i := range slices.Concat(d.Completed, d.EndedIncomplete) {
			if p := j.Placements[i]; p != nil && p.Partition == partition {
				s.removePlacement(p)
			}
		}
		if d.CancellationAcknowledged {
			j.cancellationAcknowledged[partition] = true
		}
		j.RetryCount += len(d.EndedIncomplete)
		for _, i := range d.Completed {
			j.markCompleted(partition, i)
		}
		if len(d.CompletedBits) > 0 {
			var set TaskSet
			set.addBytes(d.CompletedBits, j.Spec.Tasks)
			for i := range j.Spec.Tasks {
				if set.Has(i) {
					j.markCompleted(partition, i)
				}
			}
		}
		for _, start := range d.Starts {
			attempt := start.Attempt
			if attempt == 0 {
				attempt = s.AttemptNumber(partition, seq)
			}
			if start.Task < 0 || start.Task >= j.Spec.Tasks || j.Placements[start.Task] != nil || s.transferredSince(start.Machine, at) {
				continue
			}
			s.AddPlacement(&Placement[J, P]{Task: api.TaskID{Job: d.Job, Index: start.Task}, Partition: partition, Machine: start.Machine,
				Epoch: start.Epoch, Attempt: attempt, Job: j})
		}
		s.reindex(j)
	}
}

// ApplyRecord applies a round if it is the next one of the partition.
func (s *State[J, P]) ApplyRecord(partition api.PartitionID, r *RoundRecord) {
	s.applyRound(partition, r, 0)
}

// applyRound applies a round if it is the next one of the partition; at is as in applyDeltas.
func (s *State[J, P]) applyRound(partition api.PartitionID, r *RoundRecord, at api.Revision) {
	ps := &s.Partitions[partition]
	if r.Seq != ps.RoundSeq+1 {
		return
	}
	ps.RoundSeq = r.Seq
	s.applyDeltas(partition, r.Seq, r.Jobs, at)
	s.addQuotaTransfers(partition, r.QuotaTransfers)
	s.applyReservations(partition, r.Reservations)
}

// applyReservations applies new and ended reservations.
func (s *State[J, P]) applyReservations(partition api.PartitionID, reservations []Reservation) {
	for _, r := range reservations {
		if r.Job == "" {
			delete(s.Partitions[partition].Reservations, r.Machine)
		} else {
			s.Partitions[partition].Reservations[r.Machine] = r
		}
	}
}
