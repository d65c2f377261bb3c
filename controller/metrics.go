package controller

import (
	"maps"
	"slices"
	"strings"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/zonehealth"
)

// MetricsReporter composes the metrics that administration requests show.
type MetricsReporter struct {
	core *core.Core
	c    *Controller
}

var workKindNames = [message.WorkKinds]string{"users", "reports", "state_answers", "worker_answers", "cloud_answers", "peers", "operators",
	"membership", "fleet", "rounds", "machines", "gossip"}

// workKindOf is the kind of work that a command makes.
func workKindOf(c message.Command) message.WorkKind {
	switch c.(type) {
	case message.Submit, message.Poll, message.Cancel, message.ReadinessProbe, message.ListHistory, message.TenantQuery:
		return message.WorkUsers
	case message.WorkerHeartbeat:
		return message.WorkHeartbeats
	case message.StoreResponse:
		return message.WorkStore
	case message.WorkerResponse:
		return message.WorkWorkers
	case message.CloudResponse:
		return message.WorkCloud
	case message.PeerGossip, message.MalformedMessage, message.ReadLog, message.PeerResponse:
		return message.WorkPeers
	}
	return message.WorkOperators
}

// StartWork tells whoever has a clock which kind of work comes next.
func (mr *MetricsReporter) StartWork(w message.WorkKind) {
	if mr.c.OnWorkStart != nil {
		mr.c.OnWorkStart(w)
	}
}

// MetricsView is what an operator is shown of a node's doings.
type MetricsView struct {
	UpSeconds                        float64                        `json:"up_s"`
	Rounds                           uint64                         `json:"rounds"`
	Starts                           uint64                         `json:"starts"`
	Ends                             uint64                         `json:"ends"`
	Completions                      uint64                         `json:"completions"`
	Takeovers                        uint64                         `json:"takeovers"`
	PreemptedTasks                   uint64                         `json:"preempted"`
	MachinesReserved                 uint64                         `json:"machines_kept"` // for jobs that must begin
	ReplicasMoved                    uint64                         `json:"replicas_moved"`
	PollsDeferred                    uint64                         `json:"polls_not_in_turn"`
	TaskMoves                        uint64                         `json:"moves"`
	MachinesLoaned                   uint64                         `json:"machines_lent"`
	MachinesTransferred              uint64                         `json:"machines_transferred"` // lent with the tasks that run there
	StoreRequests                    uint64                         `json:"state_requests"`
	StoreWrites                      uint64                         `json:"state_writes"`
	StoreFailures                    uint64                         `json:"state_failures"`
	StoreRPSLimit                    float64                        `json:"state_rps_limit"`
	StoreWriteRPSLimit               float64                        `json:"state_write_rps_limit"`
	ReadsRelayed                     uint64                         `json:"log_reads_relayed"` // asked of relays
	ReadsServed                      uint64                         `json:"log_reads_served"`  // for others
	ReadFallbacks                    uint64                         `json:"log_read_fallbacks"`
	ReadsInvalid                     uint64                         `json:"log_reads_impossible"`
	IsRelay                          bool                           `json:"relay"` // reads the log for others
	CloudRequests                    uint64                         `json:"cloud_requests"`
	CloudRPSLimit                    float64                        `json:"cloud_rps_limit"`
	WorkerCalls                      uint64                         `json:"worker_calls"`
	WorkerHeartbeats                 uint64                         `json:"worker_reports"`
	MachinesNotResumed               int                            `json:"machines_not_resumed"` // that do not know our term yet
	FlowTasks                        int                            `json:"flow_tasks_last"`
	FlowMachines                     int                            `json:"flow_machines_last"`
	Jobs                             int                            `json:"jobs"`
	PendingTasks                     int                            `json:"waiting_tasks"`
	PendingCancellations             int                            `json:"cancellations_waiting"`   // recorded, and not yet to be told
	OldestPendingCancellationSeconds float64                        `json:"cancellations_waiting_s"` // the oldest of them
	PendingCalls                     int                            `json:"calls_open"`
	RequestsWithoutRead              uint64                         `json:"requests_without_read"`   // users', refused for want of a current read
	IndeterminateWrites              uint64                         `json:"indeterminate_writes"`    // that were not answered
	IndeterminateWritten             uint64                         `json:"indeterminate_written"`   // rounds of these that were found to be written
	IndeterminateUnwritten           uint64                         `json:"indeterminate_unwritten"` // and that were not, and never can be
	LongPendingJobs                  map[string]int                 `json:"jobs_waiting_over_60s"`   // in our parts, by reason; see jobs for each
	MalformedMessages                uint64                         `json:"peer_messages_not_understood"`
	Latencies                        map[string]core.LatencySummary `json:"times"`

	// Seconds since the process began, by kind of work, and of the whole process:
	// the rest of that is messages and the runtime.
	WorkSeconds      map[string]float64 `json:"work_s"`
	ProcessSeconds   float64            `json:"processor_s"`
	QueueLength      int                `json:"commands_waiting"`
	OptionalWorkShed uint64             `json:"optional_work_put_off"`

	// Zones that are not whole.
	Zones map[api.Zone]ZoneView `json:"zones,omitempty"`

	// Accelerators of our parts that are free and in pieces, by type.
	Fragmentation []core.FragmentationView `json:"accelerators_in_pieces,omitempty"`

	// Reservations, once somebody asked this controller for one.
	Reservations *SkipMetrics `json:"skips,omitempty"`

	// Of a hosted service: pools, the first 200 by name, and how often this controller
	// moved shares of any.
	Pools          map[api.PoolName]PoolMetrics `json:"pools,omitempty"`
	PoolShareMoves uint64                       `json:"pool_share_moves,omitempty"`
}

