package rounds

// This file estimates how jobs fare: how urgent they are, how much a lost spot machine would
// harm them, and how long a machine that boots would take to run them.

import (
	"math"

	"basaltwall/api"
	"basaltwall/controller/core"
)

// bootingMachineDelay is how long a machine that boots takes until it has the image of a
// service's replicas, in seconds; 0 if none boots that may take them. They wait for one rather
// than for a fetch that takes longer, for twice as long at most: it may not come.
func (s *Scheduler) bootingMachineDelay(j *core.Job, incoming func() map[core.MachineOffer]int) float64 {
	if j.Spec.Kind != api.Service || s.core.StartObjective(j.Spec.Class) <= 0 {
		return 0
	}
	shortest := 0.0
	for offer, count := range incoming() {
		machineType := s.core.MachineTypes[offer.Type]
		if count <= 0 || machineType == nil || machineType.FetchRate <= 0 {
			continue
		}
		if !s.core.IsEligible(j.Spec, s.core.IsCPUOnly(j.Spec), offer.Type, offer.Zone, offer.Spot) || !j.Demand.Fits(machineType.Capacity()) {
			continue
		}
		if delay := machineType.BootSeconds + j.Spec.ImageGB/machineType.FetchRate; shortest == 0 || delay < shortest {
			shortest = delay
		}
	}
	if s.siblings.Preemptor.StartDelay(j) > 2*shortest {
		return 0
	}
	return shortest
}

// SpotRisk is the chance, between 0 and 1, that a job is late because a spot machine is reclaimed
// with a task of it, at the rate at which that was lately seen: that this happens when there is
// no time left to find out, to fetch the image again and to run the task again.
func (s *Scheduler) SpotRisk(j *core.Job) float64 {
	if !j.Spec.Spot || j.Spec.Kind == api.Service {
		return 0
	}
	elapsed := max(0, s.core.SecondsSinceAcceptance(j))
	run := j.Spec.Estimate * core.RuntimeSafetyFactor
	singleRun := j.Spec.ImageGB/s.core.SlowestFetchRate(j.Spec) + run
	for _, objective := range s.core.CompletionObjectives(j.Spec) {
		slack := objective - elapsed
		if slack < singleRun {
			continue // late as it is
		}
		criticalWindow := min(run, max(0, singleRun+s.core.LivenessTimeout.Seconds()+singleRun-slack))
		survives := math.Exp(-s.siblings.Autoscaler.SpotLossRate() * criticalWindow)
		return 1 - math.Pow(survives, float64(j.Spec.Tasks-j.CompletedCount))
	}
	return 0
}

const (
	// overdueFactor is how many times its last objective a job may be put off for others that
	// can still be in time: after that it goes first among its equals, or it would wait for as
	// long as there is more work than capacity.
	overdueFactor = 3
	// fullUrgencyAge is after how many seconds a job without objectives is most urgent.
	fullUrgencyAge = 600
	// The urgency of a job that can be in time is at least minTimelyUrgency by its remaining
	// work, divided by how many objectives it has missed; late jobs stay below
	// maxLateUrgency until they are overdue.
	minTimelyUrgency = 0.2
	maxLateUrgency   = 0.05
)

// urgency orders jobs of one rank, between 0 and 1, in a partition with so many schedulable CPUs.
// Of the jobs that can still be complete in time, those with least work left go first: so as many
// as possible are in time when not all can be. A job that can't be in time any more waits for the
// others.
func (s *Scheduler) urgency(j *core.Job, cpus float64) float64 {
	elapsed := max(0, s.core.SecondsSinceAcceptance(j))
	objectives := s.core.CompletionObjectives(j.Spec)
	if len(objectives) == 0 {
		return min(1, elapsed/fullUrgencyAge)
	}
	for i, objective := range objectives {
		if elapsed+j.Spec.Estimate > objective {
			continue
		}
		remainingWork := float64(j.Spec.Tasks-j.CompletedCount) * j.Demand.CPU.Float() * j.Spec.Estimate
		return (minTimelyUrgency + (1-minTimelyUrgency)/(1+remainingWork/(cpus*10+1))) / float64(1+i)
	}
	last := objectives[len(objectives)-1]
	if elapsed > overdueFactor*last {
		return 1
	}
	return maxLateUrgency * min(1, elapsed/(10*last))
}
