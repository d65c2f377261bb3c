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

// maxHalvings is the number of halvings after which a record is composed from a single request.
const maxHalvings = 8

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
	d, txn, err := g.composeFitting(shard, requests, now)
	queue.pending = slices.Clone(queue.pending[d.RequestCount:])
	pending = slices.Clone(pending[:d.RequestCount])
	if len(d.Record.Ops) == 0 {
		for i, a := range pending {
			g.respond(a, d.Results[i])
		}
		return nil
	}
	if err != nil || !s.HasRingSpace() {
		for _, a := range pending {
			g.respond(a, Result{Reason: ReasonBusy})
		}
		return nil
	}
	queue.inFlight = &inFlightWrite{draft: d, requests: pending, txn: txn}
	return &queue.inFlight.txn
}

// composeFitting composes the next record of a shard from fewer and fewer requests until its transaction
// is within the limits: the record may also write several blocks, to which it adds bookings.
func (g *Ledger) composeFitting(shard int, requests []*Request, now api.WallTime) (d Draft, txn api.Txn, err error) {
	writerID := fmt.Sprintf("%s-%d", g.WriterID, g.composedRecords)
	requests = requests[:min(len(requests), max(1, maxRequestsPerRecord>>g.queues[shard].halvings))]
	for {
		d = g.shards[shard].Compose(writerID, requests, now, g.ClockError, g.Limits)
		data, err := json.Marshal(d.Record)
		if err != nil || len(d.Record.Ops) == 0 {
			return d, api.Txn{}, err
		}
		txn = g.transaction(shard, &d, data, now)
		if g.fits(txn) || d.RequestCount <= 1 {
			return d, txn, nil
		}
		requests = requests[:d.RequestCount/2]
	}
}

// fits reports whether a transaction is within the limits of the key-value store.
func (g *Ledger) fits(txn api.Txn) bool {
	for _, w := range txn.Writes {
		if len(w.Value) > g.Limits.MaxValueBytes {
			return false
		}
	}
	body, err := json.Marshal(txn)
	return err == nil && len(body) <= api.MaxTxnBytes
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
	statusRejected  = 400
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
	case status == statusRejected:
		g.reduce(shard)
		return StepDone
	}
	return StepRetry
}

// reduce ends a write that was refused for good. Its requests are pending again and are written in smaller
// records. A single request is refused.
func (g *Ledger) reduce(shard int) {
	queue := &g.queues[shard]
	w := queue.inFlight
	queue.inFlight = nil
	if len(w.requests) > 1 {
		queue.halvings = min(queue.halvings+1, maxHalvings)
		queue.pending = append(w.requests, queue.pending...)
		return
	}
	for _, a := range w.requests {
		g.respond(a, Result{Reason: ReasonRecordTooLarge})
	}
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
	queue.halvings = max(0, queue.halvings-1)
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
