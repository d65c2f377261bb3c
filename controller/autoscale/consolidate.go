// Consolidation: moving the services of one machine to others so that it can be deleted.

package autoscale

import (
	"log/slog"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// consolidate moves the services of a machine, the one with fewest, to others that have
// free capacity and their image, so that it can be deleted: services that came while there
// was much other work are spread over many machines when that is gone. The cost is a
// moment without the replica.
func (as *Manager) consolidate(owned *core.OwnedPartition, kind message.AcceleratorKind) {
	if as.core.Now.Sub(owned.OwnedSince) < as.idleTimeout(kind.Type) {
		return
	}
	sources, destinations := as.consolidationCandidates(owned, kind)
	if len(sources) == 0 {
		return
	}
	m := slices.MinFunc(sources, func(a, b *core.Machine) int {
		return len(as.core.State.PlacementsOn(a.ID)) - len(as.core.State.PlacementsOn(b.ID))
	})
	if !as.fitsElsewhere(m, owned, destinations) {
		return
	}
	m.ConsolidatingUntil = as.core.Now.Add(core.ReservationTTL)
	slog.Info("services relocated", "machine", m.ID, "tasks", len(as.core.State.PlacementsOn(m.ID)))
	for _, p := range slices.Clone(as.core.State.PlacementsOn(m.ID)) {
		as.siblings.Scheduler.StopTask(p)
	}
}

// consolidationCandidates are the machines whose services may move, and those that may
// take them.
func (as *Manager) consolidationCandidates(owned *core.OwnedPartition, kind message.AcceleratorKind) (sources, destinations []*core.Machine) {
	for _, m := range as.siblings.Agents.MachinesOf(owned.ID) {
		if kindOf(m.MachineType, m.Spot) != kind || m.Surplus || as.core.Now < m.ConsolidatingUntil {
			continue
		}
		if !as.siblings.Scheduler.IsSchedulable(m, owned) || len(as.core.State.PlacementsOn(m.ID)) == 0 {
			continue
		}
		if as.siblings.Preemptor.ReservedFor(m) == "" {
			destinations = append(destinations, m)
		}
		if as.allServicesMovable(m, owned) {
			sources = append(sources, m)
		}
	}
	return sources, destinations
}

// fitsElsewhere reports whether others that have the images have free capacity for all
// that a machine holds.
func (as *Manager) fitsElsewhere(source *core.Machine, owned *core.OwnedPartition, destinations []*core.Machine) bool {
	taken := map[*core.Machine]api.Resources{}
	for _, p := range as.core.State.PlacementsOn(source.ID) {
		i := slices.IndexFunc(destinations, func(m *core.Machine) bool {
			_, cached := m.CachedImages[p.Job.Spec.Image]
			return cached && m != source && p.Job.Demand.Fits(as.siblings.Scheduler.FreeCapacityOn(m, owned).Minus(taken[m]))
		})
		if i < 0 {
			return false
		}
		taken[destinations[i]] = taken[destinations[i]].Plus(p.Job.Demand)
	}
	return true
}

// allServicesMovable reports whether all that a machine holds are services that may move.
func (as *Manager) allServicesMovable(m *core.Machine, owned *core.OwnedPartition) bool {
	return !slices.ContainsFunc(as.core.State.PlacementsOn(m.ID), func(p *core.Placement) bool {
		return !as.serviceMovable(p, owned)
	})
}

// serviceMovable reports whether a placement is a service's that may move: it has run for a
// while, and its place does not depend on its other replicas.
func (as *Manager) serviceMovable(p *core.Placement, owned *core.OwnedPartition) bool {
	spec := p.Job.Spec
	if spec.Kind != api.Service || spec.Spread || spec.OneZone || p.Job.Terminal() {
		return false
	}
	if p.Partition != owned.ID || p.Finishing || p.OwnerState.StopRequested {
		return false
	}
	running := p.OwnerState.RunningSince
	return running != 0 && as.core.Now.Sub(running) >= core.MinServiceRuntime
}
