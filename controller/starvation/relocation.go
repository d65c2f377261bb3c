package starvation

// This file moves services off reserved machines, because services never end by themselves.

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/fragmentation"
	"basaltwall/sched"
)

const (
	// relocationDelay is the assumed time to relocate a service, compared with the expected ends of
	// other tasks: a task that ends sooner by itself costs nothing.
	relocationDelay = 2 * time.Minute
	// relocationInterval is the minimum time between two relocations of a service's replicas.
	relocationInterval = 5 * time.Minute
	// maxCapacityClaims limits the number of pending tasks that claim their capacity before a replica
	// does.
	maxCapacityClaims = 200
)

// isRelocatable reports whether a service's replica may move to another machine: it has run for the
// minimum time, no replica of its job was moved recently, and it has no zone constraint.
func (g *Guard) isRelocatable(p *core.Placement) bool {
	spec, job := p.Job.Spec, p.Job
	if spec.Kind != api.Service || spec.Spread || spec.OneZone {
		return false
	}
	if p.Finishing || p.OwnerState.StopRequested || job.Terminal() || job.FinishingCount > 0 {
		return false
	}
	if p.OwnerState.RunningSince == 0 || g.core.Now.Sub(p.OwnerState.RunningSince) <= core.MinServiceRuntime {
		return false
	}
	movedAt := job.OwnerState.ReplicaMovedAt
	return movedAt == 0 || g.core.Now.Sub(movedAt) > relocationInterval
}

// relocateServices moves the services of a reserved machine elsewhere once nothing else is left on
// it and there is capacity for all of them: one replica of a job, and one machine of a partition,
// at a time. A replica is stopped and becomes pending like a lost one, so that the partition's next
// owner handles it the same way. The cost is fetching its image.
func (g *Guard) relocateServices(owned *core.OwnedPartition, m *core.Machine, capacity *relocationCapacity) {
	placements := g.core.State.PlacementsOn(m.ID)
	if len(placements) == 0 || g.core.Now.Sub(owned.ServicesMovedAt) < core.ReservationTTL {
		return
	}
	jobs := map[*core.Job]bool{}
	for _, p := range placements {
		if p.Partition != owned.ID || !g.isRelocatable(p) || jobs[p.Job] {
			return
		}
		jobs[p.Job] = true
	}
	if !g.canRelocateServices(owned, m, capacity) {
		return
	}
	owned.ServicesMovedAt = g.core.Now
	slog.Info("services relocated", "machine", m.ID, "tasks", len(placements), "for", m.ReservedFor)
	for _, p := range slices.Clone(placements) {
		p.Job.OwnerState.ReplicaMovedAt = g.core.Now
		g.core.Metrics.ReplicasMoved++
		g.deps.Scheduler.StopTask(p)
	}
}

// peerMachine is a machine of another controller's partition with its free capacity.
type peerMachine struct {
	class message.MachineClass
	free  api.Resources
}

// relocationCapacity is the capacity to which replicas may move.
type relocationCapacity struct {
	machines []*core.Machine                 // of the partition
	claimed  map[*core.Machine]api.Resources // claimed part of their free capacity
	peers    []peerMachine                   // unclaimed capacity of other controllers' machines
}

// computeRelocationCapacity returns the free capacity less the demand of pending tasks, apart from
// tasks for which whole machines are emptied. A replica relocated by any controller is pending and
// depends on that capacity, so no second one may be stopped for the same capacity.
func (g *Guard) computeRelocationCapacity(owned *core.OwnedPartition, machines []*core.Machine) *relocationCapacity {
	capacity := &relocationCapacity{machines: machines, claimed: map[*core.Machine]api.Resources{}, peers: g.peerMachines()}
	claimsLeft := maxCapacityClaims
	for _, id := range slices.Sorted(maps.Keys(g.core.State.PendingJobs)) {
		j := g.core.State.PendingJobs[id]
		if j.Demand.GPU == 0 || g.deps.Tenancy.StartsBlocked(j) || g.suffersFragmentation(j.Spec) {
			continue
		}
		pending := min(claimsLeft, j.Spec.Tasks-j.CompletedCount-len(j.Placements)+j.FinishingCount)
		claimsLeft -= pending
		for pending > 0 && g.claimCapacity(owned, nil, capacity, j) {
			pending--
		}
	}
	return capacity
}

