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

// AgentManager manages the machines of owned partitions through their agents.
type AgentManager struct {
	core *Core
	c    *Controller

	machines                            map[api.MachineID]*Machine
	sortedMachines                      []*Machine   // all of them in order; nil: to be listed anew
	machinesByPartition                 [][]*Machine // the same by part
	sortedLoanVersion                   int
	machineLoans                        map[api.MachineID]machineLoan
	pendingContacts                     []*Machine // to be called at once
	sweepIndex                          int        // the next machine to look at
	lastSweepAt                         api.Time
	directCallsInFlight, maxDirectCalls int // direct calls under way, and at most
	redirects                           map[api.MachineID]redirect
}

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

func (am *AgentManager) PartitionOf(id api.MachineID) api.PartitionID {
	if loan, ok := am.core.state.Loans[id]; ok {
		return loan.Partition
	}
	return hashPartition(id, len(am.core.state.Partitions))
}

// MinToken is the lowest token under which the owner of a part may command a
// machine: its term or, for a machine lent to it since, the lending's revision.
func (am *AgentManager) MinToken(owned *ownedPartition, id api.MachineID) api.FencingToken {
	return api.FencingToken(max(owned.term, am.core.state.Loans[id].Revision))
}

func (am *AgentManager) EnsureMachine(id api.MachineID) *Machine {
	m := am.machines[id]
	if m == nil {
		m = &Machine{ID: id, discoveredAt: am.core.now, idleSince: am.core.now, reportedTasks: map[attemptKey]api.TaskStatus{},
			cachedImages: map[api.Image]sched.CachedImage{}, recentFailures: map[api.JobID]api.Time{}}
		am.machines[id] = m
		am.sortedMachines = nil
	}
	return m
}

// applyListing takes from the cloud's list what a machine has not told yet.
func (m *Machine) applyListing(h api.Instance) {
	if m.address == "" {
		m.address, m.machineType, m.zone, m.spot = h.Address, h.Type, h.Zone, h.Spot
	}
}

// HandleHeartbeat answers a worker's report.
func (am *AgentManager) HandleHeartbeat(c WorkerHeartbeat) {
	heartbeat := c.Heartbeat
	am.core.metrics.WorkerHeartbeats++
	if !am.core.loaded {
		am.core.ReplyError(c.Req, 503, "starting")
		return
	}
	p := am.PartitionOf(heartbeat.Machine)
	owned := am.c.scheduler.partitions[p]
	if owned == nil {
		am.redirectHeartbeat(c, am.core.state.Partitions[p].Owner)
		return
	}
	if am.c.autoscaler.fleet.deletedAt[heartbeat.Machine] != 0 {
		am.core.ReplyError(c.Req, 503, "machine was returned")
		return
	}
	m := am.EnsureMachine(heartbeat.Machine)
	if m.deleting {
		am.core.ReplyError(c.Req, 503, "machine is being returned")
		return
	}
	m.commandToken = max(m.commandToken, am.MinToken(owned, m.ID))
	m.heartbeatForwarded = c.Forwarded
	if heartbeat.Token > m.commandToken {
		// Somebody commands it under a later term: we were deposed for it.
		am.core.Reply(c.Req, 421, api.Redirect{}, 0)
		am.c.follower.LinearizableRead(func() {}, func() {})
		return
	}
	newer := am.applyHeartbeat(m, heartbeat, owned)
	if newer {
		m.leaseRenewedAt = am.core.now
	}
	if c.Forwarded {
		// It comes by way of a peer because it could not reach us. Once a
		// direct call gets through again, it is sent back to us.
		if m.lastDirectReply != 0 && am.core.now.Sub(m.lastDirectReply) < am.core.config.HeartbeatInterval() {
			am.core.Reply(c.Req, 421, api.Redirect{Owner: am.core.config.Label}, 0)
			return
		}
		am.ContactNow(m)
	} else if m.suspectSince != 0 {
		am.ContactNow(m)
	} else if newer {
		// The answer carries all that a direct call would. An older report may be a copy that
		// comes late, whose answer nobody waits for.
		m.contactPending = false
	}
	am.core.Reply(c.Req, 200, api.CommandBatch{Token: m.commandToken, Commands: am.commandsFor(m, owned)}, 0)
}

