// This file implements the table of tenants, replicated from the log of the key-value store.

package tenant

import (
	"encoding/json"
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/internal/exactjson"
)

// Entry is the record of a tenant with its revision, on which a compare-and-swap is conditional.
type Entry struct {
	Tenant
	Revision api.Revision
}

// Table holds the records of all tenants, replicated from the log of the key-value store. It is not safe
// for concurrent use.
type Table struct {
	entries map[Name]*Entry
	keys    map[KeyID]*Entry
	names   []Name // sorted; nil: outdated
}

// NewTable returns a table without tenants.
func NewTable() *Table { return &Table{entries: map[Name]*Entry{}, keys: map[KeyID]*Entry{}} }

// Put applies a changed record. On error the table is unchanged.
func (t *Table) Put(name string, value json.RawMessage, version api.Revision) error {
	e := &Entry{Revision: version}
	if err := exactjson.Decode(value, &e.Tenant); err != nil {
		return err
	}
	if err := e.Check(); err != nil {
		return err
	}
	if string(e.Name) != name {
		return invalid("name", "%q does not match the key %q of the record", e.Name, name)
	}
	t.Drop(name)
	t.entries[e.Name], t.names = e, nil
	for _, k := range e.Keys {
		t.keys[k.ID] = e
	}
	return nil
}

// Drop applies a deletion.
func (t *Table) Drop(name string) {
	old := t.entries[Name(name)]
	if old == nil {
		return
	}
	delete(t.entries, old.Name)
	t.names = nil
	for _, k := range old.Keys {
		if t.keys[k.ID] == old {
			delete(t.keys, k.ID)
		}
	}
}

// Get returns the entry of a tenant, or nil if there is none. Callers must not modify it.
func (t *Table) Get(name Name) *Entry { return t.entries[name] }

// Names returns the names of the tenants, sorted. Callers must not modify the list.
func (t *Table) Names() []Name {
	if t.names == nil {
		t.names = slices.Sorted(maps.Keys(t.entries))
	}
	return t.names
}

// Find returns the tenant and the key with an id, or nil if there is none. It does not verify the secret.
func (t *Table) Find(id KeyID) (*Entry, *Key) {
	e := t.keys[id]
	if e == nil {
		return nil, nil
	}
	i := slices.IndexFunc(e.Keys, func(k Key) bool { return k.ID == id })
	return e, &e.Keys[i]
}

// MayStartTasks reports whether pending tasks of a tenant may be started. It is false for an unknown
// tenant.
func (t *Table) MayStartTasks(name Name) bool {
	e := t.entries[name]
	return e != nil && e.MayStartTasks()
}
