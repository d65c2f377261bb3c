package controller

import (
	"cmp"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/backfill"
	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/fragmentation"
	"basaltwall/sched"
)

// Backfiller reserves machines for jobs that have waited longest.
type Backfiller struct {
	core *core.Core
	c    *Controller

	demandProfile demandProfile
}

// What a part does a second for jobs that must begin: it looks at so many of them.
const (
	backfillInterval = time.Second
	maxMustStartJobs = 16
)

// allPartitions stands for all parts together.
const allPartitions = core.AllPartitions

// waitingTime is for how long nothing of a job has run in a part: since it was accepted, or since
// its last task ended. ok is false when something runs or it may not start now.
func (bf *Backfiller) waitingTime(j *core.Job, p api.PartitionID) (d time.Duration, ok bool) {
	if p == allPartitions && j.LiveCount() > 0 || p != allPartitions && j.PlacementCounts[p] > 0 || j.OwnerState.BackoffUntil > bf.core.Now || bf.c.tenancy.StartsBlocked(j) {
		return 0, false
	}
	d = time.Duration(bf.core.WallClock-j.AcceptedAt) * time.Millisecond
	if at := j.OwnerState.LastTaskEndedAt; at != 0 {
		d = min(d, bf.core.Now.Sub(at))
	} else if j.CompletedCount > 0 || j.RetryCount > 0 {
		d = min(d, bf.core.Now.Sub(bf.core.StartedAt)) // it ended before this process began
	}
	return d, true
}

// WaitStage is a job's stage in a part, see package due.
func (bf *Backfiller) WaitStage(j *core.Job, p api.PartitionID) sched.AgingStage {
	d, ok := bf.waitingTime(j, p)
	if !ok {
		return sched.NotAged
	}
	if bf.suffersFragmentation(j.Spec) {
		d = max(d, min(d*fragmentationUrgency, backfill.StartDeadline*3/4-1)) // its room never comes by itself
	}
	return backfill.AgingStageOf(d)
}

// fragmentationUrgency is how many times sooner machines are kept for what small work leaves no whole
// machine for.
const fragmentationUrgency = 4

// suffersFragmentation reports whether a job's tasks fill most of a type's accelerators while smaller work
// wants some of them too.
func (bf *Backfiller) suffersFragmentation(s *api.JobSpec) bool {
	typ := bf.c.autoscaler.CheapestType(s)
	return s.GPUs > 0 && typ != nil && 2*s.GPUs > typ.GPUs && fragmentation.MayStrand(s.Demand(), bf.TypicalDemands())
}

// TypicalDemands is what work that needs accelerators asks for, looked at once a second.
func (bf *Backfiller) TypicalDemands() []fragmentation.Demand {
	profile := &bf.demandProfile
	if profile.computedAt != 0 && bf.core.Now.Sub(profile.computedAt) < core.DemandSampleInterval {
		return profile.typical
	}
	demandCounts := map[api.Resources]int{}
	for _, j := range bf.core.State.Jobs {
		if j.Demand.GPU > 0 && !j.Terminal() {
			demandCounts[j.Demand] += j.Spec.Tasks - j.CompletedCount
		}
	}
	profile.computedAt, profile.typical = bf.core.Now, fragmentation.TypicalDemands(demandCounts)
	return profile.typical
}

// demandProfile is what is known of what leaves accelerators in pieces.
type demandProfile struct {
	computedAt api.Time
	typical    []fragmentation.Demand
}

