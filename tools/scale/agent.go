package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"basaltwall/api"
	"basaltwall/internal/emulator"
)

// agentCmd measures what the protocol costs one worker: a hollow worker alone in a process, beside
// a controller that only keeps it busy. Fetching, running and saving tasks are not in it.
type agentCmd struct {
	Tasks  int           `default:"27" help:"Tasks that run at once."`
	Starts float64       `default:"0.6" help:"Task starts a second."`
	For    time.Duration `default:"30s" help:"How long it is measured, ten minutes at most."`
	Out    string        `default:"docs/capacity" type:"existingdir" help:"Where the result is kept."`
	Child  string        `hidden:"" help:"The controller's address, in the worker's own process."`
}

// agentResult is what a worker alone uses.
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

// Run starts the worker's process and keeps it busy.
func (c *agentCmd) Run(ctx context.Context) error {
	if c.Child != "" {
		return c.runWorker(ctx)
	}
	c.For = min(c.For, 10*time.Minute)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	stubController := &stubControllerHandler{targetTasks: c.Tasks}
	server := &http.Server{Handler: stubController}
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
	if err := sleep(ctx, 10*time.Second); err != nil { // until the tasks run
		return err
	}
	before, countsBefore, begun := usageOf(cmd.Process.Pid), stubController.count(), time.Now()
	if err := sleep(ctx, c.For); err != nil {
		return err
	}
	after, countsAfter, window := usageOf(cmd.Process.Pid), stubController.count(), time.Since(begun).Seconds()
	if countsAfter.heartbeats == countsBefore.heartbeats {
		return fmt.Errorf("the worker does not report")
	}
	r := agentResult{At: time.Now().UTC().Format(time.RFC3339), Tasks: c.Tasks, Starts: c.Starts, Window: window, Cores: (after.CPU - before.CPU).Seconds() / window,
		ResidentMB: float64(after.PeakRSS) / (1 << 20), Heartbeats: float64(countsAfter.heartbeats-countsBefore.heartbeats) / window, Bytes: float64(countsAfter.bytes-countsBefore.bytes) / window}
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	slog.Info("worker measured", "cores", r.Cores, "mb", r.ResidentMB, "reports_a_second", r.Heartbeats, "bytes_a_second", r.Bytes)
	return os.WriteFile(filepath.Join(c.Out, agentFile), append(data, '\n'), 0o644)
}

// agentFile is where the result lies, beside the runs' results.
const agentFile = "agent/agent.json"

// runWorker is the worker's process: a world with one machine, whose controller is elsewhere.
func (c *agentCmd) runWorker(ctx context.Context) error {
	e := &experiment{Name: "agent", Controllers: 1, Machines: 1, Zones: 1, Regions: 1, Teams: 1, Machine: machineSpec{CPUs: 64, MemGB: 256, CacheGB: 100, Fetch: 1},
		Workers: workerTimes{3, 31, 35, 6, 61}, State: storeLimits{150, 50, 8, 48}, Cloud: cloudLimits{10, 5}, Limits: controllerLimits{0.36, 342, 2000}}
	p := deploymentConfig(e)
	p.ClockInterval = 50 * time.Millisecond
	fleet, err := emulator.StartFleet(ctx, p)
	if err != nil {
		return err
	}
	fleet.Do(func(sim *emulator.Simulation) {
		fleet.Configs[0].APIAddr = c.Child
		sim.Users.AddSpec(&api.JobSpec{Ref: agentJob, Team: "team-0", Kind: api.Array, Priority: api.Normal, Tasks: 100_000, CPUs: 0.5, MemGB: 0.5, Image: "img"}, seconds(float64(c.Tasks)/c.Starts))
	})
	<-ctx.Done()
	return nil
}

// agentJob is the job whose tasks the worker runs.
const agentJob = "run-000001"

// stubControllerHandler answers a worker's reports so that it always runs so many tasks.
type stubControllerHandler struct {
	targetTasks int

	mu       sync.Mutex
	nextTask int
	counts   agentCounts
}

type agentCounts struct{ heartbeats, bytes int }

func (b *stubControllerHandler) count() agentCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

// headerBytes is about what a request's and an answer's headers take beside the bodies.
const headerBytes = 250

// ServeHTTP answers a report: ended tasks are reaped, others started in their place.
func (b *stubControllerHandler) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var report api.Heartbeat
	if err != nil || json.Unmarshal(body, &report) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	o := api.CommandBatch{Token: 1}
	active := 0
	for _, t := range report.Tasks {
		if t.State == api.TaskExited {
			o.Commands = append(o.Commands, api.Command{Op: api.OpReap, Task: t.Task, Attempt: t.Attempt})
		} else {
			active++
		}
	}
	starting := 3 // at once, so that they do not end at once
	for ; active < b.targetTasks && starting > 0; starting, active = starting-1, active+1 {
		o.Commands = append(o.Commands, api.Command{Op: api.OpStart, Task: fmt.Sprintf("%s/%d", agentJob, b.nextTask), Attempt: 1})
		b.nextTask++
	}
	answer, err := json.Marshal(o)
	if err != nil {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	b.counts.heartbeats++
	b.counts.bytes += len(body) + len(answer) + headerBytes
	_, _ = rw.Write(answer)
}
