package tenancy

// This file keeps when keys were last used.

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/message"
	"basaltwall/tenant"
)

// KeyLastUse holds when keys were last used: HOLDER/KEY. It lies outside the root.
const KeyLastUse = "used/"

// OperatorsHolder stands for the operators where else a tenant's name does; no tenant's name
// begins so.
const OperatorsHolder = tenant.Name("-")

const (
	// lastUseGranularity is how coarse the last use of a key is recorded.
	lastUseGranularity = time.Hour
	// lastUseWriteInterval is how often a transaction of them is written at most.
	lastUseWriteInterval = 10 * time.Second
)

// keyUse is a key that was used, and whose it is.
type keyUse struct {
	holder tenant.Name
	key    tenant.KeyID
}

// keyUses is what a controller records of the use of keys. What it has not written yet is lost
// with its process: an hour at most, or longer if more keys are used than it may write.
type keyUses struct {
	lastUsed      map[keyUse]api.WallTime // the hour of the last use, written or waiting to be
	pending       []keyUse                // to be written, the oldest first
	nextWrite     api.Time
	writeInFlight bool
}

// recordKeyUse records that a key was used; the admin key of the configuration is left out.
func (ts *Service) recordKeyUse(holder tenant.Name, key tenant.KeyID) {
	use := keyUse{holder: holder, key: key}
	at := ts.core.WallClock - ts.core.WallClock%api.WallTime(lastUseGranularity.Milliseconds())
	uses := &ts.hosted.keyUses
	if before, recorded := uses.lastUsed[use]; recorded && before >= at || ts.hosted.adminKey.ID == key {
		return
	}
	if uses.lastUsed == nil {
		uses.lastUsed = map[keyUse]api.WallTime{}
	}
	uses.lastUsed[use] = at
	if !slices.Contains(uses.pending, use) {
		uses.pending = append(uses.pending, use)
	}
}

// flushKeyUses writes the uses that were recorded, a transaction at a time.
func (ts *Service) flushKeyUses() {
	uses := &ts.hosted.keyUses
	if uses.writeInFlight || len(uses.pending) == 0 || ts.core.Now < uses.nextWrite || ts.core.Overloaded() || ts.core.StoreUnreachable() {
		return
	}
	uses.writeInFlight, uses.nextWrite = true, ts.core.Now.Add(lastUseWriteInterval)
	batch := uses.pending[:min(len(uses.pending), ts.core.Config.Deployment.State.TxnOps)]
	uses.pending = slices.Clone(uses.pending[len(batch):])
	txn := api.Txn{If: []api.Condition{ts.core.State.VersionCondition(clusterstate.KeyMember + string(ts.core.Config.Label))}}
	for _, use := range batch {
		value, _ := json.Marshal(uses.lastUsed[use])
		txn.Writes = append(txn.Writes, api.Write{Put: KeyLastUse + string(use.holder) + "/" + string(use.key), Value: value})
	}
	ts.core.CallStoreTxn(txn, func(response message.StoreResponse) {
		uses.writeInFlight = false
		if response.Status != 200 {
			uses.pending = append(uses.pending, batch...)
		}
	})
}

// readKeyUses reads when a holder's keys were last used, as far as it has been written.
func (ts *Service) readKeyUses(c message.AdminRequest, holder tenant.Name, callback func(map[tenant.KeyID]api.WallTime)) {
	prefix := KeyLastUse + string(holder) + "/"
	ts.core.CallStore(message.StoreCall{Page: &message.PageRequest{Prefix: prefix}}, func(response message.StoreResponse) {
		if response.Status != 200 {
			ts.core.ReplyError(c.Req, 503, reasonStoreUnreachable)
			return
		}
		lastUsed := map[tenant.KeyID]api.WallTime{}
		for _, pair := range response.Page.Pairs {
			var at api.WallTime
			if json.Unmarshal(pair.Value, &at) == nil {
				lastUsed[tenant.KeyID(strings.TrimPrefix(pair.Key, prefix))] = at
			}
		}
		callback(lastUsed)
	})
}
