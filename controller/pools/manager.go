// Package pools manages pools of counted resources, such as licences, that are divided into shares by
// partition. A Manager owns the replica of the pools' records and the set of share changes in flight.
// The held units are part of the cluster state, and rounds change them when they start tasks; see
// docs/pools.md.
package pools

import (
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/pool"
	"basaltwall/sched"
	"basaltwall/tenant"
)

// reconcileInterval is the minimum interval between reconciliations of pool shares.
const reconcileInterval = time.Second

// Manager divides counted resources among partitions.
type Manager struct {
	core *core.Core
	deps Dependencies

	table        *pool.Table // nil if the service is not hosted
	reconciledAt api.Time
	shareWrites  map[api.PoolName]bool // pools with a write of shares in flight
	shareMoves   uint64
}

// Dependencies are the other components that a Manager calls.
type Dependencies struct {
	Backfiller Backfiller
	Capacity   Capacity
	Follower   Follower
	Priorities Priorities
	Scheduler  Scheduler
	Tenancy    Tenancy
}

// Backfiller is what a Manager needs of the backfiller.
type Backfiller interface {
	AgingStage(*core.Job, api.PartitionID) sched.AgingStage
}

// Capacity is what a Manager needs of the capacity counts.
type Capacity interface {
	// FreeSlotsByPartition returns the number of a job's tasks that each partition has free
	// capacity for.
	FreeSlotsByPartition(*api.JobSpec) []int
}

// Follower is what a Manager needs of the log follower.
type Follower interface {
	LinearizableRead(onRead, onFailure func())
}

// Priorities is what a Manager needs of the priority rules.
type Priorities interface {
	EffectivePriority(*api.JobSpec) float64
}

// Scheduler is what a Manager needs of the scheduler to preempt tasks.
type Scheduler interface {
	StopTask(*core.Placement)
}

// Tenancy is what a Manager needs of the tenant service.
type Tenancy interface {
	StartsBlocked(*core.Job) bool
	HasTenant(tenant.Name) bool
	NewAuditWrite(c message.AdminRequest, subject string, before, after any) api.Write
	CommitChange(c message.AdminRequest, txn api.Txn, what string, view func(api.Revision) any)
}

// New returns a Manager without pools; Connect must be called before it serves requests.
func New(k *core.Core) *Manager { return &Manager{core: k} }

// Connect sets the components that the Manager calls.
func (pm *Manager) Connect(deps Dependencies) { pm.deps = deps }

// RecordKinds returns the kinds of records that the Manager replicates: pools, if the service is
// hosted. It resets the replica for a new load.
func (pm *Manager) RecordKinds() []clusterstate.RecordKind {
	if pm.core.Config.Hosted == nil {
		return nil
	}
	pm.table, pm.shareWrites = pool.NewTable(pm.core.Config.Deployment.InitialSize), map[api.PoolName]bool{}
	return []clusterstate.RecordKind{{Prefix: core.KeyPool, Put: pm.table.Put}}
}

// Table returns the pools' records, nil if the service is not hosted.
func (pm *Manager) Table() *pool.Table { return pm.table }

// Count returns the number of pools.
func (pm *Manager) Count() int {
	if pm.table == nil {
		return 0
	}
	return pm.table.Len()
}

// Names returns the names of the pools in order. The service must be hosted.
func (pm *Manager) Names() []api.PoolName { return pm.table.Names() }

// Size returns the number of units of a pool, which must exist.
func (pm *Manager) Size(name api.PoolName) int { return pm.table.Get(name).Size }

// ShareMoves returns the number of changes of pool shares that this process has written.
func (pm *Manager) ShareMoves() uint64 { return pm.shareMoves }

// entry returns a pool's record, nil if there is none.
func (pm *Manager) entry(name api.PoolName) *pool.Entry {
	if pm.table == nil {
		return nil
	}
	return pm.table.Get(name)
}

// isCurrent reports whether the replica has the latest record of a pool. If the latest record could
// not be decoded, the replica keeps the previous one, and no units may be allocated.
func (pm *Manager) isCurrent(entry *pool.Entry) bool {
	return entry.Revision == pm.core.State.Version(core.KeyPool+string(entry.Name))
}

// heldByPartition returns the units of a pool that each partition holds in the cluster state.
func (pm *Manager) heldByPartition(name api.PoolName) []int {
	held := make([]int, len(pm.core.State.Partitions))
	for i := range pm.core.State.Partitions {
		held[i] = pm.core.State.Partitions[i].PoolUsage[name]
	}
	return held
}

// heldByTeam returns the units of a pool that each team holds, nil if the pool has no guarantees.
func (pm *Manager) heldByTeam(entry *pool.Entry) map[api.Team]int {
	if entry == nil || len(entry.Guaranteed) == 0 {
		return nil
	}
	held := map[api.Team]int{}
	for _, j := range pm.core.State.Jobs {
		if need, ok := j.Spec.PoolRequest(entry.Name); ok {
			held[j.Spec.Team] += need.Units(j.LiveCount(), false)
		}
	}
	return held
}

// PoolHeldTotal returns the units of a pool that all partitions together hold in the cluster state.
func (pm *Manager) PoolHeldTotal(name api.PoolName) int {
	sum := 0
	for i := range pm.core.State.Partitions {
		sum += pm.core.State.Partitions[i].PoolUsage[name]
	}
	return sum
}
