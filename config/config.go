// Package config defines the settings file that the platform gives to each controller, and checks it.
// A Config is not changed once the controller runs.
package config

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"basaltwall/api"
	"basaltwall/tenant"
)

// Peer is another controller and the address at which it listens for its peers.
type Peer struct {
	Label api.ControllerID `json:"label"`
	Zone  api.Zone         `json:"domain"`
	Addr  string           `json:"peer_addr"`
}

// Team is a team's guarantee and limit, in CPUs and accelerators; a limit of 0 means none.
type Team struct {
	Name    api.Team `json:"name"`
	CPUs    float64  `json:"cpus"`
	CPUsMax float64  `json:"cpus_max"`
	GPUs    float64  `json:"gpus"`
	GPUsMax float64  `json:"gpus_max"`
}

// Objective is a service-level objective for a class of jobs.
type Objective struct {
	Kind   string    `json:"kind"`
	Class  api.Class `json:"class"`
	Within float64   `json:"within_s"`
	Share  float64   `json:"share"`
	Times  float64   `json:"times"`
}

// Hosted is what a hosted service starts with. Everything else its operators set through the
// administration API.
type Hosted struct {
	AdminKey tenant.Key // the first operators' key
}

// MinHostedTxnOps is how many writes a transaction of a hosted service must be able to hold: a tenant's
// record, the gate, an operators' change, and a team.
const MinHostedTxnOps = 4

// Config is the settings of one controller.
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

// Deployment is what all controllers have in common. Fields whose name in JSON ends in _s are in
// seconds.
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

// Parse decodes and checks settings. An invalid value is a *FieldError.
func Parse(data []byte) (*Config, error) {
	cfg := &Config{}
	if err := json.Unmarshal(data, cfg); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if cfg.Label == "" {
		return nil, &FieldError{Field: "label", Err: errMissing}
	}
	if err := cfg.checkAddresses(); err != nil {
		return nil, err
	}
	if cfg.Deployment.InitialSize == 0 {
		cfg.Deployment.InitialSize = len(cfg.Peers) + 1
	}
	if err := cfg.Deployment.check(); err != nil {
		return nil, err
	}
	return cfg, nil
}

// HeartbeatInterval returns the interval of workers' heartbeats.
func (c *Config) HeartbeatInterval() time.Duration { return api.Seconds(c.Deployment.Workers.Report) }

// WorkerLease returns for how long a worker goes on without hearing from its controller.
func (c *Config) WorkerLease() time.Duration { return api.Seconds(c.Deployment.Workers.Lease) }
