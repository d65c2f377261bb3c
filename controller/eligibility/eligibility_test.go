package eligibility

import (
	"testing"
	"time"

	"basaltwall/api"
	"basaltwall/clusterstate"
	"basaltwall/config"
	"basaltwall/controller/core"
)

// fakeDependencies is a fake of all dependencies, with one loan time and one unavailable zone.
type fakeDependencies struct {
	loanKnownAt     api.Time
	unavailableZone api.Zone
}

func (f *fakeDependencies) LoanKnownAt(api.MachineID) api.Time { return f.loanKnownAt }

func (f *fakeDependencies) ZoneUnavailable(name api.Zone) bool { return name == f.unavailableZone }

const testTerm = 7

// newSchedulable returns a checker and a schedulable machine with a recent heartbeat.
func newSchedulable(t *testing.T) (*Checker, *fakeDependencies, *core.Machine, *core.OwnedPartition) {
	t.Helper()
	cfg := &config.Config{}
	cfg.Deployment.Workers.HeartbeatInterval = 2
	k := core.New(cfg, 1)
	k.State = clusterstate.New[core.JobOwnerState, core.PlacementOwnerState](1)
	k.AddMachineTypes([]api.MachineType{{Name: "c4"}})
	k.Now = api.Time(time.Hour)
	heartbeatAt := k.Now.Add(-time.Millisecond)
	m := &core.Machine{
		ID: "i-1", MachineType: "c4", Zone: "a",
		HeartbeatState: core.HeartbeatState{LastHeartbeat: heartbeatAt, FirstHeartbeat: heartbeatAt, LeaseRenewedAt: heartbeatAt},
		TokenState:     core.TokenState{ReportedToken: testTerm},
	}
	deps := &fakeDependencies{}
	checker := New(k)
	checker.Connect(Dependencies{Agents: deps, Health: deps})
	return checker, deps, m, &core.OwnedPartition{Term: testTerm}
}

func TestUnschedulableReason(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*Checker, *fakeDependencies, *core.Machine)
		want   core.UnschedulableReason
	}{
		"recent heartbeat": {func(*Checker, *fakeDependencies, *core.Machine) {}, core.Schedulable},
		"deleting":         {func(_ *Checker, _ *fakeDependencies, m *core.Machine) { m.Deleting = true }, core.ReasonDeleting},
		"drained": {func(c *Checker, _ *fakeDependencies, m *core.Machine) {
			c.core.Settings.Drained = []api.MachineID{"i-1"}
		}, core.ReasonDrained},
		"no heartbeat yet": {func(_ *Checker, _ *fakeDependencies, m *core.Machine) { m.LastHeartbeat = 0 }, core.ReasonNoHeartbeatYet},
		"reclaimed":        {func(_ *Checker, _ *fakeDependencies, m *core.Machine) { m.ReclaimNotice = true }, core.ReasonReclaimed},
		"unknown type":     {func(_ *Checker, _ *fakeDependencies, m *core.Machine) { m.MachineType = "c5" }, core.ReasonUnknownType},
		"quarantined":      {func(c *Checker, _ *fakeDependencies, m *core.Machine) { m.Quarantine.Failed(c.core.Now) }, core.ReasonQuarantined},
		"full":             {func(c *Checker, _ *fakeDependencies, m *core.Machine) { m.FullUntil = c.core.Now }, core.ReasonFull},
		"heartbeat timeout": {func(c *Checker, _ *fakeDependencies, m *core.Machine) {
			m.LastHeartbeat = c.core.Now.Add(-6 * time.Second)
		},
			core.ReasonHeartbeatTimeout},
		"late heartbeat within the timeout": {func(c *Checker, _ *fakeDependencies, m *core.Machine) {
			m.LastHeartbeat = c.core.Now.Add(-5 * time.Second)
		},
			core.Schedulable},
		"missed a call": {func(c *Checker, _ *fakeDependencies, m *core.Machine) {
			m.UnansweredCalls, m.LastHeartbeat = 1, c.core.Now.Add(-1500*time.Millisecond)
		}, core.ReasonUnresponsive},
		"missed a call, recent heartbeat": {func(_ *Checker, _ *fakeDependencies, m *core.Machine) { m.UnansweredCalls = 1 }, core.Schedulable},
		"suspect":                         {func(c *Checker, _ *fakeDependencies, m *core.Machine) { m.SuspectSince = c.core.Now }, core.ReasonSuspect},
		"zone unavailable": {func(c *Checker, s *fakeDependencies, m *core.Machine) {
			s.unavailableZone, m.LastHeartbeat = "a", c.core.Now.Add(-3*time.Second)
		}, core.ReasonZoneUnavailable},
		"zone unavailable, recent heartbeat": {func(_ *Checker, s *fakeDependencies, _ *core.Machine) { s.unavailableZone = "a" }, core.Schedulable},
		"lease not renewed": {func(c *Checker, _ *fakeDependencies, m *core.Machine) {
			m.FirstHeartbeat, m.LeaseRenewedAt = c.core.Now.Add(-time.Minute), c.core.Now.Add(-6*time.Second)
		}, core.ReasonHeartbeatsNotArriving},
		"lease not renewed since a loan": {func(c *Checker, s *fakeDependencies, m *core.Machine) {
			m.FirstHeartbeat, m.LeaseRenewedAt = c.core.Now.Add(-time.Minute), c.core.Now.Add(-6*time.Second)
			s.loanKnownAt = c.core.Now
		}, core.Schedulable},
		"token of an older term": {func(_ *Checker, _ *fakeDependencies, m *core.Machine) { m.ReportedToken = testTerm - 1 }, core.ReasonTokenNotAnnounced},
		"the first reason counts": {func(c *Checker, _ *fakeDependencies, m *core.Machine) {
			m.Deleting, m.LastHeartbeat, c.core.Settings.Drained = true, 0, []api.MachineID{"i-1"}
		}, core.ReasonDeleting},
	} {
		t.Run(name, func(t *testing.T) {
			checker, deps, m, owned := newSchedulable(t)
			test.change(checker, deps, m)
			if got := checker.UnschedulableReason(m, owned); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}
