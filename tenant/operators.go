// This file defines the operators of the service: their keys, roles and networks, and their budget for
// teams.

package tenant

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"basaltwall/api"
)

// Role determines the permissions of an operator's key.
type Role string

// Roles of operators' keys.
const (
	RoleRead   Role = "read"   // reads everything
	RoleChange Role = "change" // reads and changes everything
)

// OperatorKey is the key of an operator.
type OperatorKey struct {
	Key
	Role Role `json:"role"`
}

// Operators is the record of the operators' keys and of their settings for the whole service.
type Operators struct {
	Keys             []OperatorKey `json:"keys,omitempty"`
	Networks         Networks      `json:"networks,omitzero"` // client networks of operators; empty: any
	Proxies          Networks      `json:"proxies,omitzero"`  // proxies whose X-Forwarded-For header is trusted
	TeamCPUBudget    float64       `json:"cpus,omitempty"`    // budget for the CPU guarantees of all teams created at run time
	TeamGPUBudget    float64       `json:"gpus,omitempty"`    // budget for the GPU guarantees of all teams created at run time
	RevokedAdminKeys []KeyID       `json:"retired,omitempty"` // revoked keys of the configuration file
}

// AdminKeyName is the name by which the key of the configuration file is revoked.
const AdminKeyName = "first"

const (
	maxRevokedAdminKeys = 16
	maxAmount           = 1e7 // CPUs or GPUs
)

// Check validates the record. The error is an *Error that names the invalid field.
func (o *Operators) Check() error {
	switch {
	case len(o.Keys) > maxKeys:
		return invalid("keys", "at most %d", maxKeys)
	case len(o.RevokedAdminKeys) > maxRevokedAdminKeys:
		return invalid("retired", "at most %d", maxRevokedAdminKeys)
	case !inRange(o.TeamCPUBudget, 0, maxAmount):
		return invalid("cpus", "must be between 0 and %v", maxAmount)
	case !inRange(o.TeamGPUBudget, 0, maxAmount):
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
			return invalid("name", "%s is reserved for the key of the configuration file", AdminKeyName)
		}
		if slices.ContainsFunc(o.Keys[:i], func(p OperatorKey) bool { return p.ID == k.ID || p.Name == k.Name }) {
			return invalid("keys", "%q has the same id or name as another key", k.Name)
		}
	}
	return nil
}

// Authenticate returns the role of the key that matches a secret; the key of the configuration file has
// RoleChange unless it is revoked. It returns false if no key matches.
func (o *Operators) Authenticate(adminKey Key, s Secret, now api.WallTime, clockError time.Duration) (Role, bool) {
	if adminKey.Verify(s, now, clockError) && !slices.Contains(o.RevokedAdminKeys, adminKey.ID) {
		return RoleChange, true
	}
	for _, k := range o.Keys {
		if k.Verify(s, now, clockError) {
			return k.Role, true
		}
	}
	return "", false
}

// Add returns the operators with another key.
func (o Operators) Add(k Key, role Role) (Operators, error) {
	if slices.ContainsFunc(o.Keys, func(p OperatorKey) bool { return p.Name == k.Name }) {
		return o, conflict("name: there is a key of that name; its secret is not shown again")
	}
	o.Keys = append(slices.Clone(o.Keys), OperatorKey{Key: k, Role: role})
	return o, o.Check()
}

// Revoke returns the operators without a key; AdminKeyName stands for the key of the configuration file.
// It refuses to revoke the last key that has RoleChange and does not expire, so that operators keep
// access.
func (o Operators) Revoke(adminKey Key, name string) (Operators, error) {
	if name == AdminKeyName {
		if !slices.Contains(o.RevokedAdminKeys, adminKey.ID) {
			o.RevokedAdminKeys = append(slices.Clone(o.RevokedAdminKeys), adminKey.ID)
		}
	} else {
		o.Keys = slices.DeleteFunc(slices.Clone(o.Keys), func(k OperatorKey) bool { return k.Name == name })
		if len(o.Keys) == 0 {
			o.Keys = nil
		}
	}
	permanentWriter := func(k OperatorKey) bool { return k.Role == RoleChange && k.Expires == 0 }
	if slices.Contains(o.RevokedAdminKeys, adminKey.ID) && !slices.ContainsFunc(o.Keys, permanentWriter) {
		return o, conflict("key: at least one key with the role %s that does not expire must remain", RoleChange)
	}
	return o, o.Check()
}

// CheckAccessFrom refuses a record whose networks exclude the address that requests the change, so that
// operators do not lock themselves out by mistake.
func (o *Operators) CheckAccessFrom(from netip.Addr) error {
	if !o.Networks.Allows(from) {
		return &Error{Status: StatusUnprocessable, Field: "networks", Reason: fmt.Sprintf("%v, the address of this request, is not included", from)}
	}
	return nil
}
