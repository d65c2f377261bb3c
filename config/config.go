// Package config defines and validates the settings file of a controller, which the platform provides. A
// Config must not be changed while the controller runs.
package config

import (
	"fmt"
	"os"
	"time"

	"basaltwall/api"
	"basaltwall/internal/exactjson"
	"basaltwall/tenant"
)

// Peer is another controller and its address for messages between controllers.
type Peer struct {
	Label api.ControllerID `json:"label"`
	Zone  api.Zone         `json:"domain"`
	Addr  string           `json:"peer_addr"`
}

// Team is a team's guaranteed and maximum CPUs and accelerators; a maximum of 0 means no limit.
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

// Hosted holds the initial settings of a hosted service. Operators change all others through the
// administration API.
type Hosted struct {
	AdminKey tenant.Key // the first operators' key
}

// MinHostedTxnOps is the minimum number of writes per transaction in a hosted service: the records of the
// tenant, the suspension gate, the audit log and a team.
const MinHostedTxnOps = 4

// Config holds the settings of one controller.
type Config struct {
	Hosted *Hosted `json:"-"` // set for a hosted service; not part of the settings file

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

// Deployment holds the settings shared by all controllers. Fields with a JSON name ending in _s are in
// seconds.
type Deployment struct {
	InitialSize int         `json:"initial_size"`
	Zones       []api.Zone  `json:"zones"`
	Teams       []Team      `json:"teams"`
	Objectives  []Objective `json:"objectives"`
	Workers     struct {
		HeartbeatInterval float64 `json:"report_s"`
		LeaseDuration     float64 `json:"lease_s"`
		GangStartTimeout  float64 `json:"gang_wait_s"`
		GangPeerTimeout   float64 `json:"gang_peer_s"`
		Cancel            float64 `json:"cancel_s"`
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

// Load reads and validates a settings file.
func Load(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(data)
}

// Parse decodes and validates settings. The error for an invalid value is a *FieldError.
func Parse(data []byte) (*Config, error) {
	cfg := &Config{}
	if err := exactjson.Decode(data, cfg); err != nil {
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

// HeartbeatInterval returns the interval between a worker's heartbeats.
func (c *Config) HeartbeatInterval() time.Duration {
	return api.Seconds(c.Deployment.Workers.HeartbeatInterval)
}

// WorkerLease returns the duration after which a worker without contact to its controller stops its tasks.
func (c *Config) WorkerLease() time.Duration { return api.Seconds(c.Deployment.Workers.LeaseDuration) }
