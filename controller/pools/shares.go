package pools

// This file moves shares of pools between partitions.

import (
	"encoding/json"
	"log/slog"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/pool"
)

// ReconcilePools moves shares of pools to where they are asked for. Of each pool the owner of
// one partition does; whoever does, nothing goes wrong.
func (pm *Manager) ReconcilePools() {
	if pm.table.Len() == 0 || pm.core.Now.Sub(pm.reconciledAt) < reconcileInterval || pm.core.Overloaded() {
		return
	}
	pm.reconciledAt = pm.core.Now
	for i, name := range pm.table.Names() {
		entry, requests := pm.table.Get(name), pm.requests(name)
		pm.preemptHolders(entry, requests)
		owned := pm.core.Partitions[api.PartitionID(i%len(pm.core.State.Partitions))]
		if owned == nil || pm.shareWrites[name] || entry.State != pool.Active || !pm.isCurrent(entry) {
			continue
		}
		pm.moveShares(owned, entry, requests)
	}
}

// moveShares writes a pool's shares anew where that satisfies more of the demand for its units.
func (pm *Manager) moveShares(owned *core.OwnedPartition, entry *pool.Entry, requests []request) {
	demands := pm.preferPlaceable(requests)
	if len(demands) == 0 {
		return
	}
	name, held := entry.Name, pm.heldByPartition(entry.Name)
	next := entry.Pool
	next.Shares = pool.AllocateShares(entry.Size, held, demands)
	if pool.SatisfiedUnits(&next, held, demands) <= pool.SatisfiedUnits(&entry.Pool, held, demands) {
		return
	}
	data, err := json.Marshal(next)
	if err != nil {
		slog.Error("pool shares not encoded", "pool", name, "err", err)
		return
	}
	pm.shareWrites[name] = true
	key := core.KeyPool + string(name)
	txn := api.Txn{If: []api.Condition{{Key: key, Version: entry.Revision}, owned.OwnershipCondition()}, Writes: []api.Write{{Put: key, Value: data}}}
	pm.core.CallStoreTxn(txn, func(response message.StoreResponse) {
		delete(pm.shareWrites, name)
		if response.Status == 200 {
			pm.shareMoves++
			pm.siblings.Follower.LinearizableRead(func() {}, func() {})
		}
	})
}

// maxCapacityChecks bounds the jobs whose free capacity is looked for when a pool's units are
// handed out or its shares moved.
const maxCapacityChecks = 64

// preferPlaceable puts the demands of jobs whose tasks find free capacity before the others: units
// in a partition without machines help nobody, while the same work waits elsewhere beside free
// machines. Work that moves whole, or preempts others, needs its units first.
func (pm *Manager) preferPlaceable(requests []request) []pool.Demand {
	var placeable, rest []pool.Demand
	freeSlots := map[*core.Job][]int{}
	for _, r := range requests {
		if r.job.Spec.NeedsSinglePartition() || len(freeSlots) >= maxCapacityChecks && freeSlots[r.job] == nil {
			placeable = append(placeable, r.demand)
			continue
		}
		if freeSlots[r.job] == nil {
			freeSlots[r.job] = pm.siblings.Capacity.FreeSlotsByPartition(r.job.Spec)
		}
		startable := r.demand
		startable.Starts = min(startable.Starts, freeSlots[r.job][r.partition])
		if startable.Starts > 0 {
			placeable = append(placeable, startable)
		}
		if r.demand.Starts -= startable.Starts; r.demand.Starts > 0 {
			r.demand.Reserves = false
			rest = append(rest, r.demand)
		}
	}
	return append(placeable, rest...)
}
