// Command basaltwall runs a controller of the scheduler, checks a settings file, and provides the command
// line for operators and tenants. Errors are printed to standard error. The exit code is 1 unless the error
// defines another.
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

// errNoAdminKey is returned if a hosted service is started without the operators' first key.
var errNoAdminKey = errors.New("--hosted requires --admin-key-file; basaltwall new-key prints a new key")

type serveCmd struct {
	Config       string `required:"" placeholder:"FILE" help:"The settings file, provided by the platform."`
	Hosted       bool   `help:"Run a hosted service: tenants and operators authenticate with keys."`
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
			return &config.FieldError{Field: "deployment.state.txn_ops", Err: fmt.Errorf("%d is less than %d, the minimum for a hosted service", ops, config.MinHostedTxnOps)}
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	setRuntimeLimits(cfg)
	return server.New(cfg).Run(ctx)
}

const (
	// memoryLimitShare is the fraction of the memory limit used as the garbage collector's soft limit, so
	// that the process stays below the memory limit.
	memoryLimitShare = 0.7
	// gcPercent lets the heap grow to five times its live size below the soft limit, to save CPU time.
	gcPercent = 400
	// minProcs leaves a thread for the controller while the event loop blocks in the kernel.
	minProcs = 2
)

// setRuntimeLimits sets the garbage collector and the number of threads according to the limits of the
// process.
func setRuntimeLimits(cfg *config.Config) {
	if mb := cfg.Deployment.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb * memoryLimitShare * (1 << 20)))
		debug.SetGCPercent(gcPercent)
	}
	// More threads than CPU cores would compete with each other.
	if share := cfg.Deployment.Limits.CPUShare; share > 0 {
		runtime.GOMAXPROCS(max(minProcs, int(math.Ceil(share))))
	}
}

// hostedSettings reads the initial settings of a hosted service.
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

type newKeyCmd struct{}

// Run prints the secret of a new key. The secret is not stored.
func (newKeyCmd) Run() error {
	var random [tenant.KeyRandomBytes]byte
	if _, err := rand.Read(random[:]); err != nil {
		return fmt.Errorf("reading random bytes: %w", err)
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

// Run validates the settings file and prints the controller's label and the number of controllers.
func (c *checkCmd) Run() error {
	cfg, err := config.Load(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: valid settings of controller %s (%d controllers in total)\n", c.File, cfg.Label, len(cfg.Peers)+1)
	return nil
}

type versionCmd struct{}

// Run prints the versions of the module and of Go.
func (versionCmd) Run() error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version + " " + info.GoVersion
	}
	fmt.Println("basaltwall", version)
	return nil
}

// cli is the command line. Kong reads it by reflection: the fields and their tags define the flags and
// subcommands.
type cli struct {
	Serve   serveCmd          `cmd:"" default:"withargs" help:"Run a controller."`
	Check   checkCmd          `cmd:"" help:"Check a settings file."`
	Version versionCmd        `cmd:"" help:"Print the version."`
	Admin   admin.OperatorCmd `cmd:"" help:"Show and change a controller's state and settings, for operators."`
	Job     admin.JobCmd      `cmd:"" help:"Submit, show and cancel a tenant's jobs in a hosted service."`
	NewKey  newKeyCmd         `cmd:"" help:"Print a new key, for the operators' --admin-key-file."`
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

// logLevel returns the level named error or debug, and info for any other name.
func logLevel(name string) slog.Level {
	switch name {
	case "error":
		return slog.LevelError
	case "debug":
		return slog.LevelDebug
	}
	return slog.LevelInfo
}

// run runs the parsed subcommand. Subcommands of package admin get their path, because several share a
// type.
func run(ctx *kong.Context, commands *cli) error {
	if command, ok := strings.CutPrefix(ctx.Command(), "admin "); ok {
		return commands.Admin.Do(command)
	}
	if command, ok := strings.CutPrefix(ctx.Command(), "job "); ok {
		return commands.Job.Do(command)
	}
	return ctx.Run()
}
