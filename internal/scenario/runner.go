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

// This file plays a scenario.

// reservationCheckLead is how long before the end it is checked that clients' reservations are listed.
const reservationCheckLead = 10 * time.Second

// simulationSeed is that of every scenario's simulation.
const simulationSeed = 1

// TraceLogs makes Run write the controllers' logs with the scenario's time. It is
// for looking at one scenario alone.
var TraceLogs bool

// Result is what a scenario came to.
type Result struct {
	Problems   []string // rules that were broken and expectations that were not met
	Simulation *emulator.Simulation
}

// runner plays one scenario.
type runner struct {
	sim             *emulator.Simulation
	configs         []*config.Config
	files           map[string][]byte
	end             time.Duration
	expected        expectations
	finiteJobs      []api.JobID     // of work that ends
	initialMachines int             // machines that are up at the start
	depots          map[string]bool // that offices ask of

	problems []string
}

// Run plays a scenario. An error means that its script can't be played.
func Run(data []byte) (Result, error) { return run(data, nil) }

// run plays a scenario; before it begins, onReady is told of its simulation, if set.
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

// newRunner makes the deployment that a script describes.
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

// play runs the simulation to its end.
func (r *runner) play() {
	for _, depot := range slices.Sorted(maps.Keys(r.depots)) {
		r.sim.After(r.end-reservationCheckLead, func() { r.sim.ReservationClients.CheckListed(depot) })
	}
	r.sim.StartControllers()
	r.sim.Run(r.end)
	r.sim.ReservationClients.CheckLog()
	r.checkGranted()
}

// traceLogs writes the logs to standard error, with the simulation's time.
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
