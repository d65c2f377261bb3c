// Command bench is the stand-in of the platform for the cases of this review: the state service, the
// cloud with its machines and their workers, and the users. It starts the controllers as separate
// processes, plays one case, writes record.txt and exits with 1 if the rule of the case was broken,
// 0 if it held and 2 if the case could not run.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

type settingsState struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

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

// site holds the settings of a deployment.
type site struct {
	Zones    []string
	Types    []machineType
	Teams    []object
	Report   float64
	Lease    float64
	GangWait float64
	GangPeer float64
	Cancel   float64
	State    settingsState
	CloudRPS float64
	ListLag  float64
	FDs      int
	MemoryMB float64
	CPU      float64
	Capacity map[string]int // machines by zone, all types together

	Controllers string // zone of all controllers; empty: one in each zone
}

// kippermulde returns the settings of the smaller deployment of the brief.
func kippermulde() site {
	return site{
		Zones: []string{"hof-nord", "hof-sued", "muenchen"},
		Types: []machineType{{Name: "werk16", Cores: 16, RAM: 64, Cache: 60, Fetch: 0.6, Price: 0.66, SpotPrice: 0.21, Ready: 50,
			Zones: []string{"hof-nord", "hof-sued", "muenchen"}}},
		Teams: []object{{"name": "dispo", "cpus": 192.0, "cpus_max": 680.0, "gpus": 0.0, "gpus_max": 0.0},
			{"name": "buchhaltung", "cpus": 152.0, "cpus_max": 376.0, "gpus": 0.0, "gpus_max": 0.0},
			{"name": "fuhrpark", "cpus": 192.0, "cpus_max": 304.0, "gpus": 0.0, "gpus_max": 0.0}},
		Report: 3, Lease: 31, GangWait: 35, GangPeer: 6, Cancel: 61,
		State:    settingsState{150, 50, 8, 12},
		CloudRPS: 10, ListLag: 5, FDs: 2000, MemoryMB: 342, CPU: 0.36,
		Capacity: map[string]int{},
	}
}

// lopresti returns the settings of the marketplace's larger deployment.
func lopresti() site {
	zones := []string{"palermo", "catania", "ragusa", "roma-nuvola"}
	return site{
		Zones: zones, Controllers: "palermo",
		Types: []machineType{{Name: "visione24", Cores: 24, GPUs: 2, RAM: 96, Cache: 100, Fetch: 1, Price: 5.85, SpotPrice: 2.67, Ready: 50, Zones: zones}},
		Teams: []object{{"name": "bottega-web", "cpus": 0.0, "cpus_max": 0.0, "gpus": 50.0, "gpus_max": 150.0},
			{"name": "artigiani", "cpus": 0.0, "cpus_max": 0.0, "gpus": 100.0, "gpus_max": 600.0}},
		Report: 8, Lease: 45, GangWait: 35, GangPeer: 6, Cancel: 65,
		State:    settingsState{180, 70, 8, 48},
		CloudRPS: 6, ListLag: 10, FDs: 2438, MemoryMB: 220, CPU: 0.288,
		Capacity: map[string]int{},
	}
}

type task struct {
	name    string
	job     string
	index   int
	attempt uint64
	state   string
	reason  string
	saved   bool
	began   time.Time // on the machine
	gen     int       // changes with each transition, so that older timers have no effect
}

type key struct {
	name    string
	attempt uint64
}

type machine struct {
	w                     *world
	id, addr, typ, zone   string
	spot                  bool
	rented                time.Time
	state                 string // starting, running, gone
	turno, conta, sigillo uint64
	tasks                 map[key]*task
	images                map[string]bool
	renewed               time.Time // when the last answered report was sent
	node                  int
	sick                  bool // fails every task that it starts
	mute                  bool
	change                chan struct{}
	server                *http.Server
	client                *http.Client
	large                 int // size of the largest report
	refused               int // reports refused with 413 or not sent because of their size
	stop                  chan struct{}
}

