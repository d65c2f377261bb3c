// This file implements the table of pools, replicated from the log of the key-value store.

package pool

import (
	"encoding/json"
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/internal/exactjson"
)

// Entry is the record of a pool with its revision, on which a compare-and-swap is conditional.
type Entry struct {
	Pool
	Revision api.Revision
}

// Table holds the records of all pools, replicated from the log of the key-value store. It is not safe
// for concurrent use.
type Table struct {
	partitions int
	entries    map[api.PoolName]*Entry
}

// NewTable returns an empty table in a cluster with the given number of partitions.
func NewTable(partitions int) *Table {
	return &Table{partitions: partitions, entries: map[api.PoolName]*Entry{}}
}

// Put applies a changed record. On error the table is unchanged.
func (t *Table) Put(name string, value json.RawMessage, version api.Revision) error {
	e := &Entry{Revision: version}
	if err := exactjson.Decode(value, &e.Pool); err != nil {
		return err
	}
	if err := e.Validate(t.partitions); err != nil {
		return err
	}
	if string(e.Name) != name {
		return invalid("name", "%q does not match the key %q of the record", e.Name, name)
	}
	t.entries[e.Name] = e
	return nil
}

// Get returns the entry of a pool, or nil if there is none. Callers must not modify it.
func (t *Table) Get(name api.PoolName) *Entry { return t.entries[name] }

// Names returns the names of the pools, sorted.
func (t *Table) Names() []api.PoolName { return slices.Sorted(maps.Keys(t.entries)) }

// Len returns the number of pools.
func (t *Table) Len() int { return len(t.entries) }
