// The cost of placing a task of a job on a machine.

package sched

import (
	"math"

	"basaltwall/api"
	"basaltwall/fragmentation"
)

// Weights of the edge cost, relative to the dot product, which lies between 0
// and the number of resources. docs/design.md gives the reasons.
const (
	costScale           = 1e6  // converts a score to an integer cost
	scheduledBonus      = 20.0 // placing a task always beats leaving it pending
	rankBonus           = 32.0 // a higher priority outweighs all other terms except agedAboveAllBonus
	agedBonus           = 8.0  // first among equal priority: outweighs guarantee and urgency together
	agedAboveAllBonus   = 5 * rankBonus
	guaranteeBonus      = 4.0
	urgencyBonus        = 2.0
	spotPenalty         = 2.0 // multiplied by SpotRisk; a certain delay outweighs fastStartPenalty
	spotBonus           = 0.3 // jobs with low spot risk leave other machines to jobs with high risk
	acceleratorPenalty  = 2.0 // accelerators are kept for jobs that need them
	fastStartPenalty    = 0.7 // capacity for latency-sensitive jobs stays free while there is other capacity
	fragmentationWeight = 4.0 // starting on an empty machine outweighs any dot product, and a fetch
	surplusPenalty      = 2.0 // outweighs the usual differences of dot products
	failurePenalty      = 4.0 // outweighs the usual differences between machines
	slowdownThreshold   = 1.3 // machines of a type normally differ by up to a tenth; above this one is slow
	imageFetchWeight    = 2.0 // multiplied by the share of the fetch in the task's total duration
)

// ratio returns a as a share of whole; 0 if whole is 0.
func ratio(a, whole api.Quantity) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(a) / float64(whole)
}

// edgeCost returns the cost of placing a task of the job on the machine: the negated score, as an
// integer. The score is the dot product of demand and free capacity, with terms for the job's
// precedence, the suitability of the machine, and the image fetch.
func edgeCost(in *Input, j *Job, m *Machine, free api.Resources) int64 {
	dotProduct := ratio(j.Demand.CPU, in.LargestCapacity.CPU)*ratio(free.CPU, in.LargestCapacity.CPU) +
		ratio(j.Demand.GPU, in.LargestCapacity.GPU)*ratio(free.GPU, in.LargestCapacity.GPU) +
		ratio(j.Demand.Mem, in.LargestCapacity.Mem)*ratio(free.Mem, in.LargestCapacity.Mem)
	score := dotProduct + scheduledBonus + rankBonus*j.effectivePriority() + urgencyBonus*j.Urgency
	if j.WithinGuarantee {
		score += guaranteeBonus
	}
	switch j.AgingStage {
	case AgedWithinPriority:
		score += agedBonus
	case AgedAboveAll:
		score += agedAboveAllBonus
	}
	if m.Slowdown > slowdownThreshold {
		score -= m.Slowdown - 1
	}
	if j.RetriedMachines[m.ID] {
		score -= failurePenalty
	}
	if m.HasAccelerators && j.AcceleratorOptional {
		score -= acceleratorPenalty
	}
	if m.ForLatencySensitive && !j.LatencySensitive && !j.AcceleratorOptional {
		score -= fastStartPenalty
	}
	if m.HasAccelerators && len(in.TypicalDemands) > 0 {
		score -= fragmentationWeight * fragmentation.Increase(free, j.Demand, in.TypicalDemands) / max(1, in.LargestCapacity.GPU.Float())
	}
	if m.Surplus {
		score -= surplusPenalty
	}
	if m.Spot {
		score += spotBonus - spotPenalty*j.SpotRisk
	}
	if fetch := m.FetchTime(j.Spec); fetch > 0 {
		score -= fetchPenalty(j, fetch)
	}
	return -int64(score * costScale)
}

// fetchPenalty returns the deduction from the score for a fetch, given in seconds.
func fetchPenalty(j *Job, fetch float64) float64 {
	if j.StartSLO > 0 {
		// Beyond the objective a longer fetch still costs more: a replica is missing for that time.
		late := fetch / j.StartSLO
		return min(1, late) + math.Log(max(1, late))
	}
	return imageFetchWeight * fetch / (fetch + j.Spec.Estimate + 1)
}
