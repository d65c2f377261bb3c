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

// store is a stand-in of the state service: keys, transactions, leases and watches as in
// PROTOCOL-basaltwall.md, with the limits of the settings.
type store struct {
	mu      sync.Mutex
	rev     uint64
	entries map[string]entry
	log     []change
	lost    uint64 // revisions up to this one are no longer in the log
	leases  map[uint64]*lease
	last    uint64
	changed chan struct{}

	reads, writes bucket
	valueBytes    int
	txnOps        int
	down          bool // an outage: every request but open watches gets 503
}

type entry struct {
	data  json.RawMessage
	rev   uint64
	lease uint64
}

type change struct {
	Write   string          `json:"write,omitempty"`
	Data    json.RawMessage `json:"data,omitempty"`
	Drop    string          `json:"drop,omitempty"`
	Ritocco uint64          `json:"ritocco"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// bucket allows a rate with bursts of one second's worth.
type bucket struct {
	rate, have float64
	at         time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	if b.at.IsZero() {
		b.have = b.rate
	} else {
		b.have = min(b.rate, b.have+b.rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.have < n {
		return false
	}
	b.have -= n
	return true
}

func newStore(st settingsState) *store {
	s := &store{entries: map[string]entry{}, leases: map[uint64]*lease{}, changed: make(chan struct{}),
		reads: bucket{rate: st.RPS}, writes: bucket{rate: st.WriteRPS}, valueBytes: int(st.ValueKB * 1024), txnOps: st.TxnOps}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// expire ends the leases that were not renewed in time and removes their keys. Called with mu held.
func (s *store) expire() {
	if s.down {
		return
	}
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for k, e := range s.entries {
		if e.lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	s.rev++
	for _, k := range keys {
		delete(s.entries, k)
		s.log = append(s.log, change{Drop: k, Ritocco: s.rev})
	}
	s.wake()
}

func (s *store) wake() {
	if n := len(s.log) - 10000; n > 0 {
		s.lost = s.log[n-1].Ritocco
		s.log = append([]change(nil), s.log[n:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown begins or ends an outage. At its end every lease has its full time again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if !down {
		for _, l := range s.leases {
			l.end = time.Now().Add(l.ttl)
		}
		s.wake()
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

type object = map[string]any

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		reply(w, 503, object{"error": "trouble"})
		return
	}
	if !s.reads.take(1) {
		s.mu.Unlock()
		reply(w, 429, object{"error": "too many requests"})
		return
	}
	s.mu.Unlock()
	path := r.URL.Path
	switch {
	case path == "/changes":
		s.watch(w, r)
	case path == "/multi" && r.Method == "POST":
		s.multi(w, body)
	case path == "/keys":
		s.list(w, r)
	case strings.HasPrefix(path, "/keys/"):
		s.mu.Lock()
		defer s.mu.Unlock()
		k := strings.TrimPrefix(path, "/keys/")
		e, ok := s.entries[k]
		if !ok {
			reply(w, 404, object{"registro": s.rev})
			return
		}
		out := object{"k": k, "data": e.data, "ritocco": e.rev}
		if e.lease != 0 {
			out["affitto"] = e.lease
		}
		reply(w, 200, out)
	case strings.HasPrefix(path, "/leases"):
		s.lease(w, r, body)
	default:
		reply(w, 404, object{"error": "no such path"})
	}
}

func (s *store) lease(w http.ResponseWriter, r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if r.URL.Path == "/leases" {
		var q struct {
			Life int64 `json:"life_ms"`
		}
		if json.Unmarshal(body, &q) != nil || q.Life < 100 || q.Life > 600000 {
			reply(w, 400, object{"error": "malformed"})
			return
		}
		s.last++
		ttl := time.Duration(q.Life) * time.Millisecond
		s.leases[s.last] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
		reply(w, 200, object{"affitto": s.last})
		return
	}
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	id, _ := strconv.ParseUint(parts[1], 10, 64)
	l := s.leases[id]
	switch {
	case l == nil:
		reply(w, 404, object{"error": "no such lease"})
	case r.Method == "DELETE":
		s.endLease(id)
		reply(w, 200, object{})
	default:
		l.end = time.Now().Add(l.ttl)
		reply(w, 200, object{"affitto": id})
	}
}

func (s *store) multi(w http.ResponseWriter, body []byte) {
	var q struct {
		If []struct {
			K       string `json:"k"`
			Ritocco uint64 `json:"ritocco"`
		} `json:"if"`
		Writes []struct {
			Write   string          `json:"write"`
			Data    json.RawMessage `json:"data"`
			Affitto uint64          `json:"affitto"`
			Drop    string          `json:"drop"`
		} `json:"writes"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if len(body) > 64<<10 || json.Unmarshal(body, &q) != nil || len(q.Writes) > s.txnOps || len(q.If) > 4*s.txnOps {
		reply(w, 400, object{"error": "malformed or beyond the limits"})
		return
	}
	for _, x := range q.Writes {
		if len(x.Data) > s.valueBytes {
			reply(w, 400, object{"error": "value too large"})
			return
		}
		if x.Affitto != 0 && s.leases[x.Affitto] == nil {
			reply(w, 400, object{"error": "no such lease"})
			return
		}
	}
	if !s.writes.take(float64(len(q.Writes))) {
		reply(w, 429, object{"error": "too many changes"})
		return
	}
	failed := []string{}
	for _, c := range q.If {
		if s.entries[c.K].rev != c.Ritocco {
			failed = append(failed, c.K)
		}
	}
	if len(failed) > 0 {
		reply(w, 409, object{"failed": failed, "registro": s.rev})
		return
	}
	if len(q.Writes) > 0 {
		s.rev++
	}
	for _, x := range q.Writes {
		if x.Drop != "" {
			if _, ok := s.entries[x.Drop]; ok {
				delete(s.entries, x.Drop)
				s.log = append(s.log, change{Drop: x.Drop, Ritocco: s.rev})
			}
			continue
		}
		s.entries[x.Write] = entry{x.Data, s.rev, x.Affitto}
		s.log = append(s.log, change{Write: x.Write, Data: x.Data, Ritocco: s.rev})
	}
	reply(w, 200, object{"registro": s.rev})
	if len(q.Writes) > 0 {
		s.wake()
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 1000 {
		limit = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.entries {
		if strings.HasPrefix(k, q.Get("under")) && k > q.Get("since") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	pairs, size, more := []object{}, 0, false
	for _, k := range keys {
		e := s.entries[k]
		size += len(k) + len(e.data) + 60
		if len(pairs) == limit || size > 512<<10 {
			more = true
			break
		}
		pairs = append(pairs, object{"k": k, "data": e.data, "ritocco": e.rev})
	}
	reply(w, 200, object{"pairs": pairs, "more": more, "registro": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, err := strconv.ParseUint(q.Get("since"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || wait < 0 || wait > 60000 {
		reply(w, 400, object{"error": "malformed"})
		return
	}
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if since < s.lost {
			s.mu.Unlock()
			reply(w, 410, object{"error": "too old"})
			return
		}
		out := []change{}
		if !s.down {
			for _, c := range s.log {
				if c.Ritocco > since && strings.HasPrefix(c.Write+c.Drop, q.Get("under")) {
					out = append(out, c)
				}
			}
		}
		rev, changed, down := s.rev, s.changed, s.down
		s.mu.Unlock()
		if len(out) > 0 || !down && !time.Now().Before(end) {
			reply(w, 200, object{"registro": rev, "log": out})
			return
		}
		left := time.Until(end)
		if down && left <= 0 {
			left = 50 * time.Millisecond
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-r.Context().Done():
			return
		}
	}
}
