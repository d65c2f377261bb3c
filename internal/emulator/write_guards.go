package emulator

import (
	"fmt"
	"slices"
	"strings"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/internal/exactjson"
)

// writeGuard is the compare-and-swap condition that a transaction with a write must have, so that a late
// duplicate overwrites no later change. docs/meetings.md explains for each kind of key why its guard
// suffices.
type writeGuard struct {
	ownVersion           bool     // on the version of the written key
	anyOf                []string // on a key with one of these prefixes
	leaseSufficesBecause string   // instead of a condition, the key must be attached to a lease
}

// partitionPrefix is the prefix of the keys with a partition's owner and term, on which the owner's writes are
// conditional.
const partitionPrefix = "b/part/"

// writeGuards lists every kind of key that controllers write, by prefix; the first matching prefix applies.
// A write to any other key is a violation, because nothing guards it against a late duplicate.
var writeGuards = []struct {
	prefix string
	writeGuard
}{
	{"b/member/", writeGuard{leaseSufficesBecause: "it only shows that its process was alive recently"}},
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
	{"b/gate", writeGuard{anyOf: []string{"b/tenant/"}}}, // it only has to change together with a tenant
	{"b/teamof/", writeGuard{anyOf: []string{"b/tenant/"}}},
	{"b/team/", writeGuard{ownVersion: true}},
	{"b/tenant/", writeGuard{ownVersion: true}},
	{"history/", writeGuard{anyOf: []string{"b/job/", partitionPrefix}}}, // written when a job ends, deleted by partition 0's owner
	{"audit/", writeGuard{anyOf: []string{"b/"}}},                        // written with the change it records, deleted by partition 0's owner
	{"used/", writeGuard{anyOf: []string{"b/member/"}}},                  // a key's last use; an older time does no harm
	{"s/r/", writeGuard{ownVersion: true}},
	{"s/b/", writeGuard{anyOf: []string{"s/r/"}}}, // written with the record that changes it
	{"skipold/", writeGuard{anyOf: []string{"s/r/"}}},
}

// missingGuard describes the first write that lacks a condition; the result is empty if there is none.
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
			return fmt.Sprintf("%s: no write guard is defined for this kind of key", key)
		}
		g := writeGuards[i].writeGuard
		if g.ownVersion && !slices.ContainsFunc(t.If, func(c api.Condition) bool { return c.Key == key }) {
			return fmt.Sprintf("%s: not conditional on its own version", key)
		}
		if len(g.anyOf) > 0 && !slices.ContainsFunc(g.anyOf, has) {
			return fmt.Sprintf("%s: not conditional on any of %v", key, g.anyOf)
		}
		if g.leaseSufficesBecause != "" && w.Lease == 0 {
			return fmt.Sprintf("%s: not attached to a lease", key)
		}
		if job := missingJobGuard(t, w); job != "" {
			return fmt.Sprintf("%s: transfers tasks of %s but is not conditional on the job", key, job)
		}
	}
	return ""
}

// missingJobGuard returns a job whose tasks a machine's transfer includes although the transaction is not
// conditional on the job's version, or "" if there is none.
func missingJobGuard(t *api.Txn, w api.Write) api.JobID {
	var loan clusterstate.LoanValue
	if !strings.HasPrefix(w.Put, clusterstate.KeyLoan) || exactjson.Decode(w.Value, &loan) != nil {
		return ""
	}
	for _, d := range loan.Tasks {
		if !slices.ContainsFunc(t.If, func(c api.Condition) bool { return c.Key == clusterstate.KeyJob+string(d.Job) && c.Version != 0 }) {
			return d.Job
		}
	}
	return ""
}
