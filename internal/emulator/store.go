package emulator

import (
	"cmp"
	"encoding/json"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/internal/exactjson"
	"basaltwall/internal/invariant"
)

type storeEntry struct {
	value   json.RawMessage
	version api.Revision
	lease   api.LeaseID
}

type storeWatch struct {
	controllerName string
	prefix         string
	sinceRevision  api.Revision
	answer         func(int, []byte)
	closed         bool
}

// Store emulates the key-value store: compare-and-swap transactions, leases, watches and paged reads.
type Store struct {
	sim               *Simulation
	revision          api.Revision
	entries           map[string]storeEntry
	changes           []api.Change
	changeTimes       []time.Duration // time of each change
	compactedRevision api.Revision    // changes up to this revision are not retained
	leaseExpiry       map[api.LeaseID]time.Duration
	leaseTTL          map[api.LeaseID]time.Duration
	lastLease         api.LeaseID
	watches           []*storeWatch
	unavailable       bool // outage: all requests are refused
	// RetainedChanges is the minimum number of changes retained for watches; 0 retains all.
	RetainedChanges int
	// Requests and Writes count requests and the writes in transactions. LargestValue is the size of the
	// largest value in bytes. PagesRead and PageBytesRead count paged reads.
	Requests, Writes, LargestValue, PagesRead, PageBytesRead int
	refusedControllers                                       map[string]bool // controllers whose requests are refused
	OwnershipChanges                                         int             // writes of a partition's owner or term
	ShortageWrites                                           int             // writes of unmet demand

	// RateLimited enables the limits on requests and writes per second. ThrottledRequests counts the
	// requests refused by them.
	RateLimited                bool
	ThrottledRequests          int
	requestTokens, writeTokens float64
	refilledAt                 time.Duration
}

func newStore(sim *Simulation) *Store {
	s := &Store{sim: sim, entries: map[string]storeEntry{}, leaseExpiry: map[api.LeaseID]time.Duration{},
		leaseTTL: map[api.LeaseID]time.Duration{}, refusedControllers: map[string]bool{}}
	sim.After(100*time.Millisecond, s.expireLeases)
	return s
}

func (s *Store) expireLeases() {
	s.sim.After(100*time.Millisecond, s.expireLeases)
	if s.unavailable {
		return
	}
	var expired []api.LeaseID
	for id, end := range s.leaseExpiry {
		if end <= s.sim.Now {
			expired = append(expired, id)
		}
	}
	sort.Slice(expired, func(i, j int) bool { return expired[i] < expired[j] })
	for _, id := range expired {
		delete(s.leaseExpiry, id)
		var expiredKeys []string
		for k, e := range s.entries {
			if e.lease == id {
				expiredKeys = append(expiredKeys, k)
			}
		}
		sort.Strings(expiredKeys)
		for _, k := range expiredKeys {
			s.revision++
			s.appendChange(api.Change{Drop: k, Version: s.revision}, 0)
		}
	}
	s.notifyWatches()
}

// Outage makes the store unavailable for the given time. At its end all leases are renewed.
func (s *Store) Outage(length time.Duration) {
	s.unavailable = true
	s.sim.Checker.RecordFaultUntil(s.sim.Now + length)
	s.sim.After(length, func() {
		s.unavailable = false
		for id := range s.leaseExpiry {
			s.leaseExpiry[id] = s.sim.Now + s.leaseTTL[id]
		}
	})
}

// RecordTasks changes the number of tasks in a job's record, as if a version that misread a submission had
// accepted the job.
func (s *Store) RecordTasks(id api.JobID, tasks int) {
	key := clusterstate.KeyJob + string(id)
	var value clusterstate.JobValue
	s.sim.must(exactjson.Decode(s.entries[key].value, &value))
	value.Spec.Tasks = tasks
	value.Split[len(value.Split)-1].To = tasks
	data, err := json.Marshal(value)
	s.sim.must(err)
	s.revision++
	s.appendChange(api.Change{Put: key, Value: data, Version: s.revision}, 0)
	s.notifyWatches()
}

// RefuseController refuses one controller's requests for the given time.
func (s *Store) RefuseController(controllerName string, length time.Duration) {
	s.refusedControllers[controllerName] = true
	s.sim.Checker.RecordFaultUntil(s.sim.Now + length)
	s.sim.After(length, func() {
		delete(s.refusedControllers, controllerName)
		s.notifyWatches()
	})
}

func (s *Store) appendChange(c api.Change, lease api.LeaseID) {
	if c.Drop != "" {
		delete(s.entries, c.Drop)
	} else {
		s.entries[c.Put] = storeEntry{c.Value, c.Version, lease}
	}
	s.changes, s.changeTimes = append(s.changes, c), append(s.changeTimes, s.sim.Now)
	if s.RetainedChanges > 0 && len(s.changes) > 2*s.RetainedChanges {
		cut := len(s.changes) - s.RetainedChanges
		s.compactedRevision = s.changes[cut-1].Version
		s.changes, s.changeTimes = slices.Clone(s.changes[cut:]), slices.Clone(s.changeTimes[cut:])
	}
}

