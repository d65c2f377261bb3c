package emulator

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"basaltwall/controller/message"
	"basaltwall/internal/exactjson"
	"basaltwall/internal/invariant"
)

// SkipClients emulates clients that book skips (waste containers) for building sites, by phone and
// in the portal, and checks the rule promised: a skip that is reserved for a site is never granted to another
// site for the same days. Days are counted from 1 January 1970.
type SkipClients struct {
	sim           *Simulation
	grants        []*grant
	numbersByName map[string]uint64 // booking numbers by the request's name
	requestCount  int
	Granted       int
	Refused       int
	Unanswered    int           // requests without a final response, which are repeated
	MaxLatency    time.Duration // of final responses
	totalLatency  time.Duration
	Responses     int
}

// MeanLatency returns the mean latency of final responses.
func (o *SkipClients) MeanLatency() time.Duration {
	return o.totalLatency / time.Duration(max(1, o.Responses))
}

// grant is an offer or promise in a response to a client.
type grant struct {
	depot, skip, name, site string
	number                  uint64
	from, to                int
	grantedAt               time.Duration
	expiresAt               time.Duration // of an offer; 0 for a promise
	released                bool          // the client requested its end, or accepted the offer
}

type bookingResponse struct {
	Depot  string `json:"depot"`
	Skip   string `json:"skip"`
	Number uint64 `json:"number"`
	State  string `json:"state"`
	Site   string `json:"site"`
	From   string `json:"from"`
	To     string `json:"to"`
	Until  int64  `json:"until"`
}

func formatDay(day int) string {
	return time.Unix(int64(day)*86400, 0).UTC().Format(time.DateOnly)
}

func (o *SkipClients) recordViolation(format string, args ...any) {
	o.sim.Checker.RecordViolation(o.sim.Now, invariant.RuleBooking, format, args...)
}

// sendRequest sends a request to any controller and repeats it until the response is final. handle receives the
// final response.
func (o *SkipClients) sendRequest(depot, operation string, body map[string]any, handle func(status int, a bookingResponse)) {
	o.sendRequestTo(o.sim.Users.anyController(), depot, operation, body, handle)
}

func (o *SkipClients) sendRequestTo(controllerName, depot, operation string, body map[string]any, handle func(status int, a bookingResponse)) {
	data, err := json.Marshal(body)
	o.sim.must(err)
	sentAt := o.sim.Now
	o.sim.externalRequest(controllerName, 5*time.Second, func(answer func(int, []byte)) {
		h := o.sim.controllers[controllerName]
		if h == nil || h.controller == nil {
			return
		}
		o.sim.callController(h, func(req message.ReqID) message.Command {
			return message.AdminRequest{Req: req, What: "skips-do", ID: depot, Sub: operation, Body: data}
		}, answer)
	}, func(status int, b []byte) {
		var a bookingResponse
		if status == 200 {
			o.sim.must(exactjson.Decode(b, &a))
		}
		if status == 0 || status == 503 {
			o.Unanswered++
			o.sim.After(time.Second, func() { o.sendRequest(depot, operation, body, handle) })
			return
		}
		elapsed := o.sim.Now - sentAt
		o.totalLatency, o.Responses, o.MaxLatency = o.totalLatency+elapsed, o.Responses+1, max(o.MaxLatency, elapsed)
		handle(status, a)
	})
}

// Import adds skips of a kind to a depot.
func (o *SkipClients) Import(depot, kind string, n int) {
	const page = 40
	for from := 0; from < n; from += page {
		var list []map[string]any
		for i := from; i < min(n, from+page); i++ {
			list = append(list, map[string]any{"skip": fmt.Sprintf("%s-%04d", kind, i), "kind": kind})
		}
		o.sendRequest(depot, "import", map[string]any{"skips": list}, func(status int, _ bookingResponse) {
			if status != 200 {
				o.recordViolation("import into depot %s failed with status %d", depot, status)
			}
		})
	}
}

