package metrics

// This file composes the metrics view.

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/zonehealth"
)

// Reporter composes the metrics.
type Reporter struct {
	core *core.Core
	deps Dependencies
}

// Dependencies are the other components that the reporter calls.
type Dependencies struct {
	Log        Log
	Agents     Agents
	Health     Health
	Jobs       Jobs
	Skips      Skips
	Backfiller Backfiller
	Pools      Pools
}

// Log is what the reporter needs of the log follower.
type Log interface {
	// IsRelay reports whether this controller reads the log for others.
	IsRelay() bool
}

// Agents is what the reporter needs of the agent manager.
type Agents interface {
	MachinesOf(api.PartitionID) []*core.Machine
}

// Health is what the reporter needs of the zone health monitor.
type Health interface {
	ZoneState(api.Zone) zonehealth.State
	Assessment(api.Zone) zonehealth.Assessment
	OutageSeconds(api.Zone) float64
	IsolatedPartitions(api.Zone) []api.PartitionID
	ExpiredLeaseTasks(api.Zone) int
}

// Jobs is what the reporter needs of the service for jobs.
type Jobs interface {
	// LongPendingJobs counts long-pending jobs by reason.
	LongPendingJobs() map[string]int
}

// Skips is what the reporter needs of the service for skips.
type Skips interface {
	// ViewMetrics returns nil if the ledger is not loaded.
	ViewMetrics() *core.SkipMetrics
}

// Backfiller is what the reporter needs of the backfiller.
type Backfiller interface {
	FragmentedCapacity() []core.FragmentationView
}

// Pools is what the reporter needs of the pool manager.
type Pools interface {
	Count() int
	Names() []api.PoolName // in order
	Size(api.PoolName) int
	PoolHeldTotal(api.PoolName) int
	PoolBacklog(api.PoolName) (units int, oldestSeconds float64)
	ShareMoves() uint64
}

// New returns a reporter; Connect must be called before any other method.
func New(k *core.Core) *Reporter { return &Reporter{core: k} }

// Connect sets the components that the reporter calls.
func (r *Reporter) Connect(s Dependencies) { r.deps = s }

// MaxPools bounds the number of pools in the metrics.
const MaxPools = 200

// HandleRequest answers a message.AdminMetrics.
func (r *Reporter) HandleRequest(c message.AdminRequest) {
	r.core.Reply(c.Req, 200, r.View(), 0)
}

// View composes the current metrics.
func (r *Reporter) View() View {
	v := r.viewCounters()
	v.UpSeconds = r.core.Now.Sub(r.core.StartedAt).Seconds()
	v.IsRelay = r.deps.Log.IsRelay()
	v.Jobs, v.PendingCalls = len(r.core.State.Jobs), len(r.core.PendingCalls)
	v.LongPendingJobs = r.deps.Jobs.LongPendingJobs()
	r.addUsage(&v)
	r.addPendingWork(&v)
	v.MachinesNotResumed = r.machinesNotResumed()
	v.Zones = r.viewZones()
	v.Skips = r.deps.Skips.ViewMetrics()
	v.Fragmentation = r.deps.Backfiller.FragmentedCapacity()
	r.addPools(&v)
	v.Latencies = r.viewLatencies()
	return v
}

// viewCounters returns a view of the core's counters and the request rate limits.
func (r *Reporter) viewCounters() View {
	m, limits := &r.core.Metrics, &r.core.Config.Deployment
	return View{
		Rounds:                 m.Rounds,
		Starts:                 m.Starts,
		Ends:                   m.Ends,
		Completions:            m.Completions,
		Takeovers:              m.Takeovers,
		PreemptedTasks:         m.PreemptedTasks,
		MachinesReserved:       m.MachinesReserved,
		ReplicasMoved:          m.ReplicasMoved,
		PollsDeferred:          m.PollsDeferred,
		TaskMoves:              m.TaskMoves,
		MachinesLoaned:         m.MachinesLoaned,
		MachinesTransferred:    m.MachinesTransferred,
		StoreRequests:          m.StoreRequests,
		StoreWrites:            m.StoreWrites,
		StoreFailures:          m.StoreFailures,
		StoreRPSLimit:          limits.State.RPS,
		StoreWriteRPSLimit:     limits.State.WriteRPS,
		ReadsRelayed:           m.ReadsRelayed,
		ReadsServed:            m.ReadsServed,
		ReadFallbacks:          m.ReadFallbacks,
		ReadsInvalid:           m.ReadsInvalid,
		CloudRequests:          m.CloudRequests,
		CloudRPSLimit:          limits.Cloud.RPS,
		WorkerCalls:            m.WorkerCalls,
		WorkerCallsRepeated:    m.WorkerCallsRepeated,
		StoreRejections:        m.StoreRejections,
		UnplacedTasks:          m.UnplacedTasks,
		WorkerHeartbeats:       m.WorkerHeartbeats,
		FlowTasks:              m.FlowTasks,
		FlowMachines:           m.FlowMachines,
		RequestsWithoutRead:    m.RequestsWithoutRead,
		IndeterminateWrites:    m.IndeterminateWrites,
		IndeterminateWritten:   m.IndeterminateWritten,
		IndeterminateUnwritten: m.IndeterminateUnwritten,
		MalformedMessages:      m.MalformedMessages,
		OptionalWorkShed:       m.OptionalWorkShed,
	}
}

