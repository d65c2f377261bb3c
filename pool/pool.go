// Package pool owns what there is of counted resources, licences and connections: their
// records, how their units are shared out among the partitions of the machines, and how many of
// them a partition may hand out. It is pure: it stores nothing and reads no clock.
package pool

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
	"unicode"
	"unicode/utf8"

	"basaltwall/api"
	"basaltwall/tenant"
)

// State is what a pool's units may be used for.
type State string

// A pool's states.
const (
	Active  State = "active"
	Frozen  State = "frozen"  // nothing more is handed out; who holds units keeps them
	Removed State = "removed" // the same, and nobody may ask for it any more
)

// Pool is a pool's record. All who hand out units do so under one version of it.
type Pool struct {
	Name    api.PoolName  `json:"name"`
	Unit    string        `json:"unit,omitempty"` // what is counted, in words
	Size    int           `json:"size"`
	Largest int           `json:"largest"` // size that it may ever have: who asks for more is refused
	Teams   []api.Team    `json:"teams,omitempty"`
	Tenants []tenant.Name `json:"tenants,omitempty"` // who may use it beside the teams; neither: everybody
	// Guaranteed is what teams' work may have of it before other work of the same priority.
	Guaranteed map[api.Team]int `json:"guaranteed,omitempty"`
	State      State            `json:"state"`
	Reclaim    bool             `json:"reclaim,omitempty"` // holders make way when more is held than there is
	Shares     []int            `json:"shares"`            // by partition; their sum is the size at most
}

const (
	maxSize  = 1_000_000
	maxUsers = 64
	maxText  = 100
)

func invalid(field, why string, args ...any) error {
	return &tenant.Error{Status: 400, Field: field, Reason: fmt.Sprintf(why, args...)}
}

// Validate says what is wrong with a record, naming the field.
func (p *Pool) Validate(partitions int) error {
	if err := tenant.CheckName("name", string(p.Name)); err != nil {
		return err
	}
	sum, negative := 0, false
	for _, s := range p.Shares {
		sum, negative = sum+s, negative || s < 0
	}
	guaranteed, minGuarantee := 0, 0
	for _, g := range p.Guaranteed {
		guaranteed, minGuarantee = guaranteed+min(g, maxSize), min(minGuarantee, g)
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
	case len(p.Guaranteed) > maxUsers || guaranteed > p.Largest || minGuarantee < 0:
		return invalid("guaranteed", "at most %d teams, none below 0, and together the largest size at most", maxUsers)
	case len(p.Tenants) > maxUsers:
		return invalid("tenants", "at most %d", maxUsers)
	case !slices.Contains([]State{Active, Frozen, Removed}, p.State):
		return invalid("state", "%q is none", p.State)
	case len(p.Shares) != partitions || sum > p.Size || negative:
		return invalid("shares", "must be one for each part, none below 0, and the size at most together")
	}
	return nil
}

