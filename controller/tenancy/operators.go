package tenancy

// This file answers requests about the operators' record: their keys, allowed networks, trusted
// proxies, and the capacity budget for teams that operators define.

import (
	"encoding/json"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/tenant"
)

type (
	// OperatorsView is the operators' record as shown to operators.
	OperatorsView struct {
		AdminKey        tenant.KeyID           `json:"first"` // from the configuration of this controller
		AdminKeyRevoked bool                   `json:"first_retired"`
		Keys            []OperatorKeyView      `json:"keys"`
		Networks        tenant.Networks        `json:"networks"`
		Proxies         tenant.Networks        `json:"proxies"`
		TeamCPUBudget   float64                `json:"cpus"`
		TeamGPUBudget   float64                `json:"gpus"`
		Guaranteed      tenant.GuaranteedTotal `json:"given"`
		Revision        api.Revision           `json:"revision"`
	}
	// OperatorKeyView is an operator key without its secret.
	OperatorKeyView struct {
		KeyView
		Role tenant.Role `json:"role"`
	}
	// OperatorsRequest is the body of a request that changes the operators' record; the operation
	// determines which fields are used.
	OperatorsRequest struct {
		Revision *api.Revision   `json:"revision"`
		Networks tenant.Networks `json:"networks"`
		Proxies  tenant.Networks `json:"proxies"`
		CPUs     float64         `json:"cpus"`
		GPUs     float64         `json:"gpus"`
		Name     string          `json:"name"`
		Role     tenant.Role     `json:"role"`
		Expires  api.WallTime    `json:"expires"`
	}
)

func (ts *Service) viewOperators(record tenant.Operators, revision api.Revision) OperatorsView {
	v := OperatorsView{
		AdminKey:        ts.hosted.adminKey.ID,
		AdminKeyRevoked: slices.Contains(record.RevokedAdminKeys, ts.hosted.adminKey.ID),
		Keys:            []OperatorKeyView{},
		Networks:        record.Networks,
		Proxies:         record.Proxies,
		TeamCPUBudget:   record.TeamCPUBudget,
		TeamGPUBudget:   record.TeamGPUBudget,
		Guaranteed:      ts.hosted.guaranteed,
		Revision:        revision,
	}
	for _, k := range record.Keys {
		v.Keys = append(v.Keys, OperatorKeyView{KeyView: viewKey(k.Key), Role: k.Role})
	}
	return v
}

// HandleOperatorsRequest serves a query about the operators' record or a change of it. The caller
// must answer a returned error as a refusal.
func (ts *Service) HandleOperatorsRequest(c message.AdminRequest) error {
	old, revision := ts.hosted.operators, ts.core.State.Version(KeyOperators)
	if c.What == "operators" {
		ts.showOperators(c, old, revision)
		return nil
	}
	var request OperatorsRequest
	if err := core.DecodeRequest(c.Body, &request); err != nil {
		return err
	}
	updated, secret, err := ts.applyOperatorsChange(c, old, request)
	if err != nil {
		return err
	}
	if secret == nil && core.EqualJSON(old, updated) {
		ts.core.Reply(c.Req, 200, ts.viewOperators(old, revision), 0) // no change, for instance a retry
		return nil
	}
	if err := core.CheckRevision(request.Revision, revision, "the operators' record"); err != nil {
		return err
	}
	if err := ts.hosted.guaranteed.CheckBudget(updated); err != nil {
		return err
	}
	// The check uses the new proxies, as the next request will.
	if err := updated.CheckAccessFrom(tenant.ClientAddr(c.Caller.From, c.Caller.Forwarded, updated.Proxies)); err != nil {
		return err
	}
	data, err := json.Marshal(updated)
	if err != nil || ts.core.ExceedsValueSize(data) {
		return &tenant.Error{Status: 400, Field: "networks", Reason: "the record is too large"}
	}
	txn := api.Txn{
		If:     []api.Condition{{Key: KeyOperators, Version: revision}, ts.core.State.VersionCondition(KeyGuaranteedTotal)},
		Writes: []api.Write{{Put: KeyOperators, Value: data}, ts.NewAuditWrite(c, "operators", viewAuditedOperators(old), viewAuditedOperators(updated))},
	}
	ts.CommitChange(c, txn, "the operators' record", func(committed api.Revision) any {
		if secret != nil {
			secret.Revision = committed
			return secret
		}
		return ts.viewOperators(updated, committed)
	})
	return nil
}

// showOperators answers with the operators' record and when its keys were last used.
func (ts *Service) showOperators(c message.AdminRequest, record tenant.Operators, revision api.Revision) {
	ts.readKeyUses(c, OperatorsHolder, func(lastUsed map[tenant.KeyID]api.WallTime) {
		v := ts.viewOperators(record, revision)
		for i := range v.Keys {
			v.Keys[i].LastUsed = lastUsed[v.Keys[i].ID]
		}
		ts.core.Reply(c.Req, 200, v, 0)
	})
}

// applyOperatorsChange returns the operators' record after a change, and the key if one is created.
func (ts *Service) applyOperatorsChange(c message.AdminRequest, record tenant.Operators, request OperatorsRequest) (tenant.Operators, *NewKeyView, error) {
	switch c.What {
	case "operators-put":
		record.Networks, record.Proxies, record.TeamCPUBudget, record.TeamGPUBudget = request.Networks, request.Proxies, request.CPUs, request.GPUs
		err := record.Check()
		return record, nil, err
	case "operators-key-add":
		k, secret, err := ts.newKey(c, request.Name, request.Expires)
		if err != nil {
			return record, nil, err
		}
		record, err = record.Add(k, request.Role)
		return record, secret, err
	case "operators-key-revoke":
		record, err := record.Revoke(ts.hosted.adminKey, c.Sub)
		return record, nil, err
	}
	return record, nil, nil
}

type (
	// auditedOperators is the operators' record in the audit log, with counts of networks and
	// proxies.
	auditedOperators struct {
		TeamCPUBudget    float64              `json:"cpus"`
		TeamGPUBudget    float64              `json:"gpus"`
		Keys             []auditedOperatorKey `json:"keys"`
		Networks         int                  `json:"networks"`
		Proxies          int                  `json:"proxies"`
		RevokedAdminKeys []tenant.KeyID       `json:"retired"`
	}
	// auditedOperatorKey is an operator key in the audit log.
	auditedOperatorKey struct {
		ID      tenant.KeyID `json:"id"`
		Name    string       `json:"name"`
		Role    tenant.Role  `json:"role"`
		Expires api.WallTime `json:"expires,omitempty"`
	}
)

func viewAuditedOperators(record tenant.Operators) auditedOperators {
	v := auditedOperators{
		TeamCPUBudget:    record.TeamCPUBudget,
		TeamGPUBudget:    record.TeamGPUBudget,
		Keys:             []auditedOperatorKey{},
		Networks:         record.Networks.Len(),
		Proxies:          record.Proxies.Len(),
		RevokedAdminKeys: record.RevokedAdminKeys,
	}
	for _, k := range record.Keys {
		v.Keys = append(v.Keys, auditedOperatorKey{ID: k.ID, Name: k.Name, Role: k.Role, Expires: k.Expires})
	}
	return v
}