type job struct {
	spec      object
	run       time.Duration
	submitted bool
	accepted  time.Time
	cancelled time.Time // when its user was told
	done      map[int]bool
	states    []string
	started   int
}

type controller struct {
	label, api, peer, file, log string
	cmd                         *exec.Cmd
	ended                       bool // by the bench
	endedAt                     time.Time
	reserved                    []net.Listener
}

type world struct {
	mu       sync.Mutex
	site     site
	dir      string
	store    *store
	machines map[string]*machine
	names    int
	rentals  map[string][]string
	jobs     map[string]*job
	nodes    []*controller
	record   *os.File
	start    time.Time
	broken   []string
	cloudRPS bucket
	trouble  bool
	on       map[string]string // task name -> machine where it is
	adminKey string            // file with the operators' first key; with it the controllers run hosted
	ready    bool              // all controllers have served
	cutZone  string            // a zone that is cut off from everything; its machines work on
	anyJob   *job              // the description of jobs that workers know by no other id
	auth     string            // the Authorization header of users' requests
}

func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
	if os.Getenv("SHOW") != "" {
		fmt.Print(line)
	}
}

// breaks records that a rule is broken.
func (w *world) breaks(format string, args ...any) {
	s := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, s)
	w.note("BROKEN %s", s)
}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(2)
	}
}

// reserve returns a free address below the ports that the system gives to connections, and keeps it until the
// controller is started.
func (c *controller) reserve() string {
	for {
		addr := fmt.Sprintf("127.0.0.1:%d", 15000+rand.IntN(15000))
		if l, err := net.Listen("tcp", addr); err == nil {
			c.reserved = append(c.reserved, l)
			return addr
		}
	}
}

// serve serves a handler on a free port of loopback.
func serve(h http.Handler) (string, *http.Server) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), s
}

// zoneOf returns the zone of a controller.
func (s *site) zoneOf(controller int) string {
	if s.Controllers != "" {
		return s.Controllers
	}
	return s.Zones[controller%len(s.Zones)]
}

func newWorld(s site, dir, record string, controllers int) *world {
	f, err := os.Create(record)
	must(err)
	w := &world{site: s, dir: dir, store: newStore(s.State), machines: map[string]*machine{}, rentals: map[string][]string{},
		jobs: map[string]*job{}, record: f, start: time.Now(), cloudRPS: bucket{rate: s.CloudRPS * 2}, on: map[string]string{}, names: 100}
	w.trouble = os.Getenv("TROUBLE") != "0"
	storeAddr, _ := serve(w.store)
	cloudAddr, _ := serve(http.HandlerFunc(w.cloud))
	for i := range controllers {
		c := &controller{label: fmt.Sprintf("stone-%d", i)}
		c.api, c.peer = c.reserve(), c.reserve()
		w.nodes = append(w.nodes, c)
	}
	for i, c := range w.nodes {
		peers := []object{}
		for j, o := range w.nodes {
			if o != c {
				peers = append(peers, object{"label": o.label, "domain": s.zoneOf(j), "peer_addr": o.peer})
			}
		}
		settings := object{"label": c.label, "domain": s.zoneOf(i), "api_addr": c.api, "peer_listen": c.peer, "peers": peers,
			"external": object{"cloud": cloudAddr, "state": storeAddr},
			"deployment": object{"initial_size": controllers, "zones": s.Zones, "teams": s.Teams, "objectives": []object{},
				"workers": object{"report_s": s.Report, "lease_s": s.Lease, "gang_wait_s": s.GangWait, "gang_peer_s": s.GangPeer, "cancel_s": s.Cancel},
				"state":   s.State, "cloud": object{"rps": s.CloudRPS, "list_lag_s": s.ListLag},
				"limits":         object{"cpu_share": s.CPU, "memory_mb": s.MemoryMB, "fd_limit": s.FDs},
				"clock_error_ms": 250.0}}
		b, _ := json.MarshalIndent(settings, "", "  ")
		c.file, c.log = filepath.Join(dir, c.label+".json"), filepath.Join(dir, c.label+".log")
		must(os.WriteFile(c.file, b, 0o644))
	}
	return w
}

