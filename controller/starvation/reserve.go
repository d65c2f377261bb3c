package starvation

// This file reserves machines for aged jobs without free capacity.

import (
	"cmp"
	"log/slog"
	"math"
	"time"

	"basaltwall/api"
	"basaltwall/backfill"
	"basaltwall/controller/core"
	"basaltwall/sched"
)

// backfillInterval is the time between two backfill passes over a partition.
const backfillInterval = time.Second

// backfillPass is the state of one pass over a partition's aged jobs.
type backfillPass struct {
	owned          *core.OwnedPartition
	schedulable    []*core.Machine
	remainingQuota map[api.Team]api.Resources
	releases       map[*core.Machine][]backfill.Release
	// Releases for jobs that suffer fragmentation, for which services may be relocated.
	relocationReleases map[*core.Machine][]backfill.Release
	relocationCapacity *relocationCapacity // nil until a job needs it
}

// ReserveForAgedJobs reserves machines for the aged jobs of a partition that found no free capacity. Other
// jobs don't start on these machines, so that the capacity becomes free as a whole. The
// reservations are in the partition's record, see ReservationChanges; its next owner keeps them
// until its own first pass.
func (g *Guard) ReserveForAgedJobs(owned *core.OwnedPartition) {
	if g.core.Now.Sub(owned.AgedJobsCheckedAt) < backfillInterval {
		return
	}
	owned.AgedJobsCheckedAt = g.core.Now
	g.extendLoanReservations(owned)
	g.extendWholeMachineReservations(owned)
	owned.NeedsRound = owned.NeedsRound || len(g.ReservationChanges(owned)) > 0
	jobs := g.agedJobs(owned)
	if len(jobs) == 0 {
		return
	}
	pass := g.newBackfillPass(owned)
	for _, j := range jobs {
		g.reserveForJob(pass, j)
	}
}

func (g *Guard) newBackfillPass(owned *core.OwnedPartition) *backfillPass {
	pass := &backfillPass{
		owned:              owned,
		releases:           map[*core.Machine][]backfill.Release{},
		relocationReleases: map[*core.Machine][]backfill.Release{},
	}
	for _, m := range g.deps.Agents.MachinesOf(owned.ID) {
		if g.deps.Scheduler.IsSchedulable(m, owned) {
			pass.schedulable = append(pass.schedulable, m)
		}
	}
	pass.remainingQuota = g.core.RemainingQuota(owned.ID)
	return pass
}

// reserveForJob reserves the machines on which a job can start soonest.
func (g *Guard) reserveForJob(pass *backfillPass, j *core.Job) {
	owned, stage, tasksNeeded := pass.owned, g.AgingStage(j, pass.owned.ID), 1
	if j.Spec.Kind == api.Gang {
		tasksNeeded = j.Spec.Tasks
	}
	if j.Demand.Slots(pass.remainingQuota[j.Spec.Team]) < tasksNeeded || g.deps.Pools.PoolPendingReason(j, owned.ID) != "" {
		return // it waits for quota or for a pool, not for machines
	}
	var relocation *relocationCapacity
	releases := pass.releases
	if g.suffersFragmentation(j.Spec) {
		if pass.relocationCapacity == nil {
			pass.relocationCapacity = g.computeRelocationCapacity(owned, pass.schedulable)
		}
		relocation, releases = pass.relocationCapacity, pass.relocationReleases
	}
	machines, candidates := g.reservableMachines(owned, j.Spec, func(id api.MachineID) bool { return g.core.Avoids(j, id) }, pass.schedulable, releases, relocation)
	chosen, afterSeconds := g.selectMachines(j, candidates, tasksNeeded)
	j.OwnerState.Unplaceable = chosen == nil
	if afterSeconds == 0 && chosen != nil && !candidates[chosen[0]].Reserved {
		owned.NeedsRound = true // its capacity is free: the next round places it
	}
	for _, i := range chosen {
		g.Reserve(owned, machines[i], j.ID, j.Spec.Priority.Rank(), stage)
		if relocation != nil {
			g.relocateServices(owned, machines[i], relocation)
		}
	}
	if len(chosen) > 0 {
		slog.Debug("machines reserved for job", "job", j.ID, "partition", owned.ID, "machines", len(chosen), "after", afterSeconds)
	}
}

// selectMachines selects machines among the candidates for a number of a job's tasks. If the
// candidates never have capacity for all of them, it selects machines for fewer tasks; other
// partitions lend the rest. It returns nil if there is no machine for a single task.
func (g *Guard) selectMachines(j *core.Job, candidates []backfill.Machine, tasksNeeded int) (chosen []int, afterSeconds float64) {
	request := backfill.Request{Demand: j.Demand, Tasks: tasksNeeded, OneZone: j.Spec.OneZone}
	request.PlacedByZone, _ = g.deps.Scheduler.TaskZones(j)
	if j.Spec.Spread {
		request.MaxPerZone = (j.Spec.Tasks + 1) / 2
	}
	chosen, afterSeconds = backfill.SelectMachines(candidates, request)
	for request.Tasks > 1 && chosen == nil {
		request.Tasks = request.Tasks * 3 / 4
		chosen, afterSeconds = backfill.SelectMachines(candidates, request)
	}
	return chosen, afterSeconds
}

