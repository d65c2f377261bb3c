package controller

import (
	"hash/fnv"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"basaltwall/api"
	"basaltwall/sched"
)

type attemptKey struct {
	task    api.TaskID
	attempt api.Attempt
}

// Machine is what the owner of a machine's part knows of it.
type Machine struct {
	ID          api.MachineID
	address     string
	machineType api.MachineTypeName
	zone        api.Zone
	spot        bool

	epoch           api.Epoch
	sequence        api.Seq
	reportedToken   api.FencingToken // highest it has shown
	commandToken    api.FencingToken // the one we command it with; 0: none yet
	uncertainToken  api.FencingToken // direct commands up to this token may still arrive
	lastHeartbeat   api.Time         // last newer report
	leaseRenewedAt  api.Time         // last report of its own that reached us: an answer to one renews its lease, a direct call does not
	firstHeartbeat  api.Time         // first report
	discoveredAt    api.Time         // first known to us
	suspectSince    api.Time         // heard again after a silence, by a report that may be late; 0: not so
	reclaimNotice   bool
	reportedTasks   map[attemptKey]api.TaskStatus
	untrackedUsage  api.Resources // what tasks on it take that the book does not know
	hasUnknownTasks bool          // a task of an unknown job is on it

	callInFlight       bool
	nextCallAt         api.Time
	lastDirectReply    api.Time // last direct call that was answered
	contactPending     bool     // something is to be told at once
	missedCalls        int      // direct calls without an answer, in a row
	heartbeatForwarded bool     // its last report came by way of a peer
	deleting           bool
	unreachable        bool     // it is deleted because it can't be reached
	idleSince          api.Time // since when it has had nothing that it is kept for
	scaleInCandidate   bool     // idle for long: nothing that could go elsewhere starts on it
	surplus            bool     // more than the load needs: used last, see markSurplus
	consolidatingUntil api.Time // until when its services are moving elsewhere, see gather
	cachedImages       map[api.Image]sched.CachedImage
	recentFailures     map[api.JobID]api.Time
	quarantinedUntil   api.Time
	fullUntil          api.Time
	relativeRuntime    float64   // see learnPace
	reservedFor        api.JobID // others made way for this job here, or room is gathered for it
	softReservation    bool      // work of a higher rank than keptOf may start here all the same
	reservationRank    int
	reservedUntil      api.Time
	consolidated       bool // it is kept because room is gathered

	consolidatedAt api.Time
	loanRevision   api.Revision
}

// hashPartition says which part a machine belongs to unless it was lent. Names are
// numbered in order of creation, so the number spreads machines rented together
// evenly; turning by one after each turn keeps zones rented in rotation apart.
func hashPartition(id api.MachineID, parts int) api.PartitionID {
	s := string(id)
	digits := s[strings.LastIndexByte(s, '-')+1:]
	if v, err := strconv.ParseUint(digits, 10, 64); err == nil {
		return api.PartitionID((v + v/uint64(parts)) % uint64(parts))
	}
	h := fnv.New32a()
	h.Write([]byte(s))
	return api.PartitionID(h.Sum32() % uint32(parts))
}

func (n *Controller) partitionOf(id api.MachineID) api.PartitionID {
	if loan, ok := n.state.Loans[id]; ok {
		return loan.Partition
	}
	return hashPartition(id, len(n.state.Partitions))
}

// minToken is the lowest token under which the owner of a part may command a
// machine: its term or, for a machine lent to it since, the lending's revision.
func (n *Controller) minToken(owned *ownedPartition, id api.MachineID) api.FencingToken {
	return api.FencingToken(max(owned.term, n.state.Loans[id].Revision))
}

func (n *Controller) ensureMachine(id api.MachineID) *Machine {
	m := n.machines[id]
	if m == nil {
		m = &Machine{ID: id, discoveredAt: n.now, idleSince: n.now, reportedTasks: map[attemptKey]api.TaskStatus{},
			cachedImages: map[api.Image]sched.CachedImage{}, recentFailures: map[api.JobID]api.Time{}}
		n.machines[id] = m
		n.sortedMachines = nil
	}
	return m
}

