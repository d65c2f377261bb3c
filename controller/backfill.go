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
	"basaltwall/fragmentation"
	"basaltwall/sched"
)

// What a part does a second for jobs that must begin: it looks at so many of them.
const (
	backfillInterval = time.Second
	maxMustStartJobs = 16
)

// allPartitions stands for all parts together.
const allPartitions = api.PartitionID(-1)

// waitingTime is for how long nothing of a job has run in a part: since it was accepted, or since
// its last task ended. ok is false when something runs or it may not start now.
func (n *Controller) waitingTime(j *Job, p api.PartitionID) (d time.Duration, ok bool) {
	if p == allPartitions && j.LiveCount() > 0 || p != allPartitions && j.PlacementCounts[p] > 0 || j.OwnerState.backoffUntil > n.now || n.startsBlocked(j) {
		return 0, false
	}
	d = time.Duration(n.wallClock-j.AcceptedAt) * time.Millisecond
	if at := j.OwnerState.lastTaskEndedAt; at != 0 {
		d = min(d, n.now.Sub(at))
	} else if j.CompletedCount > 0 || j.RetryCount > 0 {
		d = min(d, n.now.Sub(n.startedAt)) // it ended before this process began
	}
	return d, true
}

// waitStage is a job's stage in a part, see package due.
func (n *Controller) waitStage(j *Job, p api.PartitionID) sched.AgingStage {
	d, ok := n.waitingTime(j, p)
	if !ok {
		return sched.NotAged
	}
	if n.suffersFragmentation(j.Spec) {
		d = max(d, min(d*fragmentationUrgency, backfill.StartDeadline*3/4-1)) // its room never comes by itself
	}
	return backfill.AgingStageOf(d)
}

// fragmentationUrgency is how many times sooner machines are kept for what small work leaves no whole
// machine for.
const fragmentationUrgency = 4

// suffersFragmentation reports whether a job's tasks fill most of a type's accelerators while smaller work
// wants some of them too.
func (n *Controller) suffersFragmentation(s *api.JobSpec) bool {
	typ := n.cheapestType(s)
	return s.GPUs > 0 && typ != nil && 2*s.GPUs > typ.GPUs && fragmentation.MayStrand(s.Demand(), n.typicalDemands())
}

// typicalDemands is what work that needs accelerators asks for, looked at once a second.
func (n *Controller) typicalDemands() []fragmentation.Demand {
	profile := &n.demandProfile
	if profile.computedAt != 0 && n.now.Sub(profile.computedAt) < demandSampleInterval {
		return profile.typical
	}
	demandCounts := map[api.Resources]int{}
	for _, j := range n.state.Jobs {
		if j.Demand.GPU > 0 && !j.Terminal() {
			demandCounts[j.Demand] += j.Spec.Tasks - j.CompletedCount
		}
	}
	profile.computedAt, profile.typical = n.now, fragmentation.TypicalDemands(demandCounts)
	return profile.typical
}

// demandProfile is what is known of what leaves accelerators in pieces.
type demandProfile struct {
	computedAt api.Time
	typical    []fragmentation.Demand
}

// fragmentedCapacity is what is free of our parts' accelerators, and of no use to what is usual.
func (n *Controller) fragmentedCapacity() (out []FragmentationView) {
	for _, p := range slices.Sorted(maps.Keys(n.partitions)) {
		at := len(out)
		for _, m := range n.machinesOf(p) {
			if !n.hasAccelerators(m.machineType) || !n.isSchedulable(m, n.partitions[p]) {
				continue
			}
			i := slices.IndexFunc(out[at:], func(v FragmentationView) bool { return v.Type == m.machineType && v.Zone == m.zone })
			if i < 0 {
				i = len(out) - at
				out = append(out, FragmentationView{Partition: p, Type: m.machineType, Zone: m.zone})
			}
			free := n.freeCapacityOn(m, n.partitions[p])
			out[at+i].Free += free.GPU.Float()
			out[at+i].Unusable += fragmentation.Measure(free, n.typicalDemands())
		}
		slices.SortFunc(out[at:], func(a, b FragmentationView) int {
			return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone))
		})
	}
	return out
}

