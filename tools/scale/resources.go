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

// Limits of a run on this machine, and estimates of its memory.
const (
	maxProcesses  = 300
	memoryDivisor = 2        // a run may use this fraction of the machine's memory
	baseMemory    = 64 << 20 // bytes per process
	memoryPerTask = 3 << 10  // bytes in each process
)

// memoryLimit returns half of the machine's memory, in bytes.
func memoryLimit() (int64, error) {
	data, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	f := strings.Fields(string(data))
	if len(f) < 2 {
		return 0, errors.New("/proc/meminfo: invalid format")
	}
	kb, err := strconv.ParseInt(f[1], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("/proc/meminfo: %w", err)
	}
	return kb << 10 / memoryDivisor, nil
}

// checkResources returns an error if a run would exceed the limits of processes or memory.
func checkResources(e *experiment, limit int64) error {
	if e.Controllers+1 > maxProcesses {
		return fmt.Errorf("controllers: %d: more than %d processes", e.Controllers, maxProcesses)
	}
	need := int64(e.Controllers+4) * (baseMemory + memoryPerTask*int64(e.targetTasks()))
	if need > limit {
		return fmt.Errorf("the run would use about %d MB, more than half of the machine's memory (%d MB)", need>>20, limit>>20)
	}
	return nil
}

// watchMemory stops the run when all its processes together use more memory than the limit.
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
				stop(fmt.Errorf("the run uses %d MB, more than half of the machine's memory (%d MB)", sum>>20, limit>>20))
				return
			}
		}
	}
}
