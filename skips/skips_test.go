package skips

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"basaltwall/api"
	_ "basaltwall/internal/seeded"
)

const clockError = 250 * time.Millisecond

// store is what the state service holds of a shard.
type store struct {
	old    int // items in the archive
	ring   map[uint64]*Record
	blocks map[No]json.RawMessage
}

func newStore() *store { return &store{ring: map[uint64]*Record{}, blocks: map[No]json.RawMessage{}} }

func (st *store) write(d *Draft) {
	data, _ := json.Marshal(d.Record)
	var r Record
	_ = json.Unmarshal(data, &r)
	st.ring[r.Seq%Ring] = &r
	st.old += len(d.Old)
	for _, w := range d.Blocks {
		st.blocks[w.No] = w.Data
	}
}

func (st *store) load(t interface{ Fatal(...any) }) *Shard {
	blocks := map[No]*Block{}
	for no, data := range st.blocks {
		b := &Block{}
		if err := json.Unmarshal(data, b); err != nil {
			t.Fatal(err)
		}
		blocks[no] = b
	}
	var records []*Record
	for _, r := range st.ring {
		records = append(records, r)
	}
	s, err := Load(blocks, records)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// all is what a shard says of every skip, and each name's answer.
func (s *Shard) all() string {
	var out []string
	for _, no := range s.order() {
		for _, sk := range s.block(no).Skips {
			data, _ := json.Marshal(sk)
			out = append(out, string(data))
		}
	}
	slices.Sort(out)
	return fmt.Sprint(s.Seq, out, len(s.names))
}

// commit composes, writes and folds requests as a controller does.
func commit(t interface{ Fatal(...any) }, s *Shard, st *store, now api.Wall, reqs ...*Request) []Result {
	var out []Result
	for len(reqs) > 0 {
		d := s.Compose("a", reqs, now, clockError, Limits{Bytes: 8 << 10, Puts: 12})
		if d.Taken == 0 {
			t.Fatal("no request fits")
		}
		var results []Result
		if len(d.Record.Ops) > 0 {
			if !s.Room() {
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
			if results = s.Fold(&d.Record); results == nil {
				t.Fatal("not the next record")
			}
			for _, b := range d.Blocks {
				s.Wrote(b.No, d.Record.Seq)
			}
		}
		for i := range d.Taken {
			if from := d.From[i]; from >= 0 {
				out = append(out, results[from])
			} else {
				out = append(out, d.Done[i])
			}
		}
		reqs = reqs[d.Taken:]
	}
	return out
}

func fleet(d Depot, kind Kind, n int) *Request {
	r := &Request{Do: Add, Depot: d}
	for i := range n {
		r.Add = append(r.Add, Skip{ID: SkipID(fmt.Sprintf("%s-%04d", kind, i)), Kind: kind})
	}
	return r
}

// calendar is the plain model: who has which skip on which day.
type calendar map[SkipID]map[Day]Number

// Whatever is asked, in whichever batches, restarts between: a day of a skip is held by one
// offer or promise at most, as a plain calendar has it; what is granted is free there; a restart
// finds the ledger as it was; and a name gets the same answer each time.
func TestLedgerAgainstAPlainCalendar(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, st := NewShard(), newStore()
		now := api.Wall(1_000_000)
		commit(t, s, st, now, fleet("d1", "k", 3), fleet("d2", "k", 2))
		cal := calendar{}
		key := func(d Depot, id SkipID) SkipID { return SkipID(d) + "/" + id }
		held := map[Number]Request{} // that hold their skip, by the model
		var numbers []Number
		items := map[Number]Result{}
		answers := map[nameKey]Result{} // by depot and name
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += api.Wall(rapid.IntRange(0, 20_000).Draw(t, "later"))
			var reqs []*Request
			for i := range rapid.IntRange(1, 4).Draw(t, "batch") {
				r := &Request{Depot: Depot(rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "depot")), Name: Name(fmt.Sprintf("n%d-%d", step, i))}
				if rapid.IntRange(0, 9).Draw(t, "again") == 0 && len(answers) > 0 {
					r.Name = Name(fmt.Sprintf("n%d-%d", rapid.IntRange(0, step).Draw(t, "old"), 0))
				}
				r.From = Day(rapid.IntRange(0, 9).Draw(t, "from"))
				r.To = r.From + Day(rapid.IntRange(1, 4).Draw(t, "days"))
				r.Kind, r.Site, r.For = "k", "site", 10*time.Second
				switch rapid.IntRange(0, 7).Draw(t, "what") {
				case 0, 1, 2:
					r.Do = Promise
				case 3, 4:
					r.Do, r.Site = Offer, ""
				default:
					if len(numbers) == 0 {
						continue
					}
					num := rapid.SampledFrom(numbers).Draw(t, "num")
					r.Do = rapid.SampledFrom([]Do{Promise, Release, Deliver, Return}).Draw(t, "do")
					r.Num, r.Skip, r.Depot, r.Kind = num, items[num].Skip, held[num].Depot, ""
					if r.Depot == "" {
						continue
					}
				}
				reqs = append(reqs, r)
			}
			if len(reqs) == 0 {
				continue
			}
			for i, res := range commit(t, s, st, now, reqs...) {
				r := reqs[i]
				if old, ok := answers[nameKey{r.Depot, r.Name}]; ok && r.Do == Offer && res.Why == "" && (old.Item.Num != res.Item.Num || old.Skip != res.Skip) {
					t.Fatalf("%s was answered %+v and then %+v", r.Name, old, res)
				}
				if res.Why != "" || res.Item.Num == 0 {
					continue
				}
				num := res.Item.Num
				if r.Num == 0 && items[num].Item.Num == 0 && (r.Do == Offer || r.Do == Promise) {
					k := key(r.Depot, res.Skip)
					// Offers whose time is over are ended by who needs their days.
					for d := r.From; d < r.To; d++ {
						if other := cal[k][d]; other != 0 {
							if o := items[other].Item; o.Stage != Offered || now <= o.Until+250 {
								t.Fatalf("%s on %s is held by %d and granted as %d", k, d, other, num)
							}
							for x := range cal[k] {
								if cal[k][x] == other {
									delete(cal[k], x)
								}
							}
						}
						if cal[k] == nil {
							cal[k] = map[Day]Number{}
						}
						cal[k][d] = num
					}
					numbers = append(numbers, num)
					held[num] = *r
					answers[nameKey{r.Depot, r.Name}] = res
				}
				items[num] = res
				if !res.Item.Holds() {
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
				before := s.all()
				if s = st.load(t); s.all() != before {
					t.Fatalf("after a restart\n%s\nbefore\n%s", s.all(), before)
				}
			}
		}
	})
}

