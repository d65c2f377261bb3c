package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"basaltwall/api"
	"basaltwall/internal/emulator"
)

// experimentRun is a run under way.
type experimentRun struct {
	experiment *experiment
	fleet      *emulator.Fleet
	processes  []*process
	result     *result
	client     *http.Client

	// What follows is of the fleet's world, looked at within fleet.Do.
	latencies    latencies
	startRates   startsBySecond
	startedTasks map[api.TaskID]bool         // tasks that have started
	submittedAt  map[api.JobID]time.Duration // when each job first was
	measureStart time.Duration               // jobs count from here on; 0: not yet
	measureEnd   time.Duration
	jobCount     int
	faults       []*faultWatch
}

// faultWatch follows what comes after a fault.
type faultWatch struct {
	faultResult
	injectedAt  time.Duration
	tokenBefore api.FencingToken // the highest before it
}

// Times of a run.
const (
	readyTimeout         = 60 * time.Second
	checkInterval        = 200 * time.Millisecond
	membershipDelay      = 3 * time.Second // after all are ready, until machines are heard
	settingsPollInterval = 20 * time.Millisecond
	settingsTimeout      = 30 * time.Second
)

// runExperiment plays one run of an experiment.
func runExperiment(ctx context.Context, e *experiment, program, label string) (*result, error) {
	limit, err := memoryLimit()
	if err != nil {
		return nil, err
	}
	if err := checkResources(e, limit); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	dir, err := os.MkdirTemp("", "scale")
	if err != nil {
		return nil, err
	}
	slog.Info("run started", "experiment", e.Name, "machines", e.Machines, "controllers", e.Controllers, "tasks", e.targetTasks(), "logs", dir)
	r := &experimentRun{experiment: e, result: newResult(e, label), latencies: latencies{}, startRates: startsBySecond{}, startedTasks: map[api.TaskID]bool{},
		submittedAt: map[api.JobID]time.Duration{}, client: &http.Client{Timeout: 5 * time.Second}}
	if r.fleet, err = emulator.StartFleet(ctx, deploymentConfig(e)); err != nil {
		return nil, err
	}
	defer r.killControllers()
	if err := r.startControllers(program, dir); err != nil {
		return nil, err
	}
	go watchMemory(ctx, r.processes, limit, stop)
	err = r.runPhases(ctx)
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		err = cause
	}
	if err != nil {
		r.result.Failed = err.Error()
	}
	r.result.Violations = append(r.result.Violations, r.fleet.Violations()...)
	return r.result, err
}

// startControllers starts the controllers.
func (r *experimentRun) startControllers(program, dir string) error {
	for i, data := range r.fleet.SettingsFiles {
		label := string(r.fleet.Configs[i].Label)
		p := &process{label: label, program: program, settingsPath: filepath.Join(dir, label+".json"), logDir: dir}
		if err := os.WriteFile(p.settingsPath, data, 0o600); err != nil {
			return err
		}
		r.processes = append(r.processes, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// killControllers ends all processes that were started.
func (r *experimentRun) killControllers() {
	for _, p := range r.processes {
		p.kill()
	}
}

// runPhases goes through the phases: ready, filled, settled, measured.
func (r *experimentRun) runPhases(ctx context.Context) error {
	if err := r.awaitReady(ctx); err != nil {
		return err
	}
	if err := sleep(ctx, membershipDelay); err != nil {
		return err
	}
	if err := r.fill(ctx); err != nil {
		return err
	}
	if err := sleep(ctx, seconds(r.experiment.Settle)); err != nil {
		return err
	}
	return r.measure(ctx)
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-time.After(d):
		return nil
	}
}

// awaitReady waits until every controller can take requests.
func (r *experimentRun) awaitReady(ctx context.Context) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); {
		ready := 0
		for i := range r.processes {
			if status, _, err := r.requestController(ctx, i, "GET", api.PathReady, nil); err == nil && status == 200 {
				ready++
			}
		}
		if ready == len(r.processes) {
			return nil
		}
		if err := sleep(ctx, checkInterval); err != nil {
			return err
		}
	}
	return errors.New("the controllers do not get ready")
}

// requestController sends a request to a controller.
func (r *experimentRun) requestController(ctx context.Context, i int, method, path string, body []byte) (int, []byte, error) {
	return request(ctx, r.client, method, r.fleet.APIAddr(i)+path, "", body)
}

// request sends a request, with a key if there is one, and reads the answer.
func request(ctx context.Context, client *http.Client, method, target, key string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+target, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	return res.StatusCode, data, err
}

// maxResponseBytes bounds what is read of an answer.
const maxResponseBytes = 1 << 20

