package pools

// This file answers operators' requests about pools.

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/pool"
	"basaltwall/tenant"
)

// ChangeRequest is the body of a request that creates or changes a pool.
type ChangeRequest struct {
	Revision *api.Revision `json:"revision"`
	Unit     string        `json:"unit"`
	Size     int           `json:"size"`
	MaxSize  int           `json:"largest"`
	Teams    []api.Team    `json:"teams"`
	Tenants  []tenant.Name `json:"tenants"`
	Frozen   bool          `json:"frozen"`
	Reclaim  bool          `json:"reclaim"`

	Guaranteed map[api.Team]int `json:"guaranteed"`
}

// HandlePoolRequest serves an operator's query about pools or a change of one. The caller must
// answer a returned error as a refusal.
func (pm *Manager) HandlePoolRequest(c message.AdminRequest) error {
	if c.What == "pools" {
		views := []View{}
		for _, name := range pm.table.Names() {
			entry := pm.table.Get(name)
			views = append(views, pm.view(entry.Pool, entry.Revision))
		}
		pm.core.Reply(c.Req, 200, views, 0)
		return nil
	}
	name := api.PoolName(c.ID)
	entry := pm.table.Get(name)
	if entry == nil && c.What != "pool-put" {
		return &tenant.Error{Status: 404, Field: "name", Reason: "there is no pool " + c.ID}
	}
	if c.What == "pool" {
		v := pm.view(entry.Pool, entry.Revision)
		v.Holders = pm.holders(name)
		pm.core.Reply(c.Req, 200, v, 0)
		return nil
	}
	var request ChangeRequest
	if err := core.DecodeRequest(c.Body, &request); err != nil {
		return err
	}
	return pm.changePool(c, entry, request)
}

// changePool creates, changes or removes a pool; entry is nil for a new one.
func (pm *Manager) changePool(c message.AdminRequest, entry *pool.Entry, request ChangeRequest) error {
	name := api.PoolName(c.ID)
	var previous pool.Pool
	var revision api.Revision
	if entry != nil {
		previous, revision = entry.Pool, entry.Revision
	}
	next := applyChange(c, previous, request)
	// The held units are as of the read of the record or later. Once the new record is written,
	// no partition can allocate units under the old one.
	if next.Size != previous.Size || len(next.Shares) == 0 {
		next.Shares = pool.AllocateShares(next.Size, pm.heldByPartition(name), pm.preferPlaceable(pm.requests(name)))
	}
	if err := pm.checkPool(next); err != nil {
		return err
	}
	if entry != nil && core.EqualJSON(previous, next) {
		pm.core.Reply(c.Req, 200, pm.view(next, revision), 0) // no change, for instance a retry
		return nil
	}
	if err := core.CheckRevision(request.Revision, revision, "the pool"); err != nil {
		return err
	}
	if c.What == "pool-remove" {
		if held, waiting := pm.PoolHeldTotal(name), len(pm.requests(name)); held > 0 || waiting > 0 {
			return &tenant.Error{Status: 409, Field: "name", Reason: fmt.Sprintf("%d units of %s are held and %d jobs wait for the pool: freeze the pool or cancel the jobs", held, name, waiting)}
		}
	}
	data, err := json.Marshal(next)
	if err != nil || pm.core.ExceedsValueSize(data) {
		return &tenant.Error{Status: 400, Field: "teams", Reason: "the record is too large"}
	}
	var before any
	if entry != nil {
		before = previous
	}
	key := core.KeyPool + c.ID
	txn := api.Txn{If: []api.Condition{{Key: key, Version: revision}}, Writes: []api.Write{{Put: key, Value: data}, pm.deps.Tenancy.NewAuditWrite(c, "pool "+c.ID, before, next)}}
	pm.deps.Tenancy.CommitChange(c, txn, "the pool", func(committed api.Revision) any { return pm.view(next, committed) })
	return nil
}

// applyChange returns a pool after a request, with unchanged shares.
func applyChange(c message.AdminRequest, p pool.Pool, request ChangeRequest) pool.Pool {
	if c.What == "pool-remove" {
		p.State = pool.Removed
		return p
	}
	p.Name, p.Unit, p.Size, p.MaxSize = api.PoolName(c.ID), request.Unit, request.Size, max(request.MaxSize, request.Size)
	p.Teams, p.Tenants, p.Guaranteed = request.Teams, request.Tenants, request.Guaranteed
	p.State, p.Reclaim = pool.Active, request.Reclaim
	if request.Frozen {
		p.State = pool.Frozen
	}
	return p
}

// checkPool returns an error if a pool is invalid or names teams or tenants that do not exist.
func (pm *Manager) checkPool(p pool.Pool) error {
	if err := p.Validate(len(pm.core.State.Partitions)); err != nil {
		return err
	}
	for _, team := range slices.Concat(p.Teams, slices.Sorted(maps.Keys(p.Guaranteed))) {
		if _, known := pm.core.Teams[team]; !known {
			return &tenant.Error{Status: 422, Field: "teams", Reason: "there is no team " + string(team)}
		}
	}
	for _, name := range p.Tenants {
		if !pm.deps.Tenancy.HasTenant(name) {
			return &tenant.Error{Status: 422, Field: "tenants", Reason: "there is no tenant " + string(name)}
		}
	}
	return nil
}
