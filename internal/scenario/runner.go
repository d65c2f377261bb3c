package scenario

import (
	"fmt"
	"log/slog"
	"maps"
	"os"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/config"
	"basaltwall/internal/emulator"
)

// This file runs a scenario.

// reservationCheckLead is the time between the check that clients' reservations are listed and the end.
const reservationCheckLead = 10 * time.Second

const simulationSeed = 1

// TraceLogs makes Run write the controllers' logs to standard error, with simulated time.
var TraceLogs bool

// Result is the result of a scenario.
type Result struct {
	Problems   []string // broken invariants and unmet expectations
	Simulation *emulator.Simulation
}

type runner struct {
	sim             *emulator.Simulation
	configs         []*config.Config
	files           map[string][]byte
	end             time.Duration
	expected        expectations
	finiteJobs      []api.JobID     // arrays and gangs
	initialMachines int             // machines that are up at the start
	depots          map[string]bool // depots with reservation requests

	problems []string
}

// Run runs a scenario. It returns an error if its script is invalid.
func Run(data []byte) (Result, error) { return run(data, nil) }

// run runs a scenario. It passes the simulation to onReady, unless that is nil, before the start.
func run(data []byte, onReady func(*emulator.Simulation)) (Result, error) {
	s, err := parseScript(data)
	if err != nil {
		return Result{}, err
	}
	r, err := newRunner(s)
	if err != nil {
		return Result{}, err
	}
	if TraceLogs {
		r.traceLogs()
	}
	for _, l := range s.lines {
		if err := r.addStep(l); err != nil {
			return Result{}, fmt.Errorf("%s: %w", l, err)
		}
	}
	if r.end == 0 {
		return Result{}, errNoEnd
	}
	if onReady != nil {
		onReady(r.sim)
	}
	r.play()
	r.problems = append(r.problems, r.sim.Checker.Violations...)
	if err := r.checkExpectations(); err != nil {
		return Result{}, err
	}
	return Result{Problems: r.problems, Simulation: r.sim}, nil
}

// newRunner sets up the deployment that a script describes.
func newRunner(s script) (*runner, error) {
	configs, err := s.configs()
	if err != nil {
		return nil, err
	}
	r := &runner{
		sim:      emulator.NewSimulation(simulationSeed, configs),
		configs:  configs,
		files:    s.files,
		expected: newExpectations(),
		depots:   map[string]bool{},
	}
	if s.has("tenant") {
		r.sim.EnableHosting()
	}
	r.sim.Cloud.Types = s.machineTypes(configs[0].Deployment.Zones)
	return r, nil
}

func (r *runner) play() {
	for _, depot := range slices.Sorted(maps.Keys(r.depots)) {
		r.sim.After(r.end-reservationCheckLead, func() { r.sim.SkipClients.CheckListed(depot) })
	}
	r.sim.StartControllers()
	r.sim.Run(r.end)
	r.sim.SkipClients.CheckLog()
	r.checkGranted()
}

// traceLogs writes the logs to standard error, with simulated time.
func (r *runner) traceLogs() {
	useSimulatedTime := func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Float64(slog.TimeKey, r.sim.Now.Seconds())
		}
		return a
	}
	options := &slog.HandlerOptions{ReplaceAttr: useSimulatedTime}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, options)))
}

func (r *runner) problemf(format string, values ...any) {
	r.problems = append(r.problems, fmt.Sprintf(format, values...))
}
