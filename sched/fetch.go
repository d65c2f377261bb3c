// Selection of machines by image fetch time, for replicas of services.

package sched

import (
	"cmp"
	"math"
	"slices"

	"basaltwall/api"
)

// limitByFetchTime limits the machines eligible for a service's replicas to those with a short
// fetch: all pending replicas must find free capacity on them within maxImageWaitRounds, and the
// fetch must not take longer than a booting machine needs to have the image. A round assigns at
// most one task to a machine, so when a zone is lost the machines that have the image are soon used up
// in the round. The next round, about a tenth of a second later, has more of their capacity, while a fetch
// on a slow machine takes a hundred times as long.
func limitByFetchTime(in *Input, j *Job, free []api.Resources, eligible []int) []int {
	type candidate struct {
		machineIndex int
		fetch        float64 // seconds
	}
	candidates := make([]candidate, len(eligible))
	for i, machineIndex := range eligible {
		candidates[i] = candidate{machineIndex, in.Machines[machineIndex].FetchTime(j.Spec)}
	}
	byFetch := slices.Clone(candidates)
	slices.SortFunc(byFetch, func(a, b candidate) int { return cmp.Compare(a.fetch, b.fetch) })
	maxFetch := math.Inf(1)
	if j.NewMachineSeconds > 0 {
		maxFetch = j.NewMachineSeconds
	}
	unassigned := len(j.Pending)
	for _, c := range byFetch {
		if unassigned -= min(maxImageWaitRounds, j.Demand.Slots(free[c.machineIndex])); unassigned <= 0 {
			maxFetch = min(maxFetch, max(c.fetch, j.StartSLO/3))
			break
		}
	}
	eligible = eligible[:0]
	for _, c := range candidates {
		if c.fetch <= maxFetch {
			eligible = append(eligible, c.machineIndex)
		}
	}
	return eligible
}

// maxImageWaitRounds is the maximum number of rounds that a replica waits for a machine that has
// its image. Together they take a second or less.
const maxImageWaitRounds = 8
