package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// clockTick is the unit of the kernel's account of processor time; USER_HZ is 100 on Linux.
const clockTick = 10 * time.Millisecond

// process is a controller that runs as the shipped program.
type process struct {
	label, program, settingsPath, logDir string

	mu              sync.Mutex
	cmd             *exec.Cmd
	pastCPU         time.Duration // processor time of former lives
	unexpectedExits int           // that nobody asked for
	killRequested   bool          // its end was asked for
}

// start starts the program. It ends with this process at the latest.
func (p *process) start() error {
	log, err := os.OpenFile(filepath.Join(p.logDir, p.label+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.program, "--config", p.settingsPath)
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Join(fmt.Errorf("%s: %w", p.label, err), log.Close())
	}
	p.mu.Lock()
	p.cmd, p.killRequested = cmd, false
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.cmd == cmd {
			p.cmd = nil
			p.pastCPU += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
			if !p.killRequested {
				p.unexpectedExits++
			}
		}
	}()
	return nil
}

// logLevel is what controllers log, error unless the environment says otherwise.
func logLevel() string {
	if l := os.Getenv("LOG_LEVEL"); l != "" {
		return l
	}
	return "error"
}

// kill kills the process.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.killRequested = true
		_ = p.cmd.Process.Kill()
	}
}

// usage is what a process has used.
type usage struct {
	CPU     time.Duration
	PeakRSS int64 // bytes of resident memory at most
	RSS     int64
}

// usage reads the kernel's account of the process and what its former lives used.
func (p *process) usage() usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := usage{CPU: p.pastCPU}
	if p.cmd != nil {
		v := usageOf(p.cmd.Process.Pid)
		u = usage{u.CPU + v.CPU, v.PeakRSS, v.RSS}
	}
	return u
}

// usageOf reads the kernel's account of a process.
func usageOf(pid int) (u usage) {
	if data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
		if len(fields) > 12 {
			user, _ := strconv.ParseInt(fields[11], 10, 64)
			system, _ := strconv.ParseInt(fields[12], 10, 64)
			u.CPU = time.Duration(user+system) * clockTick
		}
	}
	if data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)); err == nil {
		for line := range strings.Lines(string(data)) {
			f := strings.Fields(line)
			if len(f) < 2 {
				continue
			}
			kb, _ := strconv.ParseInt(f[1], 10, 64)
			switch f[0] {
			case "VmHWM:":
				u.PeakRSS = kb << 10
			case "VmRSS:":
				u.RSS = kb << 10
			}
		}
	}
	return u
}

// resetPeak has the kernel begin anew to note the peak of a process's resident memory.
func (p *process) resetPeak() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", p.cmd.Process.Pid), []byte("5"), 0)
	}
}

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
