package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// What a run may use of this machine.
const (
	maxProcesses  = 300
	memoryDivisor = 2 // of the machine's memory, at most one part in so many
	baseMemory    = 64 << 20
	memoryPerTask = 3 << 10 // in each controller, and in the emulators
)

// memoryLimit is half of the machine's memory.
func memoryLimit() (int64, error) {
	data, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	f := strings.Fields(string(data))
	if len(f) < 2 {
		return 0, errors.New("/proc/meminfo: not understood")
	}
	kb, err := strconv.ParseInt(f[1], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("/proc/meminfo: %w", err)
	}
	return kb << 10 / memoryDivisor, nil
}

// checkResources refuses a run that would take more of the machine than it may.
func checkResources(e *experiment, limit int64) error {
	if e.Controllers+1 > maxProcesses {
		return fmt.Errorf("controllers: %d: more than %d processes", e.Controllers, maxProcesses)
	}
	need := int64(e.Controllers+4) * (baseMemory + memoryPerTask*int64(e.targetTasks()))
	if need > limit {
		return fmt.Errorf("it would take about %d MB, more than half of the machine's memory (%d MB)", need>>20, limit>>20)
	}
	return nil
}

// watchMemory ends the run when all its processes together take more than the limit.
func watchMemory(ctx context.Context, all []*process, limit int64, stop context.CancelCauseFunc) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			sum := usageOf(os.Getpid()).RSS
			for _, p := range all {
				sum += p.usage().RSS
			}
			if sum > limit {
				stop(fmt.Errorf("the run takes %d MB, more than half of the machine's memory (%d MB)", sum>>20, limit>>20))
				return
			}
		}
	}
}
