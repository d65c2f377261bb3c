// Command live runs the emulators of the key-value store, the cloud and its
// workers in real time on loopback, to try controllers on one machine.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"

	"github.com/alecthomas/kong"

	"basaltwall/internal/emulator"
)

type cli struct {
	Dir         string `default:"." help:"Directory for the settings files."`
	Controllers int    `default:"3" help:"Number of controllers."`
	Machines    int    `default:"4" help:"Number of machines at the start."`
	Hosted      bool   `help:"Print the steps for trying a hosted service with tenants."`
}

// hostedInstructions lists the steps for trying a hosted service once its controllers run.
const hostedInstructions = `Add a tenant and create a key for it:
  export BASALTWALL_KEY_FILE=%[2]s/admin.key
  target/basaltwall admin --addr %[1]s tenant add kipper --display "Kipper & Mulde" --team red --rate 5 --burst 20
  target/basaltwall admin --addr %[1]s tenant key add kipper laptop
Save the secret from the output in %[2]s/kipper.key, then submit a job and list jobs as the tenant:
  export BASALTWALL_KEY_FILE=%[2]s/kipper.key
  echo '{"ref":"run-1","mestiere":"try","bottega":"red","forma":"sweep","urgenza":"normal","pezzi":8,"cores":1,"gpus":0,"ram_gb":1,"stampo":"img","image_gb":1,"together":false,"scatter":false,"avanzi":false,"stima_s":20,"tappa_s":0,"salvo_s":0}' > %[2]s/job.json
  target/basaltwall job --addr %[3]s submit %[2]s/job.json
  target/basaltwall job --addr %[3]s show run-1
  target/basaltwall job --addr %[3]s list
  target/basaltwall job --addr %[3]s usage
Create a pool of two licences as the operator, and submit a job whose tasks need one licence each:
  target/basaltwall admin --addr %[1]s --key-file %[2]s/admin.key pool put routing --size 2 --unit licences
  sed 's/run-1/run-2/; s/}$/,"gettoni":[{"nome":"routing","a_pezzo":1}]}/' %[2]s/job.json > %[2]s/licensed.json
  target/basaltwall job --addr %[3]s submit %[2]s/licensed.json
  target/basaltwall admin --addr %[1]s --key-file %[2]s/admin.key pool show routing
Suspend, resume and remove the tenant as the operator:
  export BASALTWALL_KEY_FILE=%[2]s/admin.key
  target/basaltwall admin --addr %[1]s tenant suspend kipper --why unpaid --drain 30s
  target/basaltwall admin --addr %[1]s tenant list
  target/basaltwall admin --addr %[1]s tenant resume kipper
  target/basaltwall admin --addr %[1]s tenant suspend kipper --why leaving --drain 0s
  target/basaltwall admin --addr %[1]s tenant remove kipper --cancel
Stop the emulators with Ctrl-C.
`

func run(c *cli) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	l, err := emulator.StartLive(ctx, c.Controllers, c.Machines)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return fmt.Errorf("settings files: %w", err)
	}
	flags := "--config"
	if c.Hosted {
		flags = "--hosted --admin-key-file " + filepath.Join(c.Dir, "admin.key") + " --config"
		fmt.Printf("Create the operators' first key:\n  (umask 077; target/basaltwall new-key > %s)\n", filepath.Join(c.Dir, "admin.key"))
	}
	fmt.Println("Start each controller in a shell of its own:")
	for i, f := range l.SettingsFiles {
		name := filepath.Join(c.Dir, fmt.Sprintf("%s.json", l.Configs[i].Label))
		if err := os.WriteFile(name, f, 0o644); err != nil {
			return fmt.Errorf("settings files: %w", err)
		}
		fmt.Printf("  target/basaltwall %s %s\n", flags, name)
	}
	if c.Hosted {
		fmt.Printf(hostedInstructions, l.Configs[0].APIAddr, c.Dir, l.LoadBalancerAddr)
		<-ctx.Done()
		return nil
	}
	fmt.Printf(`Then submit, poll and cancel:
  curl -d '{"ref":"run-1","mestiere":"try","bottega":"red","forma":"sweep","urgenza":"normal","pezzi":8,"cores":1,"gpus":0,"ram_gb":1,"stampo":"img","image_gb":1,"together":false,"scatter":false,"avanzi":false,"stima_s":20,"tappa_s":0,"salvo_s":0}' http://%[1]s/v1/jobs
  curl http://%[1]s/v1/jobs/run-1
  curl -X POST http://%[1]s/v1/jobs/run-1/withdraw
Stop the emulators with Ctrl-C.
`, l.LoadBalancerAddr)
	<-ctx.Done()
	for _, b := range l.Violations() {
		fmt.Println("rule violated:", b)
	}
	return nil
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("live"), kong.Description("Emulators for trying basaltwall on one machine."))
	if err := run(&c); err != nil {
		fmt.Fprintln(os.Stderr, "live:", err)
		os.Exit(1)
	}
}