// applyListing takes from the cloud's list what a machine has not told yet.
func (m *Machine) applyListing(h api.Instance) {
	if m.address == "" {
		m.address, m.machineType, m.zone, m.spot = h.Address, h.Type, h.Zone, h.Spot
	}
}

// handleHeartbeat answers a worker's report.
func (n *Controller) handleHeartbeat(c WorkerHeartbeat) {
	heartbeat := c.Heartbeat
	n.metrics.WorkerHeartbeats++
	if !n.loaded {
		n.replyError(c.Req, 503, "starting")
		return
	}
	p := n.partitionOf(heartbeat.Machine)
	owned := n.partitions[p]
	if owned == nil {
		n.redirectHeartbeat(c, n.state.Partitions[p].Owner)
		return
	}
	if n.fleet.deletedAt[heartbeat.Machine] != 0 {
		n.replyError(c.Req, 503, "machine was returned")
		return
	}
	m := n.ensureMachine(heartbeat.Machine)
	if m.deleting {
		n.replyError(c.Req, 503, "machine is being returned")
		return
	}
	m.commandToken = max(m.commandToken, n.minToken(owned, m.ID))
	m.heartbeatForwarded = c.Forwarded
	if heartbeat.Token > m.commandToken {
		// Somebody commands it under a later term: we were deposed for it.
		n.reply(c.Req, 421, api.Redirect{}, 0)
		n.linearizableRead(func() {}, func() {})
		return
	}
	newer := n.applyHeartbeat(m, heartbeat, owned)
	if newer {
		m.leaseRenewedAt = n.now
	}
	if c.Forwarded {
		// It comes by way of a peer because it could not reach us. Once a
		// direct call gets through again, it is sent back to us.
		if m.lastDirectReply != 0 && n.now.Sub(m.lastDirectReply) < n.config.HeartbeatInterval() {
			n.reply(c.Req, 421, api.Redirect{Owner: n.config.Label}, 0)
			return
		}
		n.contactNow(m)
	} else if m.suspectSince != 0 {
		n.contactNow(m)
	} else if newer {
		// The answer carries all that a direct call would. An older report may be a copy that
		// comes late, whose answer nobody waits for.
		m.contactPending = false
	}
	n.reply(c.Req, 200, api.CommandBatch{Token: m.commandToken, Commands: n.commandsFor(m, owned)}, 0)
}

// contactNow has a machine told its orders at once.
func (n *Controller) contactNow(m *Machine) {
	if !m.contactPending {
		m.contactPending = true
		n.pendingContacts = append(n.pendingContacts, m)
	}
}

// forgetMachine drops a machine of which nothing is left to know.
func (n *Controller) forgetMachine(id api.MachineID) {
	delete(n.machines, id)
	n.sortedMachines = nil
}

// sortMachines lists the machines in order, all and by part, anew when some came or
// went or changed parts.
func (n *Controller) sortMachines() {
	if n.sortedMachines != nil && n.sortedLoanVersion == n.state.LoanGeneration {
		return
	}
	if n.sortedLoanVersion != n.state.LoanGeneration {
		n.recordLoans()
	}
	n.sortedLoanVersion = n.state.LoanGeneration
	n.sortedMachines = make([]*Machine, 0, len(n.machines))
	for _, m := range n.machines {
		n.sortedMachines = append(n.sortedMachines, m)
	}
	slices.SortFunc(n.sortedMachines, func(a, b *Machine) int { return strings.Compare(string(a.ID), string(b.ID)) })
	n.machinesByPartition = make([][]*Machine, len(n.state.Partitions))
	for _, m := range n.sortedMachines {
		p := n.partitionOf(m.ID)
		n.machinesByPartition[p] = append(n.machinesByPartition[p], m)
		if loan := n.state.Loans[m.ID]; loan.Revision != m.loanRevision {
			// It came for a job: until that has it, it is no one else's.
			m.loanRevision = loan.Revision
			n.reserveExclusively(m, loan.Job)
		}
	}
}

