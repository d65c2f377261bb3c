package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxBody is the protocol's limit of request bodies and of lines in responses to workers.
const maxBody = 64 << 10

// boot starts the worker of a machine. Called with mu held, as all methods that don't say otherwise.
func (m *machine) boot() {
	if m.state != "starting" {
		return
	}
	m.state, m.turno, m.renewed = "running", 1, time.Now()
	m.node = rand.IntN(len(m.w.nodes))
	m.client = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	m.w.note("machine %s (%s, %s) is up", m.id, m.typ, m.zone)
	go m.reportLoop()
	go m.leaseLoop()
}

// end takes a machine away with all that is on it.
func (m *machine) end() {
	if m.state == "gone" {
		return
	}
	m.state = "gone"
	close(m.stop)
	m.killAll("machine gone")
	_ = m.server.Close()
}

func (m *machine) killAll(why string) {
	for k, t := range m.tasks {
		running := t.state == "running"
		m.leave(t, why)
		t.state = "killed"
		delete(m.tasks, k)
		if running {
			m.w.matesGone(t)
		}
	}
}

// matesGone ends the other tasks of a running gang that has lost a task.
func (w *world) matesGone(t *task) {
	j := w.jobs[t.job]
	if j == nil || j.spec["forma"] != "ensemble" {
		return
	}
	for _, x := range w.mates(t) {
		if x.t != t && x.t.state == "running" {
			x.m.after(x.t, time.Duration(w.site.GangPeer*0.5*float64(time.Second)), func() { x.m.exit(x.t, "mates_gone") })
		}
	}
}

// leave notes that a task is no longer on the machine.
func (m *machine) leave(t *task, why string) {
	t.gen++
	if m.w.on[t.name] == m.id && !t.began.IsZero() {
		delete(m.w.on, t.name)
	}
	if !t.began.IsZero() && t.state != "ended" {
		m.w.note("%s: task %s attempt %d leaves: %s", m.id, t.name, t.attempt, why)
	}
}

func (m *machine) changed() {
	select {
	case m.change <- struct{}{}:
	default:
	}
}

// report returns the machine's report.
func (m *machine) report() []byte {
	m.conta++
	tasks := []object{}
	for _, t := range m.tasks {
		o := object{"pezzo": t.name, "tentativo": t.attempt, "stato": t.state}
		if t.reason != "" {
			o["motivo"] = t.reason
		}
		if t.saved {
			o["saved"] = true
		}
		tasks = append(tasks, o)
	}
	b, _ := json.Marshal(object{"tornio": m.id, "address": m.addr, "banco": m.typ, "cortile": m.zone, "avanzi": m.spot,
		"turno": m.turno, "conta": m.conta, "sigillo": m.sigillo, "preavviso_s": nil, "pezzi": tasks})
	m.large = max(m.large, len(b))
	return b
}

// reportLoop sends the reports. It runs without mu.
func (m *machine) reportLoop() {
	w := m.w
	wait := time.Duration(0)
	for {
		select {
		case <-m.stop:
			return
		case <-time.After(wait):
		case <-m.change:
			select { // never more often than every half second
			case <-time.After(500 * time.Millisecond):
			case <-m.stop:
				return
			}
		}
		w.mu.Lock()
		if m.mute {
			w.mu.Unlock()
			wait = time.Second
			continue
		}
		body, turno, node := m.report(), m.turno, m.node
		cut := w.cutZone == m.zone
		w.mu.Unlock()
		sent := time.Now()
		status, answer := 0, []byte(nil)
		if cut {
			m.client.CloseIdleConnections()
			cut = m.hangs(4 * time.Second)
		}
		if !cut {
			status, answer = m.send(node, body)
		}
		w.mu.Lock()
		if w.cutZone == m.zone { // the answer does not get through
			status = 0
		}
		if status == 413 || len(body) > maxBody {
			m.refused++
			w.note("%s: report of %d bytes to %s: %d", m.id, len(body), w.nodes[node].label, status)
		}
		wait = time.Duration(w.site.Report * (0.75 + 0.5*rand.Float64()) * float64(time.Second))
		switch {
		case m.state == "gone":
		case status == 200:
			m.take(answer, sent, turno)
		case status == 421:
			var a struct{ Capobottega string }
			_ = json.Unmarshal(answer, &a)
			next := -1
			for i, c := range w.nodes {
				if c.label == a.Capobottega && i != node {
					next = i
				}
			}
			m.client.CloseIdleConnections()
			if next >= 0 {
				m.node, wait = next, time.Duration(rand.IntN(500))*time.Millisecond
			} else {
				m.node, wait = (node+1)%len(w.nodes), time.Second
			}
		default:
			m.client.CloseIdleConnections()
			m.node, wait = (node+1)%len(w.nodes), time.Second
		}
		w.mu.Unlock()
	}
}

