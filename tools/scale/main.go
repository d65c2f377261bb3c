// Command scale measures the service at large size on one machine: controllers are real processes
// of the shipped program; emulators of workers, users, the key-value store and the cloud share one
// process on loopback. What it measures lies in docs/capacity, and docs/CAPACITY.md is made from that.
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

// cli are the subcommands.
var cli struct {
	Run     runCmd     `cmd:"" help:"Play experiments and keep their results."`
	Page    pageCmd    `cmd:"" help:"Write the tables and plots of the capacity page anew from the results."`
	Agent   agentCmd   `cmd:"" help:"Measure what the protocol costs one worker, alone in a process."`
	Tenants tenantsCmd `cmd:"" help:"Measure a hosted service with a tenant that floods it."`
}

// runCmd plays experiments.
type runCmd struct {
	Program string   `default:"target/basaltwall" type:"existingfile" help:"The program to measure."`
	Out     string   `default:"docs/capacity" type:"existingdir" help:"Where results are kept."`
	Label   string   `required:"" help:"Names the sources that are measured, in the results' names: before, say."`
	Files   []string `arg:"" type:"existingfile" help:"Experiments (TOML)."`
}

// errViolation ends a run in which a rule was broken.
var errViolation = errors.New("a rule was broken")

// Run plays the experiments one after the other.
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
			if err := c.keep(res); err != nil {
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

// keep saves a run's result and logs it.
func (c *runCmd) keep(res *result) error {
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
	k := kong.Parse(&cli, kong.Name("scale"), kong.Description("Measures the service at large size on loopback."), kong.BindTo(ctx, (*context.Context)(nil)))
	k.FatalIfErrorf(k.Run())
}
