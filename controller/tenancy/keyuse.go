package tenancy

// This file records when keys were last used.

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/internal/exactjson"
	"basaltwall/tenant"
)

// KeyLastUse is the prefix of the times of last use; a key ends in HOLDER/KEY. The prefix is outside the
// root.
const KeyLastUse = "used/"

// OperatorsHolder is the holder of the operators' keys; it is not a valid tenant name.
const OperatorsHolder = tenant.Name("-")

const (
	// lastUseGranularity is the precision of the recorded time of last use.
	lastUseGranularity = time.Hour
	// lastUseWriteInterval is the minimum interval between writes of times of last use.
	lastUseWriteInterval = 10 * time.Second
)

// keyUse is a key and its holder.
type keyUse struct {
	holder tenant.Name
	key    tenant.KeyID
}

// keyUses are the uses of keys at this controller. Unwritten uses are lost when the process ends.
type keyUses struct {
	lastUsed      map[keyUse]api.WallTime // start of the hour of the last use, written or pending
	pending       []keyUse                // not written yet, the oldest first
	nextWrite     api.Time
	writeInFlight bool
}

// recordKeyUse records the use of a key, except for the admin key of the configuration.
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

// flushKeyUses writes pending uses, in one transaction per lastUseWriteInterval.
func (ts *Service) flushKeyUses() {
	uses := &ts.hosted.keyUses
	if uses.writeInFlight || len(uses.pending) == 0 || ts.core.Now < uses.nextWrite || ts.core.Overloaded() || ts.core.StoreUnreachable() {
		return
	}
	uses.writeInFlight, uses.nextWrite = true, ts.core.Now.Add(lastUseWriteInterval)
	var writes []api.Txn
	for _, use := range uses.pending[:min(len(uses.pending), ts.core.Config.Deployment.State.TxnOps)] {
		value, _ := json.Marshal(uses.lastUsed[use])
		writes = append(writes, api.Txn{Writes: []api.Write{{Put: KeyLastUse + string(use.holder) + "/" + string(use.key), Value: value}}})
	}
	condition := ts.core.State.VersionCondition(clusterstate.KeyMember + string(ts.core.Config.Label))
	txn, count := ts.core.LargestFittingTxn([]api.Condition{condition}, writes, core.WriteReduction{})
	batch := uses.pending[:count]
	uses.pending = slices.Clone(uses.pending[count:])
	ts.core.CallStoreTxn(txn, func(response message.StoreResponse) {
		uses.writeInFlight = false
		if response.Status != 200 && response.Status != api.StatusBadRequest { // a refused write would be refused again
			uses.pending = append(uses.pending, batch...)
		}
	})
}

// readKeyUses reads the recorded times of last use of a holder's keys.
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
			if exactjson.Decode(pair.Value, &at) == nil {
				lastUsed[tenant.KeyID(strings.TrimPrefix(pair.Key, prefix))] = at
			}
		}
		callback(lastUsed)
	})
}
