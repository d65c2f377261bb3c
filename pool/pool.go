// Package pool defines pools of counted resources, such as licences and connections: their records, the
// division of their units among the partitions, and the units that a partition may allocate. It does no
// I/O and reads no clock.
package pool

import (
	"fmt"
	"slices"
	"unicode"
	"unicode/utf8"

	"basaltwall/api"
	"basaltwall/tenant"
)

// State determines whether units of a pool may be allocated.
type State string

// States of a pool.
const (
	Active  State = "active"
	Frozen  State = "frozen"  // no units are allocated; holders keep theirs
	Removed State = "removed" // as frozen, and jobs that request units are refused
)

// Pool is the record of a pool. Controllers allocate units in transactions that are conditional on its
// version.
type Pool struct {
	Name    api.PoolName  `json:"name"`
	Unit    string        `json:"unit,omitempty"` // name of the counted unit, for display
	Size    int           `json:"size"`
	MaxSize int           `json:"largest"` // upper bound of the size; requests for more units are refused
	Teams   []api.Team    `json:"teams,omitempty"`
	Tenants []tenant.Name `json:"tenants,omitempty"` // allowed in addition to the teams; if both lists are empty, all work is allowed
	// Guaranteed is the number of units that a team gets before other work of the same priority, by team.
	Guaranteed map[api.Team]int `json:"guaranteed,omitempty"`
	State      State            `json:"state"`
	Reclaim    bool             `json:"reclaim,omitempty"` // holders are preempted while more units are held than the size
	Shares     []int            `json:"shares"`            // by partition; their sum is at most the size
}

// Limits on the contents of a record.
const (
	maxSize    = 1_000_000
	maxEntries = 64  // teams, tenants or guarantees
	maxText    = 100 // bytes
)

// invalid returns the error for an invalid field of a record.
func invalid(field, reason string, args ...any) error {
	return &tenant.Error{Status: tenant.StatusInvalid, Field: field, Reason: fmt.Sprintf(reason, args...)}
}

// Validate checks a record in a cluster with the given number of partitions. The error is a *tenant.Error
// that names the invalid field.
func (p *Pool) Validate(partitions int) error {
	if err := tenant.CheckName("name", string(p.Name)); err != nil {
		return err
	}
	switch {
	case len(p.Unit) > maxText || !utf8.ValidString(p.Unit) || !printable(p.Unit):
		return invalid("unit", "must be printable and at most %d bytes", maxText)
	case p.Size < 0 || p.Size > maxSize:
		return invalid("size", "must be between 0 and %d", maxSize)
	case p.MaxSize < p.Size || p.MaxSize > maxSize:
		return invalid("largest", "must be between the size and %d", maxSize)
	case len(p.Teams) > maxEntries:
		return invalid("teams", "at most %d", maxEntries)
	case !p.validGuarantees():
		return invalid("guaranteed", "must have at most %d teams, no value below 0, and a sum of at most the largest size", maxEntries)
	case len(p.Tenants) > maxEntries:
		return invalid("tenants", "at most %d", maxEntries)
	case !slices.Contains([]State{Active, Frozen, Removed}, p.State):
		return invalid("state", "%q is not a valid state", p.State)
	case !p.validShares(partitions):
		return invalid("shares", "must have one value per partition, none below 0, and a sum of at most the size")
	}
	return nil
}

func (p *Pool) validGuarantees() bool {
	sum := 0
	for _, guarantee := range p.Guaranteed {
		if guarantee < 0 {
			return false
		}
		sum += min(guarantee, maxSize) // bounded, so that the sum can't overflow
	}
	return len(p.Guaranteed) <= maxEntries && sum <= p.MaxSize
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

// Allows reports whether work of a team may use the pool; name is the tenant of the work, or empty if it
// has none.
func (p *Pool) Allows(team api.Team, name tenant.Name) bool {
	return len(p.Teams)+len(p.Tenants) == 0 || slices.Contains(p.Teams, team) || name != "" && slices.Contains(p.Tenants, name)
}
