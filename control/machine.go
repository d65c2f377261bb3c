package control

import (
	"hash/fnv"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"basaltwall/api"
)

type taskKey struct {
	id      api.TaskID
	attempt api.Attempt
}

// Machine is what the owner of a machine's part knows of it.
type Machine struct {
	ID   api.MachineID
	addr string
	typ  api.TypeName
	zone api.Zone
	spot bool

	session api.Session
	seq     api.Seq
	token   api.Token // highest it has shown
	cmd     api.Token // the one we command it with; 0: none yet
	doubt   api.Token // direct commands up to this token may still arrive
	heard   api.Time  // last newer report
	found   api.Time  // first known to us
	notice  bool
	tasks   map[taskKey]api.TaskReport

	calling  bool
	callNext api.Time
	direct   api.Time // last direct call that was answered
	kick     bool     // something is to be told at once
	missed   int      // direct calls without an answer, in a row
	deleting bool
	idle     api.Time // since when it has had nothing that it is kept for
	closing  bool     // idle for long: nothing that could go elsewhere starts on it
	images   map[api.Image]cached
	failed   map[api.JobRef]api.Time
	sickTill api.Time
	fullTill api.Time
	pace     float64 // see learnPace
}

type cached struct {
	gb   float64
	used api.Time
}

// hashPart says which part a machine belongs to unless it was lent. Names are
// numbered in order of creation, so the number spreads machines rented together
// evenly; turning by one after each turn keeps zones rented in rotation apart.
func hashPart(id api.MachineID, parts int) api.PartID {
	s := string(id)
	digits := s[strings.LastIndexByte(s, '-')+1:]
	if v, err := strconv.ParseUint(digits, 10, 64); err == nil {
		return api.PartID((v + v/uint64(parts)) % uint64(parts))
	}
	h := fnv.New32a()
	h.Write([]byte(s))
	return api.PartID(h.Sum32() % uint32(parts))
}

func (n *Node) partOf(id api.MachineID) api.PartID {
	if l, ok := n.book.lent[id]; ok {
		return l.part
	}
	return hashPart(id, len(n.book.parts))
}

// base is the lowest token under which the owner of a part may command a
// machine: its term or, for a machine lent to it since, the lending's revision.
func (n *Node) base(t *turf, id api.MachineID) api.Token {
	return api.Token(max(t.term, n.book.lent[id].rev))
}

func (n *Node) machine(id api.MachineID) *Machine {
	m := n.machines[id]
	if m == nil {
		m = &Machine{ID: id, found: n.now, idle: n.now, tasks: map[taskKey]api.TaskReport{},
			images: map[api.Image]cached{}, failed: map[api.JobRef]api.Time{}}
		n.machines[id] = m
	}
	return m
}

// checkin answers a worker's report.
func (n *Node) checkin(c Checkin) {
	r := c.Report
	if !n.loaded {
		n.refuse(c.Req, 503, "starting")
		return
	}
	p := n.partOf(r.Machine)
	t := n.turfs[p]
	if t == nil {
		n.sendOn(c, n.book.parts[p].owner)
		return
	}
	if n.fleet.gone[r.Machine] != 0 {
		n.refuse(c.Req, 503, "machine was returned")
		return
	}
	m := n.machine(r.Machine)
	if m.deleting {
		n.refuse(c.Req, 503, "machine is being returned")
		return
	}
	m.cmd = max(m.cmd, n.base(t, m.ID))
	if r.Token > m.cmd {
		// Somebody commands it under a later term: we were deposed for it.
		n.reply(c.Req, 421, api.Redirect{}, 0)
		n.current(func() {}, func() {})
		return
	}
	n.process(m, r, t)
	if c.Forwarded {
		// It comes by way of a peer because it could not reach us. Once a
		// direct call gets through again, it is sent back to us.
		if m.direct != 0 && n.now.Sub(m.direct) < n.cfg.ReportEvery() {
			n.reply(c.Req, 421, api.Redirect{ReportTo: n.cfg.Label}, 0)
			return
		}
		m.kick = true
	}
	n.reply(c.Req, 200, api.Orders{Token: m.cmd, Orders: n.orders(m, t)}, 0)
}

// returnTime is how soon a worker comes back that was sent to a node which
// does not answer, and perhaps to another like it.
const returnTime = 20 * time.Second

// unheard reports whether a machine's owner says that it does not hear it.
func (n *Node) unheard(owner api.Label, id api.MachineID) bool {
	p := n.peers[owner]
	if p == nil || p.heard == 0 || n.now.Sub(p.heard) > 5*time.Second {
		return false
	}
	for _, pn := range p.gossip.Parts {
		for _, m := range pn.Machines {
			if m.ID == id {
				return m.Silent > n.cfg.ReportEvery()*5/4+time.Second
			}
		}
	}
	return false
}

