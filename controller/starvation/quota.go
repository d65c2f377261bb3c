package starvation

// This file reserves quota for aged jobs.

import (
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/config"
	"basaltwall/controller/core"
)

// FitsAttainableQuota reports whether a number of a job's tasks fit into its team's limit once all
// other tasks have ended, except those of services. Quota is reserved only for such jobs.
func (g *Guard) FitsAttainableQuota(j *core.Job, tasks int) bool {
	attainable := core.QuotaLimit(g.core.Teams[j.Spec.Team])
	for _, other := range g.core.State.Jobs {
		if other.Spec.Team == j.Spec.Team && other.Spec.Kind == api.Service {
			attainable = attainable.Minus(other.Demand.Times(other.LiveCount()))
		}
	}
	attainable.Mem = core.QuotaLimit(config.Team{}).Mem // memory is not limited
	return tasks > 0 && j.Demand.Times(tasks).Fits(attainable)
}

// QuotaReservedForOthers returns the share of teams' limits that a partition leaves to aged jobs of
// other partitions that lack only quota. If two partitions need quota of each other, the one with
// the lower ID gets it.
func (g *Guard) QuotaReservedForOthers(owned *core.OwnedPartition) map[api.PartitionID]map[api.Team]api.Resources {
	out := map[api.PartitionID]map[api.Team]api.Resources{}
	remaining := g.core.RemainingQuota(owned.ID)
	for _, status := range g.deps.Gossip.OtherPartitionStatuses(owned) {
		for _, team := range slices.Sorted(maps.Keys(status.Due)) {
			if _, wantedHere := owned.AgedQuotaDemand[team]; wantedHere && owned.ID < status.Part {
				continue
			}
			share := api.Resources{
				CPU: max(0, min(status.Due[team].CPU, remaining[team].CPU)),
				GPU: max(0, min(status.Due[team].GPU, remaining[team].GPU)),
			}
			if share == (api.Resources{}) {
				continue
			}
			remaining[team] = remaining[team].Minus(share)
			if out[status.Part] == nil {
				out[status.Part] = map[api.Team]api.Resources{}
			}
			out[status.Part][team] = share
		}
	}
	return out
}
