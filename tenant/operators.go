package tenant

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"basaltwall/api"
)

// Role is what an operators' key opens.
type Role string

// Roles of operators.
const (
	RoleRead   Role = "read"   // see everything
	RoleChange Role = "change" // and change it
)

// OperatorKey is a key of an operator.
type OperatorKey struct {
	Key
	Role Role `json:"role"`
}

// Operators is the record of who runs the service and of what they decide for all tenants.
type Operators struct {
	Keys             []OperatorKey `json:"keys,omitempty"`
	Networks         Networks      `json:"networks,omitzero"` // from where operators may come; none: from anywhere
	Proxies          Networks      `json:"proxies,omitzero"`  // whose word on where a request comes from is believed
	CPUs             float64       `json:"cpus,omitempty"`    // what teams made here may be guaranteed together
	GPUs             float64       `json:"gpus,omitempty"`
	RetiredAdminKeys []KeyID       `json:"retired,omitempty"` // first keys, of files, that open nothing any more
}

// AdminKeyName is the name under which the key of the file is retired.
const AdminKeyName = "first"

const (
	maxRetiredAdminKeys = 16
	maxAmount           = 1e7
)

// Check says what is wrong with the record, naming the field.
func (o *Operators) Check() error {
	switch {
	case len(o.Keys) > maxKeys:
		return invalid("keys", "at most %d", maxKeys)
	case len(o.RetiredAdminKeys) > maxRetiredAdminKeys:
		return invalid("retired", "at most %d", maxRetiredAdminKeys)
	case !inRange(o.CPUs, 0, maxAmount):
		return invalid("cpus", "must be between 0 and %v", maxAmount)
	case !inRange(o.GPUs, 0, maxAmount):
		return invalid("gpus", "must be between 0 and %v", maxAmount)
	}
	for i, k := range o.Keys {
		if err := k.check(); err != nil {
			return err
		}
		if k.Role != RoleRead && k.Role != RoleChange {
			return invalid("role", "must be %s or %s", RoleRead, RoleChange)
		}
		if k.Name == AdminKeyName {
			return invalid("name", "%s is the key of the file", AdminKeyName)
		}
		if slices.ContainsFunc(o.Keys[:i], func(p OperatorKey) bool { return p.ID == k.ID || p.Name == k.Name }) {
			return invalid("keys", "%q is there twice", k.Name)
		}
	}
	return nil
}

// Authenticate finds what a secret opens: a key of the record, or the first one, of the file,
// unless it was retired.
func (o *Operators) Authenticate(adminKey Key, s Secret, now api.WallTime, clockError time.Duration) (Role, bool) {
	if adminKey.Verify(s, now, clockError) && !slices.Contains(o.RetiredAdminKeys, adminKey.ID) {
		return RoleChange, true
	}
	for _, k := range o.Keys {
		if k.Verify(s, now, clockError) {
			return k.Role, true
		}
	}
	return "", false
}

// Add gives the operators one more key.
func (o Operators) Add(k Key, role Role) (Operators, error) {
	if slices.ContainsFunc(o.Keys, func(p OperatorKey) bool { return p.Name == k.Name }) {
		return o, conflict("name: there is a key of that name; its secret is not shown again")
	}
	o.Keys = append(slices.Clone(o.Keys), OperatorKey{k, role})
	return o, o.Check()
}

// Revoke makes a key open nothing any more; the one called AdminKeyName is that of the file. One
// that changes things and does not expire must be left, or nobody could come in again.
func (o Operators) Revoke(adminKey Key, name string) (Operators, error) {
	if name == AdminKeyName {
		if !slices.Contains(o.RetiredAdminKeys, adminKey.ID) {
			o.RetiredAdminKeys = append(slices.Clone(o.RetiredAdminKeys), adminKey.ID)
		}
	} else {
		o.Keys = slices.DeleteFunc(slices.Clone(o.Keys), func(k OperatorKey) bool { return k.Name == name })
		if len(o.Keys) == 0 {
			o.Keys = nil
		}
	}
	permanentWriter := func(k OperatorKey) bool { return k.Role == RoleChange && k.Expires == 0 }
	if slices.Contains(o.RetiredAdminKeys, adminKey.ID) && !slices.ContainsFunc(o.Keys, permanentWriter) {
		return o, conflict("key: a key with the role %s that never expires must be left", RoleChange)
	}
	return o, o.Check()
}

