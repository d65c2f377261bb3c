package main

import (
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// TestProcessEnds checks that an unexpected exit of a process is counted, and that resource usage is read.
func TestProcessEnds(t *testing.T) {
	dir := t.TempDir()
	p := &process{label: "x", program: build(t), settingsPath: filepath.Join(dir, "none.json"), logDir: dir}
	if err := p.start(); err != nil {
		t.Fatal(err)
	}
	for range 100 { // it exits because its settings are missing
		p.mu.Lock()
		exited := p.cmd == nil
		p.mu.Unlock()
		if exited {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil || p.unexpectedExits != 1 {
		t.Errorf("process runs: %v, %d unexpected exits", p.cmd != nil, p.unexpectedExits)
	}
	if usageOf(syscall.Getpid()).RSS == 0 {
		t.Error("resident memory is 0")
	}
}
