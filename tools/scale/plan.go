package main

import (
	"fmt"
	"time"

	"basaltwall/api"
	"basaltwall/internal/emulator"
)

// machineTypeName is the name of the only machine type.
const machineTypeName api.MachineTypeName = "node"

// Names of an experiment's zones, regions and teams.
func zoneName(i int) api.Zone { return api.Zone(fmt.Sprintf("zone-%d", i)) }
func regionName(i int) string { return fmt.Sprintf("region-%d", i) }
func teamName(i int) string   { return fmt.Sprintf("team-%d", i) }

// Guarantee and limit of each team, as multiples of an equal share of the machines' CPUs.
const (
	guaranteedShare = 0.8
	maxShare        = 4
)

// deploymentConfig returns the deployment of an experiment.
func deploymentConfig(e *experiment) emulator.FleetConfig {
	var zones []api.Zone
	regions := &emulator.Regions{ByZone: map[api.Zone]string{}, Home: regionName(0), Latency: seconds(e.RegionDelay / 1000)}
	for i := range e.Zones {
		zones = append(zones, zoneName(i))
		regions.ByZone[zoneName(i)] = regionName(i % e.Regions)
	}
	deployment := emulator.FleetConfig{
		Machines:   e.Machines,
		Regions:    regions,
		Seed:       e.Seed,
		Types:      []api.MachineType{e.Machine.machineType(zones)},
		Deployment: sharedSettings(e, zones),
	}
	for i := range e.Controllers {
		deployment.Controllers = append(deployment.Controllers, emulator.FleetController{Label: fmt.Sprintf("stone-%d", i), Zone: zones[i%len(zones)]})
	}
	return deployment
}

// machineType returns the machine type that the cloud offers.
func (m machineSpec) machineType(zones []api.Zone) api.MachineType {
	return api.MachineType{Name: machineTypeName, CPUs: m.CPUs, MemGB: m.MemGB, CacheGB: m.CacheGB, FetchRate: m.Fetch,
		Price: 1, SpotPrice: 0.5, BootSeconds: 30, Zones: zones}
}

// teamQuota is a team in the controllers' settings.
type teamQuota struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// clockErrorMillis is the maximum clock skew between controllers, in milliseconds.
const clockErrorMillis = 250

func sharedSettings(e *experiment, zones []api.Zone) map[string]any {
	even := float64(e.Machines) * e.Machine.CPUs / float64(e.Teams)
	var teams []teamQuota
	for i := range e.Teams {
		teams = append(teams, teamQuota{Name: teamName(i), CPUs: guaranteedShare * even, CPUsMax: maxShare * even})
	}
	return map[string]any{"initial_size": e.Controllers, "zones": zones, "teams": teams, "objectives": []any{},
		"workers": e.Workers, "state": e.State, "cloud": e.Cloud, "limits": e.Limits, "clock_error_ms": clockErrorMillis}
}

func (r *experimentRun) nextJob(l *jobLoad) *api.JobSpec {
	n := r.jobCount
	r.jobCount++
	spec := &api.JobSpec{
		Ref:      api.JobID(fmt.Sprintf("run-%06d", n)),
		Class:    api.Class(l.Name),
		Team:     api.Team(teamName(n % r.experiment.Teams)),
		Kind:     kinds[l.Kind],
		Priority: api.Priority(l.Priority),
		Tasks:    l.Tasks,
		CPUs:     l.CPUs,
		MemGB:    l.MemGB,
		Image:    api.Image(fmt.Sprintf("%s-%d", l.Name, n%max(1, l.Images))),
		ImageGB:  0.1,
		OneZone:  l.Together,
		Spread:   l.Scatter,
		Estimate: l.Run,
	}
	if spec.Kind == api.Service {
		spec.Estimate = 0
	}
	return spec
}

// submit submits the next job of a load. A share of the jobs is cancelled after half of their run time.
func (r *experimentRun) submit(sim *emulator.Simulation, l *jobLoad) {
	spec := r.nextJob(l)
	r.submittedAt[spec.Ref] = sim.Now
	sim.Users.Submit(spec, seconds(l.Run), "")
	if l.CancelShare > 0 && r.jobCount%int(1/l.CancelShare) == 0 {
		sim.After(seconds(l.Run/2), func() { sim.Users.Cancel(spec.Ref, "") })
	}
}

// submitFill submits the tasks that must run before the measurement.
func (r *experimentRun) submitFill(sim *emulator.Simulation) {
	for i := range r.experiment.Loads {
		l := &r.experiment.Loads[i]
		jobs := (l.FillTasks + l.Tasks - 1) / l.Tasks
		for k := range jobs {
			sim.After(seconds(l.FillOver*float64(k)/float64(jobs)), func() { r.submit(sim, l) })
		}
	}
}

// submitStreams submits the jobs of each load at its interval until the end of the run.
func (r *experimentRun) submitStreams(sim *emulator.Simulation) {
	for i := range r.experiment.Loads {
		l := &r.experiment.Loads[i]
		if l.Interval <= 0 {
			continue
		}
		var next func()
		next = func() {
			r.submit(sim, l)
			sim.After(seconds(l.Interval), next)
		}
		sim.After(time.Duration(i)*time.Millisecond, next)
	}
}
