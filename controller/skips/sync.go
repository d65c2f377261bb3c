package skips

// This file updates the replica and writes the pending requests.

import (
	"log/slog"
	"math"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/skipledger"
)

// SyncLedger advances the ledger once there was a request: it refuses requests that have timed out, sweeps the
// archive, loads the replica, and reads and writes changes when they are due.
func (s *Service) SyncLedger() {
	if !s.requested {
		return
	}
	s.expireRequests()
	s.sweepArchive()
	if s.readInFlight || s.core.Now < s.nextReadAt {
		return
	}
	if s.replica == nil {
		s.load()
		return
	}
	if s.readDue() {
		s.readChanges()
	}
}

// expireRequests refuses requests that have timed out.
func (s *Service) expireRequests() {
	deadline := s.core.Now.Add(-requestTimeout)
	var expired []*skipledger.PendingRequest
	if s.replica != nil {
		expired = s.replica.RemoveTimedOut(deadline)
	}
	for len(s.pendingRequests) > 0 && s.pendingRequests[0].ArrivedAt < deadline {
		expired, s.pendingRequests = append(expired, s.pendingRequests[0]), s.pendingRequests[1:]
	}
	for _, request := range expired {
		request.Respond(skipledger.Result{Reason: skipledger.ReasonBusy})
	}
}

// sweepArchive deletes archive entries past their retention, the oldest first. Only the owner of partition 0 does so.
func (s *Service) sweepArchive() {
	owned := s.core.Partitions[0]
	if owned == nil || s.sweeping || s.core.Now.Sub(s.sweptAt) < sweepInterval || s.core.Overloaded() {
		return
	}
	s.sweptAt, s.sweeping = s.core.Now, true
	s.core.DeleteExpiredRecords(owned, skipledger.ArchivePrefix, skipledger.ArchiveRetention, func() { s.sweeping = false })
}

// readDue reports whether the changes must be read: for a pending query or change, after a conflict, for a cleanup,
// or because the last read is older than readInterval.
func (s *Service) readDue() bool {
	due := len(s.pendingReads) > 0 || s.core.Now.Sub(s.readAt) > readInterval
	for i := range s.core.State.Partitions {
		due = due || s.staleShards[i] || s.replica.Idle(i) && s.replica.HasPending(i)
	}
	if s.core.Now.Sub(s.cleanupAt) <= cleanupInterval {
		return due
	}
	s.cleanupAt = s.core.Now
	for i := range s.core.State.Partitions {
		due = due || s.core.Partitions[api.PartitionID(i)] != nil && s.replica.Idle(i) && s.replica.NeedsCleanup(i, s.core.WallClock)
	}
	return due
}

// readChanges reads the changes by other controllers, answers the queries that wait for the read, and writes
// pending requests.
func (s *Service) readChanges() {
	s.readInFlight, s.nextReadAt = true, s.core.Now.Add(s.core.LookupInterval)
	startedAt, waiting := s.core.Now, s.pendingReads
	s.pendingReads = nil
	changes := &message.ChangesRequest{Since: s.replica.Revision(), Prefix: skipledger.KeyPrefix}
	s.core.CallStore(message.StoreCall{Changes: changes}, func(a message.StoreResponse) {
		s.readInFlight = false
		current := s.applyChanges(a) && s.core.Now.Sub(startedAt) < maxReadAge
		for _, w := range waiting {
			if current {
				w.OnRead()
			} else {
				w.OnFailure()
			}
		}
		if current {
			s.readAt = s.core.Now
			s.writeShards(startedAt)
		}
	})
}

// applyChanges updates the replica and reports whether it succeeded. The ledger is loaded again if the log no longer
// holds the changes since the last read, or if they cannot be applied.
func (s *Service) applyChanges(a message.StoreResponse) bool {
	switch a.Status {
	case 200:
		if err := s.replica.ApplyChanges(a.Changes); err != nil {
			slog.Error("reservation ledger changes could not be applied; loading the ledger again", "err", err)
			s.reset()
			return false
		}
		return true
	case 410:
		s.reset()
	}
	return false
}

// reset drops the replica, so that the ledger is loaded again, and retains the pending requests.
func (s *Service) reset() {
	s.pendingRequests = append(s.pendingRequests, s.replica.RemoveTimedOut(math.MaxInt64)...)
	s.replica, s.resumeLoad = nil, nil
}

// writeShards writes the next record of each shard, on the basis of a read that began at readAt.
func (s *Service) writeShards(readAt api.Time) {
	for i := range s.core.State.Partitions {
		if s.staleShards[i] {
			s.staleShards[i] = false
			s.replica.ResolveConflict(i)
		}
		s.writeShard(i, readAt)
	}
}

// writeShard writes a shard's next record, if there is one and the write budget allows it.
func (s *Service) writeShard(shard int, readAt api.Time) {
	s.refillWriteTokens()
	if s.writeTokens < 1 || !s.replica.Idle(shard) {
		return
	}
	tx := s.replica.Compose(shard, s.core.WallClock, readAt)
	if tx == nil {
		return
	}
	s.writeTokens -= float64(len(tx.Writes))
	s.wroteAt = s.core.Now
	s.sendWrite(s.replica, shard, *tx)
}

// refillWriteTokens refills the token bucket of writes at the rate of this controller's part of the ledger's share.
func (s *Service) refillWriteTokens() {
	limits := s.core.Config.Deployment.State
	rate := core.LedgerWriteShare * limits.WriteRPS / float64(max(1, len(s.core.State.Members)))
	s.writeTokens = min(max(rate, float64(limits.TxnOps)), s.writeTokens+rate*s.core.Now.Sub(s.writeTokensAt).Seconds())
	s.writeTokensAt = s.core.Now
}

// sendWrite writes a record, and retries until the outcome is known.
func (s *Service) sendWrite(replica *skipledger.Ledger, shard int, tx api.Txn) {
	s.core.CallStoreTxn(tx, func(a message.StoreResponse) {
		if s.replica != replica {
			return // the ledger was loaded again; idempotency keys show whether the requests were applied
		}
		switch replica.HandleOutcome(shard, a.Status, a.Txn.Revision) {
		case skipledger.StepRead:
			s.staleShards[shard] = true
		case skipledger.StepRetry:
			s.core.DeferCall(func() { s.sendWrite(replica, shard, tx) })
		}
	})
}
