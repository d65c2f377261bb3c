package skipledger

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"basaltwall/api"
	_ "basaltwall/internal/proptest"
)

const clockError = 250 * time.Millisecond

// fakeStore holds the data of one shard in the key-value store.
type fakeStore struct {
	archived int // number of bookings in the archive
	records  map[uint64]*Record
	blocks   map[BlockID]json.RawMessage
}

func newFakeStore() *fakeStore {
	return &fakeStore{records: map[uint64]*Record{}, blocks: map[BlockID]json.RawMessage{}}
}

func (st *fakeStore) write(d *Draft) {
	data, _ := json.Marshal(d.Record)
	var r Record
	_ = json.Unmarshal(data, &r)
	st.records[r.Seq%RingSize] = &r
	st.archived += len(d.Archived)
	for _, w := range d.Blocks {
		st.blocks[w.ID] = w.Data
	}
}

func (st *fakeStore) load(t interface{ Fatal(...any) }) *Shard {
	blocks := map[BlockID]*Block{}
	for blockID, data := range st.blocks {
		b := &Block{}
		if err := json.Unmarshal(data, b); err != nil {
			t.Fatal(err)
		}
		blocks[blockID] = b
	}
	var records []*Record
	for _, r := range st.records {
		records = append(records, r)
	}
	s, err := Load(blocks, records)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// dump returns the state of all skips and the number of request keys as text, for comparisons.
func (s *Shard) dump() string {
	var out []string
	for _, blockID := range s.blockIDs() {
		for _, sk := range s.block(blockID).Skips {
			data, _ := json.Marshal(sk)
			out = append(out, string(data))
		}
	}
	slices.Sort(out)
	return fmt.Sprint(s.Seq, out, len(s.bookingsByKey))
}

// applyRequests composes, writes and applies requests as a controller does.
func applyRequests(t interface{ Fatal(...any) }, s *Shard, st *fakeStore, now api.WallTime, reqs ...*Request) []Result {
	var out []Result
	for len(reqs) > 0 {
		d := s.Compose("a", reqs, now, clockError, Limits{MaxValueBytes: 8 << 10, MaxPuts: 12})
		if d.RequestCount == 0 {
			t.Fatal("no request fits into a record")
		}
		var results []Result
		if len(d.Record.Ops) > 0 {
			if !s.HasRingSpace() {
				t.Fatal("the ring is full")
			}
			data, _ := json.Marshal(d.Record)
			for _, b := range d.Blocks {
				if len(b.Data) > 8<<10 {
					t.Fatal("a block too large for a value")
				}
			}
			if len(data) > 8<<10 || 2+len(d.Blocks) > 12 {
				t.Fatal("a record exceeds its limits")
			}
			st.write(&d)
			if results = s.ApplyRecord(&d.Record); results == nil {
				t.Fatal("the record is not the next one")
			}
			for _, b := range d.Blocks {
				s.BlockWritten(b.ID, d.Record.Seq)
			}
		}
		for i := range d.RequestCount {
			if from := d.OpIndexes[i]; from >= 0 {
				out = append(out, results[from])
			} else {
				out = append(out, d.Results[i])
			}
		}
		reqs = reqs[d.RequestCount:]
	}
	return out
}

func addRequest(d Depot, kind Kind, n int) *Request {
	r := &Request{Type: OpAdd, Depot: d}
	for i := range n {
		r.Skips = append(r.Skips, Skip{ID: SkipID(fmt.Sprintf("%s-%04d", kind, i)), Kind: kind})
	}
	return r
}

// calendar is the reference model: the booking that reserves a skip on a day.
type calendar map[SkipID]map[Day]BookingID

// For random requests, batches and restarts the ledger agrees with a plain calendar: at most one booking
// reserves a skip on a day, and only free days are booked. A restart restores the ledger, and an offer is
// repeated with the same key.
func TestLedgerAgainstCalendar(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, st := NewShard(), newFakeStore()
		now := api.WallTime(1_000_000)
		applyRequests(t, s, st, now, addRequest("d1", "k", 3), addRequest("d2", "k", 2))
		cal := calendar{}
		key := func(d Depot, id SkipID) SkipID { return SkipID(d) + "/" + id }
		creators := map[BookingID]Request{} // the request that created each booking
		var bookingIDs []BookingID
		latest := map[BookingID]Result{}   // the latest result by booking
		answers := map[requestKey]Result{} // by depot and key
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += api.WallTime(rapid.IntRange(0, 20_000).Draw(t, "later"))
			var reqs []*Request
			for i := range rapid.IntRange(1, 4).Draw(t, "batch") {
				r := &Request{Depot: Depot(rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "depot")), Key: IdempotencyKey(fmt.Sprintf("n%d-%d", step, i))}
				if rapid.IntRange(0, 9).Draw(t, "retry") == 0 && len(answers) > 0 {
					r.Key = IdempotencyKey(fmt.Sprintf("n%d-%d", rapid.IntRange(0, step).Draw(t, "retried"), 0))
				}
				r.From = Day(rapid.IntRange(0, 9).Draw(t, "from"))
				r.To = r.From + Day(rapid.IntRange(1, 4).Draw(t, "days"))
				r.Kind, r.Site, r.OfferDuration = "k", "site", 10*time.Second
				switch rapid.IntRange(0, 7).Draw(t, "request") {
				case 0, 1, 2:
					r.Type = OpPromise
				case 3, 4:
					r.Type, r.Site = OpOffer, ""
				default:
					if len(bookingIDs) == 0 {
						continue
					}
					bookedID := rapid.SampledFrom(bookingIDs).Draw(t, "booking")
					r.Type = rapid.SampledFrom([]OpType{OpPromise, OpRelease, OpDeliver, OpReturn}).Draw(t, "operation")
					r.Booking, r.Skip, r.Depot, r.Kind = bookedID, latest[bookedID].Skip, creators[bookedID].Depot, ""
					if r.Depot == "" {
						continue
					}
				}
				reqs = append(reqs, r)
			}
			if len(reqs) == 0 {
				continue
			}
			for i, res := range applyRequests(t, s, st, now, reqs...) {
				r := reqs[i]
				if old, ok := answers[requestKey{r.Depot, r.Key}]; ok && r.Type == OpOffer && res.Reason == "" && (old.Booking.ID != res.Booking.ID || old.Skip != res.Skip) {
					t.Fatalf("%s was answered %+v and then %+v", r.Key, old, res)
				}
				if res.Reason != "" || res.Booking.ID == 0 {
					continue
				}
				bookedID := res.Booking.ID
				if r.Booking == 0 && latest[bookedID].Booking.ID == 0 && (r.Type == OpOffer || r.Type == OpPromise) {
					k := key(r.Depot, res.Skip)
					// A request for the days of an expired offer closes the offer.
					for d := r.From; d < r.To; d++ {
						if other := cal[k][d]; other != 0 {
							if o := latest[other].Booking; o.Stage != Offered || now <= o.ExpiresAt+250 {
								t.Fatalf("%s on %s is reserved by booking %d and booked again as %d", k, d, other, bookedID)
							}
							for x := range cal[k] {
								if cal[k][x] == other {
									delete(cal[k], x)
								}
							}
						}
						if cal[k] == nil {
							cal[k] = map[Day]BookingID{}
						}
						cal[k][d] = bookedID
					}
					bookingIDs = append(bookingIDs, bookedID)
					creators[bookedID] = *r
					answers[requestKey{r.Depot, r.Key}] = res
				}
				latest[bookedID] = res
				if !res.Booking.Active() {
					for k := range cal {
						for d, holder := range cal[k] {
							if holder == bookedID {
								delete(cal[k], d)
							}
						}
					}
				}
			}
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				before := s.dump()
				if s = st.load(t); s.dump() != before {
					t.Fatalf("after a restart\n%s\nbefore\n%s", s.dump(), before)
				}
			}
		}
	})
}