// RequestBooking emulates one client. By phone it requests a promise, in the portal an offer, which it may
// turn into a promise. It releases the promised skip, has it delivered and returned, or keeps it reserved.
func (o *SkipClients) RequestBooking(depot, kind string, days int) {
	o.requestCount++
	r := o.sim.rand
	name, site := fmt.Sprintf("ask-%d", o.requestCount), fmt.Sprintf("site-%d", o.requestCount)
	from := 20_000 + r.IntN(days)
	body := map[string]any{"name": name, "kind": kind, "from": formatDay(from), "to": formatDay(from + 1 + r.IntN(3))}
	scheduleEnd := func(g *grant) {
		if g == nil {
			return
		}
		delay := time.Duration(1+r.IntN(20)) * time.Second
		switch r.IntN(4) {
		case 0, 1:
			o.sim.After(delay, func() { o.endGrant(g, "release") })
		case 2:
			o.sim.After(delay, func() {
				o.sendRequest(depot, "deliver", map[string]any{"skip": g.skip, "number": g.number}, func(status int, a bookingResponse) {
					if status != 200 && status != 409 { // 409: the skip may be out of service
						o.recordViolation("skip %s of depot %s, promised to %s as number %d, cannot be delivered: status %d", g.skip, depot, g.site, g.number, status)
					}
					if status != 200 {
						return
					}
					o.sim.After(delay, func() { o.endGrant(g, "return") })
				})
			})
		}
	}
	if r.IntN(2) == 0 { // by phone, sometimes with a duplicate request
		body["site"] = site
		handlePromise := func(status int, a bookingResponse) { scheduleEnd(o.recordResponse(name, status, a)) }
		o.sendRequest(depot, "promise", body, handlePromise)
		if r.IntN(4) == 0 {
			o.sendRequest(depot, "promise", body, func(status int, a bookingResponse) { o.recordResponse(name, status, a) })
		}
		return
	}
	body["for_s"] = 5 + r.IntN(10)
	o.sendRequest(depot, "offer", body, func(status int, a bookingResponse) {
		g := o.recordResponse(name, status, a)
		if g == nil || r.IntN(4) == 0 {
			return // without acceptance the offer expires
		}
		o.sim.After(time.Duration(1+r.IntN(12))*time.Second, func() {
			acceptance := map[string]any{"name": name + "-take", "skip": g.skip, "number": g.number, "site": site}
			o.sendRequest(depot, "promise", acceptance, func(status int, a bookingResponse) {
				if status == 200 {
					g.released = true
					scheduleEnd(o.recordResponse(name+"-take", status, a))
				}
			})
		})
	})
}

// ChangeAvailability takes a skip out of service or returns it to service.
func (o *SkipClients) ChangeAvailability(depot, operation, skip string) {
	o.sendRequest(depot, operation, map[string]any{"skip": skip}, func(status int, _ bookingResponse) {
		if status != 200 {
			o.recordViolation("skip %s of depot %s: operation %s failed with status %d", skip, depot, operation, status)
		}
	})
}

// endGrant ends a promise by release or return. From the request on, the client no longer relies on it.
func (o *SkipClients) endGrant(g *grant, operation string) {
	g.released = true
	body := map[string]any{"skip": g.skip, "number": g.number}
	o.sendRequest(g.depot, operation, body, func(status int, a bookingResponse) {
		if status != 200 {
			o.recordViolation("skip %s of depot %s, promised to %s as number %d: %s failed with status %d", g.skip, g.depot, g.site, g.number, operation, status)
		}
		// Sends a late duplicate, which must not end another booking of the skip.
		o.sim.After(time.Duration(o.sim.rand.IntN(30))*time.Second, func() { o.sendRequest(g.depot, operation, body, func(int, bookingResponse) {}) })
	})
}

// recordResponse records a response and checks it against all other grants. It returns the grant if it is new,
// otherwise nil.
func (o *SkipClients) recordResponse(name string, status int, a bookingResponse) *grant {
	if status != 200 {
		o.Refused++
		return nil
	}
	if before, ok := o.numbersByName[name]; ok && before != a.Number {
		o.recordViolation("request %s got reservation number %d and then %d", name, before, a.Number)
	}
	_, repeated := o.numbersByName[name]
	o.numbersByName[name] = a.Number
	if repeated || a.State != "offered" && a.State != "promised" && a.State != "delivered" {
		return nil // a repeated response, or the booking has ended
	}
	o.Granted++
	day := func(s string) int {
		t, err := time.Parse(time.DateOnly, s)
		o.sim.must(err)
		return int(t.Unix() / 86400)
	}
	g := &grant{depot: a.Depot, skip: a.Skip, name: name, site: a.Site, number: a.Number, from: day(a.From), to: day(a.To), grantedAt: o.sim.Now}
	if a.State == "offered" {
		g.expiresAt = time.Duration(a.Until-int64(o.sim.WallTime()))*time.Millisecond + o.sim.Now
	}
	for _, h := range o.grants {
		if h.depot == g.depot && h.skip == g.skip && h.number != g.number && h.from < g.to && g.from < h.to && o.inForce(h) && o.inForce(g) {
			o.recordViolation("skip %s of depot %s is granted to %s (number %d) and to %s (number %d) for the same days", g.skip, g.depot, h.name, h.number, g.name, g.number)
		}
	}
	o.grants = append(o.grants, g)
	return g
}

