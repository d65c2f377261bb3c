package core

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"basaltwall/controller/message"
)

// Metrics are what an operator may want to see of the past: counts since the
// process began and how long things took, in microseconds.
type Metrics struct {
	Rounds, Starts, Ends, Completions, Takeovers, PreemptedTasks, TaskMoves, MachinesLoaned, MachinesTransferred, MachinesReserved, ReplicasMoved, PollsDeferred, OptionalWorkShed, MalformedMessages uint64
	StoreRequests, StoreWrites, StoreFailures                                                                                                                                                         uint64
	CloudRequests, WorkerCalls, WorkerHeartbeats                                                                                                                                                      uint64
	ReadsRelayed, ReadsServed, ReadFallbacks, ReadsInvalid                                                                                                                                            uint64
	RequestsWithoutRead, IndeterminateWrites, IndeterminateWritten, IndeterminateUnwritten                                                                                                            uint64
	FlowTasks, FlowMachines                                                                                                                                                                           int // of the last round
	Usage                                                                                                                                                                                             message.ResourceUsage
	Latencies                                                                                                                                                                                         map[string]*hdrhistogram.Histogram
}

// ObserveLatency notes a duration.
func (m *Metrics) ObserveLatency(what string, d time.Duration) {
	if m.Latencies == nil {
		m.Latencies = map[string]*hdrhistogram.Histogram{}
	}
	h := m.Latencies[what]
	if h == nil {
		h = hdrhistogram.New(1, time.Hour.Microseconds(), 2)
		m.Latencies[what] = h
	}
	// What is out of its range is noted as its end.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), time.Hour.Microseconds()))
}

// LatencySummary describes a histogram, in milliseconds.
type LatencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}