// FragmentedCapacity is what is free of our parts' accelerators, and of no use to what is usual.
func (bf *Backfiller) FragmentedCapacity() (out []core.FragmentationView) {
	for _, p := range slices.Sorted(maps.Keys(bf.core.Partitions)) {
		at := len(out)
		for _, m := range bf.c.agents.MachinesOf(p) {
			if !bf.core.HasAccelerators(m.MachineType) || !bf.c.scheduler.IsSchedulable(m, bf.core.Partitions[p]) {
				continue
			}
			i := slices.IndexFunc(out[at:], func(v core.FragmentationView) bool { return v.Type == m.MachineType && v.Zone == m.Zone })
			if i < 0 {
				i = len(out) - at
				out = append(out, core.FragmentationView{Partition: p, Type: m.MachineType, Zone: m.Zone})
			}
			free := bf.c.scheduler.FreeCapacityOn(m, bf.core.Partitions[p])
			out[at+i].Free += free.GPU.Float()
			out[at+i].Unusable += fragmentation.Measure(free, bf.TypicalDemands())
		}
		slices.SortFunc(out[at:], func(a, b core.FragmentationView) int {
			return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone))
		})
	}
	return out
}

// RoundStage is a job's stage in a round, and for how many seconds it has waited. What must begin
// goes before others with no more than a quarter of the work that a part starts: where more of
// it waits than that no order keeps the bound, and what has begun must end too.
func (bf *Backfiller) RoundStage(owned *core.OwnedPartition, j *core.Job) (sched.AgingStage, float64) {
	d, _ := bf.waitingTime(j, owned.ID)
	stage := bf.WaitStage(j, owned.ID)
	if stage != sched.NotAged && owned.MustStartCredit < 0 && !bf.c.balancer.HasReservationFor(owned, j.ID) {
		stage = sched.NotAged
	}
	if stage == sched.NotAged {
		return stage, 0
	}
	return stage, d.Seconds()
}

const mustStartShare = 0.25

// serviceRuntimeSeconds is for how long a task of a service is reckoned to run, in seconds.
const serviceRuntimeSeconds = 600

// ChargeMustStartCredit counts a start for turnOf: what it takes of the largest machine, for as long as it
// is likely to run. What may be saved up, or owed, is some machines for as long as the bound.
func (bf *Backfiller) ChargeMustStartCredit(owned *core.OwnedPartition, j *core.Job, stage sched.AgingStage) {
	seconds := j.Spec.Estimate
	if j.Spec.Kind == api.Service {
		seconds = serviceRuntimeSeconds
	}
	work := backfill.DominantShare(j.Demand, bf.core.LargestMachine) * max(1, seconds)
	if stage != sched.NotAged {
		work *= -(1/mustStartShare - 1)
	}
	creditLimit := 4 * backfill.StartDeadline.Seconds()
	owned.MustStartCredit = max(-creditLimit, min(creditLimit, owned.MustStartCredit+work))
}

// mustStartJobs are the jobs that wait in a part and must begin, in the order of their turn.
func (bf *Backfiller) mustStartJobs(owned *core.OwnedPartition) []*core.Job {
	var out []*core.Job
	for _, j := range bf.core.State.PendingJobs {
		if bf.WaitStage(j, owned.ID) != sched.NotAged && j.PendingTasks(owned.ID) > 0 {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *core.Job) int {
		x, _ := bf.waitingTime(a, owned.ID)
		y, _ := bf.waitingTime(b, owned.ID)
		return cmp.Or(cmp.Compare(backfill.AgingStageOf(y), backfill.AgingStageOf(x)), cmp.Compare(y, x), cmp.Compare(a.ID, b.ID))
	})
	return out[:min(len(out), maxMustStartJobs)]
}

// expectedReleases is the room that comes free on a machine by itself. A task's end is known by its
// owner's estimate only; one that is overdue may last as long again as it is. With moving, a
// service that may move counts as one that ends, later than what ends by itself.
func (bf *Backfiller) expectedReleases(m *core.Machine, includeRelocatable bool) []backfill.Release {
	var out []backfill.Release
	for _, p := range bf.core.State.PlacementsOn(m.ID) {
		after := math.Inf(1)
		switch {
		case p.Finishing:
			continue // its room is free already
		case p.OwnerState.StopRequested || p.Job.Terminal():
			after = core.PreemptionDelay.Seconds() + p.Job.Spec.Save
		case p.Job.Spec.Kind == api.Service:
			if includeRelocatable && bf.isRelocatable(p) {
				after = relocationDelay.Seconds()
			}
		default:
			ran := 0.0
			if at := cmp.Or(p.OwnerState.RunningSince, p.OwnerState.PlacedAt); at != 0 {
				ran = bf.core.Now.Sub(at).Seconds()
			}
			after = max(p.Job.Spec.Estimate*core.RuntimeSafetyFactor-ran, (ran-p.Job.Spec.Estimate)/2, 1)
		}
		out = append(out, backfill.Release{AfterSeconds: after, Resources: p.Job.Demand})
	}
	return out
}