func (s *Store) changesSince(prefix string, rev api.Revision) []api.Change {
	var out []api.Change
	from := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Version > rev })
	for _, c := range s.changes[from:] {
		if strings.HasPrefix(c.Put, prefix) && c.Put != "" || strings.HasPrefix(c.Drop, prefix) && c.Drop != "" {
			out = append(out, c)
		}
	}
	return out
}

func writeJSON(answer func(int, []byte), status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	answer(status, b)
}

func (s *Store) notifyWatches() {
	var remaining []*storeWatch
	for _, w := range s.watches {
		if w.closed {
			continue
		}
		if s.refusedControllers[w.controllerName] { // its watches stay open
			remaining = append(remaining, w)
			continue
		}
		if log := s.changesSince(w.prefix, w.sinceRevision); len(log) > 0 {
			w.closed = true
			writeJSON(w.answer, 200, api.Changes{Revision: s.revision, Log: log})
			continue
		}
		remaining = append(remaining, w)
	}
	s.watches = remaining
}

// exceedsRateLimit reports whether a request exceeds the rate limits, and takes its tokens if it does not.
func (s *Store) exceedsRateLimit(method, target string, body []byte) bool {
	if !s.RateLimited {
		return false
	}
	cfg := s.sim.configs[s.sim.controllerNames[0]].Deployment.State
	since := (s.sim.Now - s.refilledAt).Seconds()
	s.refilledAt = s.sim.Now
	s.requestTokens = min(cfg.RPS, s.requestTokens+cfg.RPS*since)
	s.writeTokens = min(cfg.WriteRPS, s.writeTokens+cfg.WriteRPS*since)
	writes := 0.0
	if method == "POST" && target == api.PathTxn {
		var t api.Txn
		_ = exactjson.Decode(body, &t) // a malformed transaction is refused later
		writes = float64(len(t.Writes))
	}
	if s.requestTokens < 1 || s.writeTokens < writes {
		return true
	}
	s.requestTokens--
	s.writeTokens -= writes
	return false
}

// Serve handles a request and calls answer with the response, for a watch possibly later.
func (s *Store) Serve(controllerName, method, target string, body []byte, answer func(int, []byte)) {
	s.Requests++
	if s.unavailable || s.refusedControllers[controllerName] {
		answer(503, []byte(`{"error":"trouble"}`))
		return
	}
	if s.exceedsRateLimit(method, target, body) {
		s.ThrottledRequests++
		answer(429, []byte(`{"error":"too many"}`))
		return
	}
	u, err := url.Parse(target)
	if err != nil {
		answer(400, nil)
		return
	}
	q := u.Query()
	switch {
	case method == "POST" && u.Path == api.PathTxn:
		s.commitTransaction(body, answer)
	case method == "POST" && u.Path == api.PathLeases:
		s.grantLease(body, answer)
	case method == "POST" && strings.HasPrefix(u.Path, api.PathLeases+"/"):
		n, err := strconv.ParseUint(strings.Split(u.Path, "/")[2], 10, 64)
		if err != nil {
			answer(400, nil)
			return
		}
		id := api.LeaseID(n)
		if _, ok := s.leaseExpiry[id]; !ok {
			answer(404, []byte(`{}`))
			return
		}
		s.leaseExpiry[id] = s.sim.Now + s.leaseTTL[id]
		answer(200, []byte(`{}`))
	case method == "GET" && u.Path == api.PathKeys:
		s.listPage(q, answer)
	case method == "GET" && strings.HasPrefix(u.Path, api.PathKeys+"/"):
		key := u.Path[len(api.PathKeys)+1:]
		if !validStoreKey(key) {
			answer(400, nil)
			return
		}
		e, ok := s.entries[key]
		if !ok {
			writeJSON(answer, 404, map[string]api.Revision{"registro": s.revision})
			return
		}
		writeJSON(answer, 200, api.KeyValue{Key: key, Value: e.value, Version: e.version})
	case method == "GET" && u.Path == api.PathChanges:
		s.watch(controllerName, q, answer)
	default:
		answer(400, nil)
	}
}

// grantLease grants a lease.
func (s *Store) grantLease(body []byte, answer func(int, []byte)) {
	var request api.LeaseRequest
	if exactjson.Decode(body, &request) != nil || request.TTL < minLeaseMillis || request.TTL > maxLeaseMillis {
		answer(400, nil)
		return
	}
	s.lastLease++
	s.leaseTTL[s.lastLease] = time.Duration(request.TTL) * time.Millisecond
	s.leaseExpiry[s.lastLease] = s.sim.Now + s.leaseTTL[s.lastLease]
	writeJSON(answer, 200, api.LeaseResponse{Lease: s.lastLease})
}

