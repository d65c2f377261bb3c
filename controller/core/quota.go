package core

// This file computes the usage, limits and guarantees of teams.

import (
	"basaltwall/api"
	"basaltwall/config"
)

// unlimitedQuota is the limit of a team without one; no usage reaches it.
const unlimitedQuota = api.Quantity(1) << 52

// QuotaLimit returns the maximum usage of a team in all partitions together. Memory is not limited.
func QuotaLimit(t config.Team) api.Resources {
	limit := api.Resources{CPU: unlimitedQuota, GPU: unlimitedQuota, Mem: unlimitedQuota}
	if t.CPUsMax > 0 {
		limit.CPU = api.ToQuantity(t.CPUsMax)
	}
	if t.GPUsMax > 0 {
		limit.GPU = api.ToQuantity(t.GPUsMax)
	}
	return limit
}

// TeamUsage returns the resources allocated to each team in all partitions together.
func (k *Core) TeamUsage() map[api.Team]api.Resources {
	total := map[api.Team]api.Resources{}
	for p := range k.State.Partitions {
		for team, usage := range k.State.Partitions[p].TeamUsage {
			total[team] = total[team].Plus(usage)
		}
	}
	return total
}

// RemainingQuota returns the quota that each team has left in a partition.
func (k *Core) RemainingQuota(p api.PartitionID) map[api.Team]api.Resources {
	usage := k.State.Partitions[p].TeamUsage
	remaining := map[api.Team]api.Resources{}
	for name, team := range k.Teams {
		limit := QuotaLimit(team)
		share := k.State.QuotaShare(p, name, limit).Minus(usage[name])
		share.Mem = limit.Mem
		remaining[name] = share
	}
	return remaining
}

// IsWithinGuarantee reports whether a team stays within its guarantee with one more task of a job:
// the guarantee of accelerators if the task needs any, of CPUs otherwise. usage is the result of
// TeamUsage.
func (k *Core) IsWithinGuarantee(j *Job, usage map[api.Team]api.Resources) bool {
	team := k.Teams[j.Spec.Team]
	next := usage[j.Spec.Team].Plus(j.Demand)
	if j.Demand.GPU > 0 {
		return next.GPU <= api.ToQuantity(team.GPUs)
	}
	return next.CPU <= api.ToQuantity(team.CPUs)
}
