package balance

// This file describes the jobs that find no capacity in their partition, so that other partitions
// can lend machines.

import (
	"cmp"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/sched"
)

const (
	// transferWait is the time for which a job must lack capacity before machines are lent to it
	// together with their tasks. This separates tasks of other jobs from their partition, and
	// capacity may become free without it.
	transferWait = 20 * time.Second
	// unmetDemandExpiry is the time after the last observation of unmet demand after which the wait
	// of a job starts again.
	unmetDemandExpiry = 4 * core.UnmetDemandRecheckInterval
)

// UnmetDemandOf describes a job that finds no capacity in its partition, and records since when.
func (b *Balancer) UnmetDemandOf(owned *core.OwnedPartition, j *core.Job, request *sched.Job) message.UnmetDemand {
	if j.OwnerState.UnmetSince == 0 || b.core.Now.Sub(j.OwnerState.UnmetSeenAt) > unmetDemandExpiry {
		j.OwnerState.UnmetSince = b.core.Now
	}
	j.OwnerState.UnmetSeenAt = b.core.Now
	demand := message.UnmetDemand{Spec: j.Spec, Zones: request.PlacedByZone, Zone: b.preferredZone(j.Spec), Stage: request.AgingStage}
	if j.Spec.OneZone {
		for zone := range request.PlacedByZone {
			demand.Zone = zone // the zone of its placed tasks
		}
	}
	if b.core.Now.Sub(j.OwnerState.UnmetSince) > transferWait {
		demand.Lenders = b.findLenders(owned, j, &demand)
	}
	return demand
}

// findLenders returns the other partitions with the most capacity for a job, as many as are needed
// for its missing tasks. It returns none for a gang that would not fit all partitions together.
func (b *Balancer) findLenders(owned *core.OwnedPartition, j *core.Job, demand *message.UnmetDemand) []api.PartitionID {
	slots, machines := b.lenderCapacity(j, demand)
	missing := j.PendingTasks(owned.ID)
	if j.Spec.Kind == api.Gang {
		if !sched.FitsAll(machines, j.Spec) {
			return nil
		}
		missing -= slots[owned.ID]
	}
	var lenders []api.PartitionID
	for p, count := range slots {
		if api.PartitionID(p) != owned.ID && count > 0 {
			lenders = append(lenders, api.PartitionID(p))
		}
	}
	slices.SortStableFunc(lenders, func(x, y api.PartitionID) int { return cmp.Compare(slots[y], slots[x]) })
	count := 0
	for count < len(lenders) && missing > 0 {
		missing -= slots[lenders[count]]
		count++
	}
	return lenders[:count]
}

// lenderCapacity counts, by partition, the tasks of a job that fit the free capacity of machines which
// may be lent to it. For a gang it also returns these machines.
func (b *Balancer) lenderCapacity(j *core.Job, demand *message.UnmetDemand) (slots []int, machines []sched.Machine) {
	cpuOnly := b.core.IsCPUOnly(j.Spec)
	slots = make([]int, len(b.core.State.Partitions))
	b.deps.Gossip.EachFreeCapacity(func(p api.PartitionID, class message.MachineClass, capacity message.FreeCapacity) {
		if !class.Usable || demand.Zone != "" && class.Zone != demand.Zone ||
			!b.core.IsEligible(j.Spec, cpuOnly, class.Type, class.Zone, class.Spot) || !sched.ZoneFeasible(j.Spec, demand.Zones, class.Zone) {
			return
		}
		slotsPerMachine := j.Demand.Slots(capacity.Free)
		slots[p] += capacity.Count * slotsPerMachine
		if j.Spec.Kind == api.Gang && slotsPerMachine > 0 {
			for range min(capacity.Count, j.Spec.Tasks) {
				machines = append(machines, machineWithFree(class, capacity.Free))
			}
		}
	})
	return slots, machines
}
