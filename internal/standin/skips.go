package standin

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"basaltwall/control"
)

// Offices stand in for those who promise skips to building sites, by phone and in the portal,
// and hold what they were told against the rule: a skip promised for a building site is never
// shown as free twice. Dates are days from 1 January 1970 here.
type Offices struct {
	w       *World
	grants  []*grant
	names   map[string]uint64 // the number told for a name
	count   int
	Granted int
	Refused int
	Unknown int           // requests that were not answered at once
	Slowest time.Duration // of answers
	took    time.Duration
	Answers int
}

// Mean is how long an answer took.
func (o *Offices) Mean() time.Duration { return o.took / time.Duration(max(1, o.Answers)) }

// grant is an offer or promise as its asker was told.
type grant struct {
	depot, skip, name, site string
	number                  uint64
	from, to                int
	told                    time.Duration
	until                   time.Duration // of an offer; 0: it is a promise
	ended                   bool          // its holder has asked for its end, or took it
}

type skipAnswer struct {
	Depot  string `json:"depot"`
	Skip   string `json:"skip"`
	Number uint64 `json:"number"`
	State  string `json:"state"`
	Site   string `json:"site"`
	From   string `json:"from"`
	To     string `json:"to"`
	Until  int64  `json:"until"`
}

func date(day int) string {
	return time.Unix(int64(day)*86400, 0).UTC().Format(time.DateOnly)
}

func (o *Offices) broke(format string, args ...any) {
	o.w.Check.broke(o.w.Now, "promised", format, args...)
}

// ask sends a request to any controller until it is answered for good; how is told of the last
// answer.
func (o *Offices) ask(depot, do string, body map[string]any, how func(status int, a skipAnswer)) {
	o.askAt(o.w.Users.anyNode(), depot, do, body, how)
}

func (o *Offices) askAt(node, depot, do string, body map[string]any, how func(status int, a skipAnswer)) {
	data, err := json.Marshal(body)
	o.w.must(err)
	asked := o.w.Now
	o.w.request(node, 5*time.Second, func(answer func(int, []byte)) {
		h := o.w.nodes[node]
		if h == nil || h.node == nil {
			return
		}
		o.w.ask(h, func(req control.ReqID) control.Command {
			return control.Ask{Req: req, What: "skips-do", ID: depot, Sub: do, Body: data}
		}, answer)
	}, func(status int, b []byte) {
		var a skipAnswer
		if status == 200 {
			o.w.must(json.Unmarshal(b, &a))
		}
		if status == 0 || status == 503 {
			o.Unknown++
			o.w.After(time.Second, func() { o.ask(depot, do, body, how) })
			return
		}
		took := o.w.Now - asked
		o.took, o.Answers, o.Slowest = o.took+took, o.Answers+1, max(o.Slowest, took)
		how(status, a)
	})
}

// Import adds skips of a kind to a depot.
func (o *Offices) Import(depot, kind string, n int) {
	const page = 40
	for from := 0; from < n; from += page {
		var list []map[string]any
		for i := from; i < min(n, from+page); i++ {
			list = append(list, map[string]any{"skip": fmt.Sprintf("%s-%04d", kind, i), "kind": kind})
		}
		o.ask(depot, "import", map[string]any{"skips": list}, func(status int, _ skipAnswer) {
			if status != 200 {
				o.broke("an import into %s gets %d", depot, status)
			}
		})
	}
}