// ReservableMachines returns the candidates that may be reserved for a job, with their free
// capacity and expected releases.
func (g *Guard) ReservableMachines(owned *core.OwnedPartition, s *api.JobSpec, candidates []*core.Machine) ([]*core.Machine, []backfill.Machine) {
	return g.reservableMachines(owned, s, func(api.MachineID) bool { return false }, candidates, map[*core.Machine][]backfill.Release{}, nil)
}

// reservableMachines is ReservableMachines without the excluded machines. Releases are cached from
// one call to the next. With a relocation capacity, services that have capacity elsewhere count as
// tasks that end. A machine whose services have none is not reserved for a job that would never
// start on it, while others could use the rest of the machine.
func (g *Guard) reservableMachines(owned *core.OwnedPartition, s *api.JobSpec, excluded func(api.MachineID) bool, candidates []*core.Machine,
	releases map[*core.Machine][]backfill.Release, capacity *relocationCapacity) (machines []*core.Machine, views []backfill.Machine) {
	cpuOnly := g.core.IsCPUOnly(s)
	for _, m := range candidates {
		reservedFor := g.deps.Preemptor.ReservedFor(m)
		if isReservedAgainst(m, reservedFor, s) || excluded(m.ID) || !g.core.IsEligible(s, cpuOnly, m.MachineType, m.Zone, m.Spot) {
			continue
		}
		machineReleases, known := releases[m]
		if !known {
			machineReleases = g.expectedReleases(m, capacity != nil && g.canRelocateServices(owned, m, capacity))
			releases[m] = machineReleases
		}
		machines = append(machines, m)
		views = append(views, backfill.Machine{Zone: m.Zone, Free: g.deps.Scheduler.FreeCapacityOn(m, owned), Releases: machineReleases, Reserved: reservedFor == s.Ref})
	}
	return machines, views
}

// isReservedAgainst reports whether a machine's reservation keeps a job from reserving it.
func isReservedAgainst(m *core.Machine, reservedFor api.JobID, s *api.JobSpec) bool {
	if reservedFor == "" || reservedFor == s.Ref {
		return false
	}
	return !m.SoftReservation || s.Priority.Rank() <= m.ReservationRank
}

// expectedReleases returns the capacity that is expected to become free on a machine. With
// includeRelocatable, a service that may move counts as a task that ends after relocationDelay.
func (g *Guard) expectedReleases(m *core.Machine, includeRelocatable bool) []backfill.Release {
	var out []backfill.Release
	for _, p := range g.core.State.PlacementsOn(m.ID) {
		if p.Finishing {
			continue // its capacity is free already
		}
		out = append(out, backfill.Release{AfterSeconds: g.secondsToEnd(p, includeRelocatable), Resources: p.Job.Demand})
	}
	return out
}

// secondsToEnd returns the expected time until a task ends; infinite if it has no end. It depends
// on the owner's estimate. An overdue task is expected to run for another half of the time that it
// is overdue.
func (g *Guard) secondsToEnd(p *core.Placement, includeRelocatable bool) float64 {
	estimate := p.Job.Spec.Estimate
	switch {
	case p.OwnerState.StopRequested || p.Job.Terminal():
		return core.PreemptionDelay.Seconds() + p.Job.Spec.Save
	case p.Job.Spec.Kind == api.Service:
		if includeRelocatable && g.isRelocatable(p) {
			return relocationDelay.Seconds()
		}
		return math.Inf(1)
	}
	ran := 0.0
	if since := cmp.Or(p.OwnerState.RunningSince, p.OwnerState.PlacedAt); since != 0 {
		ran = g.core.Now.Sub(since).Seconds()
	}
	return max(estimate*core.RuntimeSafetyFactor-ran, (ran-estimate)/2, 1)
}

// Reserve reserves a machine for a job. Unless the job is aged above all others, jobs of a higher
// rank may still start there.
func (g *Guard) Reserve(owned *core.OwnedPartition, m *core.Machine, jobID api.JobID, rank int, stage sched.AgingStage) {
	if g.deps.Preemptor.ReservedFor(m) != jobID {
		g.core.Metrics.MachinesReserved++
		m.ReservedForAgedAt = g.core.Now
		slog.Info("machine reserved", "machine", m.ID, "for", jobID, "tasks", len(g.core.State.PlacementsOn(m.ID)))
		owned.NeedsRound = true
	}
	g.markReserved(m, jobID, rank, stage != sched.AgedAboveAll)
}

// markReserved sets a machine's reservation for a job.
func (g *Guard) markReserved(m *core.Machine, jobID api.JobID, rank int, soft bool) {
	m.ReservedFor, m.ReservationRank, m.SoftReservation = jobID, rank, soft
	m.ReservedUntil, m.ReservedForAged = g.core.Now.Add(core.ReservationTTL), true
}