// ReservableHosts are a part's machines that a job may use and that are kept for no other. With room to
// spare, services that may move there count as what ends; a machine whose services have none is
// not kept for what would never begin on it while they, or others, could use the rest of it.
func (bf *Backfiller) ReservableHosts(owned *core.OwnedPartition, s *api.JobSpec, excluded map[api.MachineID]bool, candidates []*core.Machine, releases map[*core.Machine][]backfill.Release, capacity *relocationCapacity) (ms []*core.Machine, hosts []backfill.Machine) {
	cpuOnly := bf.core.IsCPUOnly(s)
	for _, m := range candidates {
		reservedJob := bf.c.preemptor.ReservedFor(m)
		if reservedJob != "" && reservedJob != s.Ref && (!m.SoftReservation || s.Priority.Rank() <= m.ReservationRank) || excluded[m.ID] || !bf.core.IsEligible(s, cpuOnly, m.MachineType, m.Zone, m.Spot) {
			continue
		}
		machineReleases, ok := releases[m]
		if !ok {
			machineReleases = bf.expectedReleases(m, capacity != nil && bf.canRelocateServices(owned, m, capacity))
			releases[m] = machineReleases
		}
		ms = append(ms, m)
		hosts = append(hosts, backfill.Machine{Zone: m.Zone, Free: bf.c.scheduler.FreeCapacityOn(m, owned), Releases: machineReleases, Reserved: reservedJob == s.Ref})
	}
	return ms, hosts
}

// Backfill keeps machines for the jobs of a part that must begin and found no room: nothing
// else starts there, so that the room comes free as a whole. What is kept is in the part's
// record, see recordKeeps: a new owner goes on with it until it has looked for itself.
func (bf *Backfiller) Backfill(owned *core.OwnedPartition) {
	if bf.core.Now.Sub(owned.BackfilledAt) < backfillInterval {
		return
	}
	owned.BackfilledAt = bf.core.Now
	bf.extendLoanReservations(owned)
	bf.extendWholeMachineReservations(owned)
	owned.Dirty = owned.Dirty || len(bf.ReservationChanges(owned)) > 0
	jobs := bf.mustStartJobs(owned)
	if len(jobs) == 0 {
		return
	}
	var schedulable []*core.Machine
	for _, m := range bf.c.agents.MachinesOf(owned.ID) {
		if bf.c.scheduler.IsSchedulable(m, owned) {
			schedulable = append(schedulable, m)
		}
	}
	ends, endsWithMoves := map[*core.Machine][]backfill.Release{}, map[*core.Machine][]backfill.Release{}
	var capacity *relocationCapacity
	remaining := bf.core.RemainingQuota(owned.ID)
	for _, j := range jobs {
		stage, tasksNeeded := bf.WaitStage(j, owned.ID), 1
		if j.Spec.Kind == api.Gang {
			tasksNeeded = j.Spec.Tasks
		}
		if j.Demand.Slots(remaining[j.Spec.Team]) < tasksNeeded || bf.c.pools.PendingReasonPool(j, owned.ID) != "" {
			continue // it is no machine that it waits for, see dueShares and asking
		}
		var relocation *relocationCapacity
		releases := ends
		if bf.suffersFragmentation(j.Spec) {
			if capacity == nil {
				capacity = bf.computeRelocationCapacity(owned, schedulable)
			}
			relocation, releases = capacity, endsWithMoves
		}
		ms, hosts := bf.ReservableHosts(owned, j.Spec, j.OwnerState.FailedOn, schedulable, releases, relocation)
		want := backfill.Request{Demand: j.Demand, Tasks: tasksNeeded, OneZone: j.Spec.OneZone}
		want.PlacedByZone, _ = bf.c.scheduler.TaskZones(j)
		if j.Spec.Spread {
			want.MaxPerZone = (j.Spec.Tasks + 1) / 2
		}
		chosen, after := backfill.SelectMachines(hosts, want)
		for want.Tasks > 1 && chosen == nil { // the rest is lent by other parts
			want.Tasks = want.Tasks * 3 / 4
			chosen, after = backfill.SelectMachines(hosts, want)
		}
		j.OwnerState.Unplaceable = chosen == nil
		if after == 0 && chosen != nil && !hosts[chosen[0]].Reserved {
			owned.Dirty = true // there is room: the next round places it
		}
		for _, i := range chosen {
			bf.Reserve(owned, ms[i], j.ID, j.Spec.Priority.Rank(), stage)
			if relocation != nil {
				bf.relocateServices(owned, ms[i], relocation)
			}
		}
		if len(chosen) > 0 {
			slog.Debug("machines reserved for job", "job", j.ID, "partition", owned.ID, "machines", len(chosen), "after", after)
		}
	}
}

