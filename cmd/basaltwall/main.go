// Command basaltwall runs a controller of the scheduler, or checks its
// settings file. Everything else is in the packages.
package main

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"basaltwall/admin"
	"basaltwall/config"
	"basaltwall/server"
	"basaltwall/tenant"
)

type serveCmd struct {
	Config       string `required:"" placeholder:"FILE" help:"The platform's settings file."`
	Hosted       bool   `help:"Serve tenants, who bring keys."`
	AdminKeyFile string `type:"existingfile" env:"BASALTWALL_ADMIN_KEY_FILE" placeholder:"FILE" help:"A file with the operators' first key, for a hosted service."`
}

func (c *serveCmd) Run() error {
	cfg, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	if c.Hosted {
		if cfg.Hosted, err = c.hosted(); err != nil {
			return err
		}
		if ops := cfg.Deployment.State.TxnOps; ops < config.MinHostedTxnOps {
			return fmt.Errorf("settings: deployment.state.txn_ops: %d is less than the %d that a hosted service needs", ops, config.MinHostedTxnOps)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// The collector is told of the limit, so that it works harder rather than
	// let the process be killed.
	// Until then it runs seldom: memory is there to be used, processor time is not.
	if mb := cfg.Deployment.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb * 0.7 * (1 << 20)))
		debug.SetGCPercent(400)
	}
	// One thread waits in the kernel for the server's loop and must not hold up
	// the owner; more than the cores could run only get in each other's way.
	if share := cfg.Deployment.Limits.CPUShare; share > 0 {
		runtime.GOMAXPROCS(max(2, int(math.Ceil(share))))
	}
	return server.New(cfg).Run(ctx)
}

// hosted reads what a hosted service starts with.
func (c *serveCmd) hosted() (*config.Hosted, error) {
	if c.AdminKeyFile == "" {
		return nil, errors.New("--hosted needs --admin-key-file: see basaltwall new-key")
	}
	text, err := os.ReadFile(c.AdminKeyFile)
	if err != nil {
		return nil, fmt.Errorf("admin key: %w", err)
	}
	secret, err := tenant.ParseSecret(strings.TrimSpace(string(text)))
	if err != nil {
		return nil, fmt.Errorf("admin key: %s: %w", c.AdminKeyFile, err)
	}
	return &config.Hosted{AdminKey: secret.Key("admin")}, nil
}

type newKeyCmd struct{}

func (newKeyCmd) Run() error {
	var random [tenant.RandomBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		return fmt.Errorf("random bytes: %w", err)
	}
	_, secret, err := tenant.NewKey(random, "admin", 0, 0)
	if err != nil {
		return err
	}
	fmt.Println(secret)
	return nil
}

type checkCmd struct {
	File string `arg:"" help:"The settings file to check."`
}

func (c *checkCmd) Run() error {
	cfg, err := config.Load(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: settings of %s, one of %d controllers, are valid\n", c.File, cfg.Label, len(cfg.Peers)+1)
	return nil
}

type versionCmd struct{}

func (versionCmd) Run() error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version + " " + info.GoVersion
	}
	fmt.Println("basaltwall", version)
	return nil
}

type cli struct {
	Serve   serveCmd     `cmd:"" default:"withargs" help:"Run a controller."`
	Check   checkCmd     `cmd:"" help:"Check a settings file."`
	Version versionCmd   `cmd:"" help:"Print the version."`
	Admin   admin.Cmd    `cmd:"" help:"Ask a controller, or tell it operators' settings."`
	Job     admin.JobCmd `cmd:"" help:"Submit, show and cancel a tenant's jobs at a hosted service."`
	NewKey  newKeyCmd    `cmd:"" help:"Print a new key, for the file of operators' first key."`
}

func main() {
	level := slog.LevelInfo
	switch os.Getenv("LOG_LEVEL") {
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
	var commands cli
	ctx := kong.Parse(&commands, kong.Name("basaltwall"), kong.Description("A cluster scheduler."))
	run := ctx.Run
	if command, ok := strings.CutPrefix(ctx.Command(), "admin "); ok {
		run = func(...any) error { return commands.Admin.Do(command) }
	}
	if command, ok := strings.CutPrefix(ctx.Command(), "job "); ok {
		run = func(...any) error { return commands.Job.Do(command) }
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "basaltwall:", err)
		if e := kong.ExitCoder(nil); errors.As(err, &e) {
			os.Exit(e.ExitCode())
		}
		os.Exit(1)
	}
}
