package tenant

import (
	"encoding/json"
	"errors"
	"math"
	"net/netip"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"basaltwall/api"
)

// Whatever operators do to their keys, one with RoleChange that never expires is left,
// and each authenticates as it was made to until it is revoked.
func TestOperatorsNeverLockedOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		secret := func(b byte) Secret {
			return Secret{ID: KeyID("00112233445566" + string("0123456789abcdef"[b%16]) + "0"), data: [secretBytes]byte{b}}
		}
		first := secret(15)
		var o Operators
		model := map[string]Role{} // by name
		names := []string{"a", "b", "c"}
		retired := false
		for range rapid.IntRange(1, 30).Draw(t, "acts") {
			i := rapid.IntRange(0, len(names)-1).Draw(t, "key")
			name := names[i]
			switch rapid.IntRange(0, 2).Draw(t, "act") {
			case 0:
				k := secret(byte(i)).Key(name)
				role := rapid.SampledFrom([]Role{RoleRead, RoleChange}).Draw(t, "role")
				next, err := o.Add(k, role)
				if _, there := model[name]; (err == nil) == there {
					t.Fatalf("added %s, there already %v: %v", name, there, err)
				}
				if err == nil {
					o, model[name] = next, role
				}
			default:
				if rapid.IntRange(0, 4).Draw(t, "first") == 0 {
					name = AdminKeyName
				}
				next, err := o.Revoke(first.Key("admin"), name)
				if err == nil {
					o = next
					delete(model, name)
					retired = retired || name == AdminKeyName
				}
			}
			opens := 0
			for i, name := range names {
				role, ok := o.Authenticate(first.Key("admin"), secret(byte(i)), 1000, 0)
				if want := model[name]; role != want || ok != (want != "") {
					t.Fatalf("%s opens %q, expected %q", name, role, want)
				}
				if role == RoleChange {
					opens++
				}
			}
			if _, ok := o.Authenticate(first.Key("admin"), first, 1000, 0); ok == retired {
				t.Fatalf("the first key opens %v, retired %v", ok, retired)
			}
			if retired && opens == 0 {
				t.Fatal("nobody can change anything")
			}
		}
	})
}

func TestOperatorsCheckNamesTheField(t *testing.T) {
	k := Secret{ID: "0011223344556677"}.Key("watch")
	for field, o := range map[string]Operators{
		"cpus": {CPUs: math.NaN()}, "gpus": {GPUs: -1}, "role": {Keys: []OperatorKey{{k, "all"}}}, "name": {Keys: []OperatorKey{{func() Key { x := k; x.Name = AdminKeyName; return x }(), RoleRead}}},
		"keys": {Keys: []OperatorKey{{k, RoleRead}, {k, RoleRead}}}, "retired": {RetiredAdminKeys: make([]KeyID, maxRetiredAdminKeys+1)},
	} {
		var e *Error
		ok := errors.As(o.Check(), &e)
		if !ok || e.Field != field || e.Status != 400 {
			t.Errorf("%s spoilt: %v", field, e)
		}
	}
	inside, err := ParseNetworks([]string{"10.0.0.0/8"})
	if err != nil {
		t.Fatal(err)
	}
	o := Operators{Networks: inside}
	if o.CheckAccessFrom(netip.MustParseAddr("10.1.2.3")) != nil || o.CheckAccessFrom(netip.MustParseAddr("11.1.2.3")) == nil {
		t.Error("who may come is not told from who may not")
	}
}

