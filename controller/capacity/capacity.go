// Package capacity counts the cluster's free and total capacity and the demand that waits for
// it, by partition. It owns no state: it counts anew for each question, from the cluster state
// and from what the owners of partitions gossip of their machines.
package capacity

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/sched"
)

// Counter answers questions about capacity.
type Counter struct {
	core     *core.Core
	siblings Siblings
}

// Siblings are the other components that a Counter asks.
type Siblings struct {
	Gossip     Gossip
	Priorities Priorities
	Tenants    Tenants
}

// Gossip is what a Counter needs of the gossiper.
type Gossip interface {
	EachFreeCapacity(visit func(api.PartitionID, message.MachineClass, message.FreeCapacity))
}

// Priorities is what a Counter needs of the priority rules.
type Priorities interface {
	EffectivePriority(spec *api.JobSpec) float64
}

// Tenants is what a Counter needs of the tenant service.
type Tenants interface {
	StartsBlocked(j *core.Job) bool
}

// New returns a Counter, to be connected before it is asked.
func New(shared *core.Core) *Counter { return &Counter{core: shared} }

// Connect gives the Counter the components that it asks.
func (c *Counter) Connect(siblings Siblings) { c.siblings = siblings }

// FreeSlotsByPartition counts how many of a job's tasks each partition could start now.
func (c *Counter) FreeSlotsByPartition(spec *api.JobSpec) []int {
	slots := make([]int, len(c.core.State.Partitions))
	demand, cpuOnly := spec.Demand(), c.core.IsCPUOnly(spec)
	c.siblings.Gossip.EachFreeCapacity(func(p api.PartitionID, class message.MachineClass, capacity message.FreeCapacity) {
		if cpuOnly && class.Closed {
			return
		}
		if class.Usable && sched.Feasible(spec, class.Type, class.Zone, class.Spot) {
			slots[p] += capacity.Count * demand.Slots(capacity.Free)
		}
	})
	return slots
}

// TotalSlotsByPartition counts how many of a job's tasks each partition's machines could hold
// if they were empty.
func (c *Counter) TotalSlotsByPartition(spec *api.JobSpec) []int {
	slots := make([]int, len(c.core.State.Partitions))
	demand, cpuOnly := spec.Demand(), c.core.IsCPUOnly(spec)
	c.siblings.Gossip.EachFreeCapacity(func(p api.PartitionID, class message.MachineClass, capacity message.FreeCapacity) {
		machineType := c.core.MachineTypes[class.Type]
		if class.Usable && machineType != nil && sched.Feasible(spec, class.Type, class.Zone, class.Spot) && !(cpuOnly && machineType.GPUs > 0) {
			slots[p] += capacity.Count * demand.Slots(machineType.Capacity())
		}
	})
	return slots
}

// PendingTasksIn counts the pending tasks of a partition that compete with a job, in units of
// that job's demand: not those that may not start, and not those of a lower priority where
// there are priority rules.
func (c *Counter) PendingTasksIn(p api.PartitionID, spec *api.JobSpec) int {
	count, demand := 0, spec.Demand()
	hasRules, priority := len(c.core.Settings.Priority) > 0, c.siblings.Priorities.EffectivePriority(spec)
	for _, j := range c.core.State.PendingJobs {
		if demand.GPU > 0 && j.Demand.GPU == 0 || c.siblings.Tenants.StartsBlocked(j) ||
			hasRules && c.siblings.Priorities.EffectivePriority(j.Spec) < priority {
			continue
		}
		pending := j.PendingTasks(p)
		if pending <= 0 {
			continue
		}
		if demand.CPU > 0 && j.Demand.CPU > 0 {
			pending = int(float64(pending) * float64(j.Demand.CPU) / float64(demand.CPU))
		}
		count += pending
	}
	return count
}

// FreeCapacityGroups counts the machines by partition, class and free resources, in the order
// in which such machines are first met.
func (c *Counter) FreeCapacityGroups() []core.FreeCapacityGroup {
	var groups []core.FreeCapacityGroup
	index := map[core.FreeCapacityGroup]int{}
	c.siblings.Gossip.EachFreeCapacity(func(p api.PartitionID, class message.MachineClass, capacity message.FreeCapacity) {
		key := core.FreeCapacityGroup{Partition: p, Class: class, FreeCapacity: message.FreeCapacity{Free: capacity.Free}}
		i, ok := index[key]
		if !ok {
			i = len(groups)
			index[key] = i
			groups = append(groups, key)
		}
		groups[i].Count += capacity.Count
	})
	return groups
}