// relocationDelay is what a move counts as, beside the ends of other tasks: what ends by itself sooner
// costs nobody anything. moveAgain is how long a service is not moved again.
const (
	relocationDelay    = 2 * time.Minute
	relocationInterval = 5 * time.Minute
)

// isRelocatable reports whether a service's replica may move to another machine: it has run for a
// while, none of its job was moved of late, and no zone binds it.
func (bf *Backfiller) isRelocatable(p *core.Placement) bool {
	s := p.Job.Spec
	return s.Kind == api.Service && !s.Spread && !s.OneZone && !p.Finishing && !p.OwnerState.StopRequested && !p.Job.Terminal() && p.OwnerState.RunningSince != 0 &&
		bf.core.Now.Sub(p.OwnerState.RunningSince) > core.MinServiceRuntime && p.Job.FinishingCount == 0 && (p.Job.OwnerState.ReplicaMovedAt == 0 || bf.core.Now.Sub(p.Job.OwnerState.ReplicaMovedAt) > relocationInterval)
}

// relocateServices has the services of a machine that is kept start elsewhere, once nothing else is left
// on it and all of them have room there: one replica of a job at a time, and one machine of a
// part. A replica is stopped and is due like a lost one, so that whoever owns the part next does
// the same; what it costs is its fetch.
func (bf *Backfiller) relocateServices(owned *core.OwnedPartition, m *core.Machine, capacity *relocationCapacity) {
	places := bf.core.State.PlacementsOn(m.ID)
	if len(places) == 0 || bf.core.Now.Sub(owned.ServicesMovedAt) < core.ReservationTTL {
		return
	}
	jobs := map[*core.Job]bool{}
	for _, p := range places {
		if p.Partition != owned.ID || !bf.isRelocatable(p) || jobs[p.Job] {
			return
		}
		jobs[p.Job] = true
	}
	if !bf.canRelocateServices(owned, m, capacity) {
		return
	}
	owned.ServicesMovedAt = bf.core.Now
	slog.Info("services relocated", "machine", m.ID, "tasks", len(places), "for", m.ReservedFor)
	for _, p := range slices.Clone(places) {
		p.Job.OwnerState.ReplicaMovedAt = bf.core.Now
		bf.core.Metrics.ReplicasMoved++
		bf.c.scheduler.StopTask(p)
	}
}

// relocationCapacity is the room into which replicas may move: of a part's machines, less what is taken of
// it, and of other owners'.
type relocationCapacity struct {
	machines    []*core.Machine
	claimed     map[*core.Machine]api.Resources
	otherOwners []core.FreeCapacityGroup
}

