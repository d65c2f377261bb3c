package state

import (
	"fmt"
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/controller/message"
	"basaltwall/httpx"
	"basaltwall/internal/golden"
)

// TestGolden checks that requests to the key-value store and its responses keep the encoding of earlier
// versions.
func TestGolden(t *testing.T) {
	f := golden.Open(t)
	txn := golden.Filled[api.Txn](t)
	for _, x := range []struct {
		name string
		call message.StoreCall
	}{
		{"transaction", message.StoreCall{ID: 1, Txn: &txn, Timeout: time.Second}},
		{"empty transaction", message.StoreCall{ID: 1, Txn: &api.Txn{}}},
		{"changes", message.StoreCall{ID: 1, Changes: &message.ChangesRequest{Since: 7, Wait: 1500 * time.Millisecond}}},
		{"changes under", message.StoreCall{ID: 1, Changes: &message.ChangesRequest{Since: 7, Prefix: "s/"}}},
		{"page", message.StoreCall{ID: 1, Page: &message.PageRequest{}}},
		{"page under", message.StoreCall{ID: 1, Page: &message.PageRequest{After: "history/kipper/1", Prefix: "history/kipper/", Limit: 20}}},
		{"get", message.StoreCall{ID: 1, Get: "final/run-1"}},
		{"lease", message.StoreCall{ID: 1, GrantLease: 12 * time.Second}},
		{"renew", message.StoreCall{ID: 1, RenewLease: 9}},
	} {
		method, target, body, err := Request(x.call)
		if err != nil {
			t.Fatalf("%s: %v", x.name, err)
		}
		f.Text(x.name, fmt.Sprintf("%s %s\n%s", method, target, body))
	}

	txnAnswer, changes, page := golden.Filled[api.TxnResponse](t), golden.Filled[api.Changes](t), golden.Filled[api.KeyPage](t)
	pair, lease := golden.Filled[api.KeyValue](t), golden.Filled[api.LeaseResponse](t)
	txnData, changesData := golden.JSON(f, "transaction answer", txnAnswer), golden.JSON(f, "changes answer", changes)
	pageData, pairData, leaseData := golden.JSON(f, "page answer", page), golden.JSON(f, "get answer", pair), golden.JSON(f, "lease answer", lease)
	for _, x := range []struct {
		name   string
		call   message.StoreCall
		status int
		body   []byte
		want   message.StoreResponse
	}{
		{"transaction answer", message.StoreCall{ID: 2, Txn: &txn}, 200, txnData, message.StoreResponse{Txn: txnAnswer}},
		{"transaction refused", message.StoreCall{ID: 2, Txn: &txn}, 409, txnData, message.StoreResponse{Txn: txnAnswer}},
		{"changes answer", message.StoreCall{ID: 2, Changes: &message.ChangesRequest{}}, 200, changesData, message.StoreResponse{Changes: changes}},
		{"changes gone", message.StoreCall{ID: 2, Changes: &message.ChangesRequest{}}, 410, changesData, message.StoreResponse{}},
		{"page answer", message.StoreCall{ID: 2, Page: &message.PageRequest{}}, 200, pageData, message.StoreResponse{Page: page}},
		{"get answer", message.StoreCall{ID: 2, Get: "x"}, 200, pairData, message.StoreResponse{Pair: pair}},
		{"lease answer", message.StoreCall{ID: 2, GrantLease: 1}, 200, leaseData, message.StoreResponse{Lease: lease.Lease}},
		{"renew answer", message.StoreCall{ID: 2, RenewLease: 1}, 200, leaseData, message.StoreResponse{}},
	} {
		x.want.ID, x.want.Status = 2, x.status
		golden.Same(t, x.name, ParseResponse(x.call, httpx.Response{Status: x.status, Body: x.body}, nil), x.want)
	}
}