// ZoneView is what an operator is shown of a zone that is not whole.
type ZoneView struct {
	State            string            `json:"state"`    // doubtful, lost or returning
	SilentSeconds    float64           `json:"silent_s"` // since its silent machines were last heard
	Machines         int               `json:"machines"` // that are known, of all controllers that tell
	SilentMachines   int               `json:"machines_silent"`
	PartitionsInside []api.PartitionID `json:"parts_inside,omitempty"` // whose owners were lost with it
	PendingTasks     int               `json:"tasks_waiting"`          // on its machines past their leases, for room or for the zone
}

// PoolMetrics is what there is of a pool.
type PoolMetrics struct {
	Size              int     `json:"size"`
	Held              int     `json:"held"`
	PendingUnits      int     `json:"waiting_units"`
	OldestWaitSeconds float64 `json:"oldest_wait_s"`
}

// longPendingThreshold is from when on a job that waits is counted by its reason, maxLongWaits how many jobs
// are looked at for it.
const (
	longPendingThreshold = time.Minute
	maxLongPending       = 200
)

// longPendingJobs counts the jobs of our parts that have waited for long without a task there, by reason.
func (mr *MetricsReporter) longPendingJobs() map[string]int {
	out, rooms, budget := map[string]int{}, mr.c.jobs.FreeCapacityGroups(), maxLongPending
	for _, ref := range slices.Sorted(maps.Keys(mr.core.State.PendingJobs)) {
		j := mr.core.State.PendingJobs[ref]
		for _, p := range slices.Sorted(maps.Keys(mr.core.Partitions)) {
			if waited := time.Duration(mr.core.WallClock-j.AcceptedAt) * time.Millisecond; waited < longPendingThreshold || j.PlacementCounts[p] > 0 || j.PendingTasks(p) == 0 {
				continue
			}
			if budget--; budget < 0 {
				return out
			}
			out[pendingReasonCategory(mr.c.jobs.PendingReason(j, p, rooms))]++
		}
	}
	return out
}

// pendingReasonCategory is a reason for waiting without its figures.
func pendingReasonCategory(reason string) string {
	for _, r := range []struct{ begins, reason string }{{"limit:", "limit"}, {"no room:", "no room"}, {"pool ", "pool"}, {"backs off", "backs off after failures"}, {"room is gathered", "room is gathered"}, {"the gang's last attempt", "the gang's last attempt ends"}} {
		if strings.HasPrefix(reason, r.begins) {
			return r.reason
		}
	}
	return "has room"
}

// maxPoolMetrics bounds the pools that metrics name.
const maxPoolMetrics = 200

