// Package capacity counts the free and total capacity and the pending demand of each partition.
// It owns no state: each call counts from the cluster state and from gossip about the machines
// of other partitions.
package capacity

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/sched"
)

// Counter counts capacity and pending demand.
type Counter struct {
	core *core.Core
	deps Dependencies
}

// Dependencies are the other components that the Counter depends on.
type Dependencies struct {
	Gossip     Gossip
	Priorities Priorities
	Tenants    Tenants
}

// Gossip is the interface to the gossiper.
type Gossip interface {
	EachFreeCapacity(visit func(api.PartitionID, message.MachineClass, message.FreeCapacity))
}

// Priorities is the interface to the operators' priority rules.
type Priorities interface {
	EffectivePriority(spec *api.JobSpec) float64
}

// Tenants is the interface to the tenant service.
type Tenants interface {
	StartsBlocked(j *core.Job) bool
}

// New returns a Counter. Connect must be called before any other method.
func New(shared *core.Core) *Counter { return &Counter{core: shared} }

// Connect sets the components that the Counter depends on.
func (c *Counter) Connect(deps Dependencies) { c.deps = deps }

// FreeSlotsByPartition counts the tasks of a job that each partition could start now.
func (c *Counter) FreeSlotsByPartition(spec *api.JobSpec) []int {
	slots := make([]int, len(c.core.State.Partitions))
	demand, cpuOnly := spec.Demand(), c.core.IsCPUOnly(spec)
	c.deps.Gossip.EachFreeCapacity(func(p api.PartitionID, class message.MachineClass, capacity message.FreeCapacity) {
		if cpuOnly && class.Closed {
			return
		}
		if class.Usable && sched.Feasible(spec, class.Type, class.Zone, class.Spot) {
			slots[p] += capacity.Count * demand.Slots(capacity.Free)
		}
	})
	return slots
}

// TotalSlotsByPartition counts the tasks of a job that each partition's machines would hold if
// they were empty.
func (c *Counter) TotalSlotsByPartition(spec *api.JobSpec) []int {
	slots := make([]int, len(c.core.State.Partitions))
	demand, cpuOnly := spec.Demand(), c.core.IsCPUOnly(spec)
	c.deps.Gossip.EachFreeCapacity(func(p api.PartitionID, class message.MachineClass, capacity message.FreeCapacity) {
		machineType := c.core.MachineTypes[class.Type]
		if class.Usable && machineType != nil && sched.Feasible(spec, class.Type, class.Zone, class.Spot) && !(cpuOnly && machineType.GPUs > 0) {
			slots[p] += capacity.Count * demand.Slots(machineType.Capacity())
		}
	})
	return slots
}

// CompetingTasksIn counts the pending tasks of a partition that compete with a job, in units of
// that job's CPU demand. Tasks whose start is blocked do not compete, nor tasks without
// accelerators if the job needs some, nor, with priority rules, tasks of lower priority.
func (c *Counter) CompetingTasksIn(p api.PartitionID, spec *api.JobSpec) int {
	count, demand := 0, spec.Demand()
	hasRules, priority := len(c.core.Settings.Priority) > 0, c.deps.Priorities.EffectivePriority(spec)
	for _, j := range c.core.State.PendingJobs {
		if demand.GPU > 0 && j.Demand.GPU == 0 || c.deps.Tenants.StartsBlocked(j) ||
			hasRules && c.deps.Priorities.EffectivePriority(j.Spec) < priority {
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

// FreeCapacityGroups counts the machines by partition, class and free resources, in the order of
// the first machine of each group.
func (c *Counter) FreeCapacityGroups() []core.FreeCapacityGroup {
	var groups []core.FreeCapacityGroup
	index := map[core.FreeCapacityGroup]int{}
	c.deps.Gossip.EachFreeCapacity(func(p api.PartitionID, class message.MachineClass, capacity message.FreeCapacity) {
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
