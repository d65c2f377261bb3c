package tenant

import (
	"encoding/json"
	"fmt"
	"testing"

	"basaltwall/api"
	"basaltwall/internal/golden"
)

// TestGolden checks that records, keys and job ids are encoded and decoded as by earlier versions.
func TestGolden(t *testing.T) {
	f := golden.Open(t)
	networks, err := ParseNetworks([]string{"10.0.0.0/8", "2001:db8::/32", "192.0.2.7"})
	if err != nil {
		t.Fatal(err)
	}
	golden.JSON(f, "networks", networks)
	golden.JSON(f, "tenant", golden.Filled[Tenant](t, networks))
	golden.JSON(f, "empty tenant", Tenant{})
	golden.JSON(f, "operators", golden.Filled[Operators](t, networks))
	golden.JSON(f, "empty operators", Operators{})
	golden.JSON(f, "team", golden.Filled[Team](t))
	golden.JSON(f, "empty team", Team{})
	golden.JSON(f, "given", golden.Filled[GuaranteedTotal](t))
	f.Text("values", fmt.Sprint(Active, Suspended, Removing, Removed, RoleRead, RoleChange, AdminKeyName))
	f.Text("job id", string(JobID("kipper", "run-17")))

	// Keys are stored as hashes: a key and a secret written by an earlier version must still match.
	random := [KeyRandomBytes]byte{}
	for i := range random {
		random[i] = byte(i + 1)
	}
	key, secret, err := NewKey(random, "laptop", 1000, 2000)
	if err != nil {
		t.Fatal(err)
	}
	f.Text("secret", secret.String())
	record := Tenant{Name: "kipper", Teams: []api.Team{"red"}, State: Active, RetentionSeconds: 3600, Keys: []Key{key}}
	data := golden.JSON(f, "tenant with a key", record)
	table := NewTable()
	if err := table.Put("kipper", json.RawMessage(data), 7); err != nil {
		t.Fatal(err)
	}
	golden.Same(t, "entry", *table.Get("kipper"), Entry{record, 7})
	read, err := ParseSecret(secret.String())
	if err != nil {
		t.Fatal(err)
	}
	if e, k := table.Find(read.ID); e == nil || k == nil || !k.Verify(read, 1500, 0) || k.Verify(read, 2000, 0) {
		t.Error("the stored key does not verify its secret, or verifies it after its expiry")
	}
}
