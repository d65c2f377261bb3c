// Writes: composing a transaction, and what follows from its outcome.

package reservation

import (
	"encoding/json"
	"fmt"
	"slices"

	"basaltwall/api"
)

// maxRequestsPerRecord bounds the requests that one record is composed from.
const maxRequestsPerRecord = 200

// Compose answers pending requests of a shard that need no write, and makes the transaction that
// writes the next record; nil if there is none. readAt is the start of the read up to which the replica
// is current: requests that arrived later keep waiting, and so do those that do not fit into the record.
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
	g.count++
	d := s.Compose(fmt.Sprintf("%s-%d", g.WriterID, g.count), requests, now, g.ClockError, g.Limits)
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

// arrivedBy are the pending requests, up to the bound for a record, that arrived by a time.
func (q *shardQueue) arrivedBy(at api.Time) []*PendingRequest {
	arrived := 0
	for arrived < min(len(q.pending), maxRequestsPerRecord) && q.pending[arrived].ArrivedAt <= at {
		arrived++
	}
	return q.pending[:arrived]
}

// transaction writes a record, with its blocks and archive, if no other record has taken its key.
func (g *Ledger) transaction(shard int, d *Draft, record json.RawMessage, now api.WallTime) api.Txn {
	key := roundKey(shard, d.Record.Seq)
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

// ReasonBusy is the refusal while the ring has no space for another record.
const ReasonBusy RefusalReason = "the ledger can't take more now"

// NextStep is what the caller must do after the outcome of a transaction.
type NextStep int

// The next steps.
const (
	StepDone  NextStep = iota // nothing: the record is written and its requests are answered
	StepRead                  // read and apply the changes of the log, then call ResolveConflict
	StepRetry                 // send the same transaction again: its outcome must be known first
)

// HTTP statuses of a transaction's outcome.
const (
	statusCommitted = 200
	statusConflict  = 409
)

// HandleOutcome handles the outcome of a shard's transaction: the HTTP status, 0 if no response came, and
// the revision of a successful one.
func (g *Ledger) HandleOutcome(shard, status int, revision api.Revision) NextStep {
	w := g.queues[shard].inFlight
	switch {
	case w == nil:
		return StepDone
	case status == statusCommitted:
		if w.results == nil && !g.applyWritten(shard, w, revision) {
			return StepRead // records before it are not applied yet: its condition rules that out
		}
		g.complete(shard)
		return StepDone
	case status == statusConflict:
		return StepRead
	}
	return StepRetry
}

// applyWritten applies a record that was written, without waiting for the log; false if it is not the
// next one.
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

// ResolveConflict ends a write whose condition failed, once the log has been read: either an earlier
// attempt succeeded and the record is in the log, or it can never be written and its requests are
// pending again.
func (g *Ledger) ResolveConflict(shard int) {
	queue := &g.queues[shard]
	switch w := queue.inFlight; {
	case w == nil:
	case w.results != nil:
		g.complete(shard)
	default:
		g.Conflicts++
		queue.pending, queue.inFlight = append(w.requests, queue.pending...), nil
	}
}

// complete answers the requests of a record that is written.
func (g *Ledger) complete(shard int) {
	queue := &g.queues[shard]
	w := queue.inFlight
	queue.inFlight = nil
	g.Records++
	for i, a := range w.requests {
		if opIndex := w.draft.OpIndexes[i]; opIndex != noOps {
			g.respond(a, w.results[opIndex])
		} else {
			g.respond(a, w.draft.Results[i])
		}
	}
}

// respond answers a request, unless it was removed.
func (g *Ledger) respond(a *PendingRequest, r Result) {
	if r.Reason != "" {
		g.Refused[r.Reason]++
	}
	if a.Respond != nil {
		a.Respond(r)
		a.Respond = nil
	}
}
