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
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/sched"
)

// RoundScheduler runs the rounds of owned partitions and makes them durable.
type RoundScheduler struct {
	core *core.Core
	c    *Controller

	roundRate roundRate
}

func (rs *RoundScheduler) BeginOwnership(p api.PartitionID, term api.Revision) {
	owned := &core.OwnedPartition{ID: p, Term: term, OwnedSince: rs.core.Now, LastRevision: term, PendingEnds: map[*core.Placement]bool{}, Dirty: true,
		NextQuotaTransfer: map[api.PartitionID]api.Time{}}
	rs.core.Partitions[p] = owned
	for pl := range rs.core.State.PlacementsByPartition[p] {
		rs.core.State.SetFinishing(pl, false)
		pl.OwnerState.StopRequested, pl.OwnerState.HaltRequested, pl.OwnerState.LaunchToken, pl.OwnerState.Reported = false, false, 0, false
		if pl.OwnerState.PlacedAt == 0 {
			pl.OwnerState.PlacedAt = rs.core.Now
		}
		if !rs.c.autoscaler.IsDeleted(pl.Machine) {
			rs.c.agents.EnsureMachine(pl.Machine)
		} else {
			rs.RecordTaskEnd(owned, pl, false, reasonMachineDeleted)
		}
	}
	rs.c.autoscaler.ReconcileMachineList() // the list we have tells where they are; the next may be long in coming
	for _, m := range rs.c.agents.MachinesOf(p) {
		m.CommandToken, m.UncertainToken, m.MissedCalls, m.DiscoveredAt = rs.core.MinToken(owned, m.ID), 0, 0, rs.core.Now
	}
	rs.c.backfiller.RestoreReservations(owned)
	rs.c.priorities.ContactPriorityMachines(owned)
	rs.core.Metrics.Takeovers++
	slog.Info("partition acquired", "partition", p, "term", term, "tasks", len(rs.core.State.PlacementsByPartition[p]))
}

// RecordTaskEnd notes evidence that a place is over; the next round records it.
func (rs *RoundScheduler) RecordTaskEnd(owned *core.OwnedPartition, p *core.Placement, done bool, reason string) {
	if p.Finishing {
		return
	}
	rs.core.State.SetFinishing(p, true)
	p.Job.OwnerState.LastTaskEndedAt = rs.core.Now
	owned.PendingEnds[p] = done
	owned.Dirty = true
	if !done {
		if reason == reasonMachineDeleted || reason == reasonEpochOver {
			p.Job.OwnerState.LostTasks++
			p.Job.OwnerState.LastLossAt, p.Job.OwnerState.PreemptedForStart = rs.core.Now, false
		}
		slog.Info("task ended", tenantAttr(p.Job), "task", p.Task, "machine", p.Machine, "reason", reason)
	}
}

// Why a task is over that went with its machine, or with its worker's session.
const (
	reasonMachineDeleted = "machine deleted"
	reasonEpochOver      = "session over"
)

// loseOwnership drops a part whose record can't be written any more.
func (rs *RoundScheduler) loseOwnership(owned *core.OwnedPartition) {
	if rs.core.Partitions[owned.ID] == owned {
		delete(rs.core.Partitions, owned.ID)
		slog.Info("partition lost", "partition", owned.ID)
	}
	rs.c.follower.LinearizableRead(func() {}, func() {})
}

