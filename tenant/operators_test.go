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

// In any sequence of additions and revocations, a key that has RoleChange and does not expire remains,
// and each key authenticates with its role until it is revoked.
func TestOperatorsNeverLockedOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		secret := func(b byte) Secret {
			return Secret{ID: KeyID("00112233445566" + string("0123456789abcdef"[b%16]) + "0"), data: [secretBytes]byte{b}}
		}
		adminSecret := secret(15)
		var o Operators
		model := map[string]Role{} // by name
		names := []string{"a", "b", "c"}
		adminKeyRevoked := false
		for range rapid.IntRange(1, 30).Draw(t, "operations") {
			i := rapid.IntRange(0, len(names)-1).Draw(t, "key")
			name := names[i]
			switch rapid.IntRange(0, 2).Draw(t, "operation") {
			case 0:
				k := secret(byte(i)).Key(name)
				role := rapid.SampledFrom([]Role{RoleRead, RoleChange}).Draw(t, "role")
				next, err := o.Add(k, role)
				if _, exists := model[name]; (err == nil) == exists {
					t.Fatalf("adding %s, which exists: %v: %v", name, exists, err)
				}
				if err == nil {
					o, model[name] = next, role
				}
			default:
				if rapid.IntRange(0, 4).Draw(t, "first") == 0 {
					name = AdminKeyName
				}
				next, err := o.Revoke(adminSecret.Key("admin"), name)
				if err == nil {
					o = next
					delete(model, name)
					adminKeyRevoked = adminKeyRevoked || name == AdminKeyName
				}
			}
			writers := 0
			for i, name := range names {
				role, ok := o.Authenticate(adminSecret.Key("admin"), secret(byte(i)), 1000, 0)
				if want := model[name]; role != want || ok != (want != "") {
					t.Fatalf("%s has the role %q, expected %q", name, role, want)
				}
				if role == RoleChange {
					writers++
				}
			}
			if _, ok := o.Authenticate(adminSecret.Key("admin"), adminSecret, 1000, 0); ok == adminKeyRevoked {
				t.Fatalf("the admin key authenticates: %v, revoked: %v", ok, adminKeyRevoked)
			}
			if adminKeyRevoked && writers == 0 {
				t.Fatal("no key with RoleChange remains")
			}
		}
	})
}

func TestOperatorsCheckNamesTheField(t *testing.T) {
	k := Secret{ID: "0011223344556677"}.Key("watch")
	for field, o := range map[string]Operators{
		"cpus": {TeamCPUBudget: math.NaN()}, "gpus": {TeamGPUBudget: -1}, "role": {Keys: []OperatorKey{{k, "all"}}}, "name": {Keys: []OperatorKey{{func() Key { x := k; x.Name = AdminKeyName; return x }(), RoleRead}}},
		"keys": {Keys: []OperatorKey{{k, RoleRead}, {k, RoleRead}}}, "retired": {RevokedAdminKeys: make([]KeyID, maxRevokedAdminKeys+1)},
	} {
		var e *Error
		ok := errors.As(o.Check(), &e)
		if !ok || e.Field != field || e.Status != 400 {
			t.Errorf("%s corrupted: %v", field, e)
		}
	}
	inside, err := ParseNetworks([]string{"10.0.0.0/8"})
	if err != nil {
		t.Fatal(err)
	}
	o := Operators{Networks: inside}
	if o.CheckAccessFrom(netip.MustParseAddr("10.1.2.3")) != nil || o.CheckAccessFrom(netip.MustParseAddr("11.1.2.3")) == nil {
		t.Error("CheckAccessFrom does not distinguish allowed addresses from others")
	}
}

