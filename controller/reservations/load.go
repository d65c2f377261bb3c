package reservations

// This file reads the whole ledger into a new replica.

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/reservation"
)

// loadFailurePause is how long after records that make no ledger they are read again.
const loadFailurePause = time.Second

// valueReserveBytes is what of a value's size the ledger leaves, for what a record has besides its blocks.
const valueReserveBytes = 512

// load goes on with reading the ledger, or begins with it.
func (s *Service) load() {
	s.busy = true
	if s.resumeLoad != nil {
		s.resumeLoad()
		return
	}
	s.loadedPairs = nil
	s.loadPage("", 0)
}

// resumeAfter has the reading go on after a pause; without next from the beginning.
func (s *Service) resumeAfter(pause time.Duration, next func()) {
	s.busy, s.resumeLoad, s.nextReadAt = false, next, s.core.Now.Add(pause)
}

// loadPage reads all of the ledger, page by page, then what changed since the first page's revision, from: pages
// are of different revisions.
func (s *Service) loadPage(start string, from api.Revision) {
	s.core.CallStore(message.StoreCall{Page: &message.PageRequest{Prefix: reservation.Root, After: start}}, func(a message.StoreResponse) {
		if a.Status != 200 {
			s.resumeAfter(core.RetryDelay, func() { s.loadPage(start, from) })
			return
		}
		if from == 0 {
			from = a.Page.Revision
		}
		s.loadedPairs = append(s.loadedPairs, a.Page.Pairs...)
		if k := len(a.Page.Pairs); a.Page.More && k > 0 {
			s.resumeAfter(s.siblings.Log.PageReadInterval(), func() { s.loadPage(a.Page.Pairs[k-1].Key, from) })
			return
		}
		s.finishLoad(from)
	})
}

// finishLoad reads what changed while the pages were read, and installs the replica.
func (s *Service) finishLoad(from api.Revision) {
	s.core.CallStore(message.StoreCall{Changes: &message.ChangesRequest{Since: from, Prefix: reservation.Root}}, func(a message.StoreResponse) {
		if a.Status == 410 { // the pages took too long
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

// latestPairs are the pairs as the changes leave them, in the order of their keys.
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

// newReplica is an empty ledger for this incarnation of the controller.
func (s *Service) newReplica() *reservation.Ledger {
	limits := s.core.Config.Deployment.State
	writer := fmt.Sprintf("%s-%d", s.core.Config.Label, s.core.Incarnation)
	return reservation.NewLedger(writer, len(s.core.State.Partitions), s.core.MaxClockError(),
		reservation.Limits{MaxValueBytes: int(limits.ValueKB*1024) - valueReserveBytes, MaxPuts: limits.TxnOps})
}
