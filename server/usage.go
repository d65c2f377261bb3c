package server

// This file measures the processor time that the controller and the process use.

import (
	"syscall"
	"time"

	"basaltwall/controller/message"
)

// workMeter adds up the controller's time by kind of work.
type workMeter struct {
	since   time.Time // when the current work began
	current message.WorkKind
	spent   [message.WorkKinds]time.Duration
}

// switchTo ends the current kind of work and begins another.
func (m *workMeter) switchTo(next message.WorkKind) {
	now := time.Now()
	m.spent[m.current] += now.Sub(m.since)
	m.since, m.current = now, next
}

// processCPUTime returns the processor time that the process has used, or 0 where the system does not
// report it.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