// roundStage is a job's stage in a round, and for how many seconds it has waited. What must begin
// goes before others with no more than a quarter of the work that a part starts: where more of
// it waits than that no order keeps the bound, and what has begun must end too.
func (n *Controller) roundStage(owned *ownedPartition, j *Job) (sched.AgingStage, float64) {
	d, _ := n.waitingTime(j, owned.id)
	stage := n.waitStage(j, owned.id)
	if stage != sched.NotAged && owned.mustStartCredit < 0 && !n.hasReservationFor(owned, j.ID) {
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

// chargeMustStartCredit counts a start for turnOf: what it takes of the largest machine, for as long as it
// is likely to run. What may be saved up, or owed, is some machines for as long as the bound.
func (n *Controller) chargeMustStartCredit(owned *ownedPartition, j *Job, stage sched.AgingStage) {
	seconds := j.Spec.Estimate
	if j.Spec.Kind == api.Service {
		seconds = serviceRuntimeSeconds
	}
	work := backfill.DominantShare(j.Demand, n.largestMachine) * max(1, seconds)
	if stage != sched.NotAged {
		work *= -(1/mustStartShare - 1)
	}
	creditLimit := 4 * backfill.StartDeadline.Seconds()
	owned.mustStartCredit = max(-creditLimit, min(creditLimit, owned.mustStartCredit+work))
}

// mustStartJobs are the jobs that wait in a part and must begin, in the order of their turn.
func (n *Controller) mustStartJobs(owned *ownedPartition) []*Job {
	var out []*Job
	for _, j := range n.state.PendingJobs {
		if n.waitStage(j, owned.id) != sched.NotAged && j.PendingTasks(owned.id) > 0 {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *Job) int {
		x, _ := n.waitingTime(a, owned.id)
		y, _ := n.waitingTime(b, owned.id)
		return cmp.Or(cmp.Compare(backfill.AgingStageOf(y), backfill.AgingStageOf(x)), cmp.Compare(y, x), cmp.Compare(a.ID, b.ID))
	})
	return out[:min(len(out), maxMustStartJobs)]
}

// expectedReleases is the room that comes free on a machine by itself. A task's end is known by its
// owner's estimate only; one that is overdue may last as long again as it is. With moving, a
// service that may move counts as one that ends, later than what ends by itself.
func (n *Controller) expectedReleases(m *Machine, includeRelocatable bool) []backfill.Release {
	var out []backfill.Release
	for _, p := range n.state.PlacementsOn(m.ID) {
		after := math.Inf(1)
		switch {
		case p.Finishing:
			continue // its room is free already
		case p.OwnerState.stopRequested || p.Job.Terminal():
			after = preemptionDelay.Seconds() + p.Job.Spec.Save
		case p.Job.Spec.Kind == api.Service:
			if includeRelocatable && n.isRelocatable(p) {
				after = relocationDelay.Seconds()
			}
		default:
			ran := 0.0
			if at := cmp.Or(p.OwnerState.runningSince, p.OwnerState.placedAt); at != 0 {
				ran = n.now.Sub(at).Seconds()
			}
			after = max(p.Job.Spec.Estimate*runtimeSafetyFactor-ran, (ran-p.Job.Spec.Estimate)/2, 1)
		}
		out = append(out, backfill.Release{AfterSeconds: after, Resources: p.Job.Demand})
	}
	return out
}

// reservableHosts are a part's machines that a job may use and that are kept for no other. With room to
// spare, services that may move there count as what ends; a machine whose services have none is
// not kept for what would never begin on it while they, or others, could use the rest of it.
func (n *Controller) reservableHosts(owned *ownedPartition, s *api.JobSpec, excluded map[api.MachineID]bool, candidates []*Machine, releases map[*Machine][]backfill.Release, capacity *relocationCapacity) (ms []*Machine, hosts []backfill.Machine) {
	cpuOnly := n.isCPUOnly(s)
	for _, m := range candidates {
		reservedJob := n.reservedFor(m)
		if reservedJob != "" && reservedJob != s.Ref && (!m.softReservation || s.Priority.Rank() <= m.reservationRank) || excluded[m.ID] || !n.isEligible(s, cpuOnly, m.machineType, m.zone, m.spot) {
			continue
		}
		machineReleases, ok := releases[m]
		if !ok {
			machineReleases = n.expectedReleases(m, capacity != nil && n.canRelocateServices(owned, m, capacity))
			releases[m] = machineReleases
		}
		ms = append(ms, m)
		hosts = append(hosts, backfill.Machine{Zone: m.zone, Free: n.freeCapacityOn(m, owned), Releases: machineReleases, Reserved: reservedJob == s.Ref})
	}
	return ms, hosts
}

// backfill keeps machines for the jobs of a part that must begin and found no room: nothing
// else starts there, so that the room comes free as a whole. What is kept is in the part's
// record, see recordKeeps: a new owner goes on with it until it has looked for itself.
func (n *Controller) backfill(owned *ownedPartition) {
	if n.now.Sub(owned.backfilledAt) < backfillInterval {
		return
	}
	owned.backfilledAt = n.now
	n.extendLoanReservations(owned)
	n.extendWholeMachineReservations(owned)
	owned.dirty = owned.dirty || len(n.reservationChanges(owned)) > 0
	jobs := n.mustStartJobs(owned)
	if len(jobs) == 0 {
		return
	}
	var schedulable []*Machine
	for _, m := range n.machinesOf(owned.id) {
		if n.isSchedulable(m, owned) {
			schedulable = append(schedulable, m)
		}
	}
	ends, endsWithMoves := map[*Machine][]backfill.Release{}, map[*Machine][]backfill.Release{}
	var capacity *relocationCapacity
	remaining := n.remainingQuota(owned.id)
	for _, j := range jobs {
		stage, tasksNeeded := n.waitStage(j, owned.id), 1
		if j.Spec.Kind == api.Gang {
			tasksNeeded = j.Spec.Tasks
		}
		if j.Demand.Slots(remaining[j.Spec.Team]) < tasksNeeded || n.pendingReasonPool(j, owned.id) != "" {
			continue // it is no machine that it waits for, see dueShares and asking
		}
		var relocation *relocationCapacity
		releases := ends
		if n.suffersFragmentation(j.Spec) {
			if capacity == nil {
				capacity = n.computeRelocationCapacity(owned, schedulable)
			}
			relocation, releases = capacity, endsWithMoves
		}
		ms, hosts := n.reservableHosts(owned, j.Spec, j.OwnerState.failedOn, schedulable, releases, relocation)
		want := backfill.Request{Demand: j.Demand, Tasks: tasksNeeded, OneZone: j.Spec.OneZone}
		want.PlacedByZone, _ = n.taskZones(j)
		if j.Spec.Spread {
			want.MaxPerZone = (j.Spec.Tasks + 1) / 2
		}
		chosen, after := backfill.SelectMachines(hosts, want)
		for want.Tasks > 1 && chosen == nil { // the rest is lent by other parts
			want.Tasks = want.Tasks * 3 / 4
			chosen, after = backfill.SelectMachines(hosts, want)
		}
		j.OwnerState.unplaceable = chosen == nil
		if after == 0 && chosen != nil && !hosts[chosen[0]].Reserved {
			owned.dirty = true // there is room: the next round places it
		}
		for _, i := range chosen {
			n.reserve(owned, ms[i], j.ID, j.Spec.Priority.Rank(), stage)
			if relocation != nil {
				n.relocateServices(owned, ms[i], relocation)
			}
		}
		if len(chosen) > 0 {
			slog.Debug("machines reserved for job", "job", j.ID, "part", owned.id, "machines", len(chosen), "after", after)
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
func (n *Controller) isRelocatable(p *Placement) bool {
	s := p.Job.Spec
	return s.Kind == api.Service && !s.Spread && !s.OneZone && !p.Finishing && !p.OwnerState.stopRequested && !p.Job.Terminal() && p.OwnerState.runningSince != 0 &&
		n.now.Sub(p.OwnerState.runningSince) > minServiceRuntime && p.Job.FinishingCount == 0 && (p.Job.OwnerState.replicaMovedAt == 0 || n.now.Sub(p.Job.OwnerState.replicaMovedAt) > relocationInterval)
}

// relocateServices has the services of a machine that is kept start elsewhere, once nothing else is left
// on it and all of them have room there: one replica of a job at a time, and one machine of a
// part. A replica is stopped and is due like a lost one, so that whoever owns the part next does
// the same; what it costs is its fetch.
func (n *Controller) relocateServices(owned *ownedPartition, m *Machine, capacity *relocationCapacity) {
	places := n.state.PlacementsOn(m.ID)
	if len(places) == 0 || n.now.Sub(owned.servicesMovedAt) < reservationTTL {
		return
	}
	jobs := map[*Job]bool{}
	for _, p := range places {
		if p.Partition != owned.id || !n.isRelocatable(p) || jobs[p.Job] {
			return
		}
		jobs[p.Job] = true
	}
	if !n.canRelocateServices(owned, m, capacity) {
		return
	}
	owned.servicesMovedAt = n.now
	slog.Info("services relocated", "machine", m.ID, "tasks", len(places), "for", m.reservedFor)
	for _, p := range slices.Clone(places) {
		p.Job.OwnerState.replicaMovedAt = n.now
		n.metrics.ReplicasMoved++
		n.stopTask(p)
	}
}

// relocationCapacity is the room into which replicas may move: of a part's machines, less what is taken of
// it, and of other owners'.
type relocationCapacity struct {
	machines    []*Machine
	claimed     map[*Machine]api.Resources
	otherOwners []freeCapacityGroup
}

// maxCapacityClaims bounds the waiting tasks that have their room before anything moves into it.
const maxCapacityClaims = 200

// computeRelocationCapacity is the room that what waits already leaves, work aside for which whole machines are
// emptied: a replica that was moved, by us or another, is due like a lost one and has nothing but
// that room, so a second must not be stopped for the same.
func (n *Controller) computeRelocationCapacity(owned *ownedPartition, all []*Machine) *relocationCapacity {
	capacity := &relocationCapacity{machines: all, claimed: map[*Machine]api.Resources{}, otherOwners: n.freeCapacityElsewhere()}
	claimsLeft := maxCapacityClaims
	for _, ref := range slices.Sorted(maps.Keys(n.state.PendingJobs)) {
		j := n.state.PendingJobs[ref]
		if j.Demand.GPU == 0 || n.startsBlocked(j) || n.suffersFragmentation(j.Spec) {
			continue
		}
		pendingTasks := min(claimsLeft, j.Spec.Tasks-j.CompletedCount-len(j.Placements)+j.FinishingCount)
		claimsLeft -= pendingTasks
		for pendingTasks > 0 && n.claimCapacity(owned, nil, capacity, j) {
			pendingTasks--
		}
	}
	return capacity
}

// claimCapacity takes room for one task off what there is, on a machine of the part if it can, the
// cheapest first, and reports whether there was any.
func (n *Controller) claimCapacity(owned *ownedPartition, excluded *Machine, capacity *relocationCapacity, j *Job) bool {
	var best *Machine
	bestCost, cpuOnly := 0.0, n.isCPUOnly(j.Spec)
	for _, candidate := range capacity.machines {
		if candidate == excluded || n.reservedFor(candidate) != "" || j.OwnerState.failedOn[candidate.ID] || !n.isEligible(j.Spec, cpuOnly, candidate.machineType, candidate.zone, candidate.spot) {
			continue
		}
		free := n.freeCapacityOn(candidate, owned).Minus(capacity.claimed[candidate])
		if !j.Demand.Fits(free) {
			continue
		}
		cost := (&sched.Machine{CachedImages: candidate.cachedImages, FetchRate: n.machineTypes[candidate.machineType].FetchRate, FetchingImages: n.pendingImageFetches(candidate)}).FetchTime(j.Spec) +
			fragmentation.Increase(free, j.Demand, n.typicalDemands())
		if best == nil || cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	if best != nil {
		capacity.claimed[best] = capacity.claimed[best].Plus(j.Demand)
		return true
	}
	// A job that is all in one place may go to another part that has room.
	i := slices.IndexFunc(capacity.otherOwners, func(other freeCapacityGroup) bool {
		return j.Spec.Tasks == 1 && j.Demand.Fits(other.Free) && sched.Feasible(j.Spec, other.machineKind.Type, other.machineKind.Zone, other.machineKind.Spot)
	})
	if i < 0 {
		return false
	}
	capacity.otherOwners[i].Free = capacity.otherOwners[i].Free.Minus(j.Demand)
	return true
}

// canRelocateServices reports whether all services on a machine that may move have room elsewhere.
func (n *Controller) canRelocateServices(owned *ownedPartition, m *Machine, capacity *relocationCapacity) bool {
	trial := &relocationCapacity{capacity.machines, maps.Clone(capacity.claimed), slices.Clone(capacity.otherOwners)}
	for _, p := range n.state.PlacementsOn(m.ID) {
		if n.isRelocatable(p) && !n.claimCapacity(owned, m, trial, p.Job) {
			return false
		}
	}
	return true
}

// freeCapacityElsewhere is the room of other owners' machines, one by one, the fullest first.
func (n *Controller) freeCapacityElsewhere() []freeCapacityGroup {
	var out []freeCapacityGroup
	for _, status := range n.peerPartitionStatuses() {
		for _, r := range status.Rooms {
			if k := r.Kind; k >= 0 && k < len(status.Kinds) && status.Kinds[k].Usable && r.Free.GPU > 0 {
				for range r.Count {
					out = append(out, freeCapacityGroup{status.Part, status.Kinds[k], FreeCapacity{Free: r.Free, Count: 1}})
				}
			}
		}
	}
	slices.SortStableFunc(out, func(a, b freeCapacityGroup) int { return cmp.Compare(a.Free.GPU, b.Free.GPU) })
	return out
}

// extendLoanReservations keeps the machines that were lent to a part for a job until that has begun, for some
// time: they come one by one, and the first would be returned as idle before the last is there.
func (n *Controller) extendLoanReservations(owned *ownedPartition) {
	for id, loan := range n.state.Loans {
		j, m := n.state.Jobs[loan.Job], n.machines[id]
		if loan.Partition != owned.id || j == nil || m == nil || n.now.Sub(n.machineLoans[id].knownAt) > backfill.StartDeadline/2 || j.PendingTasks(owned.id) == 0 {
			continue
		}
		if _, waits := n.waitingTime(j, owned.id); waits && n.reservedFor(m) != "" {
			m.reservedUntil, m.idleSince = n.now.Add(reservationTTL), n.now
		}
	}
}

// extendWholeMachineReservations goes on keeping a machine that was gathered for tasks that fill most of it, for the
// next of them: else each would be gathered for anew. Where a service is left on it, gatherDue
// alone decides: it may have nowhere to go, and others wait for the rest of the machine.
func (n *Controller) extendWholeMachineReservations(owned *ownedPartition) {
	for _, m := range n.machinesOf(owned.id) {
		if !m.consolidated || n.reservedFor(m) == "" || n.now.Sub(m.consolidatedAt) > backfill.StartDeadline {
			continue
		}
		if j, typ := n.state.Jobs[m.reservedFor], n.machineTypes[m.machineType]; j.PendingTasks(owned.id) > 0 && typ != nil && backfill.DominantShare(j.Demand, typ.Capacity()) > 0.5 &&
			!slices.ContainsFunc(n.state.PlacementsOn(m.ID), func(p *Placement) bool {
				return p.Job.Spec.Kind == api.Service && !p.Finishing && !p.OwnerState.stopRequested
			}) {
			m.reservedUntil = n.now.Add(reservationTTL)
		}
	}
}

// reservationChanges are the changes to what a part keeps that its record does not have yet: machines that
// are kept, and those that are no more, since their job has begun or is over, or others were
// chosen. A new owner finds by the record what was being emptied for whom.
func (n *Controller) reservationChanges(owned *ownedPartition) []clusterstate.Reservation {
	var out []clusterstate.Reservation
	recorded := n.state.Partitions[owned.id].Reservations
	for _, m := range n.machinesOf(owned.id) {
		if jobID := n.reservedFor(m); m.consolidated && jobID != "" && recorded[m.ID].Job != jobID && len(out) < maxReservationChanges {
			out = append(out, clusterstate.Reservation{Machine: m.ID, Job: jobID, Since: n.wallClock})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(recorded)) {
		m := n.machines[id]
		ended := m == nil || n.partitionOf(id) != owned.id || !m.consolidated || n.reservedFor(m) == ""
		if ended && len(out) < maxReservationChanges {
			out = append(out, clusterstate.Reservation{Machine: id})
		}
	}
	return out
}

// maxReservationChanges bounds the changes of what is kept in a round's record: they lie in what its starts and
// ends leave.
const maxReservationChanges = 2

// restoreReservations goes on keeping what the part's former owner kept, for as long as it takes to look
// at it anew.
func (n *Controller) restoreReservations(owned *ownedPartition) {
	for id, recorded := range n.state.Partitions[owned.id].Reservations {
		j := n.state.Jobs[recorded.Job]
		if n.partitionOf(id) != owned.id || j == nil {
			continue
		}
		m := n.ensureMachine(id)
		m.reservedFor, m.reservationRank, m.softReservation, m.consolidated = recorded.Job, j.Spec.Priority.Rank(), true, true
		m.reservedUntil, m.consolidatedAt = n.now.Add(reservationTTL), n.now
	}
}

// reserve keeps a machine for a job for which room is gathered.
func (n *Controller) reserve(owned *ownedPartition, m *Machine, jobID api.JobID, rank int, stage sched.AgingStage) {
	if n.reservedFor(m) != jobID {
		n.metrics.MachinesReserved++
		m.consolidatedAt = n.now
		slog.Info("machine reserved", "machine", m.ID, "for", jobID, "tasks", len(n.state.PlacementsOn(m.ID)))
		owned.dirty = true
	}
	m.reservedFor, m.reservationRank, m.softReservation, m.reservedUntil, m.consolidated = jobID, rank, stage != sched.AgedAboveAll, n.now.Add(reservationTTL), true
}

// fitsAttainableQuota reports whether so many tasks of a job fit its team's limit once all that ends by
// itself has ended: only then is the limit left to it.
func (n *Controller) fitsAttainableQuota(j *Job, tasks int) bool {
	remaining := quotaLimit(n.teams[j.Spec.Team])
	for _, o := range n.state.Jobs {
		if o.Spec.Team == j.Spec.Team && o.Spec.Kind == api.Service {
			remaining = remaining.Minus(o.Demand.Times(o.LiveCount()))
		}
	}
	remaining.Mem = quotaLimit(config.Team{}).Mem
	return tasks > 0 && j.Demand.Times(tasks).Fits(remaining)
}

// quotaReservedForOthers is the share of teams' limits that this part leaves to others' jobs that must
// begin and lack nothing else. Of two parts that want of each other the lower one has it.
func (n *Controller) quotaReservedForOthers(owned *ownedPartition) map[api.PartitionID]map[api.Team]api.Resources {
	out := map[api.PartitionID]map[api.Team]api.Resources{}
	remaining := n.remainingQuota(owned.id)
	for _, status := range n.otherPartitionStatuses(owned) {
		for _, team := range slices.Sorted(maps.Keys(status.Due)) {
			if _, mustStartHere := owned.mustStartQuotaDemand[team]; mustStartHere && owned.id < status.Part {
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
