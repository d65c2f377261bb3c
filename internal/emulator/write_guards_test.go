package emulator

import (
	"strings"
	"testing"

	"basaltwall/api"
)

// Writes that lack a condition, and writes of unknown kinds of keys, are found.
func TestUnguardedWritesAreFound(t *testing.T) {
	on := func(keys ...string) (out []api.Condition) {
		for _, k := range keys {
			out = append(out, api.Condition{Key: k, Version: 1})
		}
		return out
	}
	put := func(key string) []api.Write { return []api.Write{{Put: key}} }
	transfer := []api.Write{{Put: "b/lend/i-1", Value: []byte(`{"part":"2","transferred":true,"tasks":[{"j":"run-1","+":[{"i":0,"m":"i-1","s":1}]}]}`)}}
	for _, tc := range []struct {
		t    api.Txn
		want string
	}{
		{api.Txn{If: on("b/round/1/7", "b/part/1"), Writes: put("b/round/1/7")}, ""},
		{api.Txn{If: on("b/round/1/7"), Writes: put("b/round/1/7")}, "any of"},
		{api.Txn{If: on("b/part/1"), Writes: put("b/round/1/7")}, "own version"},
		{api.Txn{If: on("b/job/run-1"), Writes: put("b/job/run-2")}, "own version"},
		{api.Txn{If: on("b/part/0"), Writes: []api.Write{{Drop: "b/lend/i-1"}}}, "own version"},
		{api.Txn{Writes: []api.Write{{Put: "b/member/stone-0", Lease: 3}}}, ""},
		{api.Txn{Writes: put("b/member/stone-0")}, "lease"},
		{api.Txn{If: on("b/lend/i-1", "b/part/1", "b/job/run-1"), Writes: transfer}, ""},
		{api.Txn{If: on("b/lend/i-1", "b/part/1", "b/job/run-2"), Writes: transfer}, "tasks of run-1"},
		{api.Txn{If: on("b/new/1", "b/part/1"), Writes: put("b/new/1")}, "no write guard"},
	} {
		if got := missingGuard(&tc.t); tc.want == "" && got != "" || !strings.Contains(got, tc.want) {
			t.Errorf("%v: %q, expected %q", tc.t, got, tc.want)
		}
	}
}