// maxCapacityClaims bounds the waiting tasks that have their room before anything moves into it.
const maxCapacityClaims = 200

// computeRelocationCapacity is the room that what waits already leaves, work aside for which whole machines are
// emptied: a replica that was moved, by us or another, is due like a lost one and has nothing but
// that room, so a second must not be stopped for the same.
func (bf *Backfiller) computeRelocationCapacity(owned *core.OwnedPartition, all []*core.Machine) *relocationCapacity {
	capacity := &relocationCapacity{machines: all, claimed: map[*core.Machine]api.Resources{}, otherOwners: bf.freeCapacityElsewhere()}
	claimsLeft := maxCapacityClaims
	for _, ref := range slices.Sorted(maps.Keys(bf.core.State.PendingJobs)) {
		j := bf.core.State.PendingJobs[ref]
		if j.Demand.GPU == 0 || bf.c.tenancy.StartsBlocked(j) || bf.suffersFragmentation(j.Spec) {
			continue
		}
		pendingTasks := min(claimsLeft, j.Spec.Tasks-j.CompletedCount-len(j.Placements)+j.FinishingCount)
		claimsLeft -= pendingTasks
		for pendingTasks > 0 && bf.claimCapacity(owned, nil, capacity, j) {
			pendingTasks--
		}
	}
	return capacity
}

