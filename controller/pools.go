package controller

import (
	"cmp"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/pool"
	"basaltwall/sched"
	"basaltwall/tenant"
)

// PoolManager shares counted resources among partitions.
type PoolManager struct {
	core *core.Core
	c    *Controller
}

// poolShareInterval is how often a pool's shares are looked at.
const poolShareInterval = time.Second

// poolState is what a controller keeps of pools beyond their records.
type poolState struct {
	table       *pool.Table
	checkedAt   api.Time
	shareWrites map[api.PoolName]bool // its shares are being written
	shareMoves  uint64
}

// poolHeldByPartition is what each part holds of a pool by the book.
func (pm *PoolManager) poolHeldByPartition(name api.PoolName) []int {
	out := make([]int, len(pm.core.State.Partitions))
	for i := range pm.core.State.Partitions {
		out[i] = pm.core.State.Partitions[i].PoolUsage[name]
	}
	return out
}

// PoolHeldTotal is what all parts together hold of a pool by the book.
func (pm *PoolManager) PoolHeldTotal(name api.PoolName) int {
	sum := 0
	for i := range pm.core.State.Partitions {
		sum += pm.core.State.Partitions[i].PoolUsage[name]
	}
	return sum
}

// poolRequest is a job that waits in a part for units of a pool.
type poolRequest struct {
	job       *core.Job
	partition api.PartitionID
	entitled  bool // within what its team is guaranteed
	ask       pool.Demand
}

// poolHeldByTeam is what each team holds of a pool that guarantees units to some, nil of others.
func (pm *PoolManager) poolHeldByTeam(e *pool.Entry) map[api.Team]int {
	if e == nil || len(e.Guaranteed) == 0 {
		return nil
	}
	out := map[api.Team]int{}
	for _, j := range pm.core.State.Jobs {
		if need, ok := j.Spec.PoolRequest(e.Name); ok {
			out[j.Spec.Team] += need.Units(j.LiveCount(), false)
		}
	}
	return out
}

// poolRequests lists who waits for a pool, in the order in which they are served: by priority,
// then who is within its team's guarantee, then by age. Work that may not start anyway is
// not among them. Who is urgent or entitled reserves what comes free, and others do by
// turns if they need several units at once.
func (pm *PoolManager) poolRequests(name api.PoolName) []poolRequest {
	var out []poolRequest
	e := pm.poolEntry(name)
	teams := pm.poolHeldByTeam(e)
	for _, j := range pm.core.State.PendingJobs {
		need, ok := j.Spec.PoolRequest(name)
		if !ok || pm.c.tenancy.StartsBlocked(j) || j.OwnerState.BackoffUntil > pm.core.Now {
			continue
		}
		for p := range pm.core.State.Partitions {
			waiting := j.PendingTasks(api.PartitionID(p))
			if waiting == 0 {
				continue
			}
			a := pool.Demand{Partition: api.PartitionID(p), Units: need.Units(1, j.LiveCount() > 0), Starts: waiting}
			if j.Spec.Kind == api.Gang {
				a.Units, a.Starts = need.Units(j.Spec.Tasks, false), 1
			}
			entitled := teams != nil && teams[j.Spec.Team]+a.Units <= e.Guaranteed[j.Spec.Team]
			if entitled {
				a.Starts = min(a.Starts, (e.Guaranteed[j.Spec.Team]-teams[j.Spec.Team])/a.Units)
			}
			a.Reserves = entitled || pm.c.backfiller.WaitStage(j, api.PartitionID(p)) != sched.NotAged || j.Spec.Priority.Rank() >= core.PreemptorRank || a.Units > 1 && pool.ShouldReserve(time.Duration(pm.core.WallClock-j.AcceptedAt)*time.Millisecond)
			out = append(out, poolRequest{j, api.PartitionID(p), entitled, a})
		}
	}
	slices.SortFunc(out, func(a, b poolRequest) int {
		return cmp.Or(core.BoolToInt(pm.c.backfiller.WaitStage(b.job, b.partition) == sched.AgedAboveAll)-core.BoolToInt(pm.c.backfiller.WaitStage(a.job, a.partition) == sched.AgedAboveAll),
			sched.Descending(pm.c.priorities.EffectivePriority(a.job.Spec), pm.c.priorities.EffectivePriority(b.job.Spec)), core.BoolToInt(b.entitled)-core.BoolToInt(a.entitled),
			cmp.Compare(a.job.AcceptedAt, b.job.AcceptedAt), cmp.Compare(a.job.ID, b.job.ID), int(a.partition-b.partition))
	})
	return out
}

