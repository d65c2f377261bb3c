// Command scale measures large deployments on one machine: the controllers are processes of the released
// program; emulators of workers, users, the key-value store and the cloud share one process on loopback.
// It writes results to docs/capacity and generates the tables of docs/CAPACITY.md from them.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// cli has the subcommands.
var cli struct {
	Run     runCmd     `cmd:"" help:"Run experiments and save their results."`
	Page    pageCmd    `cmd:"" help:"Regenerate the tables and plots of the capacity page from the results."`
	Agent   agentCmd   `cmd:"" help:"Measure the cost of the protocol for one worker in a process of its own."`
	Tenants tenantsCmd `cmd:"" help:"Measure a hosted service with a tenant that floods submissions."`
}

// runCmd runs experiments.
type runCmd struct {
	Program string   `default:"target/basaltwall" type:"existingfile" help:"Program to measure."`
	Out     string   `default:"docs/capacity" type:"existingdir" help:"Folder of the results."`
	Label   string   `required:"" help:"Label of the measured version, part of the results' file names."`
	Files   []string `arg:"" type:"existingfile" help:"Experiment files (TOML)."`
}

// errViolation is returned for a run that broke an invariant.
var errViolation = errors.New("invariant broken")

// Run runs the experiments in order.
func (c *runCmd) Run(ctx context.Context) error {
	var all []*experiment
	for _, f := range c.Files {
		e, err := readExperiment(f)
		if err != nil {
			return err
		}
		all = append(all, e)
	}
	var failed error
	for _, e := range all {
		for i, variant := range e.variants() {
			res, err := runExperiment(ctx, variant, c.Program, c.Label)
			if res == nil {
				return fmt.Errorf("%s: %w", variant.Name, err)
			}
			if e.Vary != nil {
				res.Vary, res.Value = e.Vary.Key, e.Vary.Values[i]
			}
			if err := c.saveResult(res); err != nil {
				return err
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if len(res.Violations) > 0 {
				return fmt.Errorf("%s: %w: %s", variant.Name, errViolation, res.Violations[0])
			}
			failed = errors.Join(failed, err)
		}
	}
	return failed
}

// saveResult saves a run's result and logs it.
func (c *runCmd) saveResult(res *result) error {
	file, err := res.save(c.Out)
	if err != nil {
		return err
	}
	slog.Info("run finished", "experiment", res.Name, "result", file, "cores", res.CPU, "starts", res.Starts, "broken", len(res.Violations), "failed", res.Failed)
	return nil
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k := kong.Parse(&cli, kong.Name("scale"), kong.Description("Measures large deployments on loopback."), kong.BindTo(ctx, (*context.Context)(nil)))
	k.FatalIfErrorf(k.Run())
}
