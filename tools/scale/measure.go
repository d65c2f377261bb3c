package main

import (
	"context"
	"os"
	"time"

	"basaltwall/internal/emulator"
)

// measurement has the counters at the start or at the end of the window.
type measurement struct {
	takenAt     time.Time
	traffic     emulator.TrafficSnapshot
	store       emulator.StoreCounts
	controllers []usage
	emulator    usage
}

// takeMeasurement reads the current counters.
func (r *experimentRun) takeMeasurement() measurement {
	m := measurement{takenAt: time.Now(), traffic: r.fleet.Traffic.Snapshot(), store: r.fleet.StoreCounts(), emulator: usageOf(os.Getpid())}
	for _, p := range r.processes {
		m.controllers = append(m.controllers, p.usage())
	}
	return m
}

// measure runs the measurement window with its faults and fills in the result.
func (r *experimentRun) measure(ctx context.Context) error {
	window := seconds(r.experiment.Measure)
	for _, p := range r.processes {
		p.resetPeak()
	}
	r.fleet.WithSimulation(func(sim *emulator.Simulation) { r.measureStart, r.measureEnd = sim.Now, sim.Now+window })
	before := r.takeMeasurement()
	r.scheduleFaults()
	changes := make(chan error, 1)
	go func() { changes <- r.changeSettings(ctx, window) }()
	for end := time.Now().Add(window); time.Now().Before(end); {
		if err := sleep(ctx, checkInterval); err != nil {
			return err
		}
		r.fleet.WithSimulation(r.watchFaults)
	}
	after := r.takeMeasurement()
	if err := <-changes; err != nil {
		return err
	}
	r.fillResult(ctx, before, after)
	return nil
}

// fillResult fills in the result from the counters before and after the window.
func (r *experimentRun) fillResult(ctx context.Context, before, after measurement) {
	res := r.result
	res.Window = after.takenAt.Sub(before.takenAt).Seconds()
	res.Traffic = after.traffic.Since(before.traffic)
	res.StoreCounts = emulator.StoreCounts{Requests: after.store.Requests - before.store.Requests, Writes: after.store.Writes - before.store.Writes, Over: after.store.Over - before.store.Over}
	res.Stored = r.fleet.StoredByKind()
	res.EmulatorCPU = (after.emulator.CPU - before.emulator.CPU).Seconds() / res.Window
	res.EmulatorMB = float64(after.emulator.RSS) / (1 << 20)
	r.fillControllerUsage(ctx, before, after)
	r.fillWorkerTraffic()
	r.fleet.WithSimulation(r.fillFromSimulation)
}

// fillControllerUsage fills in the resources that each controller used in the window.
func (r *experimentRun) fillControllerUsage(ctx context.Context, before, after measurement) {
	res := r.result
	for i, p := range r.processes {
		cpu := after.controllers[i].CPU - before.controllers[i].CPU
		u := controllerUsage{Label: p.label, Cores: cpu.Seconds() / res.Window, PeakMB: float64(after.controllers[i].PeakRSS) / (1 << 20)}
		r.readControllerStats(ctx, i, &u)
		res.CPU += u.Cores
		res.ControllerUsage = append(res.ControllerUsage, u)
		p.mu.Lock()
		res.UnexpectedExits += p.unexpectedExits
		p.mu.Unlock()
	}
}

// fillWorkerTraffic fills in the average control traffic of a worker.
func (r *experimentRun) fillWorkerTraffic() {
	res := r.result
	heartbeats, commands := res.Traffic.Flows[emulator.FlowHeartbeats], res.Traffic.Flows[emulator.FlowCommands]
	machineSeconds := float64(res.Machines) * res.Window
	res.Worker = workerTraffic{
		Heartbeats: float64(heartbeats.Messages) / machineSeconds,
		Direct:     float64(commands.Messages) / machineSeconds,
		Bytes:      float64(heartbeats.Sent+heartbeats.Received+commands.Sent+commands.Received) / machineSeconds,
	}
}

// fillFromSimulation fills in the running tasks, start rates, latencies and faults.
func (r *experimentRun) fillFromSimulation(sim *emulator.Simulation) {
	res := r.result
	res.Running = sim.Checker.RunningTasks()
	res.BestSecond, res.BestTen = r.startRates.peak()
	for id, at := range r.submittedAt {
		if accepted, ok := sim.Users.AcceptedAt[id]; ok && at >= r.measureStart {
			r.latencies.add(latencyAccepted, accepted-at)
		}
	}
	res.Jobs = r.jobCount
	res.Latency = r.latencies.describe()
	for _, f := range r.faults {
		res.Faults = append(res.Faults, f.faultResult)
	}
}

// readControllerStats reads a controller's processor time by kind of work and its number of partitions.
func (r *experimentRun) readControllerStats(ctx context.Context, index int, u *controllerUsage) {
	var metrics struct {
		Work map[string]float64 `json:"work_s"`
	}
	if r.cluster().getJSON(ctx, index, pathMetrics, &metrics) == nil {
		u.Work = metrics.Work
	}
	var partitions []struct {
		Owner string `json:"owner"`
	}
	if r.cluster().getJSON(ctx, index, pathPartitions, &partitions) != nil {
		return
	}
	for _, p := range partitions {
		if p.Owner == u.Label {
			u.Partitions++
		}
	}
}
