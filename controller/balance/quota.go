package balance

// This file gives shares of teams' limits that a partition does not use to others.

import (
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// quotaTransferInterval is how long a partition gets no further share: until then its owner has
// said what it still lacks.
const quotaTransferInterval = 2 * core.GossipInterval

// SpareQuotaTransfers gives shares of teams' limits that a partition does not use to partitions
// that could use them, first those reserved for others' aged jobs.
func (b *Balancer) SpareQuotaTransfers(owned *core.OwnedPartition) []clusterstate.QuotaTransfer {
	remaining := b.core.RemainingQuota(owned.ID)
	if owned.InFlight != nil {
		return nil
	}
	transfers := b.reservedQuotaTransfers(owned, remaining)
	for _, status := range b.siblings.Gossip.OtherPartitionStatuses(owned) {
		if b.core.Now >= owned.NextQuotaTransfer[status.Part] {
			transfers = append(transfers, b.idleQuotaTransfers(owned, &status, remaining)...)
		}
	}
	return transfers
}

// reservedQuotaTransfers are the shares that are reserved for others' aged jobs, which it takes off
// what remains: no start of this round uses them, whatever else is pending here.
func (b *Balancer) reservedQuotaTransfers(owned *core.OwnedPartition, remaining map[api.Team]api.Resources) []clusterstate.QuotaTransfer {
	var out []clusterstate.QuotaTransfer
	for _, to := range slices.Sorted(maps.Keys(owned.ReservedQuota)) {
		if b.core.Now < owned.NextQuotaTransfer[to] {
			continue // it has not gossiped since; what is reserved waits here
		}
		for _, team := range slices.Sorted(maps.Keys(owned.ReservedQuota[to])) {
			amount := owned.ReservedQuota[to][team]
			remaining[team] = remaining[team].Minus(amount)
			out = append(out, clusterstate.QuotaTransfer{To: to, Team: team, Amount: amount})
		}
		owned.NextQuotaTransfer[to] = b.core.Now.Add(quotaTransferInterval)
	}
	return out
}

// idleQuotaTransfers are the shares for another partition that idle here, which it takes off what
// remains.
func (b *Balancer) idleQuotaTransfers(owned *core.OwnedPartition, status *message.PartitionStatus, remaining map[api.Team]api.Resources) []clusterstate.QuotaTransfer {
	var out []clusterstate.QuotaTransfer
	for _, team := range slices.Sorted(maps.Keys(status.Want)) {
		demand, ok := transferableDemand(owned, status, team)
		if !ok {
			continue
		}
		unused := remaining[team]
		amount := b.limitedResources(team, api.Resources{
			CPU: max(0, min(demand.CPU, unused.CPU)),
			GPU: max(0, min(demand.GPU, unused.GPU)),
		})
		if amount.CPU > core.QuotaLimit(b.core.Teams[team]).CPU || amount.CPU == 0 && amount.GPU == 0 {
			continue
		}
		remaining[team] = remaining[team].Minus(amount)
		out = append(out, clusterstate.QuotaTransfer{To: status.Part, Team: team, Amount: amount})
		owned.NextQuotaTransfer[status.Part] = b.core.Now.Add(quotaTransferInterval)
	}
	return out
}

// transferableDemand is what another partition may be given of a team's limit; ok is false if the
// team's share is needed here. What a round has just planned to use is not in the remaining quota
// yet, and a team that lacks quota here gives none away, so only idle shares move.
//
// There is one exception: what this round could not use, as it is too little for any of its tasks
// or their machines are missing, is of use to a partition that has machines and no quota at all.
// Pieces of a limit in several partitions would leave all of them waiting. It goes to the lowest
// partition, so that it comes together, unless an aged job here is to have it.
func transferableDemand(owned *core.OwnedPartition, status *message.PartitionStatus, team api.Team) (demand api.Resources, ok bool) {
	if owned.PlannedTeams[team] {
		return api.Resources{}, false
	}
	if _, needed := owned.QuotaDemand[team]; !needed {
		return status.Want[team], true
	}
	starvedDemand, starvedThere := status.Starved[team]
	_, starvedHere := owned.QuotaStarvedDemand[team]
	_, mustStartHere := owned.MustStartQuotaDemand[team]
	if !starvedThere || mustStartHere || starvedHere && owned.ID < status.Part {
		return api.Resources{}, false
	}
	return starvedDemand, true
}

// limitedResources is the part of an amount that a team's limits are about: what it may use
// without limit is not shared out.
func (b *Balancer) limitedResources(team api.Team, amount api.Resources) api.Resources {
	if b.core.Teams[team].CPUsMax <= 0 {
		amount.CPU = 0
	}
	if b.core.Teams[team].GPUsMax <= 0 {
		amount.GPU = 0
	}
	return amount
}
