package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"basaltwall/api"
	"basaltwall/internal/emulator"
)

// agentCmd measures the cost of the protocol for one worker: an emulated worker in a process of its own,
// which a stub controller keeps busy. The cost of fetching images, running tasks and saving checkpoints is
// not included.
type agentCmd struct {
	Tasks  int           `default:"27" help:"Number of running tasks."`
	Starts float64       `default:"0.6" help:"Task starts per second."`
	For    time.Duration `default:"30s" help:"Duration of the measurement, at most ten minutes."`
	Out    string        `default:"docs/capacity" type:"existingdir" help:"Folder of the results."`
	Child  string        `hidden:"" help:"The controller's address, in the worker's own process."`
}

// agentResult is the measured cost of one worker.
type agentResult struct {
	At         string  `json:"at"`
	Tasks      int     `json:"tasks"`
	Starts     float64 `json:"starts_a_second"`
	Window     float64 `json:"window_s"`
	Cores      float64 `json:"cores"`
	ResidentMB float64 `json:"resident_mb"`
	Heartbeats float64 `json:"reports_a_second"`
	Bytes      float64 `json:"bytes_a_second"`
}

// Durations of a measurement.
const (
	maxAgentTime = 10 * time.Minute
	agentSettle  = 10 * time.Second // until the tasks run
)

// errNoHeartbeats is returned if the worker sent no heartbeats during the measurement.
var errNoHeartbeats = errors.New("the worker sent no heartbeats")

// Run starts the worker's process, keeps it busy and saves the measurement.
func (c *agentCmd) Run(ctx context.Context) error {
	if c.Child != "" {
		return c.runWorker(ctx)
	}
	c.For = min(c.For, maxAgentTime)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	stub := &stubController{targetTasks: c.Tasks}
	server := &http.Server{Handler: stub}
	go func() { _ = server.Serve(ln) }()
	defer func() { _ = server.Close() }()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(ctx, self, "agent", "--child", ln.Addr().String(), "--tasks", strconv.Itoa(c.Tasks), "--starts", fmt.Sprint(c.Starts), "--out", c.Out)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	defer func() { _ = cmd.Wait() }()
	defer func() { _ = cmd.Process.Kill() }()
	if err := sleep(ctx, agentSettle); err != nil {
		return err
	}
	r, err := c.measure(ctx, cmd.Process.Pid, stub)
	if err != nil {
		return err
	}
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	slog.Info("worker measured", "cores", r.Cores, "mb", r.ResidentMB, "reports_a_second", r.Heartbeats, "bytes_a_second", r.Bytes)
	return os.WriteFile(filepath.Join(c.Out, agentFile), append(data, '\n'), 0o644)
}

// measure returns the resources and the traffic of the worker's process over the requested duration.
func (c *agentCmd) measure(ctx context.Context, pid int, stub *stubController) (agentResult, error) {
	usageBefore, countsBefore, begun := usageOf(pid), stub.count(), time.Now()
	if err := sleep(ctx, c.For); err != nil {
		return agentResult{}, err
	}
	usageAfter, countsAfter, window := usageOf(pid), stub.count(), time.Since(begun).Seconds()
	if countsAfter.heartbeats == countsBefore.heartbeats {
		return agentResult{}, errNoHeartbeats
	}
	return agentResult{
		At:         time.Now().UTC().Format(time.RFC3339),
		Tasks:      c.Tasks,
		Starts:     c.Starts,
		Window:     window,
		Cores:      (usageAfter.CPU - usageBefore.CPU).Seconds() / window,
		ResidentMB: float64(usageAfter.PeakRSS) / (1 << 20),
		Heartbeats: float64(countsAfter.heartbeats-countsBefore.heartbeats) / window,
		Bytes:      float64(countsAfter.bytes-countsBefore.bytes) / window,
	}, nil
}

// agentFile is the file of the result in the folder of results.
const agentFile = "agent/agent.json"

// runWorker runs a simulation with one machine, whose controller is the stub in the parent process.
func (c *agentCmd) runWorker(ctx context.Context) error {
	e := &experiment{Name: "agent", Controllers: 1, Machines: 1, Zones: 1, Regions: 1, Teams: 1, Machine: machineSpec{CPUs: 64, MemGB: 256, CacheGB: 100, Fetch: 1},
		Workers: workerTimes{Report: 3, Lease: 31, GangWait: 35, GangPeer: 6, Cancel: 61}, State: storeLimits{RPS: 150, WriteRPS: 50, ValueKB: 8, TxnOps: 48},
		Cloud: cloudLimits{RPS: 10, ListLag: 5}, Limits: controllerLimits{CPUShare: 0.36, MemoryMB: 342, FDLimit: 2000}}
	p := deploymentConfig(e)
	p.ClockInterval = 50 * time.Millisecond
	fleet, err := emulator.StartFleet(ctx, p)
	if err != nil {
		return err
	}
	fleet.WithSimulation(func(sim *emulator.Simulation) {
		fleet.Configs[0].APIAddr = c.Child
		sim.Users.AddSpec(&api.JobSpec{Ref: agentJob, Team: "team-0", Kind: api.Array, Priority: api.Normal, Tasks: 100_000, CPUs: 0.5, MemGB: 0.5, Image: "img"}, seconds(float64(c.Tasks)/c.Starts))
	})
	<-ctx.Done()
	return nil
}

// agentJob is the ID of the job whose tasks the worker runs.
const agentJob = "run-000001"
