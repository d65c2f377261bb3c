package emulator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
)

// A job is left waiting when, all troubles over, one machine has had room for a task of it for
// starvationTimeout, at each look, and its team was under its limit all that time: by what is on
// machines alone, whatever controllers keep room or limits for. A gang is when all of it has had
// room.
const (
	starvationTimeout       = 90 * time.Second
	starvationCheckInterval = 3 * time.Second
)

// feasiblePlacement is a job and a machine that has had room for it; of a gang no single machine.
type feasiblePlacement struct {
	job     api.JobID
	machine api.MachineID
}

// feasibleTimes is since when there has been room.
type feasibleTimes map[feasiblePlacement]time.Duration

// checkStarvation looks which jobs wait though there is room for them.
func (sim *Simulation) checkStarvation() {
	sim.After(starvationCheckInterval, sim.checkStarvation)
	c := sim.Checker
	if sim.Now <= c.faultsEndAt {
		clear(c.feasibleSince)
		return
	}
	free := map[api.MachineID]api.Resources{}
	usage := map[api.Team]api.Resources{}
	placedTasks, zones := map[api.JobID]int{}, map[api.JobID]map[api.Zone]int{}
	ids := sim.Machines()
	for _, id := range ids {
		wk := sim.workers[id]
		free[id] = wk.capacity
		for _, t := range wk.allTasks() {
			if t.state == api.TaskExited {
				continue
			}
			free[id] = free[id].Minus(t.spec.Demand())
			usage[t.spec.Team] = usage[t.spec.Team].Plus(t.spec.Demand())
			placedTasks[t.id.Job]++
			if zones[t.id.Job] == nil {
				zones[t.id.Job] = map[api.Zone]int{}
			}
			zones[t.id.Job][wk.zone]++
		}
	}
	feasible := map[feasiblePlacement]bool{}
	for _, ref := range slices.Sorted(maps.Keys(sim.Users.AcceptedAt)) {
		s := c.specs[ref]
		if s == nil || c.cancelRequests[ref] || stateRank(c.reportedStates[ref]) == 2 || c.jobTracker.completedCount[ref]+placedTasks[ref] >= s.Tasks || len(s.Needs) > 0 || sim.Tenants != nil {
			continue
		}
		demand := s.Demand()
		if s.Kind == api.Gang {
			demand = demand.Times(s.Tasks)
			if placedTasks[ref] > 0 {
				continue
			}
		}
		if !c.withinLimit(s.Team, usage[s.Team].Plus(demand)) {
			continue
		}
		slots := map[api.Zone]int{}
		for _, id := range ids {
			wk := sim.workers[id]
			if len(s.Types) > 0 && !slices.Contains(s.Types, wk.machineType) || s.Zone != "" && s.Zone != wk.zone || wk.spot && !s.Spot ||
				max(wk.hungUntil, wk.inboundCutUntil, wk.outboundCutUntil, wk.commandsDelayedUntil, wk.tasksFailUntil) > sim.Now || !s.Demand().Fits(free[id]) {
				continue
			}
			if s.Kind == api.Gang {
				slots[wk.zone] += s.Demand().Slots(free[id])
				continue
			}
			if s.Spread && zones[ref][wk.zone] >= ceilHalf(s.Tasks) || s.OneZone && len(zones[ref]) > 0 && zones[ref][wk.zone] == 0 {
				continue
			}
			feasible[feasiblePlacement{ref, id}] = true
		}
		if s.Kind == api.Gang && gangFits(s, slots) {
			feasible[feasiblePlacement{job: ref}] = true
		}
	}
	for k := range c.feasibleSince {
		if !feasible[k] {
			delete(c.feasibleSince, k)
		}
	}
	c.recordFeasible(sim.Now, feasible)
}

// gangFits reports whether a gang has room, by how many of its tasks each zone has room for.
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

// recordFeasible takes in for which jobs there is room now.
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