// RunPartition runs a part's round when one is due.
func (rs *RoundScheduler) RunPartition(owned *core.OwnedPartition) {
	rs.maybeCheckpoint(owned)
	rs.archiveJobs(owned)
	if !rs.core.Overloaded() {
		rs.c.balancer.RebalancePending(owned)
		rs.c.balancer.LendMachines(owned)
	}
	rs.c.backfiller.Backfill(owned)
	if owned.UnexaminedJobs > 0 && rs.core.Now.Sub(owned.PlannedAt) >= deferredJobsInterval || len(owned.UnmetDemands) > 0 && rs.core.Now.Sub(owned.PlannedAt) >= core.UnmetDemandRecheckInterval {
		owned.Dirty = true
	}
	if owned.InFlight != nil || owned.Releasing || owned.LoanInFlight || rs.core.Now < owned.NextRound || !owned.Dirty && !owned.NeedsNewToken {
		return
	}
	if rs.IsRecordRingFull(owned) {
		return
	}
	owned.Dirty, owned.PlannedAt = false, rs.core.Now
	round := rs.planRound(owned)
	if len(round.Record.Jobs) == 0 && len(round.Record.QuotaTransfers) == 0 && len(round.Record.Reservations) == 0 && !owned.NeedsNewToken {
		owned.NextRound = rs.core.Now.Add(rs.currentRoundInterval())
		return
	}
	owned.NeedsNewToken = false
	rs.CommitRound(owned, round)
}

// roundByteBudget is how many bytes of a round's record may be starts and ends: it must fit
// into a value.
func (rs *RoundScheduler) roundByteBudget() int {
	return int(rs.core.Config.Deployment.State.ValueKB*1024) - 512
}

// RoundConditionBudget is on how many jobs' versions a round may be conditional.
func (rs *RoundScheduler) RoundConditionBudget() int {
	return 4*rs.core.Config.Deployment.State.TxnOps - 4
}

