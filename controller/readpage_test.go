package controller

import (
	"encoding/json"
	"slices"
	"testing"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
)

// A page has only the records that lie under its prefix, whatever the key-value store answers (review/3).
func TestPageLeavesOutOtherPrefixes(t *testing.T) {
	n, _, _, _ := newTestOwner(t, testSpec(1))
	n.core.Effects = nil
	var got []string
	core.ReadPage(n.core, "history/a/", "", 10, func(items []string, _ string) { got = items }, func() { t.Error("the read fails") })
	calls := takeStoreCalls(n)
	if len(calls) != 1 {
		t.Fatalf("%d calls, expected 1", len(calls))
	}
	page := api.KeyPage{Pairs: []api.KeyValue{
		{Key: "history/a/1", Value: json.RawMessage(`"own"`)},
		{Key: "history/b/1", Value: json.RawMessage(`"other"`)},
	}}
	n.core.CompleteCall(calls[0].ID, message.StoreResponse{ID: calls[0].ID, Status: api.StatusOK, Page: page})
	if !slices.Equal(got, []string{"own"}) {
		t.Errorf("read %v", got)
	}
}
