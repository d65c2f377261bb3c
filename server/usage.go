package server

// This file measures the processing time of the controller and the CPU time of the process.

import (
	"syscall"
	"time"

	"basaltwall/controller/message"
)

// workMeter accumulates the controller's processing time by kind of work.
type workMeter struct {
	since   time.Time // start of the current work
	current message.WorkKind
	spent   [message.WorkKindCount]time.Duration
}

// switchTo adds the elapsed time to the current kind of work and makes next the current kind.
func (m *workMeter) switchTo(next message.WorkKind) {
	now := time.Now()
	m.spent[m.current] += now.Sub(m.since)
	m.since, m.current = now, next
}

// processCPUTime returns the user and system CPU time of the process, or 0 if it is not available.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