// watch returns the changes since a revision: at once if there are any or the wait is 0, otherwise when there are
// any or the wait ends.
func (s *Store) watch(controllerName string, q url.Values, answer func(int, []byte)) {
	since, sinceErr := strconv.ParseUint(q.Get("since"), 10, 64)
	wait, waitErr := strconv.Atoi(cmp.Or(q.Get("wait_ms"), "0"))
	if sinceErr != nil || waitErr != nil || wait < 0 || wait > maxWatchMillis {
		answer(400, nil)
		return
	}
	w := &storeWatch{controllerName: controllerName, prefix: q.Get("under"), sinceRevision: api.Revision(since), answer: answer}
	if w.sinceRevision < s.compactedRevision {
		answer(410, []byte(`{}`))
		return
	}
	log := s.changesSince(w.prefix, w.sinceRevision)
	if len(log) > 0 || wait == 0 {
		writeJSON(answer, 200, api.Changes{Revision: s.revision, Log: log})
		return
	}
	s.watches = append(s.watches, w)
	s.sim.After(time.Duration(wait)*time.Millisecond, func() {
		if !w.closed && !s.unavailable && !s.refusedControllers[controllerName] {
			w.closed = true
			writeJSON(answer, 200, api.Changes{Revision: s.revision})
		}
	})
}

func (s *Store) commitTransaction(body []byte, answer func(int, []byte)) {
	var t api.Txn
	cfg := s.sim.configs[s.sim.controllerNames[0]].Deployment.State
	if reason := malformedTxn(body, &t, storeLimits{valueBytes: int(cfg.ValueKB * 1024), txnOps: cfg.TxnOps}); reason != "" {
		s.sim.Checker.RecordViolation(s.sim.Now, invariant.RuleRejectedWrite, "%s: %.200s", reason, body)
		writeJSON(answer, 400, map[string]string{"error": reason})
		return
	}
	if what := missingGuard(&t); what != "" {
		s.sim.Checker.RecordViolation(s.sim.Now, invariant.RuleMissingWriteGuard, "%s", what)
	}
	s.Writes += len(t.Writes)
	for _, w := range t.Writes {
		s.LargestValue = max(s.LargestValue, len(w.Value))
		if _, ok := s.leaseExpiry[w.Lease]; w.Lease != 0 && !ok {
			answer(400, []byte(`{"error":"no such lease"}`))
			return
		}
	}
	var failed []string
	for _, c := range t.If {
		if s.entries[c.Key].version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		writeJSON(answer, 409, api.TxnResponse{Failed: failed, Revision: s.revision})
		return
	}
	if len(t.Writes) > 0 {
		s.revision++
	}
	for _, w := range t.Writes {
		if w.Drop != "" {
			if _, ok := s.entries[w.Drop]; ok {
				s.appendChange(api.Change{Drop: w.Drop, Version: s.revision}, 0)
			}
			continue
		}
		s.sim.Tenants.observeWrite(w.Put, w.Value)
		if strings.HasPrefix(w.Put, "b/part/") {
			s.OwnershipChanges++
			s.sim.deliverHeldHeartbeats()
		}
		if w.Put == "b/short" {
			s.ShortageWrites++
		}
		s.appendChange(api.Change{Put: w.Put, Value: w.Value, Version: s.revision}, w.Lease)
	}
	writeJSON(answer, 200, api.TxnResponse{Revision: s.revision})
	s.notifyWatches()
}

func (s *Store) listPage(q url.Values, answer func(int, []byte)) {
	limit, err := strconv.Atoi(cmp.Or(q.Get("limit"), "1000"))
	if err != nil || limit < 1 {
		answer(400, nil)
		return
	}
	limit = min(limit, maxPageItems)
	var keys []string
	for k := range s.entries {
		if strings.HasPrefix(k, q.Get("under")) && k > q.Get("since") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	out := api.KeyPage{Revision: s.revision, Pairs: []api.KeyValue{}}
	s.PagesRead++
	for _, k := range keys {
		if len(out.Pairs) == limit {
			out.More = true
			break
		}
		out.Pairs = append(out.Pairs, api.KeyValue{Key: k, Value: s.entries[k].value, Version: s.entries[k].version})
		s.PageBytesRead += len(k) + len(s.entries[k].value)
	}
	writeJSON(answer, 200, out)
}

// BytesUnder returns the total size of the keys and values with a prefix.
func (s *Store) BytesUnder(prefix string) int {
	sum := 0
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			sum += len(k) + len(e.value)
		}
	}
	return sum
}
