package reservation

import (
	"testing"
	"time"

	"basaltwall/api"
)

// twoLedgers are the ledgers of two controllers over one key-value store, with ten skips of a kind.
func twoLedgers(t *testing.T) (a, b *Ledger, service *fakeLog) {
	t.Helper()
	service = &fakeLog{versions: map[string]api.Revision{}}
	a = NewLedger("a", 1, clockError, Limits{MaxValueBytes: 8 << 10, MaxPuts: 12})
	b = NewLedger("b", 1, clockError, Limits{MaxValueBytes: 8 << 10, MaxPuts: 12})
	a.Enqueue(&PendingRequest{Request: addRequest("d", "k", 10)})
	if tx := a.Compose(0, 1, 0); tx == nil || a.HandleOutcome(0, 200, service.commit(t, tx)) != StepDone {
		t.Fatal("no import")
	}
	if err := b.ApplyChanges(service.changes(0)); err != nil {
		t.Fatal(err)
	}
	return a, b, service
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

func promiseRequest(name IdempotencyKey, site Site, got *[]Result) *PendingRequest {
	return &PendingRequest{Request: &Request{Type: OpPromise, Depot: "d", Skip: "k-0003", Key: name, Site: site, From: 5, To: 7}, Respond: func(r Result) { *got = append(*got, r) }}
}

// Two controllers promise the same skip at once: one record is written, and the requests of the other
// see it.
func TestConcurrentPromisesOfOneSkip(t *testing.T) {
	a, b, service := twoLedgers(t)
	var ofA, ofB []Result
	a.Enqueue(promiseRequest("x", "site-a", &ofA))
	b.Enqueue(promiseRequest("y", "site-b", &ofB))
	txA, txB := a.Compose(0, 1, 0), b.Compose(0, 1, 0)
	if a.HandleOutcome(0, 200, service.commit(t, txA)) != StepDone || service.commit(t, txB) != 0 || b.HandleOutcome(0, 409, 0) != StepRead {
		t.Fatal("not one of two")
	}
	if err := b.ApplyChanges(service.changes(b.Revision())); err != nil {
		t.Fatal(err)
	}
	b.ResolveConflict(0)
	if tx := b.Compose(0, 1, 0); tx != nil || len(ofA) != 1 || ofA[0].Reason != "" || len(ofB) != 1 || ofB[0].Reason != ReasonBooked || b.Conflicts != 1 {
		t.Errorf("%+v and %+v", ofA, ofB)
	}
}

// A record of unknown outcome was written after all: the log gives the answers, and nothing is promised
// twice.
func TestRecordWithUnknownOutcomeIsReadBack(t *testing.T) {
	a, _, service := twoLedgers(t)
	var got []Result
	a.Enqueue(promiseRequest("x", "site-a", &got))
	tx := a.Compose(0, 1, 0)
	service.commit(t, tx) // its response is lost
	if a.HandleOutcome(0, 0, 0) != StepRetry || service.commit(t, tx) != 0 || a.HandleOutcome(0, 409, 0) != StepRead {
		t.Fatal("the same record is written twice")
	}
	if err := a.ApplyChanges(service.changes(a.Revision())); err != nil {
		t.Fatal(err)
	}
	a.ResolveConflict(0)
	if len(got) != 1 || got[0].Reason != "" || got[0].Booking.Stage != Promised || a.Conflicts != 0 {
		t.Errorf("%+v", got)
	}
}

// Requests that need no write are answered only if the ledger was read after they arrived: a stalled
// controller would offer from outdated state what has been given to another since.
func TestResponsesNeedCurrentRead(t *testing.T) {
	a, b, service := twoLedgers(t)
	var first, second []Result
	a.Enqueue(promiseRequest("x", "site-a", &first))
	if tx := a.Compose(0, 1, 0); a.HandleOutcome(0, 200, service.commit(t, tx)) != StepDone {
		t.Fatal("not written")
	}
	ask := promiseRequest("x", "site-a", &second)
	ask.ArrivedAt = api.Time(10 * time.Second)
	if err := b.ApplyChanges(service.changes(b.Revision())); err != nil {
		t.Fatal(err)
	}
	b.Enqueue(ask)
	if b.Compose(0, 1, ask.ArrivedAt-1); len(second) != 0 {
		t.Errorf("answered by a read from before it came: %+v", second)
	}
	if b.Compose(0, 1, ask.ArrivedAt); len(second) != 1 || second[0].Booking.ID != first[0].Booking.ID {
		t.Errorf("the same name gets %+v, then %+v", first, second)
	}
}

// Requests that time out are returned, and writes in flight for them continue.
func TestTimedOutRequests(t *testing.T) {
	a, _, service := twoLedgers(t)
	var got, other []Result
	a.Enqueue(promiseRequest("x", "site-a", &got))
	tx := a.Compose(0, 1, 0)
	a.Enqueue(&PendingRequest{Request: &Request{Type: OpPromise, Depot: "d", Kind: "k", Key: "z", Site: "s", From: 5, To: 6}, ArrivedAt: 5, Respond: func(r Result) { other = append(other, r) }})
	late := a.RemoveTimedOut(5)
	if len(late) != 1 || late[0].Request.Key != "x" {
		t.Fatalf("%d are late", len(late))
	}
	if a.HandleOutcome(0, 200, service.commit(t, tx)) != StepDone || len(got) != 0 {
		t.Errorf("told twice: %+v", got)
	}
	if a.HasPending(0); len(a.RemoveTimedOut(6)) != 1 || a.HasPending(0) {
		t.Error("what waits for its turn is not told")
	}
}
