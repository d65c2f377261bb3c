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

// ReconcilePools preempts holders of units where needed, and moves shares of pools to the partitions
// that request units. For each pool, the owner of one partition moves the shares; a concurrent write
// by another controller is safe.
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

// moveShares reallocates a pool's shares if that satisfies more of the demand.
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
	if err != nil || pm.core.ExceedsValueSize(data) {
		slog.Error("pool shares could not be written", "pool", name, "bytes", len(data), "err", err)
		return
	}
	pm.shareWrites[name] = true
	key := core.KeyPool + string(name)
	txn := api.Txn{If: []api.Condition{{Key: key, Version: entry.Revision}, owned.OwnershipCondition()}, Writes: []api.Write{{Put: key, Value: data}}}
	pm.core.CallStoreTxn(txn, func(response message.StoreResponse) {
		delete(pm.shareWrites, name)
		if response.Status == 200 {
			pm.shareMoves++
			pm.deps.Follower.LinearizableRead(func() {}, func() {})
		}
	})
}

// maxCapacityChecks bounds the jobs whose free capacity is computed when units of a pool are allocated
// or its shares are moved.
const maxCapacityChecks = 64

// preferPlaceable returns the demands with those of tasks that have free capacity first, as units are
// useless in a partition without free capacity. Jobs that need a single partition count as placeable:
// they need their units before they can be moved or preempt others.
func (pm *Manager) preferPlaceable(requests []request) []pool.Demand {
	var placeable, rest []pool.Demand
	freeSlots := map[*core.Job][]int{}
	for _, r := range requests {
		if r.job.Spec.NeedsSinglePartition() || len(freeSlots) >= maxCapacityChecks && freeSlots[r.job] == nil {
			placeable = append(placeable, r.demand)
			continue
		}
		if freeSlots[r.job] == nil {
			freeSlots[r.job] = pm.deps.Capacity.FreeSlotsByPartition(r.job.Spec)
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