// machineLoan is when a machine's latest lending was first known here.
type machineLoan struct {
	revision api.Revision
	knownAt  api.Time
}

func (n *Controller) recordLoans() {
	for id, loan := range n.state.Loans {
		if n.machineLoans[id].revision != loan.Revision {
			n.machineLoans[id] = machineLoan{loan.Revision, n.now}
			if loan.Transferred && n.partitions[loan.Partition] != nil {
				n.adoptMachine(id)
			}
		}
	}
	for id := range n.machineLoans {
		if _, ok := n.state.Loans[id]; !ok {
			delete(n.machineLoans, id)
		}
	}
}

// loanInTransit reports whether a machine was lent just now and its new owner is not
// likely to have heard it yet: it is in nobody's account of what is free.
func (n *Controller) loanInTransit(id api.MachineID) bool {
	loan, ok := n.machineLoans[id]
	if !ok || n.now.Sub(loan.knownAt) > n.heartbeatTimeout || len(n.state.PlacementsOn(id)) > 0 || n.fleet.deletedAt[id] != 0 {
		return false
	}
	m, owned := n.machines[id], n.partitions[n.partitionOf(id)]
	return owned == nil || m == nil || m.lastHeartbeat == 0 || !n.isSchedulable(m, owned)
}

// machinesOf lists a part's machines that are known here, in order.
func (n *Controller) machinesOf(p api.PartitionID) []*Machine {
	n.sortMachines()
	return n.machinesByPartition[p]
}

// reportedSilent reports whether a machine's owner says that it does not hear it.
func (n *Controller) reportedSilent(owner api.ControllerID, id api.MachineID) bool {
	p := n.peers[owner]
	if p == nil || !p.recent(n.now) {
		return false
	}
	for _, status := range p.gossip.Parts {
		if slices.Contains(status.Silent, id) {
			return true
		}
	}
	return false
}

// redirectHeartbeat directs a worker to the owner of its part. A worker that comes back
// soon can't reach the owner; its reports are then passed on.
func (n *Controller) redirectHeartbeat(c WorkerHeartbeat, owner api.ControllerID) {
	if c.Forwarded || owner == n.config.Label || owner == "" {
		n.replyError(c.Req, 503, "part is changing hands")
		return
	}
	previous := n.redirects[c.Heartbeat.Machine]
	if (previous.to == owner && n.now.Sub(previous.at) < n.redirectTTL || n.reportedSilent(owner, c.Heartbeat.Machine)) && n.peers[owner] != nil {
		n.redirects[c.Heartbeat.Machine] = redirect{owner, n.now}
		n.callPeer(owner, peerTimeout, PeerMessage{Forward: &Forward{Kind: "checkin", Body: c.Body}}, func(a PeerResponse) {
			if !a.OK || a.Reply.Status == 0 {
				n.replyError(c.Req, 503, "the machine's owner does not answer")
				return
			}
			n.emit(Reply{Req: c.Req, Status: a.Reply.Status, Body: a.Reply.Body})
		})
		return
	}
	if !n.isLive(owner) {
		n.replyError(c.Req, 503, "the machine's owner is gone")
		return
	}
	n.redirects[c.Heartbeat.Machine] = redirect{owner, n.now}
	n.reply(c.Req, 421, api.Redirect{Owner: owner}, 0)
}

// latestLaunchToken is the highest token under which a launch of the place may still
// be on its way. Launches by former owners carry less than our term or, if the machine was
// lent to our part since, than the lending's revision.
func (n *Controller) latestLaunchToken(p *Placement, owned *ownedPartition) api.FencingToken {
	return max(p.OwnerState.launchToken, n.minToken(owned, p.Machine)-1)
}