// CheckAccessFrom decides whether operators may come from where an act came from after it: one
// that shuts its own sender out is a mistake.
func (o *Operators) CheckAccessFrom(from netip.Addr) error {
	if !o.Networks.Allows(from) {
		return &Error{Status: 422, Field: "networks", Reason: fmt.Sprintf("%v, from where this comes, is not in them", from)}
	}
	return nil
}

// Team is a team that the operators made, beside those of the platform's file.
type Team struct {
	Name    api.Team `json:"name"`
	CPUs    float64  `json:"cpus"` // guaranteed
	GPUs    float64  `json:"gpus"`
	CPUsMax float64  `json:"cpus_max"` // limit; 0: none
	GPUsMax float64  `json:"gpus_max"`
	Removed bool     `json:"removed,omitempty"` // its name stays taken
}

// GuaranteedTotal is what all teams that the operators made are guaranteed together.
type GuaranteedTotal struct {
	CPUs float64 `json:"cpus"`
	GPUs float64 `json:"gpus"`
}

// Check says what is wrong with the record, naming the field.
func (t *Team) Check() error {
	if err := CheckName("name", string(t.Name)); err != nil {
		return err
	}
	for _, f := range []struct {
		field      string
		least, max float64
	}{{"cpus", t.CPUs, t.CPUsMax}, {"gpus", t.GPUs, t.GPUsMax}} {
		switch {
		case !inRange(f.least, 0, maxAmount):
			return invalid(f.field, "must be between 0 and %v", maxAmount)
		case !inRange(f.max, 0, maxAmount) || f.max > 0 && f.max < f.least:
			return invalid(f.field+"_max", "must be 0, for no limit, or between %s and %v", f.field, maxAmount)
		}
	}
	return nil
}

// Change replaces what a team has; the zero team is one that is new. A limit lies in
// shares in the partitions, some of which may have been given away, so it can't be taken
// back: it may only grow, or end.
func (t Team) Change(to Team) (Team, error) {
	shrinks := func(from, to float64) bool { return t.Name != "" && to != 0 && (from == 0 || to < from) }
	switch {
	case t.Removed:
		return t, conflict("name: %s was removed, and its name stays taken", t.Name)
	case shrinks(t.CPUsMax, to.CPUsMax):
		return t, conflict("cpus_max: a limit may grow or end, not shrink")
	case shrinks(t.GPUsMax, to.GPUsMax):
		return t, conflict("gpus_max: a limit may grow or end, not shrink")
	}
	return to, to.Check()
}

// Remove ends a team of which so many jobs are not over, that belongs to nobody.
func (t Team) Remove(owner Name, jobs int) (Team, error) {
	switch {
	case t.Removed:
		return t, nil
	case owner != "":
		return t, conflict("name: %s belongs to %s", t.Name, owner)
	case jobs > 0:
		return t, conflict("name: %d jobs of %s are not over", jobs, t.Name)
	}
	return Team{Name: t.Name, Removed: true}, nil
}

// CheckBudget says which of what the operators have set aside for teams is less than what is
// given of it.
func (g GuaranteedTotal) CheckBudget(budget Operators) error {
	const epsilon = 1e-6 // sums of many amounts
	for _, f := range []struct {
		field        string
		given, aside float64
	}{{"cpus", g.CPUs, budget.CPUs}, {"gpus", g.GPUs, budget.GPUs}} {
		if f.given > f.aside+epsilon {
			return &Error{Status: 422, Field: f.field, Reason: fmt.Sprintf("teams would be guaranteed %v of the %v that are set aside for them", f.given, f.aside)}
		}
	}
	return nil
}

// Adjust is what all are given after one changed, if it stays within what the operators
// have set aside.
func (g GuaranteedTotal) Adjust(from, to Team, budget Operators) (GuaranteedTotal, error) {
	next := GuaranteedTotal{max(0, g.CPUs-from.CPUs+to.CPUs), max(0, g.GPUs-from.GPUs+to.GPUs)}
	return next, next.CheckBudget(budget)
}