func printable(s string) bool {
	for _, r := range s {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

// Allows reports whether work of a team, and of a tenant if it is one's, may use the pool.
func (p *Pool) Allows(team api.Team, name tenant.Name) bool {
	return len(p.Teams)+len(p.Tenants) == 0 || slices.Contains(p.Teams, team) || name != "" && slices.Contains(p.Tenants, name)
}

// Available is how many units a partition may hand out that holds as many as held says, exactly;
// what the other partitions hold may be more by now than it says, or less.
//
// It is to be used under the version of the record that was read together with held, or
// later. Whatever the others handed out under an earlier version is in held then, and under
// this one no partition comes to hold more than its share unless it did before. So together they
// hold no more than the larger of the two, each; what that leaves of the size may be
// handed out here, within our share. A share below what is held, after the pool was made
// smaller or its shares were moved on old knowledge, so keeps all from handing out anything
// until there is room again.
func (p *Pool) Available(partition api.PartitionID, held []int) int {
	if p.State != Active {
		return 0
	}
	others := 0
	for other, h := range held {
		if other != int(partition) {
			others += max(h, p.Shares[other])
		}
	}
	own := held[partition]
	return max(0, min(p.Shares[partition]-own, p.Size-others-own))
}

// Demand is work that waits for units: so many starts, each of which takes so many at once.
type Demand struct {
	Partition api.PartitionID
	Units     int // of one start
	Starts    int
	Reserves  bool // it has waited for long enough: nobody after it takes what it lacks
}

// AllocateShares shares a pool out: to each partition what it holds, then to those who ask, in their
// order, and what is left to all alike, so that whoever asks next need not wait for a
// share. An ask of which not even one start fits is passed over unless it reserves.
func AllocateShares(size int, held []int, demands []Demand) []int {
	shares := slices.Clone(held)
	remaining := size
	for _, h := range held {
		remaining -= h
	}
	// More is held than there is: the shares are cut, the largest first, and nothing is
	// handed out until that many have ended.
	for ; remaining < 0; remaining++ {
		shares[slices.Index(shares, slices.Max(shares))]--
	}
	for _, demand := range demands {
		if demand.Units <= 0 || demand.Units > size {
			continue
		}
		starts := min(demand.Starts, remaining/demand.Units)
		shares[demand.Partition] += starts * demand.Units
		remaining -= starts * demand.Units
		if starts < demand.Starts && demand.Reserves {
			shares[demand.Partition] += remaining
			remaining = 0
		}
	}
	for partition := range shares {
		shares[partition] += remaining / len(shares)
		if partition < remaining%len(shares) {
			shares[partition]++
		}
	}
	return shares
}

// SatisfiedUnits is how many units of what is asked for the partitions could hand out under shares, those
// with it that are gathered for an ask that reserves.
func SatisfiedUnits(p *Pool, held []int, demands []Demand) int {
	free := make([]int, len(held))
	for partition := range held {
		free[partition] = p.Available(api.PartitionID(partition), held)
	}
	served := 0
	for _, demand := range demands {
		if demand.Units <= 0 {
			continue
		}
		starts := min(demand.Starts, free[demand.Partition]/demand.Units)
		free[demand.Partition] -= starts * demand.Units
		served += starts * demand.Units
		if starts < demand.Starts && demand.Reserves {
			return served + free[demand.Partition] // gathered for it
		}
	}
	return served
}

// ReservationInterval is for how long work that needs several units may be overtaken by work that needs
// fewer. After that it reserves what comes free for as long, and so on by turns: work that
// can't start for another reason then takes half of the pool's use from others at most.
const ReservationInterval = time.Minute

// ShouldReserve reports whether work that has waited so long reserves what comes free.
func ShouldReserve(waited time.Duration) bool { return waited/ReservationInterval%2 == 1 }

// Entry is a pool's record with the revision that a change must name.
type Entry struct {
	Pool
	Revision api.Revision
}

// Table is the pools as the key-value store's log tells of them.
type Table struct {
	partitions int
	entries    map[api.PoolName]*Entry
}

// NewTable returns a table without pools.
func NewTable(partitions int) *Table {
	return &Table{partitions: partitions, entries: map[api.PoolName]*Entry{}}
}

// Put takes in a record.
func (t *Table) Put(name string, value json.RawMessage, version api.Revision) error {
	e := &Entry{Revision: version}
	if err := json.Unmarshal(value, &e.Pool); err != nil {
		return err
	}
	if err := e.Validate(t.partitions); err != nil {
		return err
	}
	if string(e.Name) != name {
		return invalid("name", "%q in the record of %q", e.Name, name)
	}
	t.entries[e.Name] = e
	return nil
}

// Get is a pool's entry, nil if there is none. It is not to be changed.
func (t *Table) Get(name api.PoolName) *Entry { return t.entries[name] }

// Names lists the pools in order.
func (t *Table) Names() []api.PoolName { return slices.Sorted(maps.Keys(t.entries)) }

// Len is how many there are.
func (t *Table) Len() int { return len(t.entries) }
