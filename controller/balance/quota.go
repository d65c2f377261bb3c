package balance

// This file transfers unused quota between partitions.

import (
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// quotaTransferInterval is the minimum interval between quota transfers to a partition, long enough
// for its owner to gossip its remaining demand.
const quotaTransferInterval = 2 * core.GossipInterval

// SpareQuotaTransfers returns transfers of unused quota to partitions that need it: first the quota
// reserved for aged jobs of other partitions, then idle quota.
func (b *Balancer) SpareQuotaTransfers(owned *core.OwnedPartition) []clusterstate.QuotaTransfer {
	remaining := b.core.RemainingQuota(owned.ID)
	if owned.InFlight != nil {
		return nil
	}
	transfers := b.reservedQuotaTransfers(owned, remaining)
	for _, status := range b.deps.Gossip.OtherPartitionStatuses(owned) {
		if b.core.Now >= owned.NextQuotaTransfer[status.Part] {
			transfers = append(transfers, b.idleQuotaTransfers(owned, &status, remaining)...)
		}
	}
	return transfers
}

// reservedQuotaTransfers returns transfers of the quota reserved for aged jobs of other partitions. It
// subtracts it from the remaining quota, so that this round does not use it for starts.
func (b *Balancer) reservedQuotaTransfers(owned *core.OwnedPartition, remaining map[api.Team]api.Resources) []clusterstate.QuotaTransfer {
	var out []clusterstate.QuotaTransfer
	for _, to := range slices.Sorted(maps.Keys(owned.ReservedQuota)) {
		if b.core.Now < owned.NextQuotaTransfer[to] {
			continue // its demand may be outdated since the last transfer; the quota stays reserved
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

// idleQuotaTransfers returns transfers of idle quota to another partition, and subtracts it from the
// remaining quota.
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

// transferableDemand returns a team's quota demand in another partition that may be met from here; ok
// is false if the quota is needed here. That is the case for a team with planned starts, whose
// use the remaining quota does not include yet, and for a team that lacks quota here.
//
// A team that lacks quota here still gives it to a partition that has free capacity but no quota for
// a single task, unless an aged job here needs it. Otherwise fragments of a limit in several partitions
// could block all of them. Between two such partitions the one with the lower ID gets the quota.
func transferableDemand(owned *core.OwnedPartition, status *message.PartitionStatus, team api.Team) (demand api.Resources, ok bool) {
	if owned.PlannedTeams[team] {
		return api.Resources{}, false
	}
	if _, needed := owned.QuotaDemand[team]; !needed {
		return status.Want[team], true
	}
	starvedDemand, starvedThere := status.Starved[team]
	_, starvedHere := owned.QuotaStarvedDemand[team]
	_, mustStartHere := owned.AgedQuotaDemand[team]
	if !starvedThere || mustStartHere || starvedHere && owned.ID < status.Part {
		return api.Resources{}, false
	}
	return starvedDemand, true
}

// limitedResources returns an amount without the resources that the team may use without limit, for
// which there is no quota to transfer.
func (b *Balancer) limitedResources(team api.Team, amount api.Resources) api.Resources {
	if b.core.Teams[team].CPUsMax <= 0 {
		amount.CPU = 0
	}
	if b.core.Teams[team].GPUsMax <= 0 {
		amount.GPU = 0
	}
	return amount
}