// ContactNow has a machine told its orders at once.
func (am *AgentManager) ContactNow(m *Machine) {
	if !m.contactPending {
		m.contactPending = true
		am.pendingContacts = append(am.pendingContacts, m)
	}
}

// ForgetMachine drops a machine of which nothing is left to know.
func (am *AgentManager) ForgetMachine(id api.MachineID) {
	delete(am.machines, id)
	am.sortedMachines = nil
}

// sortMachines lists the machines in order, all and by part, anew when some came or
// went or changed parts.
func (am *AgentManager) sortMachines() {
	if am.sortedMachines != nil && am.sortedLoanVersion == am.core.state.LoanGeneration {
		return
	}
	if am.sortedLoanVersion != am.core.state.LoanGeneration {
		am.recordLoans()
	}
	am.sortedLoanVersion = am.core.state.LoanGeneration
	am.sortedMachines = make([]*Machine, 0, len(am.machines))
	for _, m := range am.machines {
		am.sortedMachines = append(am.sortedMachines, m)
	}
	slices.SortFunc(am.sortedMachines, func(a, b *Machine) int { return strings.Compare(string(a.ID), string(b.ID)) })
	am.machinesByPartition = make([][]*Machine, len(am.core.state.Partitions))
	for _, m := range am.sortedMachines {
		p := am.PartitionOf(m.ID)
		am.machinesByPartition[p] = append(am.machinesByPartition[p], m)
		if loan := am.core.state.Loans[m.ID]; loan.Revision != m.loanRevision {
			// It came for a job: until that has it, it is no one else's.
			m.loanRevision = loan.Revision
			am.c.preemptor.ReserveExclusively(m, loan.Job)
		}
	}
}

// machineLoan is when a machine's latest lending was first known here.
type machineLoan struct {
	revision api.Revision
	knownAt  api.Time
}

func (am *AgentManager) recordLoans() {
	for id, loan := range am.core.state.Loans {
		if am.machineLoans[id].revision != loan.Revision {
			am.machineLoans[id] = machineLoan{loan.Revision, am.core.now}
			if loan.Transferred && am.c.scheduler.partitions[loan.Partition] != nil {
				am.c.balancer.AdoptMachine(id)
			}
		}
	}
	for id := range am.machineLoans {
		if _, ok := am.core.state.Loans[id]; !ok {
			delete(am.machineLoans, id)
		}
	}
}

// LoanInTransit reports whether a machine was lent just now and its new owner is not
// likely to have heard it yet: it is in nobody's account of what is free.
func (am *AgentManager) LoanInTransit(id api.MachineID) bool {
	loan, ok := am.machineLoans[id]
	if !ok || am.core.now.Sub(loan.knownAt) > am.core.heartbeatTimeout || len(am.core.state.PlacementsOn(id)) > 0 || am.c.autoscaler.fleet.deletedAt[id] != 0 {
		return false
	}
	m, owned := am.machines[id], am.c.scheduler.partitions[am.PartitionOf(id)]
	return owned == nil || m == nil || m.lastHeartbeat == 0 || !am.c.scheduler.IsSchedulable(m, owned)
}

// MachinesOf lists a part's machines that are known here, in order.
func (am *AgentManager) MachinesOf(p api.PartitionID) []*Machine {
	am.sortMachines()
	return am.machinesByPartition[p]
}

