package core

// This file defines the counters and latencies that a controller keeps for operators.

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"basaltwall/controller/message"
)

// Metrics contains counters since the start of the process, and latencies.
type Metrics struct {
	SchedulingMetrics
	CallMetrics
	LogMetrics
	Usage     message.ResourceUsage
	Latencies map[string]*hdrhistogram.Histogram // by name, in microseconds
}

// SchedulingMetrics counts scheduling decisions.
type SchedulingMetrics struct {
	Rounds, Takeovers, Starts, Ends, Completions          uint64
	PreemptedTasks, TaskMoves, ReplicasMoved              uint64
	MachinesLoaned, MachinesTransferred, MachinesReserved uint64
	FlowTasks, FlowMachines                               int    // the size of the last round's flow problem
	OptionalWorkShed                                      uint64 // see Core.Overloaded
}

// CallMetrics counts outgoing calls, and incoming requests and messages.
type CallMetrics struct {
	StoreRequests, StoreWrites, StoreFailures uint64
	StoreRejections                           uint64 // transactions refused for good
	CloudRequests, WorkerCalls                uint64
	WorkerCallsRepeated                       uint64 // by the HTTP client
	WorkerHeartbeats, MalformedMessages       uint64
	UnplacedTasks                             uint64 // reported by machines without a placement
	PollsDeferred                             uint64
}

// LogMetrics counts reads of the state service's log, and writes with an unknown outcome.
type LogMetrics struct {
	ReadsRelayed, ReadsServed, ReadFallbacks, ReadsInvalid            uint64
	RequestsWithoutRead                                               uint64
	IndeterminateWrites, IndeterminateWritten, IndeterminateUnwritten uint64
}

// Latencies are recorded with two significant digits, from a microsecond up to maxLatency.
const (
	maxLatency               = time.Hour
	latencySignificantDigits = 2
)

// ObserveLatency records a duration in the latency of that name. Durations outside the histogram's
// range are clamped to it.
func (m *Metrics) ObserveLatency(name string, d time.Duration) {
	if m.Latencies == nil {
		m.Latencies = map[string]*hdrhistogram.Histogram{}
	}
	histogram := m.Latencies[name]
	if histogram == nil {
		histogram = hdrhistogram.New(1, maxLatency.Microseconds(), latencySignificantDigits)
		m.Latencies[name] = histogram
	}
	_ = histogram.RecordValue(min(max(d.Microseconds(), 1), maxLatency.Microseconds())) // the value is within the range
}

// LatencySummary summarizes a latency histogram, in milliseconds.
type LatencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}