// fill submits what is to run all the time, and waits until nearly all of it does.
func (r *experimentRun) fill(ctx context.Context) error {
	begun := time.Now()
	r.fleet.Do(r.installHooks)
	r.fleet.Do(r.submitFill)
	const nearly = 0.98
	want := int(nearly * float64(r.experiment.targetTasks()))
	for end := begun.Add(seconds(r.experiment.FillWithin)); ; {
		running := 0
		r.fleet.Do(func(sim *emulator.Simulation) { running = sim.Checker.RunningTasks() })
		if running >= want {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d tasks run after %v s", running, r.experiment.targetTasks(), r.experiment.FillWithin)
		}
		if err := sleep(ctx, checkInterval); err != nil {
			return err
		}
	}
	r.result.FillSeconds = time.Since(begun).Seconds()
	slog.Info("target load reached", "tasks", r.experiment.targetTasks(), "after_s", r.result.FillSeconds)
	r.fleet.Do(r.submitStreams)
	return nil
}

// installHooks has the world tell what it sees.
func (r *experimentRun) installHooks(sim *emulator.Simulation) {
	sim.Checker.OnStart = func(at, submitted time.Duration, id api.TaskID, s *api.JobSpec) {
		r.startRates[int(at/time.Second)]++
		if r.measureStart != 0 && at >= r.measureStart && at < r.measureEnd {
			r.result.Starts++
		}
		if r.startedTasks[id] {
			return
		}
		r.startedTasks[id] = true
		name := "start " + string(s.Class)
		if r.measureStart == 0 || submitted < r.measureStart {
			name = "fill " + name
		}
		r.latencies.add(name, at-submitted)
		for _, f := range r.faults {
			if f.FirstUrgentStart == 0 && submitted >= f.injectedAt && s.Priority == api.Production {
				f.FirstUrgentStart = (at - f.injectedAt).Seconds()
			}
		}
	}
	sim.Users.OnResponse = func(what emulator.RequestKind, took time.Duration, status int) {
		if r.measureStart == 0 {
			return
		}
		switch {
		case status == 200 || status == 201:
			r.latencies.add(string(what), took)
		case status == 0:
			r.latencies.add(string(what)+" unanswered", took)
		default:
			r.latencies.add(string(what)+" refused", took)
		}
	}
}

// measurement is all that is read at the begin and at the end of the window.
type measurement struct {
	takenAt     time.Time
	traffic     emulator.TrafficSnapshot
	store       emulator.StoreCounts
	controllers []usage
	emulator    usage
}

func (r *experimentRun) takeMeasurement() measurement {
	m := measurement{takenAt: time.Now(), traffic: r.fleet.Traffic.Snapshot(), store: r.fleet.StoreCounts(), emulator: usageOf(os.Getpid())}
	for _, p := range r.processes {
		m.controllers = append(m.controllers, p.usage())
	}
	return m
}

// measure counts for the time of the window, in which faults happen.
func (r *experimentRun) measure(ctx context.Context) error {
	window := seconds(r.experiment.Measure)
	for _, p := range r.processes {
		p.resetPeak()
	}
	r.fleet.Do(func(sim *emulator.Simulation) { r.measureStart, r.measureEnd = sim.Now, sim.Now+window })
	before := r.takeMeasurement()
	r.scheduleFaults()
	changes := make(chan error, 1)
	go func() { changes <- r.changeSettings(ctx, window) }()
	for end := time.Now().Add(window); time.Now().Before(end); {
		if err := sleep(ctx, checkInterval); err != nil {
			return err
		}
		r.fleet.Do(r.watchFaults)
	}
	after := r.takeMeasurement()
	if err := <-changes; err != nil {
		return err
	}
	r.fillResult(ctx, before, after)
	return nil
}

// fillResult fills in the result.
func (r *experimentRun) fillResult(ctx context.Context, before, after measurement) {
	res := r.result
	res.Window = after.takenAt.Sub(before.takenAt).Seconds()
	res.Traffic = after.traffic.Since(before.traffic)
	res.StoreCounts = emulator.StoreCounts{Requests: after.store.Requests - before.store.Requests, Writes: after.store.Writes - before.store.Writes, Over: after.store.Over - before.store.Over}
	res.Stored = r.fleet.StoredByKind()
	res.EmulatorCPU = (after.emulator.CPU - before.emulator.CPU).Seconds() / res.Window
	res.EmulatorMB = float64(after.emulator.RSS) / (1 << 20)
	for i, p := range r.processes {
		u := controllerUsage{Label: p.label, Cores: (after.controllers[i].CPU - before.controllers[i].CPU).Seconds() / res.Window, PeakMB: float64(after.controllers[i].PeakRSS) / (1 << 20)}
		r.readControllerStats(ctx, i, &u)
		res.CPU += u.Cores
		res.ControllerUsage = append(res.ControllerUsage, u)
		p.mu.Lock()
		res.UnexpectedExits += p.unexpectedExits
		p.mu.Unlock()
	}
	reports, direct := res.Traffic.Flows[emulator.FlowHeartbeats], res.Traffic.Flows[emulator.FlowCommands]
	each := float64(res.Machines) * res.Window
	res.Worker = workerTraffic{float64(reports.Messages) / each, float64(direct.Messages) / each,
		float64(reports.Sent+reports.Received+direct.Sent+direct.Received) / each}
	r.fleet.Do(func(sim *emulator.Simulation) {
		res.Running = sim.Checker.RunningTasks()
		res.BestSecond, res.BestTen = r.startRates.best()
		for ref, at := range r.submittedAt {
			if accepted, ok := sim.Users.AcceptedAt[ref]; ok && at >= r.measureStart {
				r.latencies.add("accepted", accepted-at)
			}
		}
		res.Jobs = r.jobCount
		res.Latency = r.latencies.describe()
		for _, f := range r.faults {
			res.Faults = append(res.Faults, f.faultResult)
		}
	})
}