// addUsage adds the time spent by kind of work, the processor time of the process and the length of the command queue.
func (r *Reporter) addUsage(v *View) {
	usage := &r.core.Metrics.Usage
	v.ProcessSeconds, v.QueueLength = usage.ProcessTime.Seconds(), usage.QueueLength
	v.WorkSeconds = map[string]float64{}
	for kind, d := range usage.WorkTime {
		v.WorkSeconds[message.WorkKind(kind).MetricName()] = d.Seconds()
	}
}

// addPendingWork adds the pending tasks and cancellations of all partitions.
func (r *Reporter) addPendingWork(v *View) {
	for _, j := range r.core.State.PendingJobs {
		for p := range r.core.State.Partitions {
			v.PendingTasks += j.PendingTasks(api.PartitionID(p))
		}
	}
	for _, j := range r.core.State.CancellingJobs {
		if !j.CancellationConfirmed() {
			v.PendingCancellations++
			v.OldestPendingCancellationSeconds = max(v.OldestPendingCancellationSeconds, float64(r.core.WallClock-j.CancelledAt)/1000)
		}
	}
}

// machinesNotResumed counts the machines of owned partitions whose agents have not reported the partition's current
// fencing token.
func (r *Reporter) machinesNotResumed() int {
	count := 0
	for p, owned := range r.core.Partitions {
		for _, m := range r.deps.Agents.MachinesOf(p) {
			if m.LastHeartbeat != 0 && m.ReportedToken < r.core.MinToken(owned, m.ID) {
				count++
			}
		}
	}
	return count
}

// viewZones returns the zones that are not healthy, nil if all are.
func (r *Reporter) viewZones() map[api.Zone]ZoneView {
	var zones map[api.Zone]ZoneView
	health := r.deps.Health
	for _, name := range r.core.Config.Deployment.Zones {
		state := health.ZoneState(name)
		if state == zonehealth.Healthy {
			continue
		}
		if zones == nil {
			zones = map[api.Zone]ZoneView{}
		}
		observed := health.Assessment(name)
		zones[name] = ZoneView{
			State:               string(state),
			UnreachableSeconds:  health.OutageSeconds(name),
			Machines:            observed.All,
			UnreachableMachines: observed.Silent,
			IsolatedPartitions:  health.IsolatedPartitions(name),
			PendingTasks:        health.ExpiredLeaseTasks(name),
		}
	}
	return zones
}

// addPools adds the first MaxPools pools by name, if there are any.
func (r *Reporter) addPools(v *View) {
	pools := r.deps.Pools
	if pools.Count() == 0 {
		return
	}
	v.Pools, v.PoolShareMoves = map[api.PoolName]PoolView{}, pools.ShareMoves()
	names := pools.Names()
	for _, name := range names[:min(MaxPools, len(names))] {
		p := PoolView{Size: pools.Size(name), Held: pools.PoolHeldTotal(name)}
		p.PendingUnits, p.OldestWaitSeconds = pools.PoolBacklog(name)
		v.Pools[name] = p
	}
}

// viewLatencies returns summaries of the latency histograms, in milliseconds.
func (r *Reporter) viewLatencies() map[string]core.LatencySummary {
	summaries := map[string]core.LatencySummary{}
	for what, h := range r.core.Metrics.Latencies {
		milliseconds := func(quantile float64) float64 { return float64(h.ValueAtQuantile(quantile)) / 1000 }
		summaries[what] = core.LatencySummary{
			Count: h.TotalCount(),
			P50:   milliseconds(50),
			P95:   milliseconds(95),
			P99:   milliseconds(99),
			Max:   float64(h.Max()) / 1000,
		}
	}
	return summaries
}
