package reservations

// This file keeps the replica current and writes what was asked of it.

import (
	"log/slog"
	"math"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/reservation"
)

// SyncLedger does what is due: it reads the ledger once somebody asked for it, answers requests that waited for
// too long, and reads and writes what was asked.
func (s *Service) SyncLedger() {
	if !s.requested {
		return
	}
	s.expireRequests()
	s.sweepArchive()
	if s.busy || s.core.Now < s.nextReadAt {
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

// expireRequests refuses requests that have waited for too long.
func (s *Service) expireRequests() {
	deadline := s.core.Now.Add(-requestTimeout)
	var expired []*reservation.PendingRequest
	if s.replica != nil {
		expired = s.replica.RemoveTimedOut(deadline)
	}
	for len(s.pendingRequests) > 0 && s.pendingRequests[0].ArrivedAt < deadline {
		expired, s.pendingRequests = append(expired, s.pendingRequests[0]), s.pendingRequests[1:]
	}
	for _, request := range expired {
		request.Respond(reservation.Result{Reason: reservation.ReasonBusy})
	}
}

// sweepArchive deletes what has been kept in the archive for long enough, the oldest first. The
// owner of partition 0 does.
func (s *Service) sweepArchive() {
	owned := s.core.Partitions[0]
	if owned == nil || s.sweeping || s.core.Now.Sub(s.sweptAt) < sweepInterval || s.core.Overloaded() {
		return
	}
	s.sweptAt, s.sweeping = s.core.Now, true
	s.core.SweepPrefix(owned, reservation.KeyArchive, reservation.ArchiveRetention, func() { s.sweeping = false })
}

// readDue reports whether something waits for a current read: a question, a change, a conflict or a cleanup; or
// whether the last read is long ago.
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

// readChanges reads what others wrote, answers the questions that waited for it, and writes.
func (s *Service) readChanges() {
	s.busy, s.nextReadAt = true, s.core.Now.Add(s.core.LookupInterval)
	startedAt, waiting := s.core.Now, s.pendingReads
	s.pendingReads = nil
	changes := &message.ChangesRequest{Since: s.replica.Revision(), Prefix: reservation.Root}
	s.core.CallStore(message.StoreCall{Changes: changes}, func(a message.StoreResponse) {
		s.busy = false
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

// applyChanges brings the replica up to date, or reports that it could not. A replica that the log does not
// reach back to, or does not fit, is read anew.
func (s *Service) applyChanges(a message.StoreResponse) bool {
	switch a.Status {
	case 200:
		if err := s.replica.ApplyChanges(a.Changes); err != nil {
			slog.Error("reservation ledger reload", "err", err)
			s.reset()
			return false
		}
		return true
	case 410:
		s.reset()
	}
	return false
}

// reset has the ledger read anew; what waits stays.
func (s *Service) reset() {
	s.pendingRequests = append(s.pendingRequests, s.replica.RemoveTimedOut(math.MaxInt64)...)
	s.replica, s.resumeLoad = nil, nil
}

// writeShards writes the next records by a read that began at readAt.
func (s *Service) writeShards(readAt api.Time) {
	for i := range s.core.State.Partitions {
		if s.staleShards[i] {
			s.staleShards[i] = false
			s.replica.ResolveConflict(i)
		}
		s.writeShard(i, readAt)
	}
}

// writeShard writes a shard's next record, if there is one and the writes for it.
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

// refillWriteTokens adds the writes that the ledger may use since it was last called: this controller's part of
// the ledger's share.
func (s *Service) refillWriteTokens() {
	limits := s.core.Config.Deployment.State
	rate := core.LedgerWriteShare * limits.WriteRPS / float64(max(1, len(s.core.State.Members)))
	s.writeTokens = min(max(rate, float64(limits.TxnOps)), s.writeTokens+rate*s.core.Now.Sub(s.writeTokensAt).Seconds())
	s.writeTokensAt = s.core.Now
}

// sendWrite sends a record again and again until its outcome is known.
func (s *Service) sendWrite(replica *reservation.Ledger, shard int, tx api.Txn) {
	s.core.CallStoreTxn(tx, func(a message.StoreResponse) {
		if s.replica != replica {
			return // read anew meanwhile: the requests' keys tell what became of it
		}
		switch replica.HandleOutcome(shard, a.Status, a.Txn.Revision) {
		case reservation.StepRead:
			s.staleShards[shard] = true
		case reservation.StepRetry:
			s.core.DeferCall(func() { s.sendWrite(replica, shard, tx) })
		}
	})
}