// The old is packed by a stated rule, the ring goes round many times, blocks divide, and a
// restart reads bounded data and finds the same.
func TestManySkipsAndARingThatGoesRound(t *testing.T) {
	s, st := NewShard(), newStore()
	now := api.Wall(1_000_000)
	for d := range 10 {
		commit(t, s, st, now, fleet(Depot(fmt.Sprintf("depot-%02d", d)), "six-cubic-metres", 60))
	}
	day := Day(20_000)
	var open []Result
	var depots []Depot
	for i := range 4 * Ring {
		now += 40 * 60 * 1000
		var reqs []*Request
		for k := range 8 {
			r := &Request{Do: Promise, Depot: Depot(fmt.Sprintf("depot-%02d", (i+k)%10)), Kind: "six-cubic-metres", Name: Name(fmt.Sprintf("name-of-a-request-%d-%d", i, k)),
				Site: Site(fmt.Sprintf("a building site, number %d", i)), From: day + Day(i/20), To: day + Day(i/20) + 3}
			reqs = append(reqs, r)
		}
		for k, res := range commit(t, s, st, now, reqs...) {
			if res.Why != "" {
				t.Fatalf("round %d: %s", i, res.Why)
			}
			open, depots = append(open, res), append(depots, reqs[k].Depot)
		}
		for len(open) > 300 {
			res := commit(t, s, st, now, &Request{Do: Release, Depot: depots[0], Skip: open[0].Skip, Num: open[0].Item.Num})
			if res[0].Why != "" {
				t.Fatal(res[0].Why)
			}
			open, depots = open[1:], depots[1:]
		}
	}
	items := 0
	for _, no := range s.order() {
		for _, sk := range s.block(no).Skips {
			items += len(sk.Items)
		}
	}
	bytes := 0
	for _, r := range st.ring {
		data, _ := json.Marshal(r)
		bytes += len(data)
	}
	for _, b := range st.blocks {
		bytes += len(b)
	}
	t.Logf("%d records, %d blocks, %d items kept, a restart reads %d KB", s.Seq, len(st.blocks), items, bytes>>10)
	if len(st.blocks) <= 600/perBlock {
		t.Error("no block was divided")
	}
	if items > 4000 || bytes > 2<<20 {
		t.Errorf("%d items of 600 skips are kept in %d KB", items, bytes>>10)
	}
	if granted := 8 * 4 * Ring; st.old+items != granted {
		t.Errorf("%d of %d are in the archive and %d kept", st.old, granted, items)
	}
	before := s.all()
	if again := st.load(t); again.all() != before {
		t.Error("a restart finds another ledger")
	}
	if s.Looks > 60*9*int(s.Seq) {
		t.Errorf("%d skips were looked at", s.Looks)
	}
}