// claimCapacity takes room for one task off what there is, on a machine of the part if it can, the
// cheapest first, and reports whether there was any.
func (bf *Backfiller) claimCapacity(owned *core.OwnedPartition, excluded *core.Machine, capacity *relocationCapacity, j *core.Job) bool {
	var best *core.Machine
	bestCost, cpuOnly := 0.0, bf.core.IsCPUOnly(j.Spec)
	for _, candidate := range capacity.machines {
		if candidate == excluded || bf.c.preemptor.ReservedFor(candidate) != "" || j.OwnerState.FailedOn[candidate.ID] || !bf.core.IsEligible(j.Spec, cpuOnly, candidate.MachineType, candidate.Zone, candidate.Spot) {
			continue
		}
		free := bf.c.scheduler.FreeCapacityOn(candidate, owned).Minus(capacity.claimed[candidate])
		if !j.Demand.Fits(free) {
			continue
		}
		cost := (&sched.Machine{CachedImages: candidate.CachedImages, FetchRate: bf.core.MachineTypes[candidate.MachineType].FetchRate, FetchingImages: bf.c.scheduler.PendingImageFetches(candidate)}).FetchTime(j.Spec) +
			fragmentation.Increase(free, j.Demand, bf.TypicalDemands())
		if best == nil || cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	if best != nil {
		capacity.claimed[best] = capacity.claimed[best].Plus(j.Demand)
		return true
	}
	// A job that is all in one place may go to another part that has room.
	i := slices.IndexFunc(capacity.otherOwners, func(other core.FreeCapacityGroup) bool {
		return j.Spec.Tasks == 1 && j.Demand.Fits(other.Free) && sched.Feasible(j.Spec, other.Class.Type, other.Class.Zone, other.Class.Spot)
	})
	if i < 0 {
		return false
	}
	capacity.otherOwners[i].Free = capacity.otherOwners[i].Free.Minus(j.Demand)
	return true
}

// canRelocateServices reports whether all services on a machine that may move have room elsewhere.
func (bf *Backfiller) canRelocateServices(owned *core.OwnedPartition, m *core.Machine, capacity *relocationCapacity) bool {
	trial := &relocationCapacity{capacity.machines, maps.Clone(capacity.claimed), slices.Clone(capacity.otherOwners)}
	for _, p := range bf.core.State.PlacementsOn(m.ID) {
		if bf.isRelocatable(p) && !bf.claimCapacity(owned, m, trial, p.Job) {
			return false
		}
	}
	return true
}

// freeCapacityElsewhere is the room of other owners' machines, one by one, the fullest first.
func (bf *Backfiller) freeCapacityElsewhere() []core.FreeCapacityGroup {
	var out []core.FreeCapacityGroup
	for _, status := range bf.c.gossiper.PeerPartitionStatuses() {
		for _, r := range status.Rooms {
			if k := r.Kind; k >= 0 && k < len(status.Kinds) && status.Kinds[k].Usable && r.Free.GPU > 0 {
				for range r.Count {
					out = append(out, core.FreeCapacityGroup{Partition: status.Part, Class: status.Kinds[k], FreeCapacity: message.FreeCapacity{Free: r.Free, Count: 1}})
				}
			}
		}
	}
	slices.SortStableFunc(out, func(a, b core.FreeCapacityGroup) int { return cmp.Compare(a.Free.GPU, b.Free.GPU) })
	return out
}

// extendLoanReservations keeps the machines that were lent to a part for a job until that has begun, for some
// time: they come one by one, and the first would be returned as idle before the last is there.
func (bf *Backfiller) extendLoanReservations(owned *core.OwnedPartition) {
	for id, loan := range bf.core.State.Loans {
		j, m := bf.core.State.Jobs[loan.Job], bf.core.Machines[id]
		if loan.Partition != owned.ID || j == nil || m == nil || bf.core.Now.Sub(bf.c.agents.LoanKnownAt(id)) > backfill.StartDeadline/2 || j.PendingTasks(owned.ID) == 0 {
			continue
		}
		if _, waits := bf.waitingTime(j, owned.ID); waits && bf.c.preemptor.ReservedFor(m) != "" {
			m.ReservedUntil, m.IdleSince = bf.core.Now.Add(core.ReservationTTL), bf.core.Now
		}
	}
}

// extendWholeMachineReservations goes on keeping a machine that was gathered for tasks that fill most of it, for the
// next of them: else each would be gathered for anew. Where a service is left on it, gatherDue
// alone decides: it may have nowhere to go, and others wait for the rest of the machine.
func (bf *Backfiller) extendWholeMachineReservations(owned *core.OwnedPartition) {
	for _, m := range bf.c.agents.MachinesOf(owned.ID) {
		if !m.Consolidated || bf.c.preemptor.ReservedFor(m) == "" || bf.core.Now.Sub(m.ConsolidatedAt) > backfill.StartDeadline {
			continue
		}
		if j, typ := bf.core.State.Jobs[m.ReservedFor], bf.core.MachineTypes[m.MachineType]; j.PendingTasks(owned.ID) > 0 && typ != nil && backfill.DominantShare(j.Demand, typ.Capacity()) > 0.5 &&
			!slices.ContainsFunc(bf.core.State.PlacementsOn(m.ID), func(p *core.Placement) bool {
				return p.Job.Spec.Kind == api.Service && !p.Finishing && !p.OwnerState.StopRequested
			}) {
			m.ReservedUntil = bf.core.Now.Add(core.ReservationTTL)
		}
	}
}

// ReservationChanges are the changes to what a part keeps that its record does not have yet: machines that
// are kept, and those that are no more, since their job has begun or is over, or others were
// chosen. A new owner finds by the record what was being emptied for whom.
func (bf *Backfiller) ReservationChanges(owned *core.OwnedPartition) []clusterstate.Reservation {
	var out []clusterstate.Reservation
	recorded := bf.core.State.Partitions[owned.ID].Reservations
	for _, m := range bf.c.agents.MachinesOf(owned.ID) {
		if jobID := bf.c.preemptor.ReservedFor(m); m.Consolidated && jobID != "" && recorded[m.ID].Job != jobID && len(out) < maxReservationChanges {
			out = append(out, clusterstate.Reservation{Machine: m.ID, Job: jobID, Since: bf.core.WallClock})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(recorded)) {
		m := bf.core.Machines[id]
		ended := m == nil || bf.core.PartitionOf(id) != owned.ID || !m.Consolidated || bf.c.preemptor.ReservedFor(m) == ""
		if ended && len(out) < maxReservationChanges {
			out = append(out, clusterstate.Reservation{Machine: id})
		}
	}
	return out
}

// maxReservationChanges bounds the changes of what is kept in a round's record: they lie in what its starts and
// ends leave.
const maxReservationChanges = 2

// RestoreReservations goes on keeping what the part's former owner kept, for as long as it takes to look
// at it anew.
func (bf *Backfiller) RestoreReservations(owned *core.OwnedPartition) {
	for id, recorded := range bf.core.State.Partitions[owned.ID].Reservations {
		j := bf.core.State.Jobs[recorded.Job]
		if bf.core.PartitionOf(id) != owned.ID || j == nil {
			continue
		}
		m := bf.c.agents.EnsureMachine(id)
		m.ReservedFor, m.ReservationRank, m.SoftReservation, m.Consolidated = recorded.Job, j.Spec.Priority.Rank(), true, true
		m.ReservedUntil, m.ConsolidatedAt = bf.core.Now.Add(core.ReservationTTL), bf.core.Now
	}
}

// Reserve keeps a machine for a job for which room is gathered.
func (bf *Backfiller) Reserve(owned *core.OwnedPartition, m *core.Machine, jobID api.JobID, rank int, stage sched.AgingStage) {
	if bf.c.preemptor.ReservedFor(m) != jobID {
		bf.core.Metrics.MachinesReserved++
		m.ConsolidatedAt = bf.core.Now
		slog.Info("machine reserved", "machine", m.ID, "for", jobID, "tasks", len(bf.core.State.PlacementsOn(m.ID)))
		owned.Dirty = true
	}
	m.ReservedFor, m.ReservationRank, m.SoftReservation, m.ReservedUntil, m.Consolidated = jobID, rank, stage != sched.AgedAboveAll, bf.core.Now.Add(core.ReservationTTL), true
}

// FitsAttainableQuota reports whether so many tasks of a job fit its team's limit once all that ends by
// itself has ended: only then is the limit left to it.
func (bf *Backfiller) FitsAttainableQuota(j *core.Job, tasks int) bool {
	remaining := core.QuotaLimit(bf.core.Teams[j.Spec.Team])
	for _, o := range bf.core.State.Jobs {
		if o.Spec.Team == j.Spec.Team && o.Spec.Kind == api.Service {
			remaining = remaining.Minus(o.Demand.Times(o.LiveCount()))
		}
	}
	remaining.Mem = core.QuotaLimit(config.Team{}).Mem
	return tasks > 0 && j.Demand.Times(tasks).Fits(remaining)
}

// QuotaReservedForOthers is the share of teams' limits that this part leaves to others' jobs that must
// begin and lack nothing else. Of two parts that want of each other the lower one has it.
func (bf *Backfiller) QuotaReservedForOthers(owned *core.OwnedPartition) map[api.PartitionID]map[api.Team]api.Resources {
	out := map[api.PartitionID]map[api.Team]api.Resources{}
	remaining := bf.core.RemainingQuota(owned.ID)
	for _, status := range bf.c.gossiper.OtherPartitionStatuses(owned) {
		for _, team := range slices.Sorted(maps.Keys(status.Due)) {
			if _, mustStartHere := owned.MustStartQuotaDemand[team]; mustStartHere && owned.ID < status.Part {
				continue
			}
			demand := status.Due[team]
			share := api.Resources{CPU: max(0, min(demand.CPU, remaining[team].CPU)), GPU: max(0, min(demand.GPU, remaining[team].GPU))}
			if share == (api.Resources{}) {
				continue
			}
			remaining[team] = remaining[team].Minus(share)
			if out[status.Part] == nil {
				out[status.Part] = map[api.Team]api.Resources{}
			}
			out[status.Part][team] = share
		}
	}
	return out
}
