package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// AdminService answers administration requests.
type AdminService struct {
	core *core.Core
	c    *Controller
}

// VersionedSettings are settings with the revision that a change must name.
type VersionedSettings struct {
	core.Settings
	Revision api.Revision `json:"revision"`
}

// ParseSettings reads settings for a change; the error names the field.
func ParseSettings(body []byte) (VersionedSettings, error) {
	var s VersionedSettings
	d := json.NewDecoder(strings.NewReader(string(body)))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return s, fmt.Errorf("%s: wrong type", te.Field)
		}
		return s, err
	}
	if s.IdleTimeout < 0 || s.IdleTimeout > 86400 {
		return s, errors.New("idle_hold_s: must be between 0 and 86400")
	}
	if len(s.Drained) > 200 {
		return s, errors.New("drained: more than 200 machines")
	}
	if err := s.Priority.Validate(); err != nil {
		return s, err
	}
	for _, id := range s.Drained {
		if id == "" || len(id) > 30 {
			return s, errors.New("drained: not a machine's name")
		}
	}
	return s, nil
}

// What an operator is shown.
type (
	// MemberView is a controller.
	MemberView struct {
		Label      api.ControllerID  `json:"label"`
		Live       bool              `json:"live"`
		Partitions []api.PartitionID `json:"parts"`
		Self       bool              `json:"self"`
	}
	// PartitionView is a part of the machines.
	PartitionView struct {
		Partition    api.PartitionID  `json:"part"`
		Owner        api.ControllerID `json:"owner"`
		Term         api.Revision     `json:"term"`
		Rounds       uint64           `json:"rounds"`
		Tasks        int              `json:"tasks"`
		PendingTasks int              `json:"waiting"`
	}
	// MachineView is a machine of a part that this node owns.
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
		// Of a team that operators of a hosted service made; and whose it is.
		OperatorDefined bool         `json:"made,omitempty"`
		Tenant          string       `json:"tenant,omitempty"`
		Revision        api.Revision `json:"revision,omitempty"`
		Shares          []struct {
			Part     api.PartitionID `json:"part"`
			UsedCPUs float64         `json:"cpus"`
			UsedGPUs float64         `json:"gpus"`
		} `json:"shares,omitempty"`
	}
)

// HandleAdmin answers an operator.
func (ad *AdminService) HandleAdmin(c message.AdminRequest) {
	if !ad.core.Loaded {
		ad.core.ReplyError(c.Req, 503, "starting")
		return
	}
	if ad.c.tenancy.Enabled() && !c.Forwarded {
		ad.c.tenancy.WithOperator(c, ad.handleHostedAdmin)
		return
	}
	ad.handleCommonAdmin(c)
}

// handleHostedAdmin answers an operator of a hosted service.
func (ad *AdminService) handleHostedAdmin(c message.AdminRequest) {
	var err error
	switch c.What {
	case "tenants", "tenant", "usage", "tenant-put", "suspend", "resume", "remove", "key-add", "key-revoke":
		err = ad.c.tenancy.HandleTenantRequest(c)
	case "operators", "operators-put", "operators-key-add", "operators-key-revoke":
		err = ad.c.tenancy.HandleOperatorsRequest(c)
	case "team-put", "team-remove":
		err = ad.c.tenancy.HandleTeamRequest(c)
	case "pools", "pool", "pool-put", "pool-remove":
		err = ad.c.pools.HandlePoolRequest(c)
	case "audit":
		ad.c.tenancy.ListAudit(c)
	default:
		ad.handleCommonAdmin(c)
	}
	if err != nil {
		ad.c.tenancy.RefuseError(c.Req, err)
	}
}

// handleCommonAdmin answers an operator of any service.
func (ad *AdminService) handleCommonAdmin(c message.AdminRequest) {
	switch c.What {
	case "metrics":
		ad.core.Reply(c.Req, 200, ad.c.reporter.ViewMetrics(), 0)
	case "members":
		ad.core.Reply(c.Req, 200, ad.viewMembers(), 0)
	case "parts":
		ad.core.Reply(c.Req, 200, ad.viewPartitions(), 0)
	case "machines":
		ad.core.Reply(c.Req, 200, ad.viewMachines(), 0)
	case "teams":
		ad.core.Reply(c.Req, 200, ad.viewTeams(), 0)
	case "jobs":
		if _, known := ad.core.Teams[api.Team(c.Team)]; c.Team != "" && !known {
			ad.core.ReplyError(c.Req, 404, fmt.Sprintf("team: there is no team %q", c.Team))
			return
		}
		ad.core.Reply(c.Req, 200, ad.c.jobs.ViewJobs(api.Team(c.Team), c.Limit), 0)
	case "job":
		j := ad.core.State.Jobs[api.JobID(c.ID)]
		if j == nil {
			ad.core.ReplyError(c.Req, 404, "no such job, or it is over")
			return
		}
		ad.core.Reply(c.Req, 200, ad.c.jobs.ViewJob(j, ad.c.jobs.FreeCapacityGroups()), 0)
	case "skips", "skips-do":
		ad.c.reservations.HandleRequest(c)
	case "settings":
		ad.core.Reply(c.Req, 200, ad.currentSettings(), 0)
	case "set":
		s, err := ParseSettings(c.Body)
		if err != nil {
			ad.core.ReplyError(c.Req, 400, err.Error())
			return
		}
		ad.updateSettings(c, s)
	case "drain", "undrain":
		s := ad.currentSettings()
		id := api.MachineID(c.ID)
		s.Drained = slices.DeleteFunc(slices.Clone(s.Drained), func(x api.MachineID) bool { return x == id })
		if c.What == "drain" {
			s.Drained = append(s.Drained, id)
		}
		ad.updateSettings(c, s)
	default:
		ad.core.ReplyError(c.Req, 404, "no such path")
	}
}

