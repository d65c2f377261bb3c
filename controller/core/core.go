package core

import (
	"encoding/json"
	"log/slog"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/config"
	"basaltwall/controller/message"
)

// PendingRequest is a request that waits for its answer.
type PendingRequest struct {
	Kind      string
	StartedAt api.Time
}

func (k *Core) Emit(e message.Effect) {
	if r, ok := e.(message.Reply); ok {
		if pending, ok := k.PendingRequests[r.Req]; ok {
			delete(k.PendingRequests, r.Req)
			k.Metrics.ObserveLatency(pending.Kind, k.Now.Sub(pending.StartedAt))
		}
	}
	k.Effects = append(k.Effects, e)
}

func (k *Core) Reply(req message.ReqID, status int, body any, retryAfter int) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = 500, []byte(`{"error":"internal"}`)
	}
	k.Emit(message.Reply{Req: req, Status: status, Body: data, RetryAfter: retryAfter})
}

// ReplyFromPeer answers a request as a peer has answered it.
func (k *Core) ReplyFromPeer(req message.ReqID, r message.PeerReply) {
	k.Emit(message.Reply{Req: req, Status: r.Status, Body: r.Body, RetryAfter: r.RetryAfter})
}

func (k *Core) ReplyError(req message.ReqID, status int, reason string) {
	retry := 0
	if status == 503 {
		retry = 1
		slog.Debug("request refused, retry later", "reason", reason)
	}
	k.Reply(req, status, api.ErrorBody{Error: reason}, retry)
}

func (k *Core) registerCall(callback func(any)) message.CallID {
	k.lastCallID++
	k.PendingCalls[k.lastCallID] = callback
	return k.lastCallID
}

func (k *Core) CallStore(c message.StoreCall, callback func(message.StoreResponse)) {
	if c.Timeout == 0 {
		c.Timeout = StoreTimeout
	}
	var id message.CallID
	id = k.registerCall(func(a any) {
		response := a.(message.StoreResponse)
		if at, ok := k.pendingStoreCalls[id]; ok {
			delete(k.pendingStoreCalls, id)
			k.Metrics.ObserveLatency("state", k.Now.Sub(at))
		}
		if response.Status == 0 && c.Txn != nil {
			k.Metrics.IndeterminateWrites++
		}
		if response.Status == 0 || response.Status == 429 || response.Status == 503 {
			k.Metrics.StoreFailures++
		}
		if response.Status == 0 || response.Status == 503 {
			k.StoreHealthy = false
		} else if response.Status != 429 {
			k.StoreHealthy = true
		}
		callback(response)
	})
	c.ID = id
	k.Metrics.StoreRequests++
	if c.Txn != nil {
		k.Metrics.StoreWrites += uint64(len(c.Txn.Writes))
	}
	if c.Changes == nil || c.Changes.Wait == 0 {
		k.pendingStoreCalls[id] = k.Now
	}
	k.Emit(c)
}

// StoreSlowAfter is when the state service is taken not to answer this node, for
// the time being: its answers usually take a few milliseconds.
const StoreSlowAfter = 150 * time.Millisecond

// StoreUnreachable reports whether the state service seems not to answer us.
func (k *Core) StoreUnreachable() bool {
	if !k.Loaded || !k.StoreHealthy {
		return true
	}
	for _, at := range k.pendingStoreCalls {
		if k.Now.Sub(at) > StoreSlowAfter {
			return true
		}
	}
	return false
}

func (k *Core) CallStoreTxn(t api.Txn, callback func(message.StoreResponse)) {
	k.CallStore(message.StoreCall{Txn: &t}, callback)
}

func (k *Core) CallWorker(addr string, commands api.CommandBatch, callback func(message.WorkerResponse)) {
	k.Metrics.WorkerCalls++
	id := k.registerCall(func(a any) { callback(a.(message.WorkerResponse)) })
	k.Emit(message.WorkerCall{ID: id, Address: addr, Commands: commands, Timeout: WorkerTimeout})
}

func (k *Core) CallCloud(c message.CloudCall, callback func(message.CloudResponse)) {
	c.ID, c.Timeout = k.registerCall(func(a any) { callback(a.(message.CloudResponse)) }), CloudTimeout
	k.Metrics.CloudRequests++
	k.Emit(c)
}

func (k *Core) CallPeer(to api.ControllerID, timeout time.Duration, m message.PeerMessage, callback func(message.PeerResponse)) {
	id := k.registerCall(func(a any) { callback(a.(message.PeerResponse)) })
	k.Emit(message.PeerCall{ID: id, To: to, Message: m, Timeout: timeout})
}

