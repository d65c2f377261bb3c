package core

// This file holds the records whose keys begin with a time: they are listed in pages, and deleted
// once they have been kept for long enough.

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"basaltwall/api"
	"basaltwall/controller/message"
)

// TimeKey is a time as the first part of a key, so that keys sort by time.
func TimeKey(at api.WallTime) string { return fmt.Sprintf("%013d", max(0, at)) }

// ReadPage reads at most limit records whose keys begin with prefix and follow after, which is
// empty for the first page. It hands the records to callback with the value of after for the next
// page, empty at the end, or calls fail if the state service does not answer. A record that can't
// be decoded is logged and left out.
func ReadPage[T any](k *Core, prefix, after string, limit int, callback func(items []T, next string), fail func()) {
	start := ""
	if after != "" {
		start = prefix + after
	}
	k.CallStore(message.StoreCall{Page: &message.PageRequest{Prefix: prefix, After: start, Limit: limit}}, func(response message.StoreResponse) {
		if response.Status != api.StatusOK {
			fail()
			return
		}
		next := ""
		if pairs := response.Page.Pairs; response.Page.More && len(pairs) > 0 {
			next = strings.TrimPrefix(pairs[len(pairs)-1].Key, prefix)
		}
		callback(decodeRecords[T](response.Page.Pairs), next)
	})
}

// decodeRecords decodes the records that can be; the others are logged.
func decodeRecords[T any](pairs []api.KeyValue) []T {
	items := []T{}
	for _, pair := range pairs {
		var item T
		if err := json.Unmarshal(pair.Value, &item); err != nil {
			slog.Error("record could not be decoded", "key", pair.Key, "err", err)
			continue
		}
		items = append(items, item)
	}
	return items
}

// SweepPrefix deletes one transaction's worth of the keys under a prefix, which a time follows,
// that are older than retention. It does so as the owner of a partition and calls done when the
// transaction is over, however it ended.
func (k *Core) SweepPrefix(owned *OwnedPartition, prefix string, retention time.Duration, done func()) {
	cutoff := TimeKey(k.WallClock - api.WallTime(retention.Milliseconds()))
	k.CallStore(message.StoreCall{Page: &message.PageRequest{Prefix: prefix, Limit: k.Config.Deployment.State.TxnOps}}, func(response message.StoreResponse) {
		txn := api.Txn{If: []api.Condition{owned.OwnershipCondition()}}
		if response.Status == api.StatusOK {
			for _, pair := range response.Page.Pairs {
				if strings.TrimPrefix(pair.Key, prefix) < cutoff {
					txn.Writes = append(txn.Writes, api.Write{Drop: pair.Key})
				}
			}
		}
		if len(txn.Writes) == 0 {
			done()
			return
		}
		k.CallStoreTxn(txn, func(message.StoreResponse) { done() })
	})
}
