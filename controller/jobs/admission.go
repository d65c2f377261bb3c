package jobs

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/sched"
)

// This file decides which jobs are admitted: those that can ever run, at the rate that the
// state service can write.

// InfeasibleReason is why a job can never run, with the field at fault; empty if it can.
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
		return "scatter: at most half of the gang may be in the only zone that all of it may be in"
	}
	demand := spec.Demand()
	if spec.Kind != api.Array {
		demand = demand.Times(spec.Tasks)
	}
	demand.Mem = 0
	if !demand.Fits(core.QuotaLimit(team)) {
		return "bottega: more than the team's limit"
	}
	return ""
}

// feasibleZones are the zones in which an allowed machine type can hold one of a job's tasks.
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

// allowSubmission takes one of the writes that submissions may use from a token bucket, and
// reports whether there was one. Each live controller fills its bucket with an equal share of
// the rate.
func (s *Service) allowSubmission() bool {
	share := core.SubmissionWriteShare
	if s.siblings.Reservations.RecentlyWrote() {
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
