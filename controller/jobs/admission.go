package jobs

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/sched"
)

// This file decides whether a job is admitted: the job must be feasible, and the rate of
// submissions must stay within the write limit of the state service.

// InfeasibleReason returns the invalid field and the reason why a job can never run; it is empty
// if the job is feasible.
func (s *Service) InfeasibleReason(spec *api.JobSpec) string {
	team, ok := s.core.Teams[spec.Team]
	if !ok {
		return "bottega: unknown team"
	}
	zones := s.feasibleZones(spec)
	if len(zones) == 0 {
		return "cores: a task fits no allowed machine type"
	}
	if spec.Kind == api.Gang && spec.Spread && spec.Tasks > 1 && (spec.OneZone || len(zones) == 1) {
		return "scatter: a spread gang needs at least two zones, but can use only one"
	}
	demand := spec.Demand()
	if spec.Kind != api.Array {
		demand = demand.Times(spec.Tasks)
	}
	demand.Mem = 0
	if !demand.Fits(core.QuotaLimit(team)) {
		return "bottega: demand exceeds the team's limit"
	}
	return ""
}

// feasibleZones returns the zones in which one of a job's tasks fits an allowed machine type.
func (s *Service) feasibleZones(spec *api.JobSpec) map[api.Zone]bool {
	demand := spec.Demand()
	feasible := map[api.Zone]bool{}
	for _, machineType := range s.core.MachineTypes {
		if !demand.Fits(machineType.Capacity()) {
			continue
		}
		zones := machineType.Zones
		if len(zones) == 0 {
			zones = s.core.Config.Deployment.Zones
		}
		for _, zone := range zones {
			if sched.Feasible(spec, machineType.Name, zone, false) {
				feasible[zone] = true
			}
		}
	}
	return feasible
}

// allowSubmission takes a write from the token bucket of submissions, and reports whether one was
// available. Each live controller gets an equal share of the rate.
func (s *Service) allowSubmission() bool {
	share := core.SubmissionWriteShare
	if s.deps.Skips.RecentlyWrote() {
		share -= core.LedgerWriteShare
	}
	rate := share * s.core.Config.Deployment.State.WriteRPS / float64(max(1, len(s.core.State.Members)))
	s.submitTokens = min(max(1, rate), s.submitTokens+rate*s.core.Now.Sub(s.submitTokensAt).Seconds())
	s.submitTokensAt = s.core.Now
	if s.submitTokens < 1 {
		return false
	}
	s.submitTokens--
	return true
}
