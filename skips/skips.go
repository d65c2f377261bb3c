// Package skips owns the ledger of promises: which skip is held, promised to which building
// site, delivered or back, for which days. It is pure: a shard of the ledger is folded from
// records in their order, composes the next one, and says which blocks of it are to be written
// with it. docs/skips.md gives the reasons.
package skips

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"basaltwall/api"
)

// Small types of the ledger.
type (
	Depot  string
	SkipID string // unique within its depot
	Kind   string
	Site   string // a building site
	Name   string // of a request, chosen by who asks; its retries carry the same
	Day    int    // a calendar day of the depot, in days since 1 January 1970
	Number uint64 // of an offer or a promise, never used twice
)

// ParseDay reads a day as 2026-12-01.
func ParseDay(s string) (Day, error) {
	t, err := time.Parse(time.DateOnly, s)
	if err != nil {
		return 0, fmt.Errorf("%q is no day: it must be like 2026-12-01", s)
	}
	return Day(t.Unix() / 86400), nil
}

// String writes a day as 2026-12-01.
func (d Day) String() string { return time.Unix(int64(d)*86400, 0).UTC().Format(time.DateOnly) }

// Stage is where an offer or a promise stands.
type Stage string

// The stages. Only the first three hold the skip for their days.
const (
	Offered   Stage = "offered" // held for one enquiry, until somebody writes that its time is over
	Promised  Stage = "promised"
	Delivered Stage = "delivered"
	Back      Stage = "back"
	Released  Stage = "released"
	Expired   Stage = "expired"
)

// Item is an offer or a promise of a skip, of the days from From up to but without To. It stays
// for a while after it is over, so that late repeats of its requests get its answer.
type Item struct {
	Num   Number   `json:"n"`
	Name  Name     `json:"w"`           // of the request that made it
	Taken Name     `json:"c,omitempty"` // of the request that made an offer a promise
	Site  Site     `json:"s,omitempty"`
	From  Day      `json:"f"`
	To    Day      `json:"t"`
	Made  api.Wall `json:"m,omitempty"` // of an offer: when it was made
	Until api.Wall `json:"u,omitempty"` // and when it may be ended
	Stage Stage    `json:"g"`
	Over  api.Wall `json:"e,omitempty"` // when it was over, by the clock of who wrote that
}

// Holds reports whether the item holds its skip.
func (i *Item) Holds() bool { return i.Stage == Offered || i.Stage == Promised || i.Stage == Delivered }

// Skip is a skip and what is promised of it.
type Skip struct {
	Depot Depot  `json:"d"`
	ID    SkipID `json:"i"`
	Kind  Kind   `json:"k"`
	Out   bool   `json:"o,omitempty"` // of service: nothing new is promised of it
	Items []Item `json:"p,omitempty"`
}

// maxItems bounds what is kept of a skip.
const maxItems = 24

// Free says why a skip can't be promised for some days, or nothing.
func (s *Skip) Free(from, to Day) Why {
	if s.Out {
		return OutOfService
	}
	for i := range s.Items {
		if x := &s.Items[i]; x.Holds() && x.From < to && from < x.To {
			return Taken
		}
	}
	if len(s.Items) >= maxItems {
		return Full
	}
	return ""
}

func (s *Skip) item(num Number) *Item {
	for i := range s.Items {
		if s.Items[i].Num == num {
			return &s.Items[i]
		}
	}
	return nil
}

func (s *Skip) clone() *Skip {
	c := *s
	c.Items = slices.Clone(s.Items)
	return &c
}

// Why is why something is refused.
type Why string

