package emulator

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"basaltwall/api"
	"basaltwall/clusterstate"
)

// writeGuard is what a write's transaction must be conditional on (compare-and-swap), so that a late
// duplicate changes nothing that was written since. docs/meetings.md says for each why
// that is enough.
type writeGuard struct {
	ownVersion    bool     // on the version of the key itself
	anyOf         []string // on a key with one of these prefixes
	exemptBecause string   // why it needs none
}

// partitionPrefix is what every owner's write names: the term of its partition.
const partitionPrefix = "b/part/"

// writeGuards names every kind of key that controllers write, by prefix, the longest first where one
// begins with another. A write of a kind that is not named here is an error: how a late duplicate
// of it is kept from doing harm has to be decided first.
var writeGuards = []struct {
	prefix string
	writeGuard
}{
	{"b/member/", writeGuard{exemptBecause: "tied to a lease; it only shows that its process was alive recently"}},
	{partitionPrefix, writeGuard{ownVersion: true}},
	{"b/head/", writeGuard{ownVersion: true, anyOf: []string{partitionPrefix}}},
	{"b/snap/", writeGuard{ownVersion: true, anyOf: []string{partitionPrefix}}},
	{"b/round/", writeGuard{ownVersion: true, anyOf: []string{partitionPrefix}}},
	{"b/job/", writeGuard{ownVersion: true}},
	{"final/", writeGuard{ownVersion: true}},
	{"b/lend/", writeGuard{ownVersion: true, anyOf: []string{partitionPrefix}}},
	{"b/types", writeGuard{ownVersion: true, anyOf: []string{partitionPrefix}}},
	{"b/short", writeGuard{ownVersion: true, anyOf: []string{partitionPrefix}}},
	{"b/zone/", writeGuard{ownVersion: true, anyOf: []string{partitionPrefix}}},
	{"b/pool/", writeGuard{ownVersion: true}},
	{"b/settings", writeGuard{ownVersion: true}},
	{"b/operators", writeGuard{ownVersion: true}},
	{"b/given", writeGuard{ownVersion: true}},
	{"b/gate", writeGuard{anyOf: []string{"b/tenant/"}}}, // what counts is that it changes with the tenant
	{"b/teamof/", writeGuard{anyOf: []string{"b/tenant/"}}},
	{"b/team/", writeGuard{ownVersion: true}},
	{"b/tenant/", writeGuard{ownVersion: true}},
	{"history/", writeGuard{anyOf: []string{"b/job/", partitionPrefix}}}, // written with a job's end, swept by partition 0's owner
	{"audit/", writeGuard{anyOf: []string{"b/"}}},                        // written with the change it records, swept by partition 0's owner
	{"used/", writeGuard{anyOf: []string{"b/member/"}}},                  // when a key was last used: an older time does no harm
	{"s/r/", writeGuard{ownVersion: true}},
	{"s/b/", writeGuard{anyOf: []string{"s/r/"}}}, // written with the record that changes it
	{"skipold/", writeGuard{anyOf: []string{"s/r/"}}},
}

// missingGuard says what is missing in a transaction's conditions, or nothing.
func missingGuard(t *api.Txn) string {
	has := func(prefix string) bool {
		return slices.ContainsFunc(t.If, func(c api.Condition) bool { return strings.HasPrefix(c.Key, prefix) })
	}
	for _, w := range t.Writes {
		key := w.Put + w.Drop
		i := slices.IndexFunc(writeGuards, func(g struct {
			prefix string
			writeGuard
		}) bool {
			return strings.HasPrefix(key, g.prefix)
		})
		if i < 0 {
			return fmt.Sprintf("%s: a kind of write that nobody has looked at", key)
		}
		g := writeGuards[i].writeGuard
		if g.ownVersion && !slices.ContainsFunc(t.If, func(c api.Condition) bool { return c.Key == key }) {
			return fmt.Sprintf("%s: not conditional on its own version", key)
		}
		if len(g.anyOf) > 0 && !slices.ContainsFunc(g.anyOf, has) {
			return fmt.Sprintf("%s: not conditional on any of %v", key, g.anyOf)
		}
		if g.exemptBecause != "" && w.Lease == 0 {
			return fmt.Sprintf("%s: not tied to a lease", key)
		}
		if job := missingJobGuard(t, w); job != "" {
			return fmt.Sprintf("%s: carries tasks of %s and is not conditional on it", key, job)
		}
	}
	return ""
}

// missingJobGuard is a job of which a machine's transfer carries tasks though the transaction is not
// conditional on the job's version; "" if there is none.
func missingJobGuard(t *api.Txn, w api.Write) api.JobID {
	var loan clusterstate.LoanValue
	if !strings.HasPrefix(w.Put, clusterstate.KeyLoan) || json.Unmarshal(w.Value, &loan) != nil {
		return ""
	}
	for _, d := range loan.Tasks {
		if !slices.ContainsFunc(t.If, func(c api.Condition) bool { return c.Key == clusterstate.KeyJob+string(d.Job) && c.Version != 0 }) {
			return d.Job
		}
	}
	return ""
}
