// Package control owns all of a controller's state and every decision. It does
// no input or output, reads no clock and starts no goroutine: Step takes what
// happened and returns what is to be done, and the same inputs give the same
// outputs.
package controller

import (
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/priority"
	"basaltwall/zonehealth"
)

// Controller is one controller.
type Controller struct {
	// OnWorkStart, if set, is told which kind of work comes next.
	OnWorkStart func(WorkKind)

	started bool

	core         *Core
	follower     *LogFollower
	membership   *Membership
	gossiper     *Gossiper
	agents       *AgentManager
	health       *ZoneHealth
	autoscaler   *Autoscaler
	scheduler    *RoundScheduler
	preemptor    *Preemptor
	priorities   *Priorities
	backfiller   *Backfiller
	balancer     *Balancer
	jobs         *JobService
	tenancy      *TenantService
	pools        *PoolManager
	reservations *ReservationService
	admin        *AdminService
	reporter     *MetricsReporter
}

type pendingRequest struct {
	kind      string
	startedAt api.Time
}

type deferredCall struct {
	at       api.Time
	callback func()
}

type readWaiter struct {
	onRead, onFailure func()
	direct            bool // it wants a read of our own
}

type redirect struct {
	to api.ControllerID
	at api.Time
}

type peerStatus struct {
	gossip           Gossip
	receivedAt       api.Time
	receivedDirectly bool // it came from the controller itself
	sendInFlight     bool
}

// recent reports whether a peer's news is still worth believing.
func (p *peerStatus) recent(now api.Time) bool {
	return p.receivedAt != 0 && now.Sub(p.receivedAt) <= 5*time.Second
}

// NewState is an empty book; the kinds of records that stand for themselves are
// registered here.
func (n *Controller) NewState() *clusterState {
	n.core.settings, n.core.recordedTypes, n.priorities.priorityState.shortage = Settings{}, api.MachineTypes{}, priority.Shortage{}
	n.health.zones.records = map[api.Zone]zonehealth.Record{}
	kinds := append([]clusterstate.RecordKind{clusterstate.SingleKey(settingsKey, &n.core.settings), clusterstate.SingleKey(machineTypesKey, &n.core.recordedTypes), clusterstate.SingleKey(keyShortage, &n.priorities.priorityState.shortage), n.health.ZoneRecordKind()}, n.tenancy.HostedRecordKinds()...)
	return clusterstate.New[jobTracking, placementTracking](n.core.config.Deployment.InitialSize, kinds...)
}

// New returns a controller; born tells this run of the process from others.
func New(cfg *config.Config, incarnation int64) *Controller {
	core := newCore(cfg, incarnation)
	n := &Controller{core: core}
	n.follower = &LogFollower{core: core, c: n}
	n.membership = newMembership(n)
	n.gossiper = newGossiper(n)
	n.agents = newAgentManager(n)
	n.health = &ZoneHealth{core: core, c: n}
	n.autoscaler = newAutoscaler(n)
	n.scheduler = &RoundScheduler{core: core, c: n, partitions: map[api.PartitionID]*ownedPartition{}}
	n.preemptor = &Preemptor{core: core, c: n}
	n.priorities = &Priorities{core: core, c: n}
	n.backfiller = &Backfiller{core: core, c: n}
	n.balancer = &Balancer{core: core, c: n}
	n.jobs = newJobService(n)
	n.tenancy = &TenantService{core: core, c: n}
	n.pools = &PoolManager{core: core, c: n}
	n.reservations = &ReservationService{core: core, c: n}
	n.admin = &AdminService{core: core, c: n}
	n.reporter = &MetricsReporter{core: core, c: n}
	n.tenancy.ResetPlatformTeams()
	n.tenancy.InitHosted()
	n.health.InitZones()
	n.core.state = n.NewState()
	return n
}

// Step tells the controller what happened and returns what it wants done. It
// is also to be called with no commands at least every Tick.
func (n *Controller) Step(now api.Time, wall api.WallTime, cmds []Command) []Effect {
	n.core.now, n.core.wallClock = now, wall
	if !n.started {
		n.started, n.core.startedAt = true, now
	}
	for _, c := range cmds {
		n.reporter.StartWork(workKindOf(c))
		n.dispatch(c)
	}
	n.tick()
	out := n.core.effects
	n.core.effects = nil
	return out
}

