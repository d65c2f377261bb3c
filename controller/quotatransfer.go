package controller

import (
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
)

// SpareQuotaTransfers gives shares of teams' limits that this part does not use to parts
// that could use them.
func (bl *Balancer) SpareQuotaTransfers(owned *core.OwnedPartition) []clusterstate.QuotaTransfer {
	remaining := bl.core.RemainingQuota(owned.ID)
	if owned.InFlight != nil {
		return nil
	}
	var out []clusterstate.QuotaTransfer
	for _, to := range slices.Sorted(maps.Keys(owned.ReservedQuota)) {
		if bl.core.Now < owned.NextQuotaTransfer[to] {
			continue // it has not told since; what is reserved waits here
		}
		// No start of this round uses it, whatever else waits here.
		for _, team := range slices.Sorted(maps.Keys(owned.ReservedQuota[to])) {
			amount := owned.ReservedQuota[to][team]
			remaining[team] = remaining[team].Minus(amount)
			out = append(out, clusterstate.QuotaTransfer{To: to, Team: team, Amount: amount})
		}
		owned.NextQuotaTransfer[to] = bl.core.Now.Add(2 * core.GossipInterval)
	}
	for _, status := range bl.c.gossiper.OtherPartitionStatuses(owned) {
		if bl.core.Now < owned.NextQuotaTransfer[status.Part] {
			continue
		}
		for _, team := range slices.Sorted(maps.Keys(status.Want)) {
			// What a round has just planned to use is not in left yet; a team
			// that wants here gives nothing, so only idle shares move.
			demand, unused := status.Want[team], remaining[team]
			if owned.PlannedTeams[team] {
				continue
			}
			if _, needed := owned.QuotaDemand[team]; needed {
				// But what this round could not use, too little for any of its tasks or without
				// room for them, is of use to a part that has room and nothing of the limit: pieces
				// of it in several parts would leave all of them waiting. It goes to the lowest, so
				// that it comes together.
				var starved bool
				demand, starved = status.Starved[team]
				_, starvedHere := owned.QuotaStarvedDemand[team]
				_, mustStartHere := owned.MustStartQuotaDemand[team] // what a job here that must begin is to have stays
				if !starved || mustStartHere || starvedHere && owned.ID < status.Part {
					continue
				}
			}
			transfer := clusterstate.QuotaTransfer{To: status.Part, Team: team, Amount: api.Resources{
				CPU: max(0, min(demand.CPU, unused.CPU)), GPU: max(0, min(demand.GPU, unused.GPU))}}
			limit := core.QuotaLimit(bl.core.Teams[team])
			transfer.Amount = bl.limitedResources(team, transfer.Amount)
			if transfer.Amount.CPU > limit.CPU || transfer.Amount.CPU == 0 && transfer.Amount.GPU == 0 {
				continue
			}
			remaining[team] = remaining[team].Minus(transfer.Amount)
			out = append(out, transfer)
			owned.NextQuotaTransfer[status.Part] = bl.core.Now.Add(2 * core.GossipInterval)
		}
	}
	return out
}

// limitedResources is of an amount what a team's limits are of: what it may use without limit is not shared.
func (bl *Balancer) limitedResources(team api.Team, amount api.Resources) api.Resources {
	if bl.core.Teams[team].CPUsMax <= 0 {
		amount.CPU = 0
	}
	if bl.core.Teams[team].GPUsMax <= 0 {
		amount.GPU = 0
	}
	return amount
}
