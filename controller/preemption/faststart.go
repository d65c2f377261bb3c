package preemption

// This file preempts tasks for jobs that would otherwise start too late, as their image would have
// to be fetched first.

import (
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/sched"
)

const (
	// preemptionFetchRatio is how many times longer an image must take to fetch where there is
	// free capacity than after a preemption, for tasks to be preempted although the job is late
	// either way.
	preemptionFetchRatio = 3.0
	// lostReplicaFetchRatio is the same for replicas that were lost: they are missed while they
	// fetch.
	lostReplicaFetchRatio = 1.5
)

// StartDelay is for how long a job's tasks have been due to start, in seconds: since it was
// accepted, or since a service lost replicas, which should be back as soon.
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

// PreemptForFastStart preempts tasks, once for a job and for each loss of a service's replicas, on
// machines that hold its image, when its tasks would otherwise miss its class's start objective
// for having to fetch it. The tasks that no machine can start soon meanwhile wait for that: they
// are left out of the request.
func (p *Planner) PreemptForFastStart(owned *core.OwnedPartition, input *sched.Input, request *sched.Job, j *core.Job) {
	slack := request.StartSLO - p.StartDelay(j) - core.PreemptionDelay.Seconds()
	if request.StartSLO <= 0 || slack <= 0 || j.OwnerState.PreemptedForStart {
		return
	}
	if rank := j.Spec.Priority.Rank(); rank < core.PreemptorRank || !p.RunsLowerPriority(owned.ID, rank) {
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
		owned.Dirty = true
	}
}

// fetchRatio is how many times longer than after a preemption a job's image must take to fetch.
func fetchRatio(j *core.Job) float64 {
	if hasLostReplicas(j) {
		return lostReplicaFetchRatio
	}
	return preemptionFetchRatio
}

// findFastSlots counts the tasks of a job that could start within slack seconds where there is
// free capacity. slowFetches is how long the other machines with free capacity would take to
// fetch its image.
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

// usableSlots is how many of the slots in each zone a job can use: those of the largest zone if
// its tasks must be together, and no more than its limit of each if they are spread.
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