// hangs reports whether a connection can't be opened within a time because of a cut. The attempt is repeated
// after 1 s and 3 s, as TCP does. It runs without mu.
func (m *machine) hangs(limit time.Duration) bool {
	begin := time.Now()
	for _, at := range []time.Duration{time.Second, 3 * time.Second, limit} {
		select {
		case <-time.After(time.Until(begin.Add(at))):
		case <-m.stop:
			return true
		}
		m.w.mu.Lock()
		cut := m.w.cutZone == m.zone
		m.w.mu.Unlock()
		if !cut && at < limit {
			return false
		}
	}
	return true
}

func (m *machine) send(node int, body []byte) (int, []byte) {
	res, err := m.client.Post("http://"+m.w.nodes[node].api+"/checkin", "application/json", bytes.NewReader(body))
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

type orders struct {
	Sigillo *uint64 `json:"sigillo"`
	Turno   *uint64 `json:"turno"`
	Ordini  []struct {
		Gesto     string
		Pezzo     string
		Tentativo uint64
		Tregua    float64 `json:"tregua_s"`
	} `json:"ordini"`
}

// take handles the response to a report.
func (m *machine) take(answer []byte, sent time.Time, turno uint64) {
	var o orders
	if json.Unmarshal(answer, &o) != nil || o.Sigillo == nil || *o.Sigillo < m.sigillo || turno != m.turno {
		return
	}
	if len(answer) > maxBody {
		m.w.note("%s: response of %d bytes", m.id, len(answer))
	}
	m.raise(*o.Sigillo)
	m.renewed = sent
	m.execute(&o)
}

func (m *machine) raise(token uint64) {
	if token > m.sigillo {
		m.sigillo = token
		m.changed()
	}
}

// leaseLoop ends the tasks when the lease runs out. It runs without mu.
func (m *machine) leaseLoop() {
	for {
		select {
		case <-m.stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		m.w.mu.Lock()
		if m.state == "running" && time.Since(m.renewed).Seconds() > m.w.site.Lease {
			m.w.note("%s: lease ran out, %d tasks killed", m.id, len(m.tasks))
			m.killAll("lease ran out")
			m.turno++
			m.conta = 0
			m.renewed = time.Now()
			m.changed()
		}
		m.w.mu.Unlock()
	}
}

// ServeHTTP serves the controllers' direct commands. It runs without mu.
func (m *machine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 4*maxBody))
	if err != nil {
		return
	}
	m.w.mu.Lock()
	if m.w.cutZone == m.zone { // the call is lost, and its connection hangs
		m.w.mu.Unlock()
		<-r.Context().Done()
		return
	}
	defer m.w.mu.Unlock()
	if m.state != "running" {
		return
	}
	if r.URL.Path == "/show" {
		rw.WriteHeader(200)
		_, _ = rw.Write(m.report())
		return
	}
	if len(body) > maxBody {
		m.w.note("%s: direct commands of %d bytes refused", m.id, len(body))
		rw.WriteHeader(413)
		return
	}
	var o orders
	if json.Unmarshal(body, &o) != nil || o.Sigillo == nil || o.Turno == nil {
		rw.WriteHeader(400)
		return
	}
	status := 409
	if *o.Sigillo >= m.sigillo && *o.Turno == m.turno {
		status = 200
		m.raise(*o.Sigillo)
		m.execute(&o)
	}
	rw.WriteHeader(status)
	_, _ = rw.Write(m.report())
}

func (m *machine) execute(o *orders) {
	for _, c := range o.Ordini {
		k := key{c.Pezzo, c.Tentativo}
		t := m.tasks[k]
		switch c.Gesto {
		case "launch":
			if t == nil {
				m.start(c.Pezzo, c.Tentativo)
			}
		case "halt":
			if t != nil {
				m.halt(t, c.Tregua)
			}
		case "reap":
			if t != nil && t.state == "ended" {
				delete(m.tasks, k)
				m.changed()
			}
		}
	}
}

func num(o object, name string) float64 { f, _ := o[name].(float64); return f }

