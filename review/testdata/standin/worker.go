package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

type command struct {
	Op      string  `json:"gesto"`
	Task    string  `json:"pezzo"`
	Attempt uint64  `json:"tentativo"`
	Grace   float64 `json:"tregua_s"`
}

type batch struct {
	Token    *uint64   `json:"sigillo"`
	Turno    uint64    `json:"turno"`
	Commands []command `json:"ordini"`
}

// task is an attempt on a machine.
type task struct {
	name    string
	attempt uint64
	spec    *jobSpec
	state   string
	why     string
	present bool // on the machine: it has its image and has not ended
}

type attemptKey struct {
	task    string
	attempt uint64
}

// workerSettings is shared by all workers.
type workerSettings struct {
	reportEvery, lease time.Duration
	controllers        []string                  // API addresses
	byLabel            map[string]int            // index of a controller
	jobs               *jobs                     // the descriptions that users upload
	watch              *watcher                  // judges starts
	network            network                   // delays packets
	fails              func(*worker, *task) bool // whether a task fails
	failsAfter         time.Duration             // how long it has run then
}

// network delays the packets between machines and controllers. Nil functions delay nothing.
type network struct {
	latency func(w *worker) time.Duration              // of each packet, in each direction
	answer  func(w *worker, body []byte) time.Duration // additional delay of an answer to a report
	command func(w *worker, body []byte) fate          // of a direct command
}

// fate is what happens to a direct command on its way.
type fate struct {
	reset bool          // the sender's connection is reset without an answer
	late  time.Duration // and the command is delivered so much later
}

// worker is the stand-in of the worker on one machine.
type worker struct {
	*workerSettings
	ref, address, banco, zone string
	kind                      machineType
	rec                       *record
	quiet                     bool
	ctx                       context.Context
	stop                      context.CancelFunc
	up                        chan struct{} // closed once the machine is up
	client                    *http.Client

	mu         sync.Mutex
	turno      uint64
	conta      uint64
	token      uint64
	tasks      map[attemptKey]*task
	results    map[string]bool // tasks that completed here
	images     map[string]bool
	leaseStart time.Time
	lastReport time.Time
	changed    bool
	current    int
}

func newWorker(s *workerSettings, rec *record, ref, zone string, kind machineType) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	w := &worker{workerSettings: s, ref: ref, address: ln.Addr().String(), banco: kind.Name, zone: zone, kind: kind, rec: rec, ctx: ctx, stop: stop, up: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}},
		turno:  1, tasks: map[attemptKey]*task{}, results: map[string]bool{}, images: map[string]bool{}}
	server := &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = server.Serve(ln) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return w, nil
}

// run reports to the controllers until the machine is gone.
func (w *worker) run() {
	w.mu.Lock()
	w.leaseStart = time.Now()
	w.mu.Unlock()
	close(w.up)
	w.current = rand.IntN(len(w.controllers))
	go w.checkLease()
	for w.ctx.Err() == nil {
		w.waitForReport()
		again := w.report()
		for again && w.ctx.Err() == nil {
			again = w.report()
		}
	}
}

func (w *worker) waitForReport() {
	next := w.lastReport.Add(time.Duration(float64(w.reportEvery) * (0.75 + 0.5*rand.Float64())))
	for w.ctx.Err() == nil && time.Now().Before(next) {
		w.mu.Lock()
		soon := w.changed && time.Since(w.lastReport) >= 500*time.Millisecond
		w.mu.Unlock()
		if soon {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (w *worker) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-w.ctx.Done():
	}
}

func (w *worker) latencyOf() time.Duration {
	if w.network.latency == nil {
		return 0
	}
	return w.network.latency(w)
}

// report sends one report. It returns true if the next one is due at once, to another controller.
func (w *worker) report() bool {
	w.mu.Lock()
	w.changed = false
	body, turno := w.reportBody(), w.turno
	w.mu.Unlock()
	sent := time.Now()
	w.lastReport = sent
	ctx, cancel := context.WithTimeout(w.ctx, 4*time.Second)
	defer cancel()
	w.pause(w.latencyOf())
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+w.controllers[w.current]+"/checkin", bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := w.client.Do(req)
	var answer []byte
	if err == nil {
		answer, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
	}
	if err == nil {
		delay := w.latencyOf()
		if w.network.answer != nil {
			delay += w.network.answer(w, answer)
		}
		w.pause(delay)
	}
	if err != nil || time.Since(sent) > 4*time.Second {
		w.nextController()
		return false
	}
	switch res.StatusCode {
	case 200:
		w.answered(answer, sent, turno)
		return false
	case 421:
		var q struct {
			Owner string `json:"capobottega"`
		}
		if i, ok := w.byLabel[ownerOf(answer, &q, &q.Owner)]; ok && i != w.current {
			w.current = i
			return true
		}
	}
	w.nextController()
	return false
}

func ownerOf(body []byte, into any, owner *string) string {
	_ = json.Unmarshal(body, into)
	return *owner
}

func (w *worker) nextController() {
	w.pause(time.Second)
	w.current = (w.current + 1) % len(w.controllers)
	w.mu.Lock()
	w.changed = true
	w.mu.Unlock()
	w.lastReport = time.Time{}
}

func (w *worker) answered(body []byte, sent time.Time, turno uint64) {
	var b batch
	if json.Unmarshal(body, &b) != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if turno != w.turno || b.Token == nil || *b.Token < w.token {
		return
	}
	w.raise(*b.Token)
	w.leaseStart = sent
	w.execute(b.Commands, "answer to a report")
}

func (w *worker) raise(token uint64) {
	if token > w.token {
		w.token, w.changed = token, true
	}
}

func (w *worker) reportBody() []byte {
	w.conta++
	list := []object{}
	keys := make([]attemptKey, 0, len(w.tasks))
	for k := range w.tasks {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		return keys[i].task < keys[j].task || keys[i].task == keys[j].task && keys[i].attempt < keys[j].attempt
	})
	for _, k := range keys {
		t := w.tasks[k]
		o := object{"pezzo": t.name, "tentativo": t.attempt, "stato": t.state}
		if t.why != "" {
			o["motivo"] = t.why
		}
		list = append(list, o)
	}
	data, _ := json.Marshal(object{"tornio": w.ref, "address": w.address, "banco": w.banco, "cortile": w.zone, "avanzi": false,
		"turno": w.turno, "conta": w.conta, "sigillo": w.token, "preavviso_s": nil, "pezzi": list})
	return data
}