// TickInterval is how often Step wants to be called when nothing happens.
const TickInterval = 50 * time.Millisecond

func (n *Controller) dispatch(c Command) {
	answer := func(id CallID) {
		if f := n.core.pendingCalls[id]; f != nil {
			delete(n.core.pendingCalls, id)
			f(c)
		}
	}
	switch c := c.(type) {
	case Submit:
		n.core.pendingRequests[c.Req] = pendingRequest{"submit", n.core.now}
		n.jobs.Submit(c)
	case Poll:
		n.core.pendingRequests[c.Req] = pendingRequest{"poll", n.core.now}
		n.jobs.Poll(c)
	case Cancel:
		n.core.pendingRequests[c.Req] = pendingRequest{"cancel", n.core.now}
		n.jobs.Cancel(c)
	case ResourceUsage:
		n.core.metrics.observeLatency("step", c.StepTime)
		n.core.metrics.usage = c
	case ListHistory:
		n.tenancy.ListHistory(c)
	case TenantQuery:
		n.tenancy.HandleTenantQuery(c)
	case ReadinessProbe:
		n.jobs.Ready(c)
	case WorkerHeartbeat:
		n.agents.HandleHeartbeat(c)
	case PeerGossip:
		n.gossiper.HandleGossip(c)
	case ReadLog:
		n.follower.HandleReadLog(c)
	case MalformedMessage:
		n.gossiper.RejectMalformed(c.Req, c.From)
	case AdminRequest:
		n.admin.HandleAdmin(c)
	case StoreResponse:
		answer(c.ID)
	case WorkerResponse:
		answer(c.ID)
	case CloudResponse:
		answer(c.ID)
	case PeerResponse:
		answer(c.ID)
	}
}

func (k *Core) Emit(e Effect) {
	if r, ok := e.(Reply); ok {
		if pending, ok := k.pendingRequests[r.Req]; ok {
			delete(k.pendingRequests, r.Req)
			k.metrics.observeLatency(pending.kind, k.now.Sub(pending.startedAt))
		}
	}
	k.effects = append(k.effects, e)
}

func (k *Core) Reply(req ReqID, status int, body any, retryAfter int) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = 500, []byte(`{"error":"internal"}`)
	}
	k.Emit(Reply{Req: req, Status: status, Body: data, RetryAfter: retryAfter})
}

// ReplyFromPeer answers a request as a peer has answered it.
func (k *Core) ReplyFromPeer(req ReqID, r PeerReply) {
	k.Emit(Reply{Req: req, Status: r.Status, Body: r.Body, RetryAfter: r.RetryAfter})
}

func (k *Core) ReplyError(req ReqID, status int, reason string) {
	retry := 0
	if status == 503 {
		retry = 1
		slog.Debug("request refused, retry later", "why", reason)
	}
	k.Reply(req, status, api.ErrorBody{Error: reason}, retry)
}

func (k *Core) registerCall(callback func(any)) CallID {
	k.lastCallID++
	k.pendingCalls[k.lastCallID] = callback
	return k.lastCallID
}

func (k *Core) CallStore(c StoreCall, callback func(StoreResponse)) {
	if c.Timeout == 0 {
		c.Timeout = storeTimeout
	}
	var id CallID
	id = k.registerCall(func(a any) {
		response := a.(StoreResponse)
		if at, ok := k.pendingStoreCalls[id]; ok {
			delete(k.pendingStoreCalls, id)
			k.metrics.observeLatency("state", k.now.Sub(at))
		}
		if response.Status == 0 && c.Txn != nil {
			k.metrics.IndeterminateWrites++
		}
		if response.Status == 0 || response.Status == 429 || response.Status == 503 {
			k.metrics.StoreFailures++
		}
		if response.Status == 0 || response.Status == 503 {
			k.storeHealthy = false
		} else if response.Status != 429 {
			k.storeHealthy = true
		}
		callback(response)
	})
	c.ID = id
	k.metrics.StoreRequests++
	if c.Txn != nil {
		k.metrics.StoreWrites += uint64(len(c.Txn.Writes))
	}
	if c.Changes == nil || c.Changes.Wait == 0 {
		k.pendingStoreCalls[id] = k.now
	}
	k.Emit(c)
}