// applyHeartbeat takes in a report if it is newer than what is known, and reports whether it was.
// A new owner that has heard nothing yet may get an old one first. What it concludes holds all
// the same: sessions and ends that were reported are past for good, and that a task is missing
// counts only under a token that was first sent under its own term.
func (n *Controller) applyHeartbeat(m *Machine, heartbeat *api.Heartbeat, owned *ownedPartition) bool {
	if heartbeat.Epoch < m.epoch || (heartbeat.Epoch == m.epoch && heartbeat.Seq <= m.sequence) {
		return false
	}
	if !n.isSchedulable(m, owned) {
		owned.dirty = true // it may be from now on
	}
	if m.lastHeartbeat == 0 {
		m.firstHeartbeat = n.now
	}
	switch {
	case heartbeat.Token > 0 && (m.lastHeartbeat == 0 || n.now.Sub(m.lastHeartbeat) > n.heartbeatTimeout):
		// Packets may have been held for minutes: the machine may be gone, by another's
		// deletion. It is called before anything is started there.
		m.suspectSince = n.now
	case m.suspectSince != 0 && n.now.Sub(m.suspectSince) > n.config.HeartbeatInterval()/2:
		m.suspectSince = 0 // what was held comes all at once
	}
	m.epoch, m.sequence, m.reportedToken, m.lastHeartbeat = heartbeat.Epoch, heartbeat.Seq, heartbeat.Token, n.now
	m.address, m.machineType, m.zone, m.spot, m.reclaimNotice = heartbeat.Address, heartbeat.Type, heartbeat.Zone, heartbeat.Spot, heartbeat.PreemptionNotice != nil
	if heartbeat.Token > m.uncertainToken {
		m.uncertainToken = 0
	}
	clear(m.reportedTasks)
	for _, taskReport := range heartbeat.Tasks {
		id, err := api.ParseTaskID(taskReport.Task)
		if err != nil {
			continue
		}
		m.reportedTasks[attemptKey{id, taskReport.Attempt}] = taskReport
	}
	for _, p := range n.state.PlacementsOn(m.ID) {
		if p.Partition != owned.id || p.Finishing {
			continue
		}
		if p.Epoch < m.epoch {
			n.recordTaskEnd(owned, p, false, reasonEpochOver)
			continue
		}
		taskReport, ok := m.reportedTasks[attemptKey{p.Task, p.Attempt}]
		switch {
		case !ok:
			p.OwnerState.reported = false
			if p.Job.Terminal() || p.OwnerState.stopRequested {
				if m.reportedToken > n.latestLaunchToken(p, owned) {
					n.recordTaskEnd(owned, p, false, "never started")
				} else {
					m.uncertainToken = max(m.uncertainToken, n.latestLaunchToken(p, owned))
				}
			}
		case taskReport.State == api.TaskExited:
			n.handleExit(owned, m, p, taskReport)
		default:
			if taskReport.State == api.TaskRunning && p.OwnerState.state != api.TaskRunning {
				p.OwnerState.runningSince = n.now
			}
			if taskReport.State != api.TaskFetching {
				n.cacheImage(m, p.Job.Spec)
			}
			owned.dirty = owned.dirty || p.Job.Cancelled && !(p.OwnerState.reported && taskStarted(p.OwnerState.state)) // takesIn may hold now
			p.OwnerState.reported, p.OwnerState.state = true, taskReport.State
		}
	}
	if heartbeat.PreemptionNotice != nil {
		n.stopBeforeReclaim(m, owned, *heartbeat.PreemptionNotice)
	}
	n.countUntrackedUsage(m)
	return true
}

// stopBeforeReclaim stops what can't end before the cloud takes its machine: it is lost
// there, and the sooner it runs again elsewhere the better. What is likely to end
// is left alone.
func (n *Controller) stopBeforeReclaim(m *Machine, owned *ownedPartition, notice float64) {
	for _, p := range n.state.PlacementsOn(m.ID) {
		if p.Partition != owned.id || p.Finishing || p.Job.Spec.Kind == api.Gang {
			continue
		}
		remaining := p.Job.Spec.Estimate
		if p.OwnerState.runningSince != 0 {
			remaining -= n.now.Sub(p.OwnerState.runningSince).Seconds()
		}
		if p.Job.Spec.Kind == api.Service || remaining > notice {
			n.stopTask(p)
		}
	}
}