// serve serves /commands and /show.
func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case <-w.up:
	default:
		<-r.Context().Done() // a machine that is not up is silent
		return
	}
	if r.URL.Path == "/show" {
		w.mu.Lock()
		defer w.mu.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		_, _ = rw.Write(w.reportBody())
		return
	}
	if w.network.command != nil {
		if f := w.network.command(w, body); f.reset {
			time.AfterFunc(f.late, func() {
				if w.ctx.Err() == nil {
					status, _ := w.command(body)
					w.rec.printf("machine %s: the held command arrives: %s -> %d", w.ref, body, status)
				}
			})
			if hj, ok := rw.(http.Hijacker); ok {
				if conn, _, err := hj.Hijack(); err == nil {
					if tcp, ok := conn.(*net.TCPConn); ok {
						_ = tcp.SetLinger(0)
					}
					_ = conn.Close()
				}
			}
			return
		}
	}
	w.pause(w.latencyOf())
	status, answer := w.command(body)
	w.pause(w.latencyOf())
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(answer)
}

func (w *worker) command(body []byte) (int, []byte) {
	var b batch
	if json.Unmarshal(body, &b) != nil || b.Token == nil || b.Turno == 0 {
		return 400, nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	status := 409
	if *b.Token >= w.token && b.Turno == w.turno {
		status = 200
		w.raise(*b.Token)
		w.execute(b.Commands, "direct command")
	}
	return status, w.reportBody()
}

func (w *worker) execute(commands []command, how string) {
	for _, c := range commands {
		k := attemptKey{c.Task, c.Attempt}
		t := w.tasks[k]
		if !w.quiet {
			w.rec.printf("machine %s: %s: %s %s attempt %d", w.ref, how, c.Op, c.Task, c.Attempt)
		}
		switch {
		case c.Op == "launch" && t == nil:
			w.launch(k)
		case c.Op == "halt" && t != nil && t.state != "ended":
			w.end(t, "halted")
		case c.Op == "reap" && t != nil && t.state == "ended":
			delete(w.tasks, k)
			w.changed = true
		}
	}
}

func (w *worker) launch(k attemptKey) {
	t := &task{name: k.task, attempt: k.attempt, spec: w.jobs.find(k.task), state: "fetching"}
	cores, ram := w.kind.Cores, w.kind.RAM
	for other, o := range w.tasks {
		if o.state == "ended" {
			continue
		}
		cores, ram = cores-o.spec.Cores, ram-o.spec.RAM
		if other.task == k.task {
			t.why = "in_use"
		}
	}
	w.tasks[k] = t
	w.changed = true
	switch {
	case t.spec == nil:
		t.why = "no_such"
	case t.why == "" && (t.spec.Cores > cores || t.spec.RAM > ram):
		t.why = "full"
	}
	if t.why != "" {
		t.state = "ended"
		return
	}
	if w.images[t.spec.Image] {
		w.start(t)
		return
	}
	time.AfterFunc(time.Duration(t.spec.ImageGB/w.kind.Fetch*float64(time.Second)), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.tasks[k] != t || t.state != "fetching" {
			return
		}
		w.images[t.spec.Image] = true
		w.start(t)
	})
}

// start begins a task that has its image.
func (w *worker) start(t *task) {
	t.present, t.state, w.changed = true, "running", true
	w.watch.started(w.ref, t.name, t.attempt)
	if w.results[t.name] {
		w.end(t, "done")
		return
	}
	if w.fails != nil {
		time.AfterFunc(w.failsAfter, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if t.state == "running" && w.fails(w, t) {
				w.end(t, "error")
			}
		})
	}
	if t.spec.Kind == "daemon" {
		return
	}
	time.AfterFunc(t.spec.run, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if t.state == "running" && w.ctx.Err() == nil {
			w.results[t.name] = true
			w.end(t, "done")
		}
	})
}

func (w *worker) end(t *task, why string) {
	if t.present {
		t.present = false
		w.watch.ended(w.ref, t.name, t.attempt, why)
	}
	t.state, t.why, w.changed = "ended", why, true
}

// forgetAll ends all tasks without a report, because the lease expired or the machine is gone.
func (w *worker) forgetAll(why string) {
	for _, t := range w.tasks {
		if t.state != "ended" {
			w.end(t, why)
		}
	}
	w.tasks = map[attemptKey]*task{}
}

func (w *worker) checkLease() {
	for w.ctx.Err() == nil {
		w.pause(50 * time.Millisecond)
		w.mu.Lock()
		if time.Since(w.leaseStart) > w.lease {
			w.rec.printf("machine %s: the lease of session %d expires", w.ref, w.turno)
			w.forgetAll("lease expired")
			w.turno++
			w.leaseStart, w.changed = time.Now(), true
		}
		w.mu.Unlock()
	}
}

func (w *worker) kill() {
	w.stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forgetAll("machine gone")
}
