package config

// This file validates the settings.

import (
	"errors"
	"fmt"
	"net/netip"
)

// Minimum values: with lower ones, jobs could be accepted but no scheduling round could start a task.
const (
	minValueKB = 1
	minTxnOps  = 2
)

var (
	errMissing     = errors.New("missing")
	errNotPositive = errors.New("must be above 0")
)

// FieldError reports a setting with an invalid value.
type FieldError struct {
	Field string // JSON path of the field, for example deployment.state.rps
	Err   error
}

// Error returns the path of the field and the reason.
func (e *FieldError) Error() string { return fmt.Sprintf("settings: %s: %v", e.Field, e.Err) }

// Unwrap returns the reason without the path of the field.
func (e *FieldError) Unwrap() error { return e.Err }

// checkAddresses validates the peers' labels and all addresses.
func (c *Config) checkAddresses() error {
	addresses := map[string]string{"api_addr": c.APIAddr, "peer_listen": c.PeerListen,
		"external.cloud": c.External.Cloud, "external.state": c.External.State}
	for _, p := range c.Peers {
		if p.Label == "" || p.Label == c.Label {
			return &FieldError{Field: "peers", Err: fmt.Errorf("label %q is missing or the label of this controller", p.Label)}
		}
		addresses["peers."+string(p.Label)] = p.Addr
	}
	for field, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return &FieldError{Field: field, Err: err}
		}
	}
	return nil
}

// check validates the settings shared by all controllers.
func (d *Deployment) check() error {
	for _, setting := range []struct {
		value float64
		field string
	}{
		{float64(d.InitialSize), "initial_size"},
		{d.Workers.HeartbeatInterval, "workers.report_s"},
		{d.Workers.LeaseDuration, "workers.lease_s"},
		{d.Workers.Cancel, "workers.cancel_s"},
		{d.State.RPS, "state.rps"},
		{d.State.WriteRPS, "state.write_rps"},
		{d.State.ValueKB, "state.value_kb"},
		{float64(d.State.TxnOps), "state.txn_ops"},
		{d.Cloud.RPS, "cloud.rps"},
	} {
		if !(setting.value > 0) {
			return &FieldError{Field: "deployment." + setting.field, Err: errNotPositive}
		}
	}
	if d.State.ValueKB < minValueKB {
		return &FieldError{Field: "deployment.state.value_kb", Err: fmt.Errorf("%v is less than %d", d.State.ValueKB, minValueKB)}
	}
	if d.State.TxnOps < minTxnOps {
		return &FieldError{Field: "deployment.state.txn_ops", Err: fmt.Errorf("%d is less than %d", d.State.TxnOps, minTxnOps)}
	}
	return d.checkTeams()
}

// checkTeams requires at least one team, and a name and valid amounts for each.
func (d *Deployment) checkTeams() error {
	const field = "deployment.teams"
	if len(d.Teams) == 0 {
		return &FieldError{Field: field, Err: errMissing}
	}
	for _, t := range d.Teams {
		if t.Name == "" || t.CPUs < 0 || t.CPUsMax < 0 || t.GPUs < 0 || t.GPUsMax < 0 {
			return &FieldError{Field: field, Err: fmt.Errorf("%q has an invalid amount or no name", t.Name)}
		}
	}
	return nil
}
