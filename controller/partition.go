package controller

import (
	"log/slog"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/sched"
)

// RoundScheduler runs the rounds of owned partitions and makes them durable.
type RoundScheduler struct {
	core *Core
	c    *Controller

	partitions map[api.PartitionID]*ownedPartition
	roundRate  roundRate
}

// ownedPartition is a partition of the machines that this node owns, under one term.
type ownedPartition struct {
	id               api.PartitionID
	term             api.Revision
	ownedSince       api.Time
	lastRevision     api.Revision // of our latest durable record
	nextRound        api.Time     // no round before
	plannedAt        api.Time     // the last one was planned
	dirty            bool         // something changed since the last round
	needsNewToken    bool         // a newer token is wanted
	pendingEnds      map[*Placement]bool
	inFlight         *pendingRound
	checkpointing    bool // a checkpoint is being written
	releasing        bool
	handingOver      bool
	archivingResults bool // final states are being put away
	nextArchive      api.Time

	quotaDemand          map[api.Team]api.Resources   // share that waiting tasks lack
	plannedTeams         map[api.Team]bool            // teams the last round placed tasks of
	nextQuotaTransfer    map[api.PartitionID]api.Time // no further gift to a part before
	pendingTaskCount     int
	unexaminedJobs       int // jobs that the last round did not look at, see inTurn
	poolCursor           int // of pools, where there are more than a round may name
	moveInFlight         bool
	loanInFlight         bool
	nextLoan             api.Time
	unmetDemands         []UnmetDemand
	nextMove             api.Time
	moveCursor           api.JobID                       // the job last looked at for moving
	inFlightDemand       map[api.MachineID]api.Resources // what the round in flight starts, by machine
	backfilledAt         api.Time                        // jobs that must begin were looked at
	servicesMovedAt      api.Time                        // services were last moved off a machine
	mustStartCredit      float64                         // what they may still take before others, see turnOf
	shortTypes           map[api.MachineTypeName]bool    // types on which the last round found no room for what waits
	mustStartQuotaDemand map[api.Team]api.Resources      // of want, what those lack
	quotaStarvedDemand   map[api.Team]api.Resources      // of want, what tasks lack that have machines and no limit for even one
	reservedQuota        map[api.PartitionID]map[api.Team]api.Resources
}

// pendingRound is a round's record on its way to the state service.
type pendingRound struct {
	record         clusterstate.Record
	txn            api.Txn
	starts         []*Placement // as they will be once durable
	ends           map[*Placement]bool
	sentAt         api.Time
	outcomeUnknown bool // a sending of it was not answered

	transfer bool // a machine is lent with its tasks by this record
}

// ownershipCondition is the condition that the part is still ours, under this term.
func (owned *ownedPartition) ownershipCondition() api.Condition {
	return api.Condition{Key: clusterstate.PartitionKey(clusterstate.KeyPartition, owned.id), Version: owned.term}
}

func (rs *RoundScheduler) BeginOwnership(p api.PartitionID, term api.Revision) {
	owned := &ownedPartition{id: p, term: term, ownedSince: rs.core.now, lastRevision: term, pendingEnds: map[*Placement]bool{}, dirty: true,
		nextQuotaTransfer: map[api.PartitionID]api.Time{}}
	rs.partitions[p] = owned
	for pl := range rs.core.state.PlacementsByPartition[p] {
		rs.core.state.SetFinishing(pl, false)
		pl.OwnerState.stopRequested, pl.OwnerState.haltRequested, pl.OwnerState.launchToken, pl.OwnerState.reported = false, false, 0, false
		if pl.OwnerState.placedAt == 0 {
			pl.OwnerState.placedAt = rs.core.now
		}
		if rs.c.autoscaler.fleet.deletedAt[pl.Machine] == 0 {
			rs.c.agents.EnsureMachine(pl.Machine)
		} else {
			rs.RecordTaskEnd(owned, pl, false, reasonMachineDeleted)
		}
	}
	rs.c.autoscaler.ReconcileMachineList() // the list we have tells where they are; the next may be long in coming
	for _, m := range rs.c.agents.MachinesOf(p) {
		m.commandToken, m.uncertainToken, m.missedCalls, m.discoveredAt = rs.c.agents.MinToken(owned, m.ID), 0, 0, rs.core.now
	}
	rs.c.backfiller.RestoreReservations(owned)
	rs.c.priorities.ContactPriorityMachines(owned)
	rs.core.metrics.Takeovers++
	slog.Info("partition acquired", "part", p, "term", term, "tasks", len(rs.core.state.PlacementsByPartition[p]))
}

