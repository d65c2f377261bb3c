package preemption

// This file preempts tasks for jobs that would otherwise start too late because of an image fetch.

import (
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/sched"
)

const (
	// preemptionFetchRatio is the minimum ratio of the fetch times of an image on free capacity and
	// after preemption, for tasks to be preempted if the job misses its start objective either way.
	preemptionFetchRatio = 3.0
	// lostReplicaFetchRatio is this ratio for replacements of lost replicas, which are more urgent.
	lostReplicaFetchRatio = 1.5
)

// StartDelay returns the time for which a job's tasks have been due to start, in seconds: since the
// job's acceptance, or since a service's latest loss of replicas.
func (p *Planner) StartDelay(j *core.Job) float64 {
	delay := max(0, p.core.SecondsSinceAcceptance(j))
	if hasLostReplicas(j) {
		delay = min(delay, p.core.Now.Sub(j.OwnerState.LastLossAt).Seconds())
	}
	return delay
}

// hasLostReplicas reports whether a service has lost replicas.
func hasLostReplicas(j *core.Job) bool {
	return j.Spec.Kind == api.Service && j.OwnerState.LastLossAt != 0
}

// PreemptForFastStart preempts tasks on machines that can provide a job's image sooner, if the job
// would otherwise miss its class's start objective because of image fetches. It does so once for a job
// and for each loss of a service's replicas. Tasks that wait for the preempted machines are removed
// from the request.
func (p *Planner) PreemptForFastStart(owned *core.OwnedPartition, input *sched.Input, request *sched.Job, j *core.Job) {
	slack := request.StartSLO - p.StartDelay(j) - core.PreemptionDelay.Seconds()
	if request.StartSLO <= 0 || slack <= 0 || j.OwnerState.PreemptedForStart {
		return
	}
	if rank := j.Spec.Priority.Rank(); rank < core.MinPreemptorRank || !p.RunsLowerPriority(owned.ID, rank) {
		return
	}
	fastSlots, slowFetches := findFastSlots(input, request, j, slack)
	need := len(request.Pending) - fastSlots
	if need <= 0 {
		return
	}
	j.OwnerState.PreemptedForStart = true
	maxFetch := slack
	if j.Spec.Kind == api.Gang {
		need, fastSlots = len(request.Pending), 0
	} else if len(slowFetches) > 0 {
		slices.Sort(slowFetches)
		maxFetch = max(maxFetch, slowFetches[min(need, len(slowFetches))-1]/fetchRatio(j))
	}
	if p.PreemptFor(owned, request, j, need, maxFetch) > 0 {
		request.Pending = request.Pending[:fastSlots]
		j.OwnerState.BackoffUntil = p.core.Now.Add(core.PreemptionDelay)
		owned.NeedsRound = true
	}
}

// fetchRatio returns the minimum ratio of fetch times for preempting tasks for a job.
func fetchRatio(j *core.Job) float64 {
	if hasLostReplicas(j) {
		return lostReplicaFetchRatio
	}
	return preemptionFetchRatio
}

// findFastSlots counts the tasks of a job that could start on free capacity within slack seconds.
// slowFetches are the fetch times of its image on the other machines with free capacity.
func findFastSlots(input *sched.Input, request *sched.Job, j *core.Job, slack float64) (fastSlots int, slowFetches []float64) {
	byZone := map[api.Zone]int{}
	for i := range input.Machines {
		m := &input.Machines[i]
		if !m.Eligible(request) || !sched.ZoneFeasible(j.Spec, request.PlacedByZone, m.Zone) {
			continue
		}
		slots := 1
		if j.Spec.Kind == api.Gang {
			slots = j.Demand.Slots(m.Free)
		} else if !j.Demand.Fits(m.Free) {
			continue
		}
		if fetch := fetchSlowdownFactor * m.FetchTime(j.Spec); fetch > slack {
			slowFetches = append(slowFetches, fetch)
			continue
		}
		byZone[m.Zone] += slots
	}
	return usableSlots(byZone, request), slowFetches
}

// usableSlots returns the number of slots that a job can use, given the slots by zone: only those of
// the largest zone if its tasks must be in one zone, and at most spreadLimit of each zone if they are
// spread.
func usableSlots(byZone map[api.Zone]int, request *sched.Job) int {
	if request.Spec.OneZone {
		return byZone[core.LargestZone(byZone)]
	}
	total := 0
	for zone, slots := range byZone {
		if request.Spec.Spread {
			slots = min(slots, spreadLimit(request, zone))
		}
		total += slots
	}
	return total
}
