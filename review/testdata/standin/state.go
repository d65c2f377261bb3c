package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// limits are the limits of the state service.
type limits struct {
	rps, writeRPS float64
	valueKB       float64
	txnOps        int
}

type pair struct {
	data    json.RawMessage
	version uint64
	lease   uint64
}

type change struct {
	Write   string          `json:"write,omitempty"`
	Data    json.RawMessage `json:"data,omitempty"`
	Drop    string          `json:"drop,omitempty"`
	Version uint64          `json:"ritocco"`
}

type stateLease struct {
	life time.Duration
	ends time.Time
}

// bucket is a rate limit that allows a burst of one second's worth.
type bucket struct {
	tokens float64
	at     time.Time
}

func (b *bucket) take(n, rate float64) bool {
	now := time.Now()
	if b.at.IsZero() {
		b.tokens = rate
	} else {
		b.tokens = min(rate, b.tokens+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// retainedChanges is the number of changes that the service keeps for watches.
const retainedChanges = 10_000

// stateService is the stand-in of the state service.
type stateService struct {
	rec *record

	mu        sync.Mutex
	limits    limits
	keys      map[string]pair
	revision  uint64
	log       []change
	changed   chan struct{}
	leases    map[uint64]*stateLease
	lastLease uint64
	requests  bucket
	writes    bucket
	refused   map[string]int // transactions refused because of a size, by key of the first large value
}

func newStateService(rec *record, l limits) *stateService {
	s := &stateService{rec: rec, limits: l, keys: map[string]pair{}, changed: make(chan struct{}), leases: map[uint64]*stateLease{}, refused: map[string]int{}}
	go s.expireLeases()
	return s
}

func (s *stateService) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *stateService) endLease(id uint64) {
	delete(s.leases, id)
	var drop []string
	for k, p := range s.keys {
		if p.lease == id {
			drop = append(drop, k)
		}
	}
	if len(drop) == 0 {
		return
	}
	sort.Strings(drop)
	s.revision++
	for _, k := range drop {
		s.rec.printf("state: key %s removed with its lease", k)
		s.drop(k)
	}
	s.wake()
}

func (s *stateService) drop(k string) {
	delete(s.keys, k)
	s.log = append(s.log, change{Drop: k, Version: s.revision})
}

func (s *stateService) wake() {
	if over := len(s.log) - retainedChanges; over > 0 {
		s.log = s.log[over:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = 500, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

type object map[string]any

func (s *stateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 64<<10+1))
	if err != nil {
		return
	}
	s.mu.Lock()
	if !s.requests.take(1, s.limits.rps) {
		s.mu.Unlock()
		reply(w, 429, object{"error": "rate"})
		return
	}
	if r.URL.Path == "/changes" {
		s.serveChanges(w, r) // unlocks
		return
	}
	status, answer := s.serve(r, body)
	s.mu.Unlock()
	reply(w, status, answer)
}

func (s *stateService) serve(r *http.Request, body []byte) (int, any) {
	path := r.URL.Path
	switch {
	case r.Method == "GET" && path == "/keys":
		return s.list(r)
	case r.Method == "GET" && strings.HasPrefix(path, "/keys/"):
		k := strings.TrimPrefix(path, "/keys/")
		p, ok := s.keys[k]
		if !ok {
			return 404, object{"registro": s.revision}
		}
		out := object{"k": k, "data": p.data, "ritocco": p.version}
		if p.lease != 0 {
			out["affitto"] = p.lease
		}
		return 200, out
	case r.Method == "POST" && path == "/multi":
		return s.multi(body)
	case r.Method == "POST" && path == "/leases":
		var q struct {
			Life int64 `json:"life_ms"`
		}
		if json.Unmarshal(body, &q) != nil || q.Life < 100 || q.Life > 600_000 {
			return 400, object{"error": "life_ms"}
		}
		s.lastLease++
		life := time.Duration(q.Life) * time.Millisecond
		s.leases[s.lastLease] = &stateLease{life, time.Now().Add(life)}
		return 200, object{"affitto": s.lastLease}
	case strings.HasPrefix(path, "/leases/"):
		name, action, _ := strings.Cut(strings.TrimPrefix(path, "/leases/"), "/")
		id, _ := strconv.ParseUint(name, 10, 64)
		l := s.leases[id]
		if l == nil {
			return 404, object{"error": "no such lease"}
		}
		if r.Method == "DELETE" && action == "" {
			s.endLease(id)
			return 200, object{}
		}
		if r.Method == "POST" && action == "extend" {
			l.ends = time.Now().Add(l.life)
			return 200, object{"affitto": id}
		}
	}
	return 400, object{"error": "malformed"}
}

func (s *stateService) list(r *http.Request) (int, any) {
	q := r.URL.Query()
	under, since := q.Get("under"), q.Get("since")
	limit := 1000
	if v, err := strconv.Atoi(q.Get("limit")); err == nil && v > 0 {
		limit = min(limit, v)
	}
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, under) && k > since {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	pairs, size, more := []object{}, 0, false
	for _, k := range names {
		p := s.keys[k]
		if len(pairs) == limit || size+len(p.data)+len(k)+64 > 512<<10 {
			more = true
			break
		}
		size += len(p.data) + len(k) + 64
		pairs = append(pairs, object{"k": k, "data": p.data, "ritocco": p.version})
	}
	return 200, object{"pairs": pairs, "more": more, "registro": s.revision}
}

func (s *stateService) multi(body []byte) (int, any) {
	var t struct {
		If []struct {
			K       string `json:"k"`
			Version uint64 `json:"ritocco"`
		} `json:"if"`
		Writes []struct {
			Write string          `json:"write"`
			Data  json.RawMessage `json:"data"`
			Lease uint64          `json:"affitto"`
			Drop  string          `json:"drop"`
		} `json:"writes"`
	}
	if json.Unmarshal(body, &t) != nil {
		return 400, object{"error": "malformed"}
	}
	if len(body) > 64<<10 || len(t.Writes) > s.limits.txnOps || len(t.If) > 4*s.limits.txnOps {
		s.rec.printf("state: transaction of %d bytes, %d writes, %d conditions refused: 400", len(body), len(t.Writes), len(t.If))
		return 400, object{"error": "transaction too large"}
	}
	for _, w := range t.Writes {
		if k := w.Write + w.Drop; k == "" || len(k) > 200 || strings.Contains(k, " ") {
			return 400, object{"error": "key"}
		}
		if float64(len(w.Data)) > s.limits.valueKB*1024 {
			if s.refused[w.Write]++; s.refused[w.Write] == 1 || s.refused[w.Write]%100 == 0 {
				s.rec.printf("state: value of %d bytes for key %s refused: 400 (%d times), the limit is %v KiB", len(w.Data), w.Write, s.refused[w.Write], s.limits.valueKB)
			}
			return 400, object{"error": "value too large"}
		}
	}
	if !s.writes.take(float64(len(t.Writes)), s.limits.writeRPS) {
		return 429, object{"error": "rate"}
	}
	for _, w := range t.Writes {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return 400, object{"error": "no such lease"}
		}
	}
	var failed []string
	for _, c := range t.If {
		if s.keys[c.K].version != c.Version {
			failed = append(failed, c.K)
		}
	}
	if len(failed) > 0 {
		return 409, object{"failed": failed, "registro": s.revision}
	}
	if len(t.Writes) == 0 {
		return 200, object{"registro": s.revision}
	}
	s.revision++
	for _, w := range t.Writes {
		if w.Drop != "" {
			if _, ok := s.keys[w.Drop]; ok {
				s.drop(w.Drop)
			}
			continue
		}
		s.keys[w.Write] = pair{w.Data, s.revision, w.Lease}
		s.log = append(s.log, change{Write: w.Write, Data: w.Data, Version: s.revision})
	}
	s.wake()
	return 200, object{"registro": s.revision}
}

// serveChanges is called with mu held and releases it.
func (s *stateService) serveChanges(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	under := q.Get("under")
	since, err := strconv.ParseUint(q.Get("since"), 10, 64)
	if err != nil {
		s.mu.Unlock()
		reply(w, 400, object{"error": "since"})
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 60_000)) * time.Millisecond)
	for {
		if len(s.log) == retainedChanges && since < s.log[0].Version-1 {
			s.mu.Unlock()
			reply(w, 410, object{"error": "too old"})
			return
		}
		out := []change{}
		first := sort.Search(len(s.log), func(i int) bool { return s.log[i].Version > since })
		for _, c := range s.log[first:] {
			if strings.HasPrefix(c.Write+c.Drop, under) {
				out = append(out, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(out) > 0 || wait <= 0 {
			reply(w, 200, object{"registro": revision, "log": out})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
}
