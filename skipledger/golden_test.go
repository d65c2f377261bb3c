package skipledger

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/internal/golden"
)

// TestGolden checks that stored values of the ledger are encoded as by earlier versions.
func TestGolden(t *testing.T) {
	f := golden.Open(t)
	golden.JSON(f, "block", golden.Filled[Block](t))
	golden.JSON(f, "empty block", Block{Skips: []*Skip{{Bookings: []Booking{{}}}, {}}})
	golden.JSON(f, "record", golden.Filled[Record](t))
	golden.JSON(f, "empty record", Record{Ops: []Op{{}}})
	golden.JSON(f, "archive", golden.Filled[[]ArchivedBooking](t))
	golden.JSON(f, "counts", golden.Filled[Counts](t))
	f.Text("keys", strings.Join([]string{KeyPrefix, ringKey(3, 257), blockKey(4, 513), ArchivePrefix}, "\n"))
	var values []string
	for _, v := range []any{Offered, Promised, Delivered, Returned, Released, Expired, OpAdd, OpOutOfService, OpInService, OpOffer, OpPromise, OpRelease, OpDeliver, OpReturn, OpExpire, OpDrop,
		Day(20788), bookingID(5, 6)} {
		values = append(values, fmt.Sprint(v))
	}
	// The shard of a depot must be the same in all versions.
	for _, d := range []Depot{"hof-nord", "hof-sued", "depot-1", "depot-2"} {
		values = append(values, fmt.Sprint(d, " ", ShardOf(d, 3), " ", ShardOf(d, 7)))
	}
	f.Text("values", strings.Join(values, "\n"))
}

// A ledger decodes blocks and records of earlier versions, from a full load and from the log.
func TestGoldenLedger(t *testing.T) {
	const block = `{"u":4,"s":[{"d":"hof-nord","i":"six-1","k":"six","p":[{"n":1025,"w":"first","s":"site 1","f":20788,"t":20790,"g":"promised"}]},` +
		`{"d":"hof-nord","i":"six-2","k":"six","o":true}]}`
	const record = `{"q":5,"by":"stone-0-1-1","ops":[{"o":"offer","d":"hof-nord","i":"six-1","w":"second","f":20791,"t":20793,"u":5000,"a":4000},` +
		`{"o":"deliver","d":"hof-nord","i":"six-1","n":1025,"a":4100}]}`
	l := NewLedger("stone-1-1", 1, time.Second, Limits{})
	if err := l.Load([]api.KeyValue{{Key: "s/b/0/257", Value: []byte(block), Version: 3}, {Key: "s/r/0/5", Value: []byte(record), Version: 4}}, 9); err != nil {
		t.Fatal(err)
	}
	want := Skip{Depot: "hof-nord", ID: "six-1", Kind: "six", Bookings: []Booking{
		{ID: 1025, Key: "first", Site: "site 1", From: 20788, To: 20790, Stage: Delivered},
		{ID: 1281, Key: "second", From: 20791, To: 20793, OfferedAt: 4000, ExpiresAt: 5000, Stage: Offered}}}
	s := l.Shard(0)
	golden.Same(t, "skip", *s.Get("hof-nord", "six-1"), want)
	golden.Same(t, "the other skip", *s.Get("hof-nord", "six-2"), Skip{Depot: "hof-nord", ID: "six-2", Kind: "six", OutOfService: true})
	later := api.Changes{Revision: 12, Log: []api.Change{
		{Put: "s/r/0/6", Value: []byte(`{"q":6,"by":"stone-2-1-1","ops":[{"o":"promise","d":"hof-nord","i":"six-1","n":1281,"w":"third","s":"site 2"}]}`), Version: 11},
		{Put: "s/b/0/257", Value: []byte(strings.Replace(block, `"u":4`, `"u":6`, 1)), Version: 11}}}
	if err := l.ApplyChanges(later); err != nil {
		t.Fatal(err)
	}
	want.Bookings[1] = Booking{ID: 1281, Key: "second", ConfirmationKey: "third", Site: "site 2", From: 20791, To: 20793, Stage: Promised}
	golden.Same(t, "skip after the log", *s.Get("hof-nord", "six-1"), want)
	if s.Seq != 6 || s.block(257).LastSeq != 6 || l.Revision() != 12 {
		t.Errorf("record %d, block up to %d, revision %d", s.Seq, s.block(257).LastSeq, l.Revision())
	}
}
