package emulator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
)

// This file finds jobs that wait though there is free capacity for them (rule left_waiting).

// A job is left waiting when, all faults over, one machine has had free capacity for a task of it
// for starvationTimeout, at each check, and its team was under its limit all that time: by what is on
// machines alone, whatever controllers reserve capacity or quota for. A gang is when there has been
// free capacity for all of it.
const (
	starvationTimeout       = 90 * time.Second
	starvationCheckInterval = 3 * time.Second
)

// feasiblePlacement is a job and a machine that has had free capacity for it; of a gang no single machine.
type feasiblePlacement struct {
	job     api.JobID
	machine api.MachineID
}

// feasibleTimes is since when a placement has been feasible.
type feasibleTimes map[feasiblePlacement]time.Duration

// clusterUsage is what is on machines at a moment.
type clusterUsage struct {
	workers     []*Worker // in order
	free        map[api.MachineID]api.Resources
	byTeam      map[api.Team]api.Resources
	placedTasks map[api.JobID]int
	tasksByZone map[api.JobID]map[api.Zone]int
}

// checkStarvation finds the jobs that wait though a placement for them is feasible.
func (sim *Simulation) checkStarvation() {
	sim.After(starvationCheckInterval, sim.checkStarvation)
	c := sim.Checker
	if sim.Now <= c.faultsEndAt {
		clear(c.feasibleSince)
		return
	}
	usage := sim.clusterUsage()
	feasible := map[feasiblePlacement]bool{}
	for _, ref := range slices.Sorted(maps.Keys(sim.Users.AcceptedAt)) {
		if sim.mayStart(ref, usage) {
			usage.addFeasible(sim.Now, ref, c.specs[ref], feasible)
		}
	}
	for placement := range c.feasibleSince {
		if !feasible[placement] {
			delete(c.feasibleSince, placement)
		}
	}
	c.recordFeasible(sim.Now, feasible)
}

// clusterUsage adds up what is on machines now.
func (sim *Simulation) clusterUsage() *clusterUsage {
	u := &clusterUsage{
		free:        map[api.MachineID]api.Resources{},
		byTeam:      map[api.Team]api.Resources{},
		placedTasks: map[api.JobID]int{},
		tasksByZone: map[api.JobID]map[api.Zone]int{},
	}
	for _, id := range sim.Machines() {
		wk := sim.workers[id]
		u.workers = append(u.workers, wk)
		u.free[id] = wk.capacity
		for _, t := range wk.allTasks() {
			if t.state != api.TaskExited {
				u.addTask(wk, t)
			}
		}
	}
	return u
}

func (u *clusterUsage) addTask(wk *Worker, t *workerTask) {
	demand := t.spec.Demand()
	u.free[wk.id] = u.free[wk.id].Minus(demand)
	u.byTeam[t.spec.Team] = u.byTeam[t.spec.Team].Plus(demand)
	u.placedTasks[t.id.Job]++
	if u.tasksByZone[t.id.Job] == nil {
		u.tasksByZone[t.id.Job] = map[api.Zone]int{}
	}
	u.tasksByZone[t.id.Job][wk.zone]++
}

// mayStart reports whether a job has tasks that wait for capacity alone. Jobs that need units of a
// pool, and those of tenants, may wait for other reasons.
func (sim *Simulation) mayStart(ref api.JobID, usage *clusterUsage) bool {
	c := sim.Checker
	s := c.specs[ref]
	if s == nil || c.cancelRequests[ref] || stateRank(c.reportedStates[ref]) == 2 {
		return false
	}
	placed := usage.placedTasks[ref]
	if c.jobTracker.completedCount[ref]+placed >= s.Tasks || len(s.Needs) > 0 || sim.Tenants != nil {
		return false
	}
	demand := s.Demand()
	if s.Kind == api.Gang {
		if placed > 0 {
			return false
		}
		demand = demand.Times(s.Tasks)
	}
	return c.withinLimit(s.Team, usage.byTeam[s.Team].Plus(demand))
}

// addFeasible adds the placements that are feasible for a job now.
func (u *clusterUsage) addFeasible(now time.Duration, ref api.JobID, s *api.JobSpec, feasible map[feasiblePlacement]bool) {
	slots := map[api.Zone]int{}
	for _, wk := range u.workers {
		switch {
		case !wk.accepts(s, now) || !s.Demand().Fits(u.free[wk.id]):
		case s.Kind == api.Gang:
			slots[wk.zone] += s.Demand().Slots(u.free[wk.id])
		case u.zoneAllowed(ref, s, wk.zone):
			feasible[feasiblePlacement{job: ref, machine: wk.id}] = true
		}
	}
	if s.Kind == api.Gang && gangFits(s, slots) {
		feasible[feasiblePlacement{job: ref}] = true
	}
}

// zoneAllowed reports whether one more task of a job may be in a zone, by where its others are.
func (u *clusterUsage) zoneAllowed(ref api.JobID, s *api.JobSpec, zone api.Zone) bool {
	zones := u.tasksByZone[ref]
	if s.Spread && zones[zone] >= ceilHalf(s.Tasks) {
		return false
	}
	return !s.OneZone || len(zones) == 0 || zones[zone] > 0
}

// accepts reports whether a worker is of a kind that a job allows, and healthy.
func (wk *Worker) accepts(s *api.JobSpec, now time.Duration) bool {
	if len(s.Types) > 0 && !slices.Contains(s.Types, wk.machineType) || s.Zone != "" && s.Zone != wk.zone || wk.spot && !s.Spot {
		return false
	}
	faultUntil := max(wk.hungUntil, wk.inboundCutUntil, wk.outboundCutUntil, wk.commandsDelayedUntil, wk.tasksFailUntil)
	return faultUntil <= now
}

// gangFits reports whether there is free capacity for a gang, by how many of its tasks fit into each zone.
func gangFits(s *api.JobSpec, slots map[api.Zone]int) bool {
	sum := 0
	for _, n := range slots {
		if s.OneZone && n >= s.Tasks {
			return true
		}
		if s.Spread {
			n = min(n, ceilHalf(s.Tasks))
		}
		sum += n
	}
	return !s.OneZone && sum >= s.Tasks
}

// withinLimit reports whether a team that uses so much is within its limit.
func (c *Checker) withinLimit(team api.Team, usage api.Resources) bool {
	for _, t := range c.config.Deployment.Teams {
		if t.Name == team && (t.CPUsMax > 0 && usage.CPU > api.ToQuantity(t.CPUsMax) || t.GPUsMax > 0 && usage.GPU > api.ToQuantity(t.GPUsMax)) {
			return false
		}
	}
	return true
}

// recordFeasible notes which placements are feasible now, and the jobs for which one has been for too long.
func (c *Checker) recordFeasible(at time.Duration, feasible map[feasiblePlacement]bool) {
	inOrder := func(a, b feasiblePlacement) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.machine, b.machine))
	}
	for _, k := range slices.SortedFunc(maps.Keys(feasible), inOrder) { // so that the same is named each time
		since, ok := c.feasibleSince[k]
		if !ok {
			c.feasibleSince[k] = at
		} else if at >= since+starvationTimeout && !c.starvationReported[k.job] {
			c.starvationReported[k.job] = true
			where := "machines that fit it whole have"
			if k.machine != "" {
				where = string(k.machine) + " has"
			}
			c.recordViolation(at, "left_waiting", "%s waits though %s had room since %.1f s", k.job, where, since.Seconds())
		}
	}
}
