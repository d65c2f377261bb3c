package rounds

// This file estimates the urgency of jobs, their risk of missing an objective on spot machines, and
// the delay of starts on booting machines.

import (
	"math"

	"basaltwall/api"
	"basaltwall/controller/core"
)

// bootingMachineDelay returns the time until a booting machine would have the image of a service's
// replicas, in seconds; 0 if no suitable machine boots. Replicas wait for such a machine rather
// than for a longer fetch, but at most twice that time, because the machine may fail to boot.
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
	if s.deps.Preemptor.StartDelay(j) > 2*shortest {
		return 0
	}
	return shortest
}

// SpotRisk returns the probability that a job is late because a spot machine with one of its tasks
// is reclaimed, at the recently observed rate. A reclaim makes a job late if no time is left to
// detect the loss, to fetch the image again and to rerun the task.
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
			continue // it misses this objective anyway
		}
		criticalWindow := min(run, max(0, singleRun+s.core.LivenessTimeout.Seconds()+singleRun-slack))
		survives := math.Exp(-s.deps.Autoscaler.SpotLossRate() * criticalWindow)
		return 1 - math.Pow(survives, float64(j.Spec.Tasks-j.CompletedCount))
	}
	return 0
}

const (
	// overdueFactor is the multiple of its last objective after which a late job goes first among jobs
	// of its rank. Without it the job would wait for as long as demand exceeds capacity.
	overdueFactor = 3
	// fullUrgencyAge is the age in seconds at which a job without objectives has the highest urgency.
	fullUrgencyAge = 600
	// The urgency of a job that can still meet its first objective is at least minTimelyUrgency. With
	// each objective that it misses, the urgency is divided by a higher number. Late jobs stay below
	// maxLateUrgency until they are overdue.
	minTimelyUrgency = 0.2
	maxLateUrgency   = 0.05
)

// urgency orders jobs of the same rank; it is between 0 and 1. Among jobs that can still meet an
// objective, those with the least remaining work go first, so that as many as possible do. Jobs
// that can't meet an objective any more wait for the others. cpus is the number of schedulable CPUs
// in the partition.
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
