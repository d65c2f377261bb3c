// Package pool owns what there is of counted resources, licences and connections: their
// records, how their units are shared out among the parts of the machines, and how many of
// them a part may hand out. It is pure: it stores nothing and reads no clock.
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
	Shares     []int            `json:"shares"`            // by part; their sum is the size at most
}

const (
	maxSize  = 1_000_000
	maxUsers = 64
	maxText  = 100
)

func invalid(field, why string, args ...any) error {
	return &tenant.Error{Status: 400, Field: field, Why: fmt.Sprintf(why, args...)}
}

// Check says what is wrong with a record, naming the field.
func (p *Pool) Check(parts int) error {
	if err := tenant.CheckName("name", string(p.Name)); err != nil {
		return err
	}
	sum, below := 0, false
	for _, s := range p.Shares {
		sum, below = sum+s, below || s < 0
	}
	guaranteed, least := 0, 0
	for _, g := range p.Guaranteed {
		guaranteed, least = guaranteed+min(g, maxSize), min(least, g)
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
	case len(p.Guaranteed) > maxUsers || guaranteed > p.Largest || least < 0:
		return invalid("guaranteed", "at most %d teams, none below 0, and together the largest size at most", maxUsers)
	case len(p.Tenants) > maxUsers:
		return invalid("tenants", "at most %d", maxUsers)
	case !slices.Contains([]State{Active, Frozen, Removed}, p.State):
		return invalid("state", "%q is none", p.State)
	case len(p.Shares) != parts || sum > p.Size || below:
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

// Free is how many units a part may hand out that holds as many as held says, exactly;
// what the other parts hold may be more by now than it says, or less.
//
// It is to be used under the version of the record that was read together with held, or
// later. Whatever the others handed out under an earlier version is in held then, and under
// this one no part comes to hold more than its share unless it did before. So together they
// hold no more than the larger of the two, each; what that leaves of the size may be
// handed out here, within our share. A share below what is held, after the pool was made
// smaller or its shares were moved on old knowledge, so keeps all from handing out anything
// until there is room again.
func (p *Pool) Free(part api.PartID, held []int) int {
	if p.State != Active {
		return 0
	}
	others := 0
	for q, h := range held {
		if q != int(part) {
			others += max(h, p.Shares[q])
		}
	}
	own := held[part]
	return max(0, min(p.Shares[part]-own, p.Size-others-own))
}

// Ask is work that waits for units: so many starts, each of which takes so many at once.
type Ask struct {
	Part    api.PartID
	Units   int // of one start
	Starts  int
	Reserve bool // it has waited for long enough: nobody after it takes what it lacks
}

// Divide shares a pool out: to each part what it holds, then to those who ask, in their
// order, and what is left to all alike, so that whoever asks next need not wait for a
// share. An ask of which not even one start fits is passed over unless it reserves.
func Divide(size int, held []int, asks []Ask) []int {
	shares := slices.Clone(held)
	rest := size
	for _, h := range held {
		rest -= h
	}
	// More is held than there is: the shares are cut, the largest first, and nothing is
	// handed out until that many have ended.
	for ; rest < 0; rest++ {
		shares[slices.Index(shares, slices.Max(shares))]--
	}
	for _, a := range asks {
		if a.Units <= 0 || a.Units > size {
			continue
		}
		starts := min(a.Starts, rest/a.Units)
		shares[a.Part] += starts * a.Units
		rest -= starts * a.Units
		if starts < a.Starts && a.Reserve {
			shares[a.Part] += rest
			rest = 0
		}
	}
	for q := range shares {
		shares[q] += rest / len(shares)
		if q < rest%len(shares) {
			shares[q]++
		}
	}
	return shares
}

// Served is how many units of what is asked for the parts could hand out under shares, those
// with it that are gathered for an ask that reserves.
func Served(p *Pool, held []int, asks []Ask) int {
	free := make([]int, len(held))
	for q := range held {
		free[q] = p.Free(api.PartID(q), held)
	}
	served := 0
	for _, a := range asks {
		if a.Units <= 0 {
			continue
		}
		starts := min(a.Starts, free[a.Part]/a.Units)
		free[a.Part] -= starts * a.Units
		served += starts * a.Units
		if starts < a.Starts && a.Reserve {
			return served + free[a.Part] // gathered for it
		}
	}
	return served
}

// Patience is for how long work that needs several units may be overtaken by work that needs
// fewer. After that it reserves what comes free for as long, and so on by turns: work that
// can't start for another reason then takes half of the pool's use from others at most.
const Patience = time.Minute

// Reserves reports whether work that has waited so long reserves what comes free.
func Reserves(waited time.Duration) bool { return waited/Patience%2 == 1 }

// Entry is a pool's record with the revision that a change must name.
type Entry struct {
	Pool
	Revision api.Revision
}

// Table is the pools as the state service's log tells of them.
type Table struct {
	parts   int
	entries map[api.PoolName]*Entry
}

// NewTable returns a table without pools.
func NewTable(parts int) *Table {
	return &Table{parts: parts, entries: map[api.PoolName]*Entry{}}
}

// Put takes in a record.
func (t *Table) Put(name string, value json.RawMessage, ver api.Revision) error {
	e := &Entry{Revision: ver}
	if err := json.Unmarshal(value, &e.Pool); err != nil {
		return err
	}
	if err := e.Check(t.parts); err != nil {
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
