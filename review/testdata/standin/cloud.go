package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// machineType is a type of the cloud, as GET /machine_types shows it.
type machineType struct {
	Name      string   `json:"name"`
	Cores     float64  `json:"cores"`
	GPUs      float64  `json:"gpus"`
	RAM       float64  `json:"ram_gb"`
	Cache     float64  `json:"cache_gb"`
	Fetch     float64  `json:"fetch_gb_per_s"`
	Price     float64  `json:"price"`
	SpotPrice float64  `json:"spot_price"`
	Ready     float64  `json:"ready_s"`
	Zones     []string `json:"cortili"`
}

type host struct {
	ref, address, banco, zone string
	rented, up, gone          time.Time // up is when it is listed as running, gone is zero while it exists
	worker                    *worker
}

// cloud is the stand-in of the cloud.
type cloud struct {
	rec   *record
	types []machineType
	lag   time.Duration
	rps   float64
	rent  func(banco, zone string) (*host, error) // rents a machine; nil: there is no capacity

	mu       sync.Mutex
	capacity int                 // machines that may still be rented
	rentals  map[string][]string // by request name
	requests bucket
	hosts    map[string]*host
}

func (c *cloud) add(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[h.ref] = h
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requests.take(1, 2*c.rps) { // tokens for two seconds: bursts worth two seconds are permitted
		reply(w, 429, object{"error": "rate"})
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /machine_types":
		reply(w, 200, object{"banchi": c.types})
	case "POST /hosts":
		c.rentHosts(w, body)
	case "POST /hosts/delete":
		var q struct {
			Torni []string `json:"torni"`
		}
		if json.Unmarshal(body, &q) != nil || len(q.Torni) > 100 {
			reply(w, 400, object{"error": "malformed"})
			return
		}
		for _, ref := range q.Torni {
			if h := c.hosts[ref]; h != nil && h.gone.IsZero() {
				c.rec.printf("cloud: machine %s is deleted", ref)
				h.gone = time.Now()
				h.worker.kill()
			}
		}
		reply(w, 200, object{})
	case "GET /hosts":
		c.list(w, r)
	default:
		reply(w, 400, object{"error": "malformed"})
	}
}

func (c *cloud) rentHosts(w http.ResponseWriter, body []byte) {
	var q struct {
		Name   string `json:"noleggio"`
		Type   string `json:"banco"`
		Zone   string `json:"cortile"`
		Spot   bool   `json:"avanzi"`
		Number int    `json:"number"`
	}
	if json.Unmarshal(body, &q) != nil || q.Name == "" || q.Number < 1 || q.Number > 50 {
		reply(w, 400, object{"error": "malformed"})
		return
	}
	if torni, ok := c.rentals[q.Name]; ok {
		reply(w, 200, object{"torni": torni})
		return
	}
	if c.rent == nil || c.capacity == 0 || q.Spot {
		reply(w, 503, object{"error": "no capacity"})
		return
	}
	torni := []string{}
	for range min(q.Number, c.capacity) {
		h, err := c.rent(q.Type, q.Zone)
		if err != nil {
			break
		}
		c.capacity--
		c.hosts[h.ref] = h
		torni = append(torni, h.ref)
	}
	c.rentals[q.Name] = torni
	c.rec.printf("cloud: %s rents %d machines of %d", q.Name, len(torni), q.Number)
	reply(w, 200, object{"torni": torni})
}

// list shows the machines as of list_lag_s ago.
func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	asOf := time.Now().Add(-c.lag)
	var refs []string
	for ref, h := range c.hosts {
		if ref > q.Get("since") && h.rented.Before(asOf) && (h.gone.IsZero() || h.gone.After(asOf)) {
			refs = append(refs, ref)
		}
	}
	sort.Strings(refs)
	more := len(refs) > limit
	refs = refs[:min(len(refs), limit)]
	out := []object{}
	for _, ref := range refs {
		h := c.hosts[ref]
		state := "starting"
		if h.up.Before(asOf) {
			state = "running"
		}
		out = append(out, object{"ref": ref, "address": h.address, "banco": h.banco, "cortile": h.zone, "avanzi": false, "stato": state, "age_s": asOf.Sub(h.rented).Seconds()})
	}
	reply(w, 200, object{"torni": out, "more": more})
}

func machineName(n int) string { return fmt.Sprintf("i-%06d", n) }