// The guarantees of teams together stay within the budget, by any sequence of
// changes; and the stored total is the sum of the teams.
func TestGuaranteedTotalIsTheSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := Operators{CPUs: float64(rapid.IntRange(0, 20).Draw(t, "aside")), GPUs: 3}
		teams := map[api.Team]Team{}
		var given GuaranteedTotal
		for range rapid.IntRange(1, 30).Draw(t, "acts") {
			name := rapid.SampledFrom([]api.Team{"x", "y", "z"}).Draw(t, "team")
			was := teams[name]
			var now Team
			var err error
			if rapid.IntRange(0, 4).Draw(t, "act") == 0 {
				now, err = was.Remove("", 0)
				if was.Name == "" {
					continue
				}
			} else {
				cpus := float64(rapid.IntRange(0, 12).Draw(t, "cpus"))
				now, err = was.Change(Team{Name: name, CPUs: cpus, GPUs: float64(rapid.IntRange(0, 2).Draw(t, "gpus")),
					CPUsMax: rapid.SampledFrom([]float64{0, cpus, 2 * cpus}).Draw(t, "max")})
			}
			if err != nil {
				continue
			}
			if next, err := given.Adjust(was, now, budget); err == nil {
				given, teams[name] = next, now
			}
			var sum GuaranteedTotal
			for _, x := range teams {
				sum.CPUs, sum.GPUs = sum.CPUs+x.CPUs, sum.GPUs+x.GPUs
			}
			if sum != given || sum.CPUs > budget.CPUs || sum.GPUs > budget.GPUs {
				t.Fatalf("teams are given %v, kept is %v, set aside %v", sum, given, budget)
			}
		}
	})
}

// A limit is divided among the partitions, which transfer shares, so it can't be taken back.
func TestTeamLimitNeverShrinks(t *testing.T) {
	team := Team{Name: "dispo", CPUs: 2, CPUsMax: 4}
	for max, ok := range map[float64]bool{3: false, 4: true, 9: true, 0: true} {
		if _, err := team.Change(Team{Name: "dispo", CPUs: 2, CPUsMax: max}); (err == nil) != ok {
			t.Errorf("from 4 to %v: %v", max, err)
		}
	}
	if _, err := (Team{Name: "dispo"}).Change(Team{Name: "dispo", GPUsMax: 1}); err == nil {
		t.Error("a limit is put where there was none")
	}
	if _, err := (Team{}).Change(Team{Name: "dispo", CPUsMax: 3}); err != nil {
		t.Errorf("a new team has a limit: %v", err)
	}
	gone, err := team.Remove("", 0)
	if err != nil || !gone.Removed || gone.CPUs != 0 {
		t.Errorf("%+v, %v", gone, err)
	}
	if _, err := gone.Change(team); err == nil {
		t.Error("the name of a removed team is used again")
	}
	for _, c := range []struct {
		owner Name
		jobs  int
	}{{"kipper", 0}, {"", 1}} {
		if _, err := team.Remove(c.owner, c.jobs); err == nil {
			t.Errorf("removed with owner %q and %d jobs", c.owner, c.jobs)
		}
	}
}

// A window never exceeds its limit, always has the most important jobs, and within
// RoundsToCoverAll rounds each of the others once.
func TestWindowCoversAllJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(2, 40).Draw(t, "most")
		n := rapid.IntRange(0, 300).Draw(t, "n")
		from := rapid.IntRange(0, 1000).Draw(t, "turn")
		seen := map[int]bool{}
		for turn := range RoundsToCoverAll(n, most) {
			w := Window(n, most, from+turn)
			if len(w) != min(n, most) {
				t.Fatalf("%d of %d, at most %d", len(w), n, most)
			}
			once := map[int]bool{}
			for _, i := range w {
				if i < 0 || i >= n || once[i] {
					t.Fatalf("%v of %d", w, n)
				}
				once[i], seen[i] = true, true
			}
			for i := range min(n, (most+1)/2) {
				if !slices.Contains(w, i) {
					t.Fatalf("%d, one of the first, is not in %v", i, w)
				}
			}
		}
		if len(seen) != n {
			t.Fatalf("%d of %d had a turn", len(seen), n)
		}
	})
}

// Empty lists of networks are encoded as lists: a client reads them without a special case.
func TestEmptyNetworksEncodeAsList(t *testing.T) {
	data, err := json.Marshal(Networks{})
	if err != nil || string(data) != "[]" {
		t.Errorf("%s, %v", data, err)
	}
}
