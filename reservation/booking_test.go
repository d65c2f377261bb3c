package reservation

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

// fakeStore is what the key-value store holds of a shard.
type fakeStore struct {
	archived int // bookings in the archive
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

// dump is the state of every skip, and the answer of each key.
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
			t.Fatal("no request fits")
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
				t.Fatal("a record too large for its bounds")
			}
			st.write(&d)
			if results = s.ApplyRecord(&d.Record); results == nil {
				t.Fatal("not the next record")
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

// calendar is the plain model: which booking holds which skip on which day.
type calendar map[SkipID]map[Day]BookingID

// Whatever is requested, in whichever batches, with restarts between: a day of a skip is held by at most
// one booking, as in a plain calendar; what is granted is free there; a restart
// restores the ledger; and a key gets the same answer each time.
func TestLedgerAgainstCalendar(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, st := NewShard(), newFakeStore()
		now := api.WallTime(1_000_000)
		applyRequests(t, s, st, now, addRequest("d1", "k", 3), addRequest("d2", "k", 2))
		cal := calendar{}
		key := func(d Depot, id SkipID) SkipID { return SkipID(d) + "/" + id }
		held := map[BookingID]Request{} // that hold their skip, by the model
		var numbers []BookingID
		items := map[BookingID]Result{}
		answers := map[requestKey]Result{} // by depot and name
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += api.WallTime(rapid.IntRange(0, 20_000).Draw(t, "later"))
			var reqs []*Request
			for i := range rapid.IntRange(1, 4).Draw(t, "batch") {
				r := &Request{Depot: Depot(rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "depot")), Key: IdempotencyKey(fmt.Sprintf("n%d-%d", step, i))}
				if rapid.IntRange(0, 9).Draw(t, "again") == 0 && len(answers) > 0 {
					r.Key = IdempotencyKey(fmt.Sprintf("n%d-%d", rapid.IntRange(0, step).Draw(t, "old"), 0))
				}
				r.From = Day(rapid.IntRange(0, 9).Draw(t, "from"))
				r.To = r.From + Day(rapid.IntRange(1, 4).Draw(t, "days"))
				r.Kind, r.Site, r.OfferDuration = "k", "site", 10*time.Second
				switch rapid.IntRange(0, 7).Draw(t, "what") {
				case 0, 1, 2:
					r.Type = OpPromise
				case 3, 4:
					r.Type, r.Site = OpOffer, ""
				default:
					if len(numbers) == 0 {
						continue
					}
					num := rapid.SampledFrom(numbers).Draw(t, "num")
					r.Type = rapid.SampledFrom([]OpType{OpPromise, OpRelease, OpDeliver, OpReturn}).Draw(t, "do")
					r.Booking, r.Skip, r.Depot, r.Kind = num, items[num].Skip, held[num].Depot, ""
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
				num := res.Booking.ID
				if r.Booking == 0 && items[num].Booking.ID == 0 && (r.Type == OpOffer || r.Type == OpPromise) {
					k := key(r.Depot, res.Skip)
					// Expired offers are ended by the request that needs their days.
					for d := r.From; d < r.To; d++ {
						if other := cal[k][d]; other != 0 {
							if o := items[other].Booking; o.Stage != Offered || now <= o.ExpiresAt+250 {
								t.Fatalf("%s on %s is held by %d and granted as %d", k, d, other, num)
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
						cal[k][d] = num
					}
					numbers = append(numbers, num)
					held[num] = *r
					answers[requestKey{r.Depot, r.Key}] = res
				}
				items[num] = res
				if !res.Booking.Active() {
					for k := range cal {
						for d, by := range cal[k] {
							if by == num {
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

// Closed bookings are dropped by a fixed rule, the ring wraps around many times, blocks split, and a
// restart reads bounded data and restores the same state.
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
	items := 0
	for _, blockID := range s.blockIDs() {
		for _, sk := range s.block(blockID).Skips {
			items += len(sk.Bookings)
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
	t.Logf("%d records, %d blocks, %d items kept, a restart reads %d KB", s.Seq, len(st.blocks), items, bytes>>10)
	if len(st.blocks) <= 600/skipsPerBlock {
		t.Error("no block was divided")
	}
	if items > 4000 || bytes > 2<<20 {
		t.Errorf("%d items of 600 skips are kept in %d KB", items, bytes>>10)
	}
	if granted := 8 * 4 * RingSize; st.archived+items != granted {
		t.Errorf("%d of %d are in the archive and %d kept", st.archived, granted, items)
	}
	before := s.dump()
	if again := st.load(t); again.dump() != before {
		t.Error("a restart finds another ledger")
	}
	if s.SkipsExamined > 60*9*int(s.Seq) {
		t.Errorf("%d skips were looked at", s.SkipsExamined)
	}
}

// An operation that names a former booking changes nothing.
func TestLateChangesNameTheirBooking(t *testing.T) {
	s, st := NewShard(), newFakeStore()
	now := api.WallTime(1_000_000)
	applyRequests(t, s, st, now, addRequest("d", "k", 1))
	promise := func(name IdempotencyKey) Result {
		return applyRequests(t, s, st, now, &Request{Type: OpPromise, Depot: "d", Kind: "k", Key: name, Site: "s", From: 5, To: 9})[0]
	}
	do := func(what OpType, num BookingID) RefusalReason {
		return applyRequests(t, s, st, now, &Request{Type: what, Depot: "d", Skip: "k-0000", Booking: num, Site: "s"})[0].Reason
	}
	first := promise("a")
	for range 2 {
		if why := do(OpRelease, first.Booking.ID); why != "" {
			t.Errorf("a release, or once more, is refused: %s", why)
		}
	}
	if again := promise("a"); again.Booking.ID != first.Booking.ID || again.Booking.Stage != Released {
		t.Errorf("the same name promises anew: %+v", again)
	}
	second := promise("b")
	if second.Reason != "" || do(OpRelease, first.Booking.ID) != "" || s.Get("d", "k-0000").CheckFree(5, 9) != ReasonBooked {
		t.Error("a late release of an older promise frees the skip")
	}
	if do(OpDeliver, first.Booking.ID) != ReasonClosed || do(OpReturn, second.Booking.ID) != ReasonNotDelivered {
		t.Error("delivered or returned what was not promised or delivered")
	}
	if do(OpDeliver, second.Booking.ID) != "" || do(OpRelease, second.Booking.ID) != ReasonDelivered || do(OpReturn, second.Booking.ID) != "" {
		t.Error("a promise that is delivered")
	}
	if why := promise("c"); why.Reason != "" {
		t.Errorf("what is back is not free: %s", why.Reason)
	}
	if res := applyRequests(t, s, st, now, &Request{Type: OpOffer, Depot: "d", Kind: "k", Key: "c", From: 5, To: 9})[0]; res.Reason != ReasonKeyReused {
		t.Errorf("another request under a used name: %+v", res)
	}
}

// The end of an offer is recorded: until then its confirmation holds, after it is refused.
func TestOfferExpiresByRecord(t *testing.T) {
	s, st := NewShard(), newFakeStore()
	now := api.WallTime(1_000_000)
	applyRequests(t, s, st, now, addRequest("d", "k", 1))
	offer := func(name IdempotencyKey) Result {
		return applyRequests(t, s, st, now, &Request{Type: OpOffer, Depot: "d", Kind: "k", Key: name, From: 5, To: 9, OfferDuration: time.Minute})[0]
	}
	take := func(num BookingID) RefusalReason {
		return applyRequests(t, s, st, now, &Request{Type: OpPromise, Depot: "d", Skip: "k-0000", Booking: num, Key: "take", Site: "s"})[0].Reason
	}
	first := offer("a")
	now += 60_100
	if offer("b").Reason != ReasonNoneFree {
		t.Error("given to another before it can be over by every clock")
	}
	now += 200
	second := offer("b")
	if second.Reason != "" {
		t.Fatalf("not given to another after its time: %s", second.Reason)
	}
	if why := take(first.Booking.ID); why != ReasonClosed {
		t.Errorf("a confirmation after the end: %q", why)
	}
	if why := take(second.Booking.ID); why != "" {
		t.Errorf("a confirmation before the end is refused: %s", why)
	}
	now += 10_000_000
	if offer("c").Reason != ReasonNoneFree {
		t.Error("an offer that was taken ends all the same")
	}
}

func TestDays(t *testing.T) {
	if d, err := ParseDay("2026-12-01"); err != nil || d.String() != "2026-12-01" || d+1 != func() Day { d, _ := ParseDay("2026-12-02"); return d }() {
		t.Errorf("%v, %v", d, err)
	}
	// Days on which daylight saving time begins or ends are days like others.
	a, _ := ParseDay("2026-03-28")
	b, _ := ParseDay("2026-03-30")
	if b-a != 2 {
		t.Errorf("%d days", b-a)
	}
	if _, err := ParseDay("01.12.2026"); err == nil {
		t.Error("not refused")
	}
}
