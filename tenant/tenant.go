// Package tenant owns what a hosted service knows of its tenants: their records and
// the operations on them, keys, networks, and whose submission is admitted when not all
// can be. It is pure: time and random bytes are passed in, and it stores nothing.
package tenant

import (
	"crypto/sha256"
	"math/big"
	"strings"

	"basaltwall/api"
)

// Name names a tenant for good: the name of a removed tenant is not used again.
type Name string

// State says what a tenant may do.
type State string

// The states of a tenant. Pending tasks of a suspended tenant are not started and its running tasks
// drain; a tenant that is being removed is suspended for good.
const (
	Active    State = "active"
	Suspended State = "suspended"
	Removing  State = "removing"
	Removed   State = "removed"
)

// Tenant is the record of a tenant.
type Tenant struct {
	Name      Name       `json:"name"`
	Display   string     `json:"display,omitempty"`
	Teams     []api.Team `json:"teams,omitempty"`
	State     State      `json:"state"`
	Rate      float64    `json:"rate,omitempty"`      // submissions a second, over the whole service; 0: no limit
	Burst     float64    `json:"burst,omitempty"`     // submissions at once, over the whole service
	OpenJobs  int        `json:"open_jobs,omitempty"` // limit on jobs that are not terminal; 0: DefaultOpenJobs
	Networks  Networks   `json:"networks,omitzero"`   // client networks that are allowed; none: all are
	Retention float64    `json:"retention_s"`         // how long its history is kept, in seconds

	SuspendReason string       `json:"why,omitempty"`          // why it is suspended
	SuspendedAt   api.WallTime `json:"suspended_at,omitempty"` // in milliseconds since 1970
	Drain         float64      `json:"drain_s,omitempty"`      // how long its services go on after that, in seconds
	CancelJobs    bool         `json:"cancel_jobs,omitempty"`  // removal cancels its jobs rather than wait for them

	Keys []Key `json:"keys,omitempty"`
}

// DefaultOpenJobs is the limit on open jobs if none was agreed: the open jobs of a tenant
// are read at every failover and considered in every round.
const DefaultOpenJobs = 2000

// OpenJobLimit is how many jobs of the tenant may be open at once.
func (t *Tenant) OpenJobLimit() int {
	if t.OpenJobs > 0 {
		return t.OpenJobs
	}
	return DefaultOpenJobs
}

// MayStartTasks reports whether pending tasks of the tenant may be started.
func (t *Tenant) MayStartTasks() bool { return t.State == Active }

// jobIDDigits is the length of a job id that is derived from a tenant's: about 119 bits.
const jobIDDigits = 36

// JobID derives the id under which a tenant's job is stored and known to workers. It has the
// protocol's form; equal ids of two tenants give different jobs, and neither reveals the other.
func JobID(name Name, tenantJobID api.JobID) api.JobID {
	sum := sha256.Sum256([]byte(string(name) + "\x00" + string(tenantJobID)))
	digits := new(big.Int).SetBytes(sum[:]).String()
	digits = strings.Repeat("0", max(0, jobIDDigits-len(digits))) + digits
	return api.JobID("run-" + digits[len(digits)-jobIDDigits:])
}