// AllocatePoolUnits is what a part may hand out of the pools that jobs need, and the jobs that may ask
// for it: those that come after one that reserves what it lacks are left out. Of more
// pools than a round may name some are looked at by turns.
func (pm *PoolManager) AllocatePoolUnits(owned *core.OwnedPartition, jobs []*core.Job) (map[api.PoolName]int, []*core.Job) {
	var names []api.PoolName
	for _, j := range jobs {
		for _, need := range j.Spec.Needs {
			if !slices.Contains(names, need.Pool) {
				names = append(names, need.Pool)
			}
		}
	}
	if len(names) == 0 {
		return nil, jobs
	}
	slices.Sort(names)
	if len(names) > core.MaxRoundPools {
		from := owned.PoolCursor % len(names)
		owned.PoolCursor += core.MaxRoundPools
		names = slices.Concat(names[from:], names[:from])[:core.MaxRoundPools]
	}
	out, blocked := map[api.PoolName]int{}, map[*core.Job]bool{}
	for _, name := range names {
		e := pm.poolEntry(name)
		if e == nil || !pm.isPoolCurrent(e) {
			continue
		}
		out[name] = e.Available(owned.ID, pm.poolHeldByPartition(name))
		var reserving *core.Job // that reserves, and has room for what it reserves for
		checksLeft := maxPoolRequests
		for _, a := range pm.poolRequests(name) {
			if reserving != nil && a.job != reserving {
				blocked[a.job] = true
			}
			if reserving != nil || !a.ask.Reserves || checksLeft == 0 {
				continue
			}
			if checksLeft--; pm.hasCapacityFor(a) {
				reserving = a.job
			}
		}
	}
	return out, slices.DeleteFunc(jobs, func(j *core.Job) bool { return blocked[j] })
}

// hasCapacityFor reports whether work that asks for units could start where it does. Work that moves
// whole, or makes others make way, needs its units first.
func (pm *PoolManager) hasCapacityFor(a poolRequest) bool {
	return a.job.Spec.NeedsSinglePartition() || pm.c.jobs.FreeSlotsByPartition(a.job.Spec)[a.partition] > 0
}

func (pm *PoolManager) poolEntry(name api.PoolName) *pool.Entry {
	if pm.c.tenancy.hosted == nil {
		return nil
	}
	return pm.c.tenancy.hosted.pools.table.Get(name)
}

// isPoolCurrent reports whether what is known of a pool is its latest record. Where that could
// not be read the one before is kept, under which nothing may be handed out any more.
func (pm *PoolManager) isPoolCurrent(e *pool.Entry) bool {
	return e.Revision == pm.core.State.Version(core.KeyPool+string(e.Name))
}

// CheckPoolNeeds says why a job may not ask for what it needs of pools, or nothing.
func (pm *PoolManager) CheckPoolNeeds(s *api.JobSpec, name tenant.Name) string {
	for _, need := range s.Needs {
		e, units := pm.poolEntry(need.Pool), need.Units(s.GangSize(), false)
		switch {
		case e == nil || e.State == pool.Removed || !e.Allows(s.Team, name):
			return fmt.Sprintf("gettoni.nome: no pool %q", need.Pool)
		case units > e.Largest:
			return fmt.Sprintf("gettoni: %d units of %s at once, of which there are never more than %d", units, need.Pool, e.Largest)
		}
	}
	return ""
}

