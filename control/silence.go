package control

import (
	"log/slog"
	"slices"
	"time"

	"basaltwall/api"
)

// checkSilence deletes a machine that can't be reached: only the cloud's word
// that it is gone proves its tasks over. When much of a zone or of the whole
// part is silent, the network is at fault more likely than the machines, and
// they are given the time in which they may come back with their tasks.
func (n *Node) checkSilence(m *Machine, t *turf) {
	last := max(m.heard, t.since)
	if m.heard == 0 {
		last = max(last, m.found)
		if heard, cut := n.lastOf(m.zone); cut {
			last = min(last, heard) // it was silent before the takeover, as its zone was
		}
	}
	quiet := n.now.Sub(last)
	patience := n.givenUpAfter
	if m.notice {
		patience = n.cfg.ReportEvery() + 2*time.Second
	}
	if m.heard == 0 && m.addr != "" {
		// Since a takeover it has been called rather than waited for: its report need
		// not come to us.
		patience /= 2
	}
	if quiet <= patience {
		return
	}
	if n.mustGo(m) {
		// However likely it is that the network is at fault: somebody who is cut off
		// from us may keep its lease alive. With very many silent machines the calls that
		// would have to fail first take longer than the cancellation has.
		n.remove(m, t, cancelledWhy)
		return
	}
	if m.missed < enoughMissed && m.addr != "" {
		return
	}
	if m.addr == "" && (n.fleet.listed == 0 || n.fleet.listed.Sub(t.since) < 2*api.Seconds(n.cfg.Deployment.Cloud.ListLag)) {
		return // nobody has called it yet, for want of a list that could show where it is
	}
	if m.heard == 0 && !n.listedRunning(m) && len(n.book.On(m.ID)) == 0 {
		return // still booting, as far as we know
	}
	lease := n.cfg.WorkerLease()
	switch busy := len(n.book.On(m.ID)) > 0; {
	case n.lately(n.allMute(), "") && quiet < 2*lease:
		return // it is we who do not hear, as it seems
	case n.lately(n.zoneMute(m.zone), m.zone) && (quiet < lease || !busy && quiet < 3*lease):
		// The zone is cut off. As long as its leases last its tasks may run on;
		// after that they are lost for certain, so that no more is lost by a
		// deletion, which alone proves them over. What holds no tasks may as
		// well be waited for.
		return
	}
	n.remove(m, t, unreachableWhy)
}

// mustGo reports whether a machine holds a task whose cancellation was told so long ago
// that only the machine's deletion can still end it in time.
func (n *Node) mustGo(m *Machine) bool {
	return slices.ContainsFunc(n.book.On(m.ID), func(p *Place) bool {
		return !p.Over && p.Job.Cancelled && time.Duration(n.wall-p.Job.CancelledAt)*time.Millisecond >= n.cancelLimit
	})
}

// lately reports whether a zone, or all machines where none is named, is mute or was
// until just now: when a cut ends, the last ones must have time to be heard again.
func (n *Node) lately(mute bool, zone api.Zone) bool {
	if mute {
		n.muteAt[zone] = n.now
	}
	at, ever := n.muteAt[zone]
	return ever && n.now.Sub(at) < n.silentAfter+workerTimeout
}

// enoughMissed is how many direct calls in a row must go unanswered before a
// machine is given up.
const enoughMissed = 3

// countMute counts anew, now and then, which machines are silent.
func (n *Node) countMute() {
	if n.muteZones != nil && n.now.Sub(n.mutedAt) <= sweepEvery/2 {
		return
	}
	n.mutedAt, n.muteZones, n.muteAll = n.now, map[api.Zone]Mute{}, Mute{}
	add := func(zone api.Zone, c Mute) {
		z := n.muteZones[zone]
		n.muteZones[zone] = Mute{All: z.All + c.All, Silent: z.Silent + c.Silent, last: max(z.last, c.last)}
	}
	for p := range n.turfs {
		for zone, c := range n.muteOf(n.turfs[p]) {
			add(zone, c)
			n.muteAll = Mute{All: n.muteAll.All + c.All, Silent: n.muteAll.Silent + c.Silent}
		}
	}
	for _, pn := range n.othersNews() {
		for zone, c := range pn.Mute {
			add(zone, c)
		}
	}
	n.noteCuts()
}

// cut is a zone that is mute: when the last of its silent machines was heard, of our own
// parts' (0: none was) and of others' as they tell. The latter may lie before this
// process began, at a negative time.
type cut struct {
	heard, told api.Time
	isTold      bool
}

// noteCuts keeps when mute zones were last heard. A new owner has heard none of its
// machines, but their leases do not wait for it: others know when the zone fell silent.
func (n *Node) noteCuts() {
	for zone, z := range n.muteZones {
		if !z.cutOff() {
			delete(n.cuts, zone)
			continue
		}
		c := n.cuts[zone]
		c.heard = max(c.heard, z.last)
		fresh := false
		for _, p := range n.peers {
			if d, ok := p.gossip.Cut[zone]; ok && p.recent(n.now) {
				at := p.heard.Add(-d)
				if fresh {
					at = max(at, c.told)
				}
				// Kept when it is told no more: the machines may be deleted by then.
				c.told, c.isTold, fresh = at, true, true
			}
		}
		n.cuts[zone] = c
	}
}

// lastOf is when a mute zone was last heard, as far as is known.
func (n *Node) lastOf(zone api.Zone) (api.Time, bool) {
	if !n.zoneMute(zone) {
		return 0, false
	}
	if c := n.cuts[zone]; c.heard == 0 {
		return c.told, c.isTold
	}
	return n.cuts[zone].heard, true
}