// RecordTaskEnd notes evidence that a place is over; the next round records it.
func (rs *RoundScheduler) RecordTaskEnd(owned *ownedPartition, p *Placement, done bool, reason string) {
	if p.Finishing {
		return
	}
	rs.core.state.SetFinishing(p, true)
	p.Job.OwnerState.lastTaskEndedAt = rs.core.now
	owned.pendingEnds[p] = done
	owned.dirty = true
	if !done {
		if reason == reasonMachineDeleted || reason == reasonEpochOver {
			p.Job.OwnerState.lostTasks++
			p.Job.OwnerState.lastLossAt, p.Job.OwnerState.preemptedForStart = rs.core.now, false
		}
		slog.Info("task ended", tenantAttr(p.Job), "task", p.Task, "machine", p.Machine, "why", reason)
	}
}

// Why a task is over that went with its machine, or with its worker's session.
const (
	reasonMachineDeleted = "machine deleted"
	reasonEpochOver      = "session over"
)

// loseOwnership drops a part whose record can't be written any more.
func (rs *RoundScheduler) loseOwnership(owned *ownedPartition) {
	if rs.partitions[owned.id] == owned {
		delete(rs.partitions, owned.id)
		slog.Info("partition lost", "part", owned.id)
	}
	rs.c.follower.LinearizableRead(func() {}, func() {})
}

// RunPartition runs a part's round when one is due.
func (rs *RoundScheduler) RunPartition(owned *ownedPartition) {
	rs.maybeCheckpoint(owned)
	rs.archiveJobs(owned)
	if !rs.core.Overloaded() {
		rs.c.balancer.RebalancePending(owned)
		rs.c.balancer.LendMachines(owned)
	}
	rs.c.backfiller.Backfill(owned)
	if owned.unexaminedJobs > 0 && rs.core.now.Sub(owned.plannedAt) >= deferredJobsInterval || len(owned.unmetDemands) > 0 && rs.core.now.Sub(owned.plannedAt) >= unmetDemandRecheckInterval {
		owned.dirty = true
	}
	if owned.inFlight != nil || owned.releasing || owned.loanInFlight || rs.core.now < owned.nextRound || !owned.dirty && !owned.needsNewToken {
		return
	}
	if rs.IsRecordRingFull(owned) {
		return
	}
	owned.dirty, owned.plannedAt = false, rs.core.now
	round := rs.planRound(owned)
	if len(round.record.Jobs) == 0 && len(round.record.QuotaTransfers) == 0 && len(round.record.Reservations) == 0 && !owned.needsNewToken {
		owned.nextRound = rs.core.now.Add(rs.currentRoundInterval())
		return
	}
	owned.needsNewToken = false
	rs.CommitRound(owned, round)
}

// ExceedsValueSize reports whether what is to be written does not fit into a value.
func (k *Core) ExceedsValueSize(data []byte) bool {
	return float64(len(data)) > k.config.Deployment.State.ValueKB*1024
}

// cancellationReserveBytes is what a cancellation adds to a job's record, and some more.
const cancellationReserveBytes = 64

// JobExceedsValueSize is the same for a job's record, with the room that its cancellation needs: a job
// that could not be cancelled would be answered 503 for ever.
func (k *Core) JobExceedsValueSize(data []byte) bool {
	return float64(len(data)+cancellationReserveBytes) > k.config.Deployment.State.ValueKB*1024
}

// roundByteBudget is how many bytes of a round's record may be starts and ends: it must fit
// into a value.
func (rs *RoundScheduler) roundByteBudget() int {
	return int(rs.core.config.Deployment.State.ValueKB*1024) - 512
}

// RoundConditionBudget is on how many jobs' versions a round may be conditional.
func (rs *RoundScheduler) RoundConditionBudget() int {
	return 4*rs.core.config.Deployment.State.TxnOps - 4
}

