package skipledger

import (
	"fmt"
	"math"
	"testing"
	"time"

	"basaltwall/api"
)

// twoLedgers returns the ledgers of two controllers that share a key-value store with ten skips.
func twoLedgers(t *testing.T) (a, b *Ledger, store *fakeLog) {
	t.Helper()
	store = &fakeLog{versions: map[string]api.Revision{}}
	a = NewLedger("a", 1, clockError, Limits{MaxValueBytes: 8 << 10, MaxPuts: 12})
	b = NewLedger("b", 1, clockError, Limits{MaxValueBytes: 8 << 10, MaxPuts: 12})
	a.Enqueue(&PendingRequest{Request: addRequest("d", "k", 10)})
	if tx := a.Compose(0, 1, 0); tx == nil || a.HandleOutcome(0, 200, store.commit(t, tx)) != StepDone {
		t.Fatal("the skips were not added")
	}
	if err := b.ApplyChanges(store.changes(0)); err != nil {
		t.Fatal(err)
	}
	return a, b, store
}

type fakeLog struct {
	versions map[string]api.Revision
	entries  []api.Change
	revision api.Revision
}

// commit applies a transaction, and returns 0 if its condition fails.
func (s *fakeLog) commit(t *testing.T, tx *api.Txn) api.Revision {
	t.Helper()
	for _, c := range tx.If {
		if s.versions[c.Key] != c.Version {
			return 0
		}
	}
	s.revision++
	for _, w := range tx.Writes {
		s.versions[w.Put] = s.revision
		s.entries = append(s.entries, api.Change{Put: w.Put, Value: w.Value, Version: s.revision})
	}
	return s.revision
}

func (s *fakeLog) changes(since api.Revision) api.Changes {
	c := api.Changes{Revision: s.revision}
	for _, ch := range s.entries {
		if ch.Version > since {
			c.Log = append(c.Log, ch)
		}
	}
	return c
}

func promiseRequest(key IdempotencyKey, site Site, got *[]Result) *PendingRequest {
	return &PendingRequest{Request: &Request{Type: OpPromise, Depot: "d", Skip: "k-0003", Key: key, Site: site, From: 5, To: 7}, Respond: func(r Result) { *got = append(*got, r) }}
}

// If two controllers promise the same skip concurrently, one record is written, and the other controller
// refuses its request.
func TestConcurrentPromisesOfOneSkip(t *testing.T) {
	a, b, store := twoLedgers(t)
	var resultsA, resultsB []Result
	a.Enqueue(promiseRequest("x", "site-a", &resultsA))
	b.Enqueue(promiseRequest("y", "site-b", &resultsB))
	txA, txB := a.Compose(0, 1, 0), b.Compose(0, 1, 0)
	if a.HandleOutcome(0, 200, store.commit(t, txA)) != StepDone || store.commit(t, txB) != 0 || b.HandleOutcome(0, 409, 0) != StepRead {
		t.Fatal("not exactly one of two records was written")
	}
	if err := b.ApplyChanges(store.changes(b.Revision())); err != nil {
		t.Fatal(err)
	}
	b.ResolveConflict(0)
	if tx := b.Compose(0, 1, 0); tx != nil || len(resultsA) != 1 || resultsA[0].Reason != "" || len(resultsB) != 1 || resultsB[0].Reason != ReasonBooked || b.ConflictCount != 1 {
		t.Errorf("%+v and %+v", resultsA, resultsB)
	}
}

// If a write with an unknown outcome succeeded, its requests are answered from the log, and nothing is
// promised twice.
func TestRecordWithUnknownOutcomeIsReadBack(t *testing.T) {
	a, _, store := twoLedgers(t)
	var got []Result
	a.Enqueue(promiseRequest("x", "site-a", &got))
	tx := a.Compose(0, 1, 0)
	store.commit(t, tx) // its response is lost
	if a.HandleOutcome(0, 0, 0) != StepRetry || store.commit(t, tx) != 0 || a.HandleOutcome(0, 409, 0) != StepRead {
		t.Fatal("the same record is written twice")
	}
	if err := a.ApplyChanges(store.changes(a.Revision())); err != nil {
		t.Fatal(err)
	}
	a.ResolveConflict(0)
	if len(got) != 1 || got[0].Reason != "" || got[0].Booking.Stage != Promised || a.ConflictCount != 0 {
		t.Errorf("%+v", got)
	}
}

