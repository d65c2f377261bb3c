package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"basaltwall/internal/emulator"
)

// build builds the program with the flags of the deploy file.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "basaltwall")
	out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", program, "../../cmd/basaltwall").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// TestSmallRun runs a small experiment: real controllers with emulated load of each kind break no invariant,
// all target tasks run, and traffic is counted.
func TestSmallRun(t *testing.T) {
	e, err := readExperiment("experiments/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	program := build(t)
	r, err := runExperiment(context.Background(), e, program, "test")
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Violations) > 0 || r.UnexpectedExits > 0 {
		t.Errorf("%d unexpected exits of controllers, invariants broken: %v", r.UnexpectedExits, r.Violations)
	}
	if r.Running < e.targetTasks()*9/10 {
		t.Errorf("%d of %d tasks are running", r.Running, e.targetTasks())
	}
	for _, c := range r.ControllerUsage {
		if c.Partitions != 1 || c.PeakMB == 0 {
			t.Errorf("%+v", c)
		}
	}
	for _, name := range []string{"accepted", "poll", "start batch", "start urgent", "start gangs", "cancel", "settings in force everywhere"} {
		if r.Latency[name].Count == 0 {
			t.Errorf("no latency %q: %v", name, r.Latency)
		}
	}
	flows := r.Traffic.Flows
	for _, f := range []emulator.FlowName{emulator.FlowHeartbeats, emulator.FlowCommands, emulator.FlowStore, emulator.FlowCloud, emulator.FlowUsers} {
		if flows[f].Messages == 0 && f != emulator.FlowStore || flows[f].Sent == 0 || flows[f].Received == 0 {
			t.Errorf("%s: %+v", f, flows[f])
		}
	}
	if r.Traffic.Peers["news"].Messages == 0 || r.Traffic.StoreByKind["write round"].Messages == 0 || r.Starts == 0 || r.Stored["job"].Keys == 0 {
		t.Errorf("not counted: %+v", r.Traffic)
	}
	if files, err := filepath.Glob("/proc/[0-9]*/cmdline"); err == nil {
		time.Sleep(200 * time.Millisecond) // until the kernel has removed the killed processes
		for _, f := range files {
			if data, err := os.ReadFile(f); err == nil && strings.HasPrefix(string(data), program) {
				t.Errorf("%s still runs: %q", f, data)
			}
		}
	}
}
