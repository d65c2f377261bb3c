package controller

import (
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/tenant"
)

// Keys of what a hosted service's operators decide for all tenants.
const (
	keyOperators = clusterstate.Root + "operators"
	keyTeam      = clusterstate.Root + "team/" // made by operators, beside the platform's
	// keyGuaranteedTotal is what those teams are guaranteed together. It is written with each change
	// of one and with what is set aside for them, so that their sum stays within that.
	keyGuaranteedTotal = clusterstate.Root + "given"
)

// operatorKeyCacheTTL is for how long an operators' key that was good when the state was last
// read is believed without it, for questions about the controller alone. Whoever looks at
// a service in trouble needs answers from the controllers that are cut off.
const operatorKeyCacheTTL = time.Minute

type (
	// OperatorsView is the operators' record as it is shown.
	OperatorsView struct {
		AdminKey        tenant.KeyID           `json:"first"` // of the file that this controller was started with
		AdminKeyRetired bool                   `json:"first_retired"`
		Keys            []OperatorKeyView      `json:"keys"`
		Networks        tenant.Networks        `json:"networks"`
		Proxies         tenant.Networks        `json:"proxies"`
		CPUs            float64                `json:"cpus"`
		GPUs            float64                `json:"gpus"`
		Guaranteed      tenant.GuaranteedTotal `json:"given"`
		Revision        api.Revision           `json:"revision"`
	}
	// OperatorKeyView is an operators' key as it is shown.
	OperatorKeyView struct {
		KeyView
		Role tenant.Role `json:"role"`
	}
	// TeamRecordView is a team that operators made, as it is shown.
	TeamRecordView = core.TeamRecord
	// operatorsRequest is what an act on the operators' record may bring.
	operatorsRequest struct {
		Revision *api.Revision   `json:"revision"`
		Networks tenant.Networks `json:"networks"`
		Proxies  tenant.Networks `json:"proxies"`
		CPUs     float64         `json:"cpus"`
		GPUs     float64         `json:"gpus"`
		Name     string          `json:"name"`
		Role     tenant.Role     `json:"role"`
		Expires  api.WallTime    `json:"expires"`
	}
	// teamRequest is what an act on a team may bring.
	teamRequest struct {
		Revision *api.Revision `json:"revision"`
		CPUs     float64       `json:"cpus"`
		GPUs     float64       `json:"gpus"`
		CPUsMax  float64       `json:"cpus_max"`
		GPUsMax  float64       `json:"gpus_max"`
	}
)

// applyTeam folds a team that operators made. A removed one is no team any more.
func (ts *TenantService) applyTeam(name string, value json.RawMessage, version api.Revision) error {
	var team tenant.Team
	if err := json.Unmarshal(value, &team); err != nil {
		return err
	}
	if err := team.Check(); err != nil {
		return err
	}
	ts.hosted.teams[api.Team(name)] = TeamRecordView{Team: team, Revision: version}
	delete(ts.core.Teams, team.Name)
	if !team.Removed {
		ts.core.Teams[team.Name] = config.Team{Name: team.Name, CPUs: team.CPUs, GPUs: team.GPUs, CPUsMax: team.CPUsMax, GPUsMax: team.GPUsMax}
	}
	return nil
}

// ResetPlatformTeams forgets the teams that operators made.
func (ts *TenantService) ResetPlatformTeams() {
	ts.core.Teams = map[api.Team]config.Team{}
	for _, t := range ts.core.Config.Deployment.Teams {
		ts.core.Teams[t.Name] = t
	}
}

// authenticateOperator finds what an operator may do by the key that a request brings, as far as the
// book has been read.
func (ts *TenantService) authenticateOperator(c message.Caller) (tenant.KeyID, tenant.Role, error) {
	s, err := c.BearerSecret()
	if err != nil {
		return "", "", err
	}
	role, ok := ts.hosted.operators.Authenticate(ts.hosted.adminKey, s, ts.core.WallClock, ts.MaxClockError())
	if !ok {
		return "", "", errInvalidKey
	}
	if !ts.hosted.operators.Networks.Allows(ts.clientAddr(c)) {
		return "", "", &tenant.Error{Status: 403, Reason: "not from this address"}
	}
	return s.ID, role, nil
}

