// Package preemption decides which tasks are preempted for which job, and reserves their machines
// for it until it has started: the work that was preempted would win them back before.
//
// It keeps no state of its own. Reservations are in core.Machine; when tasks were last preempted
// for a job is in core.JobTracking.
package preemption

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/sched"
)

// Planner decides which tasks are preempted for which job.
type Planner struct {
	core     *core.Core
	siblings Siblings
}

// Siblings are the other components that the planner asks.
type Siblings struct {
	Agents     Agents
	Health     Health
	Priorities Priorities
	Scheduler  Scheduler
}

// Agents is what the planner needs of the component that commands machines.
type Agents interface {
	MachinesOf(p api.PartitionID) []*core.Machine
}

// Health is what the planner needs of the component that watches zones. While one is lost, classes
// and teams have floors of CPUs that preemption does not go below.
type Health interface {
	// IsPreemptible reports whether a task's class and team stay above their floors without it.
	IsPreemptible(placement *core.Placement) bool
	// AdjustFloors notes that a job's class and team have so many CPUs more, or less.
	AdjustFloors(spec *api.JobSpec, cpus float64)
}

// Priorities is what the planner needs of the component that applies the operators' priority
// rules.
type Priorities interface {
	// EffectivePriority is a job's priority with the rules' boost.
	EffectivePriority(spec *api.JobSpec) float64
	PriorityBoost(spec *api.JobSpec) float64
}

// Scheduler is what the planner needs of the component that runs rounds.
type Scheduler interface {
	IsSchedulable(m *core.Machine, owned *core.OwnedPartition) bool
	FreeCapacityOn(m *core.Machine, owned *core.OwnedPartition) api.Resources
	PendingImageFetches(m *core.Machine) []sched.ImageFetch
	StopTask(placement *core.Placement)
}

// New returns a planner; Connect must be called before any other method.
func New(shared *core.Core) *Planner { return &Planner{core: shared} }

// Connect sets the other components that the planner asks.
func (p *Planner) Connect(siblings Siblings) { p.siblings = siblings }

// RunsLowerPriority reports whether a partition runs tasks of lower rank, which could be
// preempted.
func (p *Planner) RunsLowerPriority(partition api.PartitionID, rank int) bool {
	for _, count := range p.core.State.Partitions[partition].CountByRank[:rank] {
		if count > 0 {
			return true
		}
	}
	return false
}

// ReservedFor is the job that a machine is reserved for, or "". A reservation whose job is over
// or has all of its tasks placed is removed.
func (p *Planner) ReservedFor(m *core.Machine) api.JobID {
	if m.ReservedFor == "" || p.core.Now >= m.ReservedUntil {
		return ""
	}
	if j := p.core.State.Jobs[m.ReservedFor]; j == nil || j.Terminal() || j.CompletedCount+len(j.Placements)-j.FinishingCount >= j.Spec.Tasks {
		m.ReservedFor = ""
	}
	return m.ReservedFor
}

// ReserveExclusively reserves a machine for a job for which tasks were preempted on it, or for
// which it was lent.
func (p *Planner) ReserveExclusively(m *core.Machine, id api.JobID) {
	m.ReservedFor, m.SoftReservation, m.ReservedUntil, m.Consolidated = id, false, p.core.Now.Add(core.ReservationTTL), false
}
