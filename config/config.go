// Package config owns the settings file that the platform hands to each
// controller: its form, its checks and nothing else.
package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"basaltwall/api"
	"basaltwall/tenant"
)

// Peer is another controller.
type Peer struct {
	Label api.ControllerID `json:"label"`
	Zone  api.Zone         `json:"domain"`
	Addr  string           `json:"peer_addr"`
}

// Team has a guarantee and a limit; a limit of 0 means none.
type Team struct {
	Name    api.Team `json:"name"`
	CPUs    float64  `json:"cpus"`
	CPUsMax float64  `json:"cpus_max"`
	GPUs    float64  `json:"gpus"`
	GPUsMax float64  `json:"gpus_max"`
}

// Objective is one of the users' aims for a class of jobs.
type Objective struct {
	Kind   string    `json:"kind"`
	Class  api.Class `json:"class"`
	Within float64   `json:"within_s"`
	Share  float64   `json:"share"`
	Times  float64   `json:"times"`
}

// Hosted is what a hosted service starts with. All else its operators set through the
// administration API.
type Hosted struct {
	AdminKey tenant.Key // the first operators' key
}

// MinHostedTxnOps is how many writes a transaction of a hosted service must hold at least: a
// tenant's record, the gate, an operators' change, and a team.
const MinHostedTxnOps = 4

// Config is the whole file.
type Config struct {
	Hosted *Hosted `json:"-"` // the service has tenants; not of the platform's file

	Label      api.ControllerID `json:"label"`
	Zone       api.Zone         `json:"domain"`
	APIAddr    string           `json:"api_addr"`
	PeerListen string           `json:"peer_listen"`
	Peers      []Peer           `json:"peers"`
	External   struct {
		Cloud string `json:"cloud"`
		State string `json:"state"`
	} `json:"external"`
	Deployment Deployment `json:"deployment"`
}

// Deployment is what all controllers have in common.
type Deployment struct {
	InitialSize int         `json:"initial_size"`
	Zones       []api.Zone  `json:"zones"`
	Teams       []Team      `json:"teams"`
	Objectives  []Objective `json:"objectives"`
	Workers     struct {
		Report   float64 `json:"report_s"`
		Lease    float64 `json:"lease_s"`
		GangWait float64 `json:"gang_wait_s"`
		GangPeer float64 `json:"gang_peer_s"`
		Cancel   float64 `json:"cancel_s"`
	} `json:"workers"`
	State struct {
		RPS      float64 `json:"rps"`
		WriteRPS float64 `json:"write_rps"`
		ValueKB  float64 `json:"value_kb"`
		TxnOps   int     `json:"txn_ops"`
	} `json:"state"`
	Cloud struct {
		RPS     float64 `json:"rps"`
		ListLag float64 `json:"list_lag_s"`
	} `json:"cloud"`
	Limits struct {
		CPUShare float64 `json:"cpu_share"`
		MemoryMB float64 `json:"memory_mb"`
		FDLimit  int     `json:"fd_limit"`
	} `json:"limits"`
	ClockErrorMS float64 `json:"clock_error_ms"`
}

// Load reads and checks a settings file.
func Load(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(data)
}

// Parse checks settings; the error names the field at fault.
func Parse(data []byte) (*Config, error) {
	cfg := &Config{}
	if err := json.Unmarshal(data, cfg); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if cfg.Label == "" {
		return nil, fmt.Errorf("settings: label: missing")
	}
	addrs := map[string]string{"api_addr": cfg.APIAddr, "peer_listen": cfg.PeerListen,
		"external.cloud": cfg.External.Cloud, "external.state": cfg.External.State}
	for _, p := range cfg.Peers {
		if p.Label == "" || p.Label == cfg.Label {
			return nil, fmt.Errorf("settings: peers: label %q is missing or our own", p.Label)
		}
		addrs["peers."+string(p.Label)] = p.Addr
	}
	for field, a := range addrs {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, fmt.Errorf("settings: %s: %w", field, err)
		}
	}
	deployment := &cfg.Deployment
	if deployment.InitialSize == 0 {
		deployment.InitialSize = len(cfg.Peers) + 1
	}
	mustBePositive := []struct {
		v    float64
		name string
	}{
		{float64(deployment.InitialSize), "initial_size"}, {deployment.Workers.Report, "workers.report_s"}, {deployment.Workers.Lease, "workers.lease_s"},
		{deployment.Workers.Cancel, "workers.cancel_s"}, {deployment.State.RPS, "state.rps"}, {deployment.State.WriteRPS, "state.write_rps"},
		{deployment.State.ValueKB, "state.value_kb"}, {float64(deployment.State.TxnOps), "state.txn_ops"}, {deployment.Cloud.RPS, "cloud.rps"},
	}
	for _, p := range mustBePositive {
		if !(p.v > 0) {
			return nil, fmt.Errorf("settings: deployment.%s: must be above 0", p.name)
		}
	}
	// With less, jobs could be accepted but no round could start a task.
	if deployment.State.ValueKB < 1 {
		return nil, fmt.Errorf("settings: deployment.state.value_kb: %v is less than 1", deployment.State.ValueKB)
	}
	if deployment.State.TxnOps < 2 {
		return nil, fmt.Errorf("settings: deployment.state.txn_ops: %d is less than 2", deployment.State.TxnOps)
	}
	if len(deployment.Teams) == 0 {
		return nil, fmt.Errorf("settings: deployment.teams: missing")
	}
	for _, t := range deployment.Teams {
		if t.Name == "" || t.CPUs < 0 || t.CPUsMax < 0 || t.GPUs < 0 || t.GPUsMax < 0 {
			return nil, fmt.Errorf("settings: deployment.teams: %q has an invalid amount or no name", t.Name)
		}
	}
	return cfg, nil
}

// HeartbeatInterval is the workers' reporting interval.
func (c *Config) HeartbeatInterval() time.Duration { return api.Seconds(c.Deployment.Workers.Report) }

// WorkerLease is the workers' lease.
func (c *Config) WorkerLease() time.Duration { return api.Seconds(c.Deployment.Workers.Lease) }
