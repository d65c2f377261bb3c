// Package pools manages pools of counted resources, such as licences, of which the partitions of
// a hosted service hold shares. A Manager owns the table of the pools' records, as far as this
// controller has read them, and which share moves it is writing. What is held of a pool is
// part of the cluster state and of the rounds that start tasks; see docs/pools.md.
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

// reconcileInterval is how often the pools' shares are looked at.
const reconcileInterval = time.Second

// Manager shares counted resources among partitions.
type Manager struct {
	core     *core.Core
	siblings Siblings

	table        *pool.Table // nil where the service is not hosted
	reconciledAt api.Time
	shareWrites  map[api.PoolName]bool // pools whose shares are being written
	shareMoves   uint64
}

// Siblings are the other components that a Manager asks.
type Siblings struct {
	Backfiller Backfiller
	Capacity   Capacity
	Follower   Follower
	Priorities Priorities
	Scheduler  Scheduler
	Tenancy    Tenancy
}

// Backfiller is what a Manager needs to know of jobs that have waited for long.
type Backfiller interface {
	WaitStage(*core.Job, api.PartitionID) sched.AgingStage
}

// Capacity is what a Manager needs to know of the machines' free capacity.
type Capacity interface {
	// FreeSlotsByPartition is how many tasks of a job each partition's machines could start.
	FreeSlotsByPartition(*api.JobSpec) []int
}

// Follower is what a Manager needs of the log's follower.
type Follower interface {
	LinearizableRead(onRead, onFailure func())
}

// Priorities is what a Manager needs to know of the order among jobs.
type Priorities interface {
	EffectivePriority(*api.JobSpec) float64
}

// Scheduler is what a Manager needs to preempt tasks.
type Scheduler interface {
	StopTask(*core.Placement)
}

// Tenancy is what a Manager needs of the tenants whose work uses pools, and of the operators who
// change them.
type Tenancy interface {
	StartsBlocked(*core.Job) bool
	HasTenant(tenant.Name) bool
	AuditWrite(c message.AdminRequest, subject string, before, after any) api.Write
	CommitChange(c message.AdminRequest, txn api.Txn, what string, view func(api.Revision) any)
}

// New returns a Manager that knows no pool; Connect completes it.
func New(k *core.Core) *Manager { return &Manager{core: k} }

// Connect names the components that the Manager asks.
func (pm *Manager) Connect(siblings Siblings) { pm.siblings = siblings }

// RecordKinds are the kinds of records that the Manager keeps: the pools', if the service is
// hosted. It forgets all pools, as the records are read anew.
func (pm *Manager) RecordKinds() []clusterstate.RecordKind {
	if pm.core.Config.Hosted == nil {
		return nil
	}
	pm.table, pm.shareWrites = pool.NewTable(pm.core.Config.Deployment.InitialSize), map[api.PoolName]bool{}
	return []clusterstate.RecordKind{{Prefix: core.KeyPool, Put: pm.table.Put}}
}

// Table is the pools' records, nil where the service is not hosted.
func (pm *Manager) Table() *pool.Table { return pm.table }

// Count is how many pools there are.
func (pm *Manager) Count() int {
	if pm.table == nil {
		return 0
	}
	return pm.table.Len()
}

// Names are the pools' names, in order. The service must be hosted.
func (pm *Manager) Names() []api.PoolName { return pm.table.Names() }

// Size is how many units a pool has, which must exist.
func (pm *Manager) Size(name api.PoolName) int { return pm.table.Get(name).Size }

// ShareMoves is how often this process has moved shares of pools between partitions.
func (pm *Manager) ShareMoves() uint64 { return pm.shareMoves }

// entry is a pool's record, nil if there is none.
func (pm *Manager) entry(name api.PoolName) *pool.Entry {
	if pm.table == nil {
		return nil
	}
	return pm.table.Get(name)
}

// isCurrent reports whether what is known of a pool is its latest record. Where that could
// not be read the one before is kept, under which nothing may be handed out any more.
func (pm *Manager) isCurrent(entry *pool.Entry) bool {
	return entry.Revision == pm.core.State.Version(core.KeyPool+string(entry.Name))
}

// heldByPartition is what each partition holds of a pool by the cluster state.
func (pm *Manager) heldByPartition(name api.PoolName) []int {
	held := make([]int, len(pm.core.State.Partitions))
	for i := range pm.core.State.Partitions {
		held[i] = pm.core.State.Partitions[i].PoolUsage[name]
	}
	return held
}

// heldByTeam is what each team holds of a pool that guarantees units to some, nil of others.
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

// PoolHeldTotal is what all partitions together hold of a pool by the cluster state.
func (pm *Manager) PoolHeldTotal(name api.PoolName) int {
	sum := 0
	for i := range pm.core.State.Partitions {
		sum += pm.core.State.Partitions[i].PoolUsage[name]
	}
	return sum
}