func (m *machine) start(name string, attempt uint64) {
	w := m.w
	i := strings.LastIndexByte(name, '/')
	index, _ := strconv.Atoi(name[i+1:])
	t := &task{name: name, job: name[:i], index: index, attempt: attempt, state: "fetching"}
	j := w.jobs[t.job]
	if j == nil && w.anyJob != nil {
		j = w.anyJob
		w.jobs[t.job] = j
	}
	refuse := ""
	typ := w.typeOf(m.typ)
	cores, ram, gpus := typ.Cores, typ.RAM, typ.GPUs
	for _, o := range m.tasks {
		if o.state == "ended" {
			continue
		}
		if o.name == name {
			refuse = "in_use"
		}
		s := w.jobs[o.job].spec
		cores, ram, gpus = cores-num(s, "cores"), ram-num(s, "ram_gb"), gpus-num(s, "gpus")
	}
	switch {
	case j == nil || index >= j.spec["pezzi"].(int):
		refuse = "no_such"
	case refuse == "" && (num(j.spec, "cores") > cores+1e-6 || num(j.spec, "ram_gb") > ram+1e-6 || num(j.spec, "gpus") > gpus+1e-6):
		refuse = "full"
	}
	m.tasks[key{name, attempt}] = t
	m.changed()
	if refuse != "" {
		t.state, t.reason = "ended", refuse
		w.note("%s: launch of %s attempt %d refused: %s", m.id, name, attempt, refuse)
		return
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled).Seconds() > w.site.Cancel {
		w.breaks("ran_cancelled: %s is started on %s after its cancellation", name, m.id)
	}
	fetch := 100 * time.Millisecond
	if image := j.spec["stampo"].(string); !m.images[image] {
		fetch = time.Duration(num(j.spec, "image_gb") / typ.Fetch * float64(time.Second))
	}
	m.after(t, fetch, func() { m.images[j.spec["stampo"].(string)] = true; m.begin(t, j) })
}

// after calls f after a time unless the task has changed its state by then.
func (m *machine) after(t *task, d time.Duration, f func()) {
	gen := t.gen
	time.AfterFunc(d, func() {
		m.w.mu.Lock()
		defer m.w.mu.Unlock()
		if t.gen == gen && m.state == "running" && m.tasks[key{t.name, t.attempt}] == t {
			f()
		}
	})
}

// begin puts a task on the machine once it has its image.
func (m *machine) begin(t *task, j *job) {
	w := m.w
	if other := w.on[t.name]; other != "" {
		w.breaks("ran_twice: %s starts on %s while it is on %s", t.name, m.id, other)
	}
	w.on[t.name] = m.id
	t.began = time.Now()
	t.gen++
	j.started++
	if j.spec["forma"] == "ensemble" {
		t.state = "waiting"
		m.changed()
		m.gang(t, j)
		return
	}
	m.running(t, j)
}

func (m *machine) running(t *task, j *job) {
	t.state = "running"
	t.gen++
	m.changed()
	m.w.note("%s: task %s attempt %d runs", m.id, t.name, t.attempt)
	switch {
	case j.done[t.index]:
		m.exit(t, "done")
	case m.sick:
		m.after(t, 200*time.Millisecond, func() { m.exit(t, "error") })
	case j.run > 0:
		m.after(t, j.run, func() {
			if j.spec["forma"] == "ensemble" {
				m.w.complete(t, j)
				return
			}
			m.exit(t, "done")
		})
	}
}

type member struct {
	m *machine
	t *task
}

// mates returns the tasks of a gang's attempt that have their image and have not ended.
func (w *world) mates(t *task) []member {
	var out []member
	for _, m := range w.machines {
		for _, x := range m.tasks {
			if x.job == t.job && x.attempt == t.attempt && (x.state == "waiting" || x.state == "running") {
				out = append(out, member{m, x})
			}
		}
	}
	return out
}

// gang starts a gang once the last task has its image.
func (m *machine) gang(t *task, j *job) {
	mates := m.w.mates(t)
	if len(mates) < j.spec["pezzi"].(int) {
		m.after(t, time.Duration(m.w.site.GangWait*float64(time.Second)), func() { m.exit(t, "incomplete") })
		return
	}
	for _, x := range mates {
		x.m.running(x.t, j)
	}
}

func (m *machine) exit(t *task, why string) {
	wasRunning := t.state == "running"
	m.leave(t, why)
	t.state, t.reason = "ended", why
	j := m.w.jobs[t.job]
	if why == "done" {
		j.done[t.index] = true
	}
	m.changed()
	if wasRunning && why != "done" {
		m.w.matesGone(t)
	}
}

// complete ends all tasks of a gang as done, unless one of them is not running any more.
func (w *world) complete(t *task, j *job) {
	mates := w.mates(t)
	for _, x := range mates {
		if x.t.state != "running" {
			return
		}
	}
	if len(mates) < j.spec["pezzi"].(int) {
		return
	}
	for _, x := range mates {
		x.m.exit(x.t, "done")
	}
}

func (m *machine) halt(t *task, grace float64) {
	if t.state == "ended" || t.state == "flushing" && grace > 0 {
		return
	}
	s := m.w.jobs[t.job].spec
	if t.state == "running" && num(s, "tappa_s") > 0 && grace >= num(s, "salvo_s") {
		t.state = "flushing"
		t.gen++
		m.changed()
		m.after(t, time.Duration(num(s, "salvo_s")*float64(time.Second)), func() { t.saved = true; m.exit(t, "halted") })
		return
	}
	m.exit(t, "halted")
}
