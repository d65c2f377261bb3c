package main

import (
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

// clockTick is the unit of processor times in /proc; USER_HZ is 100 on Linux.
const clockTick = 10 * time.Millisecond

// process is a controller that runs as a process of the released program.
type process struct {
	label, program, settingsPath, logDir string

	mu              sync.Mutex
	cmd             *exec.Cmd
	pastCPU         time.Duration // processor time of earlier processes
	unexpectedExits int
	killRequested   bool
}

// start starts the program, which is killed when this process ends.
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

// defaultLogLevel is the controllers' log level unless LOG_LEVEL is set.
const defaultLogLevel = "error"

func logLevel() string {
	if l := os.Getenv("LOG_LEVEL"); l != "" {
		return l
	}
	return defaultLogLevel
}

func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.killRequested = true
		_ = p.cmd.Process.Kill()
	}
}

// usage is the resource usage of a process.
type usage struct {
	CPU     time.Duration
	PeakRSS int64 // bytes
	RSS     int64 // bytes
}

// usage returns the resource usage of the process, with the processor time of earlier processes of the
// same controller.
func (p *process) usage() usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := usage{CPU: p.pastCPU}
	if p.cmd != nil {
		v := usageOf(p.cmd.Process.Pid)
		u = usage{CPU: u.CPU + v.CPU, PeakRSS: v.PeakRSS, RSS: v.RSS}
	}
	return u
}

// usageOf returns the resource usage of a process.
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

// resetPeak resets the kernel's record of the process's peak resident memory.
func (p *process) resetPeak() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", p.cmd.Process.Pid), []byte("5"), 0)
	}
}