func (mr *MetricsReporter) ViewMetrics() MetricsView {
	m := &mr.core.Metrics
	v := MetricsView{UpSeconds: mr.core.Now.Sub(mr.core.StartedAt).Seconds(), Rounds: m.Rounds, Starts: m.Starts, Ends: m.Ends,
		Completions: m.Completions, Takeovers: m.Takeovers, PreemptedTasks: m.PreemptedTasks, MachinesReserved: m.MachinesReserved, ReplicasMoved: m.ReplicasMoved, PollsDeferred: m.PollsDeferred, TaskMoves: m.TaskMoves, MachinesLoaned: m.MachinesLoaned, MachinesTransferred: m.MachinesTransferred,
		StoreRequests: m.StoreRequests, StoreWrites: m.StoreWrites, StoreFailures: m.StoreFailures,
		StoreRPSLimit: mr.core.Config.Deployment.State.RPS, StoreWriteRPSLimit: mr.core.Config.Deployment.State.WriteRPS,
		ReadsRelayed: m.ReadsRelayed, ReadsServed: m.ReadsServed, ReadFallbacks: m.ReadFallbacks, ReadsInvalid: m.ReadsInvalid,
		IsRelay:       mr.c.follower.UsesRelays() && isRelay(mr.c.follower.CurrentRelays(), mr.core.Config.Label),
		CloudRequests: m.CloudRequests, CloudRPSLimit: mr.core.Config.Deployment.Cloud.RPS, WorkerCalls: m.WorkerCalls, WorkerHeartbeats: m.WorkerHeartbeats,
		FlowTasks: m.FlowTasks, FlowMachines: m.FlowMachines, Jobs: len(mr.core.State.Jobs), PendingCalls: len(mr.core.PendingCalls),
		RequestsWithoutRead: m.RequestsWithoutRead, IndeterminateWrites: m.IndeterminateWrites, IndeterminateWritten: m.IndeterminateWritten, IndeterminateUnwritten: m.IndeterminateUnwritten, LongPendingJobs: mr.longPendingJobs(),
		Latencies: map[string]core.LatencySummary{}, WorkSeconds: map[string]float64{}, ProcessSeconds: m.Usage.ProcessTime.Seconds(), QueueLength: m.Usage.QueueLength, OptionalWorkShed: m.OptionalWorkShed, MalformedMessages: m.MalformedMessages}
	for w, d := range m.Usage.WorkTime {
		v.WorkSeconds[workKindNames[w]] = d.Seconds()
	}
	for _, j := range mr.core.State.PendingJobs {
		for p := range mr.core.State.Partitions {
			v.PendingTasks += j.PendingTasks(api.PartitionID(p))
		}
	}
	for _, j := range mr.core.State.CancellingJobs {
		if !j.CancellationConfirmed() {
			v.PendingCancellations++
			v.OldestPendingCancellationSeconds = max(v.OldestPendingCancellationSeconds, float64(mr.core.WallClock-j.CancelledAt)/1000)
		}
	}
	for p, owned := range mr.core.Partitions {
		for _, m := range mr.c.agents.MachinesOf(p) {
			if m.LastHeartbeat != 0 && m.ReportedToken < mr.core.MinToken(owned, m.ID) {
				v.MachinesNotResumed++
			}
		}
	}
	for _, name := range mr.core.Config.Deployment.Zones {
		s := mr.c.health.ZoneState(name)
		if s == zonehealth.Healthy {
			continue
		}
		if v.Zones == nil {
			v.Zones = map[api.Zone]ZoneView{}
		}
		sight := mr.c.health.Observation(name)
		v.Zones[name] = ZoneView{State: string(s), SilentSeconds: mr.c.health.ZoneSilenceSeconds(name), Machines: sight.All, SilentMachines: sight.Silent,
			PartitionsInside: mr.c.health.PartitionsInside(name), PendingTasks: mr.c.health.ExpiredLeaseTasks(name)}
	}
	v.Reservations, v.Fragmentation = mr.c.reservations.ViewSkips(), mr.c.backfiller.FragmentedCapacity()
	if mr.c.pools.Count() > 0 {
		v.Pools, v.PoolShareMoves = map[api.PoolName]PoolMetrics{}, mr.c.pools.ShareMoves()
		names := mr.c.pools.Names()
		for _, name := range names[:min(maxPoolMetrics, len(names))] {
			p := PoolMetrics{Size: mr.c.pools.Size(name), Held: mr.c.pools.PoolHeldTotal(name)}
			p.PendingUnits, p.OldestWaitSeconds = mr.c.pools.PoolBacklog(name)
			v.Pools[name] = p
		}
	}
	for what, h := range m.Latencies {
		ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		v.Latencies[what] = core.LatencySummary{Count: h.TotalCount(), P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(h.Max()) / 1000}
	}
	return v
}