// planRound composes a round: the ends that evidence has shown, then new starts.
func (rs *RoundScheduler) planRound(owned *core.OwnedPartition) *core.PendingRound {
	round := &core.PendingRound{Record: clusterstate.Record{Seq: rs.core.State.Partitions[owned.ID].RoundSeq + 1}, Ends: map[*core.Placement]bool{}}
	deltas := map[api.JobID]*clusterstate.JobDelta{}
	conditional := map[api.JobID]bool{}
	delta := func(j *core.Job) *clusterstate.JobDelta {
		d := deltas[j.ID]
		if d == nil {
			d = &clusterstate.JobDelta{Job: j.ID}
			deltas[j.ID] = d
		}
		return d
	}
	bytesLeft, maxConditions := rs.roundByteBudget(), rs.RoundConditionBudget()
	if rs.c.pools.Count() > 0 {
		maxConditions -= min(maxRoundPools, rs.c.pools.Count())
	}
	ends := slices.SortedFunc(maps.Keys(owned.PendingEnds), func(a, b *core.Placement) int {
		if a.Task.Job != b.Task.Job {
			if a.Task.Job < b.Task.Job {
				return -1
			}
			return 1
		}
		return a.Task.Index - b.Task.Index
	})
	for _, p := range ends {
		if p.Job.Placements[p.Task.Index] != p || p.Partition != owned.ID {
			delete(owned.PendingEnds, p) // put away with its job, or gone with its machine
			continue
		}
		// The evidence may have come before the cancellation: a completion
		// that is not recorded by then never is, or the job would be called
		// done after it was called cancelled.
		done := owned.PendingEnds[p] && !p.Job.Cancelled
		if p.Job.Spec.Kind == api.Gang && !done && !p.Job.Cancelled && rs.isGangDone(owned, p.Job) {
			done = true // when one task of a gang is done, all are
		}
		if bytesLeft < 64 || done && !conditional[p.Job.ID] && len(conditional) >= maxConditions {
			owned.Dirty = true
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
		round.Ends[p] = done
		delete(owned.PendingEnds, p)
	}
	for _, ref := range slices.Sorted(maps.Keys(rs.core.State.CancellingJobs)) {
		j := rs.core.State.CancellingJobs[ref]
		rs.c.jobs.StopCancelledTasks(owned, j)
		if rs.c.jobs.CanAcknowledgeCancellation(owned, j) {
			if bytesLeft < 64 {
				owned.Dirty = true
				break
			}
			delta(j).CancellationAcknowledged = true
			bytesLeft -= 64
		}
	}
	owned.PlannedTeams = map[api.Team]bool{}
	owned.ReservedQuota = rs.c.backfiller.QuotaReservedForOthers(owned)
	maxStarts := bytesLeft / 64
	poolsNamed := map[api.PoolName]bool{}
	for _, s := range rs.scheduleRound(owned, round, maxStarts) {
		if !conditional[s.Job.ID] && len(conditional) >= maxConditions || !addRoundPools(poolsNamed, s.Job.Spec.Needs) {
			owned.Dirty = true
			continue
		}
		conditional[s.Job.ID] = true
		owned.PlannedTeams[s.Job.Spec.Team] = true
		d := delta(s.Job)
		d.Starts = append(d.Starts, clusterstate.TaskStart{Task: s.Task.Index, Machine: s.Machine, Epoch: s.Epoch})
		round.Starts = append(round.Starts, s)
	}
	for _, ref := range slices.Sorted(maps.Keys(deltas)) {
		round.Record.Jobs = append(round.Record.Jobs, *deltas[ref])
		if conditional[ref] {
			round.Txn.If = append(round.Txn.If, api.Condition{Key: clusterstate.KeyJob + string(ref), Version: rs.core.State.Jobs[ref].Version})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(poolsNamed)) {
		round.Txn.If = append(round.Txn.If, rs.core.State.VersionCondition(keyPool+string(name)))
	}
	round.Record.QuotaTransfers = rs.c.balancer.SpareQuotaTransfers(owned)
	round.Record.Reservations = rs.c.backfiller.ReservationChanges(owned)
	return round
}

func (rs *RoundScheduler) isGangDone(owned *core.OwnedPartition, j *core.Job) bool {
	if j.CompletedCount > 0 {
		return true
	}
	for _, p := range j.Placements {
		if owned.PendingEnds[p] {
			return true
		}
	}
	return false
}

// IsSchedulable reports whether a machine may get new tasks.
func (rs *RoundScheduler) IsSchedulable(m *core.Machine, owned *core.OwnedPartition) bool {
	return rs.c.admin.UnschedulableReason(m, owned) == ""
}

// FreeCapacityOn is the room on a machine: its capacity less all that is or may be on it.
func (rs *RoundScheduler) FreeCapacityOn(m *core.Machine, owned *core.OwnedPartition) api.Resources {
	typ := rs.core.MachineTypes[m.MachineType]
	if typ == nil {
		return api.Resources{}
	}
	if m.HasUnknownTasks {
		return api.Resources{} // something unknown runs there
	}
	return typ.Capacity().Minus(m.UntrackedUsage).Minus(owned.InFlightDemand[m.ID]).Minus(rs.core.State.Allocated(m.ID))
}

// PendingImageFetches is what images a machine has still to fetch for its tasks, as far as is
// known.
func (rs *RoundScheduler) PendingImageFetches(m *core.Machine) []sched.ImageFetch {
	var out []sched.ImageFetch
	for _, p := range rs.core.State.PlacementsOn(m.ID) {
		img := sched.ImageFetch{Name: p.Job.Spec.Image, SizeGB: p.Job.Spec.ImageGB}
		if p.OwnerState.PlacedAt != 0 {
			img.ElapsedSeconds = rs.core.Now.Sub(p.OwnerState.PlacedAt).Seconds()
		}
		if _, has := m.CachedImages[img.Name]; has || p.Finishing || p.OwnerState.Reported && p.OwnerState.State != api.TaskFetching {
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

// unreservedQuota is the same less what is reserved for others' jobs that must begin.
func (rs *RoundScheduler) unreservedQuota(owned *core.OwnedPartition) map[api.Team]api.Resources {
	remaining := rs.core.RemainingQuota(owned.ID)
	for _, teams := range owned.ReservedQuota {
		for team, r := range teams {
			remaining[team] = remaining[team].Minus(r)
		}
	}
	return remaining
}

// scheduleRound runs a round over the part's pending tasks.
func (rs *RoundScheduler) scheduleRound(owned *core.OwnedPartition, round *core.PendingRound, maxStarts int) []*core.Placement {
	owned.ShortTypes = nil
	owned.QuotaDemand, owned.MustStartQuotaDemand, owned.UnmetDemands, owned.PendingTaskCount = map[api.Team]api.Resources{}, map[api.Team]api.Resources{}, nil, 0
	owned.QuotaStarvedDemand = map[api.Team]api.Resources{}
	var jobs []*core.Job
	var smallestDemand api.Resources
	for _, ref := range slices.Sorted(maps.Keys(rs.core.State.PendingJobs)) {
		j := rs.core.State.PendingJobs[ref]
		waiting := j.PendingTasks(owned.ID)
		if rs.c.tenancy.StartsBlocked(j) {
			continue
		}
		if j.OwnerState.BackoffUntil > rs.core.Now {
			owned.Dirty = owned.Dirty || waiting > 0
			continue
		}
		if waiting == 0 && j.FinishingCount == 0 {
			continue
		}
		owned.PendingTaskCount += waiting
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
	input := &sched.Input{AvailableUnits: units, LargestCapacity: rs.core.LargestMachine, TypicalDemands: rs.c.backfiller.TypicalDemands(), RemainingQuota: rs.unreservedQuota(owned), MaxStarts: maxStarts}
	var machines []*core.Machine // with room for something
	schedulableCPUs, schedulableCount := 0.0, 0
	for _, m := range rs.c.agents.MachinesOf(owned.ID) {
		if !rs.IsSchedulable(m, owned) {
			continue
		}
		typ := rs.core.MachineTypes[m.MachineType]
		schedulableCPUs += typ.CPUs
		schedulableCount++
		free := rs.FreeCapacityOn(m, owned)
		if !smallestDemand.Fits(free) {
			continue
		}
		input.Machines = append(input.Machines, sched.Machine{ID: m.ID, Type: m.MachineType, Zone: m.Zone, Spot: m.Spot, Free: free, GPU: typ.GPUs > 0,
			AcceleratorOnly: m.ScaleInCandidate, FastStart: rs.c.autoscaler.SuitsLatencySensitive(m), Surplus: m.Surplus || rs.core.Now < m.ConsolidatingUntil, Slowdown: m.RelativeRuntime, FetchRate: typ.FetchRate, FetchingImages: rs.PendingImageFetches(m), CachedImages: m.CachedImages, ReservedFor: rs.c.preemptor.ReservedFor(m), SoftReservation: m.SoftReservation, ReservationRank: m.ReservationRank})
		machines = append(machines, m)
	}
	total, incoming := rs.core.TeamUsage(), sync.OnceValue(rs.c.autoscaler.IncomingMachines)
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
			WithinGuarantee: rs.core.IsWithinGuarantee(j, total), HoldsJobUnits: j.LiveCount() > 0, StartSLO: rs.core.StartObjective(j.Spec.Class), ExcludedMachines: j.OwnerState.FailedOn, NewMachineSeconds: rs.bootingMachineDelay(j, incoming),
			FastStart: rs.c.autoscaler.IsLatencySensitive(j.Spec), AcceleratorOptional: rs.core.IsCPUOnly(j.Spec), SpotRisk: rs.SpotRisk(j)}
		if len(j.OwnerState.FailedOn)*2 > schedulableCount {
			request.ExcludedMachines = nil
		}
		input.Jobs = append(input.Jobs, request)
		schedulable = append(schedulable, j)
	}
	jobs = schedulable
	for i, j := range jobs {
		rs.c.preemptor.PreemptForFastStart(owned, input, &input.Jobs[i], j)
	}
	rs.core.Metrics.FlowTasks, rs.core.Metrics.FlowMachines = 0, len(machines)
	for i := range input.Jobs {
		rs.core.Metrics.FlowTasks += len(input.Jobs[i].Pending)
	}
	var starts []*core.Placement
	placed := make([]int, len(jobs))
	for _, pl := range sched.PlanRound(input) {
		m, j := machines[pl.MachineIndex], jobs[pl.JobIndex]
		rs.c.health.AdjustFloors(j.Spec, j.Demand.CPU.Float())
		placed[pl.JobIndex]++
		rs.c.backfiller.ChargeMustStartCredit(owned, j, input.Jobs[pl.JobIndex].AgingStage)
		if !j.OwnerState.StartPlanned {
			j.OwnerState.StartPlanned = true
			slog.Info("job starts", tenantAttr(j), "job", j.ID, specAttr(j.Spec), "partition", owned.ID, "after", float64(rs.core.WallClock-j.AcceptedAt)/1000)
		}
		if j.OwnerState.LastLossAt != 0 && j.Spec.Kind == api.Service {
			slog.Debug("replica restarted", "job", j.ID, "task", pl.Task, "machine", m.ID, "type", m.MachineType, "lost_s", rs.core.Now.Sub(j.OwnerState.LastLossAt).Seconds(),
				"fetch_s", input.Machines[pl.MachineIndex].FetchTime(j.Spec))
		}
		starts = append(starts, &core.Placement{Task: api.TaskID{Job: j.ID, Index: pl.Task}, Partition: owned.ID, Machine: m.ID, Epoch: m.Epoch, Job: j})
	}
	rs.recordUnmetDemand(owned, input, jobs, placed)
	if len(starts) > 0 {
		owned.Dirty = true // more may follow next round
	}
	return starts
}

// startableTasks lists up to most of the job's tasks that wait in this part; a gang's
// only when all of it can start.
func (rs *RoundScheduler) startableTasks(owned *core.OwnedPartition, j *core.Job, round *core.PendingRound, maxTasks int) []int {
	if j.Spec.Kind == api.Gang {
		if len(j.Split) == 0 || j.Split[0].Partition != owned.ID {
			return nil
		}
		for _, p := range j.Placements {
			if _, ending := round.Ends[p]; !ending {
				return nil
			}
		}
		maxTasks = j.Spec.Tasks
	}
	var out []int
	for _, r := range j.Split {
		if r.Partition != owned.ID {
			continue
		}
		for i := r.From; i < r.To && len(out) < maxTasks; i++ {
			if j.Completed.Has(i) {
				continue
			}
			if p := j.Placements[i]; p != nil {
				if done, ending := round.Ends[p]; !ending || done || p.Partition != owned.ID {
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
func (rs *RoundScheduler) TaskZones(j *core.Job) (zones map[api.Zone]int, known bool) {
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
	if m := rs.core.Machines[id]; m != nil && m.Zone != "" {
		return m.Zone
	}
	return rs.c.autoscaler.ListedZone(id)
}

// bootingMachineDelay is how long a machine that boots takes until it has the image of a service's
// replicas, in seconds; 0 if none boots that may take them. They wait for one rather than
// for a fetch that takes longer, for twice as long at most: it may not come.
func (rs *RoundScheduler) bootingMachineDelay(j *core.Job, incoming func() map[machineOffer]int) float64 {
	if j.Spec.Kind != api.Service || rs.core.StartObjective(j.Spec.Class) <= 0 {
		return 0
	}
	shortest := 0.0
	for o, count := range incoming() {
		typ := rs.core.MachineTypes[o.machineType]
		if count <= 0 || typ == nil || typ.FetchRate <= 0 || !rs.core.IsEligible(j.Spec, rs.core.IsCPUOnly(j.Spec), o.machineType, o.zone, o.spot) || !j.Demand.Fits(typ.Capacity()) {
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

// SpotRisk is the chance that a job is late because a spot machine is taken with a
// task of it, as they were seen to be taken of late: that this happens when there
// is no time left to find out, to fetch the image again and to run the task again.
func (rs *RoundScheduler) SpotRisk(j *core.Job) float64 {
	if !j.Spec.Spot || j.Spec.Kind == api.Service {
		return 0
	}
	elapsed := max(0, float64(rs.core.WallClock-j.AcceptedAt)/1000)
	run := j.Spec.Estimate * runtimeSafetyFactor
	singleRun := j.Spec.ImageGB/rs.core.SlowestFetchRate(j.Spec) + run
	for _, objective := range rs.core.CompletionObjectives(j.Spec) {
		slack := objective - elapsed
		if slack < singleRun {
			continue // late as it is
		}
		criticalWindow := min(run, max(0, singleRun+rs.core.LivenessTimeout.Seconds()+singleRun-slack))
		survives := math.Exp(-rs.c.autoscaler.SpotLossRate() * criticalWindow)
		return 1 - math.Pow(survives, float64(j.Spec.Tasks-j.CompletedCount))
	}
	return 0
}

// runtimeSafetyFactor is how much longer than estimated the longest of a job's tasks is taken
// to run.
const runtimeSafetyFactor = 1.2

// urgency orders jobs of one rank, between 0 and 1. Of the jobs that can still
// be complete in time, those with least work left go first: so as many as
// possible are in time when not all can be. A job that can't be in time any
// more waits for the others.
func (rs *RoundScheduler) urgency(j *core.Job, cpus float64) float64 {
	elapsed := max(0, float64(rs.core.WallClock-j.AcceptedAt)/1000)
	objectives := rs.core.CompletionObjectives(j.Spec)
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

// recordUnmetDemand notes what found no room: what share is wanted, and which tasks of
// lower priority must make way.
func (rs *RoundScheduler) recordUnmetDemand(owned *core.OwnedPartition, input *sched.Input, jobs []*core.Job, placed []int) {
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
			owned.QuotaDemand[j.Spec.Team] = owned.QuotaDemand[j.Spec.Team].Plus(need)
			if input.Jobs[i].ReservesQuota {
				owned.MustStartQuotaDemand[j.Spec.Team] = owned.MustStartQuotaDemand[j.Spec.Team].Plus(need)
			}
			if startable == 0 && starvedChecksLeft > 0 {
				starvedChecksLeft--
				if hasFreeCapacity(input.Machines, j) {
					owned.QuotaStarvedDemand[j.Spec.Team] = owned.QuotaStarvedDemand[j.Spec.Team].Plus(need)
				}
			}
			if startable == 0 || j.Spec.Kind == api.Gang {
				continue
			}
		}
		if input.Jobs[i].TasksWithinUnits(input.AvailableUnits, missing) == 0 {
			continue // a machine would not help
		}
		rs.c.priorities.RecordShortage(owned, j.Spec)
		if placed[i] == 0 && j.Spec.NeedsSinglePartition() && len(owned.UnmetDemands) < message.MaxUnmetDemands {
			owned.UnmetDemands = append(owned.UnmetDemands, rs.c.balancer.UnmetDemandOf(owned, j, &input.Jobs[i]))
		}
		if placed[i] == 0 && preemptionsLeft > 0 && rs.core.Now >= j.OwnerState.NextPreemptionAt && rs.c.preemptor.RunsLowerPriority(owned.ID, j.Spec.Priority.Rank()) {
			preemptionsLeft--
			j.OwnerState.NextPreemptionAt = rs.core.Now.Add(time.Second) // what was stopped takes a while to end
			rs.c.preemptor.PreemptFor(owned, &input.Jobs[i], j, missing, 0)
		}
	}
}

// maxQuotaStarvedChecks bounds the jobs of a round for which it is looked whether they have room and no limit.
const maxQuotaStarvedChecks = 16

// hasFreeCapacity reports whether there is room on machines for a task of a job, or for a gang.
func hasFreeCapacity(machines []sched.Machine, j *core.Job) bool {
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
func (rs *RoundScheduler) StopTask(p *core.Placement) {
	if p.OwnerState.StopRequested {
		return
	}
	p.OwnerState.StopRequested, p.OwnerState.StopRequestedAt = true, rs.core.Now
	if p.Job.Spec.Checkpoint > 0 {
		p.OwnerState.StopGrace = p.Job.Spec.Save + 1
	}
	if m := rs.core.Machines[p.Machine]; m != nil {
		rs.c.agents.ContactNow(m)
	}
}