// storeSlowAfter is when the state service is taken not to answer this node, for
// the time being: its answers usually take a few milliseconds.
const storeSlowAfter = 150 * time.Millisecond

// StoreUnreachable reports whether the state service seems not to answer us.
func (k *Core) StoreUnreachable() bool {
	if !k.loaded || !k.storeHealthy {
		return true
	}
	for _, at := range k.pendingStoreCalls {
		if k.now.Sub(at) > storeSlowAfter {
			return true
		}
	}
	return false
}

func (k *Core) CallStoreTxn(t api.Txn, callback func(StoreResponse)) {
	k.CallStore(StoreCall{Txn: &t}, callback)
}

func (k *Core) CallWorker(addr string, commands api.CommandBatch, callback func(WorkerResponse)) {
	k.metrics.WorkerCalls++
	k.Emit(WorkerCall{k.registerCall(func(a any) { callback(a.(WorkerResponse)) }), addr, commands, workerTimeout})
}

func (k *Core) CallCloud(c CloudCall, callback func(CloudResponse)) {
	c.ID, c.Timeout = k.registerCall(func(a any) { callback(a.(CloudResponse)) }), cloudTimeout
	k.metrics.CloudRequests++
	k.Emit(c)
}

func (k *Core) CallPeer(to api.ControllerID, timeout time.Duration, m PeerMessage, callback func(PeerResponse)) {
	k.Emit(PeerCall{k.registerCall(func(a any) { callback(a.(PeerResponse)) }), to, m, timeout})
}

// DeferCall does something again a little later.
func (k *Core) DeferCall(callback func()) {
	k.deferredCalls = append(k.deferredCalls, deferredCall{k.now.Add(retryDelay), callback})
}

// tick does whatever is due.
func (n *Controller) tick() {
	for len(n.core.deferredCalls) > 0 && n.core.deferredCalls[0].at <= n.core.now {
		callback := n.core.deferredCalls[0].callback
		n.core.deferredCalls = n.core.deferredCalls[1:]
		callback()
	}
	n.reporter.StartWork(WorkMembership)
	n.membership.MaintainMembership()
	n.jobs.AnswerCancellations()
	if !n.core.loaded {
		n.follower.LoadState()
		return
	}
	n.follower.FollowLog()
	n.follower.ReplyToFollowers()
	n.jobs.SendResultLookup()
	n.reservations.SyncLedger()
	n.membership.ClaimPartitions()
	n.reporter.StartWork(WorkFleet)
	n.autoscaler.ReconcileFleet()
	n.tenancy.ReconcileTenants()
	n.reporter.StartWork(WorkRounds)
	n.scheduler.ObserveRounds()
	for _, p := range slices.Sorted(maps.Keys(n.scheduler.partitions)) {
		if owned := n.scheduler.partitions[p]; owned != nil {
			n.scheduler.RunPartition(owned)
		}
	}
	n.reporter.StartWork(WorkMachines)
	n.health.ReconcileZones()
	n.priorities.UpdateShortage()
	n.agents.ReconcileMachines()
	n.health.EvacuateZones()
	n.autoscaler.ProcessDeletions()
	n.reporter.StartWork(WorkGossip)
	n.gossiper.SendGossip()
}

// Overloaded reports whether so many commands wait that what is merely better than
// nothing is put off: better fits, moves, lending, renting ahead, news. Never the
// lease, answers, evidence or starts.
func (k *Core) Overloaded() bool {
	if k.metrics.usage.QueueLength < overloadQueueLength {
		return false
	}
	k.metrics.OptionalWorkShed++
	return true
}

// overloadQueueLength is some batches of commands: what comes in a few steps.
const overloadQueueLength = 256

func (k *Core) AddMachineTypes(types []api.MachineType) {
	for i := range types {
		t := types[i]
		k.machineTypes[t.Name] = &t
		c := t.Capacity()
		k.largestMachine = api.Resources{CPU: max(k.largestMachine.CPU, c.CPU), GPU: max(k.largestMachine.GPU, c.GPU), Mem: max(k.largestMachine.Mem, c.Mem)}
	}
}