// What operators may ask without changing anything: of the record, and of what the
// controller that answers knows.
var (
	recordQueries = []message.AdminOperation{message.AdminTenants, message.AdminTenant, message.AdminUsage, message.AdminOperators,
		message.AdminPools, message.AdminPool, message.AdminAudit, message.AdminReservations}
	controllerQueries = []message.AdminOperation{message.AdminMetrics, message.AdminMembers, message.AdminPartitions, message.AdminMachines,
		message.AdminTeams, message.AdminJobs, message.AdminJob, message.AdminSettings}
)

// WithOperator does what an operator of a hosted service asks if the key that comes with it
// may: by what is current. A controller that can't know what is answers questions about
// itself alone, for a while, by what it knew last; the file's key lies beside it and needs
// no state.
func (ts *TenantService) WithOperator(c message.AdminRequest, callback func(message.AdminRequest)) {
	aboutController := slices.Contains(controllerQueries, c.What)
	readOnly := aboutController || slices.Contains(recordQueries, c.What)
	authorized := func() bool {
		id, role, err := ts.authenticateOperator(c.Caller)
		if err == nil && !readOnly && role != tenant.RoleChange {
			err = &tenant.Error{Status: 403, Reason: "this key may not change anything"}
		}
		if err != nil {
			ts.RefuseError(c.Req, err)
			return false
		}
		ts.recordKeyUse(operatorsHolder, id)
		c.KeyID = id
		return true
	}
	ts.c.follower.LinearizableRead(func() {
		if authorized() {
			callback(c)
		}
	}, func() {
		s, err := c.Caller.BearerSecret()
		trusted := ts.c.follower.LastReadAt() != 0 && ts.core.Now.Sub(ts.c.follower.LastReadAt()) <= operatorKeyCacheTTL || err == nil && s.ID == ts.hosted.adminKey.ID
		if !aboutController || !ts.core.Loaded || !trusted {
			ts.core.ReplyError(c.Req, 503, "state service not reachable")
			return
		}
		if authorized() {
			callback(c)
		}
	})
}

// decodeRequest reads what an act brings; the error names the field.
func decodeRequest(body []byte, target any) error {
	if len(body) == 0 {
		return nil
	}
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		if typeErr, ok := err.(*json.UnmarshalTypeError); ok {
			return &tenant.Error{Status: 400, Field: typeErr.Field, Reason: "wrong type"}
		}
		return &tenant.Error{Status: 400, Reason: err.Error()}
	}
	return nil
}

// newKey makes a key of what a request was given of random.
func (ts *TenantService) newKey(c message.AdminRequest, name string, expires api.WallTime) (tenant.Key, *NewKeyView, error) {
	if c.Random == nil {
		return tenant.Key{}, nil, &tenant.Error{Status: 503, Reason: "no random bytes"}
	}
	k, s, err := tenant.NewKey(*c.Random, name, ts.core.WallClock, expires)
	if err != nil {
		return k, nil, err
	}
	return k, &NewKeyView{KeyView: viewKey(k), Secret: s.String()}, nil
}

// checkRevision refuses a change that names another revision than the one it would replace.
func checkRevision(expected *api.Revision, current api.Revision, what string) error {
	if expected == nil || *expected != current {
		return &tenant.Error{Status: 409, Field: "revision", Reason: what + " changed since, or no revision is named"}
	}
	return nil
}

func (ts *TenantService) viewOperators(record tenant.Operators, revision api.Revision) OperatorsView {
	v := OperatorsView{AdminKey: ts.hosted.adminKey.ID, AdminKeyRetired: slices.Contains(record.RetiredAdminKeys, ts.hosted.adminKey.ID), Keys: []OperatorKeyView{},
		Networks: record.Networks, Proxies: record.Proxies, CPUs: record.CPUs, GPUs: record.GPUs, Guaranteed: ts.hosted.guaranteed, Revision: revision}
	for _, k := range record.Keys {
		v.Keys = append(v.Keys, OperatorKeyView{viewKey(k.Key), k.Role})
	}
	return v
}

