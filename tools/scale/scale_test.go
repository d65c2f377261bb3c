package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"basaltwall/internal/emulator"
)

// build builds the shipped program as the deploy file says.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "basaltwall")
	out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", program, "../../cmd/basaltwall").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// The small form of the scale run: real controllers under hollow work of every kind break no rule,
// everything that is to run runs, and what passes between them is counted.
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
		t.Errorf("%d controllers ended, rules broken: %v", r.UnexpectedExits, r.Violations)
	}
	if r.Running < e.targetTasks()*9/10 {
		t.Errorf("%d of %d tasks run", r.Running, e.targetTasks())
	}
	for _, c := range r.ControllerUsage {
		if c.Partitions != 1 || c.PeakMB == 0 {
			t.Errorf("%+v", c)
		}
	}
	for _, name := range []string{"accepted", "poll", "start batch", "start urgent", "start gangs", "cancel", "settings in force everywhere"} {
		if r.Latency[name].Count == 0 {
			t.Errorf("no %q was measured: %v", name, r.Latency)
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
		time.Sleep(200 * time.Millisecond) // until the kernel has taken them away
		for _, f := range files {
			if data, err := os.ReadFile(f); err == nil && strings.HasPrefix(string(data), program) {
				t.Errorf("%s still runs: %q", f, data)
			}
		}
	}
}

// A process that was started ends with the run, and its use is read.
func TestProcessEnds(t *testing.T) {
	dir := t.TempDir()
	p := &process{label: "x", program: build(t), settingsPath: filepath.Join(dir, "none.json"), logDir: dir}
	if err := p.start(); err != nil {
		t.Fatal(err)
	}
	for range 100 { // it ends by itself, for want of settings
		p.mu.Lock()
		over := p.cmd == nil
		p.mu.Unlock()
		if over {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil || p.unexpectedExits != 1 {
		t.Errorf("it runs: %v, %d ends", p.cmd != nil, p.unexpectedExits)
	}
	if usageOf(syscall.Getpid()).RSS == 0 {
		t.Error("no use of memory is read")
	}
}

// A run that would take more than half of the machine's memory is refused before it starts.
func TestRefusesTooLarge(t *testing.T) {
	e := &experiment{Controllers: 23, Loads: []jobLoad{{FillTasks: 74_000}}}
	if err := checkResources(e, 1<<40); err != nil {
		t.Error(err)
	}
	if err := checkResources(e, 1<<30); err == nil || !strings.Contains(err.Error(), "memory") {
		t.Errorf("%v", err)
	}
	e.Controllers = maxProcesses
	if err := checkResources(e, 1<<50); err == nil || !strings.Contains(err.Error(), "processes") {
		t.Errorf("%v", err)
	}
	if limit, err := memoryLimit(); err != nil || limit <= 0 {
		t.Errorf("%d, %v", limit, err)
	}
}

// A bad experiment file is refused with the field's name.
func TestBadExperiments(t *testing.T) {
	good, err := os.ReadFile("experiments/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	for field, change := range map[string][2]string{
		"controllers":    {"controllers = 3", "controllers = 0"},
		"machines":       {"machines = 300", "machines = 20000"},
		"regions":        {"regions = 1", "regions = 9"},
		"measure_s":      {"measure_s = 8", "measure_s = -1"},
		"machine.cpus":   {"cpus = 8\n", "cpus = 0\n"},
		"load[0].kind":   {`kind = "service"`, `kind = "servant"`},
		"load[0].tasks":  {"tasks = 16", "tasks = 0"},
		"nonsense":       {"seed", "seed"},
		"fault[0].what":  {"[[load]]", "[[fault]]\nat_s = 1\nwhat = \"x\"\n[[load]]"},
		"fault[0].at_s":  {"[[load]]", "[[fault]]\nat_s = 99\nwhat = \"end\"\n[[load]]"},
		"vary.key":       {"[machine]", "[vary]\nkey = \"x\"\nvalues = [1]\n[machine]"},
		"vary.values":    {"[machine]", "[vary]\nkey = \"machines\"\nvalues = []\n[machine]"},
		"name":           {`name = "small"`, `name = ""`},
		"load[1].cancel": {"cancel_share = 0.5", "cancel_share = 2"},
	} {
		text := strings.Replace(string(good), change[0], change[1], 1)
		if field == "nonsense" {
			text = "nonsense = 1\n" + text
		}
		name := filepath.Join(t.TempDir(), "e.toml")
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := readExperiment(name); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}
