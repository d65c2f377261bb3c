// Placements of tasks on machines, and their usage of machines, quotas and pools.

package clusterstate

import (
	"cmp"
	"slices"
	"strings"

	"basaltwall/api"
)

// Placement is a durable start of a task whose end is not yet recorded. P is the type of the state that
// the partition's owner tracks without recording it.
type Placement[J, P any] struct {
	Task       api.TaskID
	Partition  api.PartitionID
	Machine    api.MachineID
	Epoch      api.Epoch
	Attempt    api.Attempt
	Job        *Job[J, P]
	Finishing  bool // the task's end is known but not yet recorded, see SetFinishing
	OwnerState P

	transferred bool // whether Partition is not the one that starts the task, see transfer
}

// machinePlacements is the placements on a machine, ordered by task.
type machinePlacements[J, P any] struct {
	placements []*Placement[J, P]
	allocated  api.Resources // resources of placements that are not finishing
}

// AttemptNumber returns the attempt number of starts in a round. It is unique across partitions and
// rounds.
func (s *State[J, P]) AttemptNumber(partition api.PartitionID, seq uint64) api.Attempt {
	return api.Attempt(seq*uint64(len(s.Partitions)) + uint64(partition) + 1)
}

// comparePlacements orders placements by job, task index and attempt.
func comparePlacements[J, P any](a, b *Placement[J, P]) int {
	return cmp.Or(strings.Compare(string(a.Task.Job), string(b.Task.Job)), cmp.Compare(a.Task.Index, b.Task.Index),
		cmp.Compare(a.Attempt, b.Attempt))
}

// AddPlacement adds a durable start.
func (s *State[J, P]) AddPlacement(p *Placement[J, P]) {
	p.Job.Placements[p.Task.Index] = p
	s.countPlacement(p, 1)
	h := s.machines[p.Machine]
	if h == nil {
		h = &machinePlacements[J, P]{}
		s.machines[p.Machine] = h
	}
	i, _ := slices.BinarySearchFunc(h.placements, p, comparePlacements)
	h.placements = slices.Insert(h.placements, i, p)
	s.addUsage(p, 1)
	s.reindex(p.Job)
}

// removePlacement removes a placement whose end is recorded.
func (s *State[J, P]) removePlacement(p *Placement[J, P]) {
	s.SetFinishing(p, true)
	p.Job.FinishingCount--
	delete(p.Job.Placements, p.Task.Index)
	s.countPlacement(p, -1)
	if h := s.machines[p.Machine]; h != nil {
		if i := slices.Index(h.placements, p); i >= 0 {
			h.placements = slices.Delete(h.placements, i, i+1)
		}
		if len(h.placements) == 0 {
			delete(s.machines, p.Machine)
		}
	}
	s.reindex(p.Job)
}

// addUsage adds a placement to the usage of its machine, its team's quota and its pools (n is 1), or
// subtracts it (n is -1).
func (s *State[J, P]) addUsage(p *Placement[J, P], n int) {
	demand := p.Job.Demand.Times(n)
	if h := s.machines[p.Machine]; h != nil {
		h.allocated = h.allocated.Plus(demand)
	}
	usage := s.Partitions[p.Partition].TeamUsage
	usage[p.Job.Spec.Team] = usage[p.Job.Spec.Team].Plus(demand)
	before := p.Job.liveCount
	p.Job.liveCount += n
	for _, x := range p.Job.Spec.Needs {
		s.Partitions[p.Partition].PoolUsage[x.Pool] += n * x.Task
		if before == 0 || p.Job.liveCount == 0 { // units of the whole job, added or removed with its first or last placement
			s.Partitions[p.Partition].PoolUsage[x.Pool] += n * x.Job
		}
	}
}

// SetFinishing sets whether a placement's task is known to have ended.
func (s *State[J, P]) SetFinishing(p *Placement[J, P], finishing bool) {
	if p.Finishing == finishing {
		return
	}
	p.Finishing = finishing
	if finishing {
		p.Job.FinishingCount++
		s.addUsage(p, -1)
	} else {
		p.Job.FinishingCount--
		s.addUsage(p, 1)
	}
	s.reindex(p.Job)
}

// PlacementsOn returns the placements on a machine, ordered by job, task index and attempt.
func (s *State[J, P]) PlacementsOn(id api.MachineID) []*Placement[J, P] {
	if h := s.machines[id]; h != nil {
		return h.placements
	}
	return nil
}

// Allocated returns the resources of the placements on a machine that are not finishing.
func (s *State[J, P]) Allocated(id api.MachineID) api.Resources {
	if h := s.machines[id]; h != nil {
		return h.allocated
	}
	return api.Resources{}
}