// countUntrackedUsage notes what a machine's tasks take that the book has no place
// for: they must be stopped, and until they are gone they hold their room.
func (n *Controller) countUntrackedUsage(m *Machine) {
	m.untrackedUsage, m.hasUnknownTasks = api.Resources{}, false
	for k, taskReport := range m.reportedTasks {
		if taskReport.State == api.TaskExited || n.placementOf(m.ID, k) != nil {
			continue
		}
		if j := n.state.Jobs[k.task.Job]; j != nil {
			m.untrackedUsage = m.untrackedUsage.Plus(j.Demand)
		} else {
			m.hasUnknownTasks = true
		}
	}
}

// placementOf finds the place of an attempt on a machine.
func (n *Controller) placementOf(id api.MachineID, k attemptKey) *Placement {
	for _, p := range n.state.PlacementsOn(id) {
		if p.Task == k.task && p.Attempt == k.attempt {
			return p
		}
	}
	return nil
}

// handleExit handles a task that ended on its machine.
func (n *Controller) handleExit(owned *ownedPartition, m *Machine, p *Placement, taskReport api.TaskStatus) {
	j := p.Job
	switch taskReport.Reason {
	case api.ReasonDone:
		n.cacheImage(m, j.Spec)
		delete(m.recentFailures, j.ID)
		j.OwnerState.failures = 0
		if p.OwnerState.runningSince != 0 {
			n.estimateRate(m, j, n.now.Sub(p.OwnerState.runningSince).Seconds())
		}
		n.recordTaskEnd(owned, p, true, "done")
		return
	case api.ReasonError:
		j.OwnerState.failures++
		if j.OwnerState.failedOn == nil {
			j.OwnerState.failedOn = map[api.MachineID]bool{}
		}
		j.OwnerState.failedOn[m.ID] = true
		m.recentFailures[j.ID] = n.now
		n.attributeFailure(m, j)
	case api.ReasonNoCapacity:
		m.fullUntil = n.now.Add(2 * time.Second)
	case api.ReasonUnknown:
		j.OwnerState.backoffUntil = n.now.Add(time.Second)
	}
	n.recordTaskEnd(owned, p, false, string(taskReport.Reason))
}

// estimateRate compares how long a task took with the others of its job: the same
// work, so that what differs is the machine.
func (n *Controller) estimateRate(m *Machine, j *Job, seconds float64) {
	if j.Spec.Kind != api.Array {
		return
	}
	if j.OwnerState.completedTasks >= 2 && j.OwnerState.completedSeconds > 0 {
		ratio := seconds / (j.OwnerState.completedSeconds / float64(j.OwnerState.completedTasks))
		if m.relativeRuntime == 0 {
			m.relativeRuntime = 1
		}
		m.relativeRuntime += 0.4 * (min(ratio, 4) - m.relativeRuntime)
	}
	j.OwnerState.completedSeconds += seconds
	j.OwnerState.completedTasks++
}

// attributeFailure decides whether a failure speaks against the machine or the job.
func (n *Controller) attributeFailure(m *Machine, j *Job) {
	recent := 0
	for ref, at := range m.recentFailures {
		if n.now.Sub(at) > time.Minute {
			delete(m.recentFailures, ref)
			continue
		}
		recent++
	}
	if recent >= 2 && m.quarantinedUntil < n.now {
		m.quarantinedUntil = n.now.Add(10 * time.Minute)
		slog.Info("machine quarantined: failures of different jobs", "machine", m.ID)
	}
	// A job that fails on several machines is more likely at fault itself: it
	// backs off, so that it neither wins the same machines every round nor
	// condemns them.
	if len(j.OwnerState.failedOn) >= 2 {
		j.OwnerState.backoffUntil = n.now.Add(min(30*time.Second, time.Second<<min(j.OwnerState.failures, 5)))
	}
}