// launch starts a controller with the command of the deploy file.
func (w *world) launch(c *controller) {
	f, err := os.OpenFile(c.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	must(err)
	command := w.runCommand()
	cmd := exec.Command(command[0], append(command[1:], c.file)...)
	cmd.Stderr, cmd.Stdout = f, f
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	for _, l := range c.reserved {
		_ = l.Close()
	}
	c.reserved = nil
	must(cmd.Start())
	_ = f.Close()
	c.cmd, c.ended = cmd, false
	w.note("controller %s started", c.label)
	go func() {
		err := cmd.Wait()
		w.mu.Lock()
		defer w.mu.Unlock()
		if !c.ended && !w.ready {
			w.note("controller %s ended before all were ready: %v", c.label, err)
		} else if !c.ended {
			c.endedAt = time.Now()
			w.breaks("controller %s ended by itself: %v: %s", c.label, err, lastPanic(c.log))
		}
	}()
}

// lastPanic returns the last line of a log that begins with "panic:".
func lastPanic(log string) string {
	b, _ := os.ReadFile(log)
	found := ""
	for _, line := range strings.Split(string(b), "\n") {
		if strings.HasPrefix(line, "panic:") {
			found = line
		}
	}
	return found
}

// hosted makes the controllers serve tenants, with a new key for the operators.
func (w *world) hosted() {
	key, err := exec.Command("target/basaltwall", "new-key").Output()
	must(err)
	w.adminKey = filepath.Join(w.dir, "admin.key")
	must(os.WriteFile(w.adminKey, key, 0o600))
}

// runCommand returns the command of the deploy file that starts a controller. For a hosted service it names
// the case's own key file in place of the one of the machine.
func (w *world) runCommand() []string {
	file := "deploy/service.toml"
	if w.adminKey != "" {
		file = "deploy/hosted.toml"
	}
	b, err := os.ReadFile(file)
	must(err)
	for _, line := range strings.Split(string(b), "\n") {
		if name, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == "run" {
			s, err := strconv.Unquote(strings.TrimSpace(value))
			must(err)
			words := strings.Fields(s)
			for i := range words {
				if i > 0 && words[i-1] == "--admin-key-file" {
					words[i] = w.adminKey
				}
			}
			return words
		}
	}
	must(fmt.Errorf("the deploy file has no run command"))
	return nil
}

func (w *world) kill(c *controller) {
	w.mu.Lock()
	c.ended = true
	w.mu.Unlock()
	w.note("controller %s killed", c.label)
	_ = c.cmd.Process.Kill()
}

// finish ends all processes and returns the exit code.
func (w *world) finish(cannotRun string) int {
	for _, c := range w.nodes {
		if c.cmd != nil {
			w.mu.Lock()
			c.ended = true
			w.mu.Unlock()
			_ = c.cmd.Process.Kill()
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case len(w.broken) > 0:
		w.note("result: broken")
		fmt.Println("broken:", w.broken[0])
		return 1
	case cannotRun != "":
		w.note("result: the case could not run: %s", cannotRun)
		fmt.Println("could not run:", cannotRun)
		return 2
	}
	w.note("result: held")
	fmt.Println("held")
	return 0
}

// ---- the cloud

func (w *world) cloud(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.cloudRPS.take(1) {
		reply(rw, 429, object{"error": "too many requests"})
		return
	}
	switch {
	case r.URL.Path == "/machine_types":
		reply(rw, 200, object{"banchi": w.site.Types})
	case r.URL.Path == "/hosts" && r.Method == "GET":
		w.hostsList(rw, r)
	case r.URL.Path == "/hosts":
		w.rent(rw, body)
	case r.URL.Path == "/hosts/delete":
		var q struct {
			Torni []string `json:"torni"`
		}
		if json.Unmarshal(body, &q) != nil || len(q.Torni) > 100 {
			reply(rw, 400, object{"error": "malformed"})
			return
		}
		for _, id := range q.Torni {
			if m := w.machines[id]; m != nil && m.state != "gone" {
				w.note("cloud: %s deleted", id)
				m.end()
			}
		}
		reply(rw, 200, object{})
	default:
		reply(rw, 404, object{})
	}
}

func (w *world) hostsList(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	var ids []string
	for id, m := range w.machines {
		if id > q.Get("since") && m.state != "gone" && time.Since(m.rented).Seconds() >= w.site.ListLag {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	out, more := []object{}, false
	for _, id := range ids {
		if len(out) == limit {
			more = true
			break
		}
		m := w.machines[id]
		out = append(out, object{"ref": id, "address": m.addr, "banco": m.typ, "cortile": m.zone, "avanzi": m.spot, "stato": m.state,
			"age_s": time.Since(m.rented).Seconds() - w.site.ListLag})
	}
	reply(rw, 200, object{"torni": out, "more": more})
}

func (w *world) inZone(zone string) int {
	n := 0
	for _, m := range w.machines {
		if m.zone == zone && m.state != "gone" {
			n++
		}
	}
	return n
}

func (w *world) rent(rw http.ResponseWriter, body []byte) {
	var q struct {
		Noleggio, Banco, Cortile string
		Avanzi                   bool
		Number                   int
	}
	if json.Unmarshal(body, &q) != nil || q.Noleggio == "" || q.Number < 1 || q.Number > 50 {
		reply(rw, 400, object{"error": "malformed"})
		return
	}
	if ids, ok := w.rentals[q.Noleggio]; ok {
		reply(rw, 200, object{"torni": ids})
		return
	}
	n := min(q.Number, w.site.Capacity[q.Cortile]-w.inZone(q.Cortile))
	if n <= 0 {
		reply(rw, 503, object{"error": "no capacity"})
		return
	}
	var ids []string
	for range n {
		m := w.newMachine(q.Banco, q.Cortile, q.Avanzi)
		boot := time.Duration(w.typeOf(q.Banco).Ready * (0.6 + 0.9*rand.Float64()) * float64(time.Second))
		ids = append(ids, m.id)
		time.AfterFunc(boot, func() { w.mu.Lock(); defer w.mu.Unlock(); m.boot() })
	}
	w.rentals[q.Noleggio] = ids
	w.note("cloud: rented %v (%s in %s, cheap %v)", ids, q.Banco, q.Cortile, q.Avanzi)
	reply(rw, 200, object{"torni": ids})
}

func (w *world) typeOf(name string) machineType {
	for _, t := range w.site.Types {
		if t.Name == name {
			return t
		}
	}
	return machineType{}
}

func (w *world) newMachine(typ, zone string, spot bool) *machine {
	w.names++
	m := &machine{w: w, id: fmt.Sprintf("i-%06d", w.names), typ: typ, zone: zone, spot: spot, rented: time.Now(), state: "starting",
		tasks: map[key]*task{}, images: map[string]bool{}, change: make(chan struct{}, 1), stop: make(chan struct{})}
	m.addr, m.server = serve(m)
	w.machines[m.id] = m
	return m
}

// addMachine adds a machine that has been up for a while.
func (w *world) addMachine(typ, zone string) *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.newMachine(typ, zone, false)
	m.rented = time.Now().Add(-5 * time.Minute)
	m.boot()
	return m
}

// ---- users

// request sends a user's request to a node and returns the status and the body; status 0 means no answer.
func (w *world) request(node int, method, path string, body []byte, timeout time.Duration) (int, []byte) {
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, _ := http.NewRequest(method, "http://"+w.nodes[node].api+path, bytes.NewReader(body))
	if w.auth != "" {
		req.Header.Set("Authorization", w.auth)
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, b
}

// balanced sends a request as the load balancer would: to a healthy node, and on to the next one when it
// refuses the connection.
func (w *world) balanced(method, path string, body []byte, timeout time.Duration) (int, []byte) {
	first := rand.IntN(len(w.nodes))
	for i := range w.nodes {
		n := (first + i) % len(w.nodes)
		c, err := net.DialTimeout("tcp", w.nodes[n].api, 500*time.Millisecond)
		if err != nil {
			continue
		}
		_ = c.Close()
		if status, b := w.request(n, method, path, body, timeout); status != 0 {
			return status, b
		}
		return 0, nil
	}
	return 0, nil
}

// submit submits a job as a user does, with retries for up to 60 s, and returns the last status.
func (w *world) submit(spec object, run time.Duration) int {
	ref := spec["ref"].(string)
	w.mu.Lock()
	w.jobs[ref] = &job{spec: spec, run: run, done: map[int]bool{}, submitted: true}
	w.mu.Unlock()
	body, _ := json.Marshal(spec)
	end := time.Now().Add(60 * time.Second)
	status := 0
	for time.Now().Before(end) {
		var b []byte
		status, b = w.balanced("POST", "/v1/jobs", body, 5*time.Second)
		w.note("user: submit %s: %d %s", ref, status, bytes.TrimSpace(b))
		if status == 200 || status == 201 {
			w.mu.Lock()
			w.jobs[ref].accepted = time.Now()
			w.mu.Unlock()
			return status
		}
		if status == 400 || status == 422 {
			return status
		}
		time.Sleep(time.Second)
	}
	return status
}

// accepts submits a job and reports whether it was accepted, at once or by a retry.
func (w *world) accepts(spec object, run time.Duration) bool {
	status := w.submit(spec, run)
	return status == 200 || status == 201
}

// poll asks for a job's state; "" means no usable answer.
func (w *world) poll(ref string) string {
	status, b := w.balanced("GET", "/v1/jobs/"+ref, nil, 2*time.Second)
	var a struct{ Stato string }
	_ = json.Unmarshal(b, &a)
	w.note("user: ask %s: %d %s", ref, status, bytes.TrimSpace(b))
	if status == 404 {
		return "404"
	}
	if status != 200 {
		return ""
	}
	return a.Stato
}

// withdraw cancels a job, repeated until it is answered.
func (w *world) withdraw(ref string) string {
	for range 60 {
		status, b := w.balanced("POST", "/v1/jobs/"+ref+"/withdraw", nil, 5*time.Second)
		w.note("user: withdraw %s: %d %s", ref, status, bytes.TrimSpace(b))
		if status == 200 {
			var a struct{ Stato string }
			_ = json.Unmarshal(b, &a)
			if a.Stato == "aborted" {
				w.mu.Lock()
				w.jobs[ref].cancelled = time.Now()
				w.mu.Unlock()
			}
			return a.Stato
		}
		time.Sleep(time.Second)
	}
	return ""
}

// waitReady waits until all nodes are ready.
func (w *world) waitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		ready := 0
		for i := range w.nodes {
			if status, _ := w.request(i, "GET", "/ready", nil, time.Second); status == 200 {
				ready++
			}
		}
		if ready == len(w.nodes) {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// spec returns a job of independent tasks; the caller changes what differs.
func spec(ref, team string, tasks int, cores, ram float64) object {
	return object{"ref": ref, "mestiere": "touren", "bottega": team, "forma": "sweep", "urgenza": "normal", "pezzi": tasks,
		"cores": cores, "gpus": 0.0, "ram_gb": ram, "stampo": "img-01", "image_gb": 0.6, "banchi": nil, "cortile": nil,
		"together": false, "scatter": false, "avanzi": false, "stima_s": 5.0, "tappa_s": 0.0, "salvo_s": 0.0, "consegna_s": nil}
}
