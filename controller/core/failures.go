package core

// This file defines how long machines are avoided on which tasks have failed.

import (
	"time"

	"basaltwall/api"
)

const (
	firstRetryDelay   = 10 * time.Second
	maxRetryDelay     = 40 * time.Second
	maxDelayDoublings = 2

	// FailureTrustTime is the time for which a task must run on a machine to show that the machine does not
	// fail it.
	FailureTrustTime = 15 * time.Second
)

// FailureBackoff is the state of a machine on which tasks failed. No task is started there before RetryAt. From
// then on one task at a time is a probe, until one has succeeded or run for FailureTrustTime. Each failed probe
// doubles the delay of the next one, up to a maximum. The zero value is the state of a machine without failures.
type FailureBackoff struct {
	Failures int // failed probes, and the failure before the first one
	RetryAt  api.Time
}

// Failed records a failure. Failures of tasks that were started together count once.
func (b *FailureBackoff) Failed(now api.Time) {
	if now < b.RetryAt {
		return
	}
	b.Failures++
	b.RetryAt = now.Add(min(maxRetryDelay, firstRetryDelay<<min(b.Failures-1, maxDelayDoublings)))
}

// Active reports whether there was a failure and no success since.
func (b *FailureBackoff) Active() bool { return b.Failures > 0 }

// IsProbe reports whether a placement was started after the last failure.
func (b *FailureBackoff) IsProbe(p *Placement) bool {
	return b.Active() && !p.Finishing && p.OwnerState.PlacedAt >= b.RetryAt
}

// MachineFailures contains the machines on which tasks of a job failed and have not succeeded since.
type MachineFailures map[api.MachineID]*FailureBackoff

// Failed records a failure on a machine.
func (f *MachineFailures) Failed(id api.MachineID, now api.Time) {
	if *f == nil {
		*f = MachineFailures{}
	}
	if (*f)[id] == nil {
		(*f)[id] = &FailureBackoff{}
	}
	(*f)[id].Failed(now)
}

// RetryDelay returns the time until a job may start a task again on one of the machines where it failed, 0 if
// it may now.
func (f MachineFailures) RetryDelay(now api.Time) time.Duration {
	delay := maxRetryDelay
	for _, b := range f {
		delay = min(delay, b.RetryAt.Sub(now))
	}
	return max(0, delay)
}

// Avoids reports whether a job may not start a task on a machine now, because of failures there.
func (k *Core) Avoids(j *Job, id api.MachineID) bool {
	backoff := j.OwnerState.FailedOn[id]
	if backoff == nil {
		return false
	}
	if k.Now < backoff.RetryAt {
		return true
	}
	for _, p := range k.State.PlacementsOn(id) {
		if p.Job == j && backoff.IsProbe(p) {
			return true
		}
	}
	return false
}

// IsQuarantined reports whether no task may start on a machine now, because tasks of different jobs failed
// there.
func (k *Core) IsQuarantined(m *Machine) bool {
	if !m.Quarantine.Active() {
		return false
	}
	if k.Now < m.Quarantine.RetryAt {
		return true
	}
	for _, p := range k.State.PlacementsOn(m.ID) {
		if m.Quarantine.IsProbe(p) {
			return true
		}
	}
	return false
}

// EndProbes ends the effects of failures on a machine if the placement is a probe. It is called when its task
// has succeeded, and reports whether tasks may start there that could not before.
func (k *Core) EndProbes(m *Machine, p *Placement) (ended bool) {
	if backoff := p.Job.OwnerState.FailedOn[m.ID]; backoff != nil && backoff.IsProbe(p) {
		delete(p.Job.OwnerState.FailedOn, m.ID)
		ended = true
	}
	if m.Quarantine.IsProbe(p) {
		m.Quarantine = FailureBackoff{}
		clear(m.RecentFailures)
		ended = true
	}
	return ended
}
