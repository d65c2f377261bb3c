// Package preemption decides which tasks are preempted for a job, and reserves their machines until
// the job has started, so that preempted tasks do not start there again.
//
// It owns no state. Reservations are in core.Machine, and the state of preemption for a job is in
// core.JobOwnerState.
package preemption

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/sched"
)

// Planner decides which tasks are preempted for which job.
type Planner struct {
	core *core.Core
	deps Dependencies
}

// Dependencies are the other components that the planner depends on.
type Dependencies struct {
	Agents     Agents
	Health     Health
	Priorities Priorities
	Scheduler  Scheduler
}

// Agents is the interface to the agent manager.
type Agents interface {
	MachinesOf(p api.PartitionID) []*core.Machine
}

// Health is the interface to the zone health monitor. While a zone is lost, classes and teams have
// minimum numbers of CPUs, their floors, which preemption must keep.
type Health interface {
	// IsPreemptible reports whether a task's class and team stay above their floors without it.
	IsPreemptible(placement *core.Placement) bool
	// AdjustFloors records that the CPUs of a job's class and team change by cpus.
	AdjustFloors(spec *api.JobSpec, cpus float64)
}

// Priorities is the interface to the operators' priority rules.
type Priorities interface {
	// EffectivePriority returns a job's priority rank with the rules' boost.
	EffectivePriority(spec *api.JobSpec) float64
	PriorityBoost(spec *api.JobSpec) float64
}

// Scheduler is the interface to the scheduler of rounds.
type Scheduler interface {
	IsSchedulable(m *core.Machine, owned *core.OwnedPartition) bool
	FreeCapacityOn(m *core.Machine, owned *core.OwnedPartition) api.Resources
	PendingImageFetches(m *core.Machine) []sched.ImageFetch
	StopTask(placement *core.Placement)
}

// New returns a planner. Connect must be called before any other method.
func New(shared *core.Core) *Planner { return &Planner{core: shared} }

// Connect sets the components that the planner depends on.
func (p *Planner) Connect(deps Dependencies) { p.deps = deps }

// RunsLowerPriority reports whether a partition has placed tasks of a lower priority rank.
func (p *Planner) RunsLowerPriority(partition api.PartitionID, rank int) bool {
	for _, count := range p.core.State.Partitions[partition].CountByRank[:rank] {
		if count > 0 {
			return true
		}
	}
	return false
}

// ReservedFor returns the job that a machine is reserved for, or "". It removes a reservation whose job
// is finished or has all tasks placed.
func (p *Planner) ReservedFor(m *core.Machine) api.JobID {
	if m.ReservedFor == "" || p.core.Now >= m.ReservedUntil {
		return ""
	}
	if j := p.core.State.Jobs[m.ReservedFor]; j == nil || j.Terminal() || j.CompletedCount+len(j.Placements)-j.FinishingCount >= j.Spec.Tasks {
		m.ReservedFor = ""
	}
	return m.ReservedFor
}

// ReserveExclusively reserves a machine for a job for which it was lent or tasks are preempted on it.
func (p *Planner) ReserveExclusively(m *core.Machine, id api.JobID) {
	m.ReservedFor, m.SoftReservation, m.ReservedUntil, m.ReservedForAged = id, false, p.core.Now.Add(core.ReservationTTL), false
}