// Enquire is one enquiry: by phone it is promised at once, in the portal offered first; then it
// is released, or delivered and returned, or stays.
func (o *Offices) Enquire(depot, kind string, days int) {
	o.count++
	r := o.w.rand
	name, site := fmt.Sprintf("ask-%d", o.count), fmt.Sprintf("site-%d", o.count)
	from := 20_000 + r.IntN(days)
	body := map[string]any{"name": name, "kind": kind, "from": date(from), "to": date(from + 1 + r.IntN(3))}
	next := func(g *grant) {
		if g == nil {
			return
		}
		pause := time.Duration(1+r.IntN(20)) * time.Second
		switch r.IntN(4) {
		case 0, 1:
			o.w.After(pause, func() { o.end(g, "release") })
		case 2:
			o.w.After(pause, func() {
				o.ask(depot, "deliver", map[string]any{"skip": g.skip, "number": g.number}, func(status int, a skipAnswer) {
					if status != 200 && status != 409 { // it may be out of service
						o.broke("%s of %s, promised to %s as %d, can't be delivered: %d", g.skip, depot, g.site, g.number, status)
					}
					if status != 200 {
						return
					}
					o.w.After(pause, func() { o.end(g, "return") })
				})
			})
		}
	}
	if r.IntN(2) == 0 { // by phone, and perhaps once more: the line was bad
		body["site"] = site
		told := func(status int, a skipAnswer) { next(o.told(name, status, a)) }
		o.ask(depot, "promise", body, told)
		if r.IntN(4) == 0 {
			o.ask(depot, "promise", body, func(status int, a skipAnswer) { o.told(name, status, a) })
		}
		return
	}
	body["for_s"] = 5 + r.IntN(10)
	o.ask(depot, "offer", body, func(status int, a skipAnswer) {
		g := o.told(name, status, a)
		if g == nil || r.IntN(4) == 0 {
			return // nobody comes back for it
		}
		o.w.After(time.Duration(1+r.IntN(12))*time.Second, func() {
			take := map[string]any{"name": name + "-take", "skip": g.skip, "number": g.number, "site": site}
			o.ask(depot, "promise", take, func(status int, a skipAnswer) {
				if status == 200 {
					g.ended = true
					next(o.told(name+"-take", status, a))
				}
			})
		})
	})
}

// Service has a skip go out of service or into it again.
func (o *Offices) Service(depot, do, skip string) {
	o.ask(depot, do, map[string]any{"skip": skip}, func(status int, _ skipAnswer) {
		if status != 200 {
			o.broke("%s of %s can't be put %s: %d", skip, depot, do, status)
		}
	})
}

// end asks for the end of a promise. From then on its holder claims nothing.
func (o *Offices) end(g *grant, do string) {
	g.ended = true
	body := map[string]any{"skip": g.skip, "number": g.number}
	o.ask(g.depot, do, body, func(status int, a skipAnswer) {
		if status != 200 {
			o.broke("%s of %s, promised to %s as %d: its %s gets %d", g.skip, g.depot, g.site, g.number, do, status)
		}
		// Late and once more: by then it may be another's, which must not be touched.
		o.w.After(time.Duration(o.w.rand.IntN(30))*time.Second, func() { o.ask(g.depot, do, body, func(int, skipAnswer) {}) })
	})
}

// told notes an answer and holds it against all that others were told.
func (o *Offices) told(name string, status int, a skipAnswer) *grant {
	if status != 200 {
		o.Refused++
		return nil
	}
	if before, ok := o.names[name]; ok && before != a.Number {
		o.broke("%s was told number %d and then %d", name, before, a.Number)
	}
	_, again := o.names[name]
	o.names[name] = a.Number
	if again || a.State != "offered" && a.State != "promised" && a.State != "delivered" {
		return nil // it was told before, or has been ended since
	}
	o.Granted++
	day := func(s string) int {
		t, err := time.Parse(time.DateOnly, s)
		o.w.must(err)
		return int(t.Unix() / 86400)
	}
	g := &grant{depot: a.Depot, skip: a.Skip, name: name, site: a.Site, number: a.Number, from: day(a.From), to: day(a.To), told: o.w.Now}
	if a.State == "offered" {
		g.until = time.Duration(a.Until-int64(o.w.Wall()))*time.Millisecond + o.w.Now
	}
	for _, h := range o.grants {
		if h.depot == g.depot && h.skip == g.skip && h.number != g.number && h.from < g.to && g.from < h.to && o.holds(h) && o.holds(g) {
			o.broke("%s of %s is %s's (%d) and was told to be %s's (%d) for the same days", g.skip, g.depot, h.name, h.number, g.name, g.number)
		}
	}
	o.grants = append(o.grants, g)
	return g
}