// Reasons. The texts are what who asks is told.
const (
	Taken        Why = "it is promised or offered to somebody for some of these days"
	OutOfService Why = "it is out of service"
	Full         Why = "too much is kept of it: release or return what is over"
	NoSkip       Why = "there is no such skip"
	NoneFree     Why = "none of that kind is free there for these days"
	NoPromise    Why = "there is no such offer or promise, or it is over for long"
	OverAlready  Why = "it is over: somebody released, returned or ended it"
	NotPromised  Why = "it is no promise, but an offer"
	NotDelivered Why = "it was not delivered: release it"
	Underway     Why = "it is delivered: it must come back first"
	OtherRequest Why = "the name was used for another request"
	Exists       Why = "there is such a skip already, of another kind"
	TooMuch      Why = "more than a record holds"
)

// Do is a change that a record may hold.
type Do string

// Changes.
const (
	Add     Do = "add"
	Out     Do = "out"
	In      Do = "in"
	Offer   Do = "offer"
	Promise Do = "promise" // of free days, or of an offer if it names one
	Release Do = "release"
	Deliver Do = "deliver"
	Return  Do = "return"
	Expire  Do = "expire"
	Forget  Do = "forget" // what is over for long
)

// Op is a change of one skip. A change of an offer or promise names its number: made for an
// older one it changes nothing.
type Op struct {
	Do    Do       `json:"o"`
	Depot Depot    `json:"d"`
	Skip  SkipID   `json:"i"`
	Kind  Kind     `json:"k,omitempty"`
	Num   Number   `json:"n,omitempty"`
	Name  Name     `json:"w,omitempty"`
	Site  Site     `json:"s,omitempty"`
	From  Day      `json:"f,omitempty"`
	To    Day      `json:"t,omitempty"`
	Until api.Wall `json:"u,omitempty"`
	At    api.Wall `json:"a,omitempty"`
}

// Record is what one write adds to a shard.
type Record struct {
	Seq uint64 `json:"q"`
	By  string `json:"by"` // tells it from one that another controller wrote in its place
	Ops []Op   `json:"ops,omitempty"`
}

// Result is what became of a change.
type Result struct {
	Why  Why // why nothing changed; empty: it did, or had before
	Skip SkipID
	Item Item // as it is after it
}

// number is that of the item which an op of a record makes.
func number(seq uint64, op int) Number { return Number(seq*maxOps + uint64(op)) }

// maxOps bounds the changes of a record.
const maxOps = 256

// apply makes a change. What a record holds was composed when all before it had been folded, so
// it is valid; that it is checked again is for records that nobody should have written.
func (s *Shard) apply(op *Op, num Number) Result {
	if op.Do == Add {
		return s.add(op)
	}
	sk := s.mutable(op.Depot, op.Skip)
	if sk == nil {
		return Result{Why: NoSkip}
	}
	refuse := func(why Why) Result { return Result{Why: why, Skip: sk.ID} }
	x := sk.item(op.Num)
	switch op.Do {
	case Out, In:
		sk.Out = op.Do == Out
		return Result{Skip: sk.ID}
	case Offer, Promise:
		if op.Num != 0 { // an offer is taken
			switch {
			case x == nil:
				return refuse(NoPromise)
			case x.Stage != Offered:
				return refuse(OverAlready)
			}
			x.Stage, x.Site, x.Taken, x.Until, x.Made = Promised, op.Site, op.Name, 0, 0
			s.name(sk, op.Name, x.Num)
			return Result{Skip: sk.ID, Item: *x}
		}
		if why := sk.Free(op.From, op.To); why != "" {
			return refuse(why)
		}
		item := Item{Num: num, Name: op.Name, Site: op.Site, From: op.From, To: op.To, Until: op.Until, Stage: Promised}
		if op.Do == Offer {
			item.Stage, item.Made = Offered, op.At
		}
		sk.Items = append(sk.Items, item)
		s.name(sk, op.Name, num)
		return Result{Skip: sk.ID, Item: item}
	}
	if x == nil {
		return refuse(NoPromise)
	}
	to := map[Do]Stage{Release: Released, Deliver: Delivered, Return: Back, Expire: Expired}[op.Do]
	switch {
	case op.Do == Forget:
		if x.Holds() {
			return refuse(Taken)
		}
		s.unname(sk.Depot, x.Name)
		s.unname(sk.Depot, x.Taken)
		sk.Items = slices.DeleteFunc(sk.Items, func(i Item) bool { return i.Num == op.Num })
		return Result{Skip: sk.ID}
	case x.Stage == to:
		return Result{Skip: sk.ID, Item: *x} // as it was asked for before
	case !x.Holds():
		return refuse(OverAlready)
	case op.Do == Expire && x.Stage != Offered:
		return refuse(OverAlready)
	case op.Do == Release && x.Stage == Delivered:
		return refuse(Underway)
	case (op.Do == Deliver || op.Do == Return) && x.Stage == Offered:
		return refuse(NotPromised)
	case op.Do == Return && x.Stage == Promised:
		return refuse(NotDelivered)
	case op.Do == Deliver && sk.Out:
		return refuse(OutOfService)
	}
	if x.Stage = to; !x.Holds() {
		x.Over, x.Until, x.Made = op.At, 0, 0
	}
	return Result{Skip: sk.ID, Item: *x}
}