// FreePoolUnits is what may still be handed out of the pools in all parts together.
func (pm *PoolManager) FreePoolUnits() map[api.PoolName]int {
	if pm.c.tenancy.hosted == nil || pm.c.tenancy.hosted.pools.table.Len() == 0 {
		return nil
	}
	out := map[api.PoolName]int{}
	for _, name := range pm.c.tenancy.hosted.pools.table.Names() {
		e := pm.c.tenancy.hosted.pools.table.Get(name)
		if e.State != pool.Active {
			continue
		}
		out[name] = max(0, e.Size-pm.PoolHeldTotal(name))
	}
	return out
}

// PendingReasonPool says which pool keeps a job from starting in a part, or nothing.
func (pm *PoolManager) PendingReasonPool(j *core.Job, p api.PartitionID) string {
	for _, need := range j.Spec.Needs {
		e := pm.poolEntry(need.Pool)
		if e == nil {
			return fmt.Sprintf("pool %s: there is none", need.Pool)
		}
		units, held := need.Units(j.Spec.GangSize(), j.LiveCount() > 0), pm.poolHeldByPartition(need.Pool)
		switch {
		case !pm.isPoolCurrent(e):
			return fmt.Sprintf("pool %s: its record is not understood", need.Pool)
		case e.State != pool.Active:
			return fmt.Sprintf("pool %s is %s", need.Pool, e.State)
		case units > e.Size:
			return fmt.Sprintf("pool %s has %d units, fewer than the %d that are needed at once", need.Pool, e.Size, units)
		case units > e.Available(p, held):
			return fmt.Sprintf("pool %s: %d of %d units are held, %d are needed, %d are to be had here", need.Pool, pm.PoolHeldTotal(need.Pool), e.Size, units, e.Available(p, held))
		}
	}
	return ""
}

// ReconcilePools moves shares of pools to where they are asked for. Of each pool the owner of
// one part does; whoever does, nothing goes wrong.
func (pm *PoolManager) ReconcilePools() {
	state := &pm.c.tenancy.hosted.pools
	if state.table.Len() == 0 || pm.core.Now.Sub(state.checkedAt) < poolShareInterval || pm.core.Overloaded() {
		return
	}
	state.checkedAt = pm.core.Now
	for i, name := range state.table.Names() {
		e, requests := state.table.Get(name), pm.poolRequests(name)
		pm.preemptPoolHolders(e, requests)
		owned := pm.core.Partitions[api.PartitionID(i%len(pm.core.State.Partitions))]
		if owned == nil || state.shareWrites[name] || e.State != pool.Active || !pm.isPoolCurrent(e) {
			continue
		}
		asks := pm.preferPlaceable(requests)
		if len(asks) == 0 {
			continue
		}
		held := pm.poolHeldByPartition(name)
		next := e.Pool
		next.Shares = pool.AllocateShares(e.Size, held, asks)
		if pool.SatisfiedUnits(&next, held, asks) <= pool.SatisfiedUnits(&e.Pool, held, asks) {
			continue
		}
		data, err := json.Marshal(next)
		if err != nil {
			slog.Error("pool shares not encoded", "pool", name, "err", err)
			continue
		}
		state.shareWrites[name] = true
		key := core.KeyPool + string(name)
		tx := api.Txn{If: []api.Condition{{Key: key, Version: e.Revision}, owned.OwnershipCondition()}, Writes: []api.Write{{Put: key, Value: data}}}
		pm.core.CallStoreTxn(tx, func(a message.StoreResponse) {
			delete(state.shareWrites, name)
			if a.Status == 200 {
				state.shareMoves++
				pm.c.follower.LinearizableRead(func() {}, func() {})
			}
		})
	}
}

// poolHolding is what gives back units of a pool together: a task, or all tasks of a job that
// runs whole or holds units for itself.
type poolHolding struct {
	job    *core.Job
	places []*core.Placement
	units  int
}