// HandleOperatorsRequest answers a question or an act on the operators' record.
func (ts *TenantService) HandleOperatorsRequest(c message.AdminRequest) error {
	old, revision := ts.hosted.operators, ts.core.State.Version(keyOperators)
	if c.What == "operators" {
		ts.readKeyUses(c, operatorsHolder, func(lastUsed map[tenant.KeyID]api.WallTime) {
			v := ts.viewOperators(old, revision)
			for i := range v.Keys {
				v.Keys[i].LastUsed = lastUsed[v.Keys[i].ID]
			}
			ts.core.Reply(c.Req, 200, v, 0)
		})
		return nil
	}
	var request operatorsRequest
	if err := decodeRequest(c.Body, &request); err != nil {
		return err
	}
	updated := old
	var secret *NewKeyView
	var err error
	switch c.What {
	case "operators-put":
		updated.Networks, updated.Proxies, updated.CPUs, updated.GPUs = request.Networks, request.Proxies, request.CPUs, request.GPUs
		err = updated.Check()
	case "operators-key-add":
		var k tenant.Key
		if k, secret, err = ts.newKey(c, request.Name, request.Expires); err == nil {
			updated, err = updated.Add(k, request.Role)
		}
	case "operators-key-revoke":
		updated, err = updated.Revoke(ts.hosted.adminKey, c.Sub)
	}
	if err != nil {
		return err
	}
	before, after := operatorsAuditView(old), operatorsAuditView(updated)
	if secret == nil && equalJSON(old, updated) {
		ts.core.Reply(c.Req, 200, ts.viewOperators(old, revision), 0) // it is so already: asked again, perhaps
		return nil
	}
	if err := checkRevision(request.Revision, revision, "the operators' record"); err != nil {
		return err
	}
	if err := ts.hosted.guaranteed.CheckBudget(updated); err != nil {
		return err
	}
	// By the proxies as they will be: the next request is judged by them.
	if err := updated.CheckAccessFrom(tenant.ClientAddr(c.Caller.From, c.Caller.Forwarded, updated.Proxies)); err != nil {
		return err
	}
	data, err := json.Marshal(updated)
	if err != nil || ts.core.ExceedsValueSize(data) {
		return &tenant.Error{Status: 400, Field: "networks", Reason: "the record is too large"}
	}
	tx := api.Txn{If: []api.Condition{{Key: keyOperators, Version: revision}, ts.core.State.VersionCondition(keyGuaranteedTotal)},
		Writes: []api.Write{{Put: keyOperators, Value: data}, ts.AuditWrite(c, "operators", before, after)}}
	ts.CommitChange(c, tx, "the operators' record", func(committed api.Revision) any {
		if secret != nil {
			secret.Revision = committed
			return secret
		}
		return ts.viewOperators(updated, committed)
	})
	return nil
}

// CommitChange writes an operators' change and answers with what is shown then.
func (ts *TenantService) CommitChange(c message.AdminRequest, tx api.Txn, what string, view func(api.Revision) any) {
	ts.core.CallStoreTxn(tx, func(a message.StoreResponse) {
		if a.Status == 200 {
			slog.Info("operator change committed", "what", c.What, "id", c.ID, "key", c.KeyID, "from", ts.clientAddr(c.Caller), "revision", a.Txn.Revision)
		}
		ts.ReplyChange(c.Req, a.Status, a.Txn.Revision, what, view)
	})
}

// ReplyChange answers an operators' change by how its write ended.
func (ts *TenantService) ReplyChange(req message.ReqID, status int, revision api.Revision, what string, view func(api.Revision) any) {
	switch status {
	case 200:
		ts.core.Reply(req, 200, view(revision), 0)
		ts.c.follower.LinearizableRead(func() {}, func() {})
	case 409:
		ts.core.ReplyError(req, 409, "revision: "+what+" changed since")
	default:
		ts.core.ReplyError(req, 503, "state service not reachable; the change may or may not have been made")
	}
}