// In any sequence of changes, the guarantees of all teams stay within the budget, and the stored total is
// their sum.
func TestGuaranteedTotalIsTheSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := Operators{TeamCPUBudget: float64(rapid.IntRange(0, 20).Draw(t, "budget")), TeamGPUBudget: 3}
		teams := map[api.Team]Team{}
		var total GuaranteedTotal
		for range rapid.IntRange(1, 30).Draw(t, "operations") {
			name := rapid.SampledFrom([]api.Team{"x", "y", "z"}).Draw(t, "team")
			old := teams[name]
			var updated Team
			var err error
			if rapid.IntRange(0, 4).Draw(t, "operation") == 0 {
				updated, err = old.Remove("", 0)
				if old.Name == "" {
					continue
				}
			} else {
				cpus := float64(rapid.IntRange(0, 12).Draw(t, "cpus"))
				updated, err = old.Change(Team{Name: name, CPUs: cpus, GPUs: float64(rapid.IntRange(0, 2).Draw(t, "gpus")),
					CPUsMax: rapid.SampledFrom([]float64{0, cpus, 2 * cpus}).Draw(t, "max")})
			}
			if err != nil {
				continue
			}
			if next, err := total.Adjust(old, updated, budget); err == nil {
				total, teams[name] = next, updated
			}
			var sum GuaranteedTotal
			for _, x := range teams {
				sum.CPUs, sum.GPUs = sum.CPUs+x.CPUs, sum.GPUs+x.GPUs
			}
			if sum != total || sum.CPUs > budget.TeamCPUBudget || sum.GPUs > budget.TeamGPUBudget {
				t.Fatalf("sum of the guarantees %v, stored total %v, budget %v", sum, total, budget)
			}
		}
	})
}

// A team's limit is divided into shares of the partitions, so it may only be raised or removed.
func TestTeamLimitNeverShrinks(t *testing.T) {
	team := Team{Name: "dispo", CPUs: 2, CPUsMax: 4}
	for max, ok := range map[float64]bool{3: false, 4: true, 9: true, 0: true} {
		if _, err := team.Change(Team{Name: "dispo", CPUs: 2, CPUsMax: max}); (err == nil) != ok {
			t.Errorf("from 4 to %v: %v", max, err)
		}
	}
	if _, err := (Team{Name: "dispo"}).Change(Team{Name: "dispo", GPUsMax: 1}); err == nil {
		t.Error("a limit is added to a team without one")
	}
	if _, err := (Team{}).Change(Team{Name: "dispo", CPUsMax: 3}); err != nil {
		t.Errorf("a new team with a limit is refused: %v", err)
	}
	removed, err := team.Remove("", 0)
	if err != nil || !removed.Removed || removed.CPUs != 0 {
		t.Errorf("%+v, %v", removed, err)
	}
	if _, err := removed.Change(team); err == nil {
		t.Error("the name of a removed team is reused")
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

// A window never exceeds its limit and always contains the most important jobs; RoundsToCoverAll rounds
// contain every job.
func TestWindowCoversAllJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(2, 40).Draw(t, "limit")
		n := rapid.IntRange(0, 300).Draw(t, "n")
		firstTurn := rapid.IntRange(0, 1000).Draw(t, "turn")
		seen := map[int]bool{}
		for turn := range RoundsToCoverAll(n, limit) {
			w := SelectRoundJobs(n, limit, firstTurn+turn)
			if len(w) != min(n, limit) {
				t.Fatalf("window of %d of %d jobs, limit %d", len(w), n, limit)
			}
			once := map[int]bool{}
			for _, i := range w {
				if i < 0 || i >= n || once[i] {
					t.Fatalf("window %v of %d jobs", w, n)
				}
				once[i], seen[i] = true, true
			}
			for i := range min(n, (limit+1)/2) {
				if !slices.Contains(w, i) {
					t.Fatalf("job %d, one of the most important, is not in the window %v", i, w)
				}
			}
		}
		if len(seen) != n {
			t.Fatalf("%d of %d jobs were in a window", len(seen), n)
		}
	})
}

// An empty list of networks is encoded as [], so that clients need no special case.
func TestEmptyNetworksEncodeAsList(t *testing.T) {
	data, err := json.Marshal(Networks{})
	if err != nil || string(data) != "[]" {
		t.Errorf("%s, %v", data, err)
	}
}
