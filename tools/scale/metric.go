package main

import (
	"slices"

	"basaltwall/internal/emulator"
)

// metric is a figure of a result; roles refer to it by name.
type metric struct {
	name        string
	description string
	unit        string
	value       func(r *result) float64
}

// metrics are the figures of the capacity page, in order.
var metrics = []metric{
	{"cpu_total", "CPU usage of all controllers", "cores", func(r *result) float64 { return r.CPU }},
	{"cpu_most", "CPU usage of the busiest controller", "cores", func(r *result) float64 {
		return maxOverControllers(r, func(c controllerUsage) float64 { return c.Cores })
	}},
	{"memory_most", "peak memory of the largest controller", "MB", func(r *result) float64 {
		return maxOverControllers(r, func(c controllerUsage) float64 { return c.PeakMB })
	}},
	{"peer_messages", "messages between controllers", "1/s", func(r *result) float64 { return messageRate(r, r.Traffic.Peers) }},
	{"peer_bytes", "traffic between controllers", "KB/s", func(r *result) float64 { return byteRate(r, r.Traffic.Peers) / 1000 }},
	{"state_requests", "requests to the key-value store", "1/s", func(r *result) float64 { return perSecond(r, float64(r.StoreCounts.Requests)) }},
	{"state_writes", "writes to the key-value store", "1/s", func(r *result) float64 { return perSecond(r, float64(r.StoreCounts.Writes)) }},
	{"state_refused", "requests throttled by the key-value store", "1/s", func(r *result) float64 { return perSecond(r, float64(r.StoreCounts.Over)) }},
	{"state_bytes", "traffic of the key-value store", "KB/s", func(r *result) float64 { return byteRate(r, r.Traffic.StoreByKind) / 1000 }},
	{"state_keys", "keys in the key-value store", "", func(r *result) float64 { return float64(totalStored(r).Keys) }},
	{"state_stored", "size of the key-value store", "KB", func(r *result) float64 { return float64(totalStored(r).Bytes) / 1000 }},
	{"cloud_calls", "cloud API calls", "1/s", func(r *result) float64 { return perSecond(r, float64(r.Traffic.Flows[emulator.FlowCloud].Messages)) }},
	{"worker_reports", "heartbeats per worker", "1/s", func(r *result) float64 { return r.Worker.Heartbeats }},
	{"worker_direct", "direct commands per worker", "1/s", func(r *result) float64 { return r.Worker.Direct }},
	{"worker_bytes", "control traffic per worker", "KB/s", func(r *result) float64 { return r.Worker.Bytes / 1000 }},
	{"starts", "task starts", "1/s", func(r *result) float64 { return perSecond(r, float64(r.Starts)) }},
	{"accepted_p50", "submission latency, median", "s", func(r *result) float64 { return r.Latency[latencyAccepted].P50 }},
	{"accepted_p99", "submission latency, p99", "s", func(r *result) float64 { return r.Latency[latencyAccepted].P99 }},
	{"poll_p50", "poll latency, median", "s", func(r *result) float64 { return r.Latency[latencyPoll].P50 }},
	{"poll_p99", "poll latency, p99", "s", func(r *result) float64 { return r.Latency[latencyPoll].P99 }},
	{"cancel_p50", "cancellation latency, median", "s", func(r *result) float64 { return r.Latency[latencyCancel].P50 }},
	{"urgent_p50", "start latency of urgent tasks, median", "s", func(r *result) float64 { return r.Latency[latencyStartUrgent].P50 }},
	{"urgent_p99", "start latency of urgent tasks, p99", "s", func(r *result) float64 { return r.Latency[latencyStartUrgent].P99 }},
	{"batch_p50", "start latency of array tasks, median", "s", func(r *result) float64 { return r.Latency[latencyStartBatch].P50 }},
	{"batch_p99", "start latency of array tasks, p99", "s", func(r *result) float64 { return r.Latency[latencyStartBatch].P99 }},
	{"settings_p50", "settings applied by all controllers, median", "s", func(r *result) float64 { return r.Latency[latencySettings].P50 }},
	{"settings_max", "settings applied by all controllers, maximum", "s", func(r *result) float64 { return r.Latency[latencySettings].Max }},
	{"hollow_cpu", "CPU usage of the emulators", "cores", func(r *result) float64 { return r.EmulatorCPU }},
}

// findMetric returns the metric with a name.
func findMetric(name string) (metric, bool) {
	i := slices.IndexFunc(metrics, func(m metric) bool { return m.name == name })
	if i < 0 {
		return metric{}, false
	}
	return metrics[i], true
}

// perSecond divides a count by the window.
func perSecond(r *result, count float64) float64 {
	if r.Window == 0 {
		return 0
	}
	return count / r.Window
}

// maxOverControllers returns the largest value of all controllers.
func maxOverControllers(r *result, value func(controllerUsage) float64) float64 {
	largest := 0.0
	for _, c := range r.ControllerUsage {
		largest = max(largest, value(c))
	}
	return largest
}

// messageRate returns the total messages per second of flows.
func messageRate(r *result, flows map[string]emulator.Flow) float64 {
	sum := int64(0)
	for _, f := range flows {
		sum += f.Messages
	}
	return perSecond(r, float64(sum))
}

// byteRate returns the total bytes per second of flows, in both directions.
func byteRate(r *result, flows map[string]emulator.Flow) float64 {
	sum := int64(0)
	for _, f := range flows {
		sum += f.Sent + f.Received
	}
	return perSecond(r, float64(sum))
}

// totalStored returns the total size of the key-value store.
func totalStored(r *result) (sum emulator.StoredSize) {
	for _, s := range r.Stored {
		sum.Keys += s.Keys
		sum.Bytes += s.Bytes
	}
	return sum
}
