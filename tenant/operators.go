// Operators of the service: their keys and roles, and what they set aside for teams.

package tenant

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"basaltwall/api"
)

// Role is what the key of an operator permits.
type Role string

// The roles.
const (
	RoleRead   Role = "read"   // reads everything
	RoleChange Role = "change" // reads and changes everything
)

// OperatorKey is the key of an operator.
type OperatorKey struct {
	Key
	Role Role `json:"role"`
}

// Operators is the record of who operates the service and of what they decided for all tenants.
type Operators struct {
	Keys             []OperatorKey `json:"keys,omitempty"`
	Networks         Networks      `json:"networks,omitzero"` // from where operators may connect; none: from anywhere
	Proxies          Networks      `json:"proxies,omitzero"`  // whose X-Forwarded-For is trusted
	CPUs             float64       `json:"cpus,omitempty"`    // guarantees that all teams made here may have together
	GPUs             float64       `json:"gpus,omitempty"`    // the same
	RetiredAdminKeys []KeyID       `json:"retired,omitempty"` // keys of the configuration file that are revoked
}

// AdminKeyName names the key of the configuration file, for its revocation.
const AdminKeyName = "first"

const (
	maxRetiredAdminKeys = 16
	maxAmount           = 1e7 // of CPUs or GPUs
)

// Check validates the record. The error is an *Error that names the field at fault.
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

// Authenticate finds the role of a secret: that of a key of the record, or RoleChange for the key of the
// configuration file unless it was revoked. It is false if no key fits.
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

// Add adds a key.
func (o Operators) Add(k Key, role Role) (Operators, error) {
	if slices.ContainsFunc(o.Keys, func(p OperatorKey) bool { return p.Name == k.Name }) {
		return o, conflict("name: there is a key of that name; its secret is not shown again")
	}
	o.Keys = append(slices.Clone(o.Keys), OperatorKey{Key: k, Role: role})
	return o, o.Check()
}

// Revoke revokes a key; AdminKeyName is that of the configuration file. A key with RoleChange that never
// expires must be left, or operators could lock themselves out.
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

// CheckAccessFrom refuses a record that would lock out the address which the change of it comes from:
// that is a mistake.
func (o *Operators) CheckAccessFrom(from netip.Addr) error {
	if !o.Networks.Allows(from) {
		return &Error{Status: StatusUnprocessable, Field: "networks", Reason: fmt.Sprintf("%v, from where this comes, is not in them", from)}
	}
	return nil
}
