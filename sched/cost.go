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
	costScale           = 1e6  // of a score as an integer cost
	scheduledBonus      = 16.0 // being placed always beats waiting
	rankBonus           = 32.0 // a higher priority outweighs every other term
	agedBonus           = 8.0  // ahead of equal priority: more than guarantee and urgency together
	agedAboveAllBonus   = 5 * rankBonus
	guaranteeBonus      = 4.0
	urgencyBonus        = 2.0
	spotPenalty         = 2.0 // a certain delay outweighs taking machines that latency-sensitive work needs
	spotBonus           = 0.3 // work of low spot risk leaves the other machines to work of high risk
	acceleratorPenalty  = 2.0 // accelerators are kept for work that needs them
	fastStartPenalty    = 0.7 // capacity for latency-sensitive work stays free while there is other
	fragmentationWeight = 4.0 // breaking into an empty machine outweighs any dot product, and a fetch
	surplusPenalty      = 2.0 // more than any dot product is likely to gain
	slowdownThreshold   = 1.3 // machines of a type differ by a tenth; beyond this one is slow
	imageFetchWeight    = 2.0 // of a fetch, as a share of the task's whole duration
)

// ratio is a as a share of the whole, 0 if there is no whole.
func ratio(a, whole api.Quantity) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(a) / float64(whole)
}

// edgeCost is the cost of placing a task of the job on the machine: the negated score, as an
// integer. The score is the dot product of demand and free capacity, as published, with terms for
// the job's place in the order, the machine's fitness and the image's fetch.
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
	if m.GPU && j.AcceleratorOptional {
		score -= acceleratorPenalty
	}
	if m.FastStart && !j.FastStart && !j.AcceleratorOptional {
		score -= fastStartPenalty
	}
	if m.GPU && len(in.TypicalDemands) > 0 {
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

// fetchPenalty is what a fetch of so many seconds takes off the score.
func fetchPenalty(j *Job, fetch float64) float64 {
	if j.StartSLO > 0 {
		// Beyond the objective a longer fetch still counts: a replica is missing for as long.
		late := fetch / j.StartSLO
		return min(1, late) + math.Log(max(1, late))
	}
	return imageFetchWeight * fetch / (fetch + j.Spec.Estimate + 1)
}
