// Command basaltwall runs a controller of the scheduler, checks a settings file, and is the command
// line of operators and tenants. Errors go to standard error; the exit code is 1, or the error's own.
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

// errNoAdminKey is returned if a hosted service is started without its operators' first key.
var errNoAdminKey = errors.New("--hosted needs --admin-key-file: see basaltwall new-key")

// serveCmd runs a controller.
type serveCmd struct {
	Config       string `required:"" placeholder:"FILE" help:"The platform's settings file."`
	Hosted       bool   `help:"Serve tenants, who bring keys."`
	AdminKeyFile string `type:"existingfile" env:"BASALTWALL_ADMIN_KEY_FILE" placeholder:"FILE" help:"A file with the operators' first key, for a hosted service."`
}

// Run serves until the process is interrupted or terminated.
func (c *serveCmd) Run() error {
	cfg, err := config.Load(c.Config)
	if err != nil {
		return err
	}
	if c.Hosted {
		if cfg.Hosted, err = c.hostedSettings(); err != nil {
			return err
		}
		if ops := cfg.Deployment.State.TxnOps; ops < config.MinHostedTxnOps {
			return &config.FieldError{Field: "deployment.state.txn_ops", Err: fmt.Errorf("%d is less than the %d that a hosted service needs", ops, config.MinHostedTxnOps)}
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	tuneRuntime(cfg)
	return server.New(cfg).Run(ctx)
}

const (
	// memoryLimitShare is the share of the process's memory from which on the garbage collector works
	// harder, so that the process is not killed for exceeding the rest.
	memoryLimitShare = 0.7
	// gcPercent lets the heap grow to five times its live size below that: memory may be used freely
	// there, while processor time is short.
	gcPercent = 400
	// minProcs leaves a thread to the controller while another waits in the kernel for the event loop.
	minProcs = 2
)

// tuneRuntime sets the garbage collector and the number of threads by the limits of the process.
func tuneRuntime(cfg *config.Config) {
	if mb := cfg.Deployment.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb * memoryLimitShare * (1 << 20)))
		debug.SetGCPercent(gcPercent)
	}
	// More threads than the cores can run only compete with each other.
	if share := cfg.Deployment.Limits.CPUShare; share > 0 {
		runtime.GOMAXPROCS(max(minProcs, int(math.Ceil(share))))
	}
}

// hostedSettings reads what a hosted service starts with.
func (c *serveCmd) hostedSettings() (*config.Hosted, error) {
	if c.AdminKeyFile == "" {
		return nil, errNoAdminKey
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

// newKeyCmd prints a new key.
type newKeyCmd struct{}

// Run prints the secret of the key, which is stored nowhere.
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

// checkCmd checks a settings file.
type checkCmd struct {
	File string `arg:"" help:"The settings file to check."`
}

// Run prints whose settings the file holds, if they are valid.
func (c *checkCmd) Run() error {
	cfg, err := config.Load(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: settings of %s, one of %d controllers, are valid\n", c.File, cfg.Label, len(cfg.Peers)+1)
	return nil
}

// versionCmd prints the version.
type versionCmd struct{}

// Run prints the versions of the module and of Go that the program was built with.
func (versionCmd) Run() error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version + " " + info.GoVersion
	}
	fmt.Println("basaltwall", version)
	return nil
}

// cli is the command line. Kong reads it by reflection: fields and tags are the flags and subcommands.
type cli struct {
	Serve   serveCmd     `cmd:"" default:"withargs" help:"Run a controller."`
	Check   checkCmd     `cmd:"" help:"Check a settings file."`
	Version versionCmd   `cmd:"" help:"Print the version."`
	Admin   admin.Cmd    `cmd:"" help:"Ask a controller, or tell it operators' settings."`
	Job     admin.JobCmd `cmd:"" help:"Submit, show and cancel a tenant's jobs at a hosted service."`
	NewKey  newKeyCmd    `cmd:"" help:"Print a new key, for the file of operators' first key."`
}

func main() {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel(os.Getenv("LOG_LEVEL"))})))
	var commands cli
	ctx := kong.Parse(&commands, kong.Name("basaltwall"), kong.Description("A cluster scheduler."))
	if err := run(ctx, &commands); err != nil {
		fmt.Fprintln(os.Stderr, "basaltwall:", err)
		if e := kong.ExitCoder(nil); errors.As(err, &e) {
			os.Exit(e.ExitCode())
		}
		os.Exit(1)
	}
}

// logLevel returns the level of that name; any other name is info.
func logLevel(name string) slog.Level {
	switch name {
	case "error":
		return slog.LevelError
	case "debug":
		return slog.LevelDebug
	}
	return slog.LevelInfo
}

// run runs the subcommand that was parsed. Those of package admin are told their path, because several
// share a type.
func run(ctx *kong.Context, commands *cli) error {
	if command, ok := strings.CutPrefix(ctx.Command(), "admin "); ok {
		return commands.Admin.Do(command)
	}
	if command, ok := strings.CutPrefix(ctx.Command(), "job "); ok {
		return commands.Job.Do(command)
	}
	return ctx.Run()
}
