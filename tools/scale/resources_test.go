package main

import (
	"strings"
	"testing"
)

// TestRefusesTooLarge checks that a run that exceeds the limits of memory or processes is refused.
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
