package tenant

import (
	"encoding/json"
	"maps"
	"slices"

	"basaltwall/api"
)

// Entry is a tenant's record with the revision that a change must name.
type Entry struct {
	Tenant
	Revision api.Revision
}

// Table is the tenants of a service as the key-value store's log tells of them.
type Table struct {
	entries map[Name]*Entry
	keys    map[KeyID]*Entry
	names   []Name // in order; nil: to be listed anew
}

// NewTable returns a table without tenants.
func NewTable() *Table { return &Table{entries: map[Name]*Entry{}, keys: map[KeyID]*Entry{}} }

// Put takes in a record.
func (t *Table) Put(name string, value json.RawMessage, version api.Revision) error {
	e := &Entry{Revision: version}
	if err := json.Unmarshal(value, &e.Tenant); err != nil {
		return err
	}
	if err := e.Check(); err != nil {
		return err
	}
	if string(e.Name) != name {
		return invalid("name", "%q in the record of %q", e.Name, name)
	}
	t.Drop(name)
	t.entries[e.Name], t.names = e, nil
	for _, k := range e.Keys {
		t.keys[k.ID] = e
	}
	return nil
}

// Drop takes in a deletion.
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

// Get is a tenant's entry, nil if there is none. It is not to be changed.
func (t *Table) Get(name Name) *Entry { return t.entries[name] }

// Names lists the tenants in order. The list is not to be changed.
func (t *Table) Names() []Name {
	if t.names == nil {
		t.names = slices.Sorted(maps.Keys(t.entries))
	}
	return t.names
}

// Find is the tenant and the key that a secret names, whether it opens it or not.
func (t *Table) Find(id KeyID) (*Entry, *Key) {
	e := t.keys[id]
	if e == nil {
		return nil, nil
	}
	i := slices.IndexFunc(e.Keys, func(k Key) bool { return k.ID == id })
	return e, &e.Keys[i]
}

// MayStartTasks reports whether what waits of a tenant may be started; a tenant that is not
// known starts nothing.
func (t *Table) MayStartTasks(name Name) bool {
	e := t.entries[name]
	return e != nil && e.MayStartTasks()
}