// cutFor is for how long mute zones have not been heard by our parts, to be told.
func (n *Node) cutFor() map[api.Zone]time.Duration {
	var out map[api.Zone]time.Duration
	for zone, c := range n.cuts {
		if c.heard == 0 {
			continue
		}
		if out == nil {
			out = map[api.Zone]time.Duration{}
		}
		out[zone] = n.now.Sub(c.heard)
	}
	return out
}

// muteOf counts a part's machines by zone.
func (n *Node) muteOf(t *turf) map[api.Zone]Mute {
	zones := map[api.Zone]Mute{}
	for _, m := range n.machinesOf(t.part) {
		if m.heard == 0 && !n.listedRunning(m) && len(n.book.On(m.ID)) == 0 {
			continue // booting
		}
		z := zones[m.zone]
		z.All++
		if m.heard == 0 {
			// A new owner that is cut off itself hears none and gets no answers.
			if m.missed > 0 {
				z.Silent++
			}
			zones[m.zone] = z
			continue
		}
		// One that is only heard by way of peers speaks for a cut as well.
		if m.missed > 0 || n.now.Sub(max(m.heard, t.since)) > n.cfg.ReportEvery()+2*time.Second {
			z.Silent++
			z.last = max(z.last, m.heard)
		}
		zones[m.zone] = z
	}
	return zones
}

// zoneMute reports whether so many machines of a zone are silent that the
// network is at fault more likely than they.
func (n *Node) zoneMute(zone api.Zone) bool {
	if len(n.cfg.Deployment.Zones) < 2 {
		return false // there is nothing to hold it against, nor anywhere else to go
	}
	n.countMute()
	return n.muteZones[zone].cutOff()
}

// cutOff reports whether a zone of which so many machines are silent is taken for
// cut off.
func (z Mute) cutOff() bool { return z.Silent >= 2 && z.Silent*3 >= z.All }

// allMute reports the same of all machines.
func (n *Node) allMute() bool {
	n.countMute()
	return n.muteAll.Silent >= 2 && n.muteAll.Silent*2 >= n.muteAll.All
}

// remove has the cloud delete a machine; its answer proves the tasks over.
func (n *Node) remove(m *Machine, t *turf, why string) {
	m.deleting = true
	n.doomed = append(n.doomed, doomed{m, t, why})
}

// doomed is a machine that is to be deleted.
type doomed struct {
	m   *Machine
	t   *turf
	why string
}

// deleteDoomed deletes what is to be deleted, many by one call. That the parts
// are still ours is read first: a deposed owner, cut off perhaps, must not delete
// what another has put to use.
func (n *Node) deleteDoomed() {
	if n.removing || len(n.doomed) == 0 || n.now < n.removeNext {
		return
	}
	n.removing = true
	// What a rule wants gone in time first, then work that should never stop or that
	// others of its gang wait for.
	slices.SortStableFunc(n.doomed, func(a, b doomed) int {
		if a, b := a.why == cancelledWhy, b.why == cancelledWhy; a != b {
			if a {
				return -1
			}
			return 1
		}
		return n.lasting(b.m) - n.lasting(a.m)
	})
	batch := slices.Clone(n.doomed[:min(len(n.doomed), maxDelete)])
	n.doomed = slices.Clone(n.doomed[len(batch):])
	settle := func() {
		n.removing, n.removeNext = false, n.now.Add(n.rentGap)
	}
	keep := func(d doomed) {
		d.m.deleting = false
		d.m.callNext = n.now.Add(time.Second)
	}
	n.current(func() {
		var ids []api.MachineID
		var sure []doomed
		for _, d := range batch {
			if n.turfs[d.t.part] != d.t || n.partOf(d.m.ID) != d.t.part || d.why == idleWhy && len(n.book.On(d.m.ID)) > 0 {
				keep(d)
				continue
			}
			slog.Info("deleting a machine", "machine", d.m.ID, "why", d.why, "tasks", len(n.book.On(d.m.ID)))
			ids, sure = append(ids, d.m.ID), append(sure, d)
		}
		if len(ids) == 0 {
			settle()
			return
		}
		n.cloud(CloudCall{Delete: ids}, func(a CloudAnswer) {
			settle()
			for _, d := range sure {
				if a.Status != 200 {
					keep(d)
					continue
				}
				n.fleet.gone[d.m.ID] = n.now
				delete(n.fleet.refused, offer{d.m.typ, d.m.zone, d.m.spot}) // there may be room again
				if d.m.spot && (d.why == unreachableWhy || d.why == cancelledWhy || d.m.notice) {
					n.fleet.spotTaken++
				}
				n.unlend(d.t, d.m.ID)
				if n.turfs[d.t.part] == d.t {
					for _, p := range n.book.On(d.m.ID) {
						if p.Part == d.t.part && !p.Over {
							n.end(d.t, p, false, lostWhy)
						}
					}
					d.t.dirty = true
				}
				n.forget(d.m.ID)
			}
		})
	}, func() {
		settle()
		for _, d := range batch {
			keep(d)
		}
	})
}

// lasting counts the tasks on a machine that are not of an array.
func (n *Node) lasting(m *Machine) int {
	count := 0
	for _, p := range n.book.On(m.ID) {
		if p.Job.Spec.Kind != api.Array && !p.Job.Final() {
			count++
		}
	}
	return count
}

// The protocol's bounds on names in a deletion and on machines in a rental.
const (
	maxDelete = 100
	maxRent   = 50
)

// Why a machine is deleted.
const (
	idleWhy        = "idle"
	unreachableWhy = "not reachable"
	cancelledWhy   = "not reachable, with a cancelled task"
)