func (ad *AdminService) currentSettings() VersionedSettings {
	return VersionedSettings{ad.core.Settings, ad.core.State.Version(core.SettingsKey)}
}

// updateSettings writes settings; it must name the revision that it replaces.
func (ad *AdminService) updateSettings(c message.AdminRequest, s VersionedSettings) {
	req := c.Req
	v, err := json.Marshal(s.Settings)
	if err != nil || ad.core.ExceedsValueSize(v) {
		ad.core.ReplyError(req, 400, "drained, precedence: more than a record holds")
		return
	}
	tx := api.Txn{If: []api.Condition{{Key: core.SettingsKey, Version: s.Revision}}, Writes: []api.Write{{Put: core.SettingsKey, Value: v}}}
	if ad.c.tenancy.Enabled() {
		tx.Writes = append(tx.Writes, ad.c.tenancy.AuditWrite(c, "settings", settingsAuditView(ad.core.Settings), settingsAuditView(s.Settings)))
	}
	ad.core.CallStoreTxn(tx, func(a message.StoreResponse) {
		ad.c.tenancy.ReplyChange(req, a.Status, a.Txn.Revision, "the settings have", func(rev api.Revision) any {
			s.Revision = rev
			return s
		})
	})
}

func (ad *AdminService) viewMembers() []MemberView {
	out := []MemberView{}
	for _, l := range ad.core.Controllers {
		v := MemberView{Label: l, Live: ad.core.IsLive(l), Partitions: []api.PartitionID{}, Self: l == ad.core.Config.Label}
		for i, p := range ad.core.State.Partitions {
			if p.Owner == l {
				v.Partitions = append(v.Partitions, api.PartitionID(i))
			}
		}
		out = append(out, v)
	}
	return out
}

func (ad *AdminService) viewPartitions() []PartitionView {
	out := []PartitionView{}
	for i, p := range ad.core.State.Partitions {
		v := PartitionView{Partition: api.PartitionID(i), Owner: p.Owner, Term: p.Term, Rounds: p.RoundSeq, Tasks: len(ad.core.State.PlacementsByPartition[i])}
		for _, j := range ad.core.State.Jobs {
			if !j.Terminal() {
				v.PendingTasks += j.PendingTasks(v.Partition)
			}
		}
		out = append(out, v)
	}
	return out
}

func (ad *AdminService) viewMachines() []MachineView {
	out := []MachineView{}
	for _, p := range slices.Sorted(maps.Keys(ad.core.Partitions)) {
		for _, m := range ad.c.agents.MachinesOf(p) {
			v := MachineView{ID: m.ID, Partition: p, Type: m.MachineType, Zone: m.Zone, Spot: m.Spot, Tasks: []string{}, UnschedulableReason: ad.c.eligibility.UnschedulableReason(m, ad.core.Partitions[p])}
			for _, placement := range ad.core.State.PlacementsOn(m.ID) {
				v.Tasks = append(v.Tasks, placement.Task.String())
			}
			out = append(out, v)
		}
	}
	return out
}

func (ad *AdminService) viewTeams() []TeamView {
	out := []TeamView{}
	usage, owners := ad.core.TeamUsage(), ad.c.tenancy.TeamOwners()
	for _, name := range slices.Sorted(maps.Keys(ad.core.Teams)) {
		team := ad.core.Teams[name]
		v := TeamView{Team: name, UsedCPUs: usage[name].CPU.Float(), UsedGPUs: usage[name].GPU.Float(), GuaranteedCPUs: team.CPUs,
			GuaranteedGPUs: team.GPUs, MaxCPUs: team.CPUsMax, MaxGPUs: team.GPUsMax}
		if ad.c.tenancy.Enabled() {
			definition, ok := ad.c.tenancy.TeamRecord(name)
			v.OperatorDefined, v.Revision, v.Tenant = ok, definition.Revision, string(owners[name])
		}
		if team.CPUsMax > 0 || team.GPUsMax > 0 {
			v.Shares = slices.Grow(v.Shares, len(ad.core.State.Partitions))[:len(ad.core.State.Partitions)]
			for i := range ad.core.State.Partitions {
				s := ad.core.State.QuotaShare(api.PartitionID(i), name, core.QuotaLimit(team))
				v.Shares[i].Part = api.PartitionID(i)
				if team.CPUsMax > 0 {
					v.Shares[i].UsedCPUs = s.CPU.Float()
				}
				if team.GPUsMax > 0 {
					v.Shares[i].UsedGPUs = s.GPU.Float()
				}
			}
		}
		out = append(out, v)
	}
	return out
}