// sendOn directs a worker to the owner of its part. A worker that comes back
// soon can't reach the owner; its reports are then passed on.
func (n *Node) sendOn(c Checkin, owner api.Label) {
	if c.Forwarded || owner == n.cfg.Label || owner == "" {
		n.refuse(c.Req, 503, "part is changing hands")
		return
	}
	last := n.sentTo[c.Report.Machine]
	if (last.to == owner && n.now.Sub(last.at) < returnTime || n.unheard(owner, c.Report.Machine)) && n.peers[owner] != nil {
		n.sentTo[c.Report.Machine] = redirected{owner, n.now}
		n.peer(owner, PeerMessage{Forward: &Forward{Kind: "checkin", Body: c.Body}}, func(a PeerAnswer) {
			if !a.OK || a.Reply.Status == 0 {
				n.refuse(c.Req, 503, "the machine's owner does not answer")
				return
			}
			n.emit(Reply{c.Req, a.Reply.Status, a.Reply.Body, 0})
		})
		return
	}
	if !n.live(owner) {
		n.refuse(c.Req, 503, "the machine's owner is gone")
		return
	}
	n.sentTo[c.Report.Machine] = redirected{owner, n.now}
	n.reply(c.Req, 421, api.Redirect{ReportTo: owner}, 0)
}

// sentToken is the highest token under which a launch of the place may still
// be on its way. Launches by former owners carry less than our term.
func (p *Place) sentToken(t *turf) api.Token {
	return max(p.sent, api.Token(t.term)-1)
}

// process takes in a report if it is newer than what is known.
func (n *Node) process(m *Machine, r *api.Report, t *turf) {
	if r.Session < m.session || (r.Session == m.session && r.Seq <= m.seq) {
		return
	}
	if !n.usable(m, t) {
		t.dirty = true // it may be from now on
	}
	m.session, m.seq, m.token, m.heard = r.Session, r.Seq, r.Token, n.now
	m.addr, m.typ, m.zone, m.spot, m.notice = r.Address, r.Type, r.Zone, r.Spot, r.Notice != nil
	if r.Token > m.doubt {
		m.doubt = 0
	}
	clear(m.tasks)
	for _, tr := range r.Tasks {
		id, err := api.ParseTaskID(tr.Task)
		if err != nil {
			continue
		}
		m.tasks[taskKey{id, tr.Attempt}] = tr
	}
	for _, p := range n.placesOn(m.ID) {
		if p.Part != t.part || p.over {
			continue
		}
		if p.Session < m.session {
			n.end(t, p, false, "session over")
			continue
		}
		tr, ok := m.tasks[taskKey{p.Task, p.Attempt}]
		switch {
		case !ok:
			p.reported = false
			if p.job.final() || p.stop {
				if m.token > p.sentToken(t) {
					n.end(t, p, false, "never started")
				} else {
					m.doubt = max(m.doubt, p.sentToken(t))
				}
			}
		case tr.State == api.TaskExited:
			n.exited(t, m, p, tr)
		default:
			if tr.State == api.TaskRunning && p.state != api.TaskRunning {
				p.running = n.now
			}
			if tr.State != api.TaskFetching {
				n.cacheImage(m, p.job.Spec)
			}
			p.reported, p.state = true, tr.State
		}
	}
	n.minds(m, t)
}

// minds asks for a direct call when the worker should hear something sooner
// than in an answer to its next report.
func (n *Node) minds(m *Machine, t *turf) {
	for _, o := range n.orders(m, t) {
		if o.Op == api.OpStart {
			m.kick = true
		}
	}
}

// exited handles a task that ended on its machine.
func (n *Node) exited(t *turf, m *Machine, p *Place, tr api.TaskReport) {
	j := p.job
	switch tr.Reason {
	case api.ReasonDone:
		n.cacheImage(m, j.Spec)
		delete(m.failed, j.ref)
		j.fails = 0
		if p.running != 0 {
			n.learnPace(m, j, n.now.Sub(p.running).Seconds())
		}
		n.end(t, p, true, "done")
		return
	case api.ReasonError:
		j.fails++
		if j.failedOn == nil {
			j.failedOn = map[api.MachineID]bool{}
		}
		j.failedOn[m.ID] = true
		m.failed[j.ref] = n.now
		n.judge(m, j)
	case api.ReasonNoRoom:
		m.fullTill = n.now.Add(2 * time.Second)
	case api.ReasonUnknown:
		j.hold = n.now.Add(time.Second)
	}
	n.end(t, p, false, string(tr.Reason))
}