// holds reports whether who was granted it may count on it now.
func (o *Offices) holds(g *grant) bool {
	return !g.ended && (g.until == 0 || o.w.Now < g.until)
}

// Look asks any controller for a depot's skips and misses none that was promised.
func (o *Offices) Look(depot string) {
	asked := o.w.Now
	o.page(depot, "", map[uint64]string{}, func(have map[uint64]string) {
		for _, g := range o.grants {
			if g.depot == depot && g.until == 0 && !g.ended && g.told < asked && have[g.number] != g.skip+"/"+g.site {
				o.broke("%s of %s, promised to %s as %d, is not in the list", g.skip, depot, g.site, g.number)
			}
		}
	})
}

func (o *Offices) page(depot, after string, have map[uint64]string, done func(map[uint64]string)) {
	node := o.w.Users.anyNode()
	o.w.request(node, 5*time.Second, func(answer func(int, []byte)) {
		h := o.w.nodes[node]
		if h == nil || h.node == nil {
			return
		}
		o.w.ask(h, func(req control.ReqID) control.Command {
			return control.Ask{Req: req, What: "skips", ID: depot, After: after, Limit: 100}
		}, answer)
	}, func(status int, b []byte) {
		if status != 200 {
			o.w.After(time.Second, func() { o.page(depot, after, have, done) })
			return
		}
		var v struct {
			Skips []struct {
				Skip  string       `json:"skip"`
				Items []skipAnswer `json:"items"`
			} `json:"skips"`
			After string `json:"after"`
		}
		o.w.must(json.Unmarshal(b, &v))
		for _, s := range v.Skips {
			for _, x := range s.Items {
				have[x.Number] = s.Skip + "/" + x.Site
			}
		}
		if v.After != "" {
			o.page(depot, v.After, have, done)
			return
		}
		done(have)
	})
}

// Log goes through the records of the ledger as the state service was sent them, by themselves:
// no skip is held by two for the same day, and every promise that somebody was told is there.
func (o *Offices) Log() {
	type held struct {
		depot, skip string
		from, to    int
		site        string
	}
	live, ever := map[string]held{}, map[string]bool{}
	for _, c := range o.w.State.log {
		shard, ok := strings.CutPrefix(c.Put, "s/r/")
		if !ok {
			continue
		}
		shard, _, _ = strings.Cut(shard, "/")
		var r struct {
			Seq uint64 `json:"q"`
			Ops []struct {
				Do    string `json:"o"`
				Depot string `json:"d"`
				Skip  string `json:"i"`
				Num   uint64 `json:"n"`
				Site  string `json:"s"`
				From  int    `json:"f"`
				To    int    `json:"t"`
			} `json:"ops"`
		}
		o.w.must(json.Unmarshal(c.Value, &r))
		for i, op := range r.Ops {
			key := fmt.Sprintf("%s/%d", shard, op.Num)
			switch {
			case (op.Do == "offer" || op.Do == "promise") && op.Num == 0:
				num := r.Seq*256 + uint64(i+1)
				for other, h := range live {
					if h.depot == op.Depot && h.skip == op.Skip && h.from < op.To && op.From < h.to {
						o.broke("in the log %s of %s is held as %s and as %d for the same days", op.Skip, op.Depot, other, num)
					}
				}
				live[fmt.Sprintf("%s/%d", shard, num)] = held{op.Depot, op.Skip, op.From, op.To, op.Site}
				ever[fmt.Sprintf("%s/%s/%d", op.Depot, op.Skip, num)] = true
			case slices.Contains([]string{"release", "return", "expire"}, op.Do):
				delete(live, key)
			}
		}
	}
	for _, g := range o.grants {
		if !ever[fmt.Sprintf("%s/%s/%d", g.depot, g.skip, g.number)] {
			o.broke("%s was told number %d of %s, which is in no record", g.name, g.number, g.skip)
		}
	}
}

func newOffices(w *World) *Offices { return &Offices{w: w, names: map[string]uint64{}} }