// Requests that need no write are answered only if the ledger was read after they arrived; otherwise a
// stalled controller would answer from outdated state.
func TestResponsesNeedCurrentRead(t *testing.T) {
	a, b, store := twoLedgers(t)
	var first, second []Result
	a.Enqueue(promiseRequest("x", "site-a", &first))
	if tx := a.Compose(0, 1, 0); a.HandleOutcome(0, 200, store.commit(t, tx)) != StepDone {
		t.Fatal("the record was not written")
	}
	repeated := promiseRequest("x", "site-a", &second)
	repeated.ArrivedAt = api.Time(10 * time.Second)
	if err := b.ApplyChanges(store.changes(b.Revision())); err != nil {
		t.Fatal(err)
	}
	b.Enqueue(repeated)
	if b.Compose(0, 1, repeated.ArrivedAt-1); len(second) != 0 {
		t.Errorf("answered by a read from before the request arrived: %+v", second)
	}
	if b.Compose(0, 1, repeated.ArrivedAt); len(second) != 1 || second[0].Booking.ID != first[0].Booking.ID {
		t.Errorf("the same key gets %+v, then %+v", first, second)
	}
}

// Requests that time out are removed and returned, and their writes in flight continue.
func TestTimedOutRequests(t *testing.T) {
	a, _, store := twoLedgers(t)
	var got, other []Result
	a.Enqueue(promiseRequest("x", "site-a", &got))
	tx := a.Compose(0, 1, 0)
	a.Enqueue(&PendingRequest{Request: &Request{Type: OpPromise, Depot: "d", Kind: "k", Key: "z", Site: "s", From: 5, To: 6}, ArrivedAt: 5, Respond: func(r Result) { other = append(other, r) }})
	timedOut := a.RemoveTimedOut(5)
	if len(timedOut) != 1 || timedOut[0].Request.Key != "x" {
		t.Fatalf("%d requests timed out", len(timedOut))
	}
	if a.HandleOutcome(0, 200, store.commit(t, tx)) != StepDone || len(got) != 0 {
		t.Errorf("a timed-out request is answered again: %+v", got)
	}
	if a.HasPending(0); len(a.RemoveTimedOut(6)) != 1 || a.HasPending(0) {
		t.Error("a pending request does not time out")
	}
}

// A record that the key-value store refuses for good is not sent again: smaller ones follow, and the
// requests of the smallest are refused.
func TestRejectedRecordIsMadeSmaller(t *testing.T) {
	a, _, _ := twoLedgers(t)
	var got []Result
	const requests = 60
	for i := range requests {
		r := promiseRequest(IdempotencyKey(fmt.Sprintf("%064d", i)), "site", &got)
		r.Request.From, r.Request.To = Day(5+2*i), Day(7+2*i)
		a.Enqueue(r)
	}
	size := math.MaxInt
	for step := 0; len(got) == 0; step++ {
		tx := a.Compose(0, 2, 0)
		if tx == nil {
			break
		}
		if step > maxHalvings {
			t.Fatalf("another record after %d refusals", step)
		}
		if smaller := len(tx.Writes[0].Value); smaller > size {
			t.Fatalf("a record of %d bytes after one of %d was refused", smaller, size)
		} else {
			size = smaller
		}
		if next := a.HandleOutcome(0, statusRejected, 0); next != StepDone {
			t.Fatalf("step %v after a refusal, expected none", next)
		}
	}
	if len(got) == 0 || got[0].Reason != ReasonRecordTooLarge {
		t.Errorf("answers %+v, expected %q", got, ReasonRecordTooLarge)
	}
}