// poolHoldings lists what holds units of a pool in the order in which it makes way: the least
// urgent first, of those gangs last, since they lose all their tasks' work, and then the
// newest. Each owner finds the same by its book.
func (pm *PoolManager) poolHoldings(name api.PoolName) []poolHolding {
	var all []poolHolding
	positions := map[*core.Job]int{} // where in all, and one more
	for p := range pm.core.State.Partitions {
		for pl := range pm.core.State.PlacementsByPartition[p] {
			j := pl.Job
			need, ok := j.Spec.PoolRequest(name)
			if !ok || pl.Finishing {
				continue
			}
			if j.Spec.Kind != api.Gang && need.Job == 0 {
				all = append(all, poolHolding{j, []*core.Placement{pl}, need.Task})
				continue
			}
			if positions[j] == 0 {
				all = append(all, poolHolding{j, nil, need.Job})
				positions[j] = len(all)
			}
			h := &all[positions[j]-1]
			h.places, h.units = append(h.places, pl), h.units+need.Task
		}
	}
	gang := func(h poolHolding) int { return core.BoolToInt(h.job.Spec.Kind == api.Gang) }
	slices.SortFunc(all, func(a, b poolHolding) int {
		return cmp.Or(sched.Descending(pm.c.priorities.EffectivePriority(b.job.Spec), pm.c.priorities.EffectivePriority(a.job.Spec)), gang(a)-gang(b), cmp.Compare(b.job.AcceptedAt, a.job.AcceptedAt),
			cmp.Compare(b.job.ID, a.job.ID), b.places[0].Task.Index-a.places[0].Task.Index)
	})
	return all
}

// preemptPoolHolders stops work that holds units of a pool. Of a pool of which more is held than there
// is it stops what is too much, if its operators say so. For urgent work that lacks units
// only it stops less urgent work, gangs aside, as for want of machines. Each owner stops
// what is its own; what has been told to stop counts as held until it has ended, so no more
// is stopped than it takes.
func (pm *PoolManager) preemptPoolHolders(e *pool.Entry, requests []poolRequest) {
	if !pm.isPoolCurrent(e) || e.State == pool.Removed {
		return
	}
	missing := pm.PoolHeldTotal(e.Name) - e.Size
	preemptible := func(poolHolding) bool { return e.Reclaim }
	if missing <= 0 || !e.Reclaim {
		urgent := pm.urgentPoolRequest(e, requests)
		if urgent == nil {
			return
		}
		missing += urgent.ask.Units * urgent.ask.Starts
		rank := urgent.job.Spec.Priority.Rank()
		preemptible = func(h poolHolding) bool { return h.job.Spec.Kind != api.Gang && h.job.Spec.Priority.Rank() < rank }
	}
	if missing <= 0 {
		return
	}
	for _, h := range pm.poolHoldings(e.Name) {
		if missing <= 0 {
			return
		}
		if !preemptible(h) {
			continue
		}
		missing -= h.units
		for _, pl := range h.places {
			if pm.core.Partitions[pl.Partition] != nil && !pl.OwnerState.StopRequested {
				pm.c.scheduler.StopTask(pl)
				pl.Job.OwnerState.PreemptedTasks++
				slog.Info("task preempted", core.TenantAttr(pl.Job), "task", pl.Task, "machine", pl.Machine, "pool", e.Name)
			}
		}
	}
}

// urgentPoolRequest is the first urgent work that waits for a pool and has room to start, nil if
// there is none.
func (pm *PoolManager) urgentPoolRequest(e *pool.Entry, requests []poolRequest) *poolRequest {
	if e.State != pool.Active {
		return nil
	}
	for _, a := range requests {
		if a.job.Spec.Priority.Rank() < core.PreemptorRank {
			return nil
		}
		if a.ask.Units <= e.Size && pm.hasCapacityFor(a) {
			return &a
		}
	}
	return nil
}

// maxPoolRequests bounds the jobs whose room is looked for when a pool's shares are.
const maxPoolRequests = 64

// preferPlaceable puts those who ask where there is room for their tasks before the others: units
// in a part without machines help nobody, while the same work waits elsewhere beside free
// machines. Work that moves whole, or makes others make way, needs its units first.
func (pm *PoolManager) preferPlaceable(requests []poolRequest) []pool.Demand {
	var asks, rest []pool.Demand
	freeSlots := map[*core.Job][]int{}
	for _, a := range requests {
		if a.job.Spec.NeedsSinglePartition() || len(freeSlots) >= maxPoolRequests && freeSlots[a.job] == nil {
			asks = append(asks, a.ask)
			continue
		}
		if freeSlots[a.job] == nil {
			freeSlots[a.job] = pm.c.jobs.FreeSlotsByPartition(a.job.Spec)
		}
		startable := a.ask
		startable.Starts = min(startable.Starts, freeSlots[a.job][a.partition])
		if startable.Starts > 0 {
			asks = append(asks, startable)
		}
		if a.ask.Starts -= startable.Starts; a.ask.Starts > 0 {
			a.ask.Reserves = false
			rest = append(rest, a.ask)
		}
	}
	return append(asks, rest...)
}

