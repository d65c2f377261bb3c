// This file marks surplus machines: those with accelerators that exceed the capacity targets.

package autoscale

import (
	"cmp"
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// markSurplus marks this controller's share of the surplus machines of a type, the most
// expensive first. It does not mark machines with long-running work, nor those needed for
// latency-sensitive jobs. Surplus machines get tasks last and are deleted sooner when idle. All
// owners compute their shares from the same counts, so that together they mark about the surplus.
func (as *Manager) markSurplus(name api.MachineTypeName, target *capacityTarget, countsByPartition map[api.PartitionID]acceleratorCounts) {
	totals, up := totalCounts(name, countsByPartition)
	surplus := up - target.total
	price := func(kind message.AcceleratorKind) float64 { return priceOf(as.core.MachineTypes[name], kind.Spot) }
	kinds := slices.SortedFunc(maps.Keys(totals), func(a, b message.AcceleratorKind) int { return cmp.Compare(price(b), price(a)) })
	for _, kind := range kinds {
		excess := surplus
		if target.suits(kind.Spot) {
			excess = min(excess, totals[kind].Up-target.latencySensitive)
		}
		free := totals[kind].Up - totals[kind].Lasting
		surplusOfKind := max(0, min(excess, free))
		surplus -= surplusOfKind
		mayConsolidate := target.latencySensitiveSpec != nil && (excess-free)/len(countsByPartition) > 0
		as.distributeSurplus(kind, surplusOfKind, free, countsByPartition, mayConsolidate)
	}
}

// totalCounts sums the counts of a type's machines over all partitions, by kind, and the number
// of those that are up.
func totalCounts(name api.MachineTypeName, countsByPartition map[api.PartitionID]acceleratorCounts) (totals acceleratorCounts, up int) {
	totals = acceleratorCounts{}
	for _, counts := range countsByPartition {
		for kind, count := range counts {
			if kind.Type == name {
				total := totals[kind]
				totals[kind] = message.AcceleratorCount{Up: total.Up + count.Up, Lasting: total.Lasting + count.Lasting}
				up += count.Up
			}
		}
	}
	return totals, up
}

// distributeSurplus divides the surplus of a kind among the partitions in proportion to their
// machines without long-running work, and marks the machines of owned partitions.
func (as *Manager) distributeSurplus(kind message.AcceleratorKind, surplus, free int, countsByPartition map[api.PartitionID]acceleratorCounts, mayConsolidate bool) {
	freeBefore := 0
	for _, p := range slices.Sorted(maps.Keys(countsByPartition)) {
		count := countsByPartition[p][kind]
		freeHere := count.Up - count.Lasting
		share := 0
		if free > 0 {
			share = surplus*(freeBefore+freeHere)/free - surplus*freeBefore/free
		}
		freeBefore += freeHere
		if owned := as.core.Partitions[p]; owned != nil {
			as.selectSurplus(p, kind, share)
			if mayConsolidate {
				as.consolidate(owned, kind)
			}
		}
	}
}

// selectSurplus marks count machines of a partition as surplus: first those already marked,
// then those with the fewest placements, then the newest.
func (as *Manager) selectSurplus(p api.PartitionID, kind message.AcceleratorKind, count int) {
	var free []*core.Machine
	for _, m := range as.deps.Agents.MachinesOf(p) {
		switch {
		case kindOf(m.MachineType, m.Spot) != kind:
		case m.LastHeartbeat != 0 && !m.Deleting && !as.hasLongRunningWork(m.ID):
			free = append(free, m)
		default:
			m.Surplus = false
		}
	}
	rank := func(m *core.Machine) int {
		if m.Surplus || as.core.Now < m.ConsolidatingUntil {
			return 0
		}
		return 1 + len(as.core.State.PlacementsOn(m.ID))
	}
	slices.SortStableFunc(free, func(a, b *core.Machine) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(b.ID, a.ID))
	})
	for i, m := range free {
		m.Surplus = i < count
	}
}
