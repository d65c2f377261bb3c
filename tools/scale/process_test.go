package main

import (
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

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
