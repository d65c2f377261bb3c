// Package control owns all of a controller's state and every decision. It does
// no input or output, reads no clock and starts no goroutine: Step takes what
// happened and returns what is to be done, and the same inputs give the same
// outputs.
package controller

import (
	"encoding/json"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/membership"
	"basaltwall/priority"
	"basaltwall/relay"
	"basaltwall/zonehealth"
)

// Controller is one controller.
type Controller struct {
	// OnWorkStart, if set, is told which kind of work comes next.
	OnWorkStart func(WorkKind)

	config      *config.Config
	incarnation int64
	now         api.Time
	wallClock   api.WallTime

	effects      []Effect
	pendingCalls map[CallID]func(any)
	lastCallID   CallID

	state                *clusterState
	settings             Settings         // what operators set
	hosted               *hostedService   // nil: one operator's own service
	recordedTypes        api.MachineTypes // the types as they were written, for a start while the cloud is down
	loaded               bool
	loading              bool
	nextLoadAt           api.Time
	resumeLoad           func() // goes on with it; nil: from the beginning
	watching             bool
	nextWatchAt          api.Time
	readInFlight         bool
	nextReadAt           api.Time
	nextDirectReadAt     api.Time // no read of our own before, where we have a relay
	readRequestedAt      api.Time // when a current read was last wanted
	readWaiters          []readWaiter
	resultLookups        resultLookups
	pendingCancellations []pendingCancellation // cancellations that are recorded and wait to be told
	reservationLedger    reservationLedger
	priorityState        priorityState
	demandProfile        demandProfile
	lastReadAt           api.Time            // the changes were last read, 0 if not yet
	storeHealthy         bool                // its last answer was one
	pendingStoreCalls    map[CallID]api.Time // calls to it that should be answered at once

	leaseID           api.LeaseID
	leaseCallInFlight bool
	nextLeaseCallAt   api.Time
	registered        bool
	registeredAt      api.Time
	liveSince         map[api.ControllerID]api.Time
	relayLink         relay.Selector // to the relays that we read the log through
	selectedRelays    relaySelection
	relayLog          relay.ChangeLog // what we pass on as one of them
	logFollowers      []logFollower
	restartHistory    membership.RestartTracker
	memberFormats     map[api.ControllerID]int // newest form of records that each controller understands
	forwardedRequests int                      // requests passed on, so that helpers take turns
	claimsInFlight    map[api.PartitionID]bool
	nextClaimAt       map[api.PartitionID]api.Time

	machines            map[api.MachineID]*Machine
	sortedMachines      []*Machine   // all of them in order; nil: to be listed anew
	machinesByPartition [][]*Machine // the same by part
	sortedLoanVersion   int
	machineLoans        map[api.MachineID]machineLoan
	pendingContacts     []*Machine // to be called at once
	sweepIndex          int        // the next machine to look at
	lastSweepAt         api.Time

	directCallsInFlight, maxDirectCalls int // direct calls under way, and at most

	pendingDeletions []pendingDeletion
	deletionInFlight bool
	nextDeletionAt   api.Time
	deletionFailures int // deletions that failed, in a row
	rng              *rand.Rand
	zones            zoneTracker

	partitions   map[api.PartitionID]*ownedPartition
	peers        map[api.ControllerID]*peerStatus
	nextGossipAt api.Time

	gossipNumber   uint64
	lastGossipAt   api.Time                 // when news was last told
	controllers    []api.ControllerID       // controllers, in order: a part's home is the one at its number
	teams          map[api.Team]config.Team // the platform's, and of a hosted service those that its operators made
	largestMachine api.Resources
	machineTypes   map[api.MachineTypeName]*api.MachineType

	deferredCalls []deferredCall
	fleet         fleet
	redirects     map[api.MachineID]redirect
	intervals
	submitTokens    float64 // submissions that may be written now, see maySubmit
	submitTokensAt  api.Time
	startedAt       api.Time
	roundRate       roundRate
	metrics         metrics
	pendingRequests map[ReqID]pendingRequest // requests that wait for their answer
	started         bool
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

// newState is an empty book; the kinds of records that stand for themselves are
// registered here.
func (n *Controller) newState() *clusterState {
	n.settings, n.recordedTypes, n.priorityState.shortage = Settings{}, api.MachineTypes{}, priority.Shortage{}
	n.zones.records = map[api.Zone]zonehealth.Record{}
	kinds := append([]clusterstate.RecordKind{clusterstate.SingleKey(settingsKey, &n.settings), clusterstate.SingleKey(machineTypesKey, &n.recordedTypes), clusterstate.SingleKey(keyShortage, &n.priorityState.shortage), n.zoneRecordKind()}, n.hostedRecordKinds()...)
	return clusterstate.New[jobTracking, placementTracking](n.config.Deployment.InitialSize, kinds...)
}

// New returns a controller; born tells this run of the process from others.
func New(cfg *config.Config, born int64) *Controller {
	d := cfg.Deployment
	n := &Controller{
		config: cfg, incarnation: born, pendingCalls: map[CallID]func(any){}, pendingStoreCalls: map[CallID]api.Time{},
		liveSince: map[api.ControllerID]api.Time{}, memberFormats: map[api.ControllerID]int{}, claimsInFlight: map[api.PartitionID]bool{}, nextClaimAt: map[api.PartitionID]api.Time{},
		machines: map[api.MachineID]*Machine{}, partitions: map[api.PartitionID]*ownedPartition{}, peers: map[api.ControllerID]*peerStatus{},
		machineTypes: map[api.MachineTypeName]*api.MachineType{},
		rng:          rand.New(rand.NewPCG(uint64(born), uint64(hashPartition(api.MachineID(cfg.Label), 1<<30)))),
		redirects:    map[api.MachineID]redirect{}, machineLoans: map[api.MachineID]machineLoan{}, pendingRequests: map[ReqID]pendingRequest{},
	}
	n.resetPlatformTeams()
	for _, p := range cfg.Peers {
		n.peers[p.Label] = &peerStatus{}
	}
	n.intervals = intervalsFor(cfg)
	n.resultLookups.waiters = map[api.JobID][]resultWaiter{}
	n.initHosted()
	n.initZones()
	n.state = n.newState()
	// Sockets are for workers' and users' connections in the first place.
	n.maxDirectCalls = 64
	if fds := d.Limits.FDLimit; fds > 0 {
		n.maxDirectCalls = max(4, min(n.maxDirectCalls, fds/16))
	}
	n.controllers = []api.ControllerID{cfg.Label}
	for _, p := range cfg.Peers {
		n.controllers = append(n.controllers, p.Label)
	}
	slices.Sort(n.controllers)
	n.fleet.init()
	return n
}

// Step tells the controller what happened and returns what it wants done. It
// is also to be called with no commands at least every Tick.
func (n *Controller) Step(now api.Time, wall api.WallTime, cmds []Command) []Effect {
	n.now, n.wallClock = now, wall
	if !n.started {
		n.started, n.startedAt = true, now
	}
	for _, c := range cmds {
		n.startWork(workKindOf(c))
		n.dispatch(c)
	}
	n.tick()
	out := n.effects
	n.effects = nil
	return out
}

// TickInterval is how often Step wants to be called when nothing happens.
const TickInterval = 50 * time.Millisecond

func (n *Controller) dispatch(c Command) {
	answer := func(id CallID) {
		if f := n.pendingCalls[id]; f != nil {
			delete(n.pendingCalls, id)
			f(c)
		}
	}
	switch c := c.(type) {
	case Submit:
		n.pendingRequests[c.Req] = pendingRequest{"submit", n.now}
		n.submit(c)
	case Poll:
		n.pendingRequests[c.Req] = pendingRequest{"poll", n.now}
		n.poll(c)
	case Cancel:
		n.pendingRequests[c.Req] = pendingRequest{"cancel", n.now}
		n.cancel(c)
	case ResourceUsage:
		n.metrics.observeLatency("step", c.StepTime)
		n.metrics.usage = c
	case ListHistory:
		n.listHistory(c)
	case TenantQuery:
		n.handleTenantQuery(c)
	case ReadinessProbe:
		n.ready(c)
	case WorkerHeartbeat:
		n.handleHeartbeat(c)
	case PeerGossip:
		n.handleGossip(c)
	case ReadLog:
		n.handleReadLog(c)
	case MalformedMessage:
		n.rejectMalformed(c.Req, c.From)
	case AdminRequest:
		n.handleAdmin(c)
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

func (n *Controller) emit(e Effect) {
	if r, ok := e.(Reply); ok {
		if pending, ok := n.pendingRequests[r.Req]; ok {
			delete(n.pendingRequests, r.Req)
			n.metrics.observeLatency(pending.kind, n.now.Sub(pending.startedAt))
		}
	}
	n.effects = append(n.effects, e)
}

func (n *Controller) reply(req ReqID, status int, body any, retryAfter int) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = 500, []byte(`{"error":"internal"}`)
	}
	n.emit(Reply{Req: req, Status: status, Body: data, RetryAfter: retryAfter})
}

// replyFromPeer answers a request as a peer has answered it.
func (n *Controller) replyFromPeer(req ReqID, r PeerReply) {
	n.emit(Reply{Req: req, Status: r.Status, Body: r.Body, RetryAfter: r.RetryAfter})
}

func (n *Controller) replyError(req ReqID, status int, reason string) {
	retry := 0
	if status == 503 {
		retry = 1
		slog.Debug("request refused, retry later", "why", reason)
	}
	n.reply(req, status, api.ErrorBody{Error: reason}, retry)
}

func (n *Controller) registerCall(callback func(any)) CallID {
	n.lastCallID++
	n.pendingCalls[n.lastCallID] = callback
	return n.lastCallID
}

func (n *Controller) callStore(c StoreCall, callback func(StoreResponse)) {
	if c.Timeout == 0 {
		c.Timeout = storeTimeout
	}
	var id CallID
	id = n.registerCall(func(a any) {
		response := a.(StoreResponse)
		if at, ok := n.pendingStoreCalls[id]; ok {
			delete(n.pendingStoreCalls, id)
			n.metrics.observeLatency("state", n.now.Sub(at))
		}
		if response.Status == 0 && c.Txn != nil {
			n.metrics.IndeterminateWrites++
		}
		if response.Status == 0 || response.Status == 429 || response.Status == 503 {
			n.metrics.StoreFailures++
		}
		if response.Status == 0 || response.Status == 503 {
			n.storeHealthy = false
		} else if response.Status != 429 {
			n.storeHealthy = true
		}
		callback(response)
	})
	c.ID = id
	n.metrics.StoreRequests++
	if c.Txn != nil {
		n.metrics.StoreWrites += uint64(len(c.Txn.Writes))
	}
	if c.Changes == nil || c.Changes.Wait == 0 {
		n.pendingStoreCalls[id] = n.now
	}
	n.emit(c)
}

// storeSlowAfter is when the state service is taken not to answer this node, for
// the time being: its answers usually take a few milliseconds.
const storeSlowAfter = 150 * time.Millisecond

// storeUnreachable reports whether the state service seems not to answer us.
func (n *Controller) storeUnreachable() bool {
	if !n.loaded || !n.storeHealthy {
		return true
	}
	for _, at := range n.pendingStoreCalls {
		if n.now.Sub(at) > storeSlowAfter {
			return true
		}
	}
	return false
}

func (n *Controller) callStoreTxn(t api.Txn, callback func(StoreResponse)) {
	n.callStore(StoreCall{Txn: &t}, callback)
}

func (n *Controller) callWorker(addr string, commands api.CommandBatch, callback func(WorkerResponse)) {
	n.metrics.WorkerCalls++
	n.emit(WorkerCall{n.registerCall(func(a any) { callback(a.(WorkerResponse)) }), addr, commands, workerTimeout})
}

func (n *Controller) callCloud(c CloudCall, callback func(CloudResponse)) {
	c.ID, c.Timeout = n.registerCall(func(a any) { callback(a.(CloudResponse)) }), cloudTimeout
	n.metrics.CloudRequests++
	n.emit(c)
}

func (n *Controller) callPeer(to api.ControllerID, timeout time.Duration, m PeerMessage, callback func(PeerResponse)) {
	n.emit(PeerCall{n.registerCall(func(a any) { callback(a.(PeerResponse)) }), to, m, timeout})
}

// deferCall does something again a little later.
func (n *Controller) deferCall(callback func()) {
	n.deferredCalls = append(n.deferredCalls, deferredCall{n.now.Add(retryDelay), callback})
}

// tick does whatever is due.
func (n *Controller) tick() {
	for len(n.deferredCalls) > 0 && n.deferredCalls[0].at <= n.now {
		callback := n.deferredCalls[0].callback
		n.deferredCalls = n.deferredCalls[1:]
		callback()
	}
	n.startWork(WorkMembership)
	n.maintainMembership()
	n.answerCancellations()
	if !n.loaded {
		n.loadState()
		return
	}
	n.followLog()
	n.replyToFollowers()
	n.sendResultLookup()
	n.syncLedger()
	n.claimPartitions()
	n.startWork(WorkFleet)
	n.reconcileFleet()
	n.reconcileTenants()
	n.startWork(WorkRounds)
	n.observeRounds()
	for _, p := range slices.Sorted(maps.Keys(n.partitions)) {
		if owned := n.partitions[p]; owned != nil {
			n.runPartition(owned)
		}
	}
	n.startWork(WorkMachines)
	n.reconcileZones()
	n.updateShortage()
	n.reconcileMachines()
	n.evacuateZones()
	n.processDeletions()
	n.startWork(WorkGossip)
	n.sendGossip()
}

// overloaded reports whether so many commands wait that what is merely better than
// nothing is put off: better fits, moves, lending, renting ahead, news. Never the
// lease, answers, evidence or starts.
func (n *Controller) overloaded() bool {
	if n.metrics.usage.QueueLength < overloadQueueLength {
		return false
	}
	n.metrics.OptionalWorkShed++
	return true
}

// overloadQueueLength is some batches of commands: what comes in a few steps.
const overloadQueueLength = 256

func (n *Controller) addMachineTypes(types []api.MachineType) {
	for i := range types {
		t := types[i]
		n.machineTypes[t.Name] = &t
		c := t.Capacity()
		n.largestMachine = api.Resources{CPU: max(n.largestMachine.CPU, c.CPU), GPU: max(n.largestMachine.GPU, c.GPU), Mem: max(n.largestMachine.Mem, c.Mem)}
	}
}
