package core

import (
	"slices"

	"basaltwall/api"
	"basaltwall/config"
	"basaltwall/sched"
)

func (k *Core) TeamUsage() map[api.Team]api.Resources {
	total := map[api.Team]api.Resources{}
	for p := range k.State.Partitions {
		for team, u := range k.State.Partitions[p].TeamUsage {
			total[team] = total[team].Plus(u)
		}
	}
	return total
}

// IsCPUOnly reports whether a type without accelerators can take the job's tasks.
// Such work goes to the others last, and they are neither rented nor kept for
// it: they are dear, and whole pieces of them should be free for the work that
// needs them.
func (k *Core) IsCPUOnly(s *api.JobSpec) bool {
	demand := s.Demand()
	for _, t := range k.MachineTypes {
		if t.GPUs == 0 && demand.Fits(t.Capacity()) && (len(s.Types) == 0 || slices.Contains(s.Types, t.Name)) {
			return true
		}
	}
	return false
}

// IsEligible reports whether a job's tasks may run on such a machine; plain work runs on none with
// accelerators.
func (k *Core) IsEligible(s *api.JobSpec, cpuOnly bool, typ api.MachineTypeName, zone api.Zone, spot bool) bool {
	return !(cpuOnly && k.HasAccelerators(typ)) && sched.Feasible(s, typ, zone, spot)
}

func (k *Core) StartObjective(c api.Class) float64 {
	for _, o := range k.Config.Deployment.Objectives {
		if o.Kind == "wait" && o.Class == c {
			return o.Within
		}
	}
	return 0
}

// CompletionObjectives are the times after submission by which the job should be complete, by
// its deadline and its class's aims, in order.
func (k *Core) CompletionObjectives(s *api.JobSpec) []float64 {
	var out []float64
	for _, o := range k.Config.Deployment.Objectives {
		switch {
		case o.Class != s.Class:
		case o.Kind == "finished":
			out = append(out, o.Within)
		case o.Kind == "deadline" && s.Deadline != nil && o.Times > 0:
			out = append(out, *s.Deadline*o.Times)
		}
	}
	if len(out) == 0 && s.Deadline != nil {
		out = append(out, *s.Deadline)
	}
	slices.Sort(out)
	return out
}

// RemainingQuota is what each team may still start in the part.
func (k *Core) RemainingQuota(p api.PartitionID) map[api.Team]api.Resources {
	use := k.State.Partitions[p].TeamUsage
	remaining := map[api.Team]api.Resources{}
	for name, team := range k.Teams {
		limit := QuotaLimit(team)
		share := k.State.QuotaShare(p, name, limit).Minus(use[name])
		share.Mem = limit.Mem
		remaining[name] = share
	}
	return remaining
}

// IsWithinGuarantee reports whether one more task keeps the team within its guarantee.
func (k *Core) IsWithinGuarantee(j *Job, total map[api.Team]api.Resources) bool {
	team := k.Teams[j.Spec.Team]
	use := total[j.Spec.Team].Plus(j.Demand)
	if j.Demand.GPU > 0 {
		return use.GPU <= api.ToQuantity(team.GPUs)
	}
	return use.CPU <= api.ToQuantity(team.CPUs)
}

// HasAccelerators reports whether machines of a type have accelerators.
func (k *Core) HasAccelerators(t api.MachineTypeName) bool {
	machineType := k.MachineTypes[t]
	return machineType != nil && machineType.GPUs > 0
}

// SlowestFetchRate is the lowest rate at which an allowed type fetches images.
func (k *Core) SlowestFetchRate(s *api.JobSpec) float64 {
	rate := 0.0
	for _, t := range k.MachineTypes {
		if t.FetchRate > 0 && (len(s.Types) == 0 || slices.Contains(s.Types, t.Name)) && s.Demand().Fits(t.Capacity()) &&
			(rate == 0 || t.FetchRate < rate) {
			rate = t.FetchRate
		}
	}
	if rate == 0 {
		return 1
	}
	return rate
}

func (k *Core) BootSeconds(t api.MachineTypeName) float64 {
	if typ := k.MachineTypes[t]; typ != nil {
		return typ.BootSeconds
	}
	return 0
}

// QuotaLimit is a team's limit; none is expressed by an amount nothing reaches.
func QuotaLimit(t config.Team) api.Resources {
	const unlimited = api.Quantity(1) << 52
	limit := api.Resources{CPU: unlimited, GPU: unlimited, Mem: unlimited}
	if t.CPUsMax > 0 {
		limit.CPU = api.ToQuantity(t.CPUsMax)
	}
	if t.GPUsMax > 0 {
		limit.GPU = api.ToQuantity(t.GPUsMax)
	}
	return limit
}