// reportedSilent reports whether a machine's owner says that it does not hear it.
func (am *AgentManager) reportedSilent(owner api.ControllerID, id api.MachineID) bool {
	p := am.c.gossiper.peers[owner]
	if p == nil || !p.recent(am.core.now) {
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
func (am *AgentManager) redirectHeartbeat(c WorkerHeartbeat, owner api.ControllerID) {
	if c.Forwarded || owner == am.core.config.Label || owner == "" {
		am.core.ReplyError(c.Req, 503, "part is changing hands")
		return
	}
	previous := am.redirects[c.Heartbeat.Machine]
	if (previous.to == owner && am.core.now.Sub(previous.at) < am.core.redirectTTL || am.reportedSilent(owner, c.Heartbeat.Machine)) && am.c.gossiper.peers[owner] != nil {
		am.redirects[c.Heartbeat.Machine] = redirect{owner, am.core.now}
		am.core.CallPeer(owner, peerTimeout, PeerMessage{Forward: &Forward{Kind: "checkin", Body: c.Body}}, func(a PeerResponse) {
			if !a.OK || a.Reply.Status == 0 {
				am.core.ReplyError(c.Req, 503, "the machine's owner does not answer")
				return
			}
			am.core.Emit(Reply{Req: c.Req, Status: a.Reply.Status, Body: a.Reply.Body})
		})
		return
	}
	if !am.core.IsLive(owner) {
		am.core.ReplyError(c.Req, 503, "the machine's owner is gone")
		return
	}
	am.redirects[c.Heartbeat.Machine] = redirect{owner, am.core.now}
	am.core.Reply(c.Req, 421, api.Redirect{Owner: owner}, 0)
}

// latestLaunchToken is the highest token under which a launch of the place may still
// be on its way. Launches by former owners carry less than our term or, if the machine was
// lent to our part since, than the lending's revision.
func (am *AgentManager) latestLaunchToken(p *Placement, owned *ownedPartition) api.FencingToken {
	return max(p.OwnerState.launchToken, am.MinToken(owned, p.Machine)-1)
}

// applyHeartbeat takes in a report if it is newer than what is known, and reports whether it was.
// A new owner that has heard nothing yet may get an old one first. What it concludes holds all
// the same: sessions and ends that were reported are past for good, and that a task is missing
// counts only under a token that was first sent under its own term.
func (am *AgentManager) applyHeartbeat(m *Machine, heartbeat *api.Heartbeat, owned *ownedPartition) bool {
	if heartbeat.Epoch < m.epoch || (heartbeat.Epoch == m.epoch && heartbeat.Seq <= m.sequence) {
		return false
	}
	if !am.c.scheduler.IsSchedulable(m, owned) {
		owned.dirty = true // it may be from now on
	}
	if m.lastHeartbeat == 0 {
		m.firstHeartbeat = am.core.now
	}
	switch {
	case heartbeat.Token > 0 && (m.lastHeartbeat == 0 || am.core.now.Sub(m.lastHeartbeat) > am.core.heartbeatTimeout):
		// Packets may have been held for minutes: the machine may be gone, by another's
		// deletion. It is called before anything is started there.
		m.suspectSince = am.core.now
	case m.suspectSince != 0 && am.core.now.Sub(m.suspectSince) > am.core.config.HeartbeatInterval()/2:
		m.suspectSince = 0 // what was held comes all at once
	}
	m.epoch, m.sequence, m.reportedToken, m.lastHeartbeat = heartbeat.Epoch, heartbeat.Seq, heartbeat.Token, am.core.now
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
	for _, p := range am.core.state.PlacementsOn(m.ID) {
		if p.Partition != owned.id || p.Finishing {
			continue
		}
		if p.Epoch < m.epoch {
			am.c.scheduler.RecordTaskEnd(owned, p, false, reasonEpochOver)
			continue
		}
		taskReport, ok := m.reportedTasks[attemptKey{p.Task, p.Attempt}]
		switch {
		case !ok:
			p.OwnerState.reported = false
			if p.Job.Terminal() || p.OwnerState.stopRequested {
				if m.reportedToken > am.latestLaunchToken(p, owned) {
					am.c.scheduler.RecordTaskEnd(owned, p, false, "never started")
				} else {
					m.uncertainToken = max(m.uncertainToken, am.latestLaunchToken(p, owned))
				}
			}
		case taskReport.State == api.TaskExited:
			am.handleExit(owned, m, p, taskReport)
		default:
			if taskReport.State == api.TaskRunning && p.OwnerState.state != api.TaskRunning {
				p.OwnerState.runningSince = am.core.now
			}
			if taskReport.State != api.TaskFetching {
				am.cacheImage(m, p.Job.Spec)
			}
			owned.dirty = owned.dirty || p.Job.Cancelled && !(p.OwnerState.reported && taskStarted(p.OwnerState.state)) // takesIn may hold now
			p.OwnerState.reported, p.OwnerState.state = true, taskReport.State
		}
	}
	if heartbeat.PreemptionNotice != nil {
		am.stopBeforeReclaim(m, owned, *heartbeat.PreemptionNotice)
	}
	am.countUntrackedUsage(m)
	return true
}

// stopBeforeReclaim stops what can't end before the cloud takes its machine: it is lost
// there, and the sooner it runs again elsewhere the better. What is likely to end
// is left alone.
func (am *AgentManager) stopBeforeReclaim(m *Machine, owned *ownedPartition, notice float64) {
	for _, p := range am.core.state.PlacementsOn(m.ID) {
		if p.Partition != owned.id || p.Finishing || p.Job.Spec.Kind == api.Gang {
			continue
		}
		remaining := p.Job.Spec.Estimate
		if p.OwnerState.runningSince != 0 {
			remaining -= am.core.now.Sub(p.OwnerState.runningSince).Seconds()
		}
		if p.Job.Spec.Kind == api.Service || remaining > notice {
			am.c.scheduler.StopTask(p)
		}
	}
}

// countUntrackedUsage notes what a machine's tasks take that the book has no place
// for: they must be stopped, and until they are gone they hold their room.
func (am *AgentManager) countUntrackedUsage(m *Machine) {
	m.untrackedUsage, m.hasUnknownTasks = api.Resources{}, false
	for k, taskReport := range m.reportedTasks {
		if taskReport.State == api.TaskExited || am.placementOf(m.ID, k) != nil {
			continue
		}
		if j := am.core.state.Jobs[k.task.Job]; j != nil {
			m.untrackedUsage = m.untrackedUsage.Plus(j.Demand)
		} else {
			m.hasUnknownTasks = true
		}
	}
}

// placementOf finds the place of an attempt on a machine.
func (am *AgentManager) placementOf(id api.MachineID, k attemptKey) *Placement {
	for _, p := range am.core.state.PlacementsOn(id) {
		if p.Task == k.task && p.Attempt == k.attempt {
			return p
		}
	}
	return nil
}

// handleExit handles a task that ended on its machine.
func (am *AgentManager) handleExit(owned *ownedPartition, m *Machine, p *Placement, taskReport api.TaskStatus) {
	j := p.Job
	switch taskReport.Reason {
	case api.ReasonDone:
		am.cacheImage(m, j.Spec)
		delete(m.recentFailures, j.ID)
		j.OwnerState.failures = 0
		if p.OwnerState.runningSince != 0 {
			am.estimateRate(m, j, am.core.now.Sub(p.OwnerState.runningSince).Seconds())
		}
		am.c.scheduler.RecordTaskEnd(owned, p, true, "done")
		return
	case api.ReasonError:
		j.OwnerState.failures++
		if j.OwnerState.failedOn == nil {
			j.OwnerState.failedOn = map[api.MachineID]bool{}
		}
		j.OwnerState.failedOn[m.ID] = true
		m.recentFailures[j.ID] = am.core.now
		am.attributeFailure(m, j)
	case api.ReasonNoCapacity:
		m.fullUntil = am.core.now.Add(2 * time.Second)
	case api.ReasonUnknown:
		j.OwnerState.backoffUntil = am.core.now.Add(time.Second)
	}
	am.c.scheduler.RecordTaskEnd(owned, p, false, string(taskReport.Reason))
}

// estimateRate compares how long a task took with the others of its job: the same
// work, so that what differs is the machine.
func (am *AgentManager) estimateRate(m *Machine, j *Job, seconds float64) {
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
func (am *AgentManager) attributeFailure(m *Machine, j *Job) {
	recent := 0
	for ref, at := range m.recentFailures {
		if am.core.now.Sub(at) > time.Minute {
			delete(m.recentFailures, ref)
			continue
		}
		recent++
	}
	if recent >= 2 && m.quarantinedUntil < am.core.now {
		m.quarantinedUntil = am.core.now.Add(10 * time.Minute)
		slog.Info("machine quarantined: failures of different jobs", "machine", m.ID)
	}
	// A job that fails on several machines is more likely at fault itself: it
	// backs off, so that it neither wins the same machines every round nor
	// condemns them.
	if len(j.OwnerState.failedOn) >= 2 {
		j.OwnerState.backoffUntil = am.core.now.Add(min(30*time.Second, time.Second<<min(j.OwnerState.failures, 5)))
	}
}

// cacheImage notes that a machine holds an image and what it must have dropped.
func (am *AgentManager) cacheImage(m *Machine, s *api.JobSpec) {
	m.cachedImages[s.Image] = sched.CachedImage{SizeGB: s.ImageGB, LastUsed: am.core.now}
	typ := am.core.machineTypes[m.machineType]
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
func (am *AgentManager) commandsFor(m *Machine, owned *ownedPartition) []api.Command {
	out := []api.Command{}
	if m.reportedToken < am.MinToken(owned, m.ID) {
		return out // the term is announced first
	}
	var launches []api.Command
	for _, p := range am.core.state.PlacementsOn(m.ID) {
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
		if p := am.placementOf(m.ID, k); p != nil && p.Partition == owned.id {
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

// ReconcileMachines calls those that are to be told something, and looks at a share
// of the others each time, so that every one gets its turn and no step looks at
// all of them.
func (am *AgentManager) ReconcileMachines() {
	am.sortMachines()
	pending := am.pendingContacts
	am.pendingContacts = nil
	for _, m := range pending {
		if !m.contactPending || am.machines[m.ID] != m {
			continue
		}
		m.contactPending = false
		owned := am.c.scheduler.partitions[am.PartitionOf(m.ID)]
		if owned == nil || m.deleting {
			continue
		}
		if m.callInFlight || am.core.now < m.nextCallAt || am.directCallsInFlight >= am.maxDirectCalls {
			am.ContactNow(m) // a little later
			continue
		}
		am.reconcileMachine(m, owned, true)
	}
	sweepCount := int(int64(len(am.sortedMachines)) * int64(min(am.core.now.Sub(am.lastSweepAt), sweepInterval)) / int64(sweepInterval))
	if sweepCount == 0 && am.core.now.Sub(am.lastSweepAt) < sweepInterval {
		return
	}
	am.lastSweepAt = am.core.now
	for range min(max(sweepCount, 1), len(am.sortedMachines)) {
		am.sortMachines()
		if len(am.sortedMachines) == 0 {
			return
		}
		if am.sweepIndex >= len(am.sortedMachines) {
			am.sweepIndex = 0
		}
		m := am.sortedMachines[am.sweepIndex]
		am.sweepIndex++
		owned := am.c.scheduler.partitions[am.PartitionOf(m.ID)]
		if owned != nil && !m.deleting {
			am.reconcileMachine(m, owned, false)
		}
		am.c.autoscaler.EvaluateScaleIn(m, owned)
	}
}

// reconcileMachine does what is due for one machine.
func (am *AgentManager) reconcileMachine(m *Machine, owned *ownedPartition, urgent bool) {
	m.commandToken = max(m.commandToken, am.MinToken(owned, m.ID))
	if m.uncertainToken != 0 && m.commandToken <= m.uncertainToken {
		if api.FencingToken(owned.lastRevision) > m.uncertainToken {
			m.commandToken, urgent = api.FencingToken(owned.lastRevision), true
		} else {
			owned.needsNewToken = true
		}
	}
	needsAnnouncement := m.reportedToken < am.MinToken(owned, m.ID)
	silent := am.core.now.Sub(m.lastHeartbeat) > am.core.heartbeatTimeout
	// Calls on suspicion leave half of the calls to those that are known to
	// answer, or a cut would hold up every start.
	maxProbes := am.maxDirectCalls / 2
	if am.c.health.ZoneUnavailable(m.zone) {
		maxProbes = am.maxDirectCalls / 8 // its own reports tell when it is back
	}
	if !m.callInFlight && m.address != "" && am.core.now >= m.nextCallAt &&
		(urgent && am.directCallsInFlight < am.maxDirectCalls || (needsAnnouncement || silent) && am.directCallsInFlight < maxProbes) {
		am.sendCommands(m, owned)
	}
	am.c.health.CheckLiveness(m, owned)
}

// sendCommands sends a machine its orders without waiting for its report.
func (am *AgentManager) sendCommands(m *Machine, owned *ownedPartition) {
	commands := api.CommandBatch{Token: m.commandToken, Epoch: max(m.epoch, 1), Commands: am.commandsFor(m, owned)}
	hasLaunch := false
	for _, command := range commands.Commands {
		hasLaunch = hasLaunch || command.Op == api.OpStart
	}
	m.callInFlight = true
	am.directCallsInFlight++
	m.nextCallAt = am.core.now.Add(100 * time.Millisecond)
	am.core.CallWorker(m.address, commands, func(a WorkerResponse) {
		m.callInFlight = false
		am.directCallsInFlight--
		if a.Heartbeat != nil && a.Heartbeat.Machine != m.ID {
			a.Status, a.Heartbeat = 0, nil // the address belongs to another machine now
		}
		if a.Status == 0 || a.Heartbeat == nil {
			if hasLaunch {
				m.uncertainToken = max(m.uncertainToken, commands.Token)
			}
			m.missedCalls++
			m.nextCallAt = am.core.now.Add(500 * time.Millisecond)
			return
		}
		if am.c.scheduler.partitions[owned.id] != owned || m.deleting {
			return
		}
		m.lastDirectReply, m.missedCalls, m.suspectSince = am.core.now, 0, 0
		if a.Heartbeat.Token > m.commandToken {
			am.c.follower.LinearizableRead(func() {}, func() {}) // deposed, as the book will tell
			return
		}
		am.applyHeartbeat(m, a.Heartbeat, owned)
		if m.suspectSince != 0 {
			m.suspectSince, owned.dirty = 0, true // it has just answered
		}
		for _, command := range am.commandsFor(m, owned) {
			if command.Op == api.OpStart || command.Op == api.OpStop && command.GracePeriod == 0 {
				am.ContactNow(m) // decided meanwhile, or the machine had to learn our token first
				break
			}
		}
	})
}

func newAgentManager(c *Controller) *AgentManager {
	am := &AgentManager{core: c.core, c: c, machines: map[api.MachineID]*Machine{},
		machineLoans: map[api.MachineID]machineLoan{}, redirects: map[api.MachineID]redirect{}}
	// Sockets are for workers' and users' connections in the first place.
	am.maxDirectCalls = 64
	if fds := c.core.config.Deployment.Limits.FDLimit; fds > 0 {
		am.maxDirectCalls = max(4, min(am.maxDirectCalls, fds/16))
	}
	return am
}
