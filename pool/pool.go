// Package pool owns pools of counted resources, such as licences and connections: their
// records, how their units are shared out among the partitions, and how many of
// them a partition may allocate. It is pure: it stores nothing and reads no clock.
package pool

import (
	"fmt"
	"slices"
	"unicode"
	"unicode/utf8"

	"basaltwall/api"
	"basaltwall/tenant"
)

// State is what the units of a pool may be used for.
type State string

// The states of a pool.
const (
	Active  State = "active"
	Frozen  State = "frozen"  // no more units are allocated; holders keep theirs
	Removed State = "removed" // as frozen, and jobs that request units are refused
)

// Pool is the record of a pool. All controllers that allocate units do so under one version of it.
type Pool struct {
	Name    api.PoolName  `json:"name"`
	Unit    string        `json:"unit,omitempty"` // what is counted, for people
	Size    int           `json:"size"`
	Largest int           `json:"largest"` // the largest size it may ever have: requests for more are refused
	Teams   []api.Team    `json:"teams,omitempty"`
	Tenants []tenant.Name `json:"tenants,omitempty"` // allowed beside the teams; if both are empty, everybody is
	// Guaranteed is how many units teams may have before other work of the same priority.
	Guaranteed map[api.Team]int `json:"guaranteed,omitempty"`
	State      State            `json:"state"`
	Reclaim    bool             `json:"reclaim,omitempty"` // holders are preempted when more is held than there is
	Shares     []int            `json:"shares"`            // by partition; their sum is at most the size
}

// Bounds on what a record may hold.
const (
	maxSize  = 1_000_000
	maxUsers = 64 // teams, tenants or guarantees
	maxText  = 100
)

// invalid is the error of a record whose field is not acceptable.
func invalid(field, reason string, args ...any) error {
	return &tenant.Error{Status: tenant.StatusInvalid, Field: field, Reason: fmt.Sprintf(reason, args...)}
}

// Validate checks a record for a number of partitions. The error is a *tenant.Error that names the
// field at fault.
func (p *Pool) Validate(partitions int) error {
	if err := tenant.CheckName("name", string(p.Name)); err != nil {
		return err
	}
	switch {
	case len(p.Unit) > maxText || !utf8.ValidString(p.Unit) || !printable(p.Unit):
		return invalid("unit", "must be printable and at most %d bytes", maxText)
	case p.Size < 0 || p.Size > maxSize:
		return invalid("size", "must be between 0 and %d", maxSize)
	case p.Largest < p.Size || p.Largest > maxSize:
		return invalid("largest", "must be between the size and %d", maxSize)
	case len(p.Teams) > maxUsers:
		return invalid("teams", "at most %d", maxUsers)
	case !p.validGuarantees():
		return invalid("guaranteed", "at most %d teams, none below 0, and together the largest size at most", maxUsers)
	case len(p.Tenants) > maxUsers:
		return invalid("tenants", "at most %d", maxUsers)
	case !slices.Contains([]State{Active, Frozen, Removed}, p.State):
		return invalid("state", "%q is none", p.State)
	case !p.validShares(partitions):
		return invalid("shares", "must be one for each part, none below 0, and the size at most together")
	}
	return nil
}

func (p *Pool) validGuarantees() bool {
	sum := 0
	for _, guarantee := range p.Guaranteed {
		if guarantee < 0 {
			return false
		}
		sum += min(guarantee, maxSize) // a sum of these can't overflow
	}
	return len(p.Guaranteed) <= maxUsers && sum <= p.Largest
}

func (p *Pool) validShares(partitions int) bool {
	sum := 0
	for _, share := range p.Shares {
		if share < 0 {
			return false
		}
		sum += share
	}
	return len(p.Shares) == partitions && sum <= p.Size
}

// printable reports whether a text holds printable characters only.
func printable(s string) bool {
	for _, r := range s {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

// Allows reports whether work of a team, and of a tenant unless the name is empty, may use the pool.
func (p *Pool) Allows(team api.Team, name tenant.Name) bool {
	return len(p.Teams)+len(p.Tenants) == 0 || slices.Contains(p.Teams, team) || name != "" && slices.Contains(p.Tenants, name)
}