// Request is what somebody asks of a depot's skips.
type Request struct {
	Do    Do
	Depot Depot
	Name  Name
	Skip  SkipID // one, or else any that is free
	Kind  Kind   // of any
	Num   Number
	Site  Site
	From  Day
	To    Day
	For   time.Duration // an offer's
	Add   []Skip        // Add: these
}

// Ways to be out of time: an offer is ended no sooner than clocks can differ after its time,
// and what is over is forgotten long after anybody would repeat a request for it.
const (
	KeepOffer   = time.Hour
	KeepPromise = 7 * 24 * time.Hour
)

// Known answers a request from the ledger as it is, if nothing need be written for it: the same
// was asked before, or it can't be.
func (s *Shard) Known(r *Request) (Result, bool) {
	if r.Name != "" && (r.Do == Offer || r.Do == Promise) {
		if at, ok := s.named(r.Depot, r.Name); ok {
			sk := s.Get(r.Depot, at.skip)
			x := sk.item(at.num)
			same := x.From == r.From && x.To == r.To && (r.Skip == "" || r.Skip == sk.ID) && (r.Kind == "" || r.Kind == sk.Kind)
			switch {
			case r.Do == Offer:
				same = same && x.Name == r.Name && (x.Site == "" || x.Taken != "")
			case r.Num != 0:
				same = x.Taken == r.Name && x.Num == r.Num && x.Site == r.Site
			default:
				same = same && x.Name == r.Name && x.Taken == "" && x.Site == r.Site
			}
			if !same {
				return Result{Why: OtherRequest}, true
			}
			return Result{Skip: sk.ID, Item: *x}, true
		}
	}
	return Result{}, false
}

// ops are the changes that a request needs, or why it can't be.
func (s *Shard) ops(r *Request, now api.Wall, errs time.Duration) ([]Op, Why) {
	op := Op{Do: r.Do, Depot: r.Depot, Skip: r.Skip, Num: r.Num, Name: r.Name, Site: r.Site, From: r.From, To: r.To, At: now}
	switch r.Do {
	case Add:
		var out []Op
		for i := range r.Add {
			k := &r.Add[i]
			if old := s.Get(r.Depot, k.ID); old != nil {
				if old.Kind != k.Kind {
					return nil, Exists
				}
				continue
			}
			out = append(out, Op{Do: Add, Depot: r.Depot, Skip: k.ID, Kind: k.Kind})
		}
		return out, ""
	case Offer:
		op.Until = now + api.Wall(r.For.Milliseconds())
	}
	if r.Num != 0 || r.Do == Out || r.Do == In {
		sk := s.Get(r.Depot, r.Skip)
		if sk == nil {
			return nil, NoSkip
		}
		if op.Do == Promise && r.Num != 0 {
			op.From, op.To = 0, 0
		}
		return []Op{op}, ""
	}
	// Of days: offers that are in the way and whose time is over are ended first.
	try := func(sk *Skip) ([]Op, Why) {
		var ended []Op
		free := sk.clone()
		for i := range free.Items {
			x := &free.Items[i]
			if x.Stage == Offered && x.From < r.To && r.From < x.To && s.pastTime(x, now, errs) {
				ended = append(ended, Op{Do: Expire, Depot: sk.Depot, Skip: sk.ID, Num: x.Num, At: now})
				x.Stage = Expired
			}
		}
		if why := free.Free(r.From, r.To); why != "" {
			return nil, why
		}
		o := op
		o.Skip = sk.ID
		return append(ended, o), ""
	}
	if r.Skip != "" {
		sk := s.Get(r.Depot, r.Skip)
		if sk == nil {
			return nil, NoSkip
		}
		return try(sk)
	}
	for _, id := range s.shelf(r.Depot, r.Kind) {
		s.Looks++
		if ops, why := try(s.Get(r.Depot, id)); why == "" {
			return ops, ""
		}
	}
	return nil, NoneFree
}