// With many bookings, closed ones are archived, the ring wraps around and blocks are split; the stored
// data stays bounded, and a restart restores the same state.
func TestManySkipsAndRingWraparound(t *testing.T) {
	s, st := NewShard(), newFakeStore()
	now := api.WallTime(1_000_000)
	for d := range 10 {
		applyRequests(t, s, st, now, addRequest(Depot(fmt.Sprintf("depot-%02d", d)), "six-cubic-metres", 60))
	}
	day := Day(20_000)
	var open []Result
	var depots []Depot
	for i := range 4 * RingSize {
		now += 40 * 60 * 1000
		var reqs []*Request
		for k := range 8 {
			r := &Request{Type: OpPromise, Depot: Depot(fmt.Sprintf("depot-%02d", (i+k)%10)), Kind: "six-cubic-metres", Key: IdempotencyKey(fmt.Sprintf("name-of-a-request-%d-%d", i, k)),
				Site: Site(fmt.Sprintf("a building site, number %d", i)), From: day + Day(i/20), To: day + Day(i/20) + 3}
			reqs = append(reqs, r)
		}
		for k, res := range applyRequests(t, s, st, now, reqs...) {
			if res.Reason != "" {
				t.Fatalf("round %d: %s", i, res.Reason)
			}
			open, depots = append(open, res), append(depots, reqs[k].Depot)
		}
		for len(open) > 300 {
			res := applyRequests(t, s, st, now, &Request{Type: OpRelease, Depot: depots[0], Skip: open[0].Skip, Booking: open[0].Booking.ID})
			if res[0].Reason != "" {
				t.Fatal(res[0].Reason)
			}
			open, depots = open[1:], depots[1:]
		}
	}
	retained := 0
	for _, blockID := range s.blockIDs() {
		for _, sk := range s.block(blockID).Skips {
			retained += len(sk.Bookings)
		}
	}
	bytes := 0
	for _, r := range st.records {
		data, _ := json.Marshal(r)
		bytes += len(data)
	}
	for _, b := range st.blocks {
		bytes += len(b)
	}
	t.Logf("%d records, %d blocks, %d bookings retained, a restart reads %d KB", s.Seq, len(st.blocks), retained, bytes>>10)
	if len(st.blocks) <= 600/skipsPerBlock {
		t.Error("no block was split")
	}
	if retained > 4000 || bytes > 2<<20 {
		t.Errorf("%d bookings of 600 skips are retained in %d KB", retained, bytes>>10)
	}
	if granted := 8 * 4 * RingSize; st.archived+retained != granted {
		t.Errorf("%d of %d bookings are archived and %d retained", st.archived, granted, retained)
	}
	before := s.dump()
	if restored := st.load(t); restored.dump() != before {
		t.Error("a restart restores a different ledger")
	}
	if s.SkipsExamined > 60*9*int(s.Seq) {
		t.Errorf("%d skips were examined", s.SkipsExamined)
	}
}

