package tenant

import (
	"encoding/json"
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"basaltwall/api"
	_ "basaltwall/internal/proptest"
)

func testTenant() Tenant {
	return Tenant{Name: "kipper", DisplayName: "Kipper & Mulde", Teams: []api.Team{"dispo"}, State: Active, Rate: 2, Burst: 10, OpenJobs: 100, RetentionSeconds: 3600}
}

func TestCheckNamesTheField(t *testing.T) {
	good := testTenant()
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	for field, corrupt := range map[string]func(*Tenant){
		"name":        func(x *Tenant) { x.Name = "Kipper" },
		"display":     func(x *Tenant) { x.DisplayName = "two\nlines" },
		"teams":       func(x *Tenant) { x.Teams = []api.Team{"a", "b", "a"} },
		"state":       func(x *Tenant) { x.State = "asleep" },
		"rate":        func(x *Tenant) { x.Rate = math.NaN() },
		"burst":       func(x *Tenant) { x.Burst = 0 },
		"open_jobs":   func(x *Tenant) { x.OpenJobs = -1 },
		"drain_s":     func(x *Tenant) { x.DrainSeconds = math.Inf(1) },
		"retention_s": func(x *Tenant) { x.RetentionSeconds = -1 },
		"keys.name":   func(x *Tenant) { x.Keys = []Key{{ID: "0011223344556677", Name: "1st", Hash: make([]byte, 32)}} },
		"keys":        func(x *Tenant) { x.Keys = []Key{{ID: "00", Name: "first", Hash: make([]byte, 32)}} },
	} {
		x := testTenant()
		corrupt(&x)
		var e *Error
		if err := x.Check(); !errors.As(err, &e) || e.Field != field || e.Status != 400 {
			t.Errorf("%s corrupted: %v", field, err)
		}
	}
	for _, name := range []string{"", "-a", "1a", "a b", "a/b", "ä", strings.Repeat("a", 41), "a\x00"} {
		if CheckName("name", name) == nil {
			t.Errorf("%q is accepted as a name", name)
		}
	}
}

// Random sequences of operations follow the transition table of the lifecycle.
func TestLifecycle(t *testing.T) {
	type operation struct {
		name string
		do   func(Tenant, int) (Tenant, error)
	}
	operations := []operation{
		{"suspend", func(x Tenant, _ int) (Tenant, error) { return x.Suspend("unpaid", 60, 1000) }},
		{"resume", func(x Tenant, _ int) (Tenant, error) { return x.Resume() }},
		{"remove", func(x Tenant, open int) (Tenant, error) { return x.Remove(open, false) }},
		{"cancel", func(x Tenant, open int) (Tenant, error) { return x.Remove(open, true) }},
		{"finish", func(x Tenant, open int) (Tenant, error) { return x.FinishRemoval(open) }},
	}
	// The next state by state and operation: without open jobs, with one. An empty state is a refusal.
	transitions := map[State]map[string][2]State{
		Active:    {"suspend": {Suspended, Suspended}, "resume": {Active, Active}, "remove": {}, "cancel": {}, "finish": {}},
		Suspended: {"suspend": {Suspended, Suspended}, "resume": {Active, Active}, "remove": {Removing, ""}, "cancel": {Removing, Removing}, "finish": {}},
		Removing:  {"suspend": {}, "resume": {}, "remove": {Removing, Removing}, "cancel": {Removing, Removing}, "finish": {Removed, ""}},
		Removed:   {"suspend": {}, "resume": {}, "remove": {Removed, Removed}, "cancel": {Removed, Removed}, "finish": {Removed, Removed}},
	}
	rapid.Check(t, func(t *rapid.T) {
		x := testTenant()
		for range rapid.IntRange(1, 12).Draw(t, "operations") {
			a := operations[rapid.IntRange(0, len(operations)-1).Draw(t, "operation")]
			open := rapid.IntRange(0, 1).Draw(t, "open")
			before := x
			after, err := a.do(x, open)
			want := transitions[before.State][a.name][open]
			if (err == nil) != (want != "") || err == nil && after.State != want {
				t.Fatalf("%s in state %s with %d open jobs: %s, %v; expected %q", a.name, before.State, open, after.State, err, want)
			}
			if err == nil {
				if x = after; x.Check() != nil {
					t.Fatalf("%s results in an invalid record: %v", a.name, x.Check())
				}
			}
			if x.MayStartTasks() != (x.State == Active) {
				t.Fatalf("MayStartTasks in state %s: %v", x.State, x.MayStartTasks())
			}
		}
	})
}

func TestKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) (r [KeyRandomBytes]byte) {
			copy(r[:], rapid.SliceOfN(rapid.Byte(), KeyRandomBytes, KeyRandomBytes).Draw(t, label))
			return r
		}
		a, b := draw("a"), draw("b")
		k, s, err := NewKey(a, "first", 1000, 5000)
		if err != nil {
			t.Fatal(err)
		}
		parsed, err := ParseSecret(s.String())
		if err != nil || parsed != s {
			t.Fatalf("%v is parsed as %v: %v", s, parsed, err)
		}
		const clockError = 250 * time.Millisecond
		_, other, _ := NewKey(b, "other", 1000, 0)
		other.ID = k.ID // another secret with the same public id
		for now, valid := range map[api.WallTime]bool{1000: true, 4749: true, 4750: false, 5000: false, 9000: false} {
			if k.Verify(s, now, clockError) != valid {
				t.Errorf("at %d: verified %v", now, !valid)
			}
		}
		if a != b && string(a[keyIDBytes:]) != string(b[keyIDBytes:]) && k.Verify(other, 1000, clockError) {
			t.Error("the key verifies another key's secret")
		}
		data, err := json.Marshal(k)
		if err != nil || strings.Contains(string(data), strings.Split(s.String(), ".")[2]) {
			t.Errorf("the record contains the secret: %s", data)
		}
		// A secret with one altered character does not verify.
		altered := []byte(s.String())
		i := rapid.IntRange(0, len(altered)-1).Draw(t, "at")
		altered[i] ^= byte(rapid.IntRange(1, 127).Draw(t, "by"))
		if parsedAltered, err := ParseSecret(string(altered)); err == nil && k.Verify(parsedAltered, 1000, clockError) {
			t.Errorf("the altered secret %q verifies as %q does", altered, s)
		}
	})
}

func FuzzParseSecret(f *testing.F) {
	_, s, _ := NewKey([KeyRandomBytes]byte{}, "first", 0, 0)
	f.Add(s.String())
	f.Add("bw1..")
	f.Fuzz(func(t *testing.T, text string) {
		if s, err := ParseSecret(text); err == nil && s.String() != text {
			t.Errorf("%q is parsed as %q", text, s)
		}
	})
}

func TestJobIDs(t *testing.T) {
	a, b := JobID("kipper", "run-1"), JobID("lopresti", "run-1")
	if a == b || !api.ValidJobID(string(a)) || a != JobID("kipper", "run-1") {
		t.Errorf("%s and %s", a, b)
	}
	// The derived id depends on where the name ends and the job id begins.
	if JobID("a", "run-1") == JobID("arun-", "1") {
		t.Error("two jobs have the same id")
	}
}
