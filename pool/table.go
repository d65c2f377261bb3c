// The table of pools, as the log of the key-value store has it.

package pool

import (
	"encoding/json"
	"maps"
	"slices"

	"basaltwall/api"
)

// Entry is the record of a pool with its revision, which a compare-and-swap change must name.
type Entry struct {
	Pool
	Revision api.Revision
}

// Table holds the pools, as replicated by the log of the key-value store. Not safe for concurrent use.
type Table struct {
	partitions int
	entries    map[api.PoolName]*Entry
}

// NewTable returns a table without pools, for a number of partitions.
func NewTable(partitions int) *Table {
	return &Table{partitions: partitions, entries: map[api.PoolName]*Entry{}}
}

// Put applies a changed record. On error the table stays as it was.
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

// Get returns the entry of a pool, nil if there is none. It must not be changed.
func (t *Table) Get(name api.PoolName) *Entry { return t.entries[name] }

// Names lists the names of the pools, sorted.
func (t *Table) Names() []api.PoolName { return slices.Sorted(maps.Keys(t.entries)) }

// Len is the number of pools.
func (t *Table) Len() int { return len(t.entries) }
