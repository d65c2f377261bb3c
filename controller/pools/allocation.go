package pools

// This file decides how many units a round may allocate, and explains why a job may not request units
// or has to wait for them.

import (
	"fmt"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/pool"
	"basaltwall/tenant"
)

// AllocatePoolUnits returns the number of units of each required pool that a partition may allocate,
// and the jobs that may request them. Jobs that come after one that reserves units are excluded. If
// the jobs need more than core.MaxRoundPools pools, the round considers some of them in rotation.
func (pm *Manager) AllocatePoolUnits(owned *core.OwnedPartition, jobs []*core.Job) (map[api.PoolName]int, []*core.Job) {
	names := roundPools(owned, jobs)
	if len(names) == 0 {
		return nil, jobs
	}
	available, blocked := map[api.PoolName]int{}, map[*core.Job]bool{}
	for _, name := range names {
		entry := pm.entry(name)
		if entry == nil || !pm.isCurrent(entry) {
			continue
		}
		available[name] = entry.Available(owned.ID, pm.heldByPartition(name))
		pm.blockBehindReservation(name, blocked)
	}
	return available, slices.DeleteFunc(jobs, func(j *core.Job) bool { return blocked[j] })
}

// roundPools returns the pools that jobs need, at most core.MaxRoundPools of them in rotation.
func roundPools(owned *core.OwnedPartition, jobs []*core.Job) []api.PoolName {
	var names []api.PoolName
	for _, j := range jobs {
		for _, need := range j.Spec.Needs {
			if !slices.Contains(names, need.Pool) {
				names = append(names, need.Pool)
			}
		}
	}
	slices.Sort(names)
	if len(names) > core.MaxRoundPools {
		from := owned.PoolCursor % len(names)
		owned.PoolCursor += core.MaxRoundPools
		names = slices.Concat(names[from:], names[:from])[:core.MaxRoundPools]
	}
	return names
}

// blockBehindReservation adds to blocked the jobs that come after the first one that reserves units
// of a pool and has free capacity to start.
func (pm *Manager) blockBehindReservation(name api.PoolName, blocked map[*core.Job]bool) {
	var reserving *core.Job
	checksLeft := maxCapacityChecks
	for _, r := range pm.requests(name) {
		if reserving != nil && r.job != reserving {
			blocked[r.job] = true
		}
		if reserving != nil || !r.demand.Reserves || checksLeft == 0 {
			continue
		}
		if checksLeft--; pm.hasCapacityFor(r) {
			reserving = r.job
		}
	}
}

// CheckPoolRequests returns the reason why a job may not request its units of pools; it is empty if it may.
func (pm *Manager) CheckPoolRequests(s *api.JobSpec, name tenant.Name) string {
	for _, need := range s.Needs {
		entry, units := pm.entry(need.Pool), need.Units(s.GangSize(), false)
		switch {
		case entry == nil || entry.State == pool.Removed || !entry.Allows(s.Team, name):
			return fmt.Sprintf("gettoni.nome: no pool %q", need.Pool)
		case units > entry.MaxSize:
			return fmt.Sprintf("gettoni: %d units of %s are needed at once, but the pool never has more than %d", units, need.Pool, entry.MaxSize)
		}
	}
	return ""
}

// FreePoolUnits returns the number of free units of each active pool in all partitions together.
func (pm *Manager) FreePoolUnits() map[api.PoolName]int {
	if pm.Count() == 0 {
		return nil
	}
	free := map[api.PoolName]int{}
	for _, name := range pm.table.Names() {
		if entry := pm.table.Get(name); entry.State == pool.Active {
			free[name] = max(0, entry.Size-pm.PoolHeldTotal(name))
		}
	}
	return free
}

// PoolPendingReason names the pool that keeps a job from starting in a partition; it is empty if none
// does.
func (pm *Manager) PoolPendingReason(j *core.Job, p api.PartitionID) string {
	for _, need := range j.Spec.Needs {
		entry := pm.entry(need.Pool)
		if entry == nil {
			return fmt.Sprintf("pool %s does not exist", need.Pool)
		}
		units, held := need.Units(j.Spec.GangSize(), j.LiveCount() > 0), pm.heldByPartition(need.Pool)
		switch {
		case !pm.isCurrent(entry):
			return fmt.Sprintf("pool %s: the latest record could not be decoded", need.Pool)
		case entry.State != pool.Active:
			return fmt.Sprintf("pool %s is %s", need.Pool, entry.State)
		case units > entry.Size:
			return fmt.Sprintf("pool %s has %d units, but %d are needed at once", need.Pool, entry.Size, units)
		case units > entry.Available(p, held):
			return fmt.Sprintf("pool %s: %d of %d units are held, %d are needed, %d are available in this partition", need.Pool, pm.PoolHeldTotal(need.Pool), entry.Size, units, entry.Available(p, held))
		}
	}
	return ""
}
