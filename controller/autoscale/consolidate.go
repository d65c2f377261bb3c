// This file consolidates services: it moves them off a machine so that it can be deleted.

package autoscale

import (
	"log/slog"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// consolidate stops the services on the machine with the fewest placements, if other machines
// have free capacity and cached images for all of them, so that the machine can be deleted.
// Services that started under high load would otherwise stay spread over many machines. Each
// stopped replica is missing until it has started again.
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
		as.deps.Scheduler.StopTask(p)
	}
}

// consolidationCandidates returns the machines whose services may move, and the machines that
// may receive them.
func (as *Manager) consolidationCandidates(owned *core.OwnedPartition, kind message.AcceleratorKind) (sources, destinations []*core.Machine) {
	for _, m := range as.deps.Agents.MachinesOf(owned.ID) {
		if kindOf(m.MachineType, m.Spot) != kind || m.Surplus || as.core.Now < m.ConsolidatingUntil {
			continue
		}
		if !as.deps.Scheduler.IsSchedulable(m, owned) || len(as.core.State.PlacementsOn(m.ID)) == 0 {
			continue
		}
		if as.deps.Preemptor.ReservedFor(m) == "" {
			destinations = append(destinations, m)
		}
		if as.allServicesMovable(m, owned) {
			sources = append(sources, m)
		}
	}
	return sources, destinations
}

// fitsElsewhere reports whether other machines, with the images cached, have free capacity for
// all tasks of a machine.
func (as *Manager) fitsElsewhere(source *core.Machine, owned *core.OwnedPartition, destinations []*core.Machine) bool {
	taken := map[*core.Machine]api.Resources{}
	for _, p := range as.core.State.PlacementsOn(source.ID) {
		i := slices.IndexFunc(destinations, func(m *core.Machine) bool {
			_, cached := m.CachedImages[p.Job.Spec.Image]
			return cached && m != source && p.Job.Demand.Fits(as.deps.Scheduler.FreeCapacityOn(m, owned).Minus(taken[m]))
		})
		if i < 0 {
			return false
		}
		taken[destinations[i]] = taken[destinations[i]].Plus(p.Job.Demand)
	}
	return true
}

// allServicesMovable reports whether all tasks of a machine are replicas that may move.
func (as *Manager) allServicesMovable(m *core.Machine, owned *core.OwnedPartition) bool {
	return !slices.ContainsFunc(as.core.State.PlacementsOn(m.ID), func(p *core.Placement) bool {
		return !as.serviceMovable(p, owned)
	})
}

// serviceMovable reports whether a placement is a replica of a service that may move: it has
// run for a minimum time, and no zone constraint ties it to the other replicas.
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