// What operators see of pools.
type (
	// PoolView is a pool and what is held of it.
	PoolView struct {
		pool.Pool
		Held         []int        `json:"held"` // by part
		Free         []int        `json:"free"` // that each part may hand out
		WaitingUnits int          `json:"waiting_units"`
		OldestWait   float64      `json:"oldest_wait_s"`
		Revision     api.Revision `json:"revision"`
		Holders      []HolderView `json:"holders,omitempty"`
	}
	// HolderView is a job that holds units.
	HolderView struct {
		Job    api.JobID `json:"job"`
		Tenant string    `json:"tenant,omitempty"`
		Ref    api.JobID `json:"ref,omitempty"` // as the tenant chose it
		Team   api.Team  `json:"team"`
		Units  int       `json:"units"`
		Tasks  int       `json:"tasks"`
	}
	poolUpdate struct {
		Revision *api.Revision `json:"revision"`
		Unit     string        `json:"unit"`
		Size     int           `json:"size"`
		Largest  int           `json:"largest"`
		Teams    []api.Team    `json:"teams"`
		Tenants  []tenant.Name `json:"tenants"`
		Frozen   bool          `json:"frozen"`
		Reclaim  bool          `json:"reclaim"`

		Guaranteed map[api.Team]int `json:"guaranteed"`
	}
)

// maxHolders bounds the jobs that a pool's view names.
const maxHolders = 200

func (pm *PoolManager) viewPool(p pool.Pool, rev api.Revision) PoolView {
	v := PoolView{Pool: p, Held: pm.poolHeldByPartition(p.Name), Revision: rev}
	for q := range v.Held {
		v.Free = append(v.Free, p.Available(api.PartitionID(q), v.Held))
	}
	v.WaitingUnits, v.OldestWait = pm.PoolBacklog(p.Name)
	return v
}

// PoolBacklog is how many units of a pool are waited for, and for how many seconds the oldest
// of who waits has been there.
func (pm *PoolManager) PoolBacklog(name api.PoolName) (units int, oldest float64) {
	for _, a := range pm.poolRequests(name) {
		units += a.ask.Units * a.ask.Starts
		oldest = max(oldest, core.RoundToTenth(float64(pm.core.WallClock-a.job.AcceptedAt)/1000))
	}
	return units, oldest
}

// poolHolders lists the jobs that hold units of a pool, those that hold most first.
func (pm *PoolManager) poolHolders(name api.PoolName) []HolderView {
	out := []HolderView{}
	for _, j := range pm.core.State.Jobs {
		if need, ok := j.Spec.PoolRequest(name); ok && j.LiveCount() > 0 {
			out = append(out, HolderView{j.ID, j.Tenant, j.TenantJobID, j.Spec.Team, need.Units(j.LiveCount(), false), j.LiveCount()})
		}
	}
	slices.SortFunc(out, func(a, b HolderView) int { return cmp.Or(b.Units-a.Units, cmp.Compare(a.Job, b.Job)) })
	return out[:min(maxHolders, len(out))]
}