func (s *Shard) pastTime(x *Item, now api.Wall, errs time.Duration) bool {
	return now > x.Until+api.Wall(errs.Milliseconds())
}

// tidy are changes that time has made due: offers to end and what is to be forgotten, so many
// at most.
func (s *Shard) tidy(now api.Wall, errs time.Duration, most int) []Op {
	var out []Op
	for _, no := range s.order() {
		for _, sk := range s.block(no).Skips {
			for i := range sk.Items {
				x := &sk.Items[i]
				op := Op{Depot: sk.Depot, Skip: sk.ID, Num: x.Num, At: now}
				keep := KeepPromise
				if x.Stage == Expired {
					keep = KeepOffer
				}
				switch {
				case x.Stage == Offered && s.pastTime(x, now, errs):
					op.Do = Expire
				case !x.Holds() && now > x.Over+api.Wall(keep.Milliseconds()):
					op.Do = Forget
				default:
					continue
				}
				if out = append(out, op); len(out) == most {
					return out
				}
			}
		}
	}
	return out
}

// OldestOffer is when the oldest offer was made that still holds its skip, 0 if none does.
func (s *Shard) OldestOffer() api.Wall {
	oldest := api.Wall(0)
	for _, b := range s.blocks {
		for _, sk := range b.Skips {
			for i := range sk.Items {
				if x := &sk.Items[i]; x.Stage == Offered && (oldest == 0 || x.Made < oldest) {
					oldest = x.Made
				}
			}
		}
	}
	return oldest
}

// Counts are what is there of a kind at a depot, for the days from one up to another.
type Counts struct {
	Depot    Depot `json:"depot"`
	Kind     Kind  `json:"kind"`
	Skips    int   `json:"skips"`
	Free     int   `json:"free"`
	Offered  int   `json:"offered"`
	Promised int   `json:"promised"` // those delivered included
	Out      int   `json:"out_of_service"`
}

// Count counts skips by depot and kind.
func (s *Shard) Count(from, to Day) []Counts {
	type key struct {
		d Depot
		k Kind
	}
	by := map[key]*Counts{}
	for _, no := range s.order() {
		for _, sk := range s.block(no).Skips {
			c := by[key{sk.Depot, sk.Kind}]
			if c == nil {
				c = &Counts{Depot: sk.Depot, Kind: sk.Kind}
				by[key{sk.Depot, sk.Kind}] = c
			}
			c.Skips++
			if sk.Out {
				c.Out++
			}
			if sk.Free(from, to) == "" {
				c.Free++
			}
			for i := range sk.Items {
				switch x := &sk.Items[i]; {
				case x.From >= to || from >= x.To || !x.Holds():
				case x.Stage == Offered:
					c.Offered++
				default:
					c.Promised++
				}
			}
		}
	}
	out := make([]Counts, 0, len(by))
	for _, c := range by {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b Counts) int { return cmp.Or(cmp.Compare(a.Depot, b.Depot), cmp.Compare(a.Kind, b.Kind)) })
	return out
}