// cacheImage notes that a machine holds an image and what it must have dropped.
func (n *Controller) cacheImage(m *Machine, s *api.JobSpec) {
	m.cachedImages[s.Image] = sched.CachedImage{SizeGB: s.ImageGB, LastUsed: n.now}
	typ := n.machineTypes[m.machineType]
	if typ == nil {
		return
	}
	total := 0.0
	for _, c := range m.cachedImages {
		total += c.SizeGB
	}
	for total > typ.CacheGB && len(m.cachedImages) > 1 {
		var oldest api.Image
		for _, img := range slices.Sorted(maps.Keys(m.cachedImages)) {
			if oldest == "" || m.cachedImages[img].LastUsed < m.cachedImages[oldest].LastUsed {
				oldest = img
			}
		}
		total -= m.cachedImages[oldest].SizeGB
		delete(m.cachedImages, oldest)
	}
}

// commandsFor are the commands a machine should have now, by the durable record and
// its last report. Composing them again is harmless.
func (n *Controller) commandsFor(m *Machine, owned *ownedPartition) []api.Command {
	out := []api.Command{}
	if m.reportedToken < n.minToken(owned, m.ID) {
		return out // the term is announced first
	}
	var launches []api.Command
	for _, p := range n.state.PlacementsOn(m.ID) {
		if p.Partition != owned.id || p.Finishing || p.Epoch != m.epoch {
			continue
		}
		_, listed := m.reportedTasks[attemptKey{p.Task, p.Attempt}]
		switch {
		case p.Job.Terminal():
			if listed {
				out = append(out, api.Command{Op: api.OpStop, Task: p.Task.String(), Attempt: p.Attempt})
			}
		case p.OwnerState.stopRequested:
			if listed {
				out = append(out, api.Command{Op: api.OpStop, Task: p.Task.String(), Attempt: p.Attempt, GracePeriod: p.OwnerState.stopGrace})
			}
		case !listed:
			launches = append(launches, api.Command{Op: api.OpStart, Task: p.Task.String(), Attempt: p.Attempt})
			p.OwnerState.launchToken = max(p.OwnerState.launchToken, m.commandToken)
		}
	}
	// An unanswered direct command may still arrive. Forgetting a task before
	// a newer token has killed such commands would let it start anew.
	settled := !m.callInFlight && m.uncertainToken == 0
	for _, k := range sortedTasks(m.reportedTasks) {
		taskReport := m.reportedTasks[k]
		if taskReport.State == api.TaskExited && !settled {
			continue
		}
		if p := n.placementOf(m.ID, k); p != nil && p.Partition == owned.id {
			continue
		}
		if taskReport.State != api.TaskExited {
			out = append(out, api.Command{Op: api.OpStop, Task: taskReport.Task, Attempt: taskReport.Attempt})
		} else {
			out = append(out, api.Command{Op: api.OpReap, Task: taskReport.Task, Attempt: taskReport.Attempt})
		}
	}
	return append(out, launches...)
}

func sortedTasks(m map[attemptKey]api.TaskStatus) []attemptKey {
	return slices.SortedFunc(maps.Keys(m), func(a, b attemptKey) int {
		if a.task.Job != b.task.Job {
			return strings.Compare(string(a.task.Job), string(b.task.Job))
		}
		if a.task.Index != b.task.Index {
			return a.task.Index - b.task.Index
		}
		return int(int64(a.attempt) - int64(b.attempt))
	})
}

// sweepInterval is how often each machine is looked at when nothing calls for it.
const sweepInterval = time.Second