// TeamOwners is whose the teams of a hosted service are.
func (ts *TenantService) TeamOwners() map[api.Team]tenant.Name {
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

func (ts *TenantService) teamJobCount(team api.Team) int {
	count := 0
	for _, j := range ts.core.State.Jobs {
		if j.Spec.Team == team {
			count++
		}
	}
	return count
}

// HandleTeamRequest makes, changes or removes a team beside the platform's.
func (ts *TenantService) HandleTeamRequest(c message.AdminRequest) error {
	var request teamRequest
	if err := decodeRequest(c.Body, &request); err != nil {
		return err
	}
	name := api.Team(c.ID)
	for _, t := range ts.core.Config.Deployment.Teams {
		if t.Name == name {
			return &tenant.Error{Status: 409, Field: "name", Reason: c.ID + " is a team of the platform's file"}
		}
	}
	old, known := ts.hosted.teams[name]
	if !known && c.What == "team-remove" {
		return &tenant.Error{Status: 404, Field: "name", Reason: "there is no team " + c.ID}
	}
	var updated tenant.Team
	var err error
	if c.What == "team-remove" {
		updated, err = old.Team.Remove(ts.TeamOwners()[name], ts.teamJobCount(name))
	} else {
		updated, err = old.Change(tenant.Team{Name: name, CPUs: request.CPUs, GPUs: request.GPUs, CPUsMax: request.CPUsMax, GPUsMax: request.GPUsMax})
	}
	if err != nil {
		return err
	}
	if known && updated == old.Team {
		ts.core.Reply(c.Req, 200, TeamRecordView{Team: updated, Tenant: ts.TeamOwners()[name], Revision: old.Revision}, 0) // asked again, perhaps
		return nil
	}
	if err := checkRevision(request.Revision, old.Revision, "the team"); err != nil {
		return err
	}
	guaranteed, err := ts.hosted.guaranteed.Adjust(old.Team, updated, ts.hosted.operators)
	if err != nil {
		return err
	}
	teamValue, _ := json.Marshal(updated)
	guaranteedValue, _ := json.Marshal(guaranteed)
	// The claim of the team by a tenant is named, so that none is made meanwhile; and the
	// operators' record, so that what is set aside is what was read.
	tx := api.Txn{If: []api.Condition{{Key: keyTeam + c.ID, Version: old.Revision}, ts.core.State.VersionCondition(keyGuaranteedTotal), ts.core.State.VersionCondition(keyOperators)},
		Writes: []api.Write{{Put: keyTeam + c.ID, Value: teamValue}, {Put: keyGuaranteedTotal, Value: guaranteedValue}, ts.AuditWrite(c, "team "+c.ID, old.Team, updated)}}
	if c.What == "team-remove" {
		tx.If = append(tx.If, api.Condition{Key: keyTeamOf + c.ID})
	}
	ts.CommitChange(c, tx, "the team, or what is set aside for teams,", func(revision api.Revision) any {
		return TeamRecordView{Team: updated, Tenant: ts.TeamOwners()[name], Revision: revision}
	})
	return nil
}

// operatorsAuditView is the record as the audit shows it: networks counted, of keys what is
// public.
func operatorsAuditView(record tenant.Operators) any {
	type key struct {
		ID      tenant.KeyID `json:"id"`
		Name    string       `json:"name"`
		Role    tenant.Role  `json:"role"`
		Expires api.WallTime `json:"expires,omitempty"`
	}
	keys := []key{}
	for _, k := range record.Keys {
		keys = append(keys, key{k.ID, k.Name, k.Role, k.Expires})
	}
	return map[string]any{"keys": keys, "networks": record.Networks.Len(), "proxies": record.Proxies.Len(), "cpus": record.CPUs, "gpus": record.GPUs, "retired": record.RetiredAdminKeys}
}

// equalJSON reports whether two values are the same as they are written.
func equalJSON(a, b any) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}