// What carries the number of an older promise changes nothing.
func TestLateChangesNameTheirPromise(t *testing.T) {
	s, st := NewShard(), newStore()
	now := api.Wall(1_000_000)
	commit(t, s, st, now, fleet("d", "k", 1))
	promise := func(name Name) Result {
		return commit(t, s, st, now, &Request{Do: Promise, Depot: "d", Kind: "k", Name: name, Site: "s", From: 5, To: 9})[0]
	}
	do := func(what Do, num Number) Why {
		return commit(t, s, st, now, &Request{Do: what, Depot: "d", Skip: "k-0000", Num: num, Site: "s"})[0].Why
	}
	first := promise("a")
	for range 2 {
		if why := do(Release, first.Item.Num); why != "" {
			t.Errorf("a release, or once more, is refused: %s", why)
		}
	}
	if again := promise("a"); again.Item.Num != first.Item.Num || again.Item.Stage != Released {
		t.Errorf("the same name promises anew: %+v", again)
	}
	second := promise("b")
	if second.Why != "" || do(Release, first.Item.Num) != "" || s.Get("d", "k-0000").Free(5, 9) != Taken {
		t.Error("a late release of an older promise frees the skip")
	}
	if do(Deliver, first.Item.Num) != OverAlready || do(Return, second.Item.Num) != NotDelivered {
		t.Error("delivered or returned what was not promised or delivered")
	}
	if do(Deliver, second.Item.Num) != "" || do(Release, second.Item.Num) != Underway || do(Return, second.Item.Num) != "" {
		t.Error("a promise that is delivered")
	}
	if why := promise("c"); why.Why != "" {
		t.Errorf("what is back is not free: %s", why.Why)
	}
	if res := commit(t, s, st, now, &Request{Do: Offer, Depot: "d", Kind: "k", Name: "c", From: 5, To: 9})[0]; res.Why != OtherRequest {
		t.Errorf("another request under a used name: %+v", res)
	}
}

// An offer's end is written: until then its confirmation holds, and after it it is refused.
func TestAnOfferEndsByAWrite(t *testing.T) {
	s, st := NewShard(), newStore()
	now := api.Wall(1_000_000)
	commit(t, s, st, now, fleet("d", "k", 1))
	offer := func(name Name) Result {
		return commit(t, s, st, now, &Request{Do: Offer, Depot: "d", Kind: "k", Name: name, From: 5, To: 9, For: time.Minute})[0]
	}
	take := func(num Number) Why {
		return commit(t, s, st, now, &Request{Do: Promise, Depot: "d", Skip: "k-0000", Num: num, Name: "take", Site: "s"})[0].Why
	}
	first := offer("a")
	now += 60_100
	if offer("b").Why != NoneFree {
		t.Error("given to another before it can be over by every clock")
	}
	now += 200
	second := offer("b")
	if second.Why != "" {
		t.Fatalf("not given to another after its time: %s", second.Why)
	}
	if why := take(first.Item.Num); why != OverAlready {
		t.Errorf("a confirmation after the end: %q", why)
	}
	if why := take(second.Item.Num); why != "" {
		t.Errorf("a confirmation before the end is refused: %s", why)
	}
	now += 10_000_000
	if offer("c").Why != NoneFree {
		t.Error("an offer that was taken ends all the same")
	}
}

func TestDays(t *testing.T) {
	if d, err := ParseDay("2026-12-01"); err != nil || d.String() != "2026-12-01" || d+1 != func() Day { d, _ := ParseDay("2026-12-02"); return d }() {
		t.Errorf("%v, %v", d, err)
	}
	// The days on which summer time begins and ends are days like others.
	a, _ := ParseDay("2026-03-28")
	b, _ := ParseDay("2026-03-30")
	if b-a != 2 {
		t.Errorf("%d days", b-a)
	}
	if _, err := ParseDay("01.12.2026"); err == nil {
		t.Error("not refused")
	}
}
