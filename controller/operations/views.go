package operations

// This file holds the views of controllers, partitions, machines and teams. The JSON names of the fields are the wire
// format.

import (
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/config"
	"basaltwall/controller/core"
)

// Views that are shown to operators.
type (
	// MemberView is a controller.
	MemberView struct {
		Label      api.ControllerID  `json:"label"`
		Live       bool              `json:"live"`
		Partitions []api.PartitionID `json:"parts"` // owned
		Self       bool              `json:"self"`
	}
	// PartitionView is a partition.
	PartitionView struct {
		Partition    api.PartitionID  `json:"part"`
		Owner        api.ControllerID `json:"owner"`
		Term         api.Revision     `json:"term"`
		Rounds       uint64           `json:"rounds"`
		Tasks        int              `json:"tasks"`
		PendingTasks int              `json:"waiting"`
	}
	// MachineView is a machine of a partition that this controller owns.
	MachineView struct {
		ID                  api.MachineID            `json:"machine"`
		Partition           api.PartitionID          `json:"part"`
		Type                api.MachineTypeName      `json:"type"`
		Zone                api.Zone                 `json:"zone"`
		Spot                bool                     `json:"spot"`
		Tasks               []string                 `json:"tasks"`
		UnschedulableReason core.UnschedulableReason `json:"avoided,omitempty"`
	}
	// TeamView is a team.
	TeamView struct {
		Team           api.Team `json:"team"`
		UsedCPUs       float64  `json:"cpus_used"`
		UsedGPUs       float64  `json:"gpus_used"`
		GuaranteedCPUs float64  `json:"cpus_guaranteed"`
		GuaranteedGPUs float64  `json:"gpus_guaranteed"`
		MaxCPUs        float64  `json:"cpus_max"`
		MaxGPUs        float64  `json:"gpus_max"`
		// Only for a hosted service: whether operators defined the team, and its owner.
		OperatorDefined bool         `json:"made,omitempty"`
		Tenant          string       `json:"tenant,omitempty"`
		Revision        api.Revision `json:"revision,omitempty"`
		// Shares of the limit by partition, if the team has one.
		Shares []QuotaShareView `json:"shares,omitempty"`
	}
	// QuotaShareView is a partition's share of a team's limit.
	QuotaShareView struct {
		Partition api.PartitionID `json:"part"`
		CPUs      float64         `json:"cpus"`
		GPUs      float64         `json:"gpus"`
	}
)

func (s *Service) viewMembers() []MemberView {
	views := []MemberView{}
	for _, id := range s.core.Controllers {
		v := MemberView{Label: id, Live: s.core.IsLive(id), Partitions: []api.PartitionID{}, Self: id == s.core.Config.Label}
		for i, p := range s.core.State.Partitions {
			if p.Owner == id {
				v.Partitions = append(v.Partitions, api.PartitionID(i))
			}
		}
		views = append(views, v)
	}
	return views
}

func (s *Service) viewPartitions() []PartitionView {
	views := []PartitionView{}
	for i, p := range s.core.State.Partitions {
		v := PartitionView{Partition: api.PartitionID(i), Owner: p.Owner, Term: p.Term, Rounds: p.RoundSeq, Tasks: len(s.core.State.PlacementsByPartition[i])}
		for _, j := range s.core.State.Jobs {
			if !j.Terminal() {
				v.PendingTasks += j.PendingTasks(v.Partition)
			}
		}
		views = append(views, v)
	}
	return views
}

func (s *Service) viewMachines() []MachineView {
	views := []MachineView{}
	for _, p := range slices.Sorted(maps.Keys(s.core.Partitions)) {
		for _, m := range s.deps.Agents.MachinesOf(p) {
			views = append(views, s.viewMachine(m, s.core.Partitions[p]))
		}
	}
	return views
}

func (s *Service) viewMachine(m *core.Machine, owned *core.OwnedPartition) MachineView {
	v := MachineView{
		ID:                  m.ID,
		Partition:           owned.ID,
		Type:                m.MachineType,
		Zone:                m.Zone,
		Spot:                m.Spot,
		Tasks:               []string{},
		UnschedulableReason: s.deps.Eligibility.UnschedulableReason(m, owned),
	}
	for _, placement := range s.core.State.PlacementsOn(m.ID) {
		v.Tasks = append(v.Tasks, placement.Task.String())
	}
	return v
}

func (s *Service) viewTeams() []TeamView {
	views := []TeamView{}
	usage, owners := s.core.TeamUsage(), s.deps.Tenants.TeamOwners()
	for _, name := range slices.Sorted(maps.Keys(s.core.Teams)) {
		team := s.core.Teams[name]
		v := TeamView{
			Team:           name,
			UsedCPUs:       usage[name].CPU.Float(),
			UsedGPUs:       usage[name].GPU.Float(),
			GuaranteedCPUs: team.CPUs,
			GuaranteedGPUs: team.GPUs,
			MaxCPUs:        team.CPUsMax,
			MaxGPUs:        team.GPUsMax,
		}
		if s.deps.Tenants.Hosted() {
			record, ok := s.deps.Tenants.TeamRecord(name)
			v.OperatorDefined, v.Revision, v.Tenant = ok, record.Revision, string(owners[name])
		}
		v.Shares = s.viewShares(name, team)
		views = append(views, v)
	}
	return views
}

// viewShares returns the partitions' shares of a team's limit, nil if the team has none.
func (s *Service) viewShares(name api.Team, team config.Team) []QuotaShareView {
	if team.CPUsMax <= 0 && team.GPUsMax <= 0 {
		return nil
	}
	shares := make([]QuotaShareView, len(s.core.State.Partitions))
	for i := range shares {
		p := api.PartitionID(i)
		share := s.core.State.QuotaShare(p, name, core.QuotaLimit(team))
		shares[i].Partition = p
		if team.CPUsMax > 0 {
			shares[i].CPUs = share.CPU.Float()
		}
		if team.GPUsMax > 0 {
			shares[i].GPUs = share.GPU.Float()
		}
	}
	return shares
}