// readControllerStats asks a controller for its own account of its time and for its partitions.
func (r *experimentRun) readControllerStats(ctx context.Context, i int, u *controllerUsage) {
	var metrics struct {
		Work map[string]float64 `json:"work_s"`
	}
	if _, body, err := r.requestController(ctx, i, "GET", "/admin/v1/metrics", nil); err == nil && json.Unmarshal(body, &metrics) == nil {
		u.Work = metrics.Work
	}
	var parts []struct {
		Owner string `json:"owner"`
	}
	if _, body, err := r.requestController(ctx, i, "GET", "/admin/v1/parts", nil); err == nil && json.Unmarshal(body, &parts) == nil {
		for _, p := range parts {
			if p.Owner == u.Label {
				u.Partitions++
			}
		}
	}
}

// scheduleFaults has the window's faults happen at their times.
func (r *experimentRun) scheduleFaults() {
	r.fleet.Do(func(sim *emulator.Simulation) {
		for _, f := range r.experiment.Faults {
			sim.After(seconds(f.At), func() { r.injectFault(sim, f) })
		}
	})
}

func (r *experimentRun) injectFault(sim *emulator.Simulation, f faultSpec) {
	_, _, token := sim.MachinesAboveToken(0)
	r.faults = append(r.faults, &faultWatch{faultResult: faultResult{What: f.What, At: f.At}, injectedAt: sim.Now, tokenBefore: token})
	slog.Info("fault injected", "what", f.What)
	switch f.What {
	case faultCrash:
		sim.Checker.FaultUntil(sim.Now + seconds(f.Back))
		count := f.Count
		if count == 0 {
			count = len(r.processes)
		}
		for _, p := range r.processes[:min(count, len(r.processes))] {
			p.kill()
			sim.After(seconds(f.Back), func() {
				if err := p.start(); err != nil {
					slog.Error("controller restart failed", "err", err)
				}
			})
		}
	case faultCutRegion:
		sim.CutRegion(regionName(f.Region), seconds(f.For), f.Hold)
	}
}

// watchFaults notes when machines are commanded under newer tokens after all controllers ended.
func (r *experimentRun) watchFaults(sim *emulator.Simulation) {
	for _, f := range r.faults {
		if f.What != faultCrash || f.AllCommanded != 0 {
			continue
		}
		recommanded, all, _ := sim.MachinesAboveToken(f.tokenBefore)
		since := (sim.Now - f.injectedAt).Seconds()
		if f.HalfCommanded == 0 && 2*recommanded >= all {
			f.HalfCommanded = since
		}
		if f.MostCommanded == 0 && 10*recommanded >= 9*all {
			f.MostCommanded = since
		}
		if recommanded == all {
			f.AllCommanded = since
		}
	}
}

// changeSettings changes the operators' settings through the administration API, by turns at all
// controllers, and times until every controller acts by each change.
func (r *experimentRun) changeSettings(ctx context.Context, window time.Duration) error {
	if r.experiment.SettingsChangeRate <= 0 {
		return nil
	}
	tick := time.NewTicker(time.Duration(float64(time.Second) / r.experiment.SettingsChangeRate))
	defer tick.Stop()
	end := time.After(window)
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return nil
		case <-end:
			return nil
		case <-tick.C:
			r.changeSettingsOnce(ctx, i%len(r.processes), i)
		}
	}
}

// changeSettingsOnce makes one change and waits until it is in force everywhere.
func (r *experimentRun) changeSettingsOnce(ctx context.Context, at, round int) {
	var now map[string]any
	if status, body, err := r.requestController(ctx, at, "GET", "/admin/v1/settings", nil); err != nil || status != 200 || json.Unmarshal(body, &now) != nil {
		return
	}
	now["idle_hold_s"] = 3600 + round%2
	body, err := json.Marshal(now)
	if err != nil {
		return
	}
	begun := time.Now()
	status, body, err := r.requestController(ctx, at, "PUT", "/admin/v1/settings", body)
	var made struct {
		Revision uint64 `json:"revision"`
	}
	if err != nil || status != 200 || json.Unmarshal(body, &made) != nil {
		return
	}
	for i := range r.processes {
		for time.Since(begun) < settingsTimeout {
			var is struct {
				Revision uint64 `json:"revision"`
			}
			if _, body, err := r.requestController(ctx, i, "GET", "/admin/v1/settings", nil); err == nil && json.Unmarshal(body, &is) == nil && is.Revision >= made.Revision {
				break
			}
			if sleep(ctx, settingsPollInterval) != nil {
				return
			}
		}
	}
	took := time.Since(begun)
	r.fleet.Do(func(*emulator.Simulation) { r.latencies.add("settings in force everywhere", took) })
}
