package tenancy

// This file manages the teams that operators define in addition to those of the settings file.

import (
	"encoding/json"

	"basaltwall/api"
	"basaltwall/config"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/internal/exactjson"
	"basaltwall/tenant"
)

// TeamRequest is the body of a request that creates, changes or removes a team. A limit of 0 means no
// limit.
type TeamRequest struct {
	Revision *api.Revision `json:"revision"`
	CPUs     float64       `json:"cpus"`
	GPUs     float64       `json:"gpus"`
	CPUsMax  float64       `json:"cpus_max"`
	GPUsMax  float64       `json:"gpus_max"`
}

// applyTeam applies the record of an operator-defined team. A removed team is deleted from the teams.
func (ts *Service) applyTeam(name string, value json.RawMessage, version api.Revision) error {
	var team tenant.Team
	if err := exactjson.Decode(value, &team); err != nil {
		return err
	}
	if err := team.Check(); err != nil {
		return err
	}
	ts.hosted.teams[api.Team(name)] = core.TeamRecord{Team: team, Revision: version}
	delete(ts.core.Teams, team.Name)
	if !team.Removed {
		ts.core.Teams[team.Name] = config.Team{Name: team.Name, CPUs: team.CPUs, GPUs: team.GPUs, CPUsMax: team.CPUsMax, GPUsMax: team.GPUsMax}
	}
	return nil
}

// ResetPlatformTeams resets the teams to those of the settings file.
func (ts *Service) ResetPlatformTeams() {
	ts.core.Teams = map[api.Team]config.Team{}
	for _, t := range ts.core.Config.Deployment.Teams {
		ts.core.Teams[t.Name] = t
	}
}

// TeamOwners returns the tenants that own the teams of a hosted service.
func (ts *Service) TeamOwners() map[api.Team]tenant.Name {
	byTeam := map[api.Team]tenant.Name{}
	if ts.hosted == nil {
		return byTeam
	}
	for _, name := range ts.hosted.tenants.Names() {
		for _, team := range ts.hosted.tenants.Get(name).Teams {
			byTeam[team] = name
		}
	}
	return byTeam
}

func (ts *Service) teamJobCount(team api.Team) int {
	count := 0
	for _, j := range ts.core.State.Jobs {
		if j.Spec.Team == team {
			count++
		}
	}
	return count
}

func (ts *Service) isPlatformTeam(name api.Team) bool {
	for _, t := range ts.core.Config.Deployment.Teams {
		if t.Name == name {
			return true
		}
	}
	return false
}

// HandleTeamRequest creates, changes or removes an operator-defined team. The caller must answer a
// returned error as a refusal.
func (ts *Service) HandleTeamRequest(c message.AdminRequest) error {
	var request TeamRequest
	if err := core.DecodeRequest(c.Body, &request); err != nil {
		return err
	}
	name := api.Team(c.ID)
	if ts.isPlatformTeam(name) {
		return &tenant.Error{Status: 409, Field: "name", Reason: c.ID + " is defined in the platform's settings file and can't be changed here"}
	}
	old, known := ts.hosted.teams[name]
	if !known && c.What == "team-remove" {
		return &tenant.Error{Status: 404, Field: "name", Reason: "there is no team " + c.ID}
	}
	updated, err := ts.applyTeamChange(c, old.Team, request)
	if err != nil {
		return err
	}
	if known && updated == old.Team {
		ts.core.Reply(c.Req, 200, core.TeamRecord{Team: updated, Tenant: ts.TeamOwners()[name], Revision: old.Revision}, 0) // no change, for instance a retry
		return nil
	}
	if err := core.CheckRevision(request.Revision, old.Revision, "the team"); err != nil {
		return err
	}
	guaranteed, err := ts.hosted.guaranteed.Adjust(old.Team, updated, ts.hosted.operators)
	if err != nil {
		return err
	}
	ts.commitTeamChange(c, updated, old, guaranteed)
	return nil
}

// applyTeamChange returns a team after a change.
func (ts *Service) applyTeamChange(c message.AdminRequest, team tenant.Team, request TeamRequest) (tenant.Team, error) {
	name := api.Team(c.ID)
	if c.What == "team-remove" {
		return team.Remove(ts.TeamOwners()[name], ts.teamJobCount(name))
	}
	return team.Change(tenant.Team{Name: name, CPUs: request.CPUs, GPUs: request.GPUs, CPUsMax: request.CPUsMax, GPUsMax: request.GPUsMax})
}

// commitTeamChange writes a team together with the sum of all guarantees, and answers. The transaction
// is conditional on the operators' record, which holds the budget for teams; a removal is also
// conditional on the absence of a tenant's claim.
func (ts *Service) commitTeamChange(c message.AdminRequest, updated tenant.Team, old core.TeamRecord, guaranteed tenant.GuaranteedTotal) {
	teamValue, _ := json.Marshal(updated)
	guaranteedValue, _ := json.Marshal(guaranteed)
	txn := api.Txn{
		If: []api.Condition{
			{Key: KeyTeam + c.ID, Version: old.Revision},
			ts.core.State.VersionCondition(KeyGuaranteedTotal),
			ts.core.State.VersionCondition(KeyOperators),
		},
		Writes: []api.Write{
			{Put: KeyTeam + c.ID, Value: teamValue},
			{Put: KeyGuaranteedTotal, Value: guaranteedValue},
			ts.NewAuditWrite(c, "team "+c.ID, old.Team, updated),
		},
	}
	if c.What == "team-remove" {
		txn.If = append(txn.If, api.Condition{Key: KeyTeamClaim + c.ID})
	}
	ts.CommitChange(c, txn, "the team or the budget for teams", func(revision api.Revision) any {
		return core.TeamRecord{Team: updated, Tenant: ts.TeamOwners()[api.Team(c.ID)], Revision: revision}
	})
}
