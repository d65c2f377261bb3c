package skips

import (
	"testing"
	"time"

	"basaltwall/api"
)

// two are two controllers' ledgers over one state service, with ten skips of a kind.
func two(t *testing.T) (a, b *Ledger, service *logService) {
	t.Helper()
	service = &logService{vers: map[string]api.Revision{}}
	a = NewLedger("a", 1, clockError, Limits{Bytes: 8 << 10, Puts: 12})
	b = NewLedger("b", 1, clockError, Limits{Bytes: 8 << 10, Puts: 12})
	a.Ask(&Ask{Request: fleet("d", "k", 10)})
	if tx := a.Compose(0, 1, 0); tx == nil || a.Outcome(0, 200, service.commit(t, tx)) != Done {
		t.Fatal("no import")
	}
	if err := b.Take(service.changes(0)); err != nil {
		t.Fatal(err)
	}
	return a, b, service
}

type logService struct {
	vers map[string]api.Revision
	log  []api.Change
	rev  api.Revision
}

// commit carries out a transaction, 0 if its condition fails.
func (s *logService) commit(t *testing.T, tx *api.Txn) api.Revision {
	for _, c := range tx.If {
		if s.vers[c.Key] != c.Version {
			return 0
		}
	}
	s.rev++
	for _, w := range tx.Writes {
		s.vers[w.Put] = s.rev
		s.log = append(s.log, api.Change{Put: w.Put, Value: w.Value, Version: s.rev})
	}
	return s.rev
}

func (s *logService) changes(since api.Revision) api.Changes {
	c := api.Changes{Revision: s.rev}
	for _, ch := range s.log {
		if ch.Version > since {
			c.Log = append(c.Log, ch)
		}
	}
	return c
}

func promiseOf(name Name, site Site, got *[]Result) *Ask {
	return &Ask{Request: &Request{Do: Promise, Depot: "d", Skip: "k-0003", Name: name, Site: site, From: 5, To: 7}, Answer: func(r Result) { *got = append(*got, r) }}
}

// Two controllers promise the same skip in one instant: one record is written, the other's
// requests see it.
func TestTwoPromiseOneSkipAtOnce(t *testing.T) {
	a, b, service := two(t)
	var ofA, ofB []Result
	a.Ask(promiseOf("x", "site-a", &ofA))
	b.Ask(promiseOf("y", "site-b", &ofB))
	txA, txB := a.Compose(0, 1, 0), b.Compose(0, 1, 0)
	if a.Outcome(0, 200, service.commit(t, txA)) != Done || service.commit(t, txB) != 0 || b.Outcome(0, 409, 0) != Read {
		t.Fatal("not one of two")
	}
	if err := b.Take(service.changes(b.Rev())); err != nil {
		t.Fatal(err)
	}
	b.Settle(0)
	if tx := b.Compose(0, 1, 0); tx != nil || len(ofA) != 1 || ofA[0].Why != "" || len(ofB) != 1 || ofB[0].Why != Taken || b.Conflicts != 1 {
		t.Errorf("%+v and %+v", ofA, ofB)
	}
}

// A record whose outcome is not known was written after all: what the log says of it is the
// answer, and nothing is promised twice.
func TestAnUnansweredRecordIsReadBack(t *testing.T) {
	a, _, service := two(t)
	var got []Result
	a.Ask(promiseOf("x", "site-a", &got))
	tx := a.Compose(0, 1, 0)
	service.commit(t, tx) // its answer is lost
	if a.Outcome(0, 0, 0) != Again || service.commit(t, tx) != 0 || a.Outcome(0, 409, 0) != Read {
		t.Fatal("the same record is written twice")
	}
	if err := a.Take(service.changes(a.Rev())); err != nil {
		t.Fatal(err)
	}
	a.Settle(0)
	if len(got) != 1 || got[0].Why != "" || got[0].Item.Stage != Promised || a.Conflicts != 0 {
		t.Errorf("%+v", got)
	}
}

// What needs no write is answered only if the ledger was read after it came: who stood still
// with an old one would offer what has been given to another since.
func TestAnswersRestOnALaterRead(t *testing.T) {
	a, b, service := two(t)
	var first, second []Result
	a.Ask(promiseOf("x", "site-a", &first))
	if tx := a.Compose(0, 1, 0); a.Outcome(0, 200, service.commit(t, tx)) != Done {
		t.Fatal("not written")
	}
	ask := promiseOf("x", "site-a", &second)
	ask.At = api.Time(10 * time.Second)
	if err := b.Take(service.changes(b.Rev())); err != nil {
		t.Fatal(err)
	}
	b.Ask(ask)
	if b.Compose(0, 1, ask.At-1); len(second) != 0 {
		t.Errorf("answered by a read from before it came: %+v", second)
	}
	if b.Compose(0, 1, ask.At); len(second) != 1 || second[0].Item.Num != first[0].Item.Num {
		t.Errorf("the same name gets %+v, then %+v", first, second)
	}
}

// Who has waited too long is told so, and what is being written for them goes on.
func TestLateRequests(t *testing.T) {
	a, _, service := two(t)
	var got, other []Result
	a.Ask(promiseOf("x", "site-a", &got))
	tx := a.Compose(0, 1, 0)
	a.Ask(&Ask{Request: &Request{Do: Promise, Depot: "d", Kind: "k", Name: "z", Site: "s", From: 5, To: 6}, At: 5, Answer: func(r Result) { other = append(other, r) }})
	late := a.Late(5)
	if len(late) != 1 || late[0].Request.Name != "x" {
		t.Fatalf("%d are late", len(late))
	}
	if a.Outcome(0, 200, service.commit(t, tx)) != Done || len(got) != 0 {
		t.Errorf("told twice: %+v", got)
	}
	if a.Waits(0); len(a.Late(6)) != 1 || a.Waits(0) {
		t.Error("what waits for its turn is not told")
	}
}