// reconcileMachines calls those that are to be told something, and looks at a share
// of the others each time, so that every one gets its turn and no step looks at
// all of them.
func (n *Controller) reconcileMachines() {
	n.sortMachines()
	pending := n.pendingContacts
	n.pendingContacts = nil
	for _, m := range pending {
		if !m.contactPending || n.machines[m.ID] != m {
			continue
		}
		m.contactPending = false
		owned := n.partitions[n.partitionOf(m.ID)]
		if owned == nil || m.deleting {
			continue
		}
		if m.callInFlight || n.now < m.nextCallAt || n.directCallsInFlight >= n.maxDirectCalls {
			n.contactNow(m) // a little later
			continue
		}
		n.reconcileMachine(m, owned, true)
	}
	sweepCount := int(int64(len(n.sortedMachines)) * int64(min(n.now.Sub(n.lastSweepAt), sweepInterval)) / int64(sweepInterval))
	if sweepCount == 0 && n.now.Sub(n.lastSweepAt) < sweepInterval {
		return
	}
	n.lastSweepAt = n.now
	for range min(max(sweepCount, 1), len(n.sortedMachines)) {
		n.sortMachines()
		if len(n.sortedMachines) == 0 {
			return
		}
		if n.sweepIndex >= len(n.sortedMachines) {
			n.sweepIndex = 0
		}
		m := n.sortedMachines[n.sweepIndex]
		n.sweepIndex++
		owned := n.partitions[n.partitionOf(m.ID)]
		if owned != nil && !m.deleting {
			n.reconcileMachine(m, owned, false)
		}
		n.evaluateScaleIn(m, owned)
	}
}

// reconcileMachine does what is due for one machine.
func (n *Controller) reconcileMachine(m *Machine, owned *ownedPartition, urgent bool) {
	m.commandToken = max(m.commandToken, n.minToken(owned, m.ID))
	if m.uncertainToken != 0 && m.commandToken <= m.uncertainToken {
		if api.FencingToken(owned.lastRevision) > m.uncertainToken {
			m.commandToken, urgent = api.FencingToken(owned.lastRevision), true
		} else {
			owned.needsNewToken = true
		}
	}
	needsAnnouncement := m.reportedToken < n.minToken(owned, m.ID)
	silent := n.now.Sub(m.lastHeartbeat) > n.heartbeatTimeout
	// Calls on suspicion leave half of the calls to those that are known to
	// answer, or a cut would hold up every start.
	maxProbes := n.maxDirectCalls / 2
	if n.zoneUnavailable(m.zone) {
		maxProbes = n.maxDirectCalls / 8 // its own reports tell when it is back
	}
	if !m.callInFlight && m.address != "" && n.now >= m.nextCallAt &&
		(urgent && n.directCallsInFlight < n.maxDirectCalls || (needsAnnouncement || silent) && n.directCallsInFlight < maxProbes) {
		n.sendCommands(m, owned)
	}
	n.checkLiveness(m, owned)
}

// sendCommands sends a machine its orders without waiting for its report.
func (n *Controller) sendCommands(m *Machine, owned *ownedPartition) {
	commands := api.CommandBatch{Token: m.commandToken, Epoch: max(m.epoch, 1), Commands: n.commandsFor(m, owned)}
	hasLaunch := false
	for _, command := range commands.Commands {
		hasLaunch = hasLaunch || command.Op == api.OpStart
	}
	m.callInFlight = true
	n.directCallsInFlight++
	m.nextCallAt = n.now.Add(100 * time.Millisecond)
	n.callWorker(m.address, commands, func(a WorkerResponse) {
		m.callInFlight = false
		n.directCallsInFlight--
		if a.Heartbeat != nil && a.Heartbeat.Machine != m.ID {
			a.Status, a.Heartbeat = 0, nil // the address belongs to another machine now
		}
		if a.Status == 0 || a.Heartbeat == nil {
			if hasLaunch {
				m.uncertainToken = max(m.uncertainToken, commands.Token)
			}
			m.missedCalls++
			m.nextCallAt = n.now.Add(500 * time.Millisecond)
			return
		}
		if n.partitions[owned.id] != owned || m.deleting {
			return
		}
		m.lastDirectReply, m.missedCalls, m.suspectSince = n.now, 0, 0
		if a.Heartbeat.Token > m.commandToken {
			n.linearizableRead(func() {}, func() {}) // deposed, as the book will tell
			return
		}
		n.applyHeartbeat(m, a.Heartbeat, owned)
		if m.suspectSince != 0 {
			m.suspectSince, owned.dirty = 0, true // it has just answered
		}
		for _, command := range n.commandsFor(m, owned) {
			if command.Op == api.OpStart || command.Op == api.OpStop && command.GracePeriod == 0 {
				n.contactNow(m) // decided meanwhile, or the machine had to learn our token first
				break
			}
		}
	})
}
