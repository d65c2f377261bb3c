package core

// This file lists and expires records whose keys begin with a time.

import (
	"fmt"
	"log/slog"
	"strings"
	"time"

	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/internal/exactjson"
)

// TimeKey formats a time as the first part of a key, so that keys sort by time.
func TimeKey(at api.WallTime) string { return fmt.Sprintf("%013d", max(0, at)) }

// ReadPage reads at most limit records whose keys begin with prefix. after is empty for the first
// page, and otherwise the value that the previous page returned. ReadPage passes the records and
// the value of after for the next page, empty at the end, to callback. If the state service does
// not answer, it calls fail. Records that can't be decoded, or whose keys have another prefix, are logged and skipped.
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
		callback(decodeRecords[T](prefix, response.Page.Pairs), next)
	})
}

// decodeRecords decodes records whose keys begin with prefix; others and invalid ones are logged and skipped.
func decodeRecords[T any](prefix string, pairs []api.KeyValue) []T {
	items := []T{}
	for _, pair := range pairs {
		if !strings.HasPrefix(pair.Key, prefix) {
			slog.Error("record outside of the prefix of its page", "prefix", prefix, "key", pair.Key)
			continue
		}
		var item T
		if err := exactjson.Decode(pair.Value, &item); err != nil {
			slog.Error("record could not be decoded", "key", pair.Key, "err", err)
			continue
		}
		items = append(items, item)
	}
	return items
}

// DeleteExpiredRecords deletes records older than retention whose keys are prefix and a time, at most as
// many as fit into one transaction. The transaction is conditional on the ownership of a partition.
// DeleteExpiredRecords calls done when the transaction has ended, whatever its result.
func (k *Core) DeleteExpiredRecords(owned *OwnedPartition, prefix string, retention time.Duration, done func()) {
	cutoff := TimeKey(k.WallClock - api.WallTime(retention.Milliseconds()))
	k.CallStore(message.StoreCall{Page: &message.PageRequest{Prefix: prefix, Limit: k.Config.Deployment.State.TxnOps}}, func(response message.StoreResponse) {
		var deletions []api.Txn
		if response.Status == api.StatusOK {
			for _, pair := range response.Page.Pairs {
				if strings.TrimPrefix(pair.Key, prefix) < cutoff {
					deletions = append(deletions, api.Txn{Writes: []api.Write{{Drop: pair.Key}}})
				}
			}
		}
		txn, _ := k.LargestFittingTxn([]api.Condition{owned.OwnershipCondition()}, deletions, WriteReduction{})
		if len(txn.Writes) == 0 {
			done()
			return
		}
		k.CallStoreTxn(txn, func(message.StoreResponse) { done() })
	})
}