// learnPace compares how long a task took with the others of its job: the same
// work, so that what differs is the machine.
func (n *Node) learnPace(m *Machine, j *Job, took float64) {
	if j.Spec.Kind != api.Array {
		return
	}
	if j.runs >= 2 && j.ran > 0 {
		ratio := took / (j.ran / float64(j.runs))
		if m.pace == 0 {
			m.pace = 1
		}
		m.pace += 0.4 * (min(ratio, 4) - m.pace)
	}
	j.ran += took
	j.runs++
}

// judge decides whether a failure speaks against the machine or the job.
func (n *Node) judge(m *Machine, j *Job) {
	recent := 0
	for ref, at := range m.failed {
		if n.now.Sub(at) > time.Minute {
			delete(m.failed, ref)
			continue
		}
		recent++
	}
	if recent >= 2 && m.sickTill < n.now {
		m.sickTill = n.now.Add(10 * time.Minute)
		slog.Info("machine set aside: different jobs fail on it", "machine", m.ID)
	}
	// A job that fails on several machines is more likely at fault itself: it
	// backs off, so that it neither wins the same machines every round nor
	// condemns them.
	if len(j.failedOn) >= 2 {
		j.hold = n.now.Add(min(30*time.Second, time.Second<<min(j.fails, 5)))
	}
}

// cacheImage notes that a machine holds an image and what it must have dropped.
func (n *Node) cacheImage(m *Machine, s *api.JobSpec) {
	m.images[s.Image] = cached{s.ImageGB, n.now}
	typ := n.types[m.typ]
	if typ == nil {
		return
	}
	total := 0.0
	for _, c := range m.images {
		total += c.gb
	}
	for total > typ.CacheGB && len(m.images) > 1 {
		var oldest api.Image
		for _, img := range slices.Sorted(maps.Keys(m.images)) {
			if oldest == "" || m.images[img].used < m.images[oldest].used {
				oldest = img
			}
		}
		total -= m.images[oldest].gb
		delete(m.images, oldest)
	}
}

func (n *Node) placesOn(id api.MachineID) []*Place {
	out := make([]*Place, 0, len(n.book.onHost[id]))
	for p := range n.book.onHost[id] {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *Place) int {
		if a.Task.Job != b.Task.Job {
			return strings.Compare(string(a.Task.Job), string(b.Task.Job))
		}
		return a.Task.Index - b.Task.Index
	})
	return out
}

// orders are the commands a machine should have now, by the durable record and
// its last report. Composing them again is harmless.
func (n *Node) orders(m *Machine, t *turf) []api.Order {
	out := []api.Order{}
	if m.token < n.base(t, m.ID) {
		return out // the term is announced first
	}
	known := map[taskKey]bool{}
	var launch []api.Order
	for _, p := range n.placesOn(m.ID) {
		if p.Part != t.part {
			continue
		}
		known[taskKey{p.Task, p.Attempt}] = true
		if p.over || p.Session != m.session {
			continue
		}
		_, there := m.tasks[taskKey{p.Task, p.Attempt}]
		switch {
		case p.job.final():
			if there {
				out = append(out, api.Order{Op: api.OpStop, Task: p.Task.String(), Attempt: p.Attempt})
			}
		case p.stop:
			if there {
				out = append(out, api.Order{Op: api.OpStop, Task: p.Task.String(), Attempt: p.Attempt, Grace: p.grace})
			}
		case !there:
			launch = append(launch, api.Order{Op: api.OpStart, Task: p.Task.String(), Attempt: p.Attempt})
			p.sent = max(p.sent, m.cmd)
		}
	}
	// An unanswered direct command may still arrive. Forgetting a task before
	// a newer token has killed such commands would let it start anew.
	settled := !m.calling && m.doubt == 0
	for _, k := range sortedTasks(m.tasks) {
		if known[k] {
			continue
		}
		tr := m.tasks[k]
		if tr.State != api.TaskExited {
			out = append(out, api.Order{Op: api.OpStop, Task: tr.Task, Attempt: tr.Attempt})
		} else if settled {
			out = append(out, api.Order{Op: api.OpForget, Task: tr.Task, Attempt: tr.Attempt})
		}
	}
	return append(out, launch...)
}

func sortedTasks(m map[taskKey]api.TaskReport) []taskKey {
	return slices.SortedFunc(maps.Keys(m), func(a, b taskKey) int {
		if a.id.Job != b.id.Job {
			return strings.Compare(string(a.id.Job), string(b.id.Job))
		}
		if a.id.Index != b.id.Index {
			return a.id.Index - b.id.Index
		}
		return int(int64(a.attempt) - int64(b.attempt))
	})
}