// HandlePoolRequest answers an operator's question or act on pools.
func (pm *PoolManager) HandlePoolRequest(c message.AdminRequest) error {
	table := pm.c.tenancy.hosted.pools.table
	if c.What == "pools" {
		out := []PoolView{}
		for _, name := range table.Names() {
			e := table.Get(name)
			out = append(out, pm.viewPool(e.Pool, e.Revision))
		}
		pm.core.Reply(c.Req, 200, out, 0)
		return nil
	}
	name := api.PoolName(c.ID)
	e := table.Get(name)
	if e == nil && c.What != "pool-put" {
		return &tenant.Error{Status: 404, Field: "name", Reason: "there is no pool " + c.ID}
	}
	if c.What == "pool" {
		v := pm.viewPool(e.Pool, e.Revision)
		v.Holders = pm.poolHolders(name)
		pm.core.Reply(c.Req, 200, v, 0)
		return nil
	}
	var ask poolUpdate
	if err := core.DecodeRequest(c.Body, &ask); err != nil {
		return err
	}
	var previous, next pool.Pool
	var rev api.Revision
	if e != nil {
		previous, next, rev = e.Pool, e.Pool, e.Revision
	}
	if c.What == "pool-remove" {
		next.State = pool.Removed
	} else {
		next.Name, next.Unit, next.Size, next.Largest, next.Teams, next.Tenants = name, ask.Unit, ask.Size, max(ask.Largest, ask.Size), ask.Teams, ask.Tenants
		next.State, next.Reclaim, next.Guaranteed = pool.Active, ask.Reclaim, ask.Guaranteed
		if ask.Frozen {
			next.State = pool.Frozen
		}
	}
	// What is held is known of the same moment as the record, or of a later one: nobody
	// hands out a unit under the old record after this is written.
	if next.Size != previous.Size || len(next.Shares) == 0 {
		next.Shares = pool.AllocateShares(next.Size, pm.poolHeldByPartition(name), pm.preferPlaceable(pm.poolRequests(name)))
	}
	if err := next.Validate(len(pm.core.State.Partitions)); err != nil {
		return err
	}
	for _, team := range slices.Concat(next.Teams, slices.Sorted(maps.Keys(next.Guaranteed))) {
		if _, known := pm.core.Teams[team]; !known {
			return &tenant.Error{Status: 422, Field: "teams", Reason: "there is no team " + string(team)}
		}
	}
	for _, name := range next.Tenants {
		if pm.c.tenancy.hosted.tenants.Get(name) == nil {
			return &tenant.Error{Status: 422, Field: "tenants", Reason: "there is no tenant " + string(name)}
		}
	}
	if e != nil && core.EqualJSON(previous, next) {
		pm.core.Reply(c.Req, 200, pm.viewPool(next, rev), 0) // asked again, perhaps
		return nil
	}
	if err := core.CheckRevision(ask.Revision, rev, "the pool"); err != nil {
		return err
	}
	if c.What == "pool-remove" {
		if held, asking := pm.PoolHeldTotal(name), len(pm.poolRequests(name)); held > 0 || asking > 0 {
			return &tenant.Error{Status: 409, Field: "name", Reason: fmt.Sprintf("%d units of %s are held, and %d jobs wait for it: freeze it, or cancel them", held, name, asking)}
		}
	}
	data, err := json.Marshal(next)
	if err != nil || pm.core.ExceedsValueSize(data) {
		return &tenant.Error{Status: 400, Field: "teams", Reason: "the record is too large"}
	}
	var before any
	if e != nil {
		before = previous
	}
	key := core.KeyPool + c.ID
	tx := api.Txn{If: []api.Condition{{Key: key, Version: rev}}, Writes: []api.Write{{Put: key, Value: data}, pm.c.tenancy.AuditWrite(c, "pool "+c.ID, before, next)}}
	pm.c.tenancy.CommitChange(c, tx, "the pool", func(rev api.Revision) any { return pm.viewPool(next, rev) })
	return nil
}

// Count is how many pools there are.
func (pm *PoolManager) Count() int {
	if pm.c.tenancy.hosted == nil {
		return 0
	}
	return pm.c.tenancy.hosted.pools.table.Len()
}

// Names are the pools' names, in order.
func (pm *PoolManager) Names() []api.PoolName { return pm.c.tenancy.hosted.pools.table.Names() }

// Size is how many units a pool has.
func (pm *PoolManager) Size(name api.PoolName) int {
	return pm.c.tenancy.hosted.pools.table.Get(name).Size
}

// ShareMoves is how many shares of pools were moved between partitions.
func (pm *PoolManager) ShareMoves() uint64 { return pm.c.tenancy.hosted.pools.shareMoves }