// peerMachines returns the machines of other controllers with free accelerators, the fullest first.
func (g *Guard) peerMachines() []peerMachine {
	var out []peerMachine
	for _, status := range g.deps.Gossip.PeerPartitionStatuses() {
		for _, group := range status.Rooms {
			if group.Kind < 0 || group.Kind >= len(status.Kinds) || !status.Kinds[group.Kind].Usable || group.Free.GPU <= 0 {
				continue
			}
			for range group.Count {
				out = append(out, peerMachine{class: status.Kinds[group.Kind], free: group.Free})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b peerMachine) int { return cmp.Compare(a.free.GPU, b.free.GPU) })
	return out
}

// claimCapacity claims the demand of one task, on the cheapest machine of the partition other than
// the excluded one, and reports whether there was capacity. A job of one task may also claim
// capacity in another controller's partition.
func (g *Guard) claimCapacity(owned *core.OwnedPartition, excluded *core.Machine, capacity *relocationCapacity, j *core.Job) bool {
	if best := g.cheapestMachine(owned, excluded, capacity, j); best != nil {
		capacity.claimed[best] = capacity.claimed[best].Plus(j.Demand)
		return true
	}
	i := slices.IndexFunc(capacity.peers, func(peer peerMachine) bool {
		return j.Spec.Tasks == 1 && j.Demand.Fits(peer.free) && sched.Feasible(j.Spec, peer.class.Type, peer.class.Zone, peer.class.Spot)
	})
	if i < 0 {
		return false
	}
	capacity.peers[i].free = capacity.peers[i].free.Minus(j.Demand)
	return true
}

// cheapestMachine returns the machine on which a task of a job costs least, in time to fetch its
// image and in accelerators that become unusable; nil if it fits on none.
func (g *Guard) cheapestMachine(owned *core.OwnedPartition, excluded *core.Machine, capacity *relocationCapacity, j *core.Job) *core.Machine {
	var best *core.Machine
	bestCost, cpuOnly := 0.0, g.core.IsCPUOnly(j.Spec)
	for _, m := range capacity.machines {
		if m == excluded || g.deps.Preemptor.ReservedFor(m) != "" || g.core.Avoids(j, m.ID) ||
			!g.core.IsEligible(j.Spec, cpuOnly, m.MachineType, m.Zone, m.Spot) {
			continue
		}
		free := g.deps.Scheduler.FreeCapacityOn(m, owned).Minus(capacity.claimed[m])
		if !j.Demand.Fits(free) {
			continue
		}
		images := sched.Machine{CachedImages: m.CachedImages, FetchRate: g.core.MachineTypes[m.MachineType].FetchRate, FetchingImages: g.deps.Scheduler.PendingImageFetches(m)}
		cost := images.FetchTime(j.Spec) + fragmentation.Increase(free, j.Demand, g.TypicalDemands())
		if best == nil || cost < bestCost {
			best, bestCost = m, cost
		}
	}
	return best
}

// canRelocateServices reports whether there is capacity elsewhere for all relocatable services on a
// machine.
func (g *Guard) canRelocateServices(owned *core.OwnedPartition, m *core.Machine, capacity *relocationCapacity) bool {
	trial := &relocationCapacity{machines: capacity.machines, claimed: maps.Clone(capacity.claimed), peers: slices.Clone(capacity.peers)}
	for _, p := range g.core.State.PlacementsOn(m.ID) {
		if g.isRelocatable(p) && !g.claimCapacity(owned, m, trial, p.Job) {
			return false
		}
	}
	return true
}