// tend does what is due for one machine.
func (n *Node) tend(m *Machine) {
	t := n.turfs[n.partOf(m.ID)]
	if t == nil || m.deleting {
		return
	}
	m.cmd = max(m.cmd, n.base(t, m.ID))
	if m.doubt != 0 && m.cmd <= m.doubt {
		if api.Token(t.lastRev) > m.doubt {
			m.cmd, m.kick = api.Token(t.lastRev), true
		} else {
			t.wantRev = true
		}
	}
	unannounced := m.token < n.base(t, m.ID)
	silent := n.now.Sub(m.heard) > n.cfg.ReportEvery()*5/4+time.Second
	if !m.calling && m.addr != "" && n.now >= m.callNext && (m.kick || unannounced || silent) {
		n.direct(m, t)
	}
	n.checkSilence(m, t)
}

// direct sends a machine its orders without waiting for its report.
func (n *Node) direct(m *Machine, t *turf) {
	m.kick = false
	o := api.Orders{Token: m.cmd, Session: max(m.session, 1), Orders: n.orders(m, t)}
	launches := false
	for _, x := range o.Orders {
		launches = launches || x.Op == api.OpStart
	}
	m.calling = true
	m.callNext = n.now.Add(100 * time.Millisecond)
	n.worker(m.addr, o, func(a WorkerAnswer) {
		m.calling = false
		if a.Report != nil && a.Report.Machine != m.ID {
			a.Status, a.Report = 0, nil // the address belongs to another machine now
		}
		if a.Status == 0 || a.Report == nil {
			if launches {
				m.doubt = max(m.doubt, o.Token)
			}
			m.missed++
			m.callNext = n.now.Add(time.Second)
			return
		}
		if n.turfs[t.part] != t || m.deleting {
			return
		}
		m.direct, m.missed = n.now, 0
		if a.Report.Token > m.cmd {
			n.current(func() {}, func() {}) // deposed, as the book will tell
			return
		}
		n.process(m, a.Report, t)
	})
}

// checkSilence deletes a machine that can't be reached: only the cloud's word
// that it is gone proves its tasks over. When much of a zone or of the whole
// part is silent, the network is at fault more likely than the machines, and
// they are given the time in which they may come back with their tasks.
func (n *Node) checkSilence(m *Machine, t *turf) {
	last := max(m.heard, t.since)
	if m.heard == 0 {
		last = max(last, m.found)
	}
	quiet := n.now.Sub(last)
	patience := 3*n.cfg.ReportEvery() + 3*time.Second
	if m.notice {
		patience = n.cfg.ReportEvery() + 2*time.Second
	}
	if m.heard == 0 {
		patience += 6 * time.Second
	}
	if quiet <= patience || m.missed < 2 && m.addr != "" {
		return
	}
	if m.heard == 0 && !n.listedRunning(m) && len(n.book.onHost[m.ID]) == 0 {
		return // still booting, as far as we know
	}
	zone, zoneMute, all, allMute := 0, 0, 0, 0
	for _, o := range n.machines {
		if n.turfs[n.partOf(o.ID)] == nil || o.heard == 0 {
			continue
		}
		mute := 0
		// One that is only heard by way of peers speaks for a cut as well.
		if o.missed > 0 || n.now.Sub(o.heard) > n.cfg.ReportEvery()+2*time.Second {
			mute = 1
		}
		all, allMute = all+1, allMute+mute
		if o.zone == m.zone {
			zone, zoneMute = zone+1, zoneMute+mute
		}
	}
	network := zoneMute >= 2 && zoneMute*3 >= zone || allMute >= 2 && allMute*2 >= all
	if network && quiet < n.cfg.WorkerLease()+n.cfg.ReportEvery()+2*time.Second {
		return
	}
	n.remove(m, t, "not reachable")
}

// remove has the cloud delete a machine; its answer proves the tasks over. That
// the part is still ours is read first: a deposed owner, cut off perhaps, must
// not delete what another has put to use.
func (n *Node) remove(m *Machine, t *turf, why string) {
	m.deleting = true
	keep := func() {
		m.deleting = false
		m.callNext = n.now.Add(time.Second)
	}
	n.current(func() {
		if n.turfs[t.part] != t || n.partOf(m.ID) != t.part || why == idleWhy && len(n.book.onHost[m.ID]) > 0 {
			keep()
			return
		}
		slog.Info("deleting a machine", "machine", m.ID, "why", why, "tasks", len(n.book.onHost[m.ID]))
		n.cloud(CloudCall{Delete: []api.MachineID{m.ID}}, func(a CloudAnswer) {
			if a.Status != 200 {
				keep()
				return
			}
			n.fleet.gone[m.ID] = n.now
			n.unlend(t, m.ID)
			if n.turfs[t.part] == t {
				for _, p := range n.placesOn(m.ID) {
					if p.Part == t.part && !p.over {
						n.end(t, p, false, "machine deleted")
					}
				}
				t.dirty = true
			}
			delete(n.machines, m.ID)
		})
	}, keep)
}

const idleWhy = "idle"
