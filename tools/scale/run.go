package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"basaltwall/api"
	"basaltwall/internal/emulator"
)

// experimentRun is the state of a run of an experiment.
type experimentRun struct {
	experiment *experiment
	fleet      *emulator.Fleet
	processes  []*process
	result     *result
	client     *http.Client

	// The fields below are accessed only within fleet.Do.
	latencies    latencies
	startRates   startsBySecond
	startedTasks map[api.TaskID]bool         // tasks that have started
	submittedAt  map[api.JobID]time.Duration // time of the first submission
	measureStart time.Duration               // 0 before the measurement
	measureEnd   time.Duration
	jobCount     int
	faults       []*faultWatch
}

// Durations and thresholds of a run.
const (
	readyTimeout    = 60 * time.Second
	checkInterval   = 200 * time.Millisecond
	membershipDelay = 3 * time.Second // until machines have sent heartbeats to the ready controllers
	filledShare     = 0.98            // share of the target tasks at which the fill ends
)

// runExperiment performs one run of an experiment.
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

// cluster returns a client for the run's controllers.
func (r *experimentRun) cluster() *cluster {
	c := &cluster{client: r.client}
	for i := range r.fleet.Configs {
		c.addresses = append(c.addresses, r.fleet.APIAddr(i))
	}
	return c
}

// killControllers kills all processes that were started.
func (r *experimentRun) killControllers() {
	for _, p := range r.processes {
		p.kill()
	}
}

// runPhases performs the phases of a run: startup, fill, settling and measurement.
func (r *experimentRun) runPhases(ctx context.Context) error {
	if err := awaitReady(ctx, r.cluster(), readyTimeout, checkInterval); err != nil {
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

// fill submits the base load and waits until nearly all of its tasks run.
func (r *experimentRun) fill(ctx context.Context) error {
	begun := time.Now()
	r.fleet.WithSimulation(r.installHooks)
	r.fleet.WithSimulation(r.submitFill)
	want := int(filledShare * float64(r.experiment.targetTasks()))
	for end := begun.Add(seconds(r.experiment.FillWithin)); ; {
		running := 0
		r.fleet.WithSimulation(func(sim *emulator.Simulation) { running = sim.Checker.RunningTasks() })
		if running >= want {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d tasks are running after %v s", running, r.experiment.targetTasks(), r.experiment.FillWithin)
		}
		if err := sleep(ctx, checkInterval); err != nil {
			return err
		}
	}
	r.result.FillSeconds = time.Since(begun).Seconds()
	slog.Info("target load reached", "tasks", r.experiment.targetTasks(), "after_s", r.result.FillSeconds)
	r.fleet.WithSimulation(r.submitStreams)
	return nil
}

// installHooks registers the observers of task starts and responses.
func (r *experimentRun) installHooks(sim *emulator.Simulation) {
	sim.Checker.OnStart = r.observeStart
	sim.Users.OnResponse = r.observeResponse
}

// observeStart counts a task's start, and records the latency of its first start.
func (r *experimentRun) observeStart(at, submitted time.Duration, id api.TaskID, spec *api.JobSpec) {
	r.startRates[int(at/time.Second)]++
	if r.measureStart != 0 && at >= r.measureStart && at < r.measureEnd {
		r.result.Starts++
	}
	if r.startedTasks[id] {
		return
	}
	r.startedTasks[id] = true
	name := latencyStartPrefix + string(spec.Class)
	if r.measureStart == 0 || submitted < r.measureStart {
		name = latencyFillPrefix + name
	}
	r.latencies.add(name, at-submitted)
	for _, f := range r.faults {
		if f.FirstUrgentStart == 0 && submitted >= f.injectedAt && spec.Priority == api.Production {
			f.FirstUrgentStart = (at - f.injectedAt).Seconds()
		}
	}
}

// observeResponse records the latency of a response to a user.
func (r *experimentRun) observeResponse(kind emulator.RequestKind, took time.Duration, status int) {
	if r.measureStart == 0 {
		return
	}
	name := string(kind)
	switch status {
	case http.StatusOK, http.StatusCreated:
	case 0:
		name += " unanswered"
	default:
		name += " refused"
	}
	r.latencies.add(name, took)
}
