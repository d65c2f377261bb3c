package starvation

// This file measures the free accelerators that are unusable because they are spread over machines.

import (
	"cmp"
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/fragmentation"
)

// demandProfile contains the typical demands of jobs that need accelerators.
type demandProfile struct {
	computedAt api.Time
	typical    []fragmentation.Demand
}

// TypicalDemands returns the typical demands of jobs that need accelerators, computed once per
// core.DemandSampleInterval.
func (g *Guard) TypicalDemands() []fragmentation.Demand {
	profile := &g.demandProfile
	if profile.computedAt != 0 && g.core.Now.Sub(profile.computedAt) < core.DemandSampleInterval {
		return profile.typical
	}
	counts := map[api.Resources]int{}
	for _, j := range g.core.State.Jobs {
		if j.Demand.GPU > 0 && !j.Terminal() {
			counts[j.Demand] += j.Spec.Tasks - j.CompletedCount
		}
	}
	profile.computedAt, profile.typical = g.core.Now, fragmentation.TypicalDemands(counts)
	return profile.typical
}

// suffersFragmentation reports whether a job's tasks need most of a machine's accelerators while
// smaller tasks compete for them.
func (g *Guard) suffersFragmentation(s *api.JobSpec) bool {
	cheapest := g.deps.Autoscaler.CheapestType(s)
	fillsMachine := s.GPUs > 0 && cheapest != nil && 2*s.GPUs > cheapest.GPUs
	return fillsMachine && fragmentation.MayFragment(s.Demand(), g.TypicalDemands())
}

// FragmentedCapacity returns the free accelerators by partition, type and zone, and how many of
// them are unusable for typical demands.
func (g *Guard) FragmentedCapacity() []core.FragmentationView {
	var views []core.FragmentationView
	for _, p := range slices.Sorted(maps.Keys(g.core.Partitions)) {
		views = append(views, g.partitionFragmentation(g.core.Partitions[p])...)
	}
	return views
}

func (g *Guard) partitionFragmentation(owned *core.OwnedPartition) []core.FragmentationView {
	var views []core.FragmentationView
	for _, m := range g.deps.Agents.MachinesOf(owned.ID) {
		if !g.core.HasAccelerators(m.MachineType) || !g.deps.Scheduler.IsSchedulable(m, owned) {
			continue
		}
		i := slices.IndexFunc(views, func(v core.FragmentationView) bool { return v.Type == m.MachineType && v.Zone == m.Zone })
		if i < 0 {
			i = len(views)
			views = append(views, core.FragmentationView{Partition: owned.ID, Type: m.MachineType, Zone: m.Zone})
		}
		free := g.deps.Scheduler.FreeCapacityOn(m, owned)
		views[i].Free += free.GPU.Float()
		views[i].Unusable += fragmentation.Measure(free, g.TypicalDemands())
	}
	slices.SortFunc(views, func(a, b core.FragmentationView) int {
		return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone))
	})
	return views
}
