package emulator

import (
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/internal/invariant"
)

// This file finds the feasible placements of pending jobs, for the rule left_waiting.

// clusterUsage is a snapshot of the tasks and free capacity on machines.
type clusterUsage struct {
	workers     []*Worker // sorted by machine id
	free        map[api.MachineID]api.Resources
	byTeam      map[api.Team]api.Resources
	placedTasks map[api.JobID]int
	tasksByZone map[api.JobID]map[api.Zone]int
}

// checkStarvation periodically reports the feasible placements of pending jobs to the checker.
func (sim *Simulation) checkStarvation() {
	sim.After(invariant.StarvationCheckInterval, sim.checkStarvation)
	c := sim.Checker
	if !c.FaultsOver(sim.Now) {
		c.ResetFeasible()
		return
	}
	usage := sim.clusterUsage()
	feasible := map[invariant.FeasiblePlacement]bool{}
	for _, ref := range slices.Sorted(maps.Keys(sim.Users.AcceptedAt)) {
		switch {
		case sim.isUnreported(ref):
			feasible[invariant.FeasiblePlacement{Job: ref, Completed: true}] = true
		case sim.waitsOnlyForCapacity(ref, usage):
			usage.addFeasible(sim.Now, ref, c.Spec(ref), feasible)
		}
	}
	c.RecordFeasible(sim.Now, feasible)
}

// clusterUsage returns the current usage of all machines.
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

// isUnreported reports whether all tasks of a job have completed and its user, who still polls, has not been told.
func (sim *Simulation) isUnreported(ref api.JobID) bool {
	c := sim.Checker
	s := c.Spec(ref)
	return s != nil && !c.CancelWasRequested(ref) && invariant.StateRank(c.ReportedState(ref)) != invariant.RankFinal &&
		c.CompletedTasks(ref) >= s.Tasks
}

// waitsOnlyForCapacity reports whether a job has pending tasks that lack nothing but free capacity. Jobs that need
// units of a pool, and jobs of tenants, are left out because they may wait for other reasons.
func (sim *Simulation) waitsOnlyForCapacity(ref api.JobID, usage *clusterUsage) bool {
	c := sim.Checker
	s := c.Spec(ref)
	if s == nil || c.CancelWasRequested(ref) || invariant.StateRank(c.ReportedState(ref)) == invariant.RankFinal {
		return false
	}
	placed := usage.placedTasks[ref]
	if c.CompletedTasks(ref)+placed >= s.Tasks || len(s.Needs) > 0 || sim.Tenants != nil {
		return false
	}
	demand := s.Demand()
	if s.Kind == api.Gang {
		if placed > 0 {
			return false
		}
		demand = demand.Times(s.Tasks)
	}
	return c.WithinLimit(s.Team, usage.byTeam[s.Team].Plus(demand))
}

// addFeasible adds the feasible placements of a job.
func (u *clusterUsage) addFeasible(now time.Duration, ref api.JobID, s *api.JobSpec, feasible map[invariant.FeasiblePlacement]bool) {
	slots := map[api.Zone]int{}
	for _, wk := range u.workers {
		switch {
		case !wk.accepts(s, now) || !s.Demand().Fits(u.free[wk.id]):
		case s.Kind == api.Gang:
			slots[wk.zone] += s.Demand().Slots(u.free[wk.id])
		case u.zoneAllowed(ref, s, wk.zone):
			feasible[invariant.FeasiblePlacement{Job: ref, Machine: wk.id}] = true
		}
	}
	if s.Kind == api.Gang && gangFits(s, slots) {
		feasible[invariant.FeasiblePlacement{Job: ref}] = true
	}
}

// zoneAllowed reports whether a job may have another task in a zone, given the zones of its tasks.
func (u *clusterUsage) zoneAllowed(ref api.JobID, s *api.JobSpec, zone api.Zone) bool {
	zones := u.tasksByZone[ref]
	if s.Spread && zones[zone] >= invariant.MaxTasksPerZone(s.Tasks) {
		return false
	}
	return !s.OneZone || len(zones) == 0 || zones[zone] > 0
}

// accepts reports whether a worker is healthy and a job allows its type, zone and spot status.
func (wk *Worker) accepts(s *api.JobSpec, now time.Duration) bool {
	if len(s.Types) > 0 && !slices.Contains(s.Types, wk.machineType) || s.Zone != "" && s.Zone != wk.zone || wk.spot && !s.Spot {
		return false
	}
	faultUntil := max(wk.hungUntil, wk.inboundCutUntil, wk.outboundCutUntil, wk.commandsDelayedUntil, wk.tasksFailUntil)
	return faultUntil <= now
}

// gangFits reports whether a gang fits, given the number of its tasks that fit into each zone.
func gangFits(s *api.JobSpec, slots map[api.Zone]int) bool {
	sum := 0
	for _, n := range slots {
		if s.OneZone && n >= s.Tasks {
			return true
		}
		if s.Spread {
			n = min(n, invariant.MaxTasksPerZone(s.Tasks))
		}
		sum += n
	}
	return !s.OneZone && sum >= s.Tasks
}
