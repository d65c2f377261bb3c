// This file composes the transactions of a ledger and handles their outcomes.

package skipledger

import (
	"encoding/json"
	"fmt"
	"slices"

	"basaltwall/api"
)

// maxRequestsPerRecord is the maximum number of requests that one record is composed from.
const maxRequestsPerRecord = 200

// Compose answers pending requests of a shard that need no write, and returns the transaction that writes
// the next record, or nil if there is none. readAt is the start time of the read up to which the replica
// is current: requests that arrived later stay pending, and so do those that do not fit into the record.
func (g *Ledger) Compose(shard int, now api.WallTime, readAt api.Time) *api.Txn {
	queue, s := &g.queues[shard], g.shards[shard]
	if queue.inFlight != nil {
		return nil
	}
	pending := queue.arrivedBy(readAt)
	requests := make([]*Request, len(pending))
	for i, a := range pending {
		requests[i] = a.Request
	}
	g.composedRecords++
	d := s.Compose(fmt.Sprintf("%s-%d", g.WriterID, g.composedRecords), requests, now, g.ClockError, g.Limits)
	queue.pending = slices.Clone(queue.pending[d.RequestCount:])
	pending = slices.Clone(pending[:d.RequestCount])
	if len(d.Record.Ops) == 0 {
		for i, a := range pending {
			g.respond(a, d.Results[i])
		}
		return nil
	}
	data, err := json.Marshal(d.Record)
	if err != nil || !s.HasRingSpace() {
		for _, a := range pending {
			g.respond(a, Result{Reason: ReasonBusy})
		}
		return nil
	}
	queue.inFlight = &inFlightWrite{draft: d, requests: pending, txn: g.transaction(shard, &d, data, now)}
	return &queue.inFlight.txn
}

// arrivedBy returns the pending requests that arrived by a time, at most maxRequestsPerRecord.
func (q *shardQueue) arrivedBy(at api.Time) []*PendingRequest {
	arrived := 0
	for arrived < min(len(q.pending), maxRequestsPerRecord) && q.pending[arrived].ArrivedAt <= at {
		arrived++
	}
	return q.pending[:arrived]
}

// transaction returns the transaction that writes a record, with its blocks and archived bookings, on the
// condition that no other record has been written to its key.
func (g *Ledger) transaction(shard int, d *Draft, record json.RawMessage, now api.WallTime) api.Txn {
	key := ringKey(shard, d.Record.Seq)
	txn := api.Txn{
		If:     []api.Condition{{Key: key, Version: g.versions[key]}},
		Writes: []api.Write{{Put: key, Value: record}},
	}
	for _, b := range d.Blocks {
		txn.Writes = append(txn.Writes, api.Write{Put: blockKey(shard, b.ID), Value: b.Data})
	}
	if len(d.Archived) > 0 {
		data, err := json.Marshal(d.Archived)
		if err == nil {
			txn.Writes = append(txn.Writes, api.Write{Put: archiveKey(now, shard, d.Record.Seq), Value: data})
		}
	}
	return txn
}

// ReasonBusy refuses a request that the ledger can't process at present.
const ReasonBusy RefusalReason = "the ledger can't take more now"

// NextStep is the action required of the caller after the outcome of a transaction.
type NextStep int

// Actions after the outcome of a transaction.
const (
	StepDone  NextStep = iota // nothing: the record is written and its requests are answered
	StepRead                  // read and apply the changes of the log, then call ResolveConflict
	StepRetry                 // send the same transaction again, because its outcome is unknown
)

// HTTP statuses of a transaction's outcome.
const (
	statusCommitted = 200
	statusConflict  = 409
)

// HandleOutcome handles the outcome of a shard's transaction: its HTTP status, or 0 if there was no
// response, and its revision if it succeeded.
func (g *Ledger) HandleOutcome(shard, status int, revision api.Revision) NextStep {
	w := g.queues[shard].inFlight
	switch {
	case w == nil:
		return StepDone
	case status == statusCommitted:
		if w.results == nil && !g.applyWritten(shard, w, revision) {
			return StepRead // an earlier record is not applied; the condition of the transaction excludes this
		}
		g.complete(shard)
		return StepDone
	case status == statusConflict:
		return StepRead
	}
	return StepRetry
}

// applyWritten applies a written record before it is read from the log; it returns false if the record is
// not the next one.
func (g *Ledger) applyWritten(shard int, w *inFlightWrite, revision api.Revision) bool {
	s := g.shards[shard]
	if w.results = s.ApplyRecord(&w.draft.Record); w.results == nil {
		return false
	}
	g.versions[w.txn.Writes[0].Put] = revision
	for _, b := range w.draft.Blocks {
		s.BlockWritten(b.ID, w.draft.Record.Seq)
		g.versions[blockKey(shard, b.ID)] = revision
	}
	return true
}

// ResolveConflict ends a write whose condition failed, after the log has been read. If an earlier attempt
// succeeded, its requests are answered; otherwise the record can't be written any more, and its requests
// are pending again.
func (g *Ledger) ResolveConflict(shard int) {
	queue := &g.queues[shard]
	switch w := queue.inFlight; {
	case w == nil:
	case w.results != nil:
		g.complete(shard)
	default:
		g.ConflictCount++
		queue.pending, queue.inFlight = append(w.requests, queue.pending...), nil
	}
}

// complete answers the requests of a written record.
func (g *Ledger) complete(shard int) {
	queue := &g.queues[shard]
	w := queue.inFlight
	queue.inFlight = nil
	g.RecordCount++
	for i, a := range w.requests {
		if opIndex := w.draft.OpIndexes[i]; opIndex != noOps {
			g.respond(a, w.results[opIndex])
		} else {
			g.respond(a, w.draft.Results[i])
		}
	}
}

// respond answers a request unless it was removed, and counts refusals.
func (g *Ledger) respond(a *PendingRequest, r Result) {
	if r.Reason != "" {
		g.Refused[r.Reason]++
	}
	if a.Respond != nil {
		a.Respond(r)
		a.Respond = nil
	}
}