// DeferCall does something again a little later.
func (k *Core) DeferCall(callback func()) {
	k.DeferredCalls = append(k.DeferredCalls, DeferredCall{k.Now.Add(RetryDelay), callback})
}

// Overloaded reports whether so many commands wait that what is merely better than
// nothing is put off: better fits, moves, lending, renting ahead, news. Never the
// lease, answers, evidence or starts.
func (k *Core) Overloaded() bool {
	if k.Metrics.Usage.QueueLength < OverloadQueueLength {
		return false
	}
	k.Metrics.OptionalWorkShed++
	return true
}

// OverloadQueueLength is some batches of commands: what comes in a few steps.
const OverloadQueueLength = 256

func (k *Core) AddMachineTypes(types []api.MachineType) {
	for i := range types {
		t := types[i]
		k.MachineTypes[t.Name] = &t
		c := t.Capacity()
		k.LargestMachine = api.Resources{CPU: max(k.LargestMachine.CPU, c.CPU), GPU: max(k.LargestMachine.GPU, c.GPU), Mem: max(k.LargestMachine.Mem, c.Mem)}
	}
}

// Core is what every part of the controller works with: the clock, the settings, the cluster's state and the calls under way.
type Core struct {
	Intervals
	Config            *config.Config
	Incarnation       int64
	Now               api.Time
	WallClock         api.WallTime
	Effects           []message.Effect
	PendingCalls      map[message.CallID]func(any)
	lastCallID        message.CallID
	State             *ClusterState
	Settings          Settings         // what operators set
	RecordedTypes     api.MachineTypes // the types as they were written, for a start while the cloud is down
	Loaded            bool
	StoreHealthy      bool                        // its last answer was one
	pendingStoreCalls map[message.CallID]api.Time // calls to it that should be answered at once
	Controllers       []api.ControllerID          // controllers, in order: a part's home is the one at its number
	Teams             map[api.Team]config.Team    // the platform's, and of a hosted service those that its operators made
	LargestMachine    api.Resources
	MachineTypes      map[api.MachineTypeName]*api.MachineType
	DeferredCalls     []DeferredCall
	StartedAt         api.Time
	Machines          map[api.MachineID]*Machine          // those that this controller knows
	Partitions        map[api.PartitionID]*OwnedPartition // those that this controller owns
	Metrics           Metrics
	PendingRequests   map[message.ReqID]PendingRequest // requests that wait for their answer
}

// New returns the core of a controller; incarnation tells this run of the process from others.
func New(cfg *config.Config, incarnation int64) *Core {
	k := &Core{Machines: map[api.MachineID]*Machine{}, Partitions: map[api.PartitionID]*OwnedPartition{}, Intervals: NewIntervals(cfg), Config: cfg, Incarnation: incarnation,
		PendingCalls: map[message.CallID]func(any){}, pendingStoreCalls: map[message.CallID]api.Time{}, PendingRequests: map[message.ReqID]PendingRequest{},
		MachineTypes: map[api.MachineTypeName]*api.MachineType{},
		Controllers:  []api.ControllerID{cfg.Label},
	}
	for _, p := range cfg.Peers {
		k.Controllers = append(k.Controllers, p.Label)
	}
	slices.Sort(k.Controllers)
	return k
}

func (k *Core) IsLive(l api.ControllerID) bool {
	_, ok := k.State.Members[l]
	return ok
}

// ExceedsValueSize reports whether what is to be written does not fit into a value.
func (k *Core) ExceedsValueSize(data []byte) bool {
	return float64(len(data)) > k.Config.Deployment.State.ValueKB*1024
}

// cancellationReserveBytes is what a cancellation adds to a job's record, and some more.
const cancellationReserveBytes = 64

// JobExceedsValueSize is the same for a job's record, with the room that its cancellation needs: a job
// that could not be cancelled would be answered 503 for ever.
func (k *Core) JobExceedsValueSize(data []byte) bool {
	return float64(len(data)+cancellationReserveBytes) > k.Config.Deployment.State.ValueKB*1024
}

// ToWallClock is the time of day of one of our times.
func (k *Core) ToWallClock(t api.Time) api.WallTime {
	return k.WallClock - api.WallTime(k.Now.Sub(t).Milliseconds())
}

// FromWallClock is our time of a time of day, which may lie before this process began.
func (k *Core) FromWallClock(w api.WallTime) api.Time {
	return k.Now.Add(-time.Duration(k.WallClock-w) * time.Millisecond)
}

// DeferredCall is called once its time has come.
type DeferredCall struct {
	At       api.Time
	Callback func()
}

// PreferredOwner is the controller that owns a part when all live.
func (k *Core) PreferredOwner(p api.PartitionID) api.ControllerID {
	return k.Controllers[int(p)%len(k.Controllers)]
}