// An operation on a closed booking changes nothing.
func TestLateChangesNameTheirBooking(t *testing.T) {
	s, st := NewShard(), newFakeStore()
	now := api.WallTime(1_000_000)
	applyRequests(t, s, st, now, addRequest("d", "k", 1))
	promise := func(key IdempotencyKey) Result {
		return applyRequests(t, s, st, now, &Request{Type: OpPromise, Depot: "d", Kind: "k", Key: key, Site: "s", From: 5, To: 9})[0]
	}
	do := func(opType OpType, id BookingID) RefusalReason {
		return applyRequests(t, s, st, now, &Request{Type: opType, Depot: "d", Skip: "k-0000", Booking: id, Site: "s"})[0].Reason
	}
	first := promise("a")
	for range 2 {
		if refusal := do(OpRelease, first.Booking.ID); refusal != "" {
			t.Errorf("a release or its retry is refused: %s", refusal)
		}
	}
	if again := promise("a"); again.Booking.ID != first.Booking.ID || again.Booking.Stage != Released {
		t.Errorf("a retry with the same key gets a new promise: %+v", again)
	}
	second := promise("b")
	if second.Reason != "" || do(OpRelease, first.Booking.ID) != "" || s.Get("d", "k-0000").CheckFree(5, 9) != ReasonBooked {
		t.Error("a late release of an older promise frees the skip")
	}
	if do(OpDeliver, first.Booking.ID) != ReasonClosed || do(OpReturn, second.Booking.ID) != ReasonNotDelivered {
		t.Error("a delivery of a released promise or a return without a delivery is accepted")
	}
	if do(OpDeliver, second.Booking.ID) != "" || do(OpRelease, second.Booking.ID) != ReasonDelivered || do(OpReturn, second.Booking.ID) != "" {
		t.Error("delivery, release and return of a delivered skip have wrong results")
	}
	if refusal := promise("c"); refusal.Reason != "" {
		t.Errorf("a returned skip is not free: %s", refusal.Reason)
	}
	if res := applyRequests(t, s, st, now, &Request{Type: OpOffer, Depot: "d", Kind: "k", Key: "c", From: 5, To: 9})[0]; res.Reason != ReasonKeyReused {
		t.Errorf("a different request with a used key: %+v", res)
	}
}

// A record ends an offer: a confirmation before that record succeeds, and one after it is refused.
func TestOfferExpiresByRecord(t *testing.T) {
	s, st := NewShard(), newFakeStore()
	now := api.WallTime(1_000_000)
	applyRequests(t, s, st, now, addRequest("d", "k", 1))
	offer := func(key IdempotencyKey) Result {
		return applyRequests(t, s, st, now, &Request{Type: OpOffer, Depot: "d", Kind: "k", Key: key, From: 5, To: 9, OfferDuration: time.Minute})[0]
	}
	confirm := func(id BookingID) RefusalReason {
		return applyRequests(t, s, st, now, &Request{Type: OpPromise, Depot: "d", Skip: "k-0000", Booking: id, Key: "confirm", Site: "s"})[0].Reason
	}
	first := offer("a")
	now += 60_100
	if offer("b").Reason != ReasonNoneFree {
		t.Error("the offer expires before its end by every clock")
	}
	now += 200
	second := offer("b")
	if second.Reason != "" {
		t.Fatalf("the skip is not free after the end of the offer: %s", second.Reason)
	}
	if reason := confirm(first.Booking.ID); reason != ReasonClosed {
		t.Errorf("a confirmation after the end of the offer: %q", reason)
	}
	if reason := confirm(second.Booking.ID); reason != "" {
		t.Errorf("a confirmation before the end of the offer is refused: %s", reason)
	}
	now += 10_000_000
	if offer("c").Reason != ReasonNoneFree {
		t.Error("a confirmed offer expires")
	}
}

func TestDays(t *testing.T) {
	if d, err := ParseDay("2026-12-01"); err != nil || d.String() != "2026-12-01" || d+1 != func() Day { d, _ := ParseDay("2026-12-02"); return d }() {
		t.Errorf("%v, %v", d, err)
	}
	// A change of daylight saving time does not change the number of days between two dates.
	a, _ := ParseDay("2026-03-28")
	b, _ := ParseDay("2026-03-30")
	if b-a != 2 {
		t.Errorf("%d days", b-a)
	}
	if _, err := ParseDay("01.12.2026"); err == nil {
		t.Error("an invalid day is accepted")
	}
}