// planRound composes a round: the ends that evidence has shown, then new starts.
func (rs *RoundScheduler) planRound(owned *ownedPartition) *pendingRound {
	round := &pendingRound{record: clusterstate.Record{Seq: rs.core.state.Partitions[owned.id].RoundSeq + 1}, ends: map[*Placement]bool{}}
	deltas := map[api.JobID]*clusterstate.JobDelta{}
	conditional := map[api.JobID]bool{}
	delta := func(j *Job) *clusterstate.JobDelta {
		d := deltas[j.ID]
		if d == nil {
			d = &clusterstate.JobDelta{Job: j.ID}
			deltas[j.ID] = d
		}
		return d
	}
	bytesLeft, maxConditions := rs.roundByteBudget(), rs.RoundConditionBudget()
	if rs.c.tenancy.hosted != nil && rs.c.tenancy.hosted.pools.table.Len() > 0 {
		maxConditions -= min(maxRoundPools, rs.c.tenancy.hosted.pools.table.Len())
	}
	ends := slices.SortedFunc(maps.Keys(owned.pendingEnds), func(a, b *Placement) int {
		if a.Task.Job != b.Task.Job {
			if a.Task.Job < b.Task.Job {
				return -1
			}
			return 1
		}
		return a.Task.Index - b.Task.Index
	})
	for _, p := range ends {
		if p.Job.Placements[p.Task.Index] != p || p.Partition != owned.id {
			delete(owned.pendingEnds, p) // put away with its job, or gone with its machine
			continue
		}
		// The evidence may have come before the cancellation: a completion
		// that is not recorded by then never is, or the job would be called
		// done after it was called cancelled.
		done := owned.pendingEnds[p] && !p.Job.Cancelled
		if p.Job.Spec.Kind == api.Gang && !done && !p.Job.Cancelled && rs.isGangDone(owned, p.Job) {
			done = true // when one task of a gang is done, all are
		}
		if bytesLeft < 64 || done && !conditional[p.Job.ID] && len(conditional) >= maxConditions {
			owned.dirty = true
			continue
		}
		d := delta(p.Job)
		if done {
			d.Completed = append(d.Completed, p.Task.Index)
			conditional[p.Job.ID] = true
		} else {
			d.Terminated = append(d.Terminated, p.Task.Index)
		}
		bytesLeft -= 8
		if len(d.Completed)+len(d.Terminated) == 1 {
			bytesLeft -= 48
		}
		round.ends[p] = done
		delete(owned.pendingEnds, p)
	}
	for _, ref := range slices.Sorted(maps.Keys(rs.core.state.CancellingJobs)) {
		j := rs.core.state.CancellingJobs[ref]
		rs.c.jobs.StopCancelledTasks(owned, j)
		if rs.c.jobs.CanAcknowledgeCancellation(owned, j) {
			if bytesLeft < 64 {
				owned.dirty = true
				break
			}
			delta(j).CancellationAcknowledged = true
			bytesLeft -= 64
		}
	}
	owned.plannedTeams = map[api.Team]bool{}
	owned.reservedQuota = rs.c.backfiller.QuotaReservedForOthers(owned)
	maxStarts := bytesLeft / 64
	poolsNamed := map[api.PoolName]bool{}
	for _, s := range rs.scheduleRound(owned, round, maxStarts) {
		if !conditional[s.Job.ID] && len(conditional) >= maxConditions || !addRoundPools(poolsNamed, s.Job.Spec.Needs) {
			owned.dirty = true
			continue
		}
		conditional[s.Job.ID] = true
		owned.plannedTeams[s.Job.Spec.Team] = true
		d := delta(s.Job)
		d.Starts = append(d.Starts, clusterstate.TaskStart{Task: s.Task.Index, Machine: s.Machine, Epoch: s.Epoch})
		round.starts = append(round.starts, s)
	}
	for _, ref := range slices.Sorted(maps.Keys(deltas)) {
		round.record.Jobs = append(round.record.Jobs, *deltas[ref])
		if conditional[ref] {
			round.txn.If = append(round.txn.If, api.Condition{Key: clusterstate.KeyJob + string(ref), Version: rs.core.state.Jobs[ref].Version})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(poolsNamed)) {
		round.txn.If = append(round.txn.If, rs.core.state.VersionCondition(keyPool+string(name)))
	}
	round.record.QuotaTransfers = rs.c.balancer.SpareQuotaTransfers(owned)
	round.record.Reservations = rs.c.backfiller.ReservationChanges(owned)
	return round
}

func (rs *RoundScheduler) isGangDone(owned *ownedPartition, j *Job) bool {
	if j.CompletedCount > 0 {
		return true
	}
	for _, p := range j.Placements {
		if owned.pendingEnds[p] {
			return true
		}
	}
	return false
}

// IsSchedulable reports whether a machine may get new tasks.
func (rs *RoundScheduler) IsSchedulable(m *Machine, owned *ownedPartition) bool {
	return rs.c.admin.UnschedulableReason(m, owned) == ""
}

// FreeCapacityOn is the room on a machine: its capacity less all that is or may be on it.
func (rs *RoundScheduler) FreeCapacityOn(m *Machine, owned *ownedPartition) api.Resources {
	typ := rs.core.machineTypes[m.machineType]
	if typ == nil {
		return api.Resources{}
	}
	if m.hasUnknownTasks {
		return api.Resources{} // something unknown runs there
	}
	return typ.Capacity().Minus(m.untrackedUsage).Minus(owned.inFlightDemand[m.ID]).Minus(rs.core.state.Allocated(m.ID))
}

// PendingImageFetches is what images a machine has still to fetch for its tasks, as far as is
// known.
func (rs *RoundScheduler) PendingImageFetches(m *Machine) []sched.ImageFetch {
	var out []sched.ImageFetch
	for _, p := range rs.core.state.PlacementsOn(m.ID) {
		img := sched.ImageFetch{Name: p.Job.Spec.Image, SizeGB: p.Job.Spec.ImageGB}
		if p.OwnerState.placedAt != 0 {
			img.ElapsedSeconds = rs.core.now.Sub(p.OwnerState.placedAt).Seconds()
		}
		if _, has := m.cachedImages[img.Name]; has || p.Finishing || p.OwnerState.reported && p.OwnerState.state != api.TaskFetching {
			continue
		}
		if i := slices.IndexFunc(out, func(o sched.ImageFetch) bool { return o.Name == img.Name }); i >= 0 {
			out[i].ElapsedSeconds = max(out[i].ElapsedSeconds, img.ElapsedSeconds)
		} else {
			out = append(out, img)
		}
	}
	return out
}

// RemainingQuota is what each team may still start in the part.
func (rs *RoundScheduler) RemainingQuota(p api.PartitionID) map[api.Team]api.Resources {
	use := rs.core.state.Partitions[p].TeamUsage
	remaining := map[api.Team]api.Resources{}
	for name, team := range rs.core.teams {
		limit := quotaLimit(team)
		share := rs.core.state.QuotaShare(p, name, limit).Minus(use[name])
		share.Mem = limit.Mem
		remaining[name] = share
	}
	return remaining
}

// unreservedQuota is the same less what is reserved for others' jobs that must begin.
func (rs *RoundScheduler) unreservedQuota(owned *ownedPartition) map[api.Team]api.Resources {
	remaining := rs.RemainingQuota(owned.id)
	for _, teams := range owned.reservedQuota {
		for team, r := range teams {
			remaining[team] = remaining[team].Minus(r)
		}
	}
	return remaining
}

// scheduleRound runs a round over the part's pending tasks.
func (rs *RoundScheduler) scheduleRound(owned *ownedPartition, round *pendingRound, maxStarts int) []*Placement {
	owned.shortTypes = nil
	owned.quotaDemand, owned.mustStartQuotaDemand, owned.unmetDemands, owned.pendingTaskCount = map[api.Team]api.Resources{}, map[api.Team]api.Resources{}, nil, 0
	owned.quotaStarvedDemand = map[api.Team]api.Resources{}
	var jobs []*Job
	var smallestDemand api.Resources
	for _, ref := range slices.Sorted(maps.Keys(rs.core.state.PendingJobs)) {
		j := rs.core.state.PendingJobs[ref]
		waiting := j.PendingTasks(owned.id)
		if rs.c.tenancy.StartsBlocked(j) {
			continue
		}
		if j.OwnerState.backoffUntil > rs.core.now {
			owned.dirty = owned.dirty || waiting > 0
			continue
		}
		if waiting == 0 && j.FinishingCount == 0 {
			continue
		}
		owned.pendingTaskCount += waiting
		if len(jobs) == 0 {
			smallestDemand = j.Demand
		}
		smallestDemand = api.Resources{CPU: min(smallestDemand.CPU, j.Demand.CPU), GPU: min(smallestDemand.GPU, j.Demand.GPU), Mem: min(smallestDemand.Mem, j.Demand.Mem)}
		jobs = append(jobs, j)
	}
	units, jobs := rs.c.pools.AllocatePoolUnits(owned, rs.c.tenancy.LimitTenantJobs(owned, jobs))
	if len(jobs) == 0 {
		return nil
	}
	input := &sched.Input{AvailableUnits: units, LargestCapacity: rs.core.largestMachine, TypicalDemands: rs.c.backfiller.TypicalDemands(), RemainingQuota: rs.unreservedQuota(owned), MaxStarts: maxStarts}
	var machines []*Machine // with room for something
	schedulableCPUs, schedulableCount := 0.0, 0
	for _, m := range rs.c.agents.MachinesOf(owned.id) {
		if !rs.IsSchedulable(m, owned) {
			continue
		}
		typ := rs.core.machineTypes[m.machineType]
		schedulableCPUs += typ.CPUs
		schedulableCount++
		free := rs.FreeCapacityOn(m, owned)
		if !smallestDemand.Fits(free) {
			continue
		}
		input.Machines = append(input.Machines, sched.Machine{ID: m.ID, Type: m.machineType, Zone: m.zone, Spot: m.spot, Free: free, GPU: typ.GPUs > 0,
			AcceleratorOnly: m.scaleInCandidate, FastStart: rs.c.autoscaler.SuitsLatencySensitive(m), Surplus: m.surplus || rs.core.now < m.consolidatingUntil, Slowdown: m.relativeRuntime, FetchRate: typ.FetchRate, FetchingImages: rs.PendingImageFetches(m), CachedImages: m.cachedImages, ReservedFor: rs.c.preemptor.ReservedFor(m), SoftReservation: m.softReservation, ReservationRank: m.reservationRank})
		machines = append(machines, m)
	}
	total, incoming := rs.TeamUsage(), sync.OnceValue(rs.c.autoscaler.IncomingMachines)
	schedulable := jobs[:0]
	for _, j := range jobs {
		pending := rs.startableTasks(owned, j, round, max(schedulableCount, 1))
		stage, waited := rs.c.backfiller.RoundStage(owned, j)
		if stage != sched.NotAged && j.Spec.Kind == api.Array {
			pending = pending[:min(len(pending), 1)] // to begin; the others take their turn
		}
		if allowed := rs.c.health.StartAllowance(j); allowed < len(pending) && stage != sched.AgedAboveAll {
			if pending = pending[:allowed]; j.Spec.Kind == api.Gang {
				pending = nil
			}
		}
		if len(pending) == 0 {
			continue
		}
		zones, known := rs.TaskZones(j)
		if !known && (j.Spec.OneZone || j.Spec.Spread) {
			continue // where its other tasks are is not known yet
		}
		request := sched.Job{Spec: j.Spec, Demand: j.Demand, Pending: pending, PlacedByZone: zones, Urgency: rs.urgency(j, schedulableCPUs), PriorityBoost: rs.c.priorities.PriorityBoost(j.Spec), AgingStage: stage, WaitedSeconds: waited, ReservesQuota: stage == sched.AgedAboveAll && rs.c.backfiller.FitsAttainableQuota(j, len(pending)),
			WithinGuarantee: rs.IsWithinGuarantee(j, total), HoldsJobUnits: j.LiveCount() > 0, StartSLO: rs.StartObjective(j.Spec.Class), ExcludedMachines: j.OwnerState.failedOn, NewMachineSeconds: rs.bootingMachineDelay(j, incoming),
			FastStart: rs.c.autoscaler.IsLatencySensitive(j.Spec), AcceleratorOptional: rs.IsCPUOnly(j.Spec), SpotRisk: rs.SpotRisk(j)}
		if len(j.OwnerState.failedOn)*2 > schedulableCount {
			request.ExcludedMachines = nil
		}
		input.Jobs = append(input.Jobs, request)
		schedulable = append(schedulable, j)
	}
	jobs = schedulable
	for i, j := range jobs {
		rs.c.preemptor.PreemptForFastStart(owned, input, &input.Jobs[i], j)
	}
	rs.core.metrics.FlowTasks, rs.core.metrics.FlowMachines = 0, len(machines)
	for i := range input.Jobs {
		rs.core.metrics.FlowTasks += len(input.Jobs[i].Pending)
	}
	var starts []*Placement
	placed := make([]int, len(jobs))
	for _, pl := range sched.PlanRound(input) {
		m, j := machines[pl.MachineIndex], jobs[pl.JobIndex]
		rs.c.health.AdjustFloors(j.Spec, j.Demand.CPU.Float())
		placed[pl.JobIndex]++
		rs.c.backfiller.ChargeMustStartCredit(owned, j, input.Jobs[pl.JobIndex].AgingStage)
		if !j.OwnerState.startPlanned {
			j.OwnerState.startPlanned = true
			slog.Info("job starts", tenantAttr(j), "job", j.ID, specAttr(j.Spec), "part", owned.id, "after", float64(rs.core.wallClock-j.AcceptedAt)/1000)
		}
		if j.OwnerState.lastLossAt != 0 && j.Spec.Kind == api.Service {
			slog.Debug("replica restarted", "job", j.ID, "task", pl.Task, "machine", m.ID, "type", m.machineType, "lost_s", rs.core.now.Sub(j.OwnerState.lastLossAt).Seconds(),
				"fetch_s", input.Machines[pl.MachineIndex].FetchTime(j.Spec))
		}
		starts = append(starts, &Placement{Task: api.TaskID{Job: j.ID, Index: pl.Task}, Partition: owned.id, Machine: m.ID, Epoch: m.epoch, Job: j})
	}
	rs.recordUnmetDemand(owned, input, jobs, placed)
	if len(starts) > 0 {
		owned.dirty = true // more may follow next round
	}
	return starts
}

// startableTasks lists up to most of the job's tasks that wait in this part; a gang's
// only when all of it can start.
func (rs *RoundScheduler) startableTasks(owned *ownedPartition, j *Job, round *pendingRound, maxTasks int) []int {
	if j.Spec.Kind == api.Gang {
		if len(j.Split) == 0 || j.Split[0].Partition != owned.id {
			return nil
		}
		for _, p := range j.Placements {
			if _, ending := round.ends[p]; !ending {
				return nil
			}
		}
		maxTasks = j.Spec.Tasks
	}
	var out []int
	for _, r := range j.Split {
		if r.Partition != owned.id {
			continue
		}
		for i := r.From; i < r.To && len(out) < maxTasks; i++ {
			if j.Completed.Has(i) {
				continue
			}
			if p := j.Placements[i]; p != nil {
				if done, ending := round.ends[p]; !ending || done || p.Partition != owned.id {
					continue
				}
			}
			out = append(out, i)
		}
	}
	if j.Spec.Kind == api.Gang && len(out) != j.Spec.Tasks {
		return nil
	}
	return out
}

// TaskZones counts a job's tasks by zone, those that may still be there
// included; known is false when a machine's zone is not known.
func (rs *RoundScheduler) TaskZones(j *Job) (zones map[api.Zone]int, known bool) {
	zones, known = map[api.Zone]int{}, true
	for _, p := range j.Placements {
		if p.Finishing {
			continue
		}
		z := rs.MachineZone(p.Machine)
		if z == "" {
			known = false
			continue
		}
		zones[z]++
	}
	return zones, known
}

// MachineZone is a machine's zone, as it or the cloud's list tells: of other parts' machines
// only the list does. It is empty if neither has yet.
func (rs *RoundScheduler) MachineZone(id api.MachineID) api.Zone {
	if m := rs.c.agents.machines[id]; m != nil && m.zone != "" {
		return m.zone
	}
	return rs.c.autoscaler.fleet.listedMachines[id].Zone
}

// bootingMachineDelay is how long a machine that boots takes until it has the image of a service's
// replicas, in seconds; 0 if none boots that may take them. They wait for one rather than
// for a fetch that takes longer, for twice as long at most: it may not come.
func (rs *RoundScheduler) bootingMachineDelay(j *Job, incoming func() map[machineOffer]int) float64 {
	if j.Spec.Kind != api.Service || rs.StartObjective(j.Spec.Class) <= 0 {
		return 0
	}
	shortest := 0.0
	for o, count := range incoming() {
		typ := rs.core.machineTypes[o.machineType]
		if count <= 0 || typ == nil || typ.FetchRate <= 0 || !rs.IsEligible(j.Spec, rs.IsCPUOnly(j.Spec), o.machineType, o.zone, o.spot) || !j.Demand.Fits(typ.Capacity()) {
			continue
		}
		if s := typ.BootSeconds + j.Spec.ImageGB/typ.FetchRate; shortest == 0 || s < shortest {
			shortest = s
		}
	}
	if rs.c.preemptor.StartDelay(j) > 2*shortest {
		return 0
	}
	return shortest
}

// IsCPUOnly reports whether a type without accelerators can take the job's tasks.
// Such work goes to the others last, and they are neither rented nor kept for
// it: they are dear, and whole pieces of them should be free for the work that
// needs them.
func (rs *RoundScheduler) IsCPUOnly(s *api.JobSpec) bool {
	demand := s.Demand()
	for _, t := range rs.core.machineTypes {
		if t.GPUs == 0 && demand.Fits(t.Capacity()) && (len(s.Types) == 0 || slices.Contains(s.Types, t.Name)) {
			return true
		}
	}
	return false
}

// IsEligible reports whether a job's tasks may run on such a machine; plain work runs on none with
// accelerators.
func (rs *RoundScheduler) IsEligible(s *api.JobSpec, cpuOnly bool, typ api.MachineTypeName, zone api.Zone, spot bool) bool {
	return !(cpuOnly && rs.c.jobs.HasAccelerators(typ)) && sched.Feasible(s, typ, zone, spot)
}

// SpotRisk is the chance that a job is late because a spot machine is taken with a
// task of it, as they were seen to be taken of late: that this happens when there
// is no time left to find out, to fetch the image again and to run the task again.
func (rs *RoundScheduler) SpotRisk(j *Job) float64 {
	if !j.Spec.Spot || j.Spec.Kind == api.Service {
		return 0
	}
	elapsed := max(0, float64(rs.core.wallClock-j.AcceptedAt)/1000)
	run := j.Spec.Estimate * runtimeSafetyFactor
	singleRun := j.Spec.ImageGB/rs.c.autoscaler.SlowestFetchRate(j.Spec) + run
	for _, objective := range rs.CompletionObjectives(j.Spec) {
		slack := objective - elapsed
		if slack < singleRun {
			continue // late as it is
		}
		criticalWindow := min(run, max(0, singleRun+rs.core.livenessTimeout.Seconds()+singleRun-slack))
		survives := math.Exp(-rs.c.autoscaler.fleet.spotLossRate() * criticalWindow)
		return 1 - math.Pow(survives, float64(j.Spec.Tasks-j.CompletedCount))
	}
	return 0
}

// runtimeSafetyFactor is how much longer than estimated the longest of a job's tasks is taken
// to run.
const runtimeSafetyFactor = 1.2

func (rs *RoundScheduler) StartObjective(c api.Class) float64 {
	for _, o := range rs.core.config.Deployment.Objectives {
		if o.Kind == "wait" && o.Class == c {
			return o.Within
		}
	}
	return 0
}

// CompletionObjectives are the times after submission by which the job should be complete, by
// its deadline and its class's aims, in order.
func (rs *RoundScheduler) CompletionObjectives(s *api.JobSpec) []float64 {
	var out []float64
	for _, o := range rs.core.config.Deployment.Objectives {
		switch {
		case o.Class != s.Class:
		case o.Kind == "finished":
			out = append(out, o.Within)
		case o.Kind == "deadline" && s.Deadline != nil && o.Times > 0:
			out = append(out, *s.Deadline*o.Times)
		}
	}
	if len(out) == 0 && s.Deadline != nil {
		out = append(out, *s.Deadline)
	}
	slices.Sort(out)
	return out
}

// urgency orders jobs of one rank, between 0 and 1. Of the jobs that can still
// be complete in time, those with least work left go first: so as many as
// possible are in time when not all can be. A job that can't be in time any
// more waits for the others.
func (rs *RoundScheduler) urgency(j *Job, cpus float64) float64 {
	elapsed := max(0, float64(rs.core.wallClock-j.AcceptedAt)/1000)
	objectives := rs.CompletionObjectives(j.Spec)
	if len(objectives) == 0 {
		return min(1, elapsed/600)
	}
	for i, objective := range objectives {
		if elapsed+j.Spec.Estimate > objective {
			continue
		}
		remainingWork := float64(j.Spec.Tasks-j.CompletedCount) * j.Demand.CPU.Float() * j.Spec.Estimate
		return (0.2 + 0.8/(1+remainingWork/(cpus*10+1))) / float64(1+i)
	}
	last := objectives[len(objectives)-1]
	if elapsed > overdueFactor*last {
		return 1
	}
	return 0.05 * min(1, elapsed/(10*last))
}

// overdueFactor is how many times its last limit a job may be put off for others that can
// still be in time: after that it goes first among its equals, or it would wait for as
// long as there is more work than room.
const overdueFactor = 3

func (rs *RoundScheduler) TeamUsage() map[api.Team]api.Resources {
	total := map[api.Team]api.Resources{}
	for p := range rs.core.state.Partitions {
		for team, u := range rs.core.state.Partitions[p].TeamUsage {
			total[team] = total[team].Plus(u)
		}
	}
	return total
}

// IsWithinGuarantee reports whether one more task keeps the team within its guarantee.
func (rs *RoundScheduler) IsWithinGuarantee(j *Job, total map[api.Team]api.Resources) bool {
	team := rs.core.teams[j.Spec.Team]
	use := total[j.Spec.Team].Plus(j.Demand)
	if j.Demand.GPU > 0 {
		return use.GPU <= api.ToQuantity(team.GPUs)
	}
	return use.CPU <= api.ToQuantity(team.CPUs)
}

// recordUnmetDemand notes what found no room: what share is wanted, and which tasks of
// lower priority must make way.
func (rs *RoundScheduler) recordUnmetDemand(owned *ownedPartition, input *sched.Input, jobs []*Job, placed []int) {
	remainingQuota := rs.unreservedQuota(owned)
	preemptionsLeft, starvedChecksLeft := maxPreemptions, maxQuotaStarvedChecks
	for i, j := range jobs {
		remainingQuota[j.Spec.Team] = remainingQuota[j.Spec.Team].Minus(j.Demand.Times(placed[i]))
		input.Jobs[i].ConsumeUnits(input.AvailableUnits, placed[i])
	}
	for i, j := range jobs {
		missing := len(input.Jobs[i].Pending) - placed[i]
		if missing <= 0 {
			continue
		}
		if startable := j.Demand.Slots(remainingQuota[j.Spec.Team]); startable < missing {
			need := j.Demand.Times(missing)
			need.Mem = 0
			owned.quotaDemand[j.Spec.Team] = owned.quotaDemand[j.Spec.Team].Plus(need)
			if input.Jobs[i].ReservesQuota {
				owned.mustStartQuotaDemand[j.Spec.Team] = owned.mustStartQuotaDemand[j.Spec.Team].Plus(need)
			}
			if startable == 0 && starvedChecksLeft > 0 {
				starvedChecksLeft--
				if hasFreeCapacity(input.Machines, j) {
					owned.quotaStarvedDemand[j.Spec.Team] = owned.quotaStarvedDemand[j.Spec.Team].Plus(need)
				}
			}
			if startable == 0 || j.Spec.Kind == api.Gang {
				continue
			}
		}
		if input.Jobs[i].TasksWithinUnits(input.AvailableUnits, missing) == 0 {
			continue // a machine would not help
		}
		owned.recordShortage(rs.c, j.Spec)
		if placed[i] == 0 && j.Spec.NeedsSinglePartition() && len(owned.unmetDemands) < maxUnmetDemands {
			owned.unmetDemands = append(owned.unmetDemands, rs.c.balancer.UnmetDemandOf(owned, j, &input.Jobs[i]))
		}
		if placed[i] == 0 && preemptionsLeft > 0 && rs.core.now >= j.OwnerState.nextPreemptionAt && rs.c.preemptor.RunsLowerPriority(owned.id, j.Spec.Priority.Rank()) {
			preemptionsLeft--
			j.OwnerState.nextPreemptionAt = rs.core.now.Add(time.Second) // what was stopped takes a while to end
			rs.c.preemptor.PreemptFor(owned, &input.Jobs[i], j, missing, 0)
		}
	}
}

// maxQuotaStarvedChecks bounds the jobs of a round for which it is looked whether they have room and no limit.
const maxQuotaStarvedChecks = 16

// hasFreeCapacity reports whether there is room on machines for a task of a job, or for a gang.
func hasFreeCapacity(machines []sched.Machine, j *Job) bool {
	need := 1
	if j.Spec.Kind == api.Gang {
		need = j.Spec.Tasks
	}
	for i := range machines {
		m := &machines[i]
		if sched.Feasible(j.Spec, m.Type, m.Zone, m.Spot) {
			if need -= j.Demand.Slots(m.Free); need <= 0 {
				return true
			}
		}
	}
	return false
}

// StopTask has a task stopped with the grace its checkpoint needs.
func (rs *RoundScheduler) StopTask(p *Placement) {
	if p.OwnerState.stopRequested {
		return
	}
	p.OwnerState.stopRequested, p.OwnerState.stopRequestedAt = true, rs.core.now
	if p.Job.Spec.Checkpoint > 0 {
		p.OwnerState.stopGrace = p.Job.Spec.Save + 1
	}
	if m := rs.c.agents.machines[p.Machine]; m != nil {
		rs.c.agents.ContactNow(m)
	}
}
