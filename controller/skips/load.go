package skips

// This file loads the whole ledger into a new replica.

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/skipledger"
)

// loadFailurePause is the delay before a new load if the records could not be decoded.
const loadFailurePause = time.Second

// valueReserveBytes is the part of the maximum value size that is reserved for a record's data other than blocks.
const valueReserveBytes = 512

// load resumes or starts the load of the ledger.
func (s *Service) load() {
	s.readInFlight = true
	if s.resumeLoad != nil {
		s.resumeLoad()
		return
	}
	s.loadedPairs = nil
	s.loadPage("", 0)
}

// resumeAfter schedules the next step of the load after a pause; the load restarts if next is nil.
func (s *Service) resumeAfter(pause time.Duration, next func()) {
	s.readInFlight, s.resumeLoad, s.nextReadAt = false, next, s.core.Now.Add(pause)
}

// loadPage reads a page of the ledger and the following ones, then the changes since revision from, that of the
// first page, because the pages are of different revisions.
func (s *Service) loadPage(start string, from api.Revision) {
	s.core.CallStore(message.StoreCall{Page: &message.PageRequest{Prefix: skipledger.KeyPrefix, After: start}}, func(a message.StoreResponse) {
		if a.Status != 200 {
			s.resumeAfter(core.RetryDelay, func() { s.loadPage(start, from) })
			return
		}
		if from == 0 {
			from = a.Page.Revision
		}
		s.loadedPairs = append(s.loadedPairs, a.Page.Pairs...)
		if k := len(a.Page.Pairs); a.Page.More && k > 0 {
			s.resumeAfter(s.deps.Log.PageReadInterval(), func() { s.loadPage(a.Page.Pairs[k-1].Key, from) })
			return
		}
		s.finishLoad(from)
	})
}

// finishLoad reads the changes since the first page, and installs the replica.
func (s *Service) finishLoad(from api.Revision) {
	s.core.CallStore(message.StoreCall{Changes: &message.ChangesRequest{Since: from, Prefix: skipledger.KeyPrefix}}, func(a message.StoreResponse) {
		if a.Status == 410 { // the log no longer holds the revision of the first page
			s.resumeAfter(core.RetryDelay, nil)
			return
		}
		if a.Status != 200 {
			s.resumeAfter(core.RetryDelay, func() { s.finishLoad(from) })
			return
		}
		pairs := latestPairs(s.loadedPairs, a.Changes.Log)
		replica := s.newReplica()
		if err := replica.Load(pairs, a.Changes.Revision); err != nil {
			slog.Error("reservation ledger load failed", "err", err)
			s.resumeAfter(loadFailurePause, nil)
			return
		}
		s.resumeAfter(0, nil)
		s.Install(replica)
		slog.Info("reservation ledger loaded", "keys", len(pairs), "revision", a.Changes.Revision)
	})
}

// latestPairs returns the loaded pairs with the changes applied, sorted by key.
func latestPairs(loaded []api.KeyValue, changes []api.Change) []api.KeyValue {
	latest := map[string]api.KeyValue{}
	for _, pair := range loaded {
		latest[pair.Key] = pair
	}
	for _, change := range changes {
		if change.Put != "" && change.Version > latest[change.Put].Version {
			latest[change.Put] = api.KeyValue{Key: change.Put, Value: change.Value, Version: change.Version}
		}
	}
	pairs := make([]api.KeyValue, 0, len(latest))
	for _, key := range slices.Sorted(maps.Keys(latest)) {
		pairs = append(pairs, latest[key])
	}
	return pairs
}

// newReplica returns an empty ledger for this incarnation of the controller.
func (s *Service) newReplica() *skipledger.Ledger {
	limits := s.core.Config.Deployment.State
	writer := fmt.Sprintf("%s-%d", s.core.Config.Label, s.core.Incarnation)
	return skipledger.NewLedger(writer, len(s.core.State.Partitions), s.core.MaxClockError(),
		skipledger.Limits{
			MaxValueBytes: s.core.MaxValueBytes() - valueReserveBytes,
			MaxPuts:       limits.TxnOps,
		})
}