// inForce reports whether a grant is neither ended nor expired.
func (o *SkipClients) inForce(g *grant) bool {
	return !g.released && (g.expiresAt == 0 || o.sim.Now < g.expiresAt)
}

// CheckListed lists a depot's skips at any controller and checks that every promise is in the list.
func (o *SkipClients) CheckListed(depot string) {
	sentAt := o.sim.Now
	o.listPage(depot, "", map[uint64]string{}, func(listed map[uint64]string) {
		for _, g := range o.grants {
			if g.depot == depot && g.expiresAt == 0 && !g.released && g.grantedAt < sentAt && listed[g.number] != g.skip+"/"+g.site {
				o.recordViolation("skip %s of depot %s, promised to %s as number %d, is missing from the list", g.skip, depot, g.site, g.number)
			}
		}
	})
}

func (o *SkipClients) listPage(depot, after string, listed map[uint64]string, done func(map[uint64]string)) {
	controllerName := o.sim.Users.anyController()
	o.sim.externalRequest(controllerName, 5*time.Second, func(answer func(int, []byte)) {
		h := o.sim.controllers[controllerName]
		if h == nil || h.controller == nil {
			return
		}
		o.sim.callController(h, func(req message.ReqID) message.Command {
			return message.AdminRequest{Req: req, What: "skips", ID: depot, After: after, Limit: 100}
		}, answer)
	}, func(status int, b []byte) {
		if status != 200 {
			o.sim.After(time.Second, func() { o.listPage(depot, after, listed, done) })
			return
		}
		var v struct {
			Skips []struct {
				Skip  string            `json:"skip"`
				Items []bookingResponse `json:"items"`
			} `json:"skips"`
			After string `json:"after"`
		}
		o.sim.must(exactjson.Decode(b, &v))
		for _, s := range v.Skips {
			for _, x := range s.Items {
				listed[x.Number] = s.Skip + "/" + x.Site
			}
		}
		if v.After != "" {
			o.listPage(depot, v.After, listed, done)
			return
		}
		done(listed)
	})
}

// CheckLog replays the ledger's records in the key-value store's log and checks that no skip is reserved
// twice for the same day and that every grant is recorded.
func (o *SkipClients) CheckLog() {
	type booking struct {
		depot, skip string
		from, to    int
		site        string
	}
	active, recorded := map[string]booking{}, map[string]bool{}
	for _, c := range o.sim.Store.changes {
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
		o.sim.must(exactjson.Decode(c.Value, &r))
		for i, op := range r.Ops {
			key := fmt.Sprintf("%s/%d", shard, op.Num)
			switch {
			case (op.Do == "offer" || op.Do == "promise") && op.Num == 0:
				num := r.Seq*256 + uint64(i+1)
				for other, h := range active {
					if h.depot == op.Depot && h.skip == op.Skip && h.from < op.To && op.From < h.to {
						o.recordViolation("in the log, skip %s of depot %s is reserved as %s and as %d for the same days", op.Skip, op.Depot, other, num)
					}
				}
				active[fmt.Sprintf("%s/%d", shard, num)] = booking{op.Depot, op.Skip, op.From, op.To, op.Site}
				recorded[fmt.Sprintf("%s/%s/%d", op.Depot, op.Skip, num)] = true
			case slices.Contains([]string{"release", "return", "expire"}, op.Do):
				delete(active, key)
			}
		}
	}
	for _, g := range o.grants {
		if !recorded[fmt.Sprintf("%s/%s/%d", g.depot, g.skip, g.number)] {
			o.recordViolation("request %s was granted number %d of skip %s, which is not in the log", g.name, g.number, g.skip)
		}
	}
}

func newSkipClients(sim *Simulation) *SkipClients {
	return &SkipClients{sim: sim, numbersByName: map[string]uint64{}}
}
