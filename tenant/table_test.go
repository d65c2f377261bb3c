package tenant

import (
	"encoding/json"
	"fmt"
	"testing"

	"basaltwall/api"
)

// testRecords returns the records of 2,000 tenants with 5,000 keys in total.
func testRecords(t testing.TB) map[string]json.RawMessage {
	t.Helper()
	out := map[string]json.RawMessage{}
	for i := range 2000 {
		x := testTenant()
		x.Name = Name(fmt.Sprintf("tenant-%04d", i))
		for k := i; k < 5000; k += 2000 {
			key, _, err := NewKey([KeyRandomBytes]byte{byte(k), byte(k >> 8)}, fmt.Sprintf("k%d", k/2000), 1000, 0)
			if err != nil {
				t.Fatal(err)
			}
			x.Keys = append(x.Keys, key)
		}
		data, err := json.Marshal(x)
		if err != nil {
			t.Fatal(err)
		}
		out[string(x.Name)] = data
	}
	return out
}

// A revoked key is not found, and an invalid record leaves the previous one in force.
func TestTableAppliesRecords(t *testing.T) {
	table := NewTable()
	for name, data := range testRecords(t) {
		if err := table.Put(name, data, 5); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(table.Names()); n != 2000 || len(table.keys) != 5000 {
		t.Errorf("%d tenants, %d keys", n, len(table.keys))
	}
	e := table.Get("tenant-0007")
	old := e.Keys[0].ID
	now := e.Tenant
	now.Keys = now.Keys[1:]
	data, err := json.Marshal(now)
	if err != nil {
		t.Fatal(err)
	}
	if err := table.Put("tenant-0007", data, 6); err != nil {
		t.Fatal(err)
	}
	if e, _ := table.Find(old); e != nil {
		t.Error("a revoked key is found")
	}
	if e, k := table.Find(now.Keys[0].ID); e == nil || e.Name != "tenant-0007" || k.Name != "k1" || e.Revision != api.Revision(6) {
		t.Errorf("%+v %+v", e, k)
	}
	if err := table.Put("tenant-0008", []byte(`{"name":"tenant-0009"}`), 7); err == nil || table.Get("tenant-0008") == nil {
		t.Errorf("an invalid record: %v; the previous one is in force: %v", err, table.Get("tenant-0008") != nil)
	}
}

// BenchmarkTable loads 2,000 tenants with 5,000 keys; B/op is an upper bound of their memory use.
func BenchmarkTable(b *testing.B) {
	all := testRecords(b)
	b.ReportAllocs()
	for b.Loop() {
		table := NewTable()
		for name, data := range all {
			if err := table.Put(name, data, 5); err != nil {
				b.Fatal(err)
			}
		}
	}
}
