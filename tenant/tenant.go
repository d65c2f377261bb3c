// Package tenant defines the tenants, teams and operators of a hosted service: their records and the
// operations on them, API keys, allowed networks, rate limits and fair admission of submissions. It does
// no I/O: callers pass in the time and random bytes, and store the records.
package tenant

import (
	"crypto/sha256"
	"math/big"
	"strings"

	"basaltwall/api"
)

// Name identifies a tenant. The name of a removed tenant is not reused.
type Name string

// State is the lifecycle state of a tenant.
type State string

// States of a tenant. Pending tasks of a suspended tenant are not started and its running tasks drain; a
// tenant that is being removed can't be resumed.
const (
	Active    State = "active"
	Suspended State = "suspended"
	Removing  State = "removing"
	Removed   State = "removed"
)

// Tenant is the record of a tenant.
type Tenant struct {
	Name             Name       `json:"name"`
	DisplayName      string     `json:"display,omitempty"`
	Teams            []api.Team `json:"teams,omitempty"`
	State            State      `json:"state"`
	Rate             float64    `json:"rate,omitempty"`      // submissions per second over the whole service; 0: no limit
	Burst            float64    `json:"burst,omitempty"`     // submissions in a burst over the whole service
	OpenJobs         int        `json:"open_jobs,omitempty"` // maximum number of jobs that are not terminal; 0: DefaultOpenJobs
	Networks         Networks   `json:"networks,omitzero"`   // allowed client networks; empty: any
	RetentionSeconds float64    `json:"retention_s"`         // retention of the job history, in seconds

	SuspendReason string       `json:"why,omitempty"`
	SuspendedAt   api.WallTime `json:"suspended_at,omitempty"` // in milliseconds since 1970
	DrainSeconds  float64      `json:"drain_s,omitempty"`      // run time of services after the suspension, in seconds
	CancelJobs    bool         `json:"cancel_jobs,omitempty"`  // the removal cancels open jobs

	Keys []Key `json:"keys,omitempty"`
}

// DefaultOpenJobs is the limit on open jobs for a tenant without a limit of its own. It bounds the work
// of a failover and of a scheduling round.
const DefaultOpenJobs = 2000

// OpenJobLimit returns the maximum number of open jobs of the tenant.
func (t *Tenant) OpenJobLimit() int {
	if t.OpenJobs > 0 {
		return t.OpenJobs
	}
	return DefaultOpenJobs
}

// MayStartTasks reports whether pending tasks of the tenant may be started.
func (t *Tenant) MayStartTasks() bool { return t.State == Active }

// jobIDDigits is the number of digits of a derived job id, which carry about 119 bits.
const jobIDDigits = 36

// JobID derives the id under which a tenant's job is stored and known to workers. It is a valid job id of
// the protocol; the same id of two tenants gives different derived ids, and a derived id does not reveal
// the tenant's.
func JobID(name Name, tenantJobID api.JobID) api.JobID {
	sum := sha256.Sum256([]byte(string(name) + "\x00" + string(tenantJobID)))
	digits := new(big.Int).SetBytes(sum[:]).String()
	digits = strings.Repeat("0", max(0, jobIDDigits-len(digits))) + digits
	return api.JobID("run-" + digits[len(digits)-jobIDDigits:])
}
